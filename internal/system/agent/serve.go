package agent

import (
	"context"
	"fmt"
	"net"

	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

const (
	maxProxyConnections = 16
	maxPeerConnections  = 64
	peerLinkShare       = 0.25    // of the machine's link, for feeds of other agents; the rest is for the proxy's requests
	maxRequestBytes     = 8 << 20 // of a request: a report carries the proxy's snapshot
)

// serve starts to serve the proxy and other agents.
func (a *Agent) serve(ctx context.Context) {
	proxyRegistry := rpc.NewRegistry()
	proxyServer := a.newFeedServer(a.store.servedSources(), a.store.servedNotifier, 0)
	feedserver.FollowMethod.Handle(proxyRegistry, func(ctx context.Context, request *feed.FollowRequest) (*feed.FollowReply, error) {
		a.store.setProxyPositions(request.Positions)
		return a.peerListNotifier.handleFollow(ctx, request, proxyServer.Follow)
	})
	reportMethod.Handle(proxyRegistry, a.proxyMonitor.handleReport)
	a.serveRegistry(ctx, a.proxyListener, proxyRegistry, rpc.ServerLimits{
		MaxConnections:  maxProxyConnections,
		MaxRequestBytes: maxRequestBytes,
	})

	peerRegistry := rpc.NewRegistry()
	bulkBytesPerSecond := peerLinkShare * a.settings.Limits.LinkBytesPerSecond()
	peerServer := a.newFeedServer(a.store.baseSources(), a.store.baseNotifier, bulkBytesPerSecond)
	feedserver.FollowMethod.Handle(peerRegistry, peerServer.Follow)
	a.serveRegistry(ctx, a.peerListener, peerRegistry, rpc.ServerLimits{
		MaxConnections:  maxPeerConnections,
		MaxRequestBytes: maxRequestBytes,
	})
}

// newFeedServer returns a server of the given tables. bulkBytesPerSecond limits what it sends as snapshots; 0: no limit.
func (a *Agent) newFeedServer(sources []feedserver.Source, notifier *feedserver.Notifier, bulkBytesPerSecond float64) *feedserver.Server {
	return feedserver.New(feedserver.Options{
		Sources:            sources,
		Notifier:           notifier,
		Now:                a.now,
		Age:                a.store.age,
		ProxyCount:         a.proxies,
		BulkBytesPerSecond: bulkBytesPerSecond,
	})
}

// serveRegistry serves calls until ctx ends. An error ends the agent.
func (a *Agent) serveRegistry(ctx context.Context, listener net.Listener, registry *rpc.Registry, limits rpc.ServerLimits) {
	a.goroutines.Go(func() {
		if err := rpc.Serve(ctx, listener, registry, limits); err != nil {
			a.fail(fmt.Errorf("agent: %w", err))
		}
	})
}

// updateProxyConnections passes on the number of the proxy's connections. It reads the number anew, since calls may
// come in any order.
func (a *Agent) updateProxyConnections(int) { a.proxyMonitor.setConnections(a.proxyListener.count()) }
