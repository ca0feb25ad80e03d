package loadbalancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"cinderroad/internal/shared/capacity"
)

// This file holds what the decisions remember and how it is kept; the decisions are in the files that deploy/balancer.toml names.

// worker is what this balancer knows of one worker.
type worker struct {
	Worker
	heard          bool    // a load report has come since its last start
	inFlight, util float64 // as last reported
	reportAt       float64 // when a new report was first seen
	repeated       bool    // and it has been seen again since
	inView         bool    // its reports are kept fresh
	trust          float64 // weight of its last report against the mean
	probedAt       float64
	others, slots  float64 // jobs of the other balancers; slots it has been seen to have
	ceilings       capacity.Limits
	room           float64 // the plan: spare room, lowered by each send until the next rebuild
	own, jobs      float64 // slots and jobs this balancer has out here
	jobsThen       float64 // own jobs as of about a report period ago
	pace, run      float64 // running time for a unit of work; mean running time of a job here
	oldest         float64 // how long an own job has been waiting to start here
	queued         float64 // slots of own jobs waiting to start here
	goneAt         float64 // when it left the list
	standing       capacity.Ejection
	sent           [4]float64 // work sent in the last spans of a third of the fall time
	span           int64
	turnAt         uint64 // the turn that place was worked out for
	placed         uint64 // and among which peers
	place          int
}

// kind is what is known of a machine kind; size is the fewest slots that one of its workers has shown, 0 if none has;
// waits is how long jobs have lately waited for their start on those that tell no load.
type kind struct{ pace, size, sizedAt, waits float64 }

// kind finds the worker's kind; one not seen before is taken to be like the rest.
func (b *Balancer) kind(w *worker) *kind {
	k := b.kinds[w.Kind]
	if k == nil {
		k = &kind{pace: math.Max(b.pace, w.pace)}
		b.kinds[w.Kind] = k
	}
	return k
}

// attempt is one send of a request.
type attempt struct {
	w             *worker
	sent, started float64
	share, load   float64 // share done as told; load of the worker when it was sent
	flying        bool
	mayHaveRun    bool // in flight, or ended without proof that it never ran
}

// request is held until it has its answer and all its attempts have ended.
type request struct {
	Request
	class        *Class
	arrived, aim float64
	cost         float64 // expected work: the hint, or the mean of the class
	size         float64 // slots
	attempts     []attempt
	flying       int
	done         bool
	place        int // in Balancer.open
}

// Balancer holds the decisions of one dispatcher.
type Balancer struct {
	Settings
	act       Actions
	rng       capacity.Random
	sweep     float64 // monitoring period
	limit     float64 // the tightest objective
	recover   float64 // time constant in which ceilings recover: the longest deadline
	sweepAt   float64
	planAt    float64 // when the plan was last made
	workers   []*worker
	byID      map[WorkerID]*worker
	requests  map[RequestID]*request
	open      []*request // not answered yet
	pool      []*request
	work      []float64 // mean work by class: hinted, or running time where there are no hints
	far       []float64 // shortest time to a start seen by zone
	kinds     map[int]*kind
	pace, run float64 // mean pace of the workers; mean running time of a job
	errors    float64 // mean error share of the workers that were sent to
	perJob    float64 // mean slots of a job
	period    float64 // mean time between new reports of a worker
	demand    float64 // mean slots of own jobs in flight
	out       float64 // own slots in flight, over a mean running time
	patience  float64 // a job that would wait longer than this is refused
	weight    float64 // mean weight of the list
	slots     float64 // of all ready workers
	copies    float64 // second copies that may still be sent
	stock     float64 // and that may be saved up
	probes    float64 // probes that may still be sent
	lastAsk   float64
	askEvery  float64
	watching  bool
	leastSize float64 // fewest slots seen of any worker
	meanSize  float64 // mean slots of the workers
	arrivals  float64 // since the view was chosen
	viewAt    float64
	part      float64                      // of a cold worker's budget that is ours to share in
	peers     []uint64                     // keys of the instances; nil: Me and Instances say all
	peered    uint64                       // counts the changes of peers
	recalled  map[WorkerID]*WorkerSnapshot // of a Balancer before this one, until the list names them
}

// New checks the settings and returns a Balancer that knows nothing yet.
func New(s Settings, seed uint64, act Actions) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{Settings: s, act: act, rng: capacity.Random(seed), byID: map[WorkerID]*worker{}, pace: 1, perJob: 1,
		requests: map[RequestID]*request{}, work: make([]float64, len(s.Classes)), limit: math.Inf(1),
		far: make([]float64, s.Zones), kinds: map[int]*kind{}, stock: stock(s.Instances), part: 1, leastSize: 1, meanSize: 1}
	b.copies = b.stock / 2
	for i := range s.Classes {
		b.limit = math.Min(b.limit, s.Classes[i].Objective)
		b.recover = math.Max(b.recover, s.Classes[i].Deadline)
		b.work[i] = firstGuess * s.Classes[i].Deadline
	}
	b.sweep = math.Max(sweepTicks*s.Tick, b.limit*sweepShare)
	b.period = 2 * b.limit // until reports show it
	return b, nil
}

// stock is how many second copies one of so many instances may save up.
func stock(instances int) float64 { return math.Max(1, copyStock/float64(instances)) }

// InstanceShare is an instance's place among those that share the workers, where it is not the settings' for good.
type InstanceShare struct {
	Instances    int
	Instance     int
	BudgetShare  float64  // of a cold worker's budget, above 0: less than 1 while others may not count this instance
	InstanceKeys []uint64 // of all instances by their numbers, drawn from their names; nil: turns go by the numbers alone
}

// SetInstanceShare sets the place; it is called between events, and decides nothing itself. One that makes no sense changes nothing.
func (b *Balancer) SetInstanceShare(p InstanceShare) error {
	if p.Instances < 1 || p.Instance < 0 || p.Instance >= p.Instances || !(p.BudgetShare > 0 && p.BudgetShare <= 1) || p.InstanceKeys != nil && len(p.InstanceKeys) != p.Instances {
		return fmt.Errorf("brain: bad place: %d of %d, part %v, %d keys", p.Instance, p.Instances, p.BudgetShare, len(p.InstanceKeys))
	}
	b.Instances, b.Instance, b.part, b.peers = p.Instances, p.Instance, p.BudgetShare, p.InstanceKeys
	b.peered++
	b.stock = stock(p.Instances)
	b.copies = math.Min(b.copies, b.stock)
	return nil
}

// order is this instance's place, from 0 on, in the order of a worker's turn. By the keys, whoever knows of more
// instances comes no earlier: so the holders by views that differ are never more than by one view.
func (b *Balancer) order(w *worker, turn uint64) int {
	draw := capacity.Hash(uint64(w.ID) + capacity.Hash(turn))
	if b.peers == nil {
		first := int(draw % uint64(b.Instances))
		return (b.Instance + b.Instances - first) % b.Instances
	}
	if w.placed != b.peered || w.turnAt != turn {
		w.placed, w.turnAt, w.place = b.peered, turn, 0
		mine := capacity.Hash(draw ^ b.peers[b.Instance])
		for _, key := range b.peers {
			if capacity.Hash(draw^key) < mine {
				w.place++
			}
		}
	}
	return w.place
}

// reading is a load report with its fields in place; -1 is not told.
type reading struct{ inFlight, util, free, queued float64 }

// read sorts a report by the settings' fields; a value that makes no sense counts as not told.
func (b *Balancer) read(w *worker, report []float32) reading {
	got := reading{-1, -1, -1, -1}
	for i, f := range b.ReportFields {
		if i >= len(report) || !finite(float64(report[i])) || report[i] < 0 {
			continue
		}
		switch v := float64(report[i]); f {
		case FieldInFlight:
			got.inFlight = v
		case FieldUtilization:
			got.util = v
		case FieldFreeSlots:
			got.free = v
		case FieldQueued:
			got.queued = v
		}
	}
	if got.inFlight >= 0 || got.util < 0 && got.free < 0 && got.queued <= 0 {
		return got
	}
	// The jobs held in other words: by the slots not taken or the cores that are busy, and by what waits.
	size := b.sizeOf(w)
	got.inFlight = size
	if got.free >= 0 {
		got.inFlight = math.Max(size-got.free, w.jobs)
	} else if got.util >= 0 {
		got.inFlight = size * math.Min(got.util, 1)
	}
	got.inFlight += math.Max(got.queued, 0)
	return got
}

// measure counts the own jobs that wait to start on each worker, the workers' sizes and their mean failures; fade is the
// share of the longest deadline that has gone since the last time.
func (b *Balancer) measure(now, fade float64) {
	slots, sized, least, failing, judged, weight, weighed := 0.0, 0.0, math.Inf(1), 0.0, 0.0, 0.0, 0.0
	b.slots = 0
	for _, w := range b.workers {
		w.oldest, w.queued = 0, 0
		if w.State == Ready {
			b.slots += b.sizeOf(w) * b.warmth(now, w)
			if w.Weight > 0 && finite(w.Weight) {
				weight, weighed = weight+w.Weight, weighed+1
			}
		}
		if w.standing.Observed && w.State == Ready {
			failing, judged = failing+w.standing.ErrorRate, judged+1
		}
		if w.slots > 0 {
			slots, sized, least = slots+w.slots, sized+1, math.Min(least, w.slots)
			if k := b.kind(w); k.sizedAt != now {
				k.size, k.sizedAt = w.slots, now
			} else { // a worker that held more than it runs may look larger than it is
				k.size = math.Min(k.size, w.slots)
			}
		}
	}
	for _, k := range b.kinds {
		capacity.UpdateMean(&k.waits, 0, fade) // who sends nothing is told nothing new
	}
	b.errors, b.weight = failing/math.Max(judged, 1), weight/math.Max(weighed, 1)
	if sized > 0 {
		b.leastSize, b.meanSize = least, slots/sized
	} else { // as jobs began to wait; of what is only guessed a cold worker is trusted with half
		b.leastSize = math.Max(1, b.meanSize/2)
	}
	for _, r := range b.open {
		for j := range r.attempts {
			a := &r.attempts[j]
			if !b.ReportsStart || !a.flying || a.started > 0 {
				continue
			}
			if wait := now - a.sent; wait > b.far[b.zone(a.w)]+b.sweep { // more than the note's way
				a.w.oldest, a.w.queued = math.Max(a.w.oldest, wait), a.w.queued+r.size
			}
		}
	}
}

// learnReport takes a load report. Reports lag: what is ours in it is subtracted as of when it was taken.
func (b *Balancer) learnReport(now float64, w *worker, report []float32) {
	got := b.read(w, report)
	if got.inFlight < 0 {
		return // nothing told
	}
	if w.heard && got.inFlight == w.inFlight && got.util == w.util {
		w.repeated = true // told before
		return
	}
	others := got.inFlight - w.jobsThen
	if w.repeated { // else the time between reports is how seldom this balancer asked
		capacity.UpdateMean(&b.period, math.Min(now-w.reportAt, 8*b.period), learnRate)
	}
	w.repeated = false
	if w.heard { // where reports are rare, each says all the more
		capacity.UpdateMean(&w.others, others, 1-math.Pow(1-othersRate, math.Max(1, (now-w.reportAt)/b.period)))
	} else {
		w.others = others
	}
	size := math.Round(got.inFlight + math.Max(got.free, 0)) // too much where a queue waits behind a wide job
	if got.free >= 0 && 2*got.free >= got.inFlight {
		w.slots = math.Max(w.slots, size)
	}
	if w.ceilings.Load == 0 {
		w.ceilings.Load = seedMargin * w.slots
	}
	w.heard, w.inFlight, w.util, w.reportAt = true, got.inFlight, math.Max(got.util, 0), now
}

// learnPace takes a running time for an amount of work.
func (b *Balancer) learnPace(w *worker, run, cost float64) {
	if cost <= 0 || run <= 0 {
		return
	}
	capacity.UpdateMean(&w.pace, math.Min(run/cost, 2*peerFactor*b.pace), learnRate) // one heavy job convicts no worker
	capacity.UpdateMean(&b.pace, math.Min(run/cost, 2*b.pace), fleetRate)
	kind := b.kind(w)
	capacity.UpdateMean(&kind.pace, math.Min(run/cost, 2*kind.pace), fleetRate)
}

// learnWait draws on the wait of a job on a worker that does not tell its load: how long its kind has jobs wait, and the
// load at which they begin to. Where no start is told, ends say it: atStart is what the wait was seen at.
func (b *Balancer) learnWait(atStart bool, w *worker, load, wait float64) {
	if w.slots > 0 || atStart != b.ReportsStart {
		return
	}
	capacity.UpdateMean(&b.kind(w).waits, wait, learnRate)
	if (wait == 0) == (load > b.meanSize) {
		capacity.UpdateMean(&b.meanSize, load, learnRate)
	}
}

// leave notes that the worker is not listed, and since when.
func (w *worker) leave(now float64) {
	if w.State != Departed || w.goneAt == 0 {
		w.State, w.goneAt = Departed, now
	}
}

// prune forgets workers that left the list long ago: machines come and go for as long as the process runs.
func (b *Balancer) prune(now float64) {
	b.workers = slices.DeleteFunc(b.workers, func(w *worker) bool {
		old := w.State == Departed && w.jobs == 0 && now-w.goneAt > pruneAfter*b.recover
		if old {
			delete(b.byID, w.ID)
		}
		return old
	})
}

// sizeOf is the slots a worker has shown, or else those of its kind, or of all.
func (b *Balancer) sizeOf(w *worker) float64 {
	if w.slots > 0 {
		return w.slots
	}
	if s := b.kind(w).size; s > 0 {
		return s
	}
	return b.meanSize
}

// rings are the ready workers of the own zone and the others, each in an order that all instances share.
func (b *Balancer) rings() [2][]*worker {
	var rings [2][]*worker
	for _, w := range b.workers {
		if w.State == Ready && b.zone(w) == b.Zone {
			rings[0] = append(rings[0], w)
		} else if w.State == Ready {
			rings[1] = append(rings[1], w)
		}
	}
	for _, ring := range rings {
		slices.SortFunc(ring, func(x, y *worker) int {
			return cmp.Compare(capacity.Hash(uint64(x.ID)), capacity.Hash(uint64(y.ID)))
		})
	}
	return rings
}

// sent books a send.
func (b *Balancer) sent(now float64, r *request, w *worker) {
	b.spent(now, w)
	w.sent[w.span&3] += b.burden(r)
	r.attempts = append(r.attempts, attempt{w: w, sent: now, flying: true, mayHaveRun: true,
		load: w.others*b.perJob + w.own + r.size})
	r.flying++
	w.own, w.jobs, w.room = w.own+r.size, w.jobs+1, w.room-r.size
}

// burden is the work a request counts against a cold budget: a hint below its class's mean is not trusted.
func (b *Balancer) burden(r *request) float64 { return math.Max(r.cost, b.work[r.Class]) }

// landed books the end of an attempt.
func (r *request) landed(a *attempt) {
	a.flying, r.flying = false, r.flying-1
	a.w.own, a.w.jobs, a.w.room = a.w.own-r.size, a.w.jobs-1, a.w.room+r.size
}

// inFlight is the last attempt in flight, or the last.
func (r *request) inFlight() *attempt {
	for i := len(r.attempts) - 1; i > 0; i-- {
		if r.attempts[i].flying {
			return &r.attempts[i]
		}
	}
	return &r.attempts[0]
}

// fresh returns an empty request, reusing a released one.
func (b *Balancer) fresh() *request {
	if n := len(b.pool); n > 0 {
		r := b.pool[n-1]
		b.pool = b.pool[:n-1]
		*r = request{attempts: r.attempts[:0]}
		return r
	}
	return &request{}
}

// enter books an arrival; a deadline, hint or size that makes no sense counts as not told.
func (b *Balancer) enter(now float64, q *Request) *request {
	r := b.fresh()
	r.Request, r.arrived, r.class = *q, now, &b.Classes[q.Class]
	if !finite(r.Deadline) || r.Deadline > now+r.class.Deadline {
		r.Deadline = now + r.class.Deadline
	}
	if !finite(r.Work) || r.Work < 0 {
		r.Work = 0
	}
	if r.cost = b.work[q.Class]; r.Work > 0 {
		r.cost = r.Work
		capacity.UpdateMean(&b.work[q.Class], r.Work, fleetRate)
	}
	if r.size = r.Slots; !finite(r.size) || r.size <= 0 {
		r.size = 1
	}
	capacity.UpdateMean(&b.perJob, math.Min(r.size, widestJob), fleetRate)
	r.aim = math.Min(now+r.class.Objective+r.class.Stretch*r.cost, r.Deadline)
	b.arrivals++
	b.requests[r.ID] = r
	r.place = len(b.open)
	b.open = append(b.open, r)
	return r
}

// close takes an answered request from the open ones.
func (b *Balancer) close(r *request) {
	r.done = true
	last := len(b.open) - 1
	b.open[r.place] = b.open[last]
	b.open[r.place].place = r.place
	b.open = b.open[:last]
}

// release forgets a request that is answered and has nothing in flight.
func (b *Balancer) release(r *request) {
	if r.done && r.flying == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.pool = append(b.pool, r)
	}
}

// attempt finds an attempt still in flight; nil when there is no such one.
func (b *Balancer) attempt(id RequestID, n int) (*attempt, *request) {
	r := b.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].flying {
		return nil, nil
	}
	return &r.attempts[n], r
}

// runs says whether the worker is of the request's kind and can do what it needs.
func (w *worker) runs(r *request) bool {
	return (r.class.Kind < 0 || w.Kind == r.class.Kind) &&
		(r.Skill == 0 && len(w.Skills) == 0 || slices.Contains(w.Skills, r.Skill))
}

// tried says whether an attempt went to the worker.
func (r *request) tried(w *worker) bool {
	for i := range r.attempts {
		if r.attempts[i].w == w {
			return true
		}
	}
	return false
}

// ran says whether an attempt may have run.
func (r *request) ran() bool {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return true
		}
	}
	return false
}

// zone is the worker's zone, or the own one where the list names none that exists.
func (b *Balancer) zone(w *worker) int {
	if w.Zone < 0 || w.Zone >= b.Zones {
		return b.Zone
	}
	return w.Zone
}

// spent is the work sent to a worker within the fall time, rounded up to four spans of a third of it.
func (b *Balancer) spent(now float64, w *worker) float64 {
	span := int64(math.Floor(now / (b.OverloadWindow / 3)))
	if span-w.span >= int64(len(w.sent)) {
		w.sent, w.span = [4]float64{}, span
	}
	for w.span < span {
		w.span++
		w.sent[w.span&3] = 0
	}
	return w.sent[0] + w.sent[1] + w.sent[2] + w.sent[3]
}

// cancel withdraws an attempt that is still in flight, where that is allowed.
func (b *Balancer) cancel(r *request, n int) {
	if b.MayCancel && r.attempts[n].flying {
		b.act.Cancel(r.ID, n)
	}
}

// logWorker reports a change of a worker's standing and how long it holds.
func (b *Balancer) logWorker(w *worker, what string, span float64) {
	b.act.Log(fmt.Sprintf("worker %d %s (%.1f s)", w.ID, what, span))
}
