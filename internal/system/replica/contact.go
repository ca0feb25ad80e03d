package replica

import (
	"maps"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// contactElections is for how many election times neither a leader nor a majority of the voters may be unheard until this
// machine takes itself for cut off. Where a leader is lost, the voters that are left ask each other within two.
const contactElections = 3

// contacts are when messages of other replicas of a group came last, on the host's clock.
type contacts struct {
	began time.Duration // before it nothing could be heard
	heard map[consensus.ReplicaID]time.Duration
}

// note takes it that a member's message came.
func (c *contacts) note(from consensus.ReplicaID, membership *consensus.Membership, now time.Duration) {
	if c.heard == nil {
		c.heard = map[consensus.ReplicaID]time.Duration{}
	}
	if !has(membership, from) {
		return
	}
	c.heard[from] = now
	if len(c.heard) > len(membership.Members) {
		maps.DeleteFunc(c.heard, func(id consensus.ReplicaID, _ time.Duration) bool { return !has(membership, id) })
	}
}

func has(membership *consensus.Membership, id consensus.ReplicaID) bool {
	return slices.ContainsFunc(membership.Members, func(m consensus.Member) bool { return m.ID == id })
}

// majority says whether a majority of the voters has been heard since a time, this replica counted in; in a joint
// membership, a majority of both voter sets.
func (c *contacts) majority(self consensus.ReplicaID, membership *consensus.Membership, since time.Duration) bool {
	if len(membership.Members) == 0 {
		return true
	}
	return membership.HasQuorum(func(id consensus.ReplicaID) bool {
		at, known := c.heard[id]
		return id == self || known && at >= since
	})
}

// InContact says whether this machine may be able to have something agreed on soon; see Replicas.
func (h *Host) InContact(partition feed.Partition) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g := h.group(partition)
	if g == nil || g.machine == nil {
		return true // its state is being read
	}
	return h.inContact(g, h.now())
}

func (h *Host) inContact(g *group, now time.Duration) bool {
	since := now - contactElections*h.options.ElectionTimeout
	status := g.machine.Status()
	if g.contacts.began >= since || status.LastLeaderContact >= since && status.LastLeaderContact > 0 {
		return true
	}
	return g.contacts.majority(status.ID, &status.Membership, since)
}
