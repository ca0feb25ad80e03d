package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/testkit/eventqueue"
)

// world plays engines, proxies and clients over virtual time, so that what the proxies decide together can be measured.
// An engine reads prompts one after the other, in the order of their priority, keeps shared parts in a memory of tokens
// from which the parts unused for longest give way, and then hands out tokens at an even pace.
type world struct {
	t       testing.TB
	now     time.Duration
	agenda  eventqueue.Agenda
	rng     *rand.Rand
	service configuration.Service
	kinds   []*requestKind
	engines map[string]*engine
	proxies []*worldProxy
	told    []Runner
	known   map[uint64]bool // chains that some engine has read
	again   int             // tokens of shared parts that were read again
	shared  int             // tokens of shared parts that were asked for
	refused int
}

type worldProxy struct {
	placer *Placer
	zone   string
}

// requestKind is a kind of request.
type requestKind struct {
	route  configuration.Route
	rate   float64 // a second, at each proxy
	chains [][]Chunk
	own    float64 // mean tokens
	spread float64
	out    float64 // mean tokens
	asked  int
	inTime int
	firsts []time.Duration
}

type engine struct {
	Runner
	queue   []*job
	busy    bool
	running int
	held    int
	kept    []keptPart // from the least to the most lately used
	total   int
}

type keptPart struct {
	chain  uint64
	tokens int
}

type job struct {
	w       *world
	p       *worldProxy
	k       *requestKind
	r       *Request
	a       *Attempt
	e       *engine
	out     int
	sent    time.Duration
	late    time.Duration // one way
	urgency int
}

const (
	worldSpeed = 38.7 // prompt tokens read in a millisecond
	worldStep  = 6 * time.Millisecond
)

// newWorld makes a deployment of two regions, with three zones, ten engines and seven proxies.
func newWorld(t testing.TB, seed uint64, load float64) *world {
	w := &world{t: t, now: time.Second, rng: rand.New(rand.NewPCG(seed, 5)), engines: map[string]*engine{},
		known: map[uint64]bool{},
		service: configuration.Service{Name: "llm", MaxConnections: 360, SlowStartDuration: 3 * time.Second, SlowStartRate: 9.2,
			Backend: &configuration.Backend{Capacity: 64, CacheTokens: 230413, TokensPerEvent: 4}}}
	zones := []string{"m", "m", "m", "p", "p", "p", "p", "t", "t", "t"}
	for i, zone := range zones {
		id := fmt.Sprintf("i-%d-%d", seed, i)
		r := Runner{ID: id, Service: "llm", Zone: zone, Region: worldRegions()[zone], Capacity: 64}
		w.engines[id] = &engine{Runner: r}
		w.told = append(w.told, r)
	}
	w.kinds = []*requestKind{
		w.kind("long", 0, 800, 9.8*load/7, []int{4, 37}, []float64{2520, 3780}, 2890, 1, 52),
		w.kind("middle", 1, 600, 13.9*load/7, []int{40, 52}, []float64{341, 227}, 1800, 1.3, 24),
		w.kind("short", 2, 500, 11.6*load/7, []int{20, 98}, []float64{103, 69}, 543, 0.9, 280),
	}
	for i, zone := range []string{"m", "m", "m", "p", "p", "t", "t"} {
		p := &worldProxy{placer: worldPlacer(t, zone, seed*100+uint64(i)), zone: zone}
		w.proxies = append(w.proxies, p)
		p.placer.SetServices(w.now, []*configuration.Service{&w.service})
		p.placer.SetRunners(w.now, w.told)
		p.placer.SetProxyCount(w.now, 7)
		w.tick(p)
		for _, k := range w.kinds {
			w.arrivals(p, k)
		}
	}
	return w
}

func worldRegions() map[string]string {
	return map[string]string{"m": "west", "t": "west", "p": "east"}
}

func worldOptions(zone string) Options {
	return Options{Zone: zone, Region: worldRegions()[zone], Zones: worldRegions(), RetryRatio: 0.2,
		RetryWindow: 10 * time.Second, RetryAllowance: 54, SlowStartFactor: 1.5, SlowStartAllowance: 5}
}

func worldPlacer(t testing.TB, zone string, seed uint64) *Placer {
	p, err := New(worldOptions(zone), seed)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// kind draws a kind of request: its chains have a first part of a few, and a second one of many.
func (w *world) kind(name string, rank, target int, rate float64, things []int, tokens []float64,
	own, spread, out float64) *requestKind {
	k := &requestKind{rate: rate, own: own, spread: spread, out: out}
	k.route = configuration.Route{Name: name,
		LatencyTarget: time.Duration(target) * time.Millisecond, Timeout: 5 * time.Second, Rank: rank, Type: configuration.Streaming,
		EventGapTarget: 400 * time.Millisecond, PrefixAffinity: true, MaxAttempts: 2}
	var firsts []Chunk
	for range things[0] {
		firsts = append(firsts, Chunk{w.rng.Uint64(), w.size(tokens[0], 0.4)})
	}
	for i := range things[1] {
		k.chains = append(k.chains, []Chunk{firsts[i%len(firsts)], {w.rng.Uint64(), w.size(tokens[1], 0.7)}})
	}
	return k
}

// size draws a number of tokens.
func (w *world) size(mean, spread float64) int {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return 1 + int(math.Min(mean*math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2), 12*mean))
}

func (w *world) tick(p *worldProxy) {
	next := p.placer.Tick(w.now)
	w.agenda.At(max(next, w.now+time.Millisecond).Seconds(), func() { w.tick(p) })
}

func (w *world) arrivals(p *worldProxy, k *requestKind) {
	gap := time.Duration(w.rng.ExpFloat64() / k.rate * float64(time.Second))
	w.agenda.At((w.now + gap).Seconds(), func() {
		w.arrive(p, k)
		w.arrivals(p, k)
	})
}

func (w *world) arrive(p *worldProxy, k *requestKind) {
	chain := k.chains[int(float64(len(k.chains))*math.Pow(w.rng.Float64(), 1.4))]
	own := Chunk{w.rng.Uint64(), w.size(k.own, k.spread)}
	out := w.size(k.out, 0.7)
	r := &Request{Route: &k.route, Service: "llm", Chunks: append(append([]Chunk(nil), chain...), own), MaxOutputTokens: 2 * out,
		ArrivedAt: w.now, Deadline: w.now + k.route.Timeout}
	for _, part := range r.Chunks {
		r.InputTokens += part.Tokens
	}
	k.asked++
	c, refusal := p.placer.Place(w.now, r)
	if refusal != nil {
		w.refused++
		return
	}
	e := w.engines[c.Runner]
	j := &job{w: w, p: p, k: k, r: r, e: e, out: out, sent: w.now, late: w.way(p, e), urgency: c.Priority}
	j.a = p.placer.StartAttempt(w.now, r, c)
	w.after(j.late, func() { e.take(j) })
}

// way is one way between a proxy and an engine.
func (w *world) way(p *worldProxy, e *engine) time.Duration {
	switch {
	case p.zone == e.Zone:
		return 100 * time.Microsecond
	case worldRegions()[p.zone] == e.Region:
		return 1400 * time.Microsecond
	}
	return 20 * time.Millisecond
}

func (w *world) after(d time.Duration, do func()) { w.agenda.At((w.now + d).Seconds(), do) }

func (e *engine) take(j *job) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].urgency > j.urgency {
		at--
	}
	e.queue = append(e.queue[:at], append([]*job{j}, e.queue[at:]...)...)
	e.next(j.w)
}

// next reads the next prompt.
func (e *engine) next(w *world) {
	if e.busy || len(e.queue) == 0 || e.running >= 64 {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.busy = true
	e.running++
	tokens := e.read(w, j.r.Chunks)
	e.held += j.r.InputTokens
	e.shrink()
	w.after(time.Duration(float64(tokens)/worldSpeed*float64(time.Millisecond))+worldStep, func() {
		e.busy = false
		w.after(j.late, j.first)
		w.after(time.Duration(j.out)*worldStep, func() {
			e.running--
			e.held -= j.r.InputTokens
			w.after(j.late, j.end)
			e.next(w)
		})
		e.next(w)
	})
}

// read keeps the shared parts of a prompt and says how many tokens had to be read.
func (e *engine) read(w *world, parts []Chunk) (tokens int) {
	chain, whole := uint64(1), true
	for i, part := range parts {
		if i == len(parts)-1 {
			return tokens + part.Tokens
		}
		chain = chain*0x9e3779b97f4a7c15 ^ part.ID
		w.shared += part.Tokens
		if whole = whole && e.touch(chain); whole {
			continue
		}
		tokens += part.Tokens
		if w.known[chain] {
			w.again += part.Tokens
		}
		w.known[chain] = true
		e.kept = append(e.kept, keptPart{chain, part.Tokens})
		e.total += part.Tokens
	}
	return tokens
}

// touch says whether a part is kept, and makes it the one used last.
func (e *engine) touch(chain uint64) bool {
	for i, k := range e.kept {
		if k.chain == chain {
			e.kept = append(append(e.kept[:i:i], e.kept[i+1:]...), k)
			return true
		}
	}
	return false
}

func (e *engine) shrink() {
	for len(e.kept) > 0 && e.total+e.held > 230413 {
		e.total -= e.kept[0].tokens
		e.kept = e.kept[1:]
	}
}

func (j *job) first() {
	took := j.w.now - j.sent
	j.p.placer.HandleFirstEvent(j.w.now, j.a)
	j.k.firsts = append(j.k.firsts, took)
	if took <= j.k.route.LatencyTarget {
		j.k.inTime++
	}
}

func (j *job) end() {
	j.p.placer.EndAttempt(j.w.now, j.a, Succeeded, Progress{TimeToFirstEvent: j.sent, Events: j.out / 4, Duration: j.w.now - j.sent})
}

// run plays until a moment.
func (w *world) run(until time.Duration) {
	for {
		at, do, is := w.agenda.Next(until.Seconds())
		if !is {
			return
		}
		w.now = max(w.now, time.Duration(at*float64(time.Second)))
		do()
	}
}
