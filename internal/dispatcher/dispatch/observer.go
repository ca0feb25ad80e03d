package dispatch

import "cinderroad/loadbalancer"

// drainGrace is the time in seconds after the start of a drain within which a new job may still start.
const drainGrace = 0.3

// Observer keeps records. Its methods are called from within events: they must be quick, must not call the Dispatcher,
// and must not retain their arguments.
type Observer interface {
	// ObserveAnswer is called for each final answer, and for each request whose client left before one.
	ObserveAnswer(r *AnswerRecord)
	// ObserveAttempt is called at the end of each attempt.
	ObserveAttempt(r *AttemptRecord)
	// ObserveMembers is called for each member list with the members as their front lists them.
	ObserveMembers(kind loadbalancer.ListKind, members []Member)
	// ObserveLoadReport is called for each load report, in the order of the settings' fields; probed reports whether a
	// health check brought it.
	ObserveLoadReport(worker loadbalancer.WorkerID, at float64, report []float32, probed bool)
	// ObserveDrain is called drainGrace after a member began to drain. margin is what was left of the grace, in seconds,
	// when the last attempt was confirmed: all of it if none was since, negative if one was too late.
	ObserveDrain(worker loadbalancer.WorkerID, margin float64)
}

// AnswerRecord is the record of an answered request. Times are of the Dispatcher's Clock.
type AnswerRecord struct {
	ID, Front      string
	Class          int // index into the settings' classes; -1: a class without settings
	Verdict        Verdict
	Reason         Reason
	ArrivedAt      float64
	TargetAt       float64 // an answer until then meets the class's latency target
	AnsweredAt     float64
	StartedAt      float64         // when the first job started, as far as was reported; 0: never
	RetryAfter     float64         // of Rejected, in seconds; 0: none
	WinningAttempt int             // index of the attempt that served the request; -1: none
	Attempts       []AttemptRecord // those that are running have no end
	AuditMark      uint64          // the Dispatcher's at the answer
}

// Late reports whether the answer missed the class's latency target.
func (r *AnswerRecord) Late() bool { return r.AnsweredAt > r.TargetAt }

// AttemptRecord is the record of an attempt.
type AttemptRecord struct {
	Worker     loadbalancer.WorkerID
	MemberName string
	Class      int
	Attempt    int  // index within the request
	Hedged     bool // another attempt was running when this one was sent
	SentAt     float64
	StartedAt  float64 // 0: not reported
	EndedAt    float64 // 0: still running
	Result     loadbalancer.Result
	AuditMark  uint64 // the Dispatcher's when it was sent
}

func (a *attempt) record() AttemptRecord {
	return AttemptRecord{
		Worker:     a.member.ID,
		MemberName: a.member.Name,
		Class:      a.request.job.Class,
		Attempt:    a.index,
		Hedged:     a.hedged,
		SentAt:     a.sentAt,
		StartedAt:  a.startedAt,
		EndedAt:    a.endedAt,
		Result:     a.result,
		AuditMark:  a.auditMark,
	}
}

// RecordAnswer records a job that a front has answered itself, without submitting it.
func (d *Dispatcher) RecordAnswer(job Job, verdict Verdict, reason Reason, retryAfter float64) {
	now := d.clock.Now()
	d.handle(func() { d.recordAnswer(&request{job: job, arrivedAt: now}, verdict, reason, retryAfter, noAttempt) })
}

func (d *Dispatcher) recordAnswer(request *request, verdict Verdict, reason Reason, retryAfter float64, winner int) {
	if d.Observer == nil {
		return
	}
	record := &d.answerRecord
	*record = AnswerRecord{
		ID:             request.job.ID,
		Front:          request.job.Front,
		Class:          request.job.Class,
		Verdict:        verdict,
		Reason:         reason,
		ArrivedAt:      request.arrivedAt,
		AnsweredAt:     d.clock.Now(),
		RetryAfter:     retryAfter,
		WinningAttempt: winner,
		AuditMark:      d.AuditMark,
		Attempts:       record.Attempts[:0],
	}
	record.TargetAt = d.targetTime(&request.job, request.arrivedAt)
	if !d.hasClass(record.Class) {
		record.Class = unknownClass
	}
	for _, attempt := range request.attempts {
		record.Attempts = append(record.Attempts, attempt.record())
		if attempt.startedAt > 0 && (record.StartedAt == 0 || attempt.startedAt < record.StartedAt) {
			record.StartedAt = attempt.startedAt
		}
	}
	d.Observer.ObserveAnswer(record)
}

// unknownClass is the Class of the records of jobs whose class has no settings.
const unknownClass = -1

// hasClass reports whether the settings have a class of an index.
func (d *Dispatcher) hasClass(class int) bool { return class >= 0 && class < len(d.settings.Classes) }

// targetTime returns until when an answer meets the latency target of the job's class.
func (d *Dispatcher) targetTime(job *Job, arrivedAt float64) float64 {
	if !d.hasClass(job.Class) {
		return job.Deadline
	}
	class := &d.settings.Classes[job.Class]
	return min(arrivedAt+class.Objective+class.Stretch*job.Work, job.Deadline)
}

// trackDrain records that a member is no longer ready, and reports the drain after drainGrace, unless the member has begun
// another one by then.
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
