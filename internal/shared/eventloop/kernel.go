package eventloop

import (
	"errors"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Connections that wait to be accepted, per listener.
const (
	acceptBacklog = 1024
	unixBacklog   = 8
)

// kernel is the System of programs.
type kernel struct {
	epollFD int
	wakeFD  int

	// wakeMutex keeps Wake, which any goroutine may call at any time, from writing to wakeFD after its release: another
	// file may have the number by then.
	wakeMutex sync.Mutex
	released  bool
}

func newKernel() (*kernel, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, systemError("epoll", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epoll)
		return nil, systemError("eventfd", err)
	}
	k := &kernel{epollFD: epoll, wakeFD: wake}
	if err := k.Watch(unix.EPOLL_CTL_ADD, wake, unix.EpollEvent{Events: unix.EPOLLIN, Fd: wakeHandle}); err != nil {
		k.Release()
		return nil, err
	}
	return k, nil
}

// Now implements System: the monotonic clock of package time.
func (k *kernel) Now() time.Time { return time.Now() }

// Wait implements System: epoll_wait. A signal ends it without events.
func (k *kernel) Wait(events []unix.EpollEvent, timeout int) (int, error) {
	n, err := unix.EpollWait(k.epollFD, events, timeout)
	if err != nil && !errors.Is(err, unix.EINTR) {
		return 0, systemError("epoll wait", err)
	}
	return max(n, 0), nil
}

// Wake implements System: it writes to an eventfd that epoll watches.
func (k *kernel) Wake() {
	k.wakeMutex.Lock()
	defer k.wakeMutex.Unlock()
	if k.released {
		return
	}
	one := [8]byte{1}
	_, _ = unix.Write(k.wakeFD, one[:])
}

// ClearWake implements System: it reads the eventfd.
func (k *kernel) ClearWake() {
	var count [8]byte
	_, _ = unix.Read(k.wakeFD, count[:])
}

// Watch implements System: epoll_ctl.
func (k *kernel) Watch(operation, fd int, event unix.EpollEvent) error {
	if err := unix.EpollCtl(k.epollFD, operation, fd, &event); err != nil {
		return systemError("epoll ctl", err)
	}
	return nil
}

// Release implements System: it closes epoll and the eventfd.
func (k *kernel) Release() {
	k.wakeMutex.Lock()
	defer k.wakeMutex.Unlock()
	k.released = true
	unix.Close(k.wakeFD)
	unix.Close(k.epollFD)
}

// Listen implements System, with SO_REUSEADDR.
func (k *kernel) Listen(addr netip.AddrPort) (int, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, systemError("socket", err)
	}
	// a restarted process must get its address although connections of the previous one linger
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, sa); err != nil {
		unix.Close(fd)
		return -1, systemErrorAt("bind", addr, err)
	}
	if err := unix.Listen(fd, acceptBacklog); err != nil {
		unix.Close(fd)
		return -1, systemErrorAt("listen", addr, err)
	}
	return fd, nil
}

// Accept implements System: accept4, for a descriptor that does not block.
func (k *kernel) Accept(fd int) (int, error) {
	accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return accepted, err
}

// Connect implements System: a non-blocking connect, whose end epoll reports.
func (k *kernel) Connect(addr netip.AddrPort) (int, error) {
	family, sa := sockaddr(addr)
	return connectSocket(family, sa)
}

// connectSocket starts a connection.
func connectSocket(family int, sa unix.Sockaddr) (int, error) {
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, systemError("socket", err)
	}
	if err := unix.Connect(fd, sa); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		unix.Close(fd)
		return -1, systemError("connect", err)
	}
	return fd, nil
}

// Address implements System: getsockname.
func (k *kernel) Address(fd int) netip.AddrPort { return addrPortOf(unix.Getsockname(fd)) }

// Read implements System: read, which does not block.
func (k *kernel) Read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

// Peek implements System: recv with MSG_PEEK.
func (k *kernel) Peek(fd int) (int, error) {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// Discard implements System: recv with MSG_TRUNC, which consumes without copying.
func (k *kernel) Discard(fd int, b []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, b, unix.MSG_TRUNC|unix.MSG_DONTWAIT) // nothing is copied
	return n, err
}

// Write implements System: write, which does not block.
func (k *kernel) Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

// ShutdownWrite implements System: shutdown of the write side.
func (k *kernel) ShutdownWrite(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) }

// SetResetOnClose implements System: SO_LINGER of no time.
func (k *kernel) SetResetOnClose(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
}

// SocketError implements System: SO_ERROR.
func (k *kernel) SocketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// Unacknowledged implements System: SIOCOUTQ (tcp(7)).
func (k *kernel) Unacknowledged(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) }

// Close implements System. Its error is dropped: the descriptor is gone in any case.
func (k *kernel) Close(fd int) { unix.Close(fd) }
