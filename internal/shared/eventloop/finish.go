package eventloop

import "golang.org/x/sys/unix"

// CloseWrite says that nothing more will be written: once all that was given to Write has gone out, this side of the
// connection is closed. The owner goes on hearing what the peer sends, and Closed when the peer closes, too.
func (c *Conn) CloseWrite() {
	if c.fd < 0 || c.broken || c.closing || c.finishing {
		return
	}
	c.finishing = true
	if len(c.out) == 0 && !c.connecting {
		c.finish()
	}
}

func (c *Conn) finish() {
	c.finished = c.loop.system.ShutdownWrite(c.fd) == nil
}

// PeerReadAll says, within and after Closed, whether the peer has read all that was written: it closed in order, after this
// side had said by Finish that no more would come. A peer that dies with bytes unread, or closes before them, resets
// the connection or leaves it in another state (RFC 9293, 3.6). Of TCP connections alone.
func (c *Conn) PeerReadAll() bool { return c.whole }

// ended looks, when the peer has closed, at what that says of the bytes written.
func (c *Conn) ended() {
	if !c.finished {
		return
	}
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || code != 0 {
		return
	}
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	c.whole = err == nil && (info.State == unix.BPF_TCP_CLOSE || info.State == unix.BPF_TCP_TIME_WAIT)
}

// IterationStats are how long the loop's turns took: all that is done between two waits holds everybody up.
type IterationStats struct {
	Count   uint64
	Longest float64 // seconds, since it was last asked for
}

// TakeIterationStats returns the turns so far; the longest begins anew.
func (l *Loop) TakeIterationStats() IterationStats {
	t := l.turns
	l.turns.Longest = 0
	return t
}

// turned notes the end of a turn.
func (l *Loop) turned() {
	began := l.now
	l.tick()
	l.turns.Count++
	l.turns.Longest = max(l.turns.Longest, l.now-began)
}

// Unacknowledged is how many bytes written wait for the peer's kernel to say that it has them (SIOCOUTQ, tcp(7)).
func (c *Conn) Unacknowledged() int {
	if c.fd < 0 || c.connecting {
		return 0
	}
	n, err := c.loop.system.Unacknowledged(c.fd)
	if err != nil {
		return 0
	}
	return n
}
