package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// maxDescriptorsPerRead bounds the descriptors received in one read; a sender passes at most one with each write.
const maxDescriptorsPerRead = 16

// descriptorQueue holds the descriptors passed on a connection between two processes of one machine.
type descriptorQueue struct {
	received []int // not returned by NextDescriptor yet, in order of arrival
	outgoing []outgoingDescriptor
}

// outgoingDescriptor is a descriptor to be sent with the byte at an offset of the unsent bytes.
type outgoingDescriptor struct{ offset, fd int }

// closeAll closes the descriptors that nobody has taken or sent. The queue may be nil.
func (q *descriptorQueue) closeAll() {
	if q == nil {
		return
	}
	for _, fd := range q.received {
		unix.Close(fd)
	}
	for _, descriptor := range q.outgoing {
		unix.Close(descriptor.fd)
	}
	q.received = nil
	q.outgoing = nil
}

// EnableDescriptorPassing allows passing descriptors on the connection, which must be a Unix socket.
func (c *Conn) EnableDescriptorPassing() { c.descriptors = &descriptorQueue{} }

// WriteWithDescriptor writes b and passes fd with its first byte. fd is closed here once it was sent or cannot be.
func (c *Conn) WriteWithDescriptor(b []byte, fd int) {
	if c.fd < 0 || c.failed || c.closeAfterFlush || c.descriptors == nil || len(b) == 0 {
		unix.Close(fd)
		return
	}
	c.descriptors.outgoing = append(c.descriptors.outgoing, outgoingDescriptor{len(c.unsent), fd})
	c.Write(b)
}

// NextDescriptor returns the next received descriptor, which the caller then owns; ok is false if there is none.
func (c *Conn) NextDescriptor() (fd int, ok bool) {
	if c.descriptors == nil || len(c.descriptors.received) == 0 {
		return -1, false
	}
	fd = c.descriptors.received[0]
	c.descriptors.received = c.descriptors.received[1:]
	return fd, true
}

// send writes what the socket accepts of b, the first unsent bytes, along with their descriptors.
func (c *Conn) send(b []byte) (n int, err error) {
	if c.descriptors == nil {
		return c.writeSocket(b)
	}
	for n < len(b) {
		end := len(b)
		var rights []byte // control message with the descriptor that goes along
		for i, next := range c.descriptors.outgoing {
			if i == 0 && next.offset == n {
				rights = unix.UnixRights(next.fd)
			} else { // the next descriptor goes with a write of its own
				end = next.offset
				break
			}
		}
		sent, err := unix.SendmsgN(c.fd, b[n:end], rights, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
		case err != nil:
			return n, systemError("send", err)
		}
		if sent <= 0 {
			break
		}
		n += sent
		if rights != nil {
			unix.Close(c.descriptors.outgoing[0].fd)
			c.descriptors.outgoing = c.descriptors.outgoing[1:]
		}
	}
	for i := range c.descriptors.outgoing {
		c.descriptors.outgoing[i].offset -= n
	}
	return n, nil
}

// receive reads into the loop's buffer and queues the descriptors that came along.
func (c *Conn) receive() (int, error) {
	if c.descriptors == nil {
		return c.loop.system.Read(c.fd, c.loop.readBuffer)
	}
	oob := make([]byte, unix.CmsgSpace(4*maxDescriptorsPerRead))
	n, oobn, _, _, err := unix.Recvmsg(c.fd, c.loop.readBuffer, oob, unix.MSG_DONTWAIT|unix.MSG_CMSG_CLOEXEC)
	if err != nil || oobn == 0 {
		return n, err
	}
	messages, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil {
		return 0, systemError("control message", err)
	}
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
			c.descriptors.received = append(c.descriptors.received, fds...)
		}
	}
	return n, nil
}
