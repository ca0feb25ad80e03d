package dispatch

import (
	"cinderroad/internal/shared/invariant"
	"cinderroad/internal/shared/slotmap"
	"cinderroad/loadbalancer"
)

// Attempt is one attempt at a request, as the backend gets it.
type Attempt struct {
	ID       AttemptID
	Worker   loadbalancer.WorkerID
	Deadline float64 // when the Dispatcher cancels it
	Payload  any     // of the Job
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result          loadbalancer.Result
	InvalidJob      bool // the backend calls the job itself invalid
	StaleConnection bool // an idle connection turned out to be dead: no evidence against the backend
	Body            []byte
	Report          []float32 // load report in the order of the settings' fields; empty: none came
}

// Backend carries attempts to one worker. Its methods may be called from within an action of the balancer. It reports
// through the Dispatcher's ConfirmSend, HandleStarted, HandleProgress and HandleOutcome, at any time.
type Backend interface {
	// Start starts an attempt. The backend must call ConfirmSend just before the first byte goes out, and HandleOutcome
	// once, unless Cancel is called first.
	Start(a Attempt)
	// Cancel gives an attempt up; nothing more may be reported of it. It returns whether the worker may have run it, and
	// true, the safe answer, for an attempt that the backend does not know any more.
	Cancel(id AttemptID) (mayHaveRun bool)
	// ResetConnections closes idle connections, and busy ones once they are free: the worker's process was replaced.
	ResetConnections()
	// Probe requests health and load. It calls done once.
	Probe(done func(result loadbalancer.Result, report []float32))
}

// attempt is the state of an attempt that has been started. It stays in its request after its end.
type attempt struct {
	handle     slotmap.Handle
	request    *request
	index      int // in the request's attempts
	member     *Member
	timer      Timer   // expires it
	deadlineAt float64 // the request's deadline, or earlier by the balancer's timeout
	ended      bool
	sentAt     float64
	startedAt  float64 // 0: no start was reported
	endedAt    float64 // 0: not yet
	hedged     bool    // another attempt was running when it was sent
	auditMark  uint64  // the Dispatcher's when it was sent
	result     loadbalancer.Result
}

// ConfirmSend reports whether an attempt whose first byte has not gone out may still be sent: its request must be open,
// its deadline ahead, and its member ready. If not, result is what the backend must report as its outcome: Withdrawn if
// nobody wants the attempt any more, ConnectFailed if only this member may not get it, so that the balancer may retry.
func (d *Dispatcher) ConfirmSend(id AttemptID) (result loadbalancer.Result, confirmed bool) {
	attempt, ok := d.attempts.Get(slotmap.Handle(id))
	switch {
	case !ok || attempt.ended || attempt.request.answered || d.clock.Now() >= attempt.deadlineAt:
		return loadbalancer.Withdrawn, false
	case attempt.member.State != loadbalancer.Ready:
		return loadbalancer.ConnectFailed, false
	}
	attempt.member.lastStart = d.clock.Now()
	return loadbalancer.OK, true
}

// HandleStarted reports that the worker has started an attempt's job.
func (d *Dispatcher) HandleStarted(id AttemptID) {
	if attempt, ok := d.attempts.Get(slotmap.Handle(id)); ok && attempt.startedAt == 0 {
		attempt.startedAt = d.clock.Now()
	}
	d.reportProgress(id, loadbalancer.ProgressUpdate{Started: true})
}

// HandleProgress reports the completed fraction of an attempt's job, 0 to 1.
func (d *Dispatcher) HandleProgress(id AttemptID, fraction float64) {
	d.reportProgress(id, loadbalancer.ProgressUpdate{Fraction: fraction})
}

func (d *Dispatcher) reportProgress(id AttemptID, update loadbalancer.ProgressUpdate) {
	d.handle(func() {
		if attempt, ok := d.attempts.Get(slotmap.Handle(id)); ok && !attempt.ended {
			update.Request = attempt.request.id
			update.Attempt = attempt.index
			d.balancer.HandleProgress(d.clock.Now(), &update)
		}
	})
}

// HandleOutcome reports how an attempt ended. Only the first call for an attempt has an effect.
func (d *Dispatcher) HandleOutcome(id AttemptID, outcome Outcome) {
	d.handle(func() {
		if attempt, ok := d.attempts.Get(slotmap.Handle(id)); ok && !attempt.ended {
			d.endAttempt(attempt, outcome)
		}
	})
}

// endAttempt ends an attempt: it answers the request if that is settled by it, and reports the one outcome to the balancer.
func (d *Dispatcher) endAttempt(attempt *attempt, outcome Outcome) {
	invariant.Check(!attempt.ended, "an attempt ends once")
	attempt.ended = true
	attempt.endedAt = d.clock.Now()
	attempt.result = outcome.Result
	attempt.timer.Stop()
	d.attempts.Remove(attempt.handle)
	request := attempt.request
	request.running--
	switch {
	case outcome.Result == loadbalancer.OK && !request.answered:
		d.answer(request, Answer{Verdict: Served, Body: outcome.Body}, ReasonNone, attempt.index)
	case outcome.InvalidJob: // no evidence against the backend; the second backend that says so decides it
		outcome.Result = loadbalancer.Cancelled
		attempt.result = outcome.Result
		request.invalidVotes++
		if request.invalidVotes > 1 && !request.answered {
			d.counts.InvalidJobs++
			d.answer(request, Answer{Verdict: Failed}, ReasonInvalidJob, noAttempt)
		}
	}
	if d.Observer != nil {
		record := attempt.record()
		d.Observer.ObserveAttempt(&record)
		if len(outcome.Report) > 0 {
			d.Observer.ObserveLoadReport(record.Worker, attempt.endedAt, outcome.Report, false)
		}
	}
	d.counts.Results[outcome.Result]++
	d.balancer.HandleOutcome(d.clock.Now(), &loadbalancer.Outcome{
		Request:         request.id,
		Attempt:         attempt.index,
		Worker:          attempt.member.ID,
		Result:          outcome.Result,
		ClientAnswered:  request.answered,
		StaleConnection: outcome.StaleConnection,
		Report:          outcome.Report,
	})
	d.forget(request)
}

// endAttemptAs ends an attempt with a result, unless it has ended.
func (d *Dispatcher) endAttemptAs(attempt *attempt, result loadbalancer.Result) {
	if !attempt.ended {
		d.endAttempt(attempt, Outcome{Result: result})
	}
}

// expireAttempt ends an attempt at its deadline.
func (d *Dispatcher) expireAttempt(attempt *attempt) {
	if !attempt.ended {
		result := loadbalancer.ConnectFailed // the first byte never went out
		if attempt.member.Backend.Cancel(AttemptID(attempt.handle)) {
			result = loadbalancer.Timeout
		}
		d.endAttempt(attempt, Outcome{Result: result})
	}
}
