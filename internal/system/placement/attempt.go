package placement

import "time"

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded     Outcome = iota // whole answer
	Rejected                     // the runner said that it did not run it: full, or too late
	Misdirected                  // 421: another incarnation has the address
	Failed                       // an answer that failed: 5xx of the runner's own
	Interrupted                  // connection lost, spoilt bytes, answer broken off
	TimedOut                     // no answer in time
	ConnectFailed                // no connection came up: surely not run
	Cancelled                    // the client left or the deadline passed; says little of the runner
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
	TimeToFirstEvent time.Duration // from the send to the first event or byte; 0: none came
	LongestEventGap  time.Duration
	Events           int
	Duration         time.Duration
}

// reservation is what an attempt takes of its runner.
type reservation struct {
	runner        *runnerState
	sentAt        time.Duration
	load          float64 // of the runner when it was sent
	weight        float64 // slots: 1, and more while its prompt is read
	prefillWeight float64 // the part of weight that goes with the first event
	tokens        float64 // of the runner's memory
	prefillTokens float64 // tokens of its prompt that are likely to be read
	answered      bool    // something has come
	announced     bool    // its prompt is long enough to be told to other proxies
	recovered     bool    // it showed that a runner which had been silent answers
	ended         bool
	prev, next    *Attempt // among those of which nothing has come yet
}

// attemptList is an intrusive list of attempts in the order in which they were sent.
type attemptList struct{ head, tail *Attempt }

func (l *attemptList) push(a *Attempt) {
	a.prev, a.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = a
	} else {
		l.head = a
	}
	l.tail = a
}

func (l *attemptList) remove(a *Attempt) {
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		l.head = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		l.tail = a.prev
	}
	a.prev, a.next = nil, nil
}

// tokenDemand is what a request asks of an engine's memory.
type tokenDemand struct {
	uniqueTokens     float64 // prompt tokens that no other request shares
	sharedTokens     float64 // prompt tokens that may be kept
	outputTokens     float64 // tokens that come
	prefix           uint64  // of the shared parts; 0: none
	lastSharedTokens float64 // prompt tokens of the last shared part
}

// memoryTokens is the memory that a request takes, in tokens.
func (d *tokenDemand) memoryTokens(kept bool) float64 {
	if kept {
		return d.uniqueTokens + d.outputTokens
	}
	return d.uniqueTokens + d.sharedTokens + d.outputTokens
}

// demandOf computes what a request asks of a service's runners; nothing if they are no engines.
func (p *Placer) demandOf(service *serviceState, request *Request) (demand tokenDemand) {
	if !service.isEngine() {
		return demand
	}
	for i, part := range request.Chunks {
		if i < len(request.Chunks)-1 {
			demand.sharedTokens += float64(part.Tokens)
		} else {
			demand.uniqueTokens += float64(part.Tokens)
		}
	}
	if in := float64(request.InputTokens); in > demand.uniqueTokens+demand.sharedTokens {
		demand.uniqueTokens = in - demand.sharedTokens
	}
	if request.Route != nil && request.Route.PrefixAffinity {
		demand.prefix, demand.lastSharedTokens = prefixHash(request.Chunks), lastSharedTokens(request.Chunks)
	}
	if request.Route != nil {
		demand.outputTokens = float64(request.MaxOutputTokens) * p.statsOf(request.Route).outputShare
	}
	return demand
}

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
	kept := owners.isOwner(runner) || demand.prefix != 0 && service.prefixHistory.sentRecently(demand.prefix, runner.key)
	attempt.weight = 1
	if service.isEngine() {
		attempt.tokens, attempt.prefillTokens = demand.memoryTokens(kept), demand.uniqueTokens
		if !kept {
			attempt.prefillTokens += demand.sharedTokens
		}
		attempt.prefillWeight = attempt.prefillTokens / service.slotTokens()
		attempt.weight += attempt.prefillWeight
		attempt.announced = attempt.prefillWeight >= p.noticeThreshold
	}
	attempt.load = runner.loadForLimits() + attempt.weight
}

// addAttempt reserves what an attempt takes.
func (w *runnerState) addAttempt(attempt *Attempt) {
	w.ownUsage.add(&usage{attempt.weight, attempt.prefillWeight, attempt.tokens}, 1)
	w.load, w.spareSlots, w.spareTokens = w.load+attempt.weight, w.spareSlots-attempt.weight, w.spareTokens-attempt.tokens
	w.ownAttempts++
	w.lastSentAt = attempt.sentAt
	w.pending.push(attempt)
}

// endPrefill releases the weight of an attempt's prefill.
func (w *runnerState) endPrefill(attempt *Attempt) {
	w.ownUsage.add(&usage{attempt.prefillWeight, attempt.prefillWeight, 0}, -1)
	w.load, w.spareSlots = w.load-attempt.prefillWeight, w.spareSlots+attempt.prefillWeight
	attempt.weight -= attempt.prefillWeight
	attempt.prefillWeight = 0
	w.pending.remove(attempt)
}

// removeAttempt releases all that an attempt still holds.
func (w *runnerState) removeAttempt(attempt *Attempt) {
	if !attempt.answered {
		w.endPrefill(attempt)
	}
	w.ownUsage.add(&usage{attempt.weight, 0, attempt.tokens}, -1)
	w.load, w.spareSlots, w.spareTokens = w.load-attempt.weight, w.spareSlots+attempt.weight, w.spareTokens+attempt.tokens
	w.ownAttempts--
	if w.ownAttempts == 0 {
		w.ownUsage = usage{} // whatever rounding has left
	}
	if w.probe == attempt {
		w.probe = nil
	}
}

// HandleFirstEvent records the first event or byte of an answer; the time that it took shows the backlog of the runner.
func (p *Placer) HandleFirstEvent(now time.Duration, attempt *Attempt) {
	if attempt.ended || attempt.answered {
		return
	}
	runner := attempt.runner
	attempt.answered, attempt.recovered = true, runner.suspect
	runner.endPrefill(attempt)
	runner.markAlive(now)
	p.learnFromFirstEvent(attempt, (now - attempt.sentAt).Seconds())
}

// HandleEvent records a later event of a stream. This policy does not use them; others of the same interface may.
func (p *Placer) HandleEvent(now time.Duration, attempt *Attempt) {}

// EndAttempt records the end of an attempt. A second call for the same attempt has no effect.
func (p *Placer) EndAttempt(now time.Duration, attempt *Attempt, outcome Outcome, progress Progress) {
	if outcome == ConnectFailed {
		attempt.Request.connectFailures++
	}
	if attempt.ended {
		return
	}
	attempt.ended = true
	runner := attempt.runner
	if !attempt.answered && outcome == Succeeded {
		p.inferFirstEvent(now, attempt, progress)
	}
	runner.removeAttempt(attempt)
	p.learnFromOutcome(now, attempt, outcome, progress)
}

// inferFirstEvent records the first event of an answer that ended without HandleFirstEvent.
func (p *Placer) inferFirstEvent(now time.Duration, attempt *Attempt, progress Progress) {
	after := progress.TimeToFirstEvent
	if after <= 0 {
		after = progress.Duration
	}
	attempt.answered = true
	attempt.runner.endPrefill(attempt)
	attempt.runner.markAlive(now)
	p.learnFromFirstEvent(attempt, after.Seconds())
}
