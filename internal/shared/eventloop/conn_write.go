package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Write sends b, or buffers what the socket does not accept. Errors are reported by Closed, later.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.failed || c.closeAfterFlush || c.closeWriteRequested {
		return
	}
	if len(c.unsent) == 0 && !c.connecting {
		n, err := c.send(b)
		c.writtenBytes += uint64(n)
		if err != nil {
			c.unsent = append(c.unsent, b[n:]...)
			c.failLater(err)
			return
		}
		b = b[n:]
	}
	c.unsent = append(c.unsent, b...)
	if len(c.unsent) > 0 {
		c.updateWriteInterest()
	}
}

// Unsent returns how many bytes given to Write have not been sent.
func (c *Conn) Unsent() int { return len(c.unsent) }

// Written returns how many bytes have been sent since the connection was established.
func (c *Conn) Written() uint64 { return c.writtenBytes }

// Unacknowledged returns how many sent bytes the peer's kernel has not acknowledged (SIOCOUTQ, tcp(7)).
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

// writeSocket writes what the socket accepts of b.
func (c *Conn) writeSocket(b []byte) (n int, err error) {
	for n < len(b) {
		count, err := c.loop.system.Write(c.fd, b[n:])
		if count > 0 {
			n += count
		}
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			return n, nil
		}
		if err != nil {
			return n, systemError("write", err)
		}
	}
	return n, nil
}

// flush sends what the socket accepts of the unsent bytes, and does what is due once there are none.
func (c *Conn) flush() {
	n, err := c.send(c.unsent)
	c.writtenBytes += uint64(n)
	c.unsent = c.unsent[n:]
	if err != nil {
		if c.closeAfterFlush {
			c.Close()
			return
		}
		c.failed = true
		c.readRemaining()
		c.fail(err)
		return
	}
	drained := len(c.unsent) == 0 && c.unsent != nil
	if len(c.unsent) == 0 {
		c.unsent = nil
	}
	c.updateWriteInterest()
	if drainer, ok := c.handler.(Drainer); ok && drained && !c.closeAfterFlush {
		drainer.Drained(c)
		if c.fd < 0 || c.failed {
			return
		}
	}
	if c.closeAfterFlush && len(c.unsent) == 0 {
		c.startLinger()
	}
	if c.closeWriteRequested && !c.writeClosed && len(c.unsent) == 0 {
		c.shutdownWrite()
	}
}

// updateWriteInterest watches for writability exactly while there is something to write.
func (c *Conn) updateWriteInterest() {
	if c.fd < 0 || c.connecting {
		return
	}
	awaitsWritable := len(c.unsent) > 0
	if awaitsWritable != c.awaitsWritable {
		c.awaitsWritable = awaitsWritable
		c.updateEvents()
	}
}
