package proxy

import (
	"net/netip"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

const (
	leastConns       = 2 // to a runner, whatever its service allows
	defaultConns     = 64
	untoldProxies    = 16 // while their number is not known
	leastConnectTime = 250 * time.Millisecond
	mostConnectTime  = 2 * time.Second
	firstConnectTime = time.Second            // while no connect has been seen
	otherConnectTime = 500 * time.Millisecond // at least, while none of the runner has
	connectMultiple  = 4                      // of the time that connects took
	connectForget    = 0.9                    // of the longest connect seen, after each shorter one
)

// pool is the connections to runners. A connection belongs to an incarnation: another one at the same address gets none
// that was opened for the first.
type pool struct {
	proxy    *Proxy
	runners  map[string]*runner
	services map[string]*configuration.Service
	rests    map[string]*restBook // by service
	proxies  int
	slowest  time.Duration // connect, decayed
}

func newPool(p *Proxy) *pool {
	return &pool{proxy: p, runners: map[string]*runner{}, services: map[string]*configuration.Service{},
		rests: map[string]*restBook{}, proxies: untoldProxies}
}

// runner is an incarnation and the connections to it.
type runner struct {
	pool     *pool
	id       string
	service  string
	address  netip.AddrPort
	listed   bool
	draining bool
	links    []*link       // all connections
	idle     []*link       // those that rest; the one used last is at the end
	took     time.Duration // the longest connect seen, decayed; 0: none yet
	lastEnd  time.Duration // when an idle connection to it last ended
	doubtful time.Duration // until when nothing is sent to it
	heard    time.Duration // when anything last came from it
	asking   bool          // whether its machine is there
}

// setServices takes the services in force.
func (p *pool) setServices(services []*configuration.Service) {
	clear(p.services)
	for _, s := range services {
		p.services[s.Name] = s
	}
}

// setRunners takes the runners that are known. One that is gone or drains keeps no idle connections.
func (p *pool) setRunners(runners []placement.Runner) {
	for _, r := range p.runners {
		r.listed = false
	}
	for i := range runners {
		p.list(&runners[i])
	}
	for _, r := range p.runners {
		if !r.listed || r.draining {
			r.closeIdle()
		}
		p.forget(r)
	}
}

func (p *pool) list(known *placement.Runner) {
	r := p.runners[known.ID]
	if r == nil {
		r = &runner{pool: p, id: known.ID}
		p.runners[known.ID] = r
	}
	if r.address != known.Address {
		r.closeIdle()
	}
	r.service, r.address, r.draining, r.listed = known.Service, known.Address, known.Draining, true
}

// forget drops a runner that is neither listed nor connected.
func (p *pool) forget(r *runner) {
	if !r.listed && len(r.links) == 0 {
		delete(p.runners, r.id)
	}
}

// drop closes the idle connections of a runner that has gone from its address.
func (p *pool) drop(id string) {
	if r := p.runners[id]; r != nil {
		r.closeIdle()
	}
}

// mostConns is this proxy's part of the connections that a runner takes.
func (p *pool) mostConns(r *runner) int {
	most := defaultConns
	if s := p.services[r.service]; s != nil && s.MaxConnections > 0 {
		most = s.MaxConnections
	}
	return max(leastConns, most/p.proxies)
}

// admits says whether a request can be given to the chosen runner now.
func (p *pool) admits(c placement.Choice) bool {
	r := p.runners[c.Runner]
	if r == nil || !r.listed || r.draining || p.proxy.now() < r.doubtful {
		return false
	}
	return len(r.idle) > 0 || len(r.links) < p.mostConns(r)
}

// carry gives an attempt to an idle connection or a new one.
func (p *pool) carry(a *attempt) {
	r := p.runners[a.choice.Runner]
	if r == nil {
		r = &runner{pool: p, id: a.choice.Runner, address: a.choice.Address}
		p.runners[r.id] = r
	}
	if l := r.takeIdle(); l != nil {
		l.begin(a)
		return
	}
	r.dial(a)
}

// takeIdle takes the connection that has rested least, if it can be trusted with a request.
func (r *runner) takeIdle() *link {
	now := r.pool.proxy.now()
	for len(r.idle) > 0 {
		l := r.idle[len(r.idle)-1]
		if !l.conn.Alive() {
			l.close()
			continue
		}
		if now-l.since > l.restLimit() { // the others have rested longer
			r.closeWorn()
			return nil
		}
		r.idle = r.idle[:len(r.idle)-1]
		l.timeout.Stop()
		return l
	}
	return nil
}

// closeWorn makes room for a new connection when only idle ones are left that cannot be trusted.
func (r *runner) closeWorn() {
	if len(r.links) >= r.pool.mostConns(r) && len(r.idle) > 0 {
		r.idle[0].close()
	}
}

func (r *runner) closeIdle() {
	for len(r.idle) > 0 {
		r.idle[len(r.idle)-1].close()
	}
}

// dial opens a connection for an attempt.
func (r *runner) dial(a *attempt) {
	p := r.pool.proxy
	l := r.connect()
	l.attempt, a.link = a, l
	l.timeout = p.at(p.now()+r.connectTimeout(), func() { l.fail(errConnectTimeout) })
}

// connect opens a connection.
func (r *runner) connect() *link {
	p := r.pool.proxy
	p.Figures.Dials++
	l := &link{runner: r, dialed: p.now(), state: dialing}
	r.links = append(r.links, l)
	l.conn = p.loop.Connect(r.address, l)
	return l
}

// connectTimeout is how long a connection may take to come up.
func (r *runner) connectTimeout() time.Duration {
	switch {
	case r.took > 0:
		return min(max(connectMultiple*r.took, leastConnectTime), mostConnectTime)
	case r.pool.slowest > 0:
		return min(max(connectMultiple*r.pool.slowest, otherConnectTime), mostConnectTime)
	}
	return firstConnectTime
}

// connected notes how long a connect took.
func (r *runner) connected(took time.Duration) {
	r.doubtful, r.heard = 0, r.pool.proxy.now()
	r.took = max(took, time.Duration(float64(r.took)*connectForget), 1)
	r.pool.slowest = max(took, time.Duration(float64(r.pool.slowest)*connectForget), 1)
}

// closeOldestIdle closes the connection that has rested longest; false when none rests.
func (p *pool) closeOldestIdle() bool {
	var oldest *link
	for _, r := range p.runners {
		if len(r.idle) > 0 && (oldest == nil || r.idle[0].since < oldest.since) {
			oldest = r.idle[0]
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// restBook is what is known of how long the runners of a service leave a connection idle.
func (p *pool) restBook(service string) *restBook {
	b := p.rests[service]
	if b == nil {
		b = &restBook{}
		p.rests[service] = b
	}
	return b
}
