package dispatch

import (
	"math"

	"cinderroad/internal/shared/invariant"
	"cinderroad/loadbalancer"
)

// actions carries out the Balancer's decisions.
type actions struct{ core *Core }

// Send implements brain.Actions.
func (a actions) Send(id loadbalancer.RequestID, worker loadbalancer.WorkerID, timeout float64) {
	c := a.core
	r, m := c.byID[id], c.members[worker]
	invariant.Check(r != nil && !r.answered && m != nil, "a send names an open req and a listed worker")
	if r == nil {
		return
	}
	f := &fetch{r: r, attempt: len(r.fetches), member: m, ends: r.job.Deadline, sent: c.clock.Now(), copy: r.live > 0, mark: c.Mark}
	if timeout > 0 {
		f.ends = math.Min(f.ends, c.clock.Now()+timeout)
	}
	r.fetches = append(r.fetches, f)
	r.live++
	f.h = c.fetches.Insert(f)
	c.counts.Fetches++
	if f.attempt > 0 {
		c.counts.Repeats++
	}
	f.deadline = c.clock.At(f.ends, func() { c.do(func() { c.expire(f) }) })
	if r.answered || m == nil || m.Backend == nil {
		c.do(func() { c.stop(f, loadbalancer.Withdrawn) })
		return
	}
	m.Backend.Begin(Fetch{ID: FetchID(f.h), Worker: worker, Deadline: f.ends, Load: r.job.Load})
}

func (c *Core) stop(f *fetch, result loadbalancer.Result) {
	if !f.over {
		c.end(f, End{Result: result})
	}
}

// expire produces the time-out: nothing else would, of a worker that has fallen silent.
func (c *Core) expire(f *fetch) {
	if !f.over {
		result := loadbalancer.ConnectFailed // its first byte never went out
		if f.member.Backend.Drop(FetchID(f.h)) {
			result = loadbalancer.Timeout
		}
		c.end(f, End{Result: result})
	}
}

// Cancel implements brain.Actions.
func (a actions) Cancel(id loadbalancer.RequestID, attempt int) {
	c := a.core
	r := c.byID[id]
	if r == nil || attempt < 0 || attempt >= len(r.fetches) || r.fetches[attempt].over {
		return
	}
	f := r.fetches[attempt]
	c.counts.Cancels++
	c.do(func() {
		if f.over {
			return // its end was on the way
		}
		result := loadbalancer.Withdrawn
		if f.member.Backend.Drop(FetchID(f.h)) {
			result = loadbalancer.Cancelled
		}
		c.stop(f, result)
	})
}

// Reject implements brain.Actions.
func (a actions) Reject(id loadbalancer.RequestID, wait float64) {
	a.core.final(id, Answer{Verdict: Refused, Wait: wait})
}

// Fail implements brain.Actions.
func (a actions) Fail(id loadbalancer.RequestID) { a.core.final(id, Answer{Verdict: Failed}) }

func (c *Core) final(id loadbalancer.RequestID, answer Answer) {
	if r := c.byID[id]; r != nil && !r.answered {
		c.answer(r, answer, c.why(r), -1)
		c.do(func() { c.forget(r) })
	}
}

// Probe implements brain.Actions.
func (a actions) Probe(worker loadbalancer.WorkerID) {
	c := a.core
	m := c.members[worker]
	if m == nil || m.Backend == nil {
		return
	}
	c.counts.Probes++
	m.Backend.Probe(func(result loadbalancer.Result, report []float32) {
		c.do(func() {
			if c.Observer != nil && len(report) > 0 {
				c.Observer.Reported(worker, c.clock.Now(), report, true)
			}
			c.bal.HandleProbeResult(c.clock.Now(), worker, result, report)
		})
	})
}

// SetTimer implements brain.Actions.
func (a actions) SetTimer(token uint32, at float64) {
	c := a.core
	c.clock.At(at, func() { c.do(func() { c.bal.HandleTimer(c.clock.Now(), token) }) })
}

// Watch implements brain.Actions.
func (a actions) Watch(on bool) {
	if c := a.core; c.Director != nil {
		c.Director.Watch(on)
	}
}

// Fetch implements brain.Actions.
func (a actions) Fetch() {
	if c := a.core; c.Director != nil {
		c.Director.Fetch()
	}
}

// Log implements brain.Actions.
func (a actions) Log(line string) { a.core.Log(line) }
