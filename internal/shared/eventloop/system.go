package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// System is the part of the operating system that a loop uses for TCP connections and time. Programs use the kernel;
// simulations provide a network and a clock of their own. Errors are those of the system calls, possibly wrapped.
type System interface {
	// Now returns the time of a monotonic clock.
	Now() time.Time
	// Wait fills in events and returns their number, after at most timeout milliseconds; -1: no timeout.
	Wait(events []unix.EpollEvent, timeout int) (int, error)
	// Wake ends a Wait from another goroutine; ClearWake consumes its event. Wake may be called after Release, and then has no
	// effect.
	Wake()
	ClearWake()
	// Watch changes the watched events by an operation of epoll_ctl.
	Watch(operation, fd int, event unix.EpollEvent) error
	// Release frees what Wait uses.
	Release()

	Listen(addr netip.AddrPort) (fd int, err error)
	Accept(fd int) (int, error)
	// Connect starts a connection; it is established, or has failed, with its first event.
	Connect(addr netip.AddrPort) (fd int, err error)
	// Address returns the socket's own address; the zero value if it has none.
	Address(fd int) netip.AddrPort
	Read(fd int, b []byte) (int, error)
	// Peek reads a byte without consuming it.
	Peek(fd int) (int, error)
	// Discard consumes received bytes and returns their number, which may exceed len(b). The content of b is undefined.
	Discard(fd int, b []byte) (int, error)
	Write(fd int, b []byte) (int, error)
	// ShutdownWrite closes the write side.
	ShutdownWrite(fd int) error
	// SetResetOnClose makes Close discard what was not sent and reset the connection.
	SetResetOnClose(fd int)
	// SocketError returns and clears the pending error of a socket.
	SocketError(fd int) error
	// Unacknowledged returns the number of sent bytes that the peer's kernel has not acknowledged.
	Unacknowledged(fd int) (int, error)
	Close(fd int)
}
