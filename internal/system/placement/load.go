package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// booking is what an attempt takes of its runner.
type booking struct {
	runner       *runner
	sent         time.Duration
	load         float64 // of the runner when it was sent
	weight       float64 // slots: 1, and more while its prompt is read
	reading      float64 // the part of weight that goes with the first event
	tokens       float64 // of the runner's memory
	prefill      float64 // tokens of its prompt that are likely to be read
	first        bool    // something has come
	worthTelling bool    // its prompt is long enough to be told to other proxies
	returned     bool    // it showed that a runner which had been silent answers
	ended        bool
	prev, next   *Attempt // among those of which nothing has come yet
}

// usage is what attempts take of a runner.
type usage struct {
	slots   float64 // weights
	reading float64 // the part of them that is prompts being read
	tokens  float64 // of memory
}

// move moves a running mean.
func (u *usage) move(sample *usage, rate float64) {
	capacity.UpdateMean(&u.slots, sample.slots, rate)
	capacity.UpdateMean(&u.reading, sample.reading, rate)
	capacity.UpdateMean(&u.tokens, sample.tokens, rate)
}

// add adds a share of another usage.
func (u *usage) add(other *usage, share float64) {
	u.slots += other.slots * share
	u.reading += other.reading * share
	u.tokens += other.tokens * share
}

// attemptList holds attempts in the order in which they were sent.
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

// demand is what a request asks of a runner.
type demand struct {
	own    float64 // prompt tokens that no other request shares
	shared float64 // prompt tokens that may be kept
	out    float64 // tokens that come
	chain  uint64  // of the shared parts; 0: none
	last   float64 // prompt tokens of the last shared part
}

// unit is how many prompt tokens weigh as much as a slot: a share of an engine's memory divided by its slots. Prompts being
// read hold others up, while an answer that is being written holds a slot and little else.
func (s *service) unit() float64 {
	if s.Backend == nil || s.Backend.Capacity <= 0 || s.Backend.CacheTokens <= 0 {
		return math.Inf(1)
	}
	return slotMemory * float64(s.Backend.CacheTokens) / float64(s.Backend.Capacity)
}

// isEngine says whether the runners of the service have a memory of tokens.
func (s *service) isEngine() bool { return s.Backend != nil && s.Backend.CacheTokens > 0 }

// demandOf works out what a request asks of a service's runners.
func (p *Placer) demandOf(s *service, r *Request) (d demand) {
	if !s.isEngine() {
		return d
	}
	for i, part := range r.Chunks {
		if i < len(r.Chunks)-1 {
			d.shared += float64(part.Tokens)
		} else {
			d.own += float64(part.Tokens)
		}
	}
	if in := float64(r.InputTokens); in > d.own+d.shared {
		d.own = in - d.shared
	}
	if r.Route != nil && r.Route.PrefixAffinity {
		d.chain, d.last = chainOf(r.Chunks), lastShared(r.Chunks)
	}
	if r.Route != nil {
		d.out = float64(r.MaxOutputTokens) * p.route(r.Route).outShare
	}
	return d
}

// aim notes the aim of a request's route.
func (s *service) aim(r *Request) {
	if r.Route == nil || r.Route.LatencyTarget <= 0 {
		return
	}
	target := r.Route.LatencyTarget.Seconds()
	if target < s.target {
		s.target = target
	}
	capacity.UpdateMean(&s.target, target, aimRate)
}

// Tick rebuilds the plan of a monitoring period and says when it wants to be called again.
func (p *Placer) Tick(now time.Duration) (next time.Duration) {
	p.begin(now)
	p.settle(now)
	if elapsed := now - p.planAt; elapsed >= planPeriod {
		p.rebuild(now, elapsed.Seconds())
	}
	return p.planAt + planPeriod
}

// rebuild makes the capacity plan of a period: spare room is the load ceiling less the derived load. There are no load
// reports: the load is this proxy's own, what the others are likely to have there, and what waits have shown.
func (p *Placer) rebuild(now time.Duration, elapsed float64) {
	p.planAt = now
	p.paceNotices(elapsed)
	for _, s := range p.services {
		p.measure(now, s, elapsed)
		p.plan(now, s)
	}
}

// freshen makes the plan of a service anew where others tell of their prompts: what was told is read meanwhile.
func (p *Placer) freshen(now time.Duration, s *service) {
	if p.heard && s.isEngine() && now-s.plannedAt >= freshPlan {
		p.plan(now, s)
	}
}

// measure moves the running means of a service's runners.
func (p *Placer) measure(now time.Duration, s *service, elapsed float64) {
	rate, fade := 1-math.Exp(-elapsed/meanSpan), math.Exp(-elapsed/waitFade)
	recovered := math.Min(elapsed/p.longest, 1)
	s.mean = usage{}
	for _, w := range s.runners {
		w.mean.move(&w.own, rate)
		w.wait *= fade
		if a := w.pending.head; a != nil { // it has been waiting for longer than is usual: fresher news than any end
			w.wait = math.Max(w.wait, (now-a.sent).Seconds()-p.expected(s, w, a.prefill))
		}
		w.ceilings.Recover(w.size, recovered)
		s.mean.add(&w.mean, 1/float64(len(s.runners)))
	}
}

// plan works out the room of a service's runners.
func (p *Placer) plan(now time.Duration, s *service) {
	s.plannedAt = now
	sum, n := 0.0, 0.0
	for _, w := range s.runners {
		p.derive(now, s, w)
		if w.standing.Observed && !w.Draining {
			sum, n = sum+w.room, n+1
		}
	}
	for _, w := range s.runners {
		if !w.standing.Observed && n > 0 { // not heard from yet: the mean room of the others
			w.room = math.Min(w.ceilings.Load*warmth(now, w), sum/n) - w.own.slots
		}
		if w.util >= w.ceilings.Utilization {
			w.room = math.Min(w.room, 0)
		}
	}
}

// derive works out a runner's load from this proxy's own requests there, from what the others are likely to have there,
// and from the waits that were seen; and the room that is left of its ceiling.
func (p *Placer) derive(now time.Duration, s *service, w *runner) {
	all, others := w.own, p.others()
	all.add(&s.mean, others)
	if p.informed(now) {
		guessed := all.reading - w.own.reading
		known := math.Max(w.unread.left(now, s.readingRate())-w.own.reading, 0)
		all.slots, all.reading = all.slots+known-guessed, w.own.reading+known
	}
	waiting := s.backlog(w)
	w.taken = all.slots - all.reading
	w.load = all.slots + math.Max(waiting-all.reading, 0)
	w.util = w.load / w.size
	w.tokens = math.Inf(1)
	if s.isEngine() {
		w.util = s.readingTime(math.Max(waiting, all.reading)) / (lateShare * s.target)
		w.tokens = memoryShare*float64(s.Backend.CacheTokens) - all.tokens
	}
	w.room = capacity.SpareCapacity(w.ceilings.Load, warmth(now, w), w.load)
}

// backlog is the load that waits have shown, in slots.
func (s *service) backlog(w *runner) float64 {
	slots := 0.0
	switch {
	case w.wait <= 0:
	case s.isEngine():
		slots = w.wait * s.speed / s.unit()
	case s.took > 0:
		slots = w.wait / s.took * w.size
	}
	return math.Min(slots, mostBacklog*w.size)
}

// readingTime is how long an engine reads prompts of such a weight, in seconds; 0: its speed is not known.
func (s *service) readingTime(slots float64) float64 {
	if s.speed <= 0 {
		return 0
	}
	return slots * s.unit() / s.speed
}

// warmth is the share of its ceiling that a runner is held to bear: it climbs while a runner that returned cold warms up.
func warmth(now time.Duration, w *runner) float64 {
	if !w.isCold(now) {
		return 1
	}
	since := w.service.SlowStartDuration - max(w.SlowStartUntil-now, 0)
	if now >= w.SlowStartUntil || w.service.SlowStartDuration <= 0 {
		since = 0 // it may be cold, nobody knows since when
	}
	return capacity.Warmth(coldLoad, since.Seconds(), max(w.service.SlowStartDuration, time.Second).Seconds())
}

// expected is how long a first answer of a runner without a backlog takes, in seconds.
func (p *Placer) expected(s *service, w *runner, prefill float64) float64 {
	least := p.regions[w.place].far
	if s.speed > 0 {
		return least + prefill/s.speed
	}
	return least + s.target*lateShare
}
