package exposition

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// Bounds of connections that ask for the page.
const (
	headerTimeout  = 2 * time.Second
	idleTimeout    = 10 * time.Second
	maxHeaderBytes = 8 << 10 // bytes
)

// Serve serves a page, filled anew for each call, at an address until the context ends; at the zero address none is served.
// A process does its work without its page, so what fails is logged and nothing more. It returns once the address is open.
func Serve(ctx context.Context, log *zap.Logger, address netip.AddrPort, fill func(*Page)) {
	if !address.IsValid() {
		return
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		log.Warn("figures are not served, check that no other process holds their port", zap.Error(err))
		return
	}
	server := &http.Server{Handler: Handler(fill), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Warn("figures are not served any more", zap.Error(err))
		}
	}()
	context.AfterFunc(ctx, func() { server.Close() })
}
