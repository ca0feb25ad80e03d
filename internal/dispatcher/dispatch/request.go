package dispatch

import (
	"math"

	"cinderroad/internal/shared/invariant"
	"cinderroad/internal/shared/slotmap"
	"cinderroad/loadbalancer"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The final answers. The last two occur in records only.
const (
	Served       Verdict = iota
	Rejected             // the job did not run: a retry is harmless
	Failed               // the job may have run
	Disconnected         // the client left before the answer
	Requeued             // the front kept a rejected job to submit it again
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Body       []byte  // of Served
	RetryAfter float64 // of Rejected: seconds after which the client may retry; 0: not known
}

// Requester receives the answer to a request. A front implements it.
type Requester interface {
	// Answer is called once for each request, unless the front reported a disconnect before.
	Answer(a Answer)
}

// Requeuer is a Requester that may keep a rejected job and submit it again later, without telling its client.
type Requeuer interface {
	// Requeued reports whether the last answer was kept so.
	Requeued() bool
}

// An ID whose request or attempt is over is never reused: calls with it have no effect.
type (
	// RequestID names a request.
	RequestID slotmap.Handle
	// AttemptID names an attempt.
	AttemptID slotmap.Handle
)

// Job is what a front submits.
type Job struct {
	Class    int     // index into the settings' classes; out of range: a class without settings, which is never served
	Skill    uint32  // what a worker must be able to do; 0: what a worker without skills does
	Slots    float64 // that the job occupies on a worker, in the settings' units
	Memory   float64 // that the job occupies on a worker, in the settings' units
	Work     float64 // seconds that the client expects the job to take; 0: unknown
	Deadline float64 // when the client stops waiting
	Payload  any     // the job in the front's own form, for the backends that understand it
	ID       string  // name of the job in records
	Front    string  // name of the front in records
}

// request is the state of an open request.
type request struct {
	handle        slotmap.Handle
	id            loadbalancer.RequestID
	job           Job
	requester     Requester
	attempts      []*attempt // by index
	running       int        // attempts that have not ended
	answered      bool       // the answer has been given, or the client has left
	invalidVotes  int        // backends that called the job itself invalid
	deadlineGuard Timer      // answers if the balancer does not
	arrivedAt     float64
}

// noAttempt stands for the index of the winning attempt of a request that no attempt served.
const noAttempt = -1

// overdueGrace is the time in seconds after a request's deadline at which the Dispatcher answers in place of the balancer.
const overdueGrace = 0.005

// Submit accepts a job. The requester gets its one answer, perhaps before Submit returns.
func (d *Dispatcher) Submit(job Job, requester Requester) RequestID {
	request := &request{job: job, requester: requester, arrivedAt: d.clock.Now()}
	request.handle = d.requests.Insert(request)
	request.id = d.nextID()
	d.requestsByID[request.id] = request
	d.counts.Requests++
	request.deadlineGuard = d.clock.At(job.Deadline+overdueGrace, func() {
		d.handle(func() { d.answerOverdue(request) })
	})
	d.handle(func() {
		if request.answered {
			return
		}
		d.balancer.HandleRequest(d.clock.Now(), &loadbalancer.Request{
			ID:       request.id,
			Class:    job.Class,
			Skill:    job.Skill,
			Slots:    job.Slots,
			Memory:   job.Memory,
			Work:     job.Work,
			Deadline: job.Deadline,
		})
	})
	return RequestID(request.handle)
}

// nextID returns an ID that no open request has. It is never 0, nor the token of the balancer's periodic timer: the
// balancer uses the IDs of requests as the tokens of their timers.
func (d *Dispatcher) nextID() loadbalancer.RequestID {
	const sweepToken = math.MaxUint32
	id := d.lastID + 1
	for id == 0 || id == sweepToken || d.requestsByID[id] != nil {
		id++
	}
	d.lastID = id
	return id
}

// HandleDisconnect reports that the client has left: its request needs no answer any more.
func (d *Dispatcher) HandleDisconnect(id RequestID) {
	d.handle(func() {
		request, ok := d.requests.Get(slotmap.Handle(id))
		if !ok || request.answered {
			return
		}
		d.counts.Disconnected++
		d.markAnswered(request)
		d.recordAnswer(request, Disconnected, ReasonNone, 0, noAttempt)
		d.balancer.HandleDisconnect(d.clock.Now(), request.id)
		d.forget(request)
	})
}

// answerOverdue answers a request that the balancer did not answer by its deadline.
func (d *Dispatcher) answerOverdue(request *request) {
	if request.answered {
		return
	}
	d.counts.Overdue++
	d.answer(request, Answer{Verdict: Failed}, ReasonOverdue, noAttempt)
	d.balancer.HandleDisconnect(d.clock.Now(), request.id)
	d.forget(request)
}

// finish gives a rejection or a failure that the balancer decided on as the final answer to a request.
func (d *Dispatcher) finish(id loadbalancer.RequestID, answer Answer) {
	if request := d.requestsByID[id]; request != nil && !request.answered {
		d.answer(request, answer, d.reasonNotServed(request), noAttempt)
		d.handle(func() { d.forget(request) }) // later: the balancer's event at hand may still name it
	}
}

// answer gives the final answer; winner is the index of the attempt that served the request, or noAttempt.
func (d *Dispatcher) answer(request *request, answer Answer, reason Reason, winner int) {
	invariant.Check(!request.answered, "a request is answered once")
	if request.answered {
		return
	}
	switch answer.Verdict {
	case Served:
		d.counts.Served++
	case Rejected:
		d.counts.Rejected++
	default:
		d.counts.Failed++
	}
	d.markAnswered(request)
	request.requester.Answer(answer)
	verdict := answer.Verdict
	if requeuer, ok := request.requester.(Requeuer); ok && verdict == Rejected && requeuer.Requeued() {
		verdict = Requeued
	}
	d.recordAnswer(request, verdict, reason, answer.RetryAfter, winner)
}

func (d *Dispatcher) markAnswered(request *request) {
	request.answered = true
	request.deadlineGuard.Stop()
}

// forget removes a request that is answered and has no attempt running.
func (d *Dispatcher) forget(request *request) {
	if request.answered && request.running == 0 && d.requests.Remove(request.handle) {
		delete(d.requestsByID, request.id)
	}
}
