package gearman

import (
	"fmt"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/invariant"
)

// job is what clients submitted, and what all who submitted the same unique id share.
type job struct {
	s              *Server
	handle, unique string
	data           string
	f              *function
	background     bool
	priority       int // 0 is high
	waiters        []*peer
	req            dispatch.RequestID
	queued         bool // the core has it
	running        int
	num, den       string
	exception      string
	over           bool
	returned       bool             // its last refusal was not told to anybody: it comes back
	output         []packet         // of the fetch that won
	start          *eventloop.Timer // of a job for later, or of one that comes back after a refusal
	ends           float64          // when the job is given up
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
	return []string{"1", running, j.num, j.den}
}

// enter hands the job to the core.
func (j *job) enter() {
	now := j.s.loop.Now()
	if j.ends == 0 {
		j.ends = now + j.f.deadline
		if j.background {
			j.ends = now + j.f.background
		}
	}
	j.queued = true
	j.req = j.s.core.Submit(dispatch.Job{Class: j.f.class, Skill: j.f.skill, Slots: 1,
		Deadline: min(j.ends, now+j.f.deadline), Payload: j, ID: j.handle, Front: "gearman"}, j)
}

// returns has a refused job in the background come back when the core said. A caller would; this one is not
// there to do it, and nobody is kept waiting for an answer.
func (j *job) returns(wait float64) bool {
	at := j.s.loop.Now() + max(wait, leastWait)
	if !j.background || len(j.waiters) > 0 || j.s.stopping || at >= j.ends {
		return false
	}
	j.s.Counts.Requeued++
	j.queued = false
	j.start = j.s.loop.At(at, j.enter)
	return true
}

// abandon gives the job up: nobody waits for it.
func (j *job) abandon() {
	if j.over {
		return
	}
	j.s.Counts.Abandoned++
	if j.background {
		j.s.Counts.BackgroundEnded++
	}
	j.close()
	j.start.Stop()
	if j.queued {
		j.s.core.HandleDisconnect(j.req)
	}
}

// Answer implements dispatch.Requester: the job's one end goes to all who wait for it. Gearman knows no refusal:
// it is a failure with a warning before it that says when to come back.
func (j *job) Answer(a dispatch.Answer) {
	if j.over {
		return
	}
	if j.returned = a.Verdict == dispatch.Rejected && j.returns(a.RetryAfter); j.returned {
		return
	}
	var last packet
	switch a.Verdict {
	case dispatch.Served:
		j.s.Counts.Served++
		last = packet{WorkComplete, string(a.Body)}
	case dispatch.Rejected:
		j.s.Counts.Rejected++
		j.output = []packet{{WorkWarning, fmt.Sprintf("refused retry-after=%.3f", a.RetryAfter)}}
		last.kind = WorkFail
	default:
		j.s.Counts.Failed++
		j.output = nil
		if j.exception != "" {
			j.output = []packet{{WorkException, j.exception}}
		}
		last.kind = WorkFail
	}
	if j.background {
		j.s.Counts.BackgroundEnded++
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
func (j *job) Requeued() bool { return j.returned }

func (j *job) close() {
	invariant.Check(!j.over, "a Gearman job ends once")
	j.over = true
	for _, p := range j.waiters {
		p.waits--
		j.s.rests++
		p.idleSince = j.s.rests
	}
	j.waiters = nil
	delete(j.s.jobs, j.handle)
	if j.unique != "" {
		delete(j.s.unique, uniqueKey{j.f.Name, j.unique})
	}
	j.f.jobs--
	j.s.held -= len(j.data)
	j.s.door.ReleaseJob(len(j.data))
}

// tell passes news on to all who wait for the job.
func (j *job) tell(kind Kind, args ...string) {
	for _, p := range j.waiters {
		p.send(kind, append([]string{j.handle}, args...)...)
	}
}
