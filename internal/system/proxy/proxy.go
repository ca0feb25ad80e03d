package proxy

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/exposition"
	"cinderroad/internal/system/placement"
)

// Client limits for values that the configuration does not set.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

const (
	minProxies           = 1
	bufferMemoryDivisor  = 4 // request bodies may use one part in so many of the memory
	pendingFlushBytes    = 16 << 10
	maxPendingSpareBytes = 4 * pendingFlushBytes
	splitterSeedMask     = 0x9e3779b97f4a7c15 // separates this random stream from others of the same seed
	defaultBufferBytes   = 64 << 20           // if the memory is unknown
)

// Options configure a Proxy.
type Options struct {
	FrontAddr          netip.AddrPort // for clients
	ReadyAddr          netip.AddrPort // zero: no readiness endpoint
	MetricsAddr        netip.AddrPort // zero: no metrics endpoint
	MemoryBytes        int            // of the process; 0: unknown
	NoticeAddr         netip.AddrPort // for notices of other proxies; zero: none are sent or received
	Node               string         // name of the machine
	Zone               string         // of the machine
	LinkBytesPerSecond float64        // of the machine; 0: unknown
	GracePeriod        time.Duration  // from the shutdown signal until the process is killed
	Seed               uint64         // of all random choices
}

// Counters count events since the start of the process.
type Counters struct {
	Requests uint64 // request heads read
	Served   uint64 // requests whose response was forwarded completely
	Rejected uint64 // admitted requests that no runner executed
	Failed   uint64 // requests that a runner may have executed, answered with an error of the proxy
	Aborted  uint64 // responses cut off and clients that disconnected

	Attempts         uint64 // requests sent to runners, retries included
	Resumed          uint64 // streams continued at another runner
	Dials            uint64 // connections opened to runners
	InvalidResponses uint64 // runner connections closed for bytes that belong to no request

	NoticesSent       uint64
	NoticesReceived   uint64
	NoticesSuppressed uint64 // beyond the bandwidth budget

	ShutdownOnNewConns    uint64 // first requests of connections whose head was read after the shutdown signal
	ShutdownOnReusedConns uint64 // later requests of connections whose head was read after the shutdown signal
	ShutdownRejected      uint64 // requests rejected because they might outlast the process
	ShutdownCut           uint64 // requests cut off by the end of the process
}

// Proxy is the data plane of one process. Except for its construction, only the loop's goroutine may use it.
type Proxy struct {
	Counters Counters

	loop      *eventloop.Loop
	log       *zap.Logger
	placer    Placer
	options   Options
	splitter  *serviceSplitter
	startedAt float64 // on the loop's clock, when the proxy's clock was 0

	routes       Routes // nil until the configuration is known
	limits       configuration.Limits
	runnersKnown bool // the runner list is complete
	control      controlState
	pool         *pool
	peers        *peerNotifier

	front             *eventloop.Listener
	readyEndpoint     *monitorEndpoint
	metricsEndpoint   *monitorEndpoint
	sessions          sessionList
	openExchanges     int
	bufferedBodyBytes int
	pending           pendingWrite
	shutdown          shutdownState
	scratch           []byte // reused to encode heads and chunks; valid within one call
	eventScratch      []byte // reused for the output of eventReader.push
}

// New creates a proxy; it serves nothing until Listen.
func New(loop *eventloop.Loop, log *zap.Logger, placer Placer, options Options) *Proxy {
	p := &Proxy{loop: loop, log: log, placer: placer, options: options, startedAt: loop.Now()}
	p.splitter = newServiceSplitter(rand.New(rand.NewPCG(options.Seed, options.Seed^splitterSeedMask)))
	p.pool = newPool(p)
	p.peers = newPeerNotifier(p)
	p.pending.flush = p.flushPending
	p.shutdown.plan = planShutdown(options.GracePeriod)
	p.SetLimits(configuration.Limits{})
	loop.FreeDescriptor = p.closeIdleConnection
	return p
}

// Listen starts serving. It may be called again after an error.
func (p *Proxy) Listen() (err error) {
	if p.front == nil {
		if p.front, err = p.loop.Listen(p.options.FrontAddr, p.accept); err != nil {
			p.front = nil
			return err
		}
	}
	if p.readyEndpoint == nil {
		if p.readyEndpoint, err = p.listenMonitor(p.options.ReadyAddr, readyPath, p.readyResponse); err != nil {
			return err
		}
	}
	p.listenMetrics()
	p.peers.listen()
	p.tickPlacer()
	return nil
}

// listenMetrics starts the metrics endpoint. The proxy serves without it if that fails.
func (p *Proxy) listenMetrics() {
	var err error
	if p.metricsEndpoint, err = p.listenMonitor(p.options.MetricsAddr, exposition.Path, p.metricsResponse); err != nil {
		p.log.Warn("cannot serve metrics; check that no other process holds the port", zap.Error(err))
	}
}

// FrontAddr returns the address that clients connect to.
func (p *Proxy) FrontAddr() netip.AddrPort { return p.front.Addr() }

// now returns the proxy's monotonic clock, which starts at 0.
func (p *Proxy) now() time.Duration { return p.secondsToDuration(p.loop.Now() - p.startedAt) }

func (p *Proxy) secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// runAt calls do at a time of the proxy's clock.
func (p *Proxy) runAt(when time.Duration, do func()) *eventloop.Timer {
	return p.loop.At(p.startedAt+when.Seconds(), do)
}

// tickPlacer lets the placer rebuild its plan when that is due.
func (p *Proxy) tickPlacer() {
	now := p.now()
	next := max(p.placer.Tick(now), now+time.Millisecond)
	p.runAt(next, p.tickPlacer)
}

// SetRoutes replaces the routes for requests that arrive from now on.
func (p *Proxy) SetRoutes(routes Routes) { p.routes = routes }

// SetLimits replaces the limits for clients; a field that is 0 gets its default.
func (p *Proxy) SetLimits(limits configuration.Limits) {
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = defaultHeaderBytes
	}
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = defaultBodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	p.limits = limits
}

// SetServices replaces the services.
func (p *Proxy) SetServices(services []*configuration.Service) {
	p.placer.SetServices(p.now(), services)
	p.pool.setServices(services)
}

// SetRunners replaces the runners, a complete list.
func (p *Proxy) SetRunners(runners []placement.Runner) {
	p.runnersKnown = true
	p.setRunners(runners)
}

func (p *Proxy) setRunners(runners []placement.Runner) {
	p.placer.SetRunners(p.now(), runners)
	p.pool.setRunners(runners)
}

// SetEvacuated replaces the set of zones that get no requests.
func (p *Proxy) SetEvacuated(zones map[string]bool) { p.placer.SetEvacuatedZones(p.now(), zones) }

// SetProxies sets the number of proxies that may send to the same runners.
func (p *Proxy) SetProxies(n int) {
	p.placer.SetProxyCount(p.now(), n)
	p.pool.proxyCount = max(n, minProxies)
}

// Ready reports whether clients should be sent to this proxy.
func (p *Proxy) Ready() bool { return p.routes != nil && p.runnersKnown && !p.shutdown.active }

// maxBufferedBytes returns how many bytes of requests may be buffered.
func (p *Proxy) maxBufferedBytes() int {
	if p.options.MemoryBytes <= 0 {
		return defaultBufferBytes
	}
	return p.options.MemoryBytes / bufferMemoryDivisor
}

// memoryExhausted reports whether there is no memory to buffer more of a request.
func (p *Proxy) memoryExhausted() bool {
	return p.bufferedBodyBytes+p.loop.BufferedBytes() > p.maxBufferedBytes()
}
