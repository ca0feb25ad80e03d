package eventloop

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"
)

// Close closes the connection; the handler gets no more callbacks. Closing it again has no effect.
func (c *Conn) Close() {
	if c.readFirst {
		c.readFirst = false
		if i := slices.Index(c.loop.readFirst, c); i >= 0 {
			// A new list, because the loop may be iterating over this one.
			c.loop.readFirst = slices.Concat(c.loop.readFirst[:i], c.loop.readFirst[i+1:])
		}
	}
	c.lingerTimer.Stop()
	c.descriptors.closeAll()
	if c.lingering {
		c.lingering = false
		c.loop.lingering = slices.DeleteFunc(c.loop.lingering, func(other *Conn) bool { return other == c })
	}
	c.loop.conns.Remove(c.handle)
	if c.reservedBy != nil {
		c.reservedBy.reservedOpen--
		c.loop.reservedSockets--
		c.reservedBy = nil
	}
	if c.fd >= 0 {
		c.loop.system.Close(c.fd)
		c.fd = -1
		c.loop.bufferedBytes -= len(c.received) // the owner may still read them
	}
	c.handler = nil
	c.failed = true
}

// Reset closes the connection with a reset, so that the peer cannot mistake what was written for a complete message.
func (c *Conn) Reset() {
	if c.fd >= 0 {
		c.loop.system.SetResetOnClose(c.fd)
	}
	c.Close()
}

// CloseWrite closes the write side once everything given to Write has been sent. The handler still gets what the peer
// sends, and Closed when the peer closes.
func (c *Conn) CloseWrite() {
	if c.fd < 0 || c.failed || c.closeAfterFlush || c.closeWriteRequested {
		return
	}
	c.closeWriteRequested = true
	if len(c.unsent) == 0 && !c.connecting {
		c.shutdownWrite()
	}
}

// shutdownWrite closes the write side for CloseWrite.
func (c *Conn) shutdownWrite() {
	c.writeClosed = c.loop.system.ShutdownWrite(c.fd) == nil
}

// PeerReadAll reports, during and after Closed, whether the peer has read everything that was written: it closed in
// order after this side had closed its write side by CloseWrite. A peer that exits with unread bytes, or closes before
// reading them, resets the connection or leaves it in another state (RFC 9293, 3.6). TCP only.
func (c *Conn) PeerReadAll() bool { return c.peerReadAll }

// notePeerClose determines PeerReadAll when the peer has closed.
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

// CloseAfterFlush closes the connection once everything given to Write has been sent and the peer has closed its side,
// or after lingerSeconds. The handler gets no more callbacks; what the peer still sends is discarded.
func (c *Conn) CloseAfterFlush() {
	if c.fd < 0 || c.failed || c.closeAfterFlush {
		return
	}
	c.closeAfterFlush = true
	c.loop.bufferedBytes -= len(c.received)
	c.received = nil
	c.lingerTimer = c.loop.At(c.loop.now+lingerSeconds, c.Close)
	if len(c.unsent) == 0 {
		c.startLinger()
	}
}

// startLinger closes the write side and waits for the peer to close.
func (c *Conn) startLinger() {
	c.lingering = true
	c.SetPaused(false)
	if err := c.loop.system.ShutdownWrite(c.fd); err != nil {
		c.Close()
		return
	}
	c.loop.lingering = append(c.loop.lingering, c)
	if len(c.loop.lingering) > maxLingering {
		c.loop.lingering[0].Close()
	}
}

// discardReceived discards what has arrived.
func (c *Conn) discardReceived() {
	for i := 0; i < maxReadsPerIteration && c.fd >= 0; i++ {
		n, err := c.loop.system.Discard(c.fd, c.loop.readBuffer)
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
			return
		}
		c.discardedBytes += n
		if err != nil || n == 0 || c.discardedBytes > maxLingerDiscardBytes {
			c.Close()
		}
	}
}

// Lingering returns how many connections wait for their peer to read the last bytes and close.
func (l *Loop) Lingering() int { return len(l.lingering) }
