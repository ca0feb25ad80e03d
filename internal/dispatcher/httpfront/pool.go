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

	loop       *eventloop.Loop
	log        *zap.Logger
	dispatcher *dispatch.Dispatcher
	options    PoolOptions
	backends   map[loadbalancer.WorkerID]*backend
	byCallback map[callbackKey]*attempt // by what a call-back names
	byID       map[dispatch.AttemptID]*attempt
	dropping   bool // no idle connections are kept any more
}

// callbackKey is how a call-back names a fetch: a backend holds one fetch of a req at a time.
type callbackKey struct{ id, runner string }

// NewPool makes an empty pool; Core must be set before the first list.
func NewPool(loop *eventloop.Loop, log *zap.Logger, options PoolOptions) *Pool {
	return &Pool{loop: loop, log: log, options: options,
		backends: map[loadbalancer.WorkerID]*backend{}, byCallback: map[callbackKey]*attempt{}, byID: map[dispatch.AttemptID]*attempt{}}
}

// SetDispatcher names the core that the pool reports to.
func (p *Pool) SetDispatcher(dispatcher *dispatch.Dispatcher) { p.dispatcher = dispatcher }

// ensureBackend finds a backend or makes it; one that has moved loses its idle connections.
func (p *Pool) ensureBackend(id loadbalancer.WorkerID, uid string, address netip.AddrPort) *backend {
	b := p.backends[id]
	if b == nil {
		b = &backend{pool: p, uid: uid}
		p.backends[id] = b
		p.log.Info("director: backend", zap.String("uid", uid), zap.Uint32("worker", uint32(id)), zap.Stringer("endpoint", address))
	}
	if address.IsValid() && address != b.address {
		b.closeIdle()
		b.address = address
	}
	return b
}

// removeDeparted lets go of backends that are listed as gone. What is out there keeps its own hold of its backend.
func (p *Pool) removeDeparted(listed map[loadbalancer.WorkerID]bool) {
	for id, stays := range listed {
		if b := p.backends[id]; b != nil && !stays {
			b.closeIdle()
			delete(p.backends, id)
		}
	}
}

// hasBackendAt says whether a backend stands at an address.
func (p *Pool) hasBackendAt(address netip.Addr) bool {
	for _, b := range p.backends {
		if b.address.Addr().Unmap() == address {
			return true
		}
	}
	return false
}

// EvictIdle closes the connection that has been idle longest; false when none is idle.
func (p *Pool) EvictIdle() bool {
	var oldest *connection
	for _, b := range p.backends {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince < oldest.idleSince) {
			oldest = b.idle[0]
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// attempt is a fetch on its way.
type attempt struct {
	id         dispatch.AttemptID
	key        callbackKey
	call       *Call
	deadline   float64
	connection *connection // until the 202, or the answer
	sent       bool        // its last byte has been written
}

// endAttempt ends the attempt here and tells the core.
func (p *Pool) endAttempt(attempt *attempt, outcome dispatch.Outcome) {
	p.forget(attempt)
	p.dispatcher.HandleOutcome(attempt.id, outcome)
}

func (p *Pool) forget(attempt *attempt) {
	delete(p.byCallback, attempt.key)
	delete(p.byID, attempt.id)
	if connection := attempt.connection; connection != nil {
		connection.exchange, attempt.connection = nil, nil
		if connection.connected { // its answer is still due, but a backend that has vanished never gives it
			connection.setTimeout(p.options.ProbeTimeout)
		}
	}
}

// handleResponse draws on a backend's answer: 202 is a promise, all else an end.
func (p *Pool) handleResponse(attempt *attempt, response *Response) {
	attempt.connection, attempt.sent = nil, true
	if response.Status == 202 {
		return // call-backs tell the rest
	}
	outcome := dispatch.Outcome{Result: loadbalancer.Error, Report: ParseLoadReport(response.Header.Get("X-Load-Report")).Values(p.options.ReportFields)}
	switch {
	case (response.Status == 503 || response.Status == 504) && response.Header.Get("X-Rejected") == "1":
		outcome.Result = loadbalancer.Rejected
	case response.Status >= 400 && response.Status < 500 && response.Status != 408 && response.Status != 429:
		outcome.InvalidJob = true // it is the request that is bad: another backend would say so too
	}
	p.endAttempt(attempt, outcome)
}

// Knows says whether a call-back names a fetch that is out.
func (p *Pool) Knows(callback *Callback) bool {
	return p.byCallback[callbackKey{callback.ID, callback.Runner}] != nil
}

// HandleCallback takes a call-back. It may repeat one that was taken, or speak of a fetch that is over or of an
// earlier life's: those find nothing and change nothing.
func (p *Pool) HandleCallback(callback Callback) {
	attempt := p.byCallback[callbackKey{callback.ID, callback.Runner}]
	if attempt == nil || !attempt.written() {
		p.StrayCallbacks++
		return
	}
	outcome := dispatch.Outcome{Report: callback.Load.Values(p.options.ReportFields)}
	switch callback.State {
	case "started":
		p.dispatcher.HandleStarted(attempt.id)
		return
	case "running":
		p.dispatcher.HandleProgress(attempt.id, callback.Progress)
		return
	case "done":
		outcome.Result, outcome.Body = loadbalancer.OK, []byte(callback.Result)
	case "returned":
		outcome.Result = loadbalancer.Rejected
	case "lost":
		outcome.Result = loadbalancer.Reset
	default: // failed, and any word not known: it may have run
		outcome.Result = loadbalancer.Error
	}
	p.endAttempt(attempt, outcome)
}
