package exposition

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits of connections that ask for metrics.
const (
	headerTimeout  = 2 * time.Second
	idleTimeout    = 10 * time.Second
	maxHeaderBytes = 8 << 10
)

// Serve serves a page, which fill writes anew for each request, at an address until the context ends; it serves none at
// the zero address. It returns once the address is open, and adds the server's goroutine to those that the caller waits
// for. A process works without its metrics, so Serve only logs failures.
func Serve(ctx context.Context, goroutines *sync.WaitGroup, log *zap.Logger, address netip.AddrPort, fill func(*Page)) {
	if !address.IsValid() {
		return
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		log.Warn("cannot serve metrics; check that no other process holds the port", zap.Error(err))
		return
	}
	server := &http.Server{
		Handler:           Handler(fill),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Warn("metrics server failed", zap.Error(err))
		}
	})
	context.AfterFunc(ctx, func() { server.Close() })
}
