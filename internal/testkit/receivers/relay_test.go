package receivers

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// logLines keeps what relays log.
type logLines struct {
	mu  sync.Mutex
	all []string
}

func (l *logLines) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, line)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.all, "\n")
}

// Each directed way does what its link says, and to nobody else's datagrams.
func TestUDPRelay(t *testing.T) {
	to, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	log := &logLines{}
	d, err := NewUDPRelay("b", netip.MustParseAddrPort(to.LocalAddr().String()), 7, log.add)
	if err != nil {
		t.Fatal(err)
	}
	d.SenderOf = func(b []byte) string { return string(b[:1]) }
	from, err := net.Dial("udp4", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	// pass sends so many from a sender and then a last one from z, whose way is clear, and returns what came before that.
	pass := func(sender string, n int) (got []string) {
		for i := range n {
			fmt.Fprintf(from, "%s%03d", sender, i)
		}
		time.Sleep(20 * time.Millisecond) // what waits for a delay must not come after the last one
		fmt.Fprint(from, "z")
		buf := make([]byte, 100)
		for {
			to.SetReadDeadline(time.Now().Add(20 * time.Second))
			k, _, err := to.ReadFrom(buf)
			if err != nil {
				t.Fatal(err)
			}
			if string(buf[:k]) == "z" {
				return got
			}
			got = append(got, string(buf[:k]))
		}
	}
	if got := pass("a", 50); len(got) != 50 {
		t.Errorf("a clear way passed %d of 50", len(got))
	}
	d.SetLink("a", Link{Blackhole: true})
	if got := pass("a", 20); len(got) != 0 {
		t.Errorf("a way that is cut passed %v", got)
	}
	if got := pass("c", 20); len(got) != 20 {
		t.Errorf("another one's way passed %d of 20", len(got))
	}
	d.SetLink("a", Link{LossRate: 0.5})
	if got := pass("a", 200); len(got) < 60 || len(got) > 140 {
		t.Errorf("half lost: %d of 200", len(got))
	}
	d.SetLink("a", Link{DuplicateRate: 1})
	if got := pass("a", 20); len(got) != 40 {
		t.Errorf("repeated: %d of 20", len(got))
	}
	d.SetLink("a", Link{ReorderRate: 0.5})
	order := pass("a", 100)
	ordered := true
	for i := 1; i < len(order); i++ {
		ordered = ordered && order[i-1] < order[i]
	}
	if ordered || len(order) < 99 {
		t.Errorf("out of order: %d of 100, in order %v", len(order), ordered)
	}
	d.ClearLinks()
	if got := pass("a", 20); len(got) < 20 || len(got) > 21 { // one may have been held back
		t.Errorf("cleared: %d of 20", len(got))
	}
	d.Close()
	if !strings.Contains(log.String(), "link a -> b") || !strings.Contains(log.String(), "Dropped:") {
		t.Errorf("log: %s", log)
	}
}

// A relayed connection is passed on, hangs while its way is silent and goes on after, and is reset on cue.
func TestTCPRelay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	log := &logLines{}
	s, err := NewTCPRelay("way", "127.0.0.1:0", l.Addr().String(), log.add)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	echo := func(text string) (string, error) {
		fmt.Fprint(c, text)
		buf := make([]byte, len(text))
		_, err := io.ReadFull(c, buf)
		return string(buf), err
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if got, err := echo("one"); got != "one" || err != nil {
		t.Fatalf("%q %v", got, err)
	}
	s.SetLink(Link{Blackhole: true})
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := echo("two"); err == nil {
		t.Errorf("a silent way passed %q", got)
	}
	s.SetLink(Link{})
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	buf := make([]byte, 3)
	if _, err := io.ReadFull(c, buf); err != nil || string(buf) != "two" {
		t.Errorf("after the silence: %q %v", buf, err)
	}
	s.SetLink(Link{Resets: true})
	if _, err := c.Read(buf); err == nil || err == io.EOF {
		t.Errorf("a reset connection reads %v", err)
	}
	n, err := net.Dial("tcp", s.Addr())
	if err == nil {
		n.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := n.Read(buf); err == nil {
			t.Error("a new connection is served while ways are reset")
		}
		n.Close()
	}
}
