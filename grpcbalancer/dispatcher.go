package grpcbalancer

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/loadbalancer"
)

// Trailers that a server may set.
const (
	// RejectedTrailer, set to 1, says that the server rejected the call without running it.
	RejectedTrailer = "x-rejected"
	// LoadTrailer holds a load report, a JSON object by the names in Options.Fields.
	LoadTrailer = "x-load-report"
)

const (
	defaultConnectTimeout = 250 * time.Millisecond
	closeTimeout          = time.Second // for attempts in flight, after which Close cancels them
	microsPerSecond       = 1e6
)

// Options configure a Dispatcher.
type Options struct {
	// Settings are those of the load balancer.
	Settings loadbalancer.Settings
	// Seed decides how ties between servers are broken; clients of the same servers should have different ones.
	Seed uint64
	// Class returns a method's index in Settings.Classes. Calls of unknown methods fail and are not sent.
	Class func(method string) (class int, known bool)
	// Fields names the values of load reports, in the order of Settings.ReportFields.
	Fields []string
	// ConnectTimeout is how long an attempt waits for its server's connection; 0 is defaultConnectTimeout.
	ConnectTimeout time.Duration
	// Metrics turns on Dispatcher.Metrics; nil is none.
	Metrics *MetricOptions
}

// Dispatcher serves one ClientConn.
type Dispatcher struct {
	options      Options
	name         string    // in the registry
	startedAt    time.Time // with the monotonic clock
	startSeconds float64   // startedAt in seconds since 1970
	closing      sync.Once
	ended        chan struct{} // closed at the end of Close

	mu       sync.Mutex // guards all that follows, and every call of the core
	core     *dispatch.Dispatcher
	backends map[string]*backend // by address
	timers   map[*timer]bool     // that have not fired
	closed   bool
	metrics  *telemetry.Set // nil: none

	attempts sync.WaitGroup // a goroutine for each; none is added once closed is set
}

// New makes a Dispatcher. Pass what DialOptions returns to grpc.NewClient; call Close when the ClientConn is closed.
func New(options Options) (*Dispatcher, error) {
	if options.Class == nil {
		return nil, errors.New("grpcbalancer: no Class function")
	}
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	now := time.Now()
	d := &Dispatcher{
		options:      options,
		startedAt:    now,
		startSeconds: float64(now.UnixMicro()) / microsPerSecond,
		backends:     map[string]*backend{},
		timers:       map[*timer]bool{},
		ended:        make(chan struct{}),
	}
	var err error
	if d.core, err = dispatch.New(options.Settings, options.Seed, d); err != nil {
		return nil, fmt.Errorf("grpcbalancer: %w", err)
	}
	if options.Metrics != nil {
		d.enableMetrics(options.Metrics)
	}
	d.name = registerDispatcher(d)
	d.withLock(d.core.Start)
	return d, nil
}

// DialOptions returns what a ClientConn needs: the interceptor, the balancer, and no retries of the library's own.
func (d *Dispatcher) DialOptions() []grpc.DialOption {
	serviceConfig := fmt.Sprintf(`{"loadBalancingConfig":[{%q:{"dispatcher":%q}}]}`, balancerName, d.name)
	return []grpc.DialOption{
		grpc.WithUnaryInterceptor(d.intercept),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultServiceConfig(serviceConfig),
	}
}

// Close stops the timers and waits for the attempts in flight, which end at once if their ClientConn is closed already. It
// cancels those that have not ended within closeTimeout. Calls that come later, or that need another attempt, are
// rejected. A second Close has no effect.
func (d *Dispatcher) Close() { d.closing.Do(d.close) }

func (d *Dispatcher) close() {
	unregisterDispatcher(d.name)
	d.mu.Lock()
	d.closed = true
	for t := range d.timers {
		t.timer.Stop()
	}
	d.mu.Unlock()
	cancellation := time.AfterFunc(closeTimeout, d.cancelAttempts)
	defer cancellation.Stop()
	d.attempts.Wait()
	close(d.ended)
}

// cancelAttempts cancels all attempts in flight.
func (d *Dispatcher) cancelAttempts() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, backend := range d.backends {
		for _, attempt := range backend.attempts {
			attempt.cancel()
		}
	}
}

// Counts returns the totals of the core.
func (d *Dispatcher) Counts() (counts dispatch.Counts) {
	d.withLock(func() { counts = d.core.Counts() })
	return counts
}

// Exclude takes a server out of use by its address, whatever the resolver says, until Include. It returns false, and changes
// nothing, if no server has the address or too many servers are excluded.
func (d *Dispatcher) Exclude(address string) (applied bool) {
	return d.applyExclusion(d.core.Exclude, address)
}

// Include returns a server to use, in slow start, since it was probably restarted. It returns false if no server has the address.
func (d *Dispatcher) Include(address string) (applied bool) {
	return d.applyExclusion(d.core.Include, address)
}

// applyExclusion applies the change that operation, the core's Exclude or Include, returns for an address.
func (d *Dispatcher) applyExclusion(operation func(string) dispatch.ExclusionChange, address string) (applied bool) {
	d.withLock(func() {
		change := operation(address)
		applied = change.Known && !change.LimitReached
		if applied {
			d.core.ApplyExclusions(change.Exclusions)
		}
	})
	return applied
}

// withLock calls do with the lock held.
func (d *Dispatcher) withLock(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
}
