package gearman

import (
	"fmt"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/invariant"
)

// Priorities of jobs, in the order in which a worker is assigned them.
const (
	priorityHigh = iota
	priorityNormal
	priorityLow
)

// minRequeueDelay is the least time in seconds before a rejected background job is submitted again.
const minRequeueDelay = 0.05

// job is one submitted job. Clients that submit the same function and unique id while it is pending share it.
type job struct {
	server                 *Server
	handle                 string // the server's name for it, unique in this process
	unique                 string // the client's id; empty if it gave none
	data                   string
	function               *function
	background             bool
	priority               int     // one of the priority constants
	waiters                []*peer // clients to notify, one entry for each foreground submission
	requestID              dispatch.RequestID
	queued                 bool   // submitted to the dispatcher; false again while it waits to be requeued
	running                int    // attempts assigned to workers
	numerator, denominator string // of the last WORK_STATUS, as the worker wrote them
	exception              string // of the last attempt that raised one
	ended                  bool
	requeued               bool             // the last rejection was not reported to a client: the job is submitted again
	output                 []outputPacket   // sent to the waiters before the final packet
	startTimer             *eventloop.Timer // submits a job with a start time, or a requeued one
	expiresAt              float64          // when the job must have its answer, in the loop's seconds; 0 until first submitted
}

// outputPacket is a packet that an attempt produced, buffered until the job has ended: if the attempt fails and another
// follows, the client must not see the output of both.
type outputPacket struct {
	kind Kind
	data string
}

// status returns the last four arguments of a status response: known, running, numerator, denominator. A nil job is
// an unknown one.
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

// submit submits the job to the dispatcher.
func (j *job) submit() {
	now := j.server.loop.Now()
	if j.expiresAt == 0 {
		j.expiresAt = now + j.function.deadline
		if j.background {
			j.expiresAt = now + j.function.backgroundDeadline
		}
	}
	j.queued = true
	j.requestID = j.server.dispatcher.Submit(dispatch.Job{
		Class:    j.function.classIndex,
		Skill:    j.function.skill,
		Slots:    1,
		Deadline: min(j.expiresAt, now+j.function.deadline),
		Payload:  j,
		ID:       j.handle,
		Front:    "gearman",
	}, j)
}

// requeue submits a rejected background job again after delay seconds, as its client would if it were there, and
// reports whether it does. Only jobs without waiting clients are requeued: a client is told to retry itself.
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

// abandon cancels a job whose clients have all disconnected, or that an administrator cancelled.
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

// Answer implements dispatch.Requester: it ends the job and sends the result to all waiters. Gearman has no packet for
// a rejection: it is sent as a warning that says when to retry, and a failure.
func (j *job) Answer(answer dispatch.Answer) {
	if j.ended {
		return
	}
	j.requeued = answer.Verdict == dispatch.Rejected && j.requeue(answer.RetryAfter)
	if j.requeued {
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

// close removes the job from the server's tables and releases what it reserved.
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

// notify sends a packet about the job to all waiters.
func (j *job) notify(kind Kind, args ...string) {
	for _, p := range j.waiters {
		p.send(kind, append([]string{j.handle}, args...)...)
	}
}
