package proxy

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

const (
	minConns                    = 2  // per runner, whatever its service allows
	defaultConns                = 64 // per runner, of all proxies together, if its service names no maximum
	minConnectTimeout           = 250 * time.Millisecond
	maxConnectTimeout           = 2 * time.Second
	initialConnectTimeout       = time.Second            // before any connect was measured
	minUnmeasuredConnectTimeout = 500 * time.Millisecond // minimum while no connect to the runner was measured
	connectTimeoutFactor        = 4                      // of the longest measured connect time
	connectTimeDecay            = 0.9                    // of the longest measured connect time, with each shorter one
)

// pool holds the connections to runners. A connection belongs to one incarnation of a runner: another incarnation at
// the same address never uses it.
type pool struct {
	proxy          *Proxy
	runners        map[string]*runner
	services       map[string]*configuration.Service
	idleTimeouts   map[string]*idleTimeoutEstimator // by service
	proxyCount     int                              // that may send to the same runners, this one included
	slowestConnect time.Duration                    // connect time over all runners, decayed
}

func newPool(p *Proxy) *pool {
	return &pool{
		proxy:        p,
		runners:      map[string]*runner{},
		services:     map[string]*configuration.Service{},
		idleTimeouts: map[string]*idleTimeoutEstimator{},
		proxyCount:   placement.AssumedProxies,
	}
}

// setServices replaces the services.
func (p *pool) setServices(services []*configuration.Service) {
	clear(p.services)
	for _, s := range services {
		p.services[s.Name] = s
	}
}

// setRunners replaces the known runners. Idle connections to runners that are no longer listed or are draining are closed.
func (p *pool) setRunners(runners []placement.Runner) {
	for _, r := range p.runners {
		r.listed = false
	}
	for i := range runners {
		p.upsert(&runners[i])
	}
	for _, r := range p.runners {
		if !r.listed || r.draining {
			r.closeIdle()
		}
		p.removeIfUnused(r)
	}
}

// upsert adds a listed runner or updates what is known of it.
func (p *pool) upsert(listed *placement.Runner) {
	r := p.runners[listed.ID]
	if r == nil {
		r = &runner{pool: p, id: listed.ID}
		p.runners[listed.ID] = r
	}
	if r.address != listed.Address {
		r.closeIdle()
	}
	r.service = listed.Service
	r.address = listed.Address
	r.draining = listed.Draining
	r.listed = true
}

// removeIfUnused removes a runner that is neither listed nor connected.
func (p *pool) removeIfUnused(r *runner) {
	if !r.listed && len(r.conns) == 0 {
		delete(p.runners, r.id)
	}
}

// closeIdleOf closes the idle connections of a runner that has left its address.
func (p *pool) closeIdleOf(id string) {
	if r := p.runners[id]; r != nil {
		r.closeIdle()
	}
}

// maxConns returns this proxy's share of the connections that a runner accepts, idle ones and probes included. The placer
// bounds the attempts in flight by a share of its own (Placer.connectionLimit), a little smaller if the service names a
// maximum and the number of proxies is known.
func (p *pool) maxConns(r *runner) int {
	limit := defaultConns
	if s := p.services[r.service]; s != nil && s.MaxConnections > 0 {
		limit = s.MaxConnections
	}
	return max(minConns, limit/p.proxyCount)
}

// canAccept reports whether a request can be sent to the chosen runner now.
func (p *pool) canAccept(choice placement.Choice) bool {
	r := p.runners[choice.Runner]
	if r == nil || !r.listed || r.draining || p.proxy.now() < r.suspectUntil {
		return false
	}
	return len(r.idle) > 0 || len(r.conns) < p.maxConns(r)
}

// send sends an attempt on an idle connection or on a new one.
func (p *pool) send(attempt *attempt) {
	r := p.runners[attempt.choice.Runner]
	if r == nil {
		r = &runner{pool: p, id: attempt.choice.Runner, address: attempt.choice.Address}
		p.runners[r.id] = r
	}
	if conn := r.takeIdle(); conn != nil {
		conn.sendRequest(attempt)
		return
	}
	r.dial(attempt)
}

// closeOldestIdle closes the connection that has been idle longest; false if none is idle.
func (p *pool) closeOldestIdle() bool {
	var oldest *runnerConn
	for _, r := range p.runners {
		if len(r.idle) > 0 && (oldest == nil || r.idle[0].idleSince < oldest.idleSince) {
			oldest = r.idle[0]
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// idleTimeoutOf returns the idle timeout estimator of a service.
func (p *pool) idleTimeoutOf(service string) *idleTimeoutEstimator {
	estimator := p.idleTimeouts[service]
	if estimator == nil {
		estimator = &idleTimeoutEstimator{}
		p.idleTimeouts[service] = estimator
	}
	return estimator
}
