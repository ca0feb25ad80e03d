package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

func (w *world) anySlot() *slot { return w.slots[w.random.IntN(len(w.slots))] }

// nextFault does one thing to the cluster and has it end after a while.
func (w *world) nextFault() {
	if !w.faults {
		return
	}
	w.after(w.between(w.profile.FaultEvery/4, w.profile.FaultEvery), w.nextFault)
	s := w.anySlot()
	span := w.between(10*time.Millisecond, w.profile.FaultSpan)
	switch w.random.IntN(14) {
	case 0, 1:
		w.restart(s, span)
	case 2:
		w.restart(s, time.Millisecond)
	case 3:
		w.cut(s, span)
	case 4:
		w.cutPair(s, w.anySlot(), span)
	case 5:
		w.split(span)
	case 6:
		if s.process != nil {
			p := s.process
			p.freeze()
			w.after(span, p.thaw)
		}
	case 7:
		w.logf("disk of %d hangs for %v", s.id, span)
		s.disk.stalledUntil = w.now + span
	case 8:
		w.wipe(s, span)
	case 9:
		if w.chance(0.3) {
			for _, each := range w.slots {
				w.restart(each, w.between(time.Millisecond, span))
			}
		}
	case 10:
		w.onLeader(func(p *process) { w.restart(p.slot, span) })
	case 11:
		w.onLeader(func(p *process) { w.cut(p.slot, span) })
	case 12:
		w.onLeader(func(p *process) { w.setCut(p.slot.number, s.number, 2*time.Second) })
	case 13:
		w.onLeader(func(p *process) { w.betray(p.slot, s) })
	}
}

// betray has one replica not hear its leader, and the others forget, when it has noticed, that they heard it.
func (w *world) betray(leader, deaf *slot) {
	w.logf("%d does not hear %d, the others restart", deaf.id, leader.id)
	w.setCut(leader.number, deaf.number, 2*time.Second)
	w.quietUntil = w.now + 2*time.Second // a log without the newest entries would not be voted for
	w.after(w.between(700*time.Millisecond, 1500*time.Millisecond), func() {
		for _, s := range w.slots {
			if s != leader && s != deaf {
				w.restart(s, time.Millisecond)
			}
		}
	})
}

func (w *world) restart(s *slot, down time.Duration) {
	if s.process == nil {
		return
	}
	s.process.kill()
	w.after(down, func() { w.boot(s) })
}

func (w *world) setCut(from, to int, span time.Duration) {
	w.cuts[[2]int{from, to}] = true
	w.after(span, func() { delete(w.cuts, [2]int{from, to}) })
}

// cut takes a slot off the others, one way or both.
func (w *world) cut(s *slot, span time.Duration) {
	ways := 1 + w.random.IntN(3)
	w.logf("%d is cut off (%d) for %v", s.id, ways, span)
	for _, other := range w.slots {
		if ways&1 != 0 {
			w.setCut(s.number, other.number, span)
		}
		if ways&2 != 0 {
			w.setCut(other.number, s.number, span)
		}
	}
}

func (w *world) cutPair(a, b *slot, span time.Duration) {
	w.logf("%d -> %d is cut for %v", a.id, b.id, span)
	w.setCut(a.number, b.number, span)
	if w.chance(0.5) {
		w.setCut(b.number, a.number, span)
	}
}

// split cuts the cluster in two.
func (w *world) split(span time.Duration) {
	w.logf("split for %v", span)
	var side []bool
	for range w.slots {
		side = append(side, w.chance(0.5))
	}
	for i := range w.slots {
		for j := range w.slots {
			if side[i] != side[j] {
				w.setCut(i, j, span)
			}
		}
	}
}

// wipe takes disks away, as many as a majority of voters outlives, and has their machines return as new replicas.
func (w *world) wipe(s *slot, span time.Duration) {
	if !w.settled() {
		return
	}
	n := 1 + w.random.IntN(max((len(w.slots)-1)/2, 1))
	if len(w.slots) < 3 {
		return
	}
	for i := range n {
		each := w.slots[(s.number+i)%len(w.slots)]
		w.logf("%d loses its disk", each.id)
		if each.process != nil {
			each.process.kill()
		}
		each.disk = &disk{}
		w.lastID++
		each.id = w.lastID
		w.after(span, func() { w.boot(each) })
	}
}

// settled tells whether all slots are voters and nobody else is, whatever may become of changes that are under way.
func (w *world) settled() bool {
	views := []Membership{w.truth.membership, w.truth.proposed}
	for _, s := range w.slots {
		l := newLog(s.disk.stored.normalized())
		views = append(views, l.lastMembership().membership)
	}
	return w.whole(views) && w.agreed()
}

// agreed tells whether all slots are voters and nobody else is, in every running replica's view and in what is
// committed.
func (w *world) agreed() bool {
	views := []Membership{w.truth.membership}
	for _, p := range w.processes() {
		views = append(views, p.machine.membership())
	}
	return w.whole(views)
}

func (w *world) whole(views []Membership) bool {
	for _, view := range views {
		if len(view.Members) != len(w.slots) || view.Joint() {
			return false
		}
		for _, s := range w.slots {
			if !view.isVoter(s.id) {
				return false
			}
		}
	}
	return true
}

// onLeader does something with a replica that holds itself for the leader.
func (w *world) onLeader(do func(p *process)) {
	var leaders []*process
	for _, p := range w.processes() {
		if p.machine.role == Leader && !p.frozen {
			leaders = append(leaders, p)
		}
	}
	if len(leaders) > 0 {
		do(leaders[w.random.IntN(len(leaders))])
	}
}

// propose has a command proposed and a read begun.
func (w *world) propose() {
	wait := w.between(w.profile.Proposals/2, w.profile.Proposals)
	if !w.faults {
		wait = max(wait, 100*time.Millisecond)
	}
	w.after(wait, w.propose)
	if w.now < w.quietUntil {
		return
	}
	w.onLeader(func(p *process) {
		if p.machine.log.lastIndex()-p.machine.log.commit > 50 || !w.faults && w.behind() {
			return
		}
		p.do(func(m *Node) {
			for range 1 + w.random.IntN(3) {
				w.token++
				data := binary.BigEndian.AppendUint64(nil, w.token)
				_, _, err := m.Propose(p.clock(), append(data, make([]byte, w.random.IntN(40))...))
				if err != nil && !errors.As(err, new(*NotLeaderError)) {
					w.fail("propose: %v", err)
				}
			}
		})
	})
	if !w.chance(0.3) {
		return
	}
	for _, p := range w.processes() {
		if p.machine.role == Leader || w.chance(0.05) {
			w.token++
			token := w.token
			p.do(func(m *Node) {
				w.truth.asked[token] = len(w.truth.committed)
				m.ReadIndex(p.clock(), token)
			})
		}
	}
}

// behind tells whether a replica has to catch up, for which the rates of the profile may be too slow under load.
func (w *world) behind() bool {
	return slices.ContainsFunc(w.processes(), func(p *process) bool {
		return p.applied+200 < uint64(len(w.truth.committed))
	})
}

// operate repairs the membership as an operator would, and at times does something strange.
func (w *world) operate() {
	w.after(w.between(50*time.Millisecond, 300*time.Millisecond), w.operate)
	w.onLeader(func(p *process) {
		p.do(func(m *Node) {
			to, is := w.wanted(m.membership())
			if w.faults && w.chance(w.profile.Mischief) {
				to, is = w.strange(p)
			}
			if !is {
				return
			}
			err := m.ChangeMembership(p.clock(), to)
			if err == nil {
				w.truth.proposed = to
			}
			w.logf("%d changes the membership to %v: %v", p.id, to, err)
			if errors.As(err, new(*InvalidMembershipError)) {
				w.fail("change of membership from %v to %v: %v", m.membership(), to, err)
			}
		})
	})
}

// wanted is the next step towards a membership of all slots.
func (w *world) wanted(now Membership) (Membership, bool) {
	to := Membership{Members: slices.Clone(now.Members)}
	for _, s := range w.slots {
		if !now.has(s.id) {
			to.Members = append(to.Members, Member{ID: s.id, Node: fmt.Sprint(s.number)})
			return to, true
		}
	}
	if to, is := w.wantedVotes(now); is && w.chance(0.6) {
		return to, true
	}
	for i, member := range now.Members {
		if w.slotOf(member.ID) == nil && (w.chance(0.2) || w.allVote(now)) {
			to.Members = slices.Delete(to.Members, i, i+1)
			return to, true
		}
	}
	for i, member := range now.Members {
		if !member.Voter && w.slotOf(member.ID) != nil {
			to.Members[i].Voter = true
			return to, true
		}
	}
	return to, false
}

// wantedVotes gives the votes of replicas that are gone to those in their places, through a joint membership.
func (w *world) wantedVotes(now Membership) (Membership, bool) {
	to := Membership{Members: slices.Clone(now.Members)}
	for i, member := range now.Members {
		to.Members[i].Voter = w.slotOf(member.ID) != nil
	}
	return to, !slices.Equal(to.Members, now.Members)
}

func (w *world) allVote(now Membership) bool {
	for _, s := range w.slots {
		if !now.isVoter(s.id) {
			return false
		}
	}
	return true
}

// strange is a change that nobody needs, or a handing over of leadership.
func (w *world) strange(p *process) (Membership, bool) {
	now := p.machine.membership()
	to := Membership{Members: slices.Clone(now.Members)}
	i := w.random.IntN(len(to.Members))
	voters := 0
	for _, member := range to.Members {
		if member.Voter && w.slotOf(member.ID) != nil {
			voters++
		}
	}
	switch w.random.IntN(6) {
	case 0:
		w.logf("%d hands over", p.id)
		p.machine.TransferLeadership(p.clock(), to.Members[i].ID*ReplicaID(w.random.IntN(2)))
		return to, false
	case 1:
		w.logf("%d steps down", p.id)
		p.machine.StepDown(p.clock())
		return to, false
	case 2:
		to.Members[i].Address += "'"
		return to, true
	}
	if len(to.Members) != len(w.slots) || voters != len(w.slots) || voters < 2 {
		return to, false // the majority must be there without those that are out already
	}
	if w.chance(0.3) {
		for out := range w.random.IntN(voters) {
			to.Members[(i+out)%voters].Voter = false
		}
		return to, !slices.Equal(to.Members, now.Members)
	}
	if w.chance(0.5) {
		to.Members[i].Voter = false
		return to, true
	}
	to.Members = slices.Delete(to.Members, i, i+1)
	return to, true
}

// heal ends all faults.
func (w *world) heal() {
	w.logf("all faults end")
	w.faults = false
	clear(w.cuts)
	for _, s := range w.slots {
		s.disk.stalledUntil = 0
		w.boot(s)
		s.process.thaw()
	}
}
