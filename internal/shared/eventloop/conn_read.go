package eventloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

// Bytes returns the received bytes that were not consumed. With ZeroCopyReads they are valid only within Data.
func (c *Conn) Bytes() []byte { return c.received }

// Consume removes the first n received bytes.
func (c *Conn) Consume(n int) {
	if c.fd >= 0 {
		c.loop.bufferedBytes -= n
	}
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
}

// SetPaused pauses or resumes reading, so that flow control stops a peer that sends ahead. If the peer closes
// while reading is paused, Closed is called at once and what it had sent is lost.
func (c *Conn) SetPaused(paused bool) {
	if c.paused != paused && c.fd >= 0 && !c.connecting && !c.failed {
		c.paused = paused
		c.updateEvents()
	}
}

// SetStalled pauses or resumes reading like SetPaused, but Closed is called only after everything was read, even if the
// peer closes or resets the connection meanwhile.
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

// unwatch removes a stalled connection that has ended from epoll, which would report it in every iteration.
func (c *Conn) unwatch() {
	c.unwatched = true
	_ = c.loop.watch(unix.EPOLL_CTL_DEL, c.fd, 0, 0)
}

// mayRead reports whether the handler is to get what arrives.
func (c *Conn) mayRead() bool { return c.fd >= 0 && !c.failed && !c.paused && !c.stalled }

// handleReadable reads what has arrived, as far as maxReadsPerIteration allows, and passes it to the handler.
func (c *Conn) handleReadable() {
	for i := 0; i < maxReadsPerIteration && c.mayRead(); i++ {
		if c.closeAfterFlush { // after the last response nothing that arrives is of interest
			c.discardReceived()
			return
		}
		n, err := c.receive()
		switch {
		case n > 0:
			c.deliver(n)
			if n < len(c.loop.readBuffer) {
				return // a hang-up shows in the next iteration
			}
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return
		case err == nil:
			c.notePeerClose()
			c.fail(io.EOF)
		default:
			c.fail(systemError("read", err))
		}
	}
}

// deliver passes the n bytes in the read buffer to the handler.
func (c *Conn) deliver(n int) {
	c.loop.bufferedBytes += n
	borrowed := c.loop.ZeroCopyReads && len(c.received) == 0
	if borrowed {
		c.received = c.loop.readBuffer[:n:n]
	} else {
		c.received = append(c.received, c.loop.readBuffer[:n]...)
	}
	c.handler.Data(c)
	if borrowed && len(c.received) > 0 {
		c.received = append([]byte(nil), c.received...)
	}
}

// ReadBeforeReset makes the connection deliver what the peer sent before a reset also if a write detects the reset
// first. Otherwise those bytes are lost, and with them a response that arrived while its request was still being
// written.
func (c *Conn) ReadBeforeReset() { c.readBeforeReset = true }

// readRemaining reads what the peer sent before it closed, after a write has failed. Only for connections with
// ReadBeforeReset or descriptor passing.
func (c *Conn) readRemaining() {
	if !c.readBeforeReset && c.descriptors == nil {
		return
	}
	for c.fd >= 0 && c.handler != nil {
		n, err := c.receive()
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || n <= 0 {
			return
		}
		c.received = append(c.received, c.loop.readBuffer[:n]...)
		c.loop.bufferedBytes += n
		c.handler.Data(c)
	}
}
