// Package control is the process of a core machine: replicas of the control state, the operator's API, the directory,
// the feed for agents, and the discovery of runners.
package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/multierr"
	"go.uber.org/zap"

	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/control/directory"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/control/runnersync"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/exposition"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/replica"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/system/rpc"
)

// Times of a process.
const (
	hintInterval = time.Second      // between two looks of the replicas at what membership tells
	stoppingAge  = 10 * time.Second // age told to followers, so that they turn to another machine
)

// Limits of connections to the control RPC: every agent may follow, and replicas call each other.
const (
	maxRPCConnections        = 1024
	maxRPCCallsPerConnection = 64
)

// bulkBandwidthShare is the share of the machine's link that large answers to followers may take; what replicas say to each other
// goes over the same link.
const bulkBandwidthShare = 0.75

// Options are a process's.
type Options struct {
	Settings       *processconfig.Settings
	Version        string // of the program
	Log            *zap.Logger
	MetricsAddress netip.AddrPort // where the process serves its own figures; the zero value: nowhere
}

// Process is a running control process.
type Process struct {
	log       *zap.Logger
	version   string // of the program
	settings  atomic.Pointer[processconfig.Settings]
	startedAt time.Time
	stopping  atomic.Bool

	configuration *state.Configuration
	runners       []*state.Runners
	host          *replica.Host
	gossip        *gossip.Memberlist
	feedServer    *feedserver.Server
	runnerSync    *runnersync.Syncer

	servers    []*http.Server
	failures   chan error
	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start opens the process's addresses and runs it. The context ends only the opening.
func Start(ctx context.Context, options Options) (*Process, error) {
	p := &Process{log: options.Log, version: options.Version, startedAt: time.Now(), failures: make(chan error, 8)}
	p.settings.Store(options.Settings)
	p.context, p.cancel = context.WithCancel(context.Background())
	notifier := feedserver.NewNotifier(p.now, func(d time.Duration, f func()) { time.AfterFunc(d, f) })
	p.initStates(notifier)
	p.initHost(options)
	p.initFeedServer(notifier)
	p.initRunnerSync()
	if err := p.openListeners(ctx, options); err != nil {
		p.cancel()
		return nil, err
	}
	exposition.Serve(p.context, p.log, options.MetricsAddress, p.writeMetrics)
	p.host.Start()
	p.goroutines.Go(func() { p.runnerSync.Run(p.context) })
	p.goroutines.Go(func() { p.watchMembers(p.context) })
	return p, nil
}

// now is the steady time since the start.
func (p *Process) now() time.Duration { return time.Since(p.startedAt) }

func (p *Process) initStates(notifier *feedserver.Notifier) {
	p.configuration = state.NewConfiguration(p.now, notifier.Notify)
	for i := range feed.RunnerPartitionCount {
		p.runners = append(p.runners, state.NewRunners(feed.Partition(i+1), p.now, notifier.Notify))
	}
}

func (p *Process) initHost(options Options) {
	states := []replica.StateMachine{p.configuration}
	for _, runners := range p.runners {
		states = append(states, runners)
	}
	p.host = replica.New(replica.Options{Settings: options.Settings, StateMachines: states, Log: options.Log, OnFailure: p.reportFailure})
}

func (p *Process) initFeedServer(notifier *feedserver.Notifier) {
	sources := []feedserver.Source{p.configuration}
	for _, runners := range p.runners {
		sources = append(sources, runners)
	}
	p.feedServer = feedserver.New(feedserver.Options{
		Sources:    sources,
		Notifier:   notifier,
		Now:        p.now,
		Age:        p.age,
		ProxyCount: func() int { return p.gossip.ProxyCount() },

		BulkBytesPerSecond: bulkBandwidthShare * p.settings.Load().Limits.LinkBytesPerSecond(),
	})
}

// age is how long ago this machine's replica of a partition was last known to be up to date. No partition's age depends
// on another's: one without a leader is told as stale, and the others are followed on.
func (p *Process) age(partition feed.Partition) time.Duration {
	age := p.host.Staleness(partition)
	if p.stopping.Load() {
		age = max(age, stoppingAge)
	}
	return age
}

func (p *Process) initRunnerSync() {
	settings := p.settings.Load()
	var partitions []runnersync.Partition
	for _, runners := range p.runners {
		partitions = append(partitions, runners)
	}
	client := discovery.NewClient(discovery.ClientOptions{
		Address:   settings.CloudAPI.Address,
		AllowCall: func() error { return runnersync.CheckLease(p.host, len(partitions)) },
		OnSkippedEntries: func(err *discovery.SkippedEntriesError) {
			p.log.Warn("entries of the list of runners make no sense", zap.Error(err))
		},
	})
	p.runnerSync = runnersync.New(runnersync.Options{Lister: client, Replicas: p.host, Partitions: partitions,
		CallsPerSecond: settings.CloudAPI.CallsPerSecond, DrainWithin: settings.Timing.DrainWithin, Now: p.now, Log: p.log})
}

// openListeners opens the addresses that the settings name and serves them.
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
	if err = p.serveHTTP(ctx, settings.ListenOn.Control, p.operatorAPI()); err != nil {
		return err
	}
	lookups := &directory.Handler{Members: p, TTLMax: settings.Timing.TTLMax}
	return p.serveHTTP(ctx, settings.ListenOn.Directory, newDirectoryMux(lookups))
}

func (p *Process) startGossip(ctx context.Context, options Options) (*gossip.Memberlist, error) {
	joining := gossip.FromSettings(options.Settings, gossip.Control)
	joining.Version, joining.Log = options.Version, options.Log
	var member *gossip.Memberlist
	err := retry.WhileAddressInUse(ctx, func() (err error) {
		member, err = gossip.Start(joining)
		return err
	})
	if err != nil {
		return nil, err
	}
	member.SetServing(gossip.ServingNow)
	return member, nil
}

func (p *Process) serveRPC(ctx context.Context, settings *processconfig.Settings) error {
	address := netip.AddrPortFrom(settings.IP, settings.Port(processconfig.ControlRPCPort))
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	registry := rpc.NewRegistry()
	p.host.Register(registry)
	feedserver.FollowMethod.Handle(registry, p.feedServer.Follow)
	limits := rpc.ServerLimits{MaxConnections: maxRPCConnections, MaxCallsPerConnection: maxRPCCallsPerConnection}
	p.goroutines.Go(func() {
		if err := rpc.Serve(p.context, listener, registry, limits); err != nil {
			p.reportFailure(fmt.Errorf("control: RPC at %v ended: %w", address, err))
		}
	})
	return nil
}

func (p *Process) operatorAPI() http.Handler {
	return api.New(api.Options{Replicas: p.host, State: p.configuration, ZoneExists: p.zoneExists, Status: p.encodeStatus,
		Log: p.log})
}

// zoneExists says whether the settings name the zone; they are read again where they do not.
func (p *Process) zoneExists(zone string) bool {
	if _, known := p.settings.Load().Zones[zone]; known {
		return true
	}
	settings, err := processconfig.Load()
	if err != nil {
		p.log.Warn("changed settings can't be read, the earlier ones stay", zap.Error(err))
		return false
	}
	p.Reload(settings)
	_, known := p.settings.Load().Zones[zone]
	return known
}

// Reload takes settings that have changed. What needs a new process stays as it is.
func (p *Process) Reload(settings *processconfig.Settings) {
	p.settings.Store(settings)
	p.gossip.SetSeeds(gossip.SeedAddresses(settings))
}

func newDirectoryMux(lookups http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(directory.Path, lookups)
	return mux
}

// serveHTTP serves an address; nothing is served at one that the settings do not name.
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

func (p *Process) serve(listener net.Listener, handler http.Handler) {
	server := newServer(handler)
	p.servers = append(p.servers, server)
	p.goroutines.Go(func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			p.reportFailure(fmt.Errorf("control: HTTP at %v ended: %w", listener.Addr(), err))
		}
	})
}

// listen opens an address, again for a while if an earlier process still holds it.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := retry.Listen(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("control: listen on %v, check that no other process has the address: %w", address, err)
	}
	return listener, nil
}

// reportFailure has Run end: the process can't go on.
func (p *Process) reportFailure(err error) {
	select {
	case p.failures <- err:
	default:
	}
}
