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

// simulation runs engines, proxies and clients in virtual time, so that the effect of all decisions together can be measured.
// An engine prefills prompts one after the other in the order of their priority, caches shared chunks in a memory of tokens
// from which the least recently used are evicted, and then decodes tokens at an even pace.
type simulation struct {
	t                 testing.TB
	now               time.Duration
	events            eventqueue.Queue
	random            *rand.Rand
	service           configuration.Service
	kinds             []*requestKind
	engines           map[string]*simulatedEngine
	proxies           []*simulatedProxy
	runners           []Runner
	prefilledPrefixes map[uint64]bool // hashes of the chunk chains that some engine has prefilled
	repeatedTokens    int             // tokens of shared chunks that were prefilled again
	sharedTokens      int             // tokens of shared chunks in all requests
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
	spread       float64 // standard deviation of the unique tokens as a share of their mean
	outputTokens float64 // mean tokens
	requests     int
	inTime       int
	firstEvents  []time.Duration
}

type simulatedEngine struct {
	Runner
	queue          []*simulatedJob
	prefilling     bool
	running        int
	reservedTokens int
	cached         []cachedChunk // from the least to the most lately used
	cachedTokens   int
}

type cachedChunk struct {
	chain  uint64 // hash of the chunk and of all chunks before it
	tokens int
}

type simulatedJob struct {
	simulation   *simulation
	proxy        *simulatedProxy
	kind         *requestKind
	request      *Request
	attempt      *Attempt
	engine       *simulatedEngine
	outputTokens int
	sent         time.Duration
	latency      time.Duration // one way
	priority     int

	timeToFirstEvent time.Duration
}

const (
	simulatedPrefillSpeed = 38.7                 // prompt tokens prefilled in a millisecond
	simulatedTokenTime    = 6 * time.Millisecond // in which an engine decodes a token
	simulatedCacheTokens  = 230413               // memory of an engine
	simulatedSlots        = 64                   // requests that an engine runs at once
	simulatedEventTokens  = 4                    // tokens in an event of a stream
)

// newSimulation makes a deployment of two regions, with three zones, ten engines and seven proxies.
func newSimulation(t testing.TB, seed uint64, load float64) *simulation {
	t.Helper()
	sim := &simulation{
		t:                 t,
		now:               time.Second,
		random:            rand.New(rand.NewPCG(seed, 5)),
		engines:           map[string]*simulatedEngine{},
		prefilledPrefixes: map[uint64]bool{},
		service: configuration.Service{
			Name:              "llm",
			MaxConnections:    360,
			SlowStartDuration: 3 * time.Second,
			SlowStartRate:     9.2,
			Backend: &configuration.Backend{
				Capacity:       simulatedSlots,
				CacheTokens:    simulatedCacheTokens,
				TokensPerEvent: simulatedEventTokens,
			},
		},
	}
	zones := []string{"m", "m", "m", "p", "p", "p", "p", "t", "t", "t"}
	for i, zone := range zones {
		id := fmt.Sprintf("i-%d-%d", seed, i)
		runner := Runner{ID: id, Service: "llm", Zone: zone, Region: zoneRegions()[zone], Capacity: simulatedSlots}
		sim.engines[id] = &simulatedEngine{Runner: runner}
		sim.runners = append(sim.runners, runner)
	}
	sim.kinds = []*requestKind{
		sim.kind("long", 0, 800, 9.8*load/7, []int{4, 37}, []float64{2520, 3780}, 2890, 1, 52),
		sim.kind("middle", 1, 600, 13.9*load/7, []int{40, 52}, []float64{341, 227}, 1800, 1.3, 24),
		sim.kind("short", 2, 500, 11.6*load/7, []int{20, 98}, []float64{103, 69}, 543, 0.9, 280),
	}
	for i, zone := range []string{"m", "m", "m", "p", "p", "t", "t"} {
		proxy := &simulatedProxy{placer: newTestPlacer(t, zone, seed*100+uint64(i)), zone: zone}
		sim.proxies = append(sim.proxies, proxy)
		proxy.placer.SetServices(sim.now, []*configuration.Service{&sim.service})
		proxy.placer.SetRunners(sim.now, sim.runners)
		proxy.placer.SetProxyCount(sim.now, 7)
		sim.scheduleTick(proxy)
		for _, kind := range sim.kinds {
			sim.scheduleArrival(proxy, kind)
		}
	}
	return sim
}

func zoneRegions() map[string]string {
	return map[string]string{"m": "west", "t": "west", "p": "east"}
}

func testOptions(zone string) Options {
	return Options{
		Zone:               zone,
		Region:             zoneRegions()[zone],
		Zones:              zoneRegions(),
		RetryRatio:         0.2,
		RetryWindow:        10 * time.Second,
		RetryAllowance:     54,
		SlowStartFactor:    1.5,
		SlowStartAllowance: 5,
	}
}

func newTestPlacer(t testing.TB, zone string, seed uint64) *Placer {
	t.Helper()
	p, err := New(testOptions(zone), seed)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// kind draws a kind of request. Its prefixes have two chunks, the first one of a few and the second one of many: variants and
// tokens hold the number of each and their mean size. target is in milliseconds, rate a second at each proxy; own and out are
// the mean tokens of the unique chunk and of the response.
func (sim *simulation) kind(name string, rank, target int, rate float64, variants []int, tokens []float64,
	own, spread, out float64) *requestKind {
	kind := &requestKind{rate: rate, uniqueTokens: own, spread: spread, outputTokens: out}
	kind.route = configuration.Route{
		Name:           name,
		LatencyTarget:  time.Duration(target) * time.Millisecond,
		Timeout:        5 * time.Second,
		Rank:           rank,
		Type:           configuration.Streaming,
		EventGapTarget: 400 * time.Millisecond,
		PrefixAffinity: true,
		MaxAttempts:    2,
	}
	var firsts []Chunk
	for range variants[0] {
		firsts = append(firsts, Chunk{sim.random.Uint64(), sim.drawTokens(tokens[0], 0.4)})
	}
	for i := range variants[1] {
		kind.prefixes = append(kind.prefixes, []Chunk{firsts[i%len(firsts)], {sim.random.Uint64(), sim.drawTokens(tokens[1], 0.7)}})
	}
	return kind
}

// drawTokens draws a number of tokens.
func (sim *simulation) drawTokens(mean, spread float64) int {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return 1 + int(math.Min(mean*math.Exp(sigma*sim.random.NormFloat64()-sigma*sigma/2), 12*mean))
}

func (sim *simulation) scheduleTick(proxy *simulatedProxy) {
	next := proxy.placer.Tick(sim.now)
	sim.events.Schedule(max(next, sim.now+time.Millisecond).Seconds(), func() { sim.scheduleTick(proxy) })
}

func (sim *simulation) scheduleArrival(proxy *simulatedProxy, kind *requestKind) {
	gap := time.Duration(sim.random.ExpFloat64() / kind.rate * float64(time.Second))
	sim.events.Schedule((sim.now + gap).Seconds(), func() {
		sim.arrive(proxy, kind)
		sim.scheduleArrival(proxy, kind)
	})
}

func (sim *simulation) arrive(proxy *simulatedProxy, kind *requestKind) {
	prefix := kind.prefixes[int(float64(len(kind.prefixes))*math.Pow(sim.random.Float64(), 1.4))]
	own := Chunk{sim.random.Uint64(), sim.drawTokens(kind.uniqueTokens, kind.spread)}
	out := sim.drawTokens(kind.outputTokens, 0.7)
	request := &Request{
		Route:           &kind.route,
		Service:         "llm",
		Chunks:          append(append([]Chunk(nil), prefix...), own),
		MaxOutputTokens: 2 * out,
		ArrivedAt:       sim.now,
		Deadline:        sim.now + kind.route.Timeout,
	}
	for _, chunk := range request.Chunks {
		request.InputTokens += chunk.Tokens
	}
	kind.requests++
	choice, rejection := proxy.placer.Place(sim.now, request)
	if rejection != nil {
		sim.rejected++
		return
	}
	engine := sim.engines[choice.Runner]
	job := &simulatedJob{
		simulation:   sim,
		proxy:        proxy,
		kind:         kind,
		request:      request,
		engine:       engine,
		outputTokens: out,
		sent:         sim.now,
		latency:      sim.latency(proxy, engine),
		priority:     choice.Priority,
	}
	job.attempt = proxy.placer.StartAttempt(sim.now, request, choice)
	sim.after(job.latency, func() { engine.enqueue(job) })
}

// latency is the one-way latency between a proxy and an engine.
func (sim *simulation) latency(proxy *simulatedProxy, engine *simulatedEngine) time.Duration {
	switch {
	case proxy.zone == engine.Zone:
		return 100 * time.Microsecond
	case zoneRegions()[proxy.zone] == engine.Region:
		return 1400 * time.Microsecond
	}
	return 20 * time.Millisecond
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.events.Schedule((sim.now + d).Seconds(), do)
}

func (e *simulatedEngine) enqueue(job *simulatedJob) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority > job.priority {
		at--
	}
	e.queue = append(e.queue[:at], append([]*simulatedJob{job}, e.queue[at:]...)...)
	e.startNext(job.simulation)
}

// startNext prefills the next prompt.
func (e *simulatedEngine) startNext(sim *simulation) {
	if e.prefilling || len(e.queue) == 0 || e.running >= simulatedSlots {
		return
	}
	job := e.queue[0]
	e.queue = e.queue[1:]
	e.prefilling = true
	e.running++
	tokens := e.prefill(sim, job.request.Chunks)
	e.reservedTokens += job.request.InputTokens
	e.evict()
	sim.after(time.Duration(float64(tokens)/simulatedPrefillSpeed*float64(time.Millisecond))+simulatedTokenTime, func() {
		e.prefilling = false
		sim.after(job.latency, job.handleFirstEvent)
		sim.after(time.Duration(job.outputTokens)*simulatedTokenTime, func() {
			e.running--
			e.reservedTokens -= job.request.InputTokens
			sim.after(job.latency, job.finish)
			e.startNext(sim)
		})
		e.startNext(sim)
	})
}

// prefill caches the shared chunks of a prompt and returns how many tokens were not cached.
func (e *simulatedEngine) prefill(sim *simulation, chunks []Chunk) (tokens int) {
	prefix := uint64(1)
	allCached := true // the chunks so far
	for i, chunk := range chunks {
		if i == len(chunks)-1 {
			return tokens + chunk.Tokens
		}
		prefix = prefix*0x9e3779b97f4a7c15 ^ chunk.ID
		sim.sharedTokens += chunk.Tokens
		allCached = allCached && e.touch(prefix)
		if allCached {
			continue
		}
		tokens += chunk.Tokens
		if sim.prefilledPrefixes[prefix] {
			sim.repeatedTokens += chunk.Tokens
		}
		sim.prefilledPrefixes[prefix] = true
		e.cached = append(e.cached, cachedChunk{prefix, chunk.Tokens})
		e.cachedTokens += chunk.Tokens
	}
	return tokens
}

// touch reports whether a chunk is cached, and makes it the most recently used.
func (e *simulatedEngine) touch(prefix uint64) bool {
	for i, chunk := range e.cached {
		if chunk.chain == prefix {
			e.cached = append(append(e.cached[:i:i], e.cached[i+1:]...), chunk)
			return true
		}
	}
	return false
}

func (e *simulatedEngine) evict() {
	for len(e.cached) > 0 && e.cachedTokens+e.reservedTokens > simulatedCacheTokens {
		e.cachedTokens -= e.cached[0].tokens
		e.cached = e.cached[1:]
	}
}

func (j *simulatedJob) handleFirstEvent() {
	took := j.simulation.now - j.sent
	j.timeToFirstEvent = took
	j.proxy.placer.HandleFirstEvent(j.simulation.now, j.attempt)
	j.kind.firstEvents = append(j.kind.firstEvents, took)
	if took <= j.kind.route.LatencyTarget {
		j.kind.inTime++
	}
}

func (j *simulatedJob) finish() {
	j.proxy.placer.EndAttempt(j.simulation.now, j.attempt, Succeeded, Progress{
		TimeToFirstEvent: j.timeToFirstEvent,
		Events:           j.outputTokens / simulatedEventTokens,
		Duration:         j.simulation.now - j.sent,
	})
}

// run plays the events up to a time.
func (sim *simulation) run(until time.Duration) {
	for {
		at, do, due := sim.events.PopUntil(until.Seconds())
		if !due {
			return
		}
		sim.now = max(sim.now, time.Duration(at*float64(time.Second)))
		do()
	}
}
