package proxy

import (
	"net/netip"
	"time"

	"cinderroad/internal/configuration"
	"cinderroad/internal/placement"
)

const (
	leastConns       = 2 // to a runner, whatever its service allows
	defaultConns     = 64
	leastConnectTime = 250 * time.Millisecond
	mostConnectTime  = 2 * time.Second
	firstConnectTime = time.Second // while no connect has been seen
	connectMultiple  = 4           // of the time that connects took
	connectForget    = 0.9         // of the longest connect seen, after each shorter one
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
		rests: map[string]*restBook{}, proxies: leastProxies}
}

// runner is an incarnation and the connections to it.
type runner struct {
	pool     *pool
	id       string
	service  string
	address  netip.AddrPort
	listed   bool
	draining bool
	idle     []*link // the one used last is at the end
	open     int     // connections, idle ones included
	connect  time.Duration
	lastEnd  time.Duration // when a connection to it last ended
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
	if !r.listed && r.open == 0 {
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
	if s := p.services[r.service]; s != nil && s.MaxConns > 0 {
		most = s.MaxConns
	}
	return max(leastConns, most/p.proxies)
}

// admits says whether a request can be given to the chosen runner now.
func (p *pool) admits(c placement.Choice) bool {
	r := p.runners[c.Runner]
	return r != nil && r.listed && !r.draining && (len(r.idle) > 0 || r.open < p.mostConns(r))
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
	if r.open >= r.pool.mostConns(r) && len(r.idle) > 0 {
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
	p.Figures.Dials++
	r.open++
	l := &link{runner: r, attempt: a, dialed: p.now(), state: dialing}
	a.link = l
	l.conn = p.loop.Connect(r.address, l)
	l.timeout = p.at(p.now()+r.connectTimeout(), func() { l.fail(errConnectTimeout) })
}

// connectTimeout is how long a connection may take to come up.
func (r *runner) connectTimeout() time.Duration {
	seen := r.connect
	if seen == 0 {
		seen = r.pool.slowest
	}
	if seen == 0 {
		return firstConnectTime
	}
	return min(max(connectMultiple*seen, leastConnectTime), mostConnectTime)
}

// connected notes how long a connect took.
func (r *runner) connected(took time.Duration) {
	r.connect = max(took, time.Duration(float64(r.connect)*connectForget), 1)
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
