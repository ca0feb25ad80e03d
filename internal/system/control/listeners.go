package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/multierr"

	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/control/directory"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/system/rpc"
)

// Limits of HTTP connections.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second // of a request with its body
	writeTimeout      = 30 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Limits of the RPC server: every agent may follow this machine, and replicas call each other.
const (
	maxRPCConnections        = 1024
	maxRPCCallsPerConnection = 64
)

// openListeners joins the membership, opens the addresses that the settings name and serves them. After an error it has
// left the membership and closed the HTTP servers; the caller cancels p.context, which ends the RPC server.
func (p *Process) openListeners(ctx context.Context, options Options) (err error) {
	settings := options.Settings
	defer func() {
		if err != nil {
			err = multierr.Append(err, p.closeServers(abortTimeout))
			p.leave()
		}
	}()
	if p.gossip, err = p.startGossip(ctx, options); err != nil {
		return err
	}
	if err = p.serveRPC(ctx, settings); err != nil {
		return err
	}
	if err = p.serveHTTP(ctx, settings.ListenOn.Control, p.controlHandler()); err != nil {
		return err
	}
	handler := &directory.Handler{Source: p, MaxTTL: settings.Timing.TTLMax}
	return p.serveHTTP(ctx, settings.ListenOn.Directory, newDirectoryMux(handler))
}

// startGossip joins the membership of all processes. It retries for a while if an earlier process still has the
// address.
func (p *Process) startGossip(ctx context.Context, options Options) (*gossip.Memberlist, error) {
	memberOptions := gossip.FromSettings(options.Settings, gossip.Control)
	memberOptions.Version = options.Version
	memberOptions.Log = options.Log
	memberOptions.OnChange = p.memberChanged
	var member *gossip.Memberlist
	err := retry.WhileAddressInUse(ctx, func() (err error) {
		member, err = gossip.Start(memberOptions)
		return err
	})
	if err != nil {
		return nil, err
	}
	member.SetServing(gossip.ServingNow)
	return member, nil
}

// serveRPC serves replication, the feed and the exchanges of counters.
func (p *Process) serveRPC(ctx context.Context, settings *processconfig.Settings) error {
	address := netip.AddrPortFrom(settings.IP, settings.Port(processconfig.ControlRPCPort))
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	registry := rpc.NewRegistry()
	p.host.Register(registry)
	feedserver.FollowMethod.Handle(registry, p.feedServer.Follow)
	if p.counters != nil {
		p.counters.Register(registry)
	}
	limits := rpc.ServerLimits{MaxConnections: maxRPCConnections, MaxCallsPerConnection: maxRPCCallsPerConnection}
	p.goroutines.Go(func() {
		if err := rpc.Serve(p.context, listener, registry, limits); err != nil {
			p.reportFailure(fmt.Errorf("control: RPC at %v ended: %w", address, err))
		}
	})
	return nil
}

func (p *Process) operatorAPI() http.Handler {
	return api.New(api.Options{
		Replicas:   p.host,
		State:      p.configuration,
		ZoneExists: p.zoneExists,
		Status:     p.encodeStatus,
		Log:        p.log,
	})
}

// newDirectoryMux routes only the directory's path: its address is open to clients.
func newDirectoryMux(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(directory.Path, handler)
	return mux
}

// serveHTTP listens on an address and serves it; the zero address is not served.
func (p *Process) serveHTTP(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	if !address.IsValid() {
		return nil
	}
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	p.serve(listener, handler)
	return nil
}

// serve serves a listener until closeServers. An error of the server ends the process.
func (p *Process) serve(listener net.Listener, handler http.Handler) {
	server := newServer(handler)
	p.servers = append(p.servers, server)
	p.goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.reportFailure(fmt.Errorf("control: HTTP at %v ended: %w", listener.Addr(), err))
		}
	})
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// listen opens an address. It retries for a while if an earlier process still has it.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := retry.Listen(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("control: listen on %v, check that no other process has the address: %w", address, err)
	}
	return listener, nil
}

// closeServers shuts the HTTP servers down; calls in flight have the time given to end.
func (p *Process) closeServers(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var err error
	for _, server := range p.servers {
		err = multierr.Append(err, server.Shutdown(ctx))
	}
	return err
}
