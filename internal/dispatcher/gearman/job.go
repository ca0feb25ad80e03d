package gearman

import (
	"fmt"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/invariant"
)

// job is what clients submitted, and what all who submitted the same unique id share.
type job struct {
	server                 *Server
	handle, unique         string
	data                   string
	function               *function
	background             bool
	priority               int // 0 is high
	waiters                []*peer
	requestID              dispatch.RequestID
	queued                 bool // the core has it
	running                int
	numerator, denominator string
	exception              string
	ended                  bool
	requeued               bool             // its last refusal was not told to anybody: it comes back
	output                 []outputPacket   // of the fetch that won
	startTimer             *eventloop.Timer // of a job for later, or of one that comes back after a refusal
	expiresAt              float64          // when the job is given up
}

// status is the last four arguments of a status answer.
func (j *job) status() []string {
	if j == nil {
		return []string{"0", "0", "0", "0"}
	}
	running := "0"
	if j.running > 0 {
		running = "1"
	}
	return []string{"1", running, j.numerator, j.denominator}
}

// submit hands the job to the core.
func (j *job) submit() {
	now := j.server.loop.Now()
	if j.expiresAt == 0 {
		j.expiresAt = now + j.function.deadline
		if j.background {
			j.expiresAt = now + j.function.backgroundDeadline
		}
	}
	j.queued = true
	j.requestID = j.server.dispatcher.Submit(dispatch.Job{Class: j.function.classIndex, Skill: j.function.skill, Slots: 1,
		Deadline: min(j.expiresAt, now+j.function.deadline), Payload: j, ID: j.handle, Front: "gearman"}, j)
}

// requeue has a refused job in the background come back when the core said. A caller would; this one is not
// there to do it, and nobody is kept waiting for an answer.
func (j *job) requeue(delay float64) bool {
	startAt := j.server.loop.Now() + max(delay, minRequeueDelay)
	if !j.background || len(j.waiters) > 0 || j.server.stopping || startAt >= j.expiresAt {
		return false
	}
	j.server.Counts.Requeued++
	j.queued = false
	j.startTimer = j.server.loop.At(startAt, j.submit)
	return true
}

// abandon gives the job up: nobody waits for it.
func (j *job) abandon() {
	if j.ended {
		return
	}
	j.server.Counts.Abandoned++
	if j.background {
		j.server.Counts.BackgroundEnded++
	}
	j.close()
	j.startTimer.Stop()
	if j.queued {
		j.server.dispatcher.HandleDisconnect(j.requestID)
	}
}

// Answer implements dispatch.Requester: the job's one end goes to all who wait for it. Gearman knows no refusal:
// it is a failure with a warning before it that says when to come back.
func (j *job) Answer(answer dispatch.Answer) {
	if j.ended {
		return
	}
	if j.requeued = answer.Verdict == dispatch.Rejected && j.requeue(answer.RetryAfter); j.requeued {
		return
	}
	var last outputPacket
	switch answer.Verdict {
	case dispatch.Served:
		j.server.Counts.Served++
		last = outputPacket{WorkComplete, string(answer.Body)}
	case dispatch.Rejected:
		j.server.Counts.Rejected++
		j.output = []outputPacket{{WorkWarning, fmt.Sprintf("refused retry-after=%.3f", answer.RetryAfter)}}
		last.kind = WorkFail
	default:
		j.server.Counts.Failed++
		j.output = nil
		if j.exception != "" {
			j.output = []outputPacket{{WorkException, j.exception}}
		}
		last.kind = WorkFail
	}
	if j.background {
		j.server.Counts.BackgroundEnded++
	}
	waiters := j.waiters
	j.close()
	for _, p := range waiters {
		for _, out := range j.output {
			if out.kind != WorkException || p.exceptions {
				p.send(out.kind, j.handle, out.data)
			}
		}
		if last.kind == WorkFail {
			p.send(WorkFail, j.handle)
		} else {
			p.send(last.kind, j.handle, last.data)
		}
	}
}

// Requeued implements dispatch.Requeuer.
func (j *job) Requeued() bool { return j.requeued }

func (j *job) close() {
	invariant.Check(!j.ended, "a Gearman job ends once")
	j.ended = true
	for _, p := range j.waiters {
		p.pendingJobs--
		j.server.idleSequence++
		p.idleOrder = j.server.idleSequence
	}
	j.waiters = nil
	delete(j.server.jobs, j.handle)
	if j.unique != "" {
		delete(j.server.jobsByUnique, uniqueKey{j.function.Name, j.unique})
	}
	j.function.jobs--
	j.server.pendingBytes -= len(j.data)
	j.server.limiter.ReleaseJob(len(j.data))
}

// notify passes news on to all who wait for the job.
func (j *job) notify(kind Kind, args ...string) {
	for _, p := range j.waiters {
		p.send(kind, append([]string{j.handle}, args...)...)
	}
}
