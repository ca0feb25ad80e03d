package rpc

import (
	"context"
	"errors"
	"net"
	netrpc "net/rpc"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cinderroad/internal/system/retry"
)

// ServerLimits bound what a server takes. Fields that are 0 have the defaults.
type ServerLimits struct {
	MaxConnections        int           // at once; more are closed as they come; default 256
	MaxCallsPerConnection int           // unanswered at once on a connection; more wait unread; default 32
	MaxRequestBytes       int64         // default 64 MiB
	WriteTimeout          time.Duration // after which a caller that does not read loses its connection; default 3 s
}

const (
	defaultMaxConnections        = 256
	defaultMaxCallsPerConnection = 32
	defaultMaxRequestBytes       = 64 << 20
	defaultWriteTimeout          = 3 * time.Second
	acceptRetryDelay             = 50 * time.Millisecond // after an error that may pass, as when descriptors run out
)

// keepAlive has a connection on which nothing is sent end a few seconds after its peer went silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

func (l *ServerLimits) setDefaults() {
	setDefault(&l.MaxConnections, defaultMaxConnections)
	setDefault(&l.MaxCallsPerConnection, defaultMaxCallsPerConnection)
	setDefault(&l.MaxRequestBytes, defaultMaxRequestBytes)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
}

// Registry holds the handlers of a server.
type Registry struct {
	server         *netrpc.Server
	handlerContext context.Context
	cancelHandlers context.CancelFunc
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	return &Registry{server: netrpc.NewServer(), handlerContext: ctx, cancelHandlers: cancel}
}

func (r *Registry) register(name string, receiver any) {
	if err := r.server.RegisterName(name, receiver); err != nil {
		panic(err)
	}
}

// server is one listener's connections.
type server struct {
	registry    *Registry
	limits      ServerLimits
	mutex       sync.Mutex
	connections map[*serverCodec]struct{}
}

// Serve answers calls that come to the listener until it is closed or the context ends, which also ends the contexts of
// all handlers of the registry, and returns once all connections are closed. It returns nil then.
func Serve(ctx context.Context, listener net.Listener, registry *Registry, limits ServerLimits) error {
	limits.setDefaults()
	s := &server{registry: registry, limits: limits, connections: make(map[*serverCodec]struct{})}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.closeAll()
	defer registry.cancelHandlers()
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.serveConnection(socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		case ctx.Err() != nil:
			return nil
		case !isTemporary(err):
			return err
		default:
			retry.Sleep(ctx, acceptRetryDelay)
		}
	}
}

// isTemporary says whether accepting may succeed again later.
func isTemporary(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	return errno.Temporary() || errno == syscall.ENOBUFS || errno == syscall.ENOMEM
}

// serveConnection serves a connection, or closes it where there are too many.
func (s *server) serveConnection(socket net.Conn) {
	codec := &serverCodec{stream: newStream(socket, s.limits.MaxRequestBytes, s.limits.WriteTimeout),
		slots: make(chan struct{}, s.limits.MaxCallsPerConnection)}
	codec.onClose = func() { s.removeConnection(codec) }
	s.mutex.Lock()
	full := len(s.connections) >= s.limits.MaxConnections
	if !full {
		s.connections[codec] = struct{}{}
	}
	s.mutex.Unlock()
	if full {
		socket.Close()
		return
	}
	configureSocket(socket, s.limits.WriteTimeout)
	go s.registry.server.ServeCodec(codec)
}

func (s *server) removeConnection(codec *serverCodec) {
	s.mutex.Lock()
	delete(s.connections, codec)
	s.mutex.Unlock()
}

func (s *server) closeAll() {
	s.mutex.Lock()
	codecs := make([]*serverCodec, 0, len(s.connections))
	for codec := range s.connections {
		codecs = append(codecs, codec)
	}
	s.mutex.Unlock()
	for _, codec := range codecs {
		codec.shutdown()
	}
}

// configureSocket sets the options of an accepted connection; one that does not take them is served all the same.
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

// controlSocket sets the options of a socket before it connects.
func controlSocket(userTimeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) { setUserTimeout(descriptor, userTimeout) })
	}
}

// setUserTimeout has unacknowledged bytes end the connection; without it that takes the kernel minutes. A kernel that
// does not know the option leaves the calls' own deadlines.
func setUserTimeout(descriptor uintptr, userTimeout time.Duration) {
	milliseconds := int(userTimeout / time.Millisecond)
	_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
}
