package rpc

import (
	"bytes"
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// slowLink is the sending side of a connection in virtual time: each byte takes a while, and a write fails that is not
// complete by its deadline.
type slowLink struct {
	net.Conn
	perByte  time.Duration
	now      time.Duration
	deadline time.Duration // 0: none
	sent     bytes.Buffer
	stalled  bool // no byte is accepted any more
}

func (l *slowLink) SetWriteDeadline(deadline time.Time) error {
	l.deadline = l.now + time.Until(deadline)
	return nil
}

func (l *slowLink) Write(p []byte) (int, error) {
	takes := time.Duration(len(p)) * l.perByte
	if l.deadline == 0 {
		return 0, errors.New("a write without a deadline")
	}
	if l.stalled || l.now+takes > l.deadline {
		l.now = l.deadline
		return 0, os.ErrDeadlineExceeded
	}
	l.now += takes
	return l.sent.Write(p)
}

// TestLargeMessageOverSlowLink: a message that takes longer than the write timeout is sent as long as it makes
// progress; one without progress closes its connection after the timeout.
func TestLargeMessageOverSlowLink(t *testing.T) {
	const timeout, size = 1500 * time.Millisecond, 4 << 20
	link := &slowLink{perByte: time.Second / (10e6 / 8 / 4)} // a quarter of 10 Mbit/s
	output := newStream(link, size, timeout)
	if err := output.write("header", make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if link.sent.Len() < size || link.now < 10*time.Second {
		t.Errorf("%d bytes went out in %v", link.sent.Len(), link.now)
	}
	link.stalled = true
	began := link.now
	if err := output.write("header", make([]byte, size)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
	if waited := link.now - began; waited > timeout {
		t.Errorf("the connection ended after %v", waited)
	}
}
