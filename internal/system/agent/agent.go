package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/agent/fallback"
	"cinderroad/internal/system/agent/upstream"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/exposition"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/system/shutdown"
)

// minStopTime is the least time between the signal to stop and the agent's leave, in which the members learn that the
// proxy is shutting down.
const minStopTime = 1500 * time.Millisecond

// Options configure an agent.
type Options struct {
	Settings *processconfig.Settings
	Version  string // version of the program
	Log      *zap.Logger
	Metrics  netip.AddrPort // address at which the agent serves its metrics; the zero value: none

	loopback netip.Addr       // overrides the address at which the proxy is served; for tests
	upstream upstream.Options // timeouts of the choice of replicas; for tests
}

// Agent is an agent. New opens its listeners; Run runs it, once.
type Agent struct {
	settings      *processconfig.Settings
	version       string
	log           *zap.Logger
	epoch         time.Time // zero of now
	metrics       netip.AddrPort
	stoppingSince atomic.Int64 // time of the signal to stop, by now; 0: none came

	store            *store
	peerListNotifier *peerListNotifier
	proxyMonitor     *proxyMonitor
	platformPoller   *platformPoller
	follower         *follower
	member           atomic.Pointer[gossip.Memberlist] // nil until the agent has joined
	seeds            atomic.Pointer[[]netip.AddrPort]  // gossip addresses of the seeds; never nil

	proxyListener *countingListener // for the proxy
	peerListener  net.Listener      // for other agents
	failures      chan error        // errors that end the agent; see fail
	goroutines    sync.WaitGroup    // started by Run, which waits for them
}

// New opens the agent's listeners, and retries for a while if an address is still in use. The agent does nothing else
// until Run.
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
	a.peerListNotifier = newPeerListNotifier(a.now, a.otherProxies)
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

// open opens both listeners.
func (a *Agent) open(ctx context.Context, loopback netip.Addr) error {
	proxyAddress := a.settings.AgentFeedAddress()
	if loopback.IsValid() {
		proxyAddress = netip.AddrPortFrom(loopback, proxyAddress.Port())
	}
	proxyListener, err := retry.Listen(ctx, proxyAddress)
	if err != nil {
		return fmt.Errorf("agent: cannot listen for the proxy, check that no other agent runs: %w", err)
	}
	a.proxyListener = &countingListener{Listener: proxyListener, changed: a.updateProxyConnections}
	peerAddress := netip.AddrPortFrom(a.settings.IP, a.settings.Port(processconfig.AgentRPCPort))
	a.peerListener, err = retry.Listen(ctx, peerAddress)
	if err != nil {
		proxyListener.Close()
		return fmt.Errorf("agent: cannot listen for other agents, check that no other agent runs: %w", err)
	}
	return nil
}

// now returns the time since epoch, by the monotonic clock.
func (a *Agent) now() time.Duration { return time.Since(a.epoch) }

// Reload applies changed settings. Only the seeds take effect; all others need a restart.
func (a *Agent) Reload(settings *processconfig.Settings) {
	seeds := gossip.SeedAddresses(settings)
	a.seeds.Store(&seeds)
	if member := a.member.Load(); member != nil {
		member.SetSeeds(seeds)
	}
}

// Run serves until ctx ends. Then it announces the shutdown, and serves until the proxy has disconnected or the grace
// period nearly ends. It returns an error if the agent cannot listen or join.
func (a *Agent) Run(ctx context.Context) error {
	running, end := context.WithCancel(context.Background())
	defer a.goroutines.Wait()
	defer end()
	a.serve(running)
	exposition.Serve(running, &a.goroutines, a.log, a.metrics, a.expose)
	a.goroutines.Go(func() { a.follower.run(running) })
	a.goroutines.Go(func() { a.platformPoller.run(running) })
	a.goroutines.Go(func() { a.join(running) })
	select {
	case <-ctx.Done():
	case err := <-a.failures:
		if member := a.member.Load(); member != nil {
			member.Close() // without Leave: the proxy may go on sending
		}
		return err
	}
	a.stop()
	return nil
}

// fail ends the agent with an error. Only the first error counts.
func (a *Agent) fail(err error) {
	select {
	case a.failures <- err:
	default:
	}
}

// pollPace returns what the interval between polls of the platform depends on.
func (a *Agent) pollPace() fallback.Pace {
	return fallback.Pace{Agents: a.proxies(), CallsPerSecond: a.settings.CloudAPI.CallsPerSecond}
}

// updateCutOff passes on the partitions from which the follower is cut off. An agent that holds nothing has no use for
// the platform's list, and the platform does not have the configuration.
func (a *Agent) updateCutOff(cutOff feed.PartitionSet) {
	if !a.settings.CloudAPI.Address.IsValid() || a.store.empty() {
		cutOff = 0
	}
	a.platformPoller.update(cutOff.Without(feed.NewPartitionSet(feed.ConfigurationPartition)))
}

// stoppingFor returns the time since the signal to stop, 0 if none came.
func (a *Agent) stoppingFor() time.Duration {
	at := time.Duration(a.stoppingSince.Load())
	if at == 0 {
		return 0
	}
	return a.now() - at
}

// stop announces the shutdown, serves the proxy until it has disconnected, and leaves.
func (a *Agent) stop() {
	a.log.Info("received stop signal, shutting down")
	a.stoppingSince.Store(int64(a.now()))
	a.proxyMonitor.markStopping()
	maxStopTime := shutdown.Plan(a.settings.Timing.GracePeriod).AgentEnd
	maxTimer := time.NewTimer(maxStopTime)
	defer maxTimer.Stop()
	minTimer := time.NewTimer(min(minStopTime, maxStopTime))
	defer minTimer.Stop()
	<-minTimer.C
	select {
	case <-a.proxyMonitor.disconnection():
	case <-maxTimer.C:
	}
	a.leave()
}
