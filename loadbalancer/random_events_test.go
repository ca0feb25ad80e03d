package loadbalancer

import (
	"math"
	"math/rand"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// playRandomEvents feeds a seeded sequence of ordinary and odd events; the recorder checks the rules all along. The order
// in which events draw is recorded in testdata/replay.txt: it must not change.
func playRandomEvents(t reporter, s Settings, seed int64, steps int) []string {
	t.Helper()
	return playEvents(t, s, uint64(seed), rand.New(rand.NewSource(seed)), steps)
}

// playEvents feeds a sequence of events that rng draws to a balancer of a seed.
func playEvents(t reporter, s Settings, seed uint64, rng *rand.Rand, steps int) []string {
	t.Helper()
	r := newRecorder(t, s, seed)
	for i := 1; i <= 6; i++ {
		r.list(ListDelta, Worker{ID: WorkerID(i), Zone: i % 2, Kind: i % 2, Cell: i % 3, State: Ready})
	}
	events := &randomEvents{recorder: r, rng: rng, nextID: 1}
	for i := 0; i < steps; i++ {
		events.step()
	}
	r.runTo(r.now + 11)
	for id := range r.requests {
		if !r.answered[id] {
			t.Errorf("seed %d: request %d has no final answer", seed, id)
		}
	}
	return r.trace
}

// randomEvents draws events for a balancer. Each method draws in a fixed order.
type randomEvents struct {
	*recorder
	rng    *rand.Rand
	nextID RequestID
}

var oddNumbers = []float64{0, -1, 1e300, nan(), inf(), 0.05}

func (e *randomEvents) oddNumber() float64 { return oddNumbers[e.rng.Intn(len(oddNumbers))] }

// step lets some time pass and has one event happen.
func (e *randomEvents) step() {
	e.runTo(e.now + e.rng.Float64()*0.05)
	switch e.rng.Intn(12) {
	case 0, 1, 2, 3:
		e.arrive()
	case 4, 5, 6, 7, 8:
		e.advanceAttempts()
	case 9:
		e.changeWorker()
	case 10:
		e.feedUnknown()
	case 11:
		e.disconnect()
	}
}

// arrive has a request arrive, now and then one that makes no sense.
func (e *randomEvents) arrive() {
	request := Request{
		ID:       e.nextID,
		Class:    e.rng.Intn(len(e.settings.Classes)),
		Slots:    float64(e.rng.Intn(3)),
		Work:     e.rng.Float64() * 0.3,
		Deadline: e.now + 0.02 + e.rng.Float64()*6,
	}
	if e.rng.Intn(10) == 0 {
		request.Work = e.oddNumber()
		request.Slots = e.oddNumber()
		request.Memory = e.oddNumber()
		request.Class = e.rng.Intn(9) - 1
		request.Tenant = e.rng.Intn(5) - 2
	}
	e.requests[e.nextID] = &request
	e.balancer.HandleRequest(e.now, &request)
	e.nextID++
}

// advanceAttempts has something happen to each attempt of a request that was sent lately.
func (e *randomEvents) advanceAttempts() {
	if len(e.sends) == 0 {
		return
	}
	id := e.sends[max(0, len(e.sends)-1-e.rng.Intn(20))].id
	for n := range e.attempts[id] {
		attempt := e.attempts[id][n]
		switch {
		case !attempt.inFlight:
			e.balancer.HandleOutcome(e.now, &Outcome{Request: id, Attempt: n, Result: OK}) // repeated
		case !attempt.started && e.rng.Intn(2) == 0:
			e.start(id, n)
		case attempt.started && e.rng.Intn(4) == 0:
			e.balancer.HandleProgress(e.now, &ProgressUpdate{Request: id, Attempt: n, Fraction: e.oddNumber()})
		default:
			result := Result(e.rng.Intn(8))
			inFlight := float32(e.rng.Intn(9))
			utilization := e.rng.Float32()
			freeSlots := float32(e.oddNumber())
			e.outcome(id, n, result, inFlight, utilization, freeSlots)
		}
	}
}

// changeWorker has the list add or change a worker.
func (e *randomEvents) changeWorker() {
	worker := Worker{
		ID:     WorkerID(1 + e.rng.Intn(8)),
		Zone:   e.rng.Intn(4) - 1,
		Kind:   e.rng.Intn(2),
		Cell:   e.rng.Intn(3),
		State:  WorkerState(e.rng.Intn(3)),
		Weight: e.oddNumber(),
	}
	if e.rng.Intn(2) == 0 {
		worker.StartedAt = e.now - e.rng.Float64()*3
	}
	if old, known := e.workers[worker.ID]; known { // a worker does not move
		worker.Zone = old.Zone
		worker.Kind = old.Kind
		worker.Cell = old.Cell
	}
	e.list(ListDelta, worker)
}

// feedUnknown feeds a failed list, and events of requests, workers and timers that are not there.
func (e *randomEvents) feedUnknown() {
	e.list(ListFailed)
	e.balancer.HandleProgress(e.now, &ProgressUpdate{Request: 1 << 30, Attempt: 3, Started: true})
	e.balancer.HandleOutcome(e.now, &Outcome{Request: 1, Attempt: 200})
	e.balancer.HandleProbeResult(e.now, 999, OK, []float32{1})
	e.balancer.HandleDisconnect(e.now, 1<<30)
	e.balancer.HandleTimer(e.now, e.rng.Uint32())
}

// disconnect has the client of a request leave, if the request waits for its answer.
func (e *randomEvents) disconnect() {
	id := RequestID(1 + e.rng.Intn(int(e.nextID)))
	if e.requests[id] != nil && !e.answered[id] {
		e.answered[id] = true
		e.balancer.HandleDisconnect(e.now, id)
	}
}

func variants() []Settings {
	plain := testSettings()
	strict := testSettings()
	strict.ParallelAttempts = false
	strict.MayCancel = false
	strict.MaxAttempts = 2
	strict.ReportsStart = false
	strict.ReportFields = nil
	probing := testSettings()
	probing.MayProbe = true
	probing.ReportsByProbe = true
	probing.ListOnRequest = true
	probing.Tenants = []Tenant{{Name: "a", QuotaPerSec: 3}, {Name: "b", QuotaPerSec: 9}}
	return []Settings{plain, strict, probing}
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for v, s := range variants() {
		for seed := int64(1); seed <= 40; seed++ {
			playRandomEvents(t, s, seed*10+int64(v), 600)
			if t.Failed() {
				t.Fatalf("variant %d, seed %d", v, seed)
			}
		}
	}
}

// drawnSource is a source of random numbers that rapid draws, so that it can shrink a sequence which breaks a rule.
type drawnSource struct{ t *rapid.T }

func (s drawnSource) Int63() int64 { return rapid.Int64Min(0).Draw(s.t, "random") }

func (s drawnSource) Seed(int64) {}

// drawSettings draws settings from the variants and changes what the rules depend on.
func drawSettings(t *rapid.T) Settings {
	s := rapid.SampledFrom(variants()).Draw(t, "variant")
	s.MaxAttempts = rapid.IntRange(1, 6).Draw(t, "attempts")
	s.Instances = rapid.SampledFrom([]int{1, 3, 60, 300}).Draw(t, "instances")
	s.Instance = rapid.IntRange(0, s.Instances-1).Draw(t, "instance")
	s.ParallelAttempts = rapid.Bool().Draw(t, "parallel")
	s.MayCancel = rapid.Bool().Draw(t, "cancel")
	s.ReportsStart = rapid.Bool().Draw(t, "starts")
	s.SlowStartDuration = rapid.SampledFrom([]float64{0, 1, 9}).Draw(t, "slow start")
	return s
}

// TestDrawnEventsKeepInvariants: whatever comes, each request gets one final answer in time, and no send breaks a rule.
func TestDrawnEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := drawSettings(t)
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		playEvents(t, settings, seed, rand.New(drawnSource{t}), steps)
	})
}

func TestSameEventsSameActions(t *testing.T) {
	for v, s := range variants() {
		alone := playRandomEvents(t, s, 77, 800)
		playRandomEvents(t, s, 78, 300) // another instance in the same process
		again := playRandomEvents(t, s, 77, 800)
		if strings.Join(alone, "\n") != strings.Join(again, "\n") {
			t.Errorf("variant %d: the same events led to other actions", v)
		}
		if len(alone) < 100 {
			t.Errorf("variant %d: only %d actions", v, len(alone))
		}
	}
}

func nan() float64 { return math.NaN() }

func inf() float64 { return math.Inf(1) }
