package agent

import (
	"context"
	"errors"
	"time"

	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/retry"
)

const (
	joinTimeout       = time.Second            // for the proxy's first report, after which the agent joins without one
	joinRetryInterval = 200 * time.Millisecond // between attempts to open the gossip socket
)

// join becomes a member once the proxy has reported, or after joinTimeout. Hence an agent that was restarted announces
// the proxy's state at once, and clients keep their connections.
func (a *Agent) join(ctx context.Context) {
	timer := time.NewTimer(joinTimeout)
	defer timer.Stop()
	select {
	case <-a.proxyMonitor.firstReport:
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	member, err := a.startMember(ctx)
	if err != nil {
		if ctx.Err() == nil {
			a.fail(err)
		}
		return
	}
	a.member.Store(member)
	a.peerListNotifier.wakeIfChanged()
	a.proxyMonitor.startAnnouncing(member)
	member.SetSeeds(*a.seeds.Load())
}

// startMember opens the gossip socket, and retries while the address is in use.
func (a *Agent) startMember(ctx context.Context) (*gossip.Memberlist, error) {
	options := gossip.FromSettings(a.settings, gossip.Edge)
	options.Version = a.version
	options.Log = a.log
	options.Seeds = *a.seeds.Load()
	options.OnChange = a.peerListNotifier.wakeIfChanged
	end := time.Now().Add(retry.AddressInUseTimeout)
	for {
		member, err := gossip.Start(options)
		if err == nil {
			return member, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var listenError *gossip.ListenError
		if !errors.As(err, &listenError) || time.Now().After(end) {
			return nil, err
		}
		retry.Sleep(ctx, joinRetryInterval)
	}
}

// proxies returns how many proxies may be sending, 0 if that is not known.
func (a *Agent) proxies() int {
	if member := a.member.Load(); member != nil {
		return member.ProxyCount()
	}
	return 0
}

// otherProxies returns the other proxies that may be sending, nil if they are not known.
func (a *Agent) otherProxies() []feed.Peer {
	if member := a.member.Load(); member != nil {
		return peersFromMembers(member.Peers())
	}
	return nil
}

// leave announces that the agent stops.
func (a *Agent) leave() {
	if member := a.member.Load(); member != nil {
		member.Leave()
	}
	a.log.Info("left membership")
}
