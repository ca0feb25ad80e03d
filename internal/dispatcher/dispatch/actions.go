package dispatch

import (
	"math"

	"cinderroad/internal/shared/invariant"
	"cinderroad/loadbalancer"
)

// actions implements loadbalancer.Actions. The balancer calls it from within its events.
type actions struct{ dispatcher *Dispatcher }

// Send implements loadbalancer.Actions.
func (a actions) Send(id loadbalancer.RequestID, worker loadbalancer.WorkerID, timeout float64) {
	d := a.dispatcher
	request, member := d.requestsByID[id], d.members[worker]
	invariant.Check(request != nil && !request.answered && member != nil, "a send names an open request and a listed worker")
	if request == nil {
		return
	}
	attempt := &attempt{
		request:    request,
		index:      len(request.attempts),
		member:     member,
		deadlineAt: request.job.Deadline,
		sentAt:     d.clock.Now(),
		hedged:     request.running > 0,
		auditMark:  d.AuditMark,
	}
	if timeout > 0 {
		attempt.deadlineAt = math.Min(attempt.deadlineAt, d.clock.Now()+timeout)
	}
	request.attempts = append(request.attempts, attempt)
	request.running++
	attempt.handle = d.attempts.Insert(attempt)
	d.counts.Attempts++
	if attempt.index > 0 {
		d.counts.Retries++
	}
	attempt.timer = d.clock.At(attempt.deadlineAt, func() { d.handle(func() { d.expireAttempt(attempt) }) })
	if request.answered || member == nil || member.Backend == nil {
		d.handle(func() { d.endAttemptAs(attempt, loadbalancer.Withdrawn) })
		return
	}
	member.Backend.Start(Attempt{ID: AttemptID(attempt.handle), Worker: worker, Deadline: attempt.deadlineAt, Payload: request.job.Payload})
}

// Cancel implements loadbalancer.Actions.
func (a actions) Cancel(id loadbalancer.RequestID, index int) {
	d := a.dispatcher
	request := d.requestsByID[id]
	if request == nil || index < 0 || index >= len(request.attempts) || request.attempts[index].ended {
		return
	}
	attempt := request.attempts[index]
	d.counts.Cancellations++
	d.handle(func() {
		if attempt.ended {
			return // its end was queued before this event
		}
		result := loadbalancer.Withdrawn
		if attempt.member.Backend.Cancel(AttemptID(attempt.handle)) {
			result = loadbalancer.Cancelled
		}
		d.endAttemptAs(attempt, result)
	})
}

// Reject implements loadbalancer.Actions.
func (a actions) Reject(id loadbalancer.RequestID, retryAfter float64) {
	a.dispatcher.finish(id, Answer{Verdict: Rejected, RetryAfter: retryAfter})
}

// Fail implements loadbalancer.Actions.
func (a actions) Fail(id loadbalancer.RequestID) { a.dispatcher.finish(id, Answer{Verdict: Failed}) }

// Probe implements loadbalancer.Actions.
func (a actions) Probe(worker loadbalancer.WorkerID) {
	d := a.dispatcher
	member := d.members[worker]
	if member == nil || member.Backend == nil {
		return
	}
	d.counts.Probes++
	member.Backend.Probe(func(result loadbalancer.Result, report []float32) {
		d.handle(func() {
			if d.Observer != nil && len(report) > 0 {
				d.Observer.ObserveLoadReport(worker, d.clock.Now(), report, true)
			}
			d.balancer.HandleProbeResult(d.clock.Now(), worker, result, report)
		})
	})
}

// SetTimer implements loadbalancer.Actions.
func (a actions) SetTimer(token uint32, at float64) {
	d := a.dispatcher
	d.clock.At(at, func() { d.handle(func() { d.balancer.HandleTimer(d.clock.Now(), token) }) })
}

// Watch implements loadbalancer.Actions.
func (a actions) Watch(on bool) {
	if d := a.dispatcher; d.Discovery != nil {
		d.Discovery.Watch(on)
	}
}

// Fetch implements loadbalancer.Actions.
func (a actions) Fetch() {
	if d := a.dispatcher; d.Discovery != nil {
		d.Discovery.Fetch()
	}
}

// Log implements loadbalancer.Actions.
func (a actions) Log(line string) { a.dispatcher.Log(line) }
