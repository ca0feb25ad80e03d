package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// StartAttempt books an attempt: room, tokens and budgets. A runner that has left meanwhile books nothing but the budgets.
func (p *Placer) StartAttempt(now time.Duration, r *Request, c Choice) *Attempt {
	p.begin(now)
	p.attempts++
	a := &Attempt{ID: p.attempts, Runner: c.Runner, Request: r}
	a.sent = now
	s := p.serviceOf(r.Service)
	s.budget.sent(now, p.options.RetryWindow, r.repeats())
	w := p.runners[c.Runner]
	if w == nil {
		a.ended = true
		return a
	}
	d := p.demandOf(s, r)
	a.runner = w
	p.weigh(now, s, a, &d)
	p.coldSent(now, w)
	w.take(a)
	w.unread.add(now, s.readingRate(), a.reading)
	p.noteChain(now, s, r, &d, w)
	if w.suspect && w.probing == nil {
		w.probing = a
	}
	return a
}

// noteChain remembers where a chain was sent, and how often chains of the route come again.
func (p *Placer) noteChain(now time.Duration, s *service, r *Request, d *demand, w *runner) {
	if d.chain == 0 {
		return
	}
	s.kept.note(now, d.chain, w.key)
	if r.repeats() {
		return
	}
	seen := 0.0
	if s.kept.has(d.chain, anyRunner) {
		seen = 1
	}
	capacity.UpdateMean(&p.route(r.Route).again, seen, againRate)
	s.kept.note(now, d.chain, anyRunner)
}

// weigh works out what an attempt takes of its runner.
func (p *Placer) weigh(now time.Duration, s *service, a *Attempt, d *demand) {
	w := a.runner
	o := p.ownersOf(now, s, a.Request, d)
	kept := o.keeps(w) || d.chain != 0 && s.kept.has(d.chain, w.key)
	a.weight = 1
	if s.isEngine() {
		a.tokens, a.prefill = d.need(kept), d.own
		if !kept {
			a.prefill += d.shared
		}
		a.reading = a.prefill / s.unit()
		a.weight += a.reading
		a.worthTelling = a.reading >= p.tellFrom
	}
	a.load = w.strain() + a.weight
}

// strain is a runner's load as its ceilings see it: near the utilization ceiling is as near as near the load ceiling.
func (w *runner) strain() float64 {
	return math.Max(w.load, w.util/w.ceilings.Utilization*w.ceilings.Load)
}

// take books an attempt on its runner.
func (w *runner) take(a *Attempt) {
	w.own.add(&usage{a.weight, a.reading, a.tokens}, 1)
	w.load, w.room, w.tokens = w.load+a.weight, w.room-a.weight, w.tokens-a.tokens
	w.ownJobs++
	w.sentAt = a.sent
	w.pending.push(a)
}

// lighten takes the weight of reading off: the prompt has been read.
func (w *runner) lighten(a *Attempt) {
	w.own.add(&usage{a.reading, a.reading, 0}, -1)
	w.load, w.room = w.load-a.reading, w.room+a.reading
	a.weight -= a.reading
	a.reading = 0
	w.pending.remove(a)
}

// give books the end of an attempt.
func (w *runner) give(a *Attempt) {
	if !a.first {
		w.lighten(a)
	}
	w.own.add(&usage{a.weight, 0, a.tokens}, -1)
	w.load, w.room, w.tokens = w.load-a.weight, w.room+a.weight, w.tokens+a.tokens
	w.ownJobs--
	if w.ownJobs == 0 {
		w.own = usage{} // whatever rounding has left
	}
	if w.probing == a {
		w.probing = nil
	}
}

// HandleFirstEvent takes the first event or byte of an answer: how long it took shows what waits there.
func (p *Placer) HandleFirstEvent(now time.Duration, a *Attempt) {
	if a.ended || a.first {
		return
	}
	w := a.runner
	a.first, a.returned = true, w.suspect
	w.lighten(a)
	w.answered(now)
	p.learnFirst(a, (now - a.sent).Seconds())
}

// HandleEvent takes another event of a stream.
func (p *Placer) HandleEvent(now time.Duration, a *Attempt) {}

// learnFirst draws on the time to a first answer: how far the region is, how fast prompts are read, what waits.
func (p *Placer) learnFirst(a *Attempt, took float64) {
	w, s := a.runner, a.runner.service
	far := &p.regions[w.place].far
	if *far == 0 || took < *far {
		*far = took
	}
	excess := took - p.expected(s, w, a.prefill)
	capacity.UpdateMean(&w.wait, math.Max(excess, 0), 2*capacity.LearningRate)
	if s.isEngine() && a.prefill > s.unit()/16 && took > *far {
		s.learnSpeed(a.prefill / (took - *far))
	}
	if a.Request.Route != nil && took > lateShare*a.Request.Route.LatencyTarget.Seconds() {
		w.ceilings.RecordOverload(a.load, w.size) // a late start is the early warning of a late end
	}
}

// EndAttempt takes the end of an attempt.
func (p *Placer) EndAttempt(now time.Duration, a *Attempt, outcome Outcome, progress Progress) {
	if outcome == ConnectFailed {
		a.Request.connectFailures++
	}
	if a.ended {
		return
	}
	a.ended = true
	w := a.runner
	if !a.first && outcome == Succeeded {
		p.firstKnown(now, a, progress)
	}
	w.give(a)
	p.learn(now, a, outcome, progress)
}

// firstKnown takes the first answer where nobody told of it when it came.
func (p *Placer) firstKnown(now time.Duration, a *Attempt, progress Progress) {
	after := progress.TimeToFirstEvent
	if after <= 0 {
		after = progress.Duration
	}
	a.first = true
	a.runner.lighten(a)
	a.runner.answered(now)
	p.learnFirst(a, after.Seconds())
}

// learn draws on an outcome.
func (p *Placer) learn(now time.Duration, a *Attempt, outcome Outcome, progress Progress) {
	w := a.runner
	switch outcome {
	case Succeeded:
		p.learnServed(now, a, progress)
		p.blame(now, w, 0)
	case Rejected:
		w.ceilings.RecordOverload(math.Max(a.load, w.ceilings.Load), w.size)
		w.fullUntil = now + time.Duration(fullSpan*w.service.target*float64(time.Second))
	case Failed, Interrupted:
		w.ceilings.RecordOverload(a.load, w.size)
		p.blame(now, w, 1)
	case TimedOut, ConnectFailed:
		w.ceilings.RecordOverload(a.load, w.size)
		w.doubt(now)
		p.blame(now, w, 1)
	case Misdirected: // whoever has the address now is not the runner that was meant
		w.suspectFor = suspectMost
		w.doubt(now)
	}
}

// learnServed draws on a whole answer.
func (p *Placer) learnServed(now time.Duration, a *Attempt, progress Progress) {
	w, r := a.runner, a.Request
	if r.Route == nil {
		return
	}
	stats, took := p.route(r.Route), progress.Duration.Seconds()
	if took <= 0 {
		took = (now - a.sent).Seconds()
	}
	capacity.UpdateMean(&stats.spread, math.Abs(took-stats.took), learnSlow)
	capacity.UpdateMean(&stats.took, took, learnSlow)
	capacity.UpdateMean(&w.service.took, took, learnSlow)
	if s := w.service; s.isEngine() && r.MaxOutputTokens > 0 && progress.Events > 0 {
		out := float64(progress.Events*max(s.Backend.TokensPerEvent, 1)) / float64(r.MaxOutputTokens)
		capacity.UpdateMean(&stats.outShare, math.Min(out, 1), learnSlow)
	}
	if inTime(r, progress) {
		w.ceilings.RecordSuccess(a.load, w.size)
	} else {
		w.ceilings.RecordOverload(a.load, w.size)
	}
}

// inTime says whether an answer earns its full worth.
func inTime(r *Request, progress Progress) bool {
	first := progress.TimeToFirstEvent
	if first <= 0 || r.Route.EventGapTarget == 0 {
		first = progress.Duration
	}
	return first <= r.Route.LatencyTarget && (r.Route.EventGapTarget == 0 || progress.LongestEventGap <= r.Route.EventGapTarget)
}

// blame counts a failure, 1, or a success, 0, and sets a runner aside whose attempts fail more than those of its peers.
func (p *Placer) blame(now time.Duration, w *runner, bad float64) {
	if w.standing.RecordOutcome(bad, w.service.peerErrors(w)) {
		w.standing.Eject(now.Seconds(), w.service.target, p.longest)
	}
}

// peerErrors is the mean error share of the other runners that have been judged.
func (s *service) peerErrors(w *runner) float64 {
	sum, n := 0.0, 0.0
	for _, peer := range s.runners {
		if peer != w && peer.standing.Observed {
			sum, n = sum+peer.standing.ErrorRate, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// doubt notes that a connection or an answer never came.
func (w *runner) doubt(now time.Duration) {
	if w.suspect && now < w.suspectUntil {
		return
	}
	w.suspect = true
	w.suspectFor = min(max(2*w.suspectFor, suspectFirst), suspectMost)
	w.suspectUntil = now + w.suspectFor
}

// answered notes that the runner answers. One that was silent may have become cold meanwhile.
func (w *runner) answered(now time.Duration) {
	if w.suspect {
		w.guarded = now + guardSpan
	}
	w.suspect, w.suspectFor, w.probing = false, 0, nil
}

// doubtful says whether a runner is suspect and not to be tried now: once its span is over, a single request finds out
// whether it is back.
func (w *runner) doubtful(now time.Duration) bool {
	return w.suspect && (now < w.suspectUntil || w.probing != nil)
}

// sharedCause says that so many runners of the service are suspect at once that they are not to blame, or that those left
// could not bear the load.
func (s *service) sharedCause() bool {
	suspect := 0
	for _, w := range s.runners {
		if w.suspect {
			suspect++
		}
	}
	return suspect > 1 && float64(suspect) > suspectAll*float64(len(s.runners))
}
