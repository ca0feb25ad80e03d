package eventloop

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"
)

// recordingHandler records the events of one end of a connection.
type recordingHandler struct {
	heard *[]string
	name  string
	on    func(what string, c *Conn)
}

func (s recordingHandler) record(what string, c *Conn) {
	*s.heard = append(*s.heard, s.name+" "+what)
	if s.on != nil {
		s.on(what, c)
	}
}
func (s recordingHandler) Opened(c *Conn) { s.record("opened", c) }
func (s recordingHandler) Data(c *Conn) {
	s.record("data "+string(c.Bytes()), c)
	c.Consume(len(c.Bytes()))
}
func (s recordingHandler) Closed(c *Conn, _ error) { s.record("closed", c) }

func newLoop(t *testing.T, limit int) *Loop {
	l, err := NewLoop(limit)
	if err != nil {
		t.Fatal(err)
	}
	l.At(l.Now()+30, l.Stop)
	return l
}

// Guards against a connection that its peer has closed passing for a live one before its hang-up was handled, against a
// connect that fails at once re-entering its caller, and against callbacks after Close.
func TestConnections(t *testing.T) {
	loop := newLoop(t, 100)
	var heard []string
	var server *Conn
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(c *Conn) Handler {
		server = c
		return recordingHandler{&heard, "server", func(what string, c *Conn) {
			if strings.HasPrefix(what, "data") {
				c.Write([]byte("pong"))
			}
		}}
	})
	if err != nil {
		t.Fatal(err)
	}
	client := loop.Connect(listener.Addr(), recordingHandler{&heard, "client", func(what string, c *Conn) {
		switch what {
		case "opened":
			c.Write([]byte("ping"))
		case "data pong":
			if !c.Alive() || c.Written() != 4 || c.Unsent() != 0 {
				t.Errorf("alive %v, %d written, %d unsent", c.Alive(), c.Written(), c.Unsent())
			}
			server.Close()
			if c.Alive() {
				t.Error("alive after its peer has closed")
			}
		case "closed":
			listener.Close()
			calling := true
			loop.ConnectUnix("/nobody/here", recordingHandler{&heard, "absent", func(string, *Conn) {
				if calling {
					t.Error("the failure is reported within the call")
				}
				loop.Stop()
			}})
			calling = false
		}
	}})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	want := []string{"client opened", "server data ping", "client data pong", "client closed", "absent closed"}
	if diff := cmp.Diff(want, heard); diff != "" || client.Alive() || loop.OpenSockets() != 0 {
		t.Errorf("%d open (-want +got):\n%s", loop.OpenSockets(), diff)
	}
}

// Guards against descriptors beyond the limit, and against a loop that spins or stops when none is available.
func TestDescriptorLimit(t *testing.T) {
	loop := newLoop(t, 2)
	var heard []string
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler {
		return recordingHandler{&heard, "server", nil}
	})
	if err != nil {
		t.Fatal(err)
	}
	first := loop.Connect(listener.Addr(), recordingHandler{&heard, "first", nil})
	loop.Connect(listener.Addr(), recordingHandler{&heard, "second", nil})
	loop.At(loop.Now()+0.05, func() { // the first waits in the backlog: the socket limit prevents accepting it
		loop.Connect(listener.Addr(), recordingHandler{&heard, "third", nil})
		first.Write([]byte("a"))
		loop.socketLimit = 3
	})
	server := recordingHandler{&heard, "server", func(string, *Conn) { loop.Stop() }}
	listener.newHandler = func(*Conn) Handler { return server }
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"second closed", "first opened", "third closed", "server data a"}, heard); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Guards against timers out of order, one that runs although it was stopped, and one set in the past that keeps the
// loop from its sockets.
func TestTimers(t *testing.T) {
	var d Timers
	var got []string
	note := func(name string) func() { return func() { got = append(got, name) } }
	d.At(3, note("c"))
	d.At(1, note("a"))
	stopped := d.At(1, note("stopped"))
	d.At(1, note("b"))
	d.At(2, func() {
		got = append(got, "again")
		d.At(0, note("next turn"))
	})
	stopped.Stop()
	stopped.Stop()
	(*Timer)(nil).Stop()
	d.runDue(2)
	got = append(got, "|")
	d.runDue(2)
	if at, any := d.nextDue(); !any || at != 3 {
		t.Errorf("next at %v, %v", at, any)
	}
	d.runDue(9)
	if diff := cmp.Diff([]string{"a", "b", "again", "|", "next turn", "c"}, got); diff != "" || d.Len() != 0 {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// countingHandler counts the bytes received on a connection, and stops the loop when it is closed.
type countingHandler struct {
	loop   *Loop
	got    int
	closed error
}

func (h *countingHandler) Opened(*Conn) {}
func (h *countingHandler) Data(c *Conn) {
	h.got += len(c.Bytes())
	c.Consume(len(c.Bytes()))
}
func (h *countingHandler) Closed(_ *Conn, err error) {
	h.closed = err
	h.loop.Stop()
}

// What a process sent before it exited is read although a write fails first.
func TestReadsBytesSentBeforePeerExit(t *testing.T) {
	loop, err := NewLoop(10)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	handler := &countingHandler{loop: loop}
	var conn *Conn
	if err := loop.Adopt(pair[0], nil, func(c *Conn) Handler {
		c.EnableDescriptorPassing()
		conn = c
		return handler
	}); err != nil {
		t.Fatal(err)
	}
	const words = 300 << 10
	if err := unix.SetsockoptInt(pair[1], unix.SOL_SOCKET, unix.SO_SNDBUF, 4*words); err != nil {
		t.Fatal(err)
	}
	sent := 0
	for sent < words {
		n, err := unix.SendmsgN(pair[1], make([]byte, 4<<10), nil, nil, unix.MSG_DONTWAIT)
		if err != nil {
			break // the kernel's buffers are full
		}
		sent += n
	}
	unix.Close(pair[1])
	loop.Defer(func() { conn.Write([]byte("too late")) })
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if handler.got != sent || handler.closed == nil {
		t.Errorf("%d of %d bytes received, closed by %v", handler.got, sent, handler.closed)
	}
}

// A listening socket that another process has made blocking does not block the loop when the client has disconnected.
func TestSharedBlockingListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	loop, err := NewLoop(10)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := loop.InheritListener(fd, func(*Conn) Handler { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(fd, false); err != nil { // as another process that has the socket may do
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		listener.acceptPending() // as if another process had accepted the connection
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the loop is blocked")
	}
}

// A late iteration is reported before anything else in it: posted functions, received bytes, timers.
func TestLateWakeup(t *testing.T) {
	loop := newLoop(t, 10)
	loop.LateWakeupSeconds = 0.2
	var order []string
	loop.OnLateWakeup = func(late float64) {
		if late < 0.2 || late > 25 {
			t.Errorf("%v s late", late)
		}
		order = append(order, "slept")
	}
	loop.At(loop.Now()+0.01, func() {
		loop.Post(func() { order = append(order, "posted") })
		loop.At(loop.Now()+0.01, func() {
			order = append(order, "deadline")
			loop.Stop()
		})
		time.Sleep(400 * time.Millisecond) // as if the process had been stopped
	})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if len(order) < 3 || order[0] != "slept" {
		t.Errorf("order %v", order)
	}
}

// Guards against a call of another goroutine, after the loop has ended, that writes into a file which has got the number of
// the loop's descriptor.
func TestPostAfterTheEnd(t *testing.T) {
	loop := newLoop(t, 10)
	wakeFD := loop.system.(*kernel).wakeFD
	loop.Post(loop.Stop)
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	pipe := make([]int, 2)
	if err := unix.Pipe2(pipe, unix.O_NONBLOCK|unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pipe[0])
	defer unix.Close(pipe[1])
	if pipe[1] != wakeFD { // as if it had been the first number that was free
		if err := unix.Dup3(pipe[1], wakeFD, unix.O_CLOEXEC); err != nil {
			t.Fatal(err)
		}
		defer unix.Close(wakeFD)
	}
	loop.Post(func() { t.Error("ran after the end") })
	if n, err := unix.Read(pipe[0], make([]byte, 8)); n > 0 {
		t.Errorf("%d bytes were written into another file", n)
	} else if err != unix.EAGAIN {
		t.Error(err)
	}
}
