package loadbalancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"cinderroad/internal/shared/capacity"
)

// This file holds what the decisions remember and how it is kept; the decisions are in the files that deploy/balancer.toml names.

// workerState is what this balancer knows of one worker.
type workerState struct {
	Worker
	reported              bool    // a load report has come since its last start
	inFlight, utilization float64 // as last reported
	reportedAt            float64 // when a new report was first seen
	reportRepeated        bool    // and it has been seen again since
	inView                bool    // its reports are kept fresh
	reportWeight          float64 // weight of its last report against the mean
	probedAt              float64
	otherJobs, slots      float64 // jobs of the other balancers; slots it has been seen to have
	limits                capacity.Limits
	spareSlots            float64 // the plan: spare room, lowered by each send until the next rebuild
	ownSlots, ownJobs     float64 // slots and jobs this balancer has out here
	meanOwnJobs           float64 // own jobs as of about a report period ago
	pace, runTime         float64 // running time for a unit of work; mean running time of a job here
	longestWait           float64 // how long an own job has been waiting to start here
	queuedSlots           float64 // slots of own jobs waiting to start here
	departedAt            float64 // when it left the list
	ejection              capacity.Ejection
	sentWork              [4]float64 // work sent in the last spans of a third of the fall time
	sentSpan              int64
	orderTurn             uint64 // the turn that place was worked out for
	orderKeysVersion      uint64 // and among which peers
	order                 int
}

// machineKind is what is known of a machine kind; size is the fewest slots that one of its workers has shown, 0 if none has;
// waits is how long jobs have lately waited for their start on those that tell no load.
type machineKind struct{ pace, slots, slotsAt, meanWait float64 }

// kindOf finds the worker's kind; one not seen before is taken to be like the rest.
func (b *Balancer) kindOf(worker *workerState) *machineKind {
	known := b.kinds[worker.Kind]
	if known == nil {
		known = &machineKind{pace: math.Max(b.meanPace, worker.pace)}
		b.kinds[worker.Kind] = known
	}
	return known
}

// attemptState is one send of a request.
type attemptState struct {
	worker            *workerState
	sentAt, startedAt float64
	fraction, load    float64 // share done as told; load of the worker when it was sent
	inFlight          bool
	mayHaveRun        bool // in flight, or ended without proof that it never ran
}

// requestState is held until it has its answer and all its attempts have ended.
type requestState struct {
	Request
	class             *Class
	arrivedAt, target float64
	cost              float64 // expected work: the hint, or the mean of the class
	slotsNeeded       float64 // slots
	attempts          []attemptState
	inFlight          int
	answered          bool
	unansweredIndex   int // in Balancer.open
}

// Balancer holds the decisions of one dispatcher.
type Balancer struct {
	Settings
	actions               Actions
	random                capacity.Random
	sweepInterval         float64 // monitoring period
	tightestObjective     float64 // the tightest objective
	recoveryTime          float64 // time constant in which ceilings recover: the longest deadline
	nextSweepAt           float64
	plannedAt             float64 // when the plan was last made
	workers               []*workerState
	workersByID           map[WorkerID]*workerState
	requests              map[RequestID]*requestState
	unanswered            []*requestState // not answered yet
	freeRequests          []*requestState
	meanWork              []float64 // mean work by class: hinted, or running time where there are no hints
	zoneLatencies         []float64 // shortest time to a start seen by zone
	kinds                 map[int]*machineKind
	meanPace, meanRunTime float64 // mean pace of the workers; mean running time of a job
	meanErrorRate         float64 // mean error share of the workers that were sent to
	slotsPerJob           float64 // mean slots of a job
	reportPeriod          float64 // mean time between new reports of a worker
	meanOwnSlots          float64 // mean slots of own jobs in flight
	recentOwnSlots        float64 // own slots in flight, over a mean running time
	maxWait               float64 // a job that would wait longer than this is refused
	meanWeight            float64 // mean weight of the list
	totalSlots            float64 // of all ready workers
	hedgeBudget           float64 // second copies that may still be sent
	maxHedgeBudget        float64 // and that may be saved up
	probeBudget           float64 // probes that may still be sent
	lastWatchAt           float64
	watchInterval         float64
	watching              bool
	minSlots              float64 // fewest slots seen of any worker
	meanSlots             float64 // mean slots of the workers
	arrivals              float64 // since the view was chosen
	viewChosenAt          float64
	budgetShare           float64                      // of a cold worker's budget that is ours to share in
	instanceKeys          []uint64                     // keys of the instances; nil: Me and Instances say all
	instanceKeysVersion   uint64                       // counts the changes of peers
	restored              map[WorkerID]*WorkerSnapshot // of a Balancer before this one, until the list names them
}

// New checks the settings and returns a Balancer that knows nothing yet.
func New(settings Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{Settings: settings, actions: actions, random: capacity.Random(seed), workersByID: map[WorkerID]*workerState{}, meanPace: 1, slotsPerJob: 1,
		requests: map[RequestID]*requestState{}, meanWork: make([]float64, len(settings.Classes)), tightestObjective: math.Inf(1),
		zoneLatencies: make([]float64, settings.Zones), kinds: map[int]*machineKind{}, maxHedgeBudget: maxHedges(settings.Instances), budgetShare: 1, minSlots: 1, meanSlots: 1}
	b.hedgeBudget = b.maxHedgeBudget / 2
	for i := range settings.Classes {
		b.tightestObjective = math.Min(b.tightestObjective, settings.Classes[i].Objective)
		b.recoveryTime = math.Max(b.recoveryTime, settings.Classes[i].Deadline)
		b.meanWork[i] = initialWorkShare * settings.Classes[i].Deadline
	}
	b.sweepInterval = math.Max(sweepTicks*settings.Tick, b.tightestObjective*sweepShare)
	b.reportPeriod = 2 * b.tightestObjective // until reports show it
	return b, nil
}

// maxHedges is how many second copies one of so many instances may save up.
func maxHedges(instances int) float64 { return math.Max(1, hedgeStock/float64(instances)) }

// InstanceShare is an instance's place among those that share the workers, where it is not the settings' for good.
type InstanceShare struct {
	Instances    int
	Instance     int
	BudgetShare  float64  // of a cold worker's budget, above 0: less than 1 while others may not count this instance
	InstanceKeys []uint64 // of all instances by their numbers, drawn from their names; nil: turns go by the numbers alone
}

// SetInstanceShare sets the place; it is called between events, and decides nothing itself. One that makes no sense changes nothing.
func (b *Balancer) SetInstanceShare(share InstanceShare) error {
	if share.Instances < 1 || share.Instance < 0 || share.Instance >= share.Instances || !(share.BudgetShare > 0 && share.BudgetShare <= 1) || share.InstanceKeys != nil && len(share.InstanceKeys) != share.Instances {
		return fmt.Errorf("brain: bad place: %d of %d, part %v, %d keys", share.Instance, share.Instances, share.BudgetShare, len(share.InstanceKeys))
	}
	b.Instances, b.Instance, b.budgetShare, b.instanceKeys = share.Instances, share.Instance, share.BudgetShare, share.InstanceKeys
	b.instanceKeysVersion++
	b.maxHedgeBudget = maxHedges(share.Instances)
	b.hedgeBudget = math.Min(b.hedgeBudget, b.maxHedgeBudget)
	return nil
}

// turnOrder is this instance's place, from 0 on, in the order of a worker's turn. By the keys, whoever knows of more
// instances comes no earlier: so the holders by views that differ are never more than by one view.
func (b *Balancer) turnOrder(worker *workerState, turn uint64) int {
	hash := capacity.Hash(uint64(worker.ID) + capacity.Hash(turn))
	if b.instanceKeys == nil {
		first := int(hash % uint64(b.Instances))
		return (b.Instance + b.Instances - first) % b.Instances
	}
	if worker.orderKeysVersion != b.instanceKeysVersion || worker.orderTurn != turn {
		worker.orderKeysVersion, worker.orderTurn, worker.order = b.instanceKeysVersion, turn, 0
		own := capacity.Hash(hash ^ b.instanceKeys[b.Instance])
		for _, key := range b.instanceKeys {
			if capacity.Hash(hash^key) < own {
				worker.order++
			}
		}
	}
	return worker.order
}

// loadReport is a load report with its fields in place; -1 is not told.
type loadReport struct{ inFlight, utilization, freeSlots, queued float64 }

// parseReport sorts a report by the settings' fields; a value that makes no sense counts as not told.
func (b *Balancer) parseReport(worker *workerState, report []float32) loadReport {
	parsed := loadReport{-1, -1, -1, -1}
	for i, field := range b.ReportFields {
		if i >= len(report) || !isFinite(float64(report[i])) || report[i] < 0 {
			continue
		}
		switch value := float64(report[i]); field {
		case FieldInFlight:
			parsed.inFlight = value
		case FieldUtilization:
			parsed.utilization = value
		case FieldFreeSlots:
			parsed.freeSlots = value
		case FieldQueued:
			parsed.queued = value
		}
	}
	if parsed.inFlight >= 0 || parsed.utilization < 0 && parsed.freeSlots < 0 && parsed.queued <= 0 {
		return parsed
	}
	// The jobs held in other words: by the slots not taken or the cores that are busy, and by what waits.
	slots := b.slotsOf(worker)
	parsed.inFlight = slots
	if parsed.freeSlots >= 0 {
		parsed.inFlight = math.Max(slots-parsed.freeSlots, worker.ownJobs)
	} else if parsed.utilization >= 0 {
		parsed.inFlight = slots * math.Min(parsed.utilization, 1)
	}
	parsed.inFlight += math.Max(parsed.queued, 0)
	return parsed
}

// updateMeans counts the own jobs that wait to start on each worker, the workers' sizes and their mean failures; fade is the
// share of the longest deadline that has gone since the last time.
func (b *Balancer) updateMeans(now, decay float64) {
	slots, reporting, fewest, errors, observed, weight, weights := 0.0, 0.0, math.Inf(1), 0.0, 0.0, 0.0, 0.0
	b.totalSlots = 0
	for _, worker := range b.workers {
		worker.longestWait, worker.queuedSlots = 0, 0
		if worker.State == Ready {
			b.totalSlots += b.slotsOf(worker) * b.warmth(now, worker)
			if worker.Weight > 0 && isFinite(worker.Weight) {
				weight, weights = weight+worker.Weight, weights+1
			}
		}
		if worker.ejection.Observed && worker.State == Ready {
			errors, observed = errors+worker.ejection.ErrorRate, observed+1
		}
		if worker.slots > 0 {
			slots, reporting, fewest = slots+worker.slots, reporting+1, math.Min(fewest, worker.slots)
			if kind := b.kindOf(worker); kind.slotsAt != now {
				kind.slots, kind.slotsAt = worker.slots, now
			} else { // a worker that held more than it runs may look larger than it is
				kind.slots = math.Min(kind.slots, worker.slots)
			}
		}
	}
	for _, kind := range b.kinds {
		capacity.UpdateMean(&kind.meanWait, 0, decay) // who sends nothing is told nothing new
	}
	b.meanErrorRate, b.meanWeight = errors/math.Max(observed, 1), weight/math.Max(weights, 1)
	if reporting > 0 {
		b.minSlots, b.meanSlots = fewest, slots/reporting
	} else { // as jobs began to wait; of what is only guessed a cold worker is trusted with half
		b.minSlots = math.Max(1, b.meanSlots/2)
	}
	for _, request := range b.unanswered {
		for j := range request.attempts {
			attempt := &request.attempts[j]
			if !b.ReportsStart || !attempt.inFlight || attempt.startedAt > 0 {
				continue
			}
			if wait := now - attempt.sentAt; wait > b.zoneLatencies[b.zoneOf(attempt.worker)]+b.sweepInterval { // more than the note's way
				attempt.worker.longestWait, attempt.worker.queuedSlots = math.Max(attempt.worker.longestWait, wait), attempt.worker.queuedSlots+request.slotsNeeded
			}
		}
	}
}

// learnReport takes a load report. Reports lag: what is ours in it is subtracted as of when it was taken.
func (b *Balancer) learnReport(now float64, worker *workerState, report []float32) {
	parsed := b.parseReport(worker, report)
	if parsed.inFlight < 0 {
		return // nothing told
	}
	if worker.reported && parsed.inFlight == worker.inFlight && parsed.utilization == worker.utilization {
		worker.reportRepeated = true // told before
		return
	}
	otherJobs := parsed.inFlight - worker.meanOwnJobs
	if worker.reportRepeated { // else the time between reports is how seldom this balancer asked
		capacity.UpdateMean(&b.reportPeriod, math.Min(now-worker.reportedAt, 8*b.reportPeriod), learningRate)
	}
	worker.reportRepeated = false
	if worker.reported { // where reports are rare, each says all the more
		capacity.UpdateMean(&worker.otherJobs, otherJobs, 1-math.Pow(1-otherJobsRate, math.Max(1, (now-worker.reportedAt)/b.reportPeriod)))
	} else {
		worker.otherJobs = otherJobs
	}
	slots := math.Round(parsed.inFlight + math.Max(parsed.freeSlots, 0)) // too much where a queue waits behind a wide job
	if parsed.freeSlots >= 0 && 2*parsed.freeSlots >= parsed.inFlight {
		worker.slots = math.Max(worker.slots, slots)
	}
	if worker.limits.Load == 0 {
		worker.limits.Load = initialMargin * worker.slots
	}
	worker.reported, worker.inFlight, worker.utilization, worker.reportedAt = true, parsed.inFlight, math.Max(parsed.utilization, 0), now
}

// learnPace takes a running time for an amount of work.
func (b *Balancer) learnPace(worker *workerState, runTime, cost float64) {
	if cost <= 0 || runTime <= 0 {
		return
	}
	capacity.UpdateMean(&worker.pace, math.Min(runTime/cost, 2*peerFactor*b.meanPace), learningRate) // one heavy job convicts no worker
	capacity.UpdateMean(&b.meanPace, math.Min(runTime/cost, 2*b.meanPace), fleetLearningRate)
	kind := b.kindOf(worker)
	capacity.UpdateMean(&kind.pace, math.Min(runTime/cost, 2*kind.pace), fleetLearningRate)
}

// learnWait draws on the wait of a job on a worker that does not tell its load: how long its kind has jobs wait, and the
// load at which they begin to. Where no start is told, ends say it: atStart is what the wait was seen at.
func (b *Balancer) learnWait(atStart bool, worker *workerState, load, wait float64) {
	if worker.slots > 0 || atStart != b.ReportsStart {
		return
	}
	capacity.UpdateMean(&b.kindOf(worker).meanWait, wait, learningRate)
	if (wait == 0) == (load > b.meanSlots) {
		capacity.UpdateMean(&b.meanSlots, load, learningRate)
	}
}

// markDeparted notes that the worker is not listed, and since when.
func (w *workerState) markDeparted(now float64) {
	if w.State != Departed || w.departedAt == 0 {
		w.State, w.departedAt = Departed, now
	}
}

// pruneDeparted forgets workers that left the list long ago: machines come and go for as long as the process runs.
func (b *Balancer) pruneDeparted(now float64) {
	b.workers = slices.DeleteFunc(b.workers, func(worker *workerState) bool {
		expired := worker.State == Departed && worker.ownJobs == 0 && now-worker.departedAt > pruneAfter*b.recoveryTime
		if expired {
			delete(b.workersByID, worker.ID)
		}
		return expired
	})
}

// slotsOf is the slots a worker has shown, or else those of its kind, or of all.
func (b *Balancer) slotsOf(worker *workerState) float64 {
	if worker.slots > 0 {
		return worker.slots
	}
	if slots := b.kindOf(worker).slots; slots > 0 {
		return slots
	}
	return b.meanSlots
}

// viewRings are the ready workers of the own zone and the others, each in an order that all instances share.
func (b *Balancer) viewRings() [2][]*workerState {
	var rings [2][]*workerState
	for _, worker := range b.workers {
		if worker.State == Ready && b.zoneOf(worker) == b.Zone {
			rings[0] = append(rings[0], worker)
		} else if worker.State == Ready {
			rings[1] = append(rings[1], worker)
		}
	}
	for _, ring := range rings {
		slices.SortFunc(ring, func(x, y *workerState) int {
			return cmp.Compare(capacity.Hash(uint64(x.ID)), capacity.Hash(uint64(y.ID)))
		})
	}
	return rings
}

// recordSend books a send.
func (b *Balancer) recordSend(now float64, request *requestState, worker *workerState) {
	b.slowStartSpent(now, worker)
	worker.sentWork[worker.sentSpan&3] += b.slowStartCost(request)
	request.attempts = append(request.attempts, attemptState{worker: worker, sentAt: now, inFlight: true, mayHaveRun: true,
		load: worker.otherJobs*b.slotsPerJob + worker.ownSlots + request.slotsNeeded})
	request.inFlight++
	worker.ownSlots, worker.ownJobs, worker.spareSlots = worker.ownSlots+request.slotsNeeded, worker.ownJobs+1, worker.spareSlots-request.slotsNeeded
}

// slowStartCost is the work a request counts against a cold budget: a hint below its class's mean is not trusted.
func (b *Balancer) slowStartCost(request *requestState) float64 {
	return math.Max(request.cost, b.meanWork[request.Class])
}

// endAttempt books the end of an attempt.
func (r *requestState) endAttempt(attempt *attemptState) {
	attempt.inFlight, r.inFlight = false, r.inFlight-1
	attempt.worker.ownSlots, attempt.worker.ownJobs, attempt.worker.spareSlots = attempt.worker.ownSlots-r.slotsNeeded, attempt.worker.ownJobs-1, attempt.worker.spareSlots+r.slotsNeeded
}

// lastInFlight is the last attempt in flight, or the last.
func (r *requestState) lastInFlight() *attemptState {
	for i := len(r.attempts) - 1; i > 0; i-- {
		if r.attempts[i].inFlight {
			return &r.attempts[i]
		}
	}
	return &r.attempts[0]
}

// newRequest returns an empty request, reusing a released one.
func (b *Balancer) newRequest() *requestState {
	if free := len(b.freeRequests); free > 0 {
		recycled := b.freeRequests[free-1]
		b.freeRequests = b.freeRequests[:free-1]
		*recycled = requestState{attempts: recycled.attempts[:0]}
		return recycled
	}
	return &requestState{}
}

// admit books an arrival; a deadline, hint or size that makes no sense counts as not told.
func (b *Balancer) admit(now float64, arrival *Request) *requestState {
	request := b.newRequest()
	request.Request, request.arrivedAt, request.class = *arrival, now, &b.Classes[arrival.Class]
	if !isFinite(request.Deadline) || request.Deadline > now+request.class.Deadline {
		request.Deadline = now + request.class.Deadline
	}
	if !isFinite(request.Work) || request.Work < 0 {
		request.Work = 0
	}
	if request.cost = b.meanWork[arrival.Class]; request.Work > 0 {
		request.cost = request.Work
		capacity.UpdateMean(&b.meanWork[arrival.Class], request.Work, fleetLearningRate)
	}
	if request.slotsNeeded = request.Slots; !isFinite(request.slotsNeeded) || request.slotsNeeded <= 0 {
		request.slotsNeeded = 1
	}
	capacity.UpdateMean(&b.slotsPerJob, math.Min(request.slotsNeeded, maxJobSlots), fleetLearningRate)
	request.target = math.Min(now+request.class.Objective+request.class.Stretch*request.cost, request.Deadline)
	b.arrivals++
	b.requests[request.ID] = request
	request.unansweredIndex = len(b.unanswered)
	b.unanswered = append(b.unanswered, request)
	return request
}

// closeRequest takes an answered request from the open ones.
func (b *Balancer) closeRequest(request *requestState) {
	request.answered = true
	last := len(b.unanswered) - 1
	b.unanswered[request.unansweredIndex] = b.unanswered[last]
	b.unanswered[request.unansweredIndex].unansweredIndex = request.unansweredIndex
	b.unanswered = b.unanswered[:last]
}

// release forgets a request that is answered and has nothing in flight.
func (b *Balancer) release(request *requestState) {
	if request.answered && request.inFlight == 0 && b.requests[request.ID] == request {
		delete(b.requests, request.ID)
		b.freeRequests = append(b.freeRequests, request)
	}
}

// findAttempt finds an attempt still in flight; nil when there is no such one.
func (b *Balancer) findAttempt(id RequestID, index int) (*attemptState, *requestState) {
	request := b.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) || !request.attempts[index].inFlight {
		return nil, nil
	}
	return &request.attempts[index], request
}

// canRun says whether the worker is of the request's kind and can do what it needs.
func (w *workerState) canRun(request *requestState) bool {
	return (request.class.Kind < 0 || w.Kind == request.class.Kind) &&
		(request.Skill == 0 && len(w.Skills) == 0 || slices.Contains(w.Skills, request.Skill))
}

// hasTried says whether an attempt went to the worker.
func (r *requestState) hasTried(worker *workerState) bool {
	for i := range r.attempts {
		if r.attempts[i].worker == worker {
			return true
		}
	}
	return false
}

// mayHaveRun says whether an attempt may have run.
func (r *requestState) mayHaveRun() bool {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return true
		}
	}
	return false
}

// zoneOf is the worker's zone, or the own one where the list names none that exists.
func (b *Balancer) zoneOf(worker *workerState) int {
	if worker.Zone < 0 || worker.Zone >= b.Zones {
		return b.Zone
	}
	return worker.Zone
}

// slowStartSpent is the work sent to a worker within the fall time, rounded up to four spans of a third of it.
func (b *Balancer) slowStartSpent(now float64, worker *workerState) float64 {
	span := int64(math.Floor(now / (b.OverloadWindow / 3)))
	if span-worker.sentSpan >= int64(len(worker.sentWork)) {
		worker.sentWork, worker.sentSpan = [4]float64{}, span
	}
	for worker.sentSpan < span {
		worker.sentSpan++
		worker.sentWork[worker.sentSpan&3] = 0
	}
	return worker.sentWork[0] + worker.sentWork[1] + worker.sentWork[2] + worker.sentWork[3]
}

// cancel withdraws an attempt that is still in flight, where that is allowed.
func (b *Balancer) cancel(request *requestState, index int) {
	if b.MayCancel && request.attempts[index].inFlight {
		b.actions.Cancel(request.ID, index)
	}
}

// logWorker reports a change of a worker's standing and how long it holds.
func (b *Balancer) logWorker(worker *workerState, event string, duration float64) {
	b.actions.Log(fmt.Sprintf("worker %d %s (%.1f s)", worker.ID, event, duration))
}
