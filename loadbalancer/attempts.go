package loadbalancer

import (
	"cmp"
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file decides attempts and hedged requests, and what their starts and ends teach.

// HandleRequest handles an arrival: it is sent at once, rejected early, or queued until a worker is
// eligible.
func (b *Balancer) HandleRequest(now float64, arrival *Request) {
	if arrival.Class < 0 || arrival.Class >= len(b.Classes) {
		b.actions.Fail(arrival.ID) // an unknown class: nothing can be promised
		return
	}
	if b.requests[arrival.ID] != nil {
		return
	}
	request := b.admit(now, arrival)
	b.hedgeBudget = math.Min(b.hedgeBudget+hedgeShare, b.maxHedgeBudget)
	b.probeBudget = math.Min(b.probeBudget+probeShare, float64(len(b.workers)))
	b.actions.SetTimer(uint32(request.ID), request.Deadline-answerTicks*b.Tick)
	b.attemptNext(now, request)
}

// attemptNext makes the next attempt, queues the request while no worker is eligible, or answers it.
func (b *Balancer) attemptNext(now float64, request *requestState) {
	if !b.mayAttempt(now, request) {
		b.answerWithoutWorker(now, request)
		return
	}
	worker, rank := b.selectWorker(now, request)
	if worker == nil {
		if b.isUnservable(now, request) {
			b.answerWithoutWorker(now, request)
		}
		return // the sweep tries again
	}
	if rank >= rankNoSpare && b.isHopeless(worker, request) && b.mayReject(request) {
		worker = b.soonestStart(now, request)
		if worker == nil || b.expectedWait(worker, request) > shortWaitShare*b.maxWait {
			b.answerWithoutWorker(now, request)
			return
		}
	}
	b.send(now, request, worker)
}

// mayAttempt reports whether there is time for another attempt, and one is left that the class allows.
func (b *Balancer) mayAttempt(now float64, request *requestState) bool {
	if now >= request.Deadline-b.Tick || len(request.attempts) >= b.MaxAttempts {
		return false
	}
	return request.class.RetrySafety != RetryUnsafe || !request.mayHaveRun()
}

// handleJobStart learns from the start of a job: the latency of the zone, whether the worker had a free
// slot, its limit.
func (b *Balancer) handleJobStart(now float64, request *requestState, attempt *attemptState) {
	attempt.startedAt = now
	worker := attempt.worker
	wait := now - attempt.sentAt
	latency := &b.zoneLatencies[b.zoneOf(worker)]
	if *latency == 0 || wait < *latency {
		*latency = wait
	}
	if worker.slots > 0 && wait <= *latency+b.sweepInterval {
		// It found a free slot, which is more recent than any report.
		others := math.Max(0, worker.slots-worker.ownSlots+worker.queuedSlots) / b.slotsPerJob
		worker.otherJobs = math.Min(worker.otherJobs, others)
	}
	b.learnWait(true, worker, attempt.load, math.Max(wait-*latency-b.sweepInterval, 0))
	if wait > lateStartShare*(request.target-request.arrivedAt) {
		worker.limits.RecordOverload(attempt.load, worker.slots) // a late start precedes a late end
	}
	for i := range request.attempts { // the attempt that starts first wins, the others are cancelled
		if request.attempts[i].startedAt == 0 {
			b.cancel(request, i)
		}
	}
}

// learnOutcome learns from the end of an attempt: pace, limits, errors.
func (b *Balancer) learnOutcome(now float64, request *requestState, attempt *attemptState, result Result) {
	worker := attempt.worker
	switch result {
	case OK:
		b.learnSuccess(now, request, attempt)
		b.recordOutcome(now, worker, 0)
	case Rejected: // draining and the list lags, or overloaded: no slot comes free soon
		worker.limits.RecordOverload(math.Max(attempt.load, worker.limits.Load), worker.slots)
		b.eject(now, worker, rejectedEjectionShare*b.recoveryTime, "set aside: it takes nothing")
	case Error, Reset, ConnectFailed:
		worker.limits.RecordOverload(attempt.load, worker.slots)
		b.recordOutcome(now, worker, 1)
	}
}

// learnSuccess learns from an attempt that served its job.
func (b *Balancer) learnSuccess(now float64, request *requestState, attempt *attemptState) {
	worker := attempt.worker
	runTime := now - attempt.sentAt
	waited := 0.0
	if attempt.startedAt > 0 {
		runTime = now - attempt.startedAt
		waited = attempt.startedAt - attempt.sentAt
	}
	b.learnPace(worker, runTime, request.cost)
	worker.runTime = cmp.Or(worker.runTime, b.meanRunTime)*(1-learningRate) + runTime*learningRate
	capacity.UpdateMean(&b.meanRunTime, runTime, clusterLearningRate)
	if request.Work == 0 {
		capacity.UpdateMean(&b.meanWork[request.Class], runTime, clusterLearningRate)
	}
	b.learnWait(false, worker, attempt.load, math.Max(now-request.target, 0))
	if now <= request.target && waited <= lateStartShare*(request.target-request.arrivedAt) {
		worker.limits.RecordSuccess(attempt.load, worker.slots)
	} else if !b.ReportsStart { // else only a late start counts: a late end may be the job's size
		worker.limits.RecordOverload(attempt.load, worker.slots)
	}
}

// recordOutcome counts a failure of a worker, 1, or a success, 0. One that fails fast looks empty and
// would attract all jobs: it is ejected, longer each time.
func (b *Balancer) recordOutcome(now float64, worker *workerState, failure float64) {
	if worker.ejection.RecordOutcome(failure, b.meanErrorRate) {
		b.eject(now, worker, failingEjection*b.tightestObjective, "set aside: its attempts fail")
	}
}

// eject has a worker get jobs only where all others are worse, longer each time.
func (b *Balancer) eject(now float64, worker *workerState, minDuration float64, reason string) {
	if worker.ejection.Eject(now, minDuration, b.recoveryTime) {
		b.logWorker(worker, reason, worker.ejection.LastDuration)
	}
}

// hedge sends a second attempt of a job that waits and, should it wait as long again, will miss its
// target, to a worker with spare capacity. One that runs is not hedged: a second run costs all its work
// again and feeds an overload.
func (b *Balancer) hedge(now float64, request *requestState) {
	attempt := request.lastInFlight()
	if !b.mayHedge(request, attempt) {
		return
	}
	waited := now - attempt.sentAt
	runTime := request.cost * attempt.worker.pace
	isLate := waited >= lateStartShare*(request.target-attempt.sentAt-runTime)
	willMissTarget := now+waited+runTime >= request.target
	if !isLate || !willMissTarget {
		return
	}
	worker, rank := b.selectWorker(now, request)
	if worker != nil && rank <= rankSpareRemote && request.cost*worker.pace < waited+runTime {
		b.hedgeBudget--
		b.send(now, request, worker)
	}
}

// mayHedge reports whether a second attempt beside this one is allowed, and its budget is not spent.
func (b *Balancer) mayHedge(request *requestState, attempt *attemptState) bool {
	if !b.ParallelAttempts || !b.ReportsStart || b.hedgeBudget < 1 {
		return false
	}
	return request.class.RetrySafety != RetryUnsafe && attempt.startedAt <= 0
}
