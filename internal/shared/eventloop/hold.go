package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// SetStalled leaves what comes to the system's buffers, as Pause does, and keeps it also when the peer closes or resets
// meanwhile: the end is told once all has been read.
func (c *Conn) SetStalled(stalled bool) {
	if c.stalled == stalled || c.fd < 0 || c.connecting || c.failed {
		return
	}
	c.stalled = stalled
	if !c.unwatched {
		c.updateEvents()
		return
	}
	c.unwatched = false
	if err := c.loop.watch(unix.EPOLL_CTL_ADD, c.fd, c.handle, unix.EPOLLIN|unix.EPOLLRDHUP); err != nil {
		c.failLater(err)
	}
}

// unwatch ends the events of a stalled connection that has ended: they would come in every turn.
func (c *Conn) unwatch() {
	c.unwatched = true
	_ = c.loop.watch(unix.EPOLL_CTL_DEL, c.fd, 0, 0)
}

// Reset closes at once and tells the peer by a reset: what was written must not look like the whole of it.
func (c *Conn) Reset() {
	if c.fd >= 0 {
		c.loop.system.SetResetOnClose(c.fd)
	}
	c.Close()
}

// SetKeepAlive has the system find out about a peer that is gone without a word: unsent is how long bytes may stay without an
// acknowledgement, silent how long the peer may be silent before it is asked, in whole seconds, up to three times.
func (c *Conn) SetKeepAlive(unsent, silent time.Duration) {
	if c.fd < 0 {
		return
	}
	set := func(level, option, value int) { _ = unix.SetsockoptInt(c.fd, level, option, value) }
	seconds := max(1, int(silent/time.Second))
	set(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unsent/time.Millisecond))
	set(unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	set(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds)
	set(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds)
	set(unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 3)
}

// Lingering is how many connections wait for their peer to have read the last that was written.
func (l *Loop) Lingering() int { return len(l.lingering) }
