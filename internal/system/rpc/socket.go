package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive closes an idle connection a few seconds after its peer became silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// configureSocket sets the options of an accepted connection. One that does not support them is served all the same.
func configureSocket(socket net.Conn, userTimeout time.Duration) {
	tcp, isTCP := socket.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = tcp.SetKeepAliveConfig(keepAlive)
	raw, err := tcp.SyscallConn()
	if err == nil {
		_ = raw.Control(func(descriptor uintptr) { setUserTimeout(descriptor, userTimeout) })
	}
}

// controlSocket returns a function that sets the options of a socket before it connects.
func controlSocket(userTimeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) { setUserTimeout(descriptor, userTimeout) })
	}
}

// setUserTimeout has unacknowledged bytes close the connection, which otherwise takes the kernel minutes. On a kernel
// without the option only the deadlines of calls remain.
func setUserTimeout(descriptor uintptr, userTimeout time.Duration) {
	milliseconds := int(userTimeout / time.Millisecond)
	_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
}
