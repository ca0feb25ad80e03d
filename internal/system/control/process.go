package control

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/counterservice"
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
)

const (
	// addressUpdateInterval is the time between two updates of the replicas with the addresses that membership knows.
	addressUpdateInterval = time.Second
	// stoppingAge is the least age that replies to followers state while the process stops, so that they turn to another
	// machine.
	stoppingAge = 10 * time.Second
	// bulkBandwidthShare is the share of the machine's link that large replies to followers may use. Replication goes
	// over the same link.
	bulkBandwidthShare = 0.75
	// maxFailures is the size of the queue of fatal errors; Run reads the first one.
	maxFailures = 8
)

// Options configure a Process.
type Options struct {
	Settings *processconfig.Settings
	// Version is the release of the program, as status and membership show it.
	Version string
	Log     *zap.Logger
	// MetricsAddress is where the process serves its own metrics; the zero value: nowhere.
	MetricsAddress netip.AddrPort
}

// Process is a running control process.
type Process struct {
	log       *zap.Logger
	version   string // of the program
	settings  atomic.Pointer[processconfig.Settings]
	startedAt time.Time
	stopping  atomic.Bool

	configuration *state.Configuration // partition 0
	runners       []*state.Runners     // partitions from 1: that of partition i is at i-1
	host          *replica.Host
	gossip        *gossip.Memberlist
	feedServer    *feedserver.Server
	runnerSync    *runnersync.Syncer
	counters      *counterservice.Service // nil: the deployment asks for none

	servers    []*http.Server  // complete when Start returns
	failures   chan error      // fatal errors
	context    context.Context // of the goroutines
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // waited for when the process stops
}

// Start opens the process's listeners and starts it. ctx only bounds the opening; Run ends the process.
func Start(ctx context.Context, options Options) (*Process, error) {
	p := &Process{log: options.Log, version: options.Version, startedAt: time.Now(), failures: make(chan error, maxFailures)}
	p.settings.Store(options.Settings)
	p.context, p.cancel = context.WithCancel(context.Background())
	notifier := feedserver.NewNotifier(p.now, func(d time.Duration, f func()) { time.AfterFunc(d, f) })
	p.initStates(notifier)
	p.initHost(options)
	p.initFeedServer(notifier)
	p.initRunnerSync()
	p.initCounters(options)
	if err := p.openListeners(ctx, options); err != nil {
		p.cancel()
		p.goroutines.Wait()
		return nil, err
	}
	exposition.Serve(p.context, &p.goroutines, p.log, options.MetricsAddress, p.writeMetrics)
	p.host.Start()
	if p.counters != nil {
		p.counters.Start()
	}
	p.goroutines.Go(func() { p.runnerSync.Run(p.context) })
	p.goroutines.Go(func() { p.watchMembers(p.context) })
	return p, nil
}

// now is the monotonic clock: the time since the start.
func (p *Process) now() time.Duration { return time.Since(p.startedAt) }

func (p *Process) initStates(notifier *feedserver.Notifier) {
	p.configuration = state.NewConfiguration(p.now, notifier.Notify)
	for i := range feed.RunnerPartitionCount {
		p.runners = append(p.runners, state.NewRunners(feed.Partition(i+1), p.now, notifier.Notify))
	}
}

// initHost makes the host of the replicas, which drives the partitions' states.
func (p *Process) initHost(options Options) {
	states := []replica.StateMachine{p.configuration}
	for _, runners := range p.runners {
		states = append(states, runners)
	}
	p.host = replica.New(replica.Options{
		Settings:      options.Settings,
		StateMachines: states,
		Log:           options.Log,
		OnFailure:     p.reportFailure,
	})
}

// initFeedServer makes the server of the feed, with the partitions' states as its sources.
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

// age returns the time since the local replica of a partition was last known to be current. It is each partition's own: a
// partition without a leader turns stale, and followers go on with the others.
func (p *Process) age(partition feed.Partition) time.Duration {
	age := p.host.Staleness(partition)
	if p.stopping.Load() {
		age = max(age, stoppingAge)
	}
	return age
}

// initRunnerSync makes the syncer of the runner partitions with the platform's list.
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
			p.log.Warn("invalid entries of the runner list ignored", zap.Error(err))
		},
	})
	p.runnerSync = runnersync.New(runnersync.Options{
		Lister:         client,
		Replicas:       p.host,
		Partitions:     partitions,
		CallsPerSecond: settings.CloudAPI.CallsPerSecond,
		DrainWithin:    settings.Timing.DrainWithin,
		Now:            p.now,
		Log:            p.log,
	})
}

// watchMembers passes the addresses that membership knows to the replicas, until the context ends.
func (p *Process) watchMembers(ctx context.Context) {
	for retry.Sleep(ctx, addressUpdateInterval) {
		p.host.AddPeerAddresses(p.gossip.ControlAddresses()...)
	}
}

// zoneExists reports whether the settings name the zone. If they do not, the settings file is read again, since the zone
// may be new.
func (p *Process) zoneExists(zone string) bool {
	if _, known := p.settings.Load().Zones[zone]; known {
		return true
	}
	settings, err := processconfig.Load()
	if err != nil {
		p.log.Warn("settings reload failed, keeping previous settings", zap.Error(err))
		return false
	}
	p.Reload(settings)
	_, known := p.settings.Load().Zones[zone]
	return known
}

// Reload applies changed settings: the addresses of seeds and the zones. Other changes take effect at the next start of
// the process. It may be called concurrently.
func (p *Process) Reload(settings *processconfig.Settings) {
	p.settings.Store(settings)
	p.gossip.SetSeeds(gossip.SeedAddresses(settings))
}

// reportFailure has Run return the error: the process can't go on. It never blocks.
func (p *Process) reportFailure(err error) {
	select {
	case p.failures <- err:
	default:
	}
}
