package replica

import (
	"maps"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// contactElectionTimeouts is the number of election timeouts without contact to a leader or to a majority of the
// voters after which this machine considers itself cut off. After the loss of a leader, the remaining voters contact
// each other within two.
const contactElectionTimeouts = 3

// contacts records when messages of the other members of a group were last received, on the host's clock.
type contacts struct {
	startedAt time.Duration // when the group was started; nothing could be received before
	// lastReceivedAt is the time of the last message of each member; one that has sent none is absent.
	lastReceivedAt map[consensus.ReplicaID]time.Duration
}

// record records a message of a replica. Replicas that are not members are ignored, which bounds the map.
func (c *contacts) record(from consensus.ReplicaID, membership *consensus.Membership, now time.Duration) {
	if c.lastReceivedAt == nil {
		c.lastReceivedAt = map[consensus.ReplicaID]time.Duration{}
	}
	if !hasMember(membership, from) {
		return
	}
	c.lastReceivedAt[from] = now
	if len(c.lastReceivedAt) > len(membership.Members) {
		maps.DeleteFunc(c.lastReceivedAt, func(id consensus.ReplicaID, _ time.Duration) bool {
			return !hasMember(membership, id)
		})
	}
}

// hasMember reports whether a replica is a member.
func hasMember(membership *consensus.Membership, id consensus.ReplicaID) bool {
	return slices.ContainsFunc(membership.Members, func(m consensus.Member) bool { return m.ID == id })
}

// hasQuorumSince reports whether a majority of the voters, this replica included, sent a message at or after a time; in
// a joint membership, a majority of both voter sets. It holds for an empty membership.
func (c *contacts) hasQuorumSince(self consensus.ReplicaID, membership *consensus.Membership, since time.Duration) bool {
	if len(membership.Members) == 0 {
		return true
	}
	return membership.HasQuorum(func(id consensus.ReplicaID) bool {
		at, known := c.lastReceivedAt[id]
		return id == self || known && at >= since
	})
}

// InContact implements Replicas.
func (h *Host) InContact(partition feed.Partition) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g := h.group(partition)
	if g == nil || g.node == nil {
		return true // not started: the state is still being loaded
	}
	return h.inContact(g, h.now())
}

// inContact is InContact for a started group, with the host's mutex held.
func (h *Host) inContact(g *group, now time.Duration) bool {
	since := now - contactElectionTimeouts*h.options.ElectionTimeout
	status := g.node.Status()
	if g.contacts.startedAt >= since || status.LastLeaderContact >= since && status.LastLeaderContact > 0 {
		return true
	}
	return g.contacts.hasQuorumSince(status.ID, &status.Membership, since)
}
