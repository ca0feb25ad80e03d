// Package agent is the process beside a proxy: it is a member of the system, follows the feed of the control replicas,
// serves it on to the proxy over loopback and to other agents that have nothing, tells the members how the proxy is, and
// asks the platform itself while it is cut off from the control replicas.
package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cinderroad/internal/system/agent/fallback"
	"cinderroad/internal/system/agent/upstream"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/exposition"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/system/rpc"
	"cinderroad/internal/system/shutdown"
)

const (
	joinTimeout       = time.Second             // without a report of the proxy: a proxy that serves is to be told of at once
	joinRetryInterval = 200 * time.Millisecond  // between two tries for the gossip address
	maxPeerCandidates = 3                       // other agents that one which has nothing asks
	minStopTime       = 1500 * time.Millisecond // after SIGTERM: the members are to hear that the proxy stops

	maxProxyConnections = 16
	maxPeerConnections  = 64
	peerLinkShare       = 0.25    // of the machine's link, for what other agents are sent; requests have the rest
	maxRequestBytes     = 8 << 20 // of a report, with what the proxy has learnt
)

// Options are an agent's.
type Options struct {
	Settings *processconfig.Settings
	Version  string // of the program
	Log      *zap.Logger
	Metrics  netip.AddrPort // where the agent serves its own figures; the zero value: nowhere

	loopback netip.Addr       // address at which the proxy is served; the zero value: as the settings have it
	upstream upstream.Options // of the choice of replicas
}

// Agent is a running agent.
type Agent struct {
	settings      *processconfig.Settings
	version       string
	log           *zap.Logger
	epoch         time.Time
	metrics       netip.AddrPort
	stoppingSince atomic.Int64 // when the signal to stop came, by now; 0: it did not

	store          *store
	peerNotifier   *peerNotifier
	proxyMonitor   *proxyMonitor
	platformPoller *platformPoller
	follower       *follower
	member         atomic.Pointer[gossip.Gossip]
	seeds          atomic.Pointer[[]netip.AddrPort] // gossip addresses

	proxyListener *countingListener // for the proxy
	peerListener  net.Listener      // for other agents
	failures      chan error
	goroutines    sync.WaitGroup
}

// New opens the agent's listeners.
func New(ctx context.Context, options Options) (*Agent, error) {
	a := &Agent{
		settings: options.Settings,
		version:  options.Version,
		log:      options.Log,
		epoch:    time.Now(),
		metrics:  options.Metrics,
		failures: make(chan error, 4),
	}
	a.Reload(options.Settings)
	a.store = newStore(a.now, feed.RunnerPartitionCount)
	a.peerNotifier = newPeerNotifier(a.now, a.otherProxies)
	a.proxyMonitor = newProxyMonitor(a.log, a.now)
	options.upstream.Partitions = 1 + feed.RunnerPartitionCount
	client := discovery.NewClient(discovery.ClientOptions{Address: a.settings.CloudAPI.Address})
	a.platformPoller = newPlatformPoller(a.log, a.now, client, a.store, a.pollPace, rand.Float64)
	a.follower = &follower{
		node:       a.settings.Node,
		log:        a.log,
		now:        a.now,
		store:      a.store,
		selector:   upstream.New(options.upstream, a.now()),
		candidates: a.candidates,
		isPeer:     a.isPeer,
		onStep:     a.updateCutOff,
	}
	return a, a.open(ctx, options.loopback)
}

func (a *Agent) open(ctx context.Context, loopback netip.Addr) error {
	feed := a.settings.AgentFeedAddress()
	if loopback.IsValid() {
		feed = netip.AddrPortFrom(loopback, feed.Port())
	}
	local, err := retry.Listen(ctx, feed)
	if err != nil {
		return fmt.Errorf("agent: cannot listen for the proxy, check that no other agent runs: %w", err)
	}
	a.proxyListener = &countingListener{Listener: local, changed: a.updateProxyConnections}
	machine := netip.AddrPortFrom(a.settings.IP, a.settings.Port(processconfig.AgentRPCPort))
	a.peerListener, err = retry.Listen(ctx, machine)
	if err != nil {
		local.Close()
		return fmt.Errorf("agent: cannot listen for other agents, check that no other agent runs: %w", err)
	}
	return nil
}

// now is the agent's steady clock.
func (a *Agent) now() time.Duration { return time.Since(a.epoch) }

// Reload takes settings that have changed: the seeds; all else needs a new process.
func (a *Agent) Reload(settings *processconfig.Settings) {
	seeds := gossip.SeedAddresses(settings)
	a.seeds.Store(&seeds)
	if member := a.member.Load(); member != nil {
		member.Seek(seeds)
	}
}

// Run serves until the context ends, and then until the proxy has ended, or the grace period nearly has.
func (a *Agent) Run(ctx context.Context) error {
	running, end := context.WithCancel(context.Background())
	defer a.goroutines.Wait()
	defer end()
	a.serve(running)
	exposition.Serve(running, a.log, a.metrics, a.expose)
	a.goroutines.Go(func() { a.follower.run(running) })
	a.goroutines.Go(func() { a.platformPoller.run(running) })
	a.goroutines.Go(func() { a.join(running) })
	select {
	case <-ctx.Done():
	case err := <-a.failures:
		if member := a.member.Load(); member != nil {
			member.Close() // without a word: the proxy may send on
		}
		return err
	}
	a.stop()
	return nil
}

// serve answers the proxy and other agents.
func (a *Agent) serve(ctx context.Context) {
	local := rpc.NewRegistry()
	toProxy := a.newFeedServer(a.store.servedSources(), a.store.servedNotifier, 0)
	feedserver.FollowMethod.Handle(local, func(ctx context.Context, request *feed.FollowRequest) (*feed.FollowReply, error) {
		a.store.setProxyPositions(request.Positions)
		return a.peerNotifier.handleFollow(ctx, request, toProxy.Follow)
	})
	ReportCall.Handle(local, a.proxyMonitor.handleReport)
	a.serveRegistry(ctx, a.proxyListener, local, rpc.ServerLimits{MaxConnections: maxProxyConnections, MaxRequestBytes: maxRequestBytes})

	peers := rpc.NewRegistry()
	pace := peerLinkShare * a.settings.Limits.LinkBytesPerSecond()
	feedserver.FollowMethod.Handle(peers, a.newFeedServer(a.store.baseSources(), a.store.baseNotifier, pace).Follow)
	a.serveRegistry(ctx, a.peerListener, peers, rpc.ServerLimits{MaxConnections: maxPeerConnections, MaxRequestBytes: maxRequestBytes})
}

func (a *Agent) newFeedServer(sources []feedserver.Source, notifier *feedserver.Notifier, pace float64) *feedserver.Server {
	return feedserver.New(feedserver.Options{
		Sources:            sources,
		Notifier:           notifier,
		Now:                a.now,
		Age:                a.store.age,
		ProxyCount:         a.proxies,
		BulkBytesPerSecond: pace,
	})
}

func (a *Agent) serveRegistry(ctx context.Context, listener net.Listener, registry *rpc.Registry, limits rpc.ServerLimits) {
	a.goroutines.Go(func() {
		if err := rpc.Serve(ctx, listener, registry, limits); err != nil {
			a.fail(fmt.Errorf("agent: %w", err))
		}
	})
}

func (a *Agent) fail(err error) {
	select {
	case a.failures <- err:
	default:
	}
}

// join becomes a member once the proxy has reported, or after a while: an agent that was started again says at once what
// is so of the proxy, and clients stay.
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
		a.fail(err)
		return
	}
	if member == nil {
		return
	}
	a.member.Store(member)
	a.peerNotifier.wakeIfChanged()
	a.proxyMonitor.startAnnouncing(member)
	member.Seek(*a.seeds.Load())
}

// startMember opens the gossip socket, waiting for an address that is still taken.
func (a *Agent) startMember(ctx context.Context) (*gossip.Gossip, error) {
	options := gossip.FromSettings(a.settings, gossip.Edge)
	options.Version = a.version
	options.Log = a.log
	options.Seeds = *a.seeds.Load()
	options.OnChange = a.peerNotifier.wakeIfChanged
	end := time.Now().Add(retry.AddressInUseTimeout)
	for {
		member, err := gossip.Start(options)
		if err == nil {
			return member, nil
		}
		if ctx.Err() != nil {
			return nil, nil
		}
		var taken *gossip.ListenError
		if !errors.As(err, &taken) || time.Now().After(end) {
			return nil, err
		}
		retry.Sleep(ctx, joinRetryInterval)
	}
}

func (a *Agent) updateProxyConnections(int) { a.proxyMonitor.setConnections(a.proxyListener.count()) }

// proxies is how many proxies may be sending; 0: not known.
func (a *Agent) proxies() int {
	if member := a.member.Load(); member != nil {
		return member.Proxies()
	}
	return 0
}

// otherProxies are the other proxies that may be sending; nil: not known.
func (a *Agent) otherProxies() []feed.Peer {
	if member := a.member.Load(); member != nil {
		return peersFromMembers(member.Peers())
	}
	return nil
}

func (a *Agent) pollPace() fallback.Pace {
	return fallback.Pace{Agents: a.proxies(), RatePerS: a.settings.CloudAPI.CallsPerSecond}
}

// candidates are where the feed may be followed from: control replicas, and other agents for one that has nothing.
func (a *Agent) candidates() []netip.AddrPort {
	member := a.member.Load()
	if member == nil {
		return a.seedReplicas()
	}
	addresses := member.ControlAddresses()
	if !a.store.empty() {
		return addresses
	}
	peers := member.AgentAddresses()
	return append(addresses, peers[:min(len(peers), maxPeerCandidates)]...)
}

// isPeer says whether an address is another agent's.
func (a *Agent) isPeer(address netip.AddrPort) bool {
	return address.Port() == a.settings.Port(processconfig.AgentRPCPort)
}

// seedReplicas are the control replicas of the settings, from one on that differs between nodes.
func (a *Agent) seedReplicas() []netip.AddrPort {
	port := a.settings.Port(processconfig.ControlRPCPort)
	seeds := *a.seeds.Load()
	addresses := make([]netip.AddrPort, len(seeds))
	first := int(xxhash.Sum64String(a.settings.Node) % uint64(max(1, len(seeds))))
	for i := range seeds {
		seed := seeds[(first+i)%len(seeds)]
		addresses[i] = netip.AddrPortFrom(seed.Addr(), port)
	}
	return addresses
}

// updateCutOff takes the partitions from which the follower is cut off. An agent that has nothing has no use for the platform's
// list, and for the configuration the platform can't be asked.
func (a *Agent) updateCutOff(cutOff feed.PartitionSet) {
	if !a.settings.CloudAPI.Address.IsValid() || a.store.empty() {
		cutOff = 0
	}
	a.platformPoller.update(cutOff.Without(feed.NewPartitionSet(feed.ConfigurationPartition)))
}

// stoppingFor is the time since the signal to stop; 0 where none came.
func (a *Agent) stoppingFor() time.Duration {
	at := time.Duration(a.stoppingSince.Load())
	if at == 0 {
		return 0
	}
	return a.now() - at
}

// stop tells the members that the proxy stops, feeds it until it has ended, and leaves.
func (a *Agent) stop() {
	a.log.Info("stopping")
	a.stoppingSince.Store(int64(a.now()))
	a.proxyMonitor.markStopping()
	most := shutdown.Plan(a.settings.Timing.GracePeriod).AgentEnd
	limit := time.NewTimer(most)
	defer limit.Stop()
	least := time.NewTimer(min(minStopTime, most))
	defer least.Stop()
	<-least.C
	select {
	case <-a.proxyMonitor.disconnection():
	case <-limit.C:
	}
	a.leave()
}

func (a *Agent) leave() {
	if member := a.member.Load(); member != nil {
		member.Leave()
	}
	a.log.Info("left")
}
