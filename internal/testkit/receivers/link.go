package receivers

import (
	"net"
	"time"
)

// Link describes the behaviour of a relay in one direction. The zero Link forwards everything at once.
type Link struct {
	LossRate      float64       // share of datagrams lost
	Delay         time.Duration // added to everything
	Jitter        time.Duration // up to this much more, uniformly distributed: datagrams may overtake each other
	DuplicateRate float64       // share of datagrams forwarded twice
	Blackhole     bool          // nothing is forwarded: datagrams are lost, connections hang
	Resets        bool          // connections are reset, new ones immediately
	ReorderRate   float64       // share of datagrams held back until after the next one
}

// Log receives a line for each action of a relay. It may be called from several goroutines.
type Log func(line string)

// abort closes a connection; one over TCP with a reset, so that its peer gets an error instead of an end of the stream.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
