package rpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"cinderroad/internal/system/retry"
)

const (
	// acceptRetryDelay is the pause after a temporary error of Accept, such as a lack of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// handlerStopTimeout bounds the wait for handlers once their contexts have ended. One that waits for a disk may take
	// longer, and ends with the process.
	handlerStopTimeout = 250 * time.Millisecond
)

// server is the set of connections of one listener.
type server struct {
	registry    *Registry
	limits      ServerLimits
	mutex       sync.Mutex
	connections map[*serverCodec]struct{}
	serving     sync.WaitGroup // a goroutine for each connection, which ends after the handlers of its calls
}

// Serve serves the connections of a listener until that is closed or the context ends. It then ends the contexts of all
// handlers of the registry, closes all connections, waits for the handlers, no longer than handlerStopTimeout, and returns
// nil. Any other result is a permanent error of the listener.
func Serve(ctx context.Context, listener net.Listener, registry *Registry, limits ServerLimits) error {
	limits.setDefaults()
	s := &server{registry: registry, limits: limits, connections: make(map[*serverCodec]struct{})}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.waitForHandlers()
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

// isTemporary reports whether accepting may succeed again later.
func isTemporary(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	return errno.Temporary() || errno == syscall.ENOBUFS || errno == syscall.ENOMEM
}

// serveConnection starts to serve a connection, or closes it if there are too many. The goroutine ends with the
// connection.
func (s *server) serveConnection(socket net.Conn) {
	codec := &serverCodec{
		stream: newStream(socket, s.limits.MaxRequestBytes, s.limits.WriteTimeout),
		slots:  make(chan struct{}, s.limits.MaxCallsPerConnection),
	}
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
	s.serving.Go(func() { s.registry.server.ServeCodec(codec) })
}

// waitForHandlers waits until all connections have been served to their end, no longer than handlerStopTimeout.
func (s *server) waitForHandlers() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.serving.Wait()
	}()
	timeout := time.NewTimer(handlerStopTimeout)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
	}
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
