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
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
	defaultHeaderWait  = 10 * time.Second
	defaultIdleLimit   = 60 * time.Second
)

const (
	leastProxies   = 1
	bufferedShare  = 4 // requests may hold one part in so many of the memory
	pendingFlush   = 16 << 10
	defaultBuffers = 64 << 20 // bytes, where the memory is not known
)

// Options say where the proxy listens and what it may use.
type Options struct {
	Front         netip.AddrPort
	Ready         netip.AddrPort // zero: readiness is not served
	Metrics       netip.AddrPort // zero: figures are not served
	MemoryBytes   int            // of the process; 0: not known
	Peers         netip.AddrPort // where other proxies tell what they send; zero: nowhere, and nobody is told
	Node          string         // the machine's name
	Zone          string         // of the machine
	LinkBytesPerS float64        // of the machine; 0: not known
	GracePeriod   time.Duration  // from the signal to stop until the process is killed
	Seed          uint64         // of what is drawn by chance
}

// Figures count what the proxy has done since it started.
type Figures struct {
	Requests, Served, Refused, Failed, Aborted uint64 // Aborted: answers broken off and clients that left
	Attempts, Resumed, Dials                   uint64
	Spoilt                                     uint64 // runner connections closed for bytes that belong to no request
	NoticesTold, NoticesHeard                  uint64 // to and from other proxies
	NoticesWithheld                            uint64 // beyond the share of the link
	StoppingNew, StoppingKept                  uint64 // requests after the signal to stop, by their connection
	StoppingRefused                            uint64 // requests turned away since they might outlast the process
	StoppingCut                                uint64 // requests that the end of the process broke off
}

// Proxy is the data plane of one process.
type Proxy struct {
	Figures Figures

	loop    *eventloop.Loop
	log     *zap.Logger
	placer  Placer
	options Options
	shares  *shareDraws
	began   float64 // of the loop's clock, when the proxy's began

	routes    Routes // nil until the configuration is known
	limits    configuration.Limits
	runnersIn bool // the runners are known
	control   control
	pool      *pool
	peers     *peers

	front        *eventloop.Listener
	ready        *monitorEndpoint
	figures      *monitorEndpoint
	sessions     sessionList
	exchanges    int // open
	buffered     int // bytes of bodies held
	pending      pendingWrite
	stopping     stopping
	tick         *eventloop.Timer
	scratch      []byte
	eventScratch []byte
}

// New makes a proxy; it serves nothing until Listen.
func New(loop *eventloop.Loop, log *zap.Logger, placer Placer, options Options) *Proxy {
	p := &Proxy{loop: loop, log: log, placer: placer, options: options, began: loop.Now()}
	p.shares = newShareDraws(rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)))
	p.pool = newPool(p)
	p.peers = newPeers(p)
	p.pending.flush = p.flushPending
	p.stopping.plan = planStop(options.GracePeriod)
	p.SetLimits(configuration.Limits{})
	loop.FreeDescriptor = p.shed
	return p
}

// Listen begins to serve. It may be called again after an error.
func (p *Proxy) Listen() (err error) {
	if p.front == nil {
		if p.front, err = p.loop.Listen(p.options.Front, p.accept); err != nil {
			p.front = nil
			return err
		}
	}
	if p.ready == nil {
		if p.ready, err = p.listenMonitor(p.options.Ready, readyPath, p.readiness); err != nil {
			return err
		}
	}
	p.listenMetrics()
	p.peers.listen()
	p.runTick()
	return nil
}

// listenMetrics serves the figures. The proxy does its work without them, too.
func (p *Proxy) listenMetrics() {
	var err error
	if p.figures, err = p.listenMonitor(p.options.Metrics, exposition.Path, p.metrics); err != nil {
		p.log.Warn("figures are not served, check that no other process holds their port", zap.Error(err))
	}
}

// FrontAddr is the address that clients reach.
func (p *Proxy) FrontAddr() netip.AddrPort { return p.front.Addr() }

// now is the proxy's steady clock.
func (p *Proxy) now() time.Duration { return p.duration(p.loop.Now() - p.began) }

func (p *Proxy) duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// at runs do at a time of the proxy's clock.
func (p *Proxy) at(when time.Duration, do func()) *eventloop.Timer {
	return p.loop.At(p.began+when.Seconds(), do)
}

// runTick has the placer rebuild its plan when it is due.
func (p *Proxy) runTick() {
	now := p.now()
	next := max(p.placer.Tick(now), now+time.Millisecond)
	p.tick = p.at(next, p.runTick)
}

// SetRoutes puts routes in force for the requests that begin from now on.
func (p *Proxy) SetRoutes(r Routes) { p.routes = r }

// SetLimits puts bounds on clients in force; a field that is 0 has its default.
func (p *Proxy) SetLimits(l configuration.Limits) {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderWait
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleLimit
	}
	p.limits = l
}

// SetServices puts the services in force.
func (p *Proxy) SetServices(services []*configuration.Service) {
	p.placer.SetServices(p.now(), services)
	p.pool.setServices(services)
}

// SetRunners replaces the set of runners.
func (p *Proxy) SetRunners(runners []placement.Runner) {
	p.runnersIn = true
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
	p.pool.proxies = max(n, leastProxies)
}

// Ready says whether clients should be sent here.
func (p *Proxy) Ready() bool { return p.routes != nil && p.runnersIn && !p.stopping.on }

// Stopping says whether the process has been told to stop.
func (p *Proxy) Stopping() bool { return p.stopping.on }

// mostBuffered is how many bytes of requests may be held.
func (p *Proxy) mostBuffered() int {
	if p.options.MemoryBytes <= 0 {
		return defaultBuffers
	}
	return p.options.MemoryBytes / bufferedShare
}

// crowded says whether there is no memory to take in more of a request.
func (p *Proxy) crowded() bool { return p.buffered+p.loop.BufferedBytes() > p.mostBuffered() }

// pendingWrite gathers what one session is to be sent within an event, so that it goes out in one call of the system.
type pendingWrite struct {
	session *session
	bytes   []byte
	flush   func()
}

// flushPending sends what has been gathered.
func (p *Proxy) flushPending() {
	s := p.pending.session
	if s == nil {
		return
	}
	p.pending.session = nil
	s.conn.Write(p.pending.bytes)
	if cap(p.pending.bytes) > 4*pendingFlush {
		p.pending.bytes = nil
	}
	p.pending.bytes = p.pending.bytes[:0]
	s.sent()
}
