package replica

import (
	"maps"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// contactElectionTimeouts is for how many election times neither a leader nor a majority of the voters may be unheard until this
// machine takes itself for cut off. Where a leader is lost, the voters that are left ask each other within two.
const contactElectionTimeouts = 3

// contacts are when messages of other replicas of a group came last, on the host's clock.
type contacts struct {
	startedAt time.Duration // before it nothing could be heard
	lastHeard map[consensus.ReplicaID]time.Duration
}

// record takes it that a member's message came.
func (c *contacts) record(from consensus.ReplicaID, membership *consensus.Membership, now time.Duration) {
	if c.lastHeard == nil {
		c.lastHeard = map[consensus.ReplicaID]time.Duration{}
	}
	if !hasMember(membership, from) {
		return
	}
	c.lastHeard[from] = now
	if len(c.lastHeard) > len(membership.Members) {
		maps.DeleteFunc(c.lastHeard, func(id consensus.ReplicaID, _ time.Duration) bool { return !hasMember(membership, id) })
	}
}

func hasMember(membership *consensus.Membership, id consensus.ReplicaID) bool {
	return slices.ContainsFunc(membership.Members, func(m consensus.Member) bool { return m.ID == id })
}

// heardQuorum says whether a majority of the voters has been heard since a time, this replica counted in; in a joint
// membership, a majority of both voter sets.
func (c *contacts) heardQuorum(self consensus.ReplicaID, membership *consensus.Membership, since time.Duration) bool {
	if len(membership.Members) == 0 {
		return true
	}
	return membership.HasQuorum(func(id consensus.ReplicaID) bool {
		at, known := c.lastHeard[id]
		return id == self || known && at >= since
	})
}

// InContact says whether this machine may be able to have something agreed on soon; see Replicas.
func (h *Host) InContact(partition feed.Partition) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g := h.group(partition)
	if g == nil || g.node == nil {
		return true // its state is being read
	}
	return h.inContact(g, h.now())
}

func (h *Host) inContact(g *group, now time.Duration) bool {
	since := now - contactElectionTimeouts*h.options.ElectionTimeout
	status := g.node.Status()
	if g.contacts.startedAt >= since || status.LastLeaderContact >= since && status.LastLeaderContact > 0 {
		return true
	}
	return g.contacts.heardQuorum(status.ID, &status.Membership, since)
}
