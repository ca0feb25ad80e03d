package eventloop

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against bytes that are lost when a peer closes while reading is stalled, and against its close being reported
// before them.
func TestStalledPeerCloses(t *testing.T) {
	loop := newLoop(t, 100)
	var heard []string

	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(c *Conn) Handler {
		c.Write([]byte("pong"))
		loop.Defer(c.Close)
		return recordingHandler{&heard, "server", nil}
	})
	if err != nil {
		t.Fatal(err)
	}
	loop.Connect(listener.Addr(), recordingHandler{&heard, "client", func(what string, c *Conn) {
		switch what {
		case "opened":
			c.SetStalled(true)
			loop.At(loop.Now()+0.05, func() {
				heard = append(heard, "read on")
				c.SetStalled(false)
			})
		case "closed":
			loop.Stop()
		}
	}})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"client opened", "read on", "client data pong", "client closed"}, heard); diff != "" {
		t.Error(diff)
	}
}

// drainRecorder counts the Drained callbacks.
type drainRecorder struct {
	recordingHandler
	drained int
}

func (d *drainRecorder) Drained(*Conn) { d.drained++ }

// A writer whose bytes were buffered is notified when everything was written; received bytes are valid only until they are consumed.
func TestDrainedAfterBlockedWrite(t *testing.T) {
	loop := newLoop(t, 100)
	loop.ZeroCopyReads = true
	const size = 16 << 20
	var heard []string
	writer := &drainRecorder{recordingHandler: recordingHandler{&heard, "server", nil}}
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(c *Conn) Handler {
		c.Write([]byte(strings.Repeat("x", size)))
		return writer
	})
	if err != nil {
		t.Fatal(err)
	}
	reader := &partialReader{want: size, done: loop.Stop}
	loop.Connect(listener.Addr(), reader)
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if writer.drained != 1 || reader.got != size || reader.corrupted {
		t.Errorf("drained %d times, %d bytes read, corrupted %v", writer.drained, reader.got, reader.corrupted)
	}
}

// partialReader leaves a few bytes unconsumed, which it gets again with the next ones.
type partialReader struct {
	want, got int
	corrupted bool
	done      func()
}

func (k *partialReader) Opened(*Conn)        {}
func (k *partialReader) Closed(*Conn, error) {}
func (k *partialReader) Data(c *Conn) {
	b := c.Bytes()
	k.corrupted = k.corrupted || strings.Trim(string(b), "x") != ""
	n := max(0, len(b)-3)
	if k.got+len(b) == k.want {
		n = len(b)
	}
	c.Consume(n)
	k.got += n
	if k.got == k.want {
		k.done()
	}
}

// Guards against a response that is lost because its sender reset the connection while the request was still being
// written.
func TestResponseBeforeReset(t *testing.T) {
	loop := newLoop(t, 100)
	var heard []string
	var server, client *Conn
	both := func() {
		if server == nil || !client.stalled {
			return
		}
		server.Write([]byte("answer"))
		server.Reset()
		client.Write([]byte("more")) // the connection is reset by now
	}
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(c *Conn) Handler {
		server = c
		loop.Defer(both)
		return recordingHandler{&heard, "server", nil}
	})
	if err != nil {
		t.Fatal(err)
	}
	client = loop.Connect(listener.Addr(), recordingHandler{&heard, "client", func(what string, c *Conn) {
		switch what {
		case "opened":
			c.ReadBeforeReset()
			c.SetStalled(true)
			loop.Defer(both)
		case "closed":
			loop.Stop()
		}
	}})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"client opened", "client data answer", "client closed"}, heard); diff != "" {
		t.Error(diff)
	}
}
