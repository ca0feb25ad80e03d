package eventloop

import "golang.org/x/sys/unix"

// CloseWrite says that nothing more will be written: once all that was given to Write has gone out, this side of the
// connection is closed. The owner goes on hearing what the peer sends, and Closed when the peer closes, too.
func (c *Conn) CloseWrite() {
	if c.fd < 0 || c.failed || c.closeAfterFlush || c.closeWriteRequested {
		return
	}
	c.closeWriteRequested = true
	if len(c.unsent) == 0 && !c.connecting {
		c.shutdownWrite()
	}
}

func (c *Conn) shutdownWrite() {
	c.writeClosed = c.loop.system.ShutdownWrite(c.fd) == nil
}

// PeerReadAll says, within and after Closed, whether the peer has read all that was written: it closed in order, after this
// side had said by Finish that no more would come. A peer that dies with bytes unread, or closes before them, resets
// the connection or leaves it in another state (RFC 9293, 3.6). Of TCP connections alone.
func (c *Conn) PeerReadAll() bool { return c.peerReadAll }

// notePeerClose looks, when the peer has closed, at what that says of the bytes written.
func (c *Conn) notePeerClose() {
	if !c.writeClosed {
		return
	}
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || code != 0 {
		return
	}
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	c.peerReadAll = err == nil && (info.State == unix.BPF_TCP_CLOSE || info.State == unix.BPF_TCP_TIME_WAIT)
}

// IterationStats are how long the loop's turns took: all that is done between two waits holds everybody up.
type IterationStats struct {
	Count   uint64
	Longest float64 // seconds, since it was last asked for
}

// TakeIterationStats returns the turns so far; the longest begins anew.
func (l *Loop) TakeIterationStats() IterationStats {
	t := l.iterations
	l.iterations.Longest = 0
	return t
}

// endIteration notes the end of a turn.
func (l *Loop) endIteration() {
	began := l.now
	l.updateTime()
	l.iterations.Count++
	l.iterations.Longest = max(l.iterations.Longest, l.now-began)
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
