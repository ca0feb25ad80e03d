package jobreplica

import (
	"cmp"
	"errors"
	"slices"

	"cinderroad/internal/system/consensus"
)

// closeBehind is by how many entries a new copy may be behind as it begins to count.
const closeBehind = 8

// See tells which lives are there to become copies, as the fleet's view has them.
func (c *Copy) See(view []Member) { c.view = view }

func byID(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) }

// Choose picks who should hold copies: one for each machine, zones spread as evenly as they go, the same choice from the
// same members in whatever order. Those in held count as taken already.
func Choose(members, held []Member, n int) (chosen []Member) {
	machines, zones := map[string]bool{}, map[string]int{}
	for _, m := range held {
		machines[m.Machine] = true
		zones[m.Zone]++
	}
	left := slices.Clone(members)
	for len(chosen) < n {
		best := -1
		for i, m := range left {
			if machines[m.Machine] {
				continue
			}
			if best < 0 || cmp.Or(cmp.Compare(zones[m.Zone], zones[left[best].Zone]), cmp.Compare(m.Name, left[best].Name),
				cmp.Compare(m.ID, left[best].ID)) < 0 {
				best = i
			}
		}
		if best < 0 {
			return chosen // fewer machines than copies
		}
		m := left[best]
		chosen = append(chosen, m)
		machines[m.Machine] = true
		zones[m.Zone]++
	}
	return chosen
}

// care is the leader's: it replaces a copy that has not been heard for long, one change at a time, the new one caught up
// first.
func (c *Copy) care() {
	if c.now-c.cared < c.o.Beat {
		return
	}
	c.cared = c.now
	s := c.machine.Status()
	if s.MembershipIndex > s.Commit || s.Transferring {
		return // a change is under way
	}
	counted, coming := c.Copies()
	lost := c.lost(&s, counted)
	if len(coming) > 0 {
		c.carry(&s, coming[0].ID, lost)
		return
	}
	if c.now-c.moved < c.o.Replace {
		return // members that flap do not set off one replacement after the other
	}
	if lost == 0 && len(counted) >= c.o.Copies {
		return
	}
	c.takeIn(counted, lost)
}

// takeIn has the best free member be brought up, where there is one.
func (c *Copy) takeIn(counted []Member, lost uint64) {
	stay := slices.DeleteFunc(slices.Clone(counted), func(m Member) bool { return m.ID == lost })
	free := slices.DeleteFunc(slices.Clone(c.view), func(m Member) bool { return c.holds(m.ID) })
	for _, m := range Choose(free, stay, 1) {
		c.change(append(slices.Clone(c.machine.Membership().Members), m.inGroup(false)))
	}
}

// silent is for how long a copy has not answered this leader, seconds.
func (c *Copy) silent(s *consensus.Status, id uint64) float64 {
	answered, is := s.LastContact[consensus.ReplicaID(id)]
	if !is {
		return 0 // this one itself
	}
	return c.now - answered.Seconds()
}

// lost is the copy that has been silent for longest, where that is too long; 0: none.
func (c *Copy) lost(s *consensus.Status, counted []Member) (lost uint64) {
	longest := c.o.Replace
	for _, m := range counted {
		if silent := c.silent(s, m.ID); silent > longest || silent == longest && lost == 0 {
			lost, longest = m.ID, silent
		}
	}
	return lost
}

// carry brings a new copy on. Once it has caught up the lost one ceases to count, and then it counts: in this order no
// step asks more copies to be there than the one before it did. It goes where it has fallen silent itself, or the lost one
// is back and nobody is missing.
func (c *Copy) carry(s *consensus.Status, learner, lost uint64) {
	counted, _ := c.Copies()
	missing := len(counted) < c.o.Copies
	switch {
	case c.silent(s, learner) >= c.o.Replace, lost == 0 && !missing:
		c.change(c.without(learner))
	case !c.caughtUp(s, learner):
	case missing:
		c.change(c.with(learner))
	default:
		c.change(c.without(lost))
	}
}

func (c *Copy) caughtUp(s *consensus.Status, id uint64) bool {
	match := s.Match[consensus.ReplicaID(id)]
	return match >= s.MembershipIndex && match+closeBehind >= s.Commit && c.silent(s, id) < c.o.Silence
}

// without are the members but for one.
func (c *Copy) without(id uint64) []consensus.Member {
	members := slices.Clone(c.machine.Membership().Members)
	return slices.DeleteFunc(members, func(m consensus.Member) bool { return uint64(m.ID) == id })
}

// with are the members, one of them made to count.
func (c *Copy) with(id uint64) []consensus.Member {
	members := slices.Clone(c.machine.Membership().Members)
	for i := range members {
		members[i].Voter = members[i].Voter || uint64(members[i].ID) == id
	}
	return members
}

// change proposes another set of copies; the agreement takes one at a time.
func (c *Copy) change(members []consensus.Member) {
	if c.machine.ChangeMembership(duration(c.now), consensus.Membership{Members: members}) == nil {
		c.moved = c.now
	}
}

// gone takes the word of one that is a copy, as far as this one knows, and has applied more than it: who has applied less
// may not know yet that this one became a copy. While somebody leads this one, it is none of the replaced.
func (c *Copy) gone(from, index uint64) error {
	if c.machine == nil || !c.holds(from) || index <= c.applied || c.now-c.led < c.o.Silence {
		return errors.New("copies: told to be gone by one that cannot know")
	}
	c.stop("it was replaced", &Replaced{c.o.Me.ID, index})
	return c.stopped
}
