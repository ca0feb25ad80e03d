package loadbalancer

import (
	"cmp"
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file holds arrivals, attempts, second copies, and what is learnt from how attempts end.

// HandleRequest takes an arrival: it is sent at once, refused early, or held for a worker.
func (b *Balancer) HandleRequest(now float64, q *Request) {
	if q.Class < 0 || q.Class >= len(b.Classes) {
		b.act.Fail(q.ID) // nothing is known of such a class: promise nothing
		return
	}
	if b.requests[q.ID] != nil {
		return
	}
	r := b.enter(now, q)
	b.copies = math.Min(b.copies+copyShare, b.stock)
	b.probes = math.Min(b.probes+probeShare, float64(len(b.workers)))
	b.act.SetTimer(uint32(r.ID), r.Deadline-2*b.Tick)
	b.try(now, r)
}

// try makes the next attempt, holds the request while no worker may be sent to, or answers.
func (b *Balancer) try(now float64, r *request) {
	if now >= r.Deadline-b.Tick || len(r.attempts) >= b.MaxAttempts || r.class.RetrySafety == RetryUnsafe && r.ran() {
		b.answer(now, r)
		return
	}
	w, rank := b.pick(now, r)
	if w == nil {
		if b.lost(now, r) {
			b.answer(now, r)
		}
		return // held: the sweep tries again
	}
	if rank >= 2 && b.hopeless(w, r) && b.mayRefuse(r) {
		if w = b.soonest(now, r); w == nil || b.wait(w, r) > shortWait*b.patience {
			b.answer(now, r)
			return
		}
	}
	b.send(now, r, w)
}

// started draws on the start of a job: how near the zone is, whether its worker had a slot free, its ceiling.
func (b *Balancer) started(now float64, r *request, a *attempt) {
	a.started = now
	wait, far := now-a.sent, &b.far[b.zone(a.w)]
	if *far == 0 || wait < *far {
		*far = wait
	}
	if a.w.slots > 0 && wait <= *far+b.sweep { // it found a free slot: fresher news than any report
		a.w.others = math.Min(a.w.others, math.Max(0, a.w.slots-a.w.own+a.w.queued)/b.perJob)
	}
	b.learnWait(true, a.w, a.load, math.Max(wait-*far-b.sweep, 0))
	if wait > waitShare*(r.aim-r.arrived) {
		a.w.ceilings.RecordOverload(a.load, a.w.slots) // a late start is the early warning of a late end
	}
	for i := range r.attempts { // the copy that starts first wins, the others are withdrawn
		if r.attempts[i].started == 0 {
			b.cancel(r, i)
		}
	}
}

// learnOutcome draws on the end of an attempt: pace, ceilings, errors.
func (b *Balancer) learnOutcome(now float64, r *request, a *attempt, result Result) {
	w, bad := a.w, 0.0
	switch result {
	case OK:
		run, waited := now-a.sent, 0.0
		if a.started > 0 {
			run, waited = now-a.started, a.started-a.sent
		}
		b.learnPace(w, run, r.cost)
		w.run = cmp.Or(w.run, b.run)*(1-learnRate) + run*learnRate
		capacity.UpdateMean(&b.run, run, fleetRate)
		if r.Work == 0 {
			capacity.UpdateMean(&b.work[r.Class], run, fleetRate)
		}
		b.learnWait(false, w, a.load, math.Max(now-r.aim, 0))
		if now <= r.aim && waited <= waitShare*(r.aim-r.arrived) {
			w.ceilings.RecordSuccess(a.load, w.slots)
		} else if !b.ReportsStart { // else only a late start blames the load: a late end may be the job's size
			w.ceilings.RecordOverload(a.load, w.slots)
		}
	case Rejected: // it drains and the list is late, or is jammed: no slot comes free here for a while either way
		w.ceilings.RecordOverload(math.Max(a.load, w.ceilings.Load), w.slots)
		b.setAside(now, w, fullShare*b.recover, "set aside: it takes nothing")
		return
	case Error, Reset, ConnectFailed:
		w.ceilings.RecordOverload(a.load, w.slots)
		bad = 1
	default:
		return
	}
	b.blame(now, w, bad)
}

// blame counts a failure of a worker, 1, or a success, 0. One that fails fast looks empty and would draw all
// jobs: it is set aside, longer each time.
func (b *Balancer) blame(now float64, w *worker, bad float64) {
	if w.standing.RecordOutcome(bad, b.errors) {
		b.setAside(now, w, 8*b.limit, "set aside: its attempts fail")
	}
}

// setAside has a worker get jobs only where all others are worse, longer each time.
func (b *Balancer) setAside(now float64, w *worker, least float64, why string) {
	if w.standing.Eject(now, least, b.recover) {
		b.logWorker(w, why, w.standing.LastDuration)
	}
}

// hedge sends a second copy of a job that waits and, should it wait as long again, will miss its aim, to a
// worker with room. One that runs is left alone: a copy costs its whole work again and feeds the jam.
func (b *Balancer) hedge(now float64, r *request) {
	a := r.inFlight()
	waited, run := now-a.sent, r.cost*a.w.pace
	if !b.ParallelAttempts || !b.ReportsStart || b.copies < 1 || r.class.RetrySafety == RetryUnsafe || a.started > 0 ||
		waited < waitShare*(r.aim-a.sent-run) || now+waited+run < r.aim {
		return
	}
	if w, rank := b.pick(now, r); w != nil && rank <= 1 && r.cost*w.pace < waited+run {
		b.copies--
		b.send(now, r, w)
	}
}
