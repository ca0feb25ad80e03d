package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// injectFault does one thing to the core and has it end after a while.
func (w *simulation) injectFault() {
	if !w.faultsEnabled {
		return
	}
	w.schedule(w.uniform(w.profile.FaultInterval/4, w.profile.FaultInterval), w.injectFault)
	s := w.randomMachine()
	if p := w.leader(); p != nil && w.chance(0.4) {
		s = p.slot
	}
	span := w.uniform(20*time.Millisecond, w.profile.FaultDuration)
	switch w.random.IntN(12) {
	case 0, 1:
		w.restart(s, span)
	case 2:
		w.restart(s, time.Millisecond)
	case 3:
		w.pause(s, span)
	case 4:
		w.isolate(s, span)
	case 5:
		w.block(s, w.randomMachine(), span)
	case 6:
		w.partitionNetwork(span)
	case 7:
		w.logf("disk of %d hangs for %v", s.number, span)
		s.disk.stalledUntil = w.now + span
	case 8:
		w.logf("disk of %d fails for %v", s.number, span)
		s.disk.failsUntil = w.now + span
	case 9:
		w.loseDisk(s, span)
	case 10:
		w.restartAll(span)
	case 11:
		w.restartGracefully(s, span)
	}
}

func (w *simulation) restart(s *simMachine, down time.Duration) {
	if s.process == nil {
		return
	}
	s.process.kill()
	w.schedule(down, func() { w.boot(s) })
}

// restartGracefully tells a process to end, which takes as long as its votes need to move, and starts it again.
func (w *simulation) restartGracefully(s *simMachine, down time.Duration) {
	p := s.process
	if p == nil || !w.canLoseDisk(s) {
		return
	}
	w.logf("%d is told to stop", s.number)
	p.shutDown()
	w.bootAfterExit(s, p, down)
}

// bootAfterExit starts a machine some time after a process of it has ended.
func (w *simulation) bootAfterExit(s *simMachine, ending *simProcess, down time.Duration) {
	w.schedule(down, func() {
		if ending.alive {
			w.bootAfterExit(s, ending, down)
			return
		}
		w.boot(s)
	})
}

// restartAll kills all processes at once.
func (w *simulation) restartAll(span time.Duration) {
	if !w.chance(0.3) {
		return
	}
	for _, s := range w.activeMachines() {
		w.restart(s, w.uniform(time.Millisecond, span))
	}
}

func (w *simulation) pause(s *simMachine, span time.Duration) {
	p := s.process
	if p == nil || p.paused {
		return
	}
	w.logf("%d freezes for %v", s.number, span)
	p.paused = true
	w.schedule(span, p.resume)
}

func (w *simulation) block(from, to *simMachine, span time.Duration) {
	way := [2]int{from.number, to.number}
	w.blockedLinks[way]++
	w.schedule(span, func() { w.blockedLinks[way] = max(w.blockedLinks[way]-1, 0) })
}

// isolate takes a machine off the others, one way or both.
func (w *simulation) isolate(s *simMachine, span time.Duration) {
	ways := 1 + w.random.IntN(3)
	w.logf("%d is cut off (%d) for %v", s.number, ways, span)
	for _, other := range w.machines {
		if ways&1 != 0 {
			w.block(s, other, span)
		}
		if ways&2 != 0 {
			w.block(other, s, span)
		}
	}
}

// partitionNetwork cuts the core in two.
func (w *simulation) partitionNetwork(span time.Duration) {
	var side []bool
	for range w.machines {
		side = append(side, w.chance(0.5))
	}
	w.logf("split for %v: %v", span, side)
	for i, from := range w.machines {
		for j, to := range w.machines {
			if side[i] != side[j] {
				w.block(from, to, span)
			}
		}
	}
}

// loseDisk takes a disk away, where a majority of voters outlives that whatever becomes of changes under way. Its machine
// comes back as a new replica, or another machine at another address takes its place.
func (w *simulation) loseDisk(s *simMachine, span time.Duration) {
	if !w.canLoseDisk(s) {
		return
	}
	if s.process != nil {
		s.process.kill()
	}
	id := s.disk.id
	s.disk = &simDisk{}
	if w.injected.reusesIdentity {
		s.disk.id = id
	}
	s.settings.FirstBoot = false
	w.stats.counters.losses++
	if w.chance(0.6) {
		w.logf("%d loses its disk", s.number)
		w.schedule(span, func() { w.boot(s) })
		return
	}
	s.replaced = true
	next := w.addReplacement(s)
	w.logf("%d is lost for good, %d takes its place", s.number, next.number)
	w.schedule(span, func() { w.boot(next) })
}

// canLoseDisk tells whether in each membership that may be in force most voters have their disks without that of s, and without
// those whose processes are about to end: a machine that stops counts as lost, and its vote may go to one that is lost just
// now.
func (w *simulation) canLoseDisk(s *simMachine) bool {
	if len(w.oracle.versions) == 0 {
		return false
	}
	views := append(w.memberships(), w.oracle.proposed)
	return w.majorityIntactInAll(views, func(other *simMachine) bool { return other == s || other.isLeaving() })
}

// memberships are those that machines go by, or would after a restart.
func (w *simulation) memberships() (views []consensus.Membership) {
	for _, s := range w.activeMachines() {
		if stored := s.disk.load(); stored.Validate() == nil {
			views = append(views, newestMembership(&stored))
		}
		if s.process != nil {
			views = append(views, s.process.group.node.Membership())
		}
	}
	return views
}

func (w *simulation) majorityIntactInAll(views []consensus.Membership, without func(*simMachine) bool) bool {
	return !slices.ContainsFunc(views, func(view consensus.Membership) bool { return !w.majorityIntact(view, without) })
}

// isLeaving tells whether a machine's process was told to end and still runs.
func (s *simMachine) isLeaving() bool { return s.process != nil && s.process.host.leaving }

// majorityIntact tells whether most voters have their disks, some machines' left out.
func (w *simulation) majorityIntact(view consensus.Membership, without func(*simMachine) bool) bool {
	return len(view.Members) == 0 || majorityOfEach(view, func(id consensus.ReplicaID) bool {
		return slices.ContainsFunc(w.activeMachines(), func(s *simMachine) bool { return !without(s) && s.id() == id })
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

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.logf("all faults end")
	w.faultsEnabled = false
	clear(w.blockedLinks)
	for _, s := range w.activeMachines() {
		s.disk.stalledUntil, s.disk.failsUntil = 0, 0
		w.boot(s)
		if s.process != nil { // it may end as it was told to
			s.process.resume()
		}
	}
	for _, o := range w.operators {
		o.finish()
	}
	for _, o := range w.evacuationOperators {
		o.finishing = true
	}
}
