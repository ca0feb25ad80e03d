package httpfront

import (
	"net/netip"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// Call is a client's job in the platform's form.
type Call struct {
	ID, Class, Method, Target, IdempotencyKey string
	Body                                      []byte
}

// PoolOptions are the settings that bind connections to backends.
type PoolOptions struct {
	ConnectTimeout float64
	IdleTimeout    float64
	ProbeTimeout   float64
	ReportFields   []string // of load reports
}

// Pool is all backends of the platform: their connections and the fetches that are out.
type Pool struct {
	StrayCallbacks, Connects, StaleConnections uint64

	loop     *eventloop.Loop
	log      *zap.Logger
	core     *dispatch.Dispatcher
	limits   PoolOptions
	backends map[loadbalancer.WorkerID]*backend
	live     map[newsKey]*attempt // by what a call-back names
	byFetch  map[dispatch.AttemptID]*attempt
	dropping bool // no idle connections are kept any more
}

// newsKey is how a call-back names a fetch: a backend holds one fetch of a req at a time.
type newsKey struct{ id, from string }

// NewPool makes an empty pool; Core must be set before the first list.
func NewPool(loop *eventloop.Loop, log *zap.Logger, limits PoolOptions) *Pool {
	return &Pool{loop: loop, log: log, limits: limits,
		backends: map[loadbalancer.WorkerID]*backend{}, live: map[newsKey]*attempt{}, byFetch: map[dispatch.AttemptID]*attempt{}}
}

// SetDispatcher names the core that the pool reports to.
func (p *Pool) SetDispatcher(core *dispatch.Dispatcher) { p.core = core }

// backend finds a backend or makes it; one that has moved loses its idle connections.
func (p *Pool) backend(id loadbalancer.WorkerID, uid string, addr netip.AddrPort) *backend {
	b := p.backends[id]
	if b == nil {
		b = &backend{pool: p, uid: uid}
		p.backends[id] = b
		p.log.Info("director: backend", zap.String("uid", uid), zap.Uint32("worker", uint32(id)), zap.Stringer("endpoint", addr))
	}
	if addr.IsValid() && addr != b.addr {
		b.closeIdle()
		b.addr = addr
	}
	return b
}

// keep lets go of backends that are listed as gone. What is out there keeps its own hold of its backend.
func (p *Pool) keep(listed map[loadbalancer.WorkerID]bool) {
	for id, stays := range listed {
		if b := p.backends[id]; b != nil && !stays {
			b.closeIdle()
			delete(p.backends, id)
		}
	}
}

// at says whether a backend stands at an address.
func (p *Pool) at(addr netip.Addr) bool {
	for _, b := range p.backends {
		if b.addr.Addr().Unmap() == addr {
			return true
		}
	}
	return false
}

// EvictIdle closes the connection that has been idle longest; false when none is idle.
func (p *Pool) EvictIdle() bool {
	var oldest *link
	for _, b := range p.backends {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].since < oldest.since) {
			oldest = b.idle[0]
		}
	}
	if oldest != nil {
		oldest.end()
	}
	return oldest != nil
}

// attempt is a fetch on its way.
type attempt struct {
	id   dispatch.AttemptID
	key  newsKey
	call *Call
	ends float64
	link *link // until the 202, or the answer
	sent bool  // its last byte has been written
}

// end ends the attempt here and tells the core.
func (p *Pool) end(a *attempt, e dispatch.Outcome) {
	p.forget(a)
	p.core.HandleOutcome(a.id, e)
}

func (p *Pool) forget(a *attempt) {
	delete(p.live, a.key)
	delete(p.byFetch, a.id)
	if l := a.link; l != nil {
		l.job, a.link = nil, nil
		if l.up { // its answer is still due, but a backend that has vanished never gives it
			l.limit(p.limits.ProbeTimeout)
		}
	}
}

// replied draws on a backend's answer: 202 is a promise, all else an end.
func (p *Pool) replied(a *attempt, r *Response) {
	a.link, a.sent = nil, true
	if r.Status == 202 {
		return // call-backs tell the rest
	}
	e := dispatch.Outcome{Result: loadbalancer.Error, Report: ParseLoadReport(r.Header.Get("X-Load-Report")).Values(p.limits.ReportFields)}
	switch {
	case (r.Status == 503 || r.Status == 504) && r.Header.Get("X-Rejected") == "1":
		e.Result = loadbalancer.Rejected
	case r.Status >= 400 && r.Status < 500 && r.Status != 408 && r.Status != 429:
		e.InvalidJob = true // it is the request that is bad: another backend would say so too
	}
	p.end(a, e)
}

// Knows says whether a call-back names a fetch that is out.
func (p *Pool) Knows(n *Callback) bool { return p.live[newsKey{n.ID, n.Runner}] != nil }

// HandleCallback takes a call-back. It may repeat one that was taken, or speak of a fetch that is over or of an
// earlier life's: those find nothing and change nothing.
func (p *Pool) HandleCallback(n Callback) {
	a := p.live[newsKey{n.ID, n.Runner}]
	if a == nil || !a.written() {
		p.StrayCallbacks++
		return
	}
	e := dispatch.Outcome{Report: n.Load.Values(p.limits.ReportFields)}
	switch n.State {
	case "started":
		p.core.HandleStarted(a.id)
		return
	case "running":
		p.core.HandleProgress(a.id, n.Progress)
		return
	case "done":
		e.Result, e.Body = loadbalancer.OK, []byte(n.Result)
	case "returned":
		e.Result = loadbalancer.Rejected
	case "lost":
		e.Result = loadbalancer.Reset
	default: // failed, and any word not known: it may have run
		e.Result = loadbalancer.Error
	}
	p.end(a, e)
}
