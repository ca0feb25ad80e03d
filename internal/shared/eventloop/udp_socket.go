package eventloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	maxDatagramBytes         = 2048 // bytes that are read of one; a longer one arrives cut to this, which is more than anybody may send
	maxDatagramsPerIteration = 64   // read in a turn: the jobs must not wait for more
)

// UDPSocket is a bound UDP socket: datagrams come from anybody and go to anybody. It counts as none of the loop's sockets.
type UDPSocket struct {
	loop    *Loop
	id      uint32
	fd      int
	handler func(b []byte)
}

// ListenUDP binds a UDP socket; take gets each datagram and keeps nothing of b. What several sockets of one process
// would share, the address, is refused to the second: errors wrap the system's.
func (l *Loop) ListenUDP(addr netip.AddrPort, handler func(b []byte)) (*UDPSocket, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("transport: socket: %w", err)
	}
	if err := unix.Bind(fd, sa); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("transport: bind %s: %w", addr, err)
	}
	l.lastUDPSocket++ // handles of slots are above these numbers
	socket := &UDPSocket{loop: l, id: l.lastUDPSocket, fd: fd, handler: handler}
	if err := l.watch(unix.EPOLL_CTL_ADD, fd, udpHandle(socket.id), unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.udpSockets[socket.id] = socket
	return socket, nil
}

// Addr is the address the socket has.
func (s *UDPSocket) Addr() netip.AddrPort { return addrPortOf(unix.Getsockname(s.fd)) }

// SetHandler changes who gets the datagrams.
func (s *UDPSocket) SetHandler(handler func(b []byte)) { s.handler = handler }

// SendTo sends one datagram. With no room for it in the system it is dropped, and the error says so.
func (s *UDPSocket) SendTo(addr netip.AddrPort, b []byte) error {
	_, sa := sockaddr(addr)
	if err := unix.Sendto(s.fd, b, unix.MSG_DONTWAIT, sa); err != nil {
		return fmt.Errorf("transport: send: %w", err)
	}
	return nil
}

// Close closes the socket; closing it again does nothing.
func (s *UDPSocket) Close() {
	if s.loop.udpSockets[s.id] == s {
		delete(s.loop.udpSockets, s.id)
		unix.Close(s.fd)
	}
}

func (s *UDPSocket) handleReadable() {
	var b [maxDatagramBytes]byte
	for range maxDatagramsPerIteration {
		if s.loop.udpSockets[s.id] != s {
			return // closed by what it took
		}
		n, _, err := unix.Recvfrom(s.fd, b[:], unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.ECONNREFUSED): // what was sent to one that has gone
		case err != nil:
			return
		default:
			s.handler(b[:n])
		}
	}
}
