package dispatch

import (
	"math"

	"cinderroad/internal/shared/invariant"
	"cinderroad/loadbalancer"
)

// actions carries out the Balancer's decisions.
type actions struct{ dispatcher *Dispatcher }

// Send implements brain.Actions.
func (a actions) Send(id loadbalancer.RequestID, worker loadbalancer.WorkerID, timeout float64) {
	c := a.dispatcher
	r, m := c.requestsByID[id], c.members[worker]
	invariant.Check(r != nil && !r.answered && m != nil, "a send names an open req and a listed worker")
	if r == nil {
		return
	}
	f := &attempt{request: r, index: len(r.attempts), member: m, deadlineAt: r.job.Deadline, sentAt: c.clock.Now(), hedged: r.running > 0, auditMark: c.AuditMark}
	if timeout > 0 {
		f.deadlineAt = math.Min(f.deadlineAt, c.clock.Now()+timeout)
	}
	r.attempts = append(r.attempts, f)
	r.running++
	f.handle = c.attempts.Insert(f)
	c.counts.Attempts++
	if f.index > 0 {
		c.counts.Retries++
	}
	f.timer = c.clock.At(f.deadlineAt, func() { c.handle(func() { c.expireAttempt(f) }) })
	if r.answered || m == nil || m.Backend == nil {
		c.handle(func() { c.endAttemptAs(f, loadbalancer.Withdrawn) })
		return
	}
	m.Backend.Start(Attempt{ID: AttemptID(f.handle), Worker: worker, Deadline: f.deadlineAt, Payload: r.job.Payload})
}

func (c *Dispatcher) endAttemptAs(f *attempt, result loadbalancer.Result) {
	if !f.ended {
		c.endAttempt(f, Outcome{Result: result})
	}
}

// expireAttempt produces the time-out: nothing else would, of a worker that has fallen silent.
func (c *Dispatcher) expireAttempt(f *attempt) {
	if !f.ended {
		result := loadbalancer.ConnectFailed // its first byte never went out
		if f.member.Backend.Cancel(AttemptID(f.handle)) {
			result = loadbalancer.Timeout
		}
		c.endAttempt(f, Outcome{Result: result})
	}
}

// Cancel implements brain.Actions.
func (a actions) Cancel(id loadbalancer.RequestID, attempt int) {
	c := a.dispatcher
	r := c.requestsByID[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt].ended {
		return
	}
	f := r.attempts[attempt]
	c.counts.Cancellations++
	c.handle(func() {
		if f.ended {
			return // its end was on the way
		}
		result := loadbalancer.Withdrawn
		if f.member.Backend.Cancel(AttemptID(f.handle)) {
			result = loadbalancer.Cancelled
		}
		c.endAttemptAs(f, result)
	})
}

// Reject implements brain.Actions.
func (a actions) Reject(id loadbalancer.RequestID, wait float64) {
	a.dispatcher.finish(id, Answer{Verdict: Rejected, RetryAfter: wait})
}

// Fail implements brain.Actions.
func (a actions) Fail(id loadbalancer.RequestID) { a.dispatcher.finish(id, Answer{Verdict: Failed}) }

func (c *Dispatcher) finish(id loadbalancer.RequestID, answer Answer) {
	if r := c.requestsByID[id]; r != nil && !r.answered {
		c.answer(r, answer, c.rejectionReason(r), -1)
		c.handle(func() { c.forget(r) })
	}
}

// Probe implements brain.Actions.
func (a actions) Probe(worker loadbalancer.WorkerID) {
	c := a.dispatcher
	m := c.members[worker]
	if m == nil || m.Backend == nil {
		return
	}
	c.counts.Probes++
	m.Backend.Probe(func(result loadbalancer.Result, report []float32) {
		c.handle(func() {
			if c.Observer != nil && len(report) > 0 {
				c.Observer.ObserveLoadReport(worker, c.clock.Now(), report, true)
			}
			c.balancer.HandleProbeResult(c.clock.Now(), worker, result, report)
		})
	})
}

// SetTimer implements brain.Actions.
func (a actions) SetTimer(token uint32, at float64) {
	c := a.dispatcher
	c.clock.At(at, func() { c.handle(func() { c.balancer.HandleTimer(c.clock.Now(), token) }) })
}

// Watch implements brain.Actions.
func (a actions) Watch(on bool) {
	if c := a.dispatcher; c.Discovery != nil {
		c.Discovery.Watch(on)
	}
}

// Fetch implements brain.Actions.
func (a actions) Fetch() {
	if c := a.dispatcher; c.Discovery != nil {
		c.Discovery.Fetch()
	}
}

// Log implements brain.Actions.
func (a actions) Log(line string) { a.dispatcher.Log(line) }
