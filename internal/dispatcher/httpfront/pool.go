package httpfront

import (
	"net/netip"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// PoolOptions are the settings for connections to backends. Times are in seconds.
type PoolOptions struct {
	ConnectTimeout float64
	IdleTimeout    float64  // after which a backend closes an idle connection
	ProbeTimeout   float64  // also of cancellations, and of answers that nobody waits for any more
	ReportFields   []string // names of the load report's fields, in the settings' order
}

// Pool is all backends of the platform: their connections and the attempts that are running.
type Pool struct {
	StrayCallbacks   uint64 // callbacks that matched no running attempt
	Connects         uint64 // connections opened
	StaleConnections uint64 // idle connections that turned out to be dead at the next request

	loop       *eventloop.Loop
	log        *zap.Logger
	dispatcher *dispatch.Dispatcher
	options    PoolOptions
	backends   map[loadbalancer.WorkerID]*backend
	byCallback map[callbackKey]*attempt // running attempts
	byID       map[dispatch.AttemptID]*attempt
}

// NewPool returns an empty Pool. SetDispatcher must be called before the first list.
func NewPool(loop *eventloop.Loop, log *zap.Logger, options PoolOptions) *Pool {
	return &Pool{
		loop:       loop,
		log:        log,
		options:    options,
		backends:   map[loadbalancer.WorkerID]*backend{},
		byCallback: map[callbackKey]*attempt{},
		byID:       map[dispatch.AttemptID]*attempt{},
	}
}

// SetDispatcher sets the dispatcher that the pool reports to.
func (p *Pool) SetDispatcher(dispatcher *dispatch.Dispatcher) { p.dispatcher = dispatcher }

// ensureBackend returns the backend of an ID, made if there was none. One with a new address loses its idle connections.
func (p *Pool) ensureBackend(id loadbalancer.WorkerID, uid string, address netip.AddrPort) *backend {
	b := p.backends[id]
	if b == nil {
		b = &backend{pool: p, uid: uid}
		p.backends[id] = b
		p.log.Info("discovery: backend added", zap.String("uid", uid), zap.Uint32("worker", uint32(id)), zap.Stringer("endpoint", address))
	}
	if address.IsValid() && address != b.address {
		b.closeIdle()
		b.address = address
	}
	return b
}

// removeDeparted removes the backends that are false in listed. Attempts that are still running hold their own reference.
func (p *Pool) removeDeparted(listed map[loadbalancer.WorkerID]bool) {
	for id, stays := range listed {
		if b := p.backends[id]; b != nil && !stays {
			b.closeIdle()
			delete(p.backends, id)
		}
	}
}

// hasBackendAt reports whether a backend has an address.
func (p *Pool) hasBackendAt(address netip.Addr) bool {
	for _, b := range p.backends {
		if b.address.Addr().Unmap() == address {
			return true
		}
	}
	return false
}

// EvictIdle closes the connection that has been idle longest; false if none is idle.
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
