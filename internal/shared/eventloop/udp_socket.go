package eventloop

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	maxDatagramBytes         = 2048 // longer datagrams are truncated to this; no sender exceeds it
	maxDatagramsPerIteration = 64   // so that the rest of the loop does not wait for more
)

// UDPSocket is a bound UDP socket. It does not count toward the socket limit.
type UDPSocket struct {
	loop    *Loop
	id      uint32
	fd      int
	handler func(b []byte)
}

// ListenUDP binds a UDP socket; handler gets each datagram and must not retain b. Now is read anew for each of them. An
// address in use is an error that wraps the system's.
func (l *Loop) ListenUDP(addr netip.AddrPort, handler func(b []byte)) (*UDPSocket, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, systemError("socket", err)
	}
	if err := unix.Bind(fd, sa); err != nil {
		unix.Close(fd)
		return nil, systemErrorAt("bind", addr, err)
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

// Addr returns the socket's address.
func (s *UDPSocket) Addr() netip.AddrPort { return addrPortOf(unix.Getsockname(s.fd)) }

// SetHandler replaces the handler of datagrams.
func (s *UDPSocket) SetHandler(handler func(b []byte)) { s.handler = handler }

// SendTo sends one datagram. If the socket buffer is full it is dropped and the error wraps the system's.
func (s *UDPSocket) SendTo(addr netip.AddrPort, b []byte) error {
	_, sa := sockaddr(addr)
	if err := unix.Sendto(s.fd, b, unix.MSG_DONTWAIT, sa); err != nil {
		return systemError("send", err)
	}
	return nil
}

// Close closes the socket. Closing it again has no effect.
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
			return // closed by the handler
		}
		n, _, err := unix.Recvfrom(s.fd, b[:], unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.ECONNREFUSED): // an earlier datagram had no recipient
		case err != nil:
			return
		default:
			s.loop.updateTime() // a datagram is never dated before it was sent: clocks are compared by these times
			s.handler(b[:n])
		}
	}
}
