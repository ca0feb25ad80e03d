package platform

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"go.uber.org/zap"

	"cinderroad/brain"
	"cinderroad/internal/routing"
	"cinderroad/internal/transport"
)

// Call is a client's job in the platform's form.
type Call struct {
	ID, Class, Method, Target, IdempotencyKey string
	Body                                      []byte
}

// Limits are the settings that bind connections to backends.
type Limits struct {
	ConnectTimeout float64
	ConnIdle       float64
	ProbeTimeout   float64
	Fields         []string // of load reports
}

// Pool is all backends of the platform: their connections and the fetches that are out.
type Pool struct {
	StrayNews, Dialed, Worn uint64

	loop     *transport.Loop
	log      *zap.Logger
	core     *routing.Core
	limits   Limits
	backends map[brain.WorkerID]*backend
	live     map[newsKey]*attempt // by what a call-back names
	byFetch  map[routing.FetchID]*attempt
	dropping bool // no idle connections are kept any more
}

// newsKey is how a call-back names a fetch: a backend holds one fetch of a req at a time.
type newsKey struct{ id, from string }

// NewPool makes an empty pool; Core must be set before the first list.
func NewPool(loop *transport.Loop, log *zap.Logger, limits Limits) *Pool {
	return &Pool{loop: loop, log: log, limits: limits,
		backends: map[brain.WorkerID]*backend{}, live: map[newsKey]*attempt{}, byFetch: map[routing.FetchID]*attempt{}}
}

// Serve names the core that the pool reports to.
func (p *Pool) Serve(core *routing.Core) { p.core = core }

// backend finds a backend or makes it; one that has moved loses its idle connections.
func (p *Pool) backend(id brain.WorkerID, uid string, addr netip.AddrPort) *backend {
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
func (p *Pool) keep(listed map[brain.WorkerID]bool) {
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

func (b *backend) closeIdle() {
	for len(b.idle) > 0 {
		b.idle[0].end()
	}
}

// ShedIdle closes the connection that has been idle longest; false when none is idle.
func (p *Pool) ShedIdle() bool {
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
	id   routing.FetchID
	key  newsKey
	call *Call
	ends float64
	link *link // until the 202, or the answer
	sent bool  // its last byte has been written
}

// end ends the attempt here and tells the core.
func (p *Pool) end(a *attempt, e routing.End) {
	p.forget(a)
	p.core.Ended(a.id, e)
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

// written says whether the last byte of the request has gone out.
func (a *attempt) written() bool {
	return a.sent || a.link != nil && a.link.wrote && a.link.conn.Unsent() == 0
}

// backend is one runner.
type backend struct {
	pool *Pool
	uid  string
	addr netip.AddrPort
	idle []*link // the one used last is at the end
	wear wear
	life uint64 // grows when the runner was restarted: links of an earlier one are not kept
}

// wear is how often connections to a backend were found dead at the request after a rest, by how long they had
// rested. Something on the way may forget them long before the settings' time, without a word to this side, and a
// request that meets this may have run: none is tried again.
type wear struct {
	dead [wearSteps]float64 // running share
	at   [wearSteps]float64 // when it was last seen
}

const (
	wearSteps  = 12
	wearLeast  = 0.05 // seconds of rest of the first step; each step is twice as long
	wearRate   = 0.3  // weight of the newest: two dead ones in turn are enough
	wearLimit  = 0.4  // a share above this is not risked
	wearForget = 20.0 // seconds after which a share counts half, so that it is tried again
)

func wearStep(rest float64) int {
	step := 0
	for limit := wearLeast; rest > limit && step < wearSteps-1; limit *= 2 {
		step++
	}
	return step
}

func (w *wear) share(now float64, step int) float64 {
	return w.dead[step] * math.Exp2((w.at[step]-now)/wearForget)
}

// saw notes how a connection was found after a rest: 1 is dead, 0 alive.
func (w *wear) saw(now, rest, dead float64) {
	step := wearStep(rest)
	was := w.share(now, step)
	w.dead[step], w.at[step] = was+wearRate*(dead-was), now
}

// out says whether a connection has rested for so long that it is not to be trusted.
func (w *wear) out(now, rest float64) bool {
	for step := wearStep(rest); step >= 0; step-- {
		if w.share(now, step) > wearLimit {
			return true
		}
	}
	return false
}

// Begin implements routing.Backend.
func (b *backend) Begin(f routing.Fetch) {
	p := b.pool
	call, ok := f.Load.(*Call)
	a := &attempt{id: f.ID, call: call, ends: f.Deadline}
	if ok {
		a.key = newsKey{call.ID, b.uid}
	}
	if !ok || p.live[a.key] != nil {
		// A second fetch of a req on one backend could not be told from the first by its call-backs.
		p.core.Ended(f.ID, routing.End{Result: brain.Moot})
		return
	}
	p.live[a.key], p.byFetch[a.id] = a, a
	b.carry(&exchange{attempt: a})
}

// Drop implements routing.Backend: what is not written is not sent, what waits for its 202 loses its
// connection, what was taken is called off by a request of its own.
func (b *backend) Drop(id routing.FetchID) bool {
	a := b.pool.byFetch[id]
	if a == nil {
		return true
	}
	link, written := a.link, a.written()
	b.pool.forget(a)
	switch {
	case link == nil:
		b.carry(&exchange{deletes: a.call.ID})
	default:
		link.end()
		return written
	}
	return true
}

// Renew implements routing.Backend.
func (b *backend) Renew() {
	b.life++
	b.closeIdle()
}

// Probe implements routing.Backend.
func (b *backend) Probe(done func(brain.Result, []float32)) { b.carry(&exchange{probe: done}) }

// exchange is one request to a backend and its answer.
type exchange struct {
	attempt *attempt
	deletes string
	probe   func(brain.Result, []float32)
}

// link is a connection to a backend.
type link struct {
	b       *backend
	life    uint64
	conn    *transport.Conn
	job     *exchange // what it carries; nil when idle or when nobody waits for the answer any more
	busy    bool
	up      bool
	wrote   bool // bytes of the present request have gone out
	since   float64
	rested  float64 // how long it had rested before the present request; 0 is a new connection
	worn    bool    // was found dead after a rest
	timeout *transport.Deadline
}

// carry sends an exchange over an idle connection or a new one.
func (b *backend) carry(x *exchange) {
	for len(b.idle) > 0 {
		l := b.idle[len(b.idle)-1]
		now := b.pool.loop.Now()
		if !l.conn.Alive() || b.wear.out(now, now-l.since) { // a request written to it would be lost
			l.end()
			continue
		}
		b.idle = b.idle[:len(b.idle)-1]
		l.timeout.Stop()
		l.rested = math.Max(now-l.since, math.SmallestNonzeroFloat64)
		l.start(x)
		return
	}
	b.pool.Dialed++
	l := &link{b: b, life: b.life, job: x, busy: true}
	if x.attempt != nil {
		x.attempt.link = l
	}
	l.conn = b.pool.loop.Connect(b.addr, l)
	l.timeout = b.pool.loop.At(b.pool.loop.Now()+b.pool.limits.ConnectTimeout, func() {
		l.conn.Close()
		l.lost(errors.New("connect timed out"))
	})
}

// start writes the request of an exchange.
func (l *link) start(x *exchange) {
	p := l.b.pool
	l.job, l.busy, l.wrote = x, true, false
	var b []byte
	switch a := x.attempt; {
	case a != nil:
		a.link = l
		if result, clear := p.core.Clear(a.id); !clear { // drained or overdue while the connection came up: no byte of it goes out
			p.end(a, routing.End{Result: result})
			l.rest()
			return
		}
		b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n",
			a.call.Method, a.call.Target, l.b.addr, a.call.ID, a.call.Class, max(1, int((a.ends-p.loop.Now())*1000)))
		if a.call.IdempotencyKey != "" {
			b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", a.call.IdempotencyKey)
		}
		b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(a.call.Body), a.call.Body)
	case x.probe != nil:
		b = fmt.Appendf(b, "GET /_load HTTP/1.1\r\nHost: %s\r\n\r\n", l.b.addr)
		l.limit(p.limits.ProbeTimeout)
	default:
		b = fmt.Appendf(b, "DELETE /jobs/%s HTTP/1.1\r\nHost: %s\r\n\r\n", x.deletes, l.b.addr)
		l.limit(p.limits.ProbeTimeout)
	}
	l.conn.Write(b)
	l.wrote = l.conn.Unsent() < len(b)
	if x.attempt != nil {
		x.attempt.sent = l.conn.Unsent() == 0
		// A machine that was cut off keeps its connections open and silent: a request on one of them is lost for
		// as long as it may take, while a connect that never comes up proves that nothing ran. So once a backend
		// has not even taken a request for this long, the next must connect anew.
		l.timeout.Stop()
		l.timeout = p.loop.At(p.loop.Now()+p.limits.ConnectTimeout, l.b.closeIdle)
	}
}

func (l *link) limit(s float64) {
	l.timeout.Stop()
	l.timeout = l.b.pool.loop.At(l.b.pool.loop.Now()+s, func() {
		l.conn.Close()
		l.lost(errors.New("timed out"))
	})
}

// rest makes the link idle for the next exchange.
func (l *link) rest() {
	l.job, l.busy = nil, false
	l.timeout.Stop()
	if l.b.pool.dropping || l.conn.Unsent() > 0 || l.life != l.b.life {
		l.conn.Close()
		return
	}
	l.since = l.b.pool.loop.Now()
	l.b.idle = append(l.b.idle, l)
	// The backend closes at ConnIdle at the latest, and a request that crosses the close is lost: be first.
	l.timeout = l.b.pool.loop.At(l.since+0.8*l.b.pool.limits.ConnIdle, l.end)
}

// end closes the link from our side.
func (l *link) end() {
	l.timeout.Stop()
	l.unlist()
	l.conn.Close()
}

func (l *link) unlist() {
	for i, o := range l.b.idle {
		if o == l {
			l.b.idle = append(l.b.idle[:i], l.b.idle[i+1:]...)
			return
		}
	}
}

// Opened implements transport.Handler.
func (l *link) Opened(*transport.Conn) {
	l.timeout.Stop()
	l.up = true
	if l.job == nil {
		l.rest()
		return
	}
	l.start(l.job)
}

// Data implements transport.Handler.
func (l *link) Data(c *transport.Conn) {
	if !l.busy {
		l.end() // an answer that nobody asked for
		return
	}
	l.answer(false)
}

// answer takes the whole answer, if it has come; ended says that no more will.
func (l *link) answer(ended bool) (took bool) {
	r, n, err := ParseResponse(l.conn.Bytes(), ended)
	if errors.Is(err, ErrMore) {
		return false
	}
	if err != nil {
		l.timeout.Stop()
		l.conn.Close()
		l.lost(err)
		return true
	}
	l.conn.Consume(n)
	if l.rested > 0 {
		l.b.wear.saw(l.b.pool.loop.Now(), l.rested, 0)
		l.rested = 0
	}
	x := l.job
	l.job = nil
	if ended || r.Close || len(l.conn.Bytes()) > 0 {
		l.timeout.Stop()
		l.conn.Close()
	} else {
		l.rest()
	}
	switch {
	case x == nil: // given up, or ended by a call-back that came before the answer
	case x.probe != nil:
		result, load := brain.OK, Load(nil)
		if r.Status != 200 {
			result = brain.Error
		} else if load = ParseLoad(string(r.Body)); load == nil {
			load = ParseLoad(r.Header.Get("X-Load-Report"))
		}
		x.probe(result, load.Values(l.b.pool.limits.Fields))
	case x.attempt != nil:
		l.b.pool.replied(x.attempt, &r)
	}
	return true
}

// replied draws on a backend's answer: 202 is a promise, all else an end.
func (p *Pool) replied(a *attempt, r *Response) {
	a.link, a.sent = nil, true
	if r.Status == 202 {
		return // call-backs tell the rest
	}
	e := routing.End{Result: brain.Error, Report: ParseLoad(r.Header.Get("X-Load-Report")).Values(p.limits.Fields)}
	switch {
	case (r.Status == 503 || r.Status == 504) && r.Header.Get("X-Rejected") == "1":
		e.Result = brain.Full
	case r.Status >= 400 && r.Status < 500 && r.Status != 408 && r.Status != 429:
		e.Unusable = true // it is the request that is bad: another backend would say so too
	}
	p.end(a, e)
}

// Closed implements transport.Handler.
func (l *link) Closed(c *transport.Conn, err error) {
	l.timeout.Stop()
	l.unlist()
	if l.busy && l.up && len(c.Bytes()) > 0 && l.answer(true) {
		return
	}
	if l.busy && l.rested > 0 && len(c.Bytes()) == 0 {
		// Dead at the request after a rest: the connection's end, not the backend's. Those that have rested
		// longer are as dead.
		l.b.wear.saw(l.b.pool.loop.Now(), l.rested, 1)
		l.b.pool.Worn++
		l.b.closeIdle()
		if x := l.job; x != nil && x.attempt == nil { // harmless to repeat
			l.job, l.busy = nil, false
			l.b.carry(x)
			return
		}
		l.worn = true
	}
	l.lost(err)
}

// lost ends what the link carried. Whether it may have run hinges on its last byte alone: until that was
// written the backend cannot begin, after it a repeat would be a second copy.
func (l *link) lost(err error) {
	l.timeout.Stop()
	x := l.job
	l.job, l.busy = nil, false
	switch {
	case x == nil:
	case x.probe != nil:
		result := brain.Timeout
		if errors.Is(err, transport.ErrNoRoom) {
			result = brain.Moot
		} else if !l.up {
			result = brain.ConnectFailed
		}
		x.probe(result, nil)
	case x.attempt != nil:
		a := x.attempt
		result := brain.ConnectFailed
		if a.written() {
			result = brain.Reset
		} else if errors.Is(err, transport.ErrNoRoom) {
			result = brain.Moot // the want is here: it says nothing of the backend
		}
		a.link = nil
		l.b.pool.log.Debug("fetch: connection lost", zap.String("backend", l.b.uid), zap.Error(err))
		l.b.pool.end(a, routing.End{Result: result, Worn: l.worn})
	}
}

// Knows says whether a call-back names a fetch that is out.
func (p *Pool) Knows(n *News) bool { return p.live[newsKey{n.ID, n.From}] != nil }

// News takes a call-back. It may repeat one that was taken, or speak of a fetch that is over or of an
// earlier life's: those find nothing and change nothing.
func (p *Pool) News(n News) {
	a := p.live[newsKey{n.ID, n.From}]
	if a == nil || !a.written() {
		p.StrayNews++
		return
	}
	e := routing.End{Report: n.Load.Values(p.limits.Fields)}
	switch n.State {
	case "started":
		p.core.Started(a.id)
		return
	case "running":
		p.core.Progress(a.id, n.Share)
		return
	case "done":
		e.Result, e.Body = brain.OK, []byte(n.Result)
	case "returned":
		e.Result = brain.Full
	case "lost":
		e.Result = brain.Reset
	default: // failed, and any word not known: it may have run
		e.Result = brain.Error
	}
	p.end(a, e)
}
