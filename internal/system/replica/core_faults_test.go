package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// nextFault does one thing to the core and has it end after a while.
func (w *coreWorld) nextFault() {
	if !w.faults {
		return
	}
	w.after(w.between(w.profile.FaultEvery/4, w.profile.FaultEvery), w.nextFault)
	s := w.anySlot()
	if p := w.leader(); p != nil && w.chance(0.4) {
		s = p.slot
	}
	span := w.between(20*time.Millisecond, w.profile.FaultSpan)
	switch w.random.IntN(12) {
	case 0, 1:
		w.restart(s, span)
	case 2:
		w.restart(s, time.Millisecond)
	case 3:
		w.freeze(s, span)
	case 4:
		w.cut(s, span)
	case 5:
		w.setCut(s, w.anySlot(), span)
	case 6:
		w.split(span)
	case 7:
		w.logf("disk of %d hangs for %v", s.number, span)
		s.disk.stalledUntil = w.now + span
	case 8:
		w.logf("disk of %d fails for %v", s.number, span)
		s.disk.failsUntil = w.now + span
	case 9:
		w.lose(s, span)
	case 10:
		w.restartAll(span)
	case 11:
		w.stopAndStart(s, span)
	}
}

func (w *coreWorld) restart(s *coreSlot, down time.Duration) {
	if s.process == nil {
		return
	}
	s.process.kill()
	w.after(down, func() { w.boot(s) })
}

// stopAndStart tells a process to end, which takes as long as its votes need to move, and starts it again.
func (w *coreWorld) stopAndStart(s *coreSlot, down time.Duration) {
	p := s.process
	if p == nil || !w.mayLose(s) {
		return
	}
	w.logf("%d is told to stop", s.number)
	p.leave()
	w.bootOnceEnded(s, p, down)
}

// bootOnceEnded starts a machine some time after a process of it has ended.
func (w *coreWorld) bootOnceEnded(s *coreSlot, ending *coreProcess, down time.Duration) {
	w.after(down, func() {
		if ending.alive {
			w.bootOnceEnded(s, ending, down)
			return
		}
		w.boot(s)
	})
}

// restartAll kills all processes at once.
func (w *coreWorld) restartAll(span time.Duration) {
	if !w.chance(0.3) {
		return
	}
	for _, s := range w.inUse() {
		w.restart(s, w.between(time.Millisecond, span))
	}
}

func (w *coreWorld) freeze(s *coreSlot, span time.Duration) {
	p := s.process
	if p == nil || p.frozen {
		return
	}
	w.logf("%d freezes for %v", s.number, span)
	p.frozen = true
	w.after(span, p.thaw)
}

func (w *coreWorld) setCut(from, to *coreSlot, span time.Duration) {
	way := [2]int{from.number, to.number}
	w.cuts[way]++
	w.after(span, func() { w.cuts[way] = max(w.cuts[way]-1, 0) })
}

// cut takes a machine off the others, one way or both.
func (w *coreWorld) cut(s *coreSlot, span time.Duration) {
	ways := 1 + w.random.IntN(3)
	w.logf("%d is cut off (%d) for %v", s.number, ways, span)
	for _, other := range w.slots {
		if ways&1 != 0 {
			w.setCut(s, other, span)
		}
		if ways&2 != 0 {
			w.setCut(other, s, span)
		}
	}
}

// split cuts the core in two.
func (w *coreWorld) split(span time.Duration) {
	var side []bool
	for range w.slots {
		side = append(side, w.chance(0.5))
	}
	w.logf("split for %v: %v", span, side)
	for i, from := range w.slots {
		for j, to := range w.slots {
			if side[i] != side[j] {
				w.setCut(from, to, span)
			}
		}
	}
}

// lose takes a disk away, where a majority of voters outlives that whatever becomes of changes under way. Its machine
// comes back as a new replica, or another machine at another address takes its place.
func (w *coreWorld) lose(s *coreSlot, span time.Duration) {
	if !w.mayLose(s) {
		return
	}
	if s.process != nil {
		s.process.kill()
	}
	id := s.disk.id
	s.disk = &coreDisk{}
	if w.plant.sameIdentity {
		s.disk.id = id
	}
	s.settings.FirstBoot = false
	w.counts.numbers.losses++
	if w.chance(0.6) {
		w.logf("%d loses its disk", s.number)
		w.after(span, func() { w.boot(s) })
		return
	}
	s.retired = true
	next := w.addSuccessor(s)
	w.logf("%d is lost for good, %d takes its place", s.number, next.number)
	w.after(span, func() { w.boot(next) })
}

// mayLose tells whether in each membership that may be in force most voters have their disks without that of s, and without
// those whose processes are about to end: a machine that stops counts as lost, and its vote may go to one that is lost just
// now.
func (w *coreWorld) mayLose(s *coreSlot) bool {
	if len(w.truth.chain) == 0 {
		return false
	}
	views := append(w.memberships(), w.truth.proposed)
	return w.majorityIntactInAll(views, func(other *coreSlot) bool { return other == s || other.leaving() })
}

// memberships are those that machines go by, or would after a restart.
func (w *coreWorld) memberships() (views []consensus.Membership) {
	for _, s := range w.inUse() {
		if stored := s.disk.load(); stored.Validate() == nil {
			views = append(views, newestMembership(&stored))
		}
		if s.process != nil {
			views = append(views, s.process.group.node.Membership())
		}
	}
	return views
}

func (w *coreWorld) majorityIntactInAll(views []consensus.Membership, without func(*coreSlot) bool) bool {
	return !slices.ContainsFunc(views, func(view consensus.Membership) bool { return !w.majorityIntact(view, without) })
}

// leaving tells whether a machine's process was told to end and still runs.
func (s *coreSlot) leaving() bool { return s.process != nil && s.process.host.leaving }

// majorityIntact tells whether most voters have their disks, some machines' left out.
func (w *coreWorld) majorityIntact(view consensus.Membership, without func(*coreSlot) bool) bool {
	return len(view.Members) == 0 || majorityOfEach(view, func(id consensus.ReplicaID) bool {
		return slices.ContainsFunc(w.inUse(), func(s *coreSlot) bool { return !without(s) && s.id() == id })
	})
}

func newestMembership(stored *consensus.PersistentState) consensus.Membership {
	newest := stored.Snapshot.Membership
	for _, e := range stored.Entries {
		if e.Kind == consensus.EntryMembership {
			newest, _ = consensus.DecodeMembership(e.Data)
		}
	}
	return newest
}

// heal ends all faults.
func (w *coreWorld) heal() {
	w.logf("all faults end")
	w.faults = false
	clear(w.cuts)
	for _, s := range w.inUse() {
		s.disk.stalledUntil, s.disk.failsUntil = 0, 0
		w.boot(s)
		if s.process != nil { // it may end as it was told to
			s.process.thaw()
		}
	}
	for _, o := range w.operators {
		o.finish()
	}
	for _, o := range w.zones {
		o.ending = true
	}
}
