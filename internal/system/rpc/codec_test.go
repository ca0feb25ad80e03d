package rpc

import (
	"bytes"
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// thinLink is the sending side of a connection in time of its own: each byte takes a while to go out, and what is not out
// by the deadline of its write fails it.
type thinLink struct {
	net.Conn
	perByte time.Duration
	now     time.Duration
	due     time.Duration // 0: no deadline
	sent    bytes.Buffer
	stuck   bool // nothing goes out any more
}

func (l *thinLink) SetWriteDeadline(deadline time.Time) error {
	l.due = l.now + time.Until(deadline)
	return nil
}

func (l *thinLink) Write(p []byte) (int, error) {
	takes := time.Duration(len(p)) * l.perByte
	if l.due == 0 {
		return 0, errors.New("a write without a deadline")
	}
	if l.stuck || l.now+takes > l.due {
		l.now = l.due
		return 0, os.ErrDeadlineExceeded
	}
	l.now += takes
	return l.sent.Write(p)
}

// TestLargeMessageOverThinLink: a message that takes longer than the write time-out goes out as long as it moves on, and
// one that does not move on ends its connection after that time.
func TestLargeMessageOverThinLink(t *testing.T) {
	const timeout, size = 1500 * time.Millisecond, 4 << 20
	link := &thinLink{perByte: time.Second / (10e6 / 8 / 4)} // a quarter of 10 Mbit/s
	output := newStream(link, size, timeout)
	if err := output.write("header", make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if link.sent.Len() < size || link.now < 10*time.Second {
		t.Errorf("%d bytes went out in %v", link.sent.Len(), link.now)
	}
	link.stuck = true
	began := link.now
	if err := output.write("header", make([]byte, size)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
	if waited := link.now - began; waited > timeout {
		t.Errorf("the connection ended after %v", waited)
	}
}
