package loadbalancer

import (
	"cmp"
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file holds arrivals, attempts, second copies, and what is learnt from how attempts end.

// HandleRequest takes an arrival: it is sent at once, refused early, or held for a worker.
func (b *Balancer) HandleRequest(now float64, arrival *Request) {
	if arrival.Class < 0 || arrival.Class >= len(b.Classes) {
		b.actions.Fail(arrival.ID) // nothing is known of such a class: promise nothing
		return
	}
	if b.requests[arrival.ID] != nil {
		return
	}
	request := b.admit(now, arrival)
	b.hedgeBudget = math.Min(b.hedgeBudget+hedgeShare, b.maxHedgeBudget)
	b.probeBudget = math.Min(b.probeBudget+probeShare, float64(len(b.workers)))
	b.actions.SetTimer(uint32(request.ID), request.Deadline-2*b.Tick)
	b.attemptNext(now, request)
}

// attemptNext makes the next attempt, holds the request while no worker may be sent to, or answers.
func (b *Balancer) attemptNext(now float64, request *requestState) {
	if now >= request.Deadline-b.Tick || len(request.attempts) >= b.MaxAttempts || request.class.RetrySafety == RetryUnsafe && request.mayHaveRun() {
		b.answerWithoutWorker(now, request)
		return
	}
	worker, rank := b.selectWorker(now, request)
	if worker == nil {
		if b.isUnservable(now, request) {
			b.answerWithoutWorker(now, request)
		}
		return // held: the sweep tries again
	}
	if rank >= 2 && b.isHopeless(worker, request) && b.mayReject(request) {
		if worker = b.soonestStart(now, request); worker == nil || b.expectedWait(worker, request) > shortWaitShare*b.maxWait {
			b.answerWithoutWorker(now, request)
			return
		}
	}
	b.send(now, request, worker)
}

// handleJobStart draws on the start of a job: how near the zone is, whether its worker had a slot free, its ceiling.
func (b *Balancer) handleJobStart(now float64, request *requestState, attempt *attemptState) {
	attempt.startedAt = now
	wait, latency := now-attempt.sentAt, &b.zoneLatencies[b.zoneOf(attempt.worker)]
	if *latency == 0 || wait < *latency {
		*latency = wait
	}
	if attempt.worker.slots > 0 && wait <= *latency+b.sweepInterval { // it found a free slot: fresher news than any report
		attempt.worker.otherJobs = math.Min(attempt.worker.otherJobs, math.Max(0, attempt.worker.slots-attempt.worker.ownSlots+attempt.worker.queuedSlots)/b.slotsPerJob)
	}
	b.learnWait(true, attempt.worker, attempt.load, math.Max(wait-*latency-b.sweepInterval, 0))
	if wait > lateStartShare*(request.target-request.arrivedAt) {
		attempt.worker.limits.RecordOverload(attempt.load, attempt.worker.slots) // a late start is the early warning of a late end
	}
	for i := range request.attempts { // the copy that starts first wins, the others are withdrawn
		if request.attempts[i].startedAt == 0 {
			b.cancel(request, i)
		}
	}
}

// learnOutcome draws on the end of an attempt: pace, ceilings, errors.
func (b *Balancer) learnOutcome(now float64, request *requestState, attempt *attemptState, result Result) {
	worker, failure := attempt.worker, 0.0
	switch result {
	case OK:
		runTime, waited := now-attempt.sentAt, 0.0
		if attempt.startedAt > 0 {
			runTime, waited = now-attempt.startedAt, attempt.startedAt-attempt.sentAt
		}
		b.learnPace(worker, runTime, request.cost)
		worker.runTime = cmp.Or(worker.runTime, b.meanRunTime)*(1-learningRate) + runTime*learningRate
		capacity.UpdateMean(&b.meanRunTime, runTime, fleetLearningRate)
		if request.Work == 0 {
			capacity.UpdateMean(&b.meanWork[request.Class], runTime, fleetLearningRate)
		}
		b.learnWait(false, worker, attempt.load, math.Max(now-request.target, 0))
		if now <= request.target && waited <= lateStartShare*(request.target-request.arrivedAt) {
			worker.limits.RecordSuccess(attempt.load, worker.slots)
		} else if !b.ReportsStart { // else only a late start blames the load: a late end may be the job's size
			worker.limits.RecordOverload(attempt.load, worker.slots)
		}
	case Rejected: // it drains and the list is late, or is jammed: no slot comes free here for a while either way
		worker.limits.RecordOverload(math.Max(attempt.load, worker.limits.Load), worker.slots)
		b.eject(now, worker, rejectedEjectionShare*b.recoveryTime, "set aside: it takes nothing")
		return
	case Error, Reset, ConnectFailed:
		worker.limits.RecordOverload(attempt.load, worker.slots)
		failure = 1
	default:
		return
	}
	b.recordOutcome(now, worker, failure)
}

// recordOutcome counts a failure of a worker, 1, or a success, 0. One that fails fast looks empty and would draw all
// jobs: it is set aside, longer each time.
func (b *Balancer) recordOutcome(now float64, worker *workerState, failure float64) {
	if worker.ejection.RecordOutcome(failure, b.meanErrorRate) {
		b.eject(now, worker, 8*b.tightestObjective, "set aside: its attempts fail")
	}
}

// eject has a worker get jobs only where all others are worse, longer each time.
func (b *Balancer) eject(now float64, worker *workerState, minDuration float64, reason string) {
	if worker.ejection.Eject(now, minDuration, b.recoveryTime) {
		b.logWorker(worker, reason, worker.ejection.LastDuration)
	}
}

// hedge sends a second copy of a job that waits and, should it wait as long again, will miss its aim, to a
// worker with room. One that runs is left alone: a copy costs its whole work again and feeds the jam.
func (b *Balancer) hedge(now float64, request *requestState) {
	attempt := request.lastInFlight()
	waited, runTime := now-attempt.sentAt, request.cost*attempt.worker.pace
	if !b.ParallelAttempts || !b.ReportsStart || b.hedgeBudget < 1 || request.class.RetrySafety == RetryUnsafe || attempt.startedAt > 0 ||
		waited < lateStartShare*(request.target-attempt.sentAt-runTime) || now+waited+runTime < request.target {
		return
	}
	if worker, rank := b.selectWorker(now, request); worker != nil && rank <= 1 && request.cost*worker.pace < waited+runTime {
		b.hedgeBudget--
		b.send(now, request, worker)
	}
}
