// Package proxy is the data plane: it takes requests of clients over HTTP/1.1, has a Placer name a runner for each,
// sends them there and passes the answers on. All of it runs on one goroutine, that of the transport loop; what comes
// from elsewhere (the feed of the control plane, signals) is posted to it.
//
// A request is held whole before it is sent. Whether it may have run hinges on its last byte: until the system has
// taken that from the proxy no runner can have begun, after it only an answer that says so proves that none did.
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

// Bounds that hold until the configuration names its own, and where it names none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

const (
	minProxies           = 1
	bufferMemoryDivisor  = 4 // requests may hold one part in so many of the memory
	pendingFlushBytes    = 16 << 10
	maxPendingSpareBytes = 4 * pendingFlushBytes
	splitterSeedMask     = 0x9e3779b97f4a7c15 // apart from the seed of what else is drawn
	defaultBufferBytes   = 64 << 20           // bytes, where the memory is not known
)

// Options say where the proxy listens and what it may use.
type Options struct {
	FrontAddr          netip.AddrPort
	ReadyAddr          netip.AddrPort // zero: readiness is not served
	MetricsAddr        netip.AddrPort // zero: figures are not served
	MemoryBytes        int            // of the process; 0: not known
	NoticeAddr         netip.AddrPort // where other proxies tell what they send; zero: nowhere, and nobody is told
	Node               string         // the machine's name
	Zone               string         // of the machine
	LinkBytesPerSecond float64        // of the machine; 0: not known
	GracePeriod        time.Duration  // from the signal to stop until the process is killed
	Seed               uint64         // of what is drawn by chance
}

// Counters count what the proxy has done since it started.
type Counters struct {
	Requests, Served, Rejected, Failed, Aborted uint64 // Aborted: answers broken off and clients that left
	Attempts, Resumed, Dials                    uint64
	InvalidResponses                            uint64 // runner connections closed for bytes that belong to no request
	NoticesSent, NoticesReceived                uint64 // to and from other proxies
	NoticesSuppressed                           uint64 // beyond the share of the link
	ShutdownOnNewConns, ShutdownOnKeptConns     uint64 // requests after the signal to stop, by their connection
	ShutdownRejected                            uint64 // requests turned away since they might outlast the process
	ShutdownCut                                 uint64 // requests that the end of the process broke off
}

// Proxy is the data plane of one process.
type Proxy struct {
	Counters Counters

	loop      *eventloop.Loop
	log       *zap.Logger
	placer    Placer
	options   Options
	splitter  *serviceSplitter
	startedAt float64 // of the loop's clock, when the proxy's began

	routes       Routes // nil until the configuration is known
	limits       configuration.Limits
	runnersKnown bool // the runners are known
	control      controlState
	pool         *pool
	peers        *peerNotifier

	front             *eventloop.Listener
	readyEndpoint     *monitorEndpoint
	metricsEndpoint   *monitorEndpoint
	sessions          sessionList
	openExchanges     int // open
	bufferedBodyBytes int // bytes of bodies held
	pending           pendingWrite
	shutdown          shutdownState
	scratch           []byte
	eventScratch      []byte
}

// New makes a proxy; it serves nothing until Listen.
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

// Listen begins to serve. It may be called again after an error.
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

// listenMetrics serves the figures. The proxy does its work without them, too.
func (p *Proxy) listenMetrics() {
	var err error
	if p.metricsEndpoint, err = p.listenMonitor(p.options.MetricsAddr, exposition.Path, p.metricsResponse); err != nil {
		p.log.Warn("figures are not served, check that no other process holds their port", zap.Error(err))
	}
}

// FrontAddr is the address that clients reach.
func (p *Proxy) FrontAddr() netip.AddrPort { return p.front.Addr() }

// now is the proxy's steady clock.
func (p *Proxy) now() time.Duration { return p.secondsToDuration(p.loop.Now() - p.startedAt) }

func (p *Proxy) secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// runAt runs do at a time of the proxy's clock.
func (p *Proxy) runAt(when time.Duration, do func()) *eventloop.Timer {
	return p.loop.At(p.startedAt+when.Seconds(), do)
}

// tickPlacer has the placer rebuild its plan when it is due.
func (p *Proxy) tickPlacer() {
	now := p.now()
	next := max(p.placer.Tick(now), now+time.Millisecond)
	p.runAt(next, p.tickPlacer)
}

// SetRoutes puts routes in force for the requests that begin from now on.
func (p *Proxy) SetRoutes(routes Routes) { p.routes = routes }

// SetLimits puts bounds on clients in force; a field that is 0 has its default.
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

// SetServices puts the services in force.
func (p *Proxy) SetServices(services []*configuration.Service) {
	p.placer.SetServices(p.now(), services)
	p.pool.setServices(services)
}

// SetRunners replaces the set of runners.
func (p *Proxy) SetRunners(runners []placement.Runner) {
	p.runnersKnown = true
	p.setRunners(runners)
}

func (p *Proxy) setRunners(runners []placement.Runner) {
	p.placer.SetRunners(p.now(), runners)
	p.pool.setRunners(runners)
}

// SetEvacuated replaces the set of zones that get nothing.
func (p *Proxy) SetEvacuated(zones map[string]bool) { p.placer.SetEvacuatedZones(p.now(), zones) }

// SetProxies says how many proxies may be sending.
func (p *Proxy) SetProxies(n int) {
	p.placer.SetProxyCount(p.now(), n)
	p.pool.proxies = max(n, minProxies)
}

// Ready says whether clients should be sent here.
func (p *Proxy) Ready() bool { return p.routes != nil && p.runnersKnown && !p.shutdown.active }

// maxBufferedBytes is how many bytes of requests may be held.
func (p *Proxy) maxBufferedBytes() int {
	if p.options.MemoryBytes <= 0 {
		return defaultBufferBytes
	}
	return p.options.MemoryBytes / bufferMemoryDivisor
}

// memoryExhausted says whether there is no memory to take in more of a request.
func (p *Proxy) memoryExhausted() bool {
	return p.bufferedBodyBytes+p.loop.BufferedBytes() > p.maxBufferedBytes()
}
