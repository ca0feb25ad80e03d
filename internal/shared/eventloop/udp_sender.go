package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// UDPSender sends datagrams to one address (UDP). Nothing is read; what the system hears of a refusal is told by Send or
// Refused.
type UDPSender struct{ fd int }

// ConnectUDP opens a socket for datagrams to addr. It counts as none of the loop's sockets.
func (l *Loop) ConnectUDP(addr netip.AddrPort) (*UDPSender, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("transport: socket: %w", err)
	}
	if err := unix.Connect(fd, sa); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("transport: connect %s: %w", addr, err)
	}
	return &UDPSender{fd}, nil
}

// Send sends one datagram; an error may be of an earlier one.
func (d *UDPSender) Send(b []byte) error {
	if _, err := unix.Write(d.fd, b); err != nil {
		return fmt.Errorf("transport: send: %w", err)
	}
	return nil
}

// PendingError is what the system has heard of datagrams sent before; nil is nothing.
func (d *UDPSender) PendingError() error {
	code, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

// Close closes the socket.
func (d *UDPSender) Close() { unix.Close(d.fd) }
