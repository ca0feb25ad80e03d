package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// UDPSender sends datagrams to one address. Nothing is received; errors that the network reports later are returned by
// Send or PendingError.
type UDPSender struct{ fd int }

// ConnectUDP creates a sender to addr. It does not count toward the socket limit.
func (l *Loop) ConnectUDP(addr netip.AddrPort) (*UDPSender, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, systemError("socket", err)
	}
	if err := unix.Connect(fd, sa); err != nil {
		unix.Close(fd)
		return nil, systemErrorAt("connect", addr, err)
	}
	return &UDPSender{fd}, nil
}

// Send sends one datagram. The error may concern an earlier one.
func (d *UDPSender) Send(b []byte) error {
	if _, err := unix.Write(d.fd, b); err != nil {
		return systemError("send", err)
	}
	return nil
}

// PendingError returns and clears the error reported for earlier datagrams; nil: none.
func (d *UDPSender) PendingError() error {
	code, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return fmt.Errorf("eventloop: %w", err)
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

// Close closes the socket.
func (d *UDPSender) Close() { unix.Close(d.fd) }
