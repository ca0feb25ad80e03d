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

// simulation plays engines, proxies and clients over virtual time, so that what the proxies decide together can be measured.
// An engine reads prompts one after the other, in the order of their priority, keeps shared parts in a memory of tokens
// from which the parts unused for longest give way, and then hands out tokens at an even pace.
type simulation struct {
	t                 testing.TB
	now               time.Duration
	events            eventqueue.Agenda
	random            *rand.Rand
	service           configuration.Service
	kinds             []*requestKind
	engines           map[string]*engine
	proxies           []*simulatedProxy
	runners           []Runner
	prefilledPrefixes map[uint64]bool // chains that some engine has read
	repeatedTokens    int             // tokens of shared parts that were read again
	sharedTokens      int             // tokens of shared parts that were asked for
	rejected          int
}

type simulatedProxy struct {
	placer *Placer
	zone   string
}

// requestKind is a kind of request.
type requestKind struct {
	route        configuration.Route
	rate         float64 // a second, at each proxy
	prefixes     [][]Chunk
	uniqueTokens float64 // mean tokens
	spread       float64
	outputTokens float64 // mean tokens
	requests     int
	inTime       int
	firstEvents  []time.Duration
}

type engine struct {
	Runner
	queue          []*job
	prefilling     bool
	running        int
	reservedTokens int
	cached         []cachedChunk // from the least to the most lately used
	cachedTokens   int
}

type cachedChunk struct {
	chain  uint64
	tokens int
}

type job struct {
	simulation   *simulation
	proxy        *simulatedProxy
	kind         *requestKind
	request      *Request
	attempt      *Attempt
	engine       *engine
	outputTokens int
	sent         time.Duration
	latency      time.Duration // one way
	priority     int
}

const (
	simulatedPrefillSpeed = 38.7 // prompt tokens read in a millisecond
	simulatedTokenTime    = 6 * time.Millisecond
)

// newSimulation makes a deployment of two regions, with three zones, ten engines and seven proxies.
func newSimulation(t testing.TB, seed uint64, load float64) *simulation {
	w := &simulation{t: t, now: time.Second, random: rand.New(rand.NewPCG(seed, 5)), engines: map[string]*engine{},
		prefilledPrefixes: map[uint64]bool{},
		service: configuration.Service{Name: "llm", MaxConnections: 360, SlowStartDuration: 3 * time.Second, SlowStartRate: 9.2,
			Backend: &configuration.Backend{Capacity: 64, CacheTokens: 230413, TokensPerEvent: 4}}}
	zones := []string{"m", "m", "m", "p", "p", "p", "p", "t", "t", "t"}
	for i, zone := range zones {
		id := fmt.Sprintf("i-%d-%d", seed, i)
		r := Runner{ID: id, Service: "llm", Zone: zone, Region: zoneRegions()[zone], Capacity: 64}
		w.engines[id] = &engine{Runner: r}
		w.runners = append(w.runners, r)
	}
	w.kinds = []*requestKind{
		w.kind("long", 0, 800, 9.8*load/7, []int{4, 37}, []float64{2520, 3780}, 2890, 1, 52),
		w.kind("middle", 1, 600, 13.9*load/7, []int{40, 52}, []float64{341, 227}, 1800, 1.3, 24),
		w.kind("short", 2, 500, 11.6*load/7, []int{20, 98}, []float64{103, 69}, 543, 0.9, 280),
	}
	for i, zone := range []string{"m", "m", "m", "p", "p", "t", "t"} {
		p := &simulatedProxy{placer: newTestPlacer(t, zone, seed*100+uint64(i)), zone: zone}
		w.proxies = append(w.proxies, p)
		p.placer.SetServices(w.now, []*configuration.Service{&w.service})
		p.placer.SetRunners(w.now, w.runners)
		p.placer.SetProxyCount(w.now, 7)
		w.scheduleTick(p)
		for _, k := range w.kinds {
			w.scheduleArrival(p, k)
		}
	}
	return w
}

func zoneRegions() map[string]string {
	return map[string]string{"m": "west", "t": "west", "p": "east"}
}

func testOptions(zone string) Options {
	return Options{Zone: zone, Region: zoneRegions()[zone], Zones: zoneRegions(), RetryRatio: 0.2,
		RetryWindow: 10 * time.Second, RetryAllowance: 54, SlowStartFactor: 1.5, SlowStartAllowance: 5}
}

func newTestPlacer(t testing.TB, zone string, seed uint64) *Placer {
	p, err := New(testOptions(zone), seed)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// kind draws a kind of request: its chains have a first part of a few, and a second one of many.
func (w *simulation) kind(name string, rank, target int, rate float64, things []int, tokens []float64,
	own, spread, out float64) *requestKind {
	k := &requestKind{rate: rate, uniqueTokens: own, spread: spread, outputTokens: out}
	k.route = configuration.Route{Name: name,
		LatencyTarget: time.Duration(target) * time.Millisecond, Timeout: 5 * time.Second, Rank: rank, Type: configuration.Streaming,
		EventGapTarget: 400 * time.Millisecond, PrefixAffinity: true, MaxAttempts: 2}
	var firsts []Chunk
	for range things[0] {
		firsts = append(firsts, Chunk{w.random.Uint64(), w.drawTokens(tokens[0], 0.4)})
	}
	for i := range things[1] {
		k.prefixes = append(k.prefixes, []Chunk{firsts[i%len(firsts)], {w.random.Uint64(), w.drawTokens(tokens[1], 0.7)}})
	}
	return k
}

// drawTokens draws a number of tokens.
func (w *simulation) drawTokens(mean, spread float64) int {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return 1 + int(math.Min(mean*math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2), 12*mean))
}

func (w *simulation) scheduleTick(p *simulatedProxy) {
	next := p.placer.Tick(w.now)
	w.events.At(max(next, w.now+time.Millisecond).Seconds(), func() { w.scheduleTick(p) })
}

func (w *simulation) scheduleArrival(p *simulatedProxy, k *requestKind) {
	gap := time.Duration(w.random.ExpFloat64() / k.rate * float64(time.Second))
	w.events.At((w.now + gap).Seconds(), func() {
		w.arrive(p, k)
		w.scheduleArrival(p, k)
	})
}

func (w *simulation) arrive(p *simulatedProxy, k *requestKind) {
	chain := k.prefixes[int(float64(len(k.prefixes))*math.Pow(w.random.Float64(), 1.4))]
	own := Chunk{w.random.Uint64(), w.drawTokens(k.uniqueTokens, k.spread)}
	out := w.drawTokens(k.outputTokens, 0.7)
	r := &Request{Route: &k.route, Service: "llm", Chunks: append(append([]Chunk(nil), chain...), own), MaxOutputTokens: 2 * out,
		ArrivedAt: w.now, Deadline: w.now + k.route.Timeout}
	for _, part := range r.Chunks {
		r.InputTokens += part.Tokens
	}
	k.requests++
	c, refusal := p.placer.Place(w.now, r)
	if refusal != nil {
		w.rejected++
		return
	}
	e := w.engines[c.Runner]
	j := &job{simulation: w, proxy: p, kind: k, request: r, engine: e, outputTokens: out, sent: w.now, latency: w.latency(p, e), priority: c.Priority}
	j.attempt = p.placer.StartAttempt(w.now, r, c)
	w.after(j.latency, func() { e.enqueue(j) })
}

// latency is one way between a proxy and an engine.
func (w *simulation) latency(p *simulatedProxy, e *engine) time.Duration {
	switch {
	case p.zone == e.Zone:
		return 100 * time.Microsecond
	case zoneRegions()[p.zone] == e.Region:
		return 1400 * time.Microsecond
	}
	return 20 * time.Millisecond
}

func (w *simulation) after(d time.Duration, do func()) { w.events.At((w.now + d).Seconds(), do) }

func (e *engine) enqueue(j *job) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority > j.priority {
		at--
	}
	e.queue = append(e.queue[:at], append([]*job{j}, e.queue[at:]...)...)
	e.startNext(j.simulation)
}

// startNext reads the next prompt.
func (e *engine) startNext(w *simulation) {
	if e.prefilling || len(e.queue) == 0 || e.running >= 64 {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.prefilling = true
	e.running++
	tokens := e.prefill(w, j.request.Chunks)
	e.reservedTokens += j.request.InputTokens
	e.evict()
	w.after(time.Duration(float64(tokens)/simulatedPrefillSpeed*float64(time.Millisecond))+simulatedTokenTime, func() {
		e.prefilling = false
		w.after(j.latency, j.handleFirstEvent)
		w.after(time.Duration(j.outputTokens)*simulatedTokenTime, func() {
			e.running--
			e.reservedTokens -= j.request.InputTokens
			w.after(j.latency, j.finish)
			e.startNext(w)
		})
		e.startNext(w)
	})
}

// prefill keeps the shared parts of a prompt and says how many tokens had to be read.
func (e *engine) prefill(w *simulation, parts []Chunk) (tokens int) {
	chain, whole := uint64(1), true
	for i, part := range parts {
		if i == len(parts)-1 {
			return tokens + part.Tokens
		}
		chain = chain*0x9e3779b97f4a7c15 ^ part.ID
		w.sharedTokens += part.Tokens
		if whole = whole && e.touch(chain); whole {
			continue
		}
		tokens += part.Tokens
		if w.prefilledPrefixes[chain] {
			w.repeatedTokens += part.Tokens
		}
		w.prefilledPrefixes[chain] = true
		e.cached = append(e.cached, cachedChunk{chain, part.Tokens})
		e.cachedTokens += part.Tokens
	}
	return tokens
}

// touch says whether a part is kept, and makes it the one used last.
func (e *engine) touch(chain uint64) bool {
	for i, k := range e.cached {
		if k.chain == chain {
			e.cached = append(append(e.cached[:i:i], e.cached[i+1:]...), k)
			return true
		}
	}
	return false
}

func (e *engine) evict() {
	for len(e.cached) > 0 && e.cachedTokens+e.reservedTokens > 230413 {
		e.cachedTokens -= e.cached[0].tokens
		e.cached = e.cached[1:]
	}
}

func (j *job) handleFirstEvent() {
	took := j.simulation.now - j.sent
	j.proxy.placer.HandleFirstEvent(j.simulation.now, j.attempt)
	j.kind.firstEvents = append(j.kind.firstEvents, took)
	if took <= j.kind.route.LatencyTarget {
		j.kind.inTime++
	}
}

func (j *job) finish() {
	j.proxy.placer.EndAttempt(j.simulation.now, j.attempt, Succeeded, Progress{TimeToFirstEvent: j.sent, Events: j.outputTokens / 4, Duration: j.simulation.now - j.sent})
}

// run plays until a moment.
func (w *simulation) run(until time.Duration) {
	for {
		at, do, is := w.events.Next(until.Seconds())
		if !is {
			return
		}
		w.now = max(w.now, time.Duration(at*float64(time.Second)))
		do()
	}
}
