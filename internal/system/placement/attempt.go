package placement

import (
	"time"

	"cinderroad/internal/system/intrusivelist"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded     Outcome = iota // a complete response
	Rejected                     // the runner did not run it: at capacity, or too late
	Misdirected                  // status 421: another incarnation of the runner has the address
	Failed                       // the runner responded with a status of 5xx
	Interrupted                  // connection lost, malformed bytes, incomplete response
	TimedOut                     // no response in time
	ConnectFailed                // no connection was established: surely not run
	Cancelled                    // the client disconnected or the deadline passed; says little of the runner
)

// Attempt is a request on its way to, or at, a runner. StartAttempt makes it, EndAttempt ends it.
type Attempt struct {
	ID      uint64
	Runner  string
	Request *Request

	reservation
}

// Progress is what an attempt has shown by its end.
type Progress struct {
	TimeToFirstEvent time.Duration // from when the request was written to the first event or byte; 0: none came
	LongestEventGap  time.Duration // between two events in a row
	Events           int           // of an event stream; otherwise 1 for the first bytes
	Duration         time.Duration // from when the request was written to the end; 0: it was not written
}

// reservation is the capacity that an attempt takes of its runner, and its progress there.
type reservation struct {
	runner         *runnerState
	sentAt         time.Duration // when StartAttempt was called: connecting is included in what is learnt from first events
	load           float64       // of the runner after it was added, as its limits see it
	weight         float64       // in slots: 1, and more during prefill
	prefillWeight  float64       // the part of weight that the first event releases
	tokens         float64       // of the engine's memory
	prefillTokens  float64       // prompt tokens that are probably not cached
	firstEventSeen bool          // the first event or byte has come
	announced      bool          // its prompt is long enough for a notice to the other proxies
	endedSuspicion bool          // its first event ended the suspicion of its runner
	ended          bool          // nothing is reserved any more, or ever was: see StartAttempt
	links          intrusivelist.Links[Attempt]
}

// attemptList is a list of attempts in the order in which they were sent.
type attemptList = intrusivelist.List[Attempt, *Attempt]

// ListLinks returns the attempt's neighbours in runnerState.pending.
func (r *reservation) ListLinks() *intrusivelist.Links[Attempt] { return &r.links }

// StartAttempt reserves capacity, tokens and budgets for an attempt. If the runner has been removed since the choice, only
// the budgets are charged.
func (p *Placer) StartAttempt(now time.Duration, request *Request, choice Choice) *Attempt {
	p.recordCall(now)
	p.lastAttemptID++
	attempt := &Attempt{ID: p.lastAttemptID, Runner: choice.Runner, Request: request}
	attempt.sentAt = now
	service := p.ensureService(request.Service)
	service.retryBudget.record(now, p.options.RetryWindow, request.isRetry())
	runner := p.runners[choice.Runner]
	if runner == nil {
		attempt.ended = true
		return attempt
	}
	demand := p.demandOf(service, request)
	attempt.runner = runner
	p.sizeAttempt(now, service, attempt, &demand)
	p.recordSlowStartSend(now, runner)
	runner.addAttempt(attempt)
	runner.backlog.add(now, service.prefillRate(), attempt.prefillWeight)
	p.recordPrefix(now, service, request, &demand, runner)
	if runner.suspect && runner.probe == nil {
		runner.probe = attempt
	}
	return attempt
}

// sizeAttempt computes what an attempt takes of its runner.
func (p *Placer) sizeAttempt(now time.Duration, service *serviceState, attempt *Attempt, demand *tokenDemand) {
	runner := attempt.runner
	owners := p.ownersOf(now, service, attempt.Request, demand)
	cached := owners.isOwner(runner) || demand.prefix != 0 && service.prefixHistory.sentRecently(demand.prefix, runner.key)
	attempt.weight = 1
	if service.isEngine() {
		attempt.tokens = demand.memoryTokens(cached)
		attempt.prefillTokens = demand.uniqueTokens
		if !cached {
			attempt.prefillTokens += demand.sharedTokens
		}
		attempt.prefillWeight = attempt.prefillTokens / service.slotTokens()
		attempt.weight += attempt.prefillWeight
		attempt.announced = attempt.prefillWeight >= p.noticeThreshold
	}
	attempt.load = runner.loadForLimits() + attempt.weight
}

// addAttempt reserves what an attempt takes.
func (r *runnerState) addAttempt(attempt *Attempt) {
	r.ownUsage.add(&usage{attempt.weight, attempt.prefillWeight, attempt.tokens}, 1)
	r.load += attempt.weight
	r.spareSlots -= attempt.weight
	r.spareTokens -= attempt.tokens
	r.ownAttempts++
	r.lastSentAt = attempt.sentAt
	r.pending.PushBack(attempt)
}

// endPrefill releases the weight of an attempt's prefill.
func (r *runnerState) endPrefill(attempt *Attempt) {
	r.ownUsage.add(&usage{attempt.prefillWeight, attempt.prefillWeight, 0}, -1)
	r.load -= attempt.prefillWeight
	r.spareSlots += attempt.prefillWeight
	attempt.weight -= attempt.prefillWeight
	attempt.prefillWeight = 0
	r.pending.Remove(attempt)
}

// removeAttempt releases all that is still reserved for an attempt.
func (r *runnerState) removeAttempt(attempt *Attempt) {
	if !attempt.firstEventSeen {
		r.endPrefill(attempt)
	}
	r.ownUsage.add(&usage{attempt.weight, 0, attempt.tokens}, -1)
	r.load -= attempt.weight
	r.spareSlots += attempt.weight
	r.spareTokens += attempt.tokens
	r.ownAttempts--
	if r.ownAttempts == 0 {
		r.ownUsage = usage{} // drops rounding errors
	}
	if r.probe == attempt {
		r.probe = nil
	}
}

// HandleFirstEvent records the first event or byte of a response; the time that it took shows the backlog of the runner.
func (p *Placer) HandleFirstEvent(now time.Duration, attempt *Attempt) {
	if attempt.ended || attempt.firstEventSeen {
		return
	}
	runner := attempt.runner
	attempt.firstEventSeen = true
	attempt.endedSuspicion = runner.suspect
	runner.endPrefill(attempt)
	runner.markAlive(now)
	p.learnFromFirstEvent(attempt, (now - attempt.sentAt).Seconds())
}

// HandleEvent records a later event of a stream. This policy does not use them; other implementations of the
// caller's interface may.
func (p *Placer) HandleEvent(now time.Duration, attempt *Attempt) {}

// EndAttempt records the end of an attempt. A further call for the same attempt changes no load and no
// learnt value.
func (p *Placer) EndAttempt(now time.Duration, attempt *Attempt, outcome Outcome, progress Progress) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	runner := attempt.runner
	if !attempt.firstEventSeen && outcome == Succeeded {
		p.inferFirstEvent(now, attempt, progress)
	}
	runner.removeAttempt(attempt)
	p.learnFromOutcome(now, attempt, outcome, progress)
}

// inferFirstEvent records the first event of a response that ended without HandleFirstEvent.
func (p *Placer) inferFirstEvent(now time.Duration, attempt *Attempt, progress Progress) {
	elapsed := progress.TimeToFirstEvent
	if elapsed <= 0 {
		elapsed = progress.Duration
	}
	attempt.firstEventSeen = true
	attempt.runner.endPrefill(attempt)
	attempt.runner.markAlive(now)
	p.learnFromFirstEvent(attempt, elapsed.Seconds())
}
