package receivers

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// logLines keeps what relays log.
type logLines struct {
	mutex sync.Mutex
	all   []string
}

func (l *logLines) add(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.all = append(l.all, line)
}

func (l *logLines) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Join(l.all, "\n")
}

// udpTestbed is a relay with a source that sends to it and a target that it forwards to. The first byte of a datagram is
// its sender.
type udpTestbed struct {
	relay  *UDPRelay
	log    *logLines
	source net.Conn
	target net.PacketConn
}

func newUDPTestbed(t *testing.T) *udpTestbed {
	t.Helper()
	target, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	log := &logLines{}
	senderOf := func(b []byte) string { return string(b[:1]) }
	relay, err := NewUDPRelay("b", netip.MustParseAddrPort(target.LocalAddr().String()), 7, senderOf, log.add)
	if err != nil {
		t.Fatal(err)
	}
	source, err := net.Dial("udp4", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { source.Close() })
	return &udpTestbed{relay: relay, log: log, source: source, target: target}
}

// pass sends n datagrams from a sender and a last one from z, whose link has no fault, and returns those before it.
func (bed *udpTestbed) pass(t *testing.T, sender string, n int) (received []string) {
	t.Helper()
	for i := range n {
		fmt.Fprintf(bed.source, "%s%03d", sender, i)
	}
	time.Sleep(20 * time.Millisecond) // what waits for a delay must not come after the last one
	fmt.Fprint(bed.source, "z")
	buf := make([]byte, 100)
	for {
		bed.target.SetReadDeadline(time.Now().Add(20 * time.Second))
		k, _, err := bed.target.ReadFrom(buf)
		if err != nil {
			t.Fatal(err)
		}
		if string(buf[:k]) == "z" {
			return received
		}
		received = append(received, string(buf[:k]))
	}
}

// TestUDPRelay checks the fault of each link, and that it leaves the datagrams of other senders alone. The steps build
// on one another.
func TestUDPRelay(t *testing.T) {
	bed := newUDPTestbed(t)
	t.Run("without a fault", func(t *testing.T) {
		if got := bed.pass(t, "a", 50); len(got) != 50 {
			t.Errorf("without a fault %d of 50", len(got))
		}
	})
	t.Run("black hole", func(t *testing.T) {
		bed.relay.SetLink("a", Link{Blackhole: true})
		if got := bed.pass(t, "a", 20); len(got) != 0 {
			t.Errorf("a black hole passed %v", got)
		}
		if got := bed.pass(t, "c", 20); len(got) != 20 {
			t.Errorf("another sender: %d of 20", len(got))
		}
	})
	t.Run("loss", func(t *testing.T) {
		bed.relay.SetLink("a", Link{LossRate: 0.5})
		if got := bed.pass(t, "a", 200); len(got) < 60 || len(got) > 140 {
			t.Errorf("half lost: %d of 200", len(got))
		}
	})
	t.Run("duplicates", func(t *testing.T) {
		bed.relay.SetLink("a", Link{DuplicateRate: 1})
		if got := bed.pass(t, "a", 20); len(got) != 40 {
			t.Errorf("repeated: %d of 20", len(got))
		}
	})
	t.Run("reordering", func(t *testing.T) {
		bed.relay.SetLink("a", Link{ReorderRate: 0.5})
		got := bed.pass(t, "a", 100)
		if ordered := slices.IsSorted(got); ordered || len(got) < 99 {
			t.Errorf("out of order: %d of 100, in order %v", len(got), ordered)
		}
	})
	t.Run("cleared links", func(t *testing.T) {
		bed.relay.ClearLinks()
		if got := bed.pass(t, "a", 20); len(got) < 20 || len(got) > 21 { // one may have been held back
			t.Errorf("cleared: %d of 20", len(got))
		}
	})
	t.Run("log", func(t *testing.T) {
		bed.relay.Close()
		if !strings.Contains(bed.log.String(), "link a -> b") || !strings.Contains(bed.log.String(), "Dropped:") {
			t.Errorf("log: %s", bed.log)
		}
	})
}

// startEcho starts a server that sends back what it gets, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(caller, caller)
				caller.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// dialRelay opens a connection through a relay.
func dialRelay(t *testing.T, relay *TCPRelay) net.Conn {
	t.Helper()
	caller, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	caller.SetDeadline(time.Now().Add(20 * time.Second))
	return caller
}

// echo sends a text and reads as many bytes.
func echo(caller net.Conn, text string) (string, error) {
	fmt.Fprint(caller, text)
	buf := make([]byte, len(text))
	_, err := io.ReadFull(caller, buf)
	return string(buf), err
}

// TestTCPRelay checks that a connection is forwarded, hangs behind a black hole and continues after it, and can be reset.
func TestTCPRelay(t *testing.T) {
	log := &logLines{}
	relay, err := NewTCPRelay("way", "127.0.0.1:0", startEcho(t), log.add)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	caller := dialRelay(t, relay)
	if got, err := echo(caller, "one"); got != "one" || err != nil {
		t.Fatalf("%q %v", got, err)
	}
	relay.SetLink(Link{Blackhole: true})
	caller.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := echo(caller, "two"); err == nil {
		t.Errorf("a black hole passed %q", got)
	}
	relay.SetLink(Link{})
	caller.SetReadDeadline(time.Now().Add(20 * time.Second))
	buf := make([]byte, 3)
	if _, err := io.ReadFull(caller, buf); err != nil || string(buf) != "two" {
		t.Errorf("after the black hole: %q %v", buf, err)
	}
	relay.SetLink(Link{Resets: true})
	if _, err := caller.Read(buf); err == nil || err == io.EOF {
		t.Errorf("a reset connection reads %v", err)
	}
	next, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		return // reset at once
	}
	defer next.Close()
	next.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := next.Read(buf); err == nil {
		t.Error("a new connection is served while connections are reset")
	}
}
