package dispatch

import (
	"cinderroad/loadbalancer"
)

// drainGrace is how long after a drain was told new work may still start, in seconds.
const drainGrace = 0.3

// Observer keeps books. It is called on the core's goroutine, within events: it must be quick, must not call the core,
// and may keep nothing it is passed beyond the call.
type Observer interface {
	// ObserveAnswer hears each final answer, and each req whose client has left before one.
	ObserveAnswer(f *AnswerRecord)
	// ObserveAttempt hears the end of each attempt.
	ObserveAttempt(t *AttemptRecord)
	// ObserveMembers hears the members of a list event as their front lists them.
	ObserveMembers(kind loadbalancer.ListKind, members []Member)
	// ObserveLoadReport hears a load report, in the order of the settings' fields; probed says that a probe brought it.
	ObserveLoadReport(worker loadbalancer.WorkerID, at float64, report []float32, probed bool)
	// ObserveDrain hears, drainGrace after a drain was told, how much of that time was left when the last job started: all
	// of it if none has started since, below 0 if one started too late.
	ObserveDrain(worker loadbalancer.WorkerID, margin float64)
}

// Reason says why a req was not served.
type Reason uint8

// The reasons. Those from Evacuated on are given by a front without the core.
const (
	ReasonNone             Reason = iota
	ReasonNoReadyMember           // the list holds nobody who is ready
	ReasonNoCapacity              // everybody is too full for it to start in time
	ReasonRejected                // the last attempt was turned away
	ReasonUnreachable             // the last attempt found nobody
	ReasonWithdrawn               // the last attempt was called off before its first byte
	ReasonDeadlineExceeded        // its time was over
	ReasonBackendError            // the last attempt failed at the backend
	ReasonConnectionLost          // the last attempt's connection broke
	ReasonTimeout                 // the last attempt was never answered
	ReasonCancelled               // the last attempt was cancelled
	ReasonInvalidJob              // backends could do nothing with it
	ReasonUnknownClass            // nobody knows what a repeat of it may do
	ReasonOverdue                 // the decisions had forgotten it
	ReasonEvacuated               // the front is emptied
	ReasonNoMemory                // nowhere to hold its body
	ReasonLeaseExpired            // what this dispatcher knows is too old to send by
	ReasonCount                   // how many there are
)

var reasonNames = [ReasonCount]string{"", "no_member", "no_room", "full", "unreachable", "withdrawn", "too_late", "backend_error",
	"broken", "silent", "cancelled", "unusable", "unknown_class", "overdue", "evacuated", "no_memory",
	"out_of_lease"}

// String is the reason as figures and logs name it; empty for none.
func (r Reason) String() string { return reasonNames[r] }

// AnswerRecord is what became of a req. Times are of the core's clock.
type AnswerRecord struct {
	ID, Front      string
	Class          int // -1 is one that nobody knows
	Verdict        Verdict
	Reason         Reason
	ArrivedAt      float64
	TargetAt       float64 // an answer until then is in time, by the class's objective and the hinted work
	AnsweredAt     float64
	StartedAt      float64         // when the first attempt's job started, as far as was told; 0 is never
	RetryAfter     float64         // of a refusal: when to come back
	WinningAttempt int             // the attempt that served it; -1 is none
	Attempts       []AttemptRecord // those that are out have no end yet
	AuditMark      uint64          // the core's when it was answered
}

// Late says whether the answer came after the class's objective.
func (r *AnswerRecord) Late() bool { return r.AnsweredAt > r.TargetAt }

// AttemptRecord is one attempt.
type AttemptRecord struct {
	Worker     loadbalancer.WorkerID
	MemberName string // the member's name
	Class      int
	Attempt    int
	Hedged     bool // sent while another was out
	SentAt     float64
	StartedAt  float64 // 0: not told
	EndedAt    float64 // 0: still out
	Result     loadbalancer.Result
	AuditMark  uint64 // the core's when it was sent
}

// Requeuer is an Asker that may take a refusal for itself and hand the job in again, instead of telling anybody.
type Requeuer interface {
	// Requeued says whether the last answer was taken so.
	Requeued() bool
}

// drainTimes is what is noted of a member beside what its list says.
type drainTimes struct {
	lastStart  float64 // when a fetch to it last began
	drainStart float64 // when a drain was last told; 0 is not
}

// recordAnswer tells the books what became of a req.
func (d *Dispatcher) recordAnswer(request *request, verdict Verdict, reason Reason, retryAfter float64, winner int) {
	if d.Observer == nil {
		return
	}
	record := &d.answerRecord
	*record = AnswerRecord{ID: request.job.ID, Front: request.job.Front, Class: request.job.Class, Verdict: verdict, Reason: reason, ArrivedAt: request.arrivedAt,
		AnsweredAt: d.clock.Now(), RetryAfter: retryAfter, WinningAttempt: winner, AuditMark: d.AuditMark, Attempts: record.Attempts[:0]}
	record.TargetAt = d.targetTime(&request.job, request.arrivedAt)
	if record.Class < 0 || record.Class >= len(d.settings.Classes) {
		record.Class = -1
	}
	for _, attempt := range request.attempts {
		record.Attempts = append(record.Attempts, attempt.record())
		if attempt.startedAt > 0 && (record.StartedAt == 0 || attempt.startedAt < record.StartedAt) {
			record.StartedAt = attempt.startedAt
		}
	}
	d.Observer.ObserveAnswer(record)
}

// targetTime is until when an answer is in time.
func (d *Dispatcher) targetTime(job *Job, arrivedAt float64) float64 {
	if job.Class < 0 || job.Class >= len(d.settings.Classes) {
		return job.Deadline
	}
	class := &d.settings.Classes[job.Class]
	return min(arrivedAt+class.Objective+class.Stretch*job.Work, job.Deadline)
}

func (a *attempt) record() AttemptRecord {
	return AttemptRecord{Worker: a.member.ID, MemberName: a.member.Name, Class: a.request.job.Class, Attempt: a.index, Hedged: a.hedged, SentAt: a.sentAt,
		StartedAt: a.startedAt, EndedAt: a.endedAt, Result: a.result, AuditMark: a.auditMark}
}

// RecordAnswer notes a job that a front has answered without the core.
func (d *Dispatcher) RecordAnswer(job Job, verdict Verdict, reason Reason, retryAfter float64) {
	now := d.clock.Now()
	d.handle(func() { d.recordAnswer(&request{job: job, arrivedAt: now}, verdict, reason, retryAfter, -1) })
}

// rejectionReason works out why the decisions did not have a req served: they do not say.
func (d *Dispatcher) rejectionReason(request *request) Reason {
	if request.job.Class < 0 || request.job.Class >= len(d.settings.Classes) {
		return ReasonUnknownClass
	}
	late := d.clock.Now() >= request.job.Deadline-3*max(d.settings.Tick, overdueGrace)
	if n := len(request.attempts); n > 0 && !(late && request.running > 0) {
		if reason := attemptReasons[request.attempts[n-1].result]; reason != ReasonNone && request.attempts[n-1].ended {
			return reason
		}
	}
	switch {
	case late:
		return ReasonDeadlineExceeded
	case d.readyMembers == 0:
		return ReasonNoReadyMember
	}
	return ReasonNoCapacity
}

// attemptReasons are the reasons that the end of an attempt gives.
var attemptReasons = [loadbalancer.Withdrawn + 1]Reason{loadbalancer.Error: ReasonBackendError, loadbalancer.Rejected: ReasonRejected, loadbalancer.Timeout: ReasonTimeout,
	loadbalancer.ConnectFailed: ReasonUnreachable, loadbalancer.Reset: ReasonConnectionLost, loadbalancer.Cancelled: ReasonCancelled, loadbalancer.Withdrawn: ReasonWithdrawn}

// trackDrain notes that a member no longer wants new work; it was ready before.
func (d *Dispatcher) trackDrain(member *Member) {
	now := d.clock.Now()
	member.drainStart = now
	if d.Observer == nil {
		return
	}
	id := member.ID
	d.clock.At(now+drainGrace, func() {
		d.handle(func() {
			if member.drainStart == now {
				d.Observer.ObserveDrain(id, drainGrace-max(0, member.lastStart-now))
			}
		})
	})
}

// WorkerStatus is what the decisions hold of a worker.
func (d *Dispatcher) WorkerStatus(worker loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool) {
	return d.balancer.WorkerStatus(d.clock.Now(), worker)
}
