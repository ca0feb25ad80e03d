package membership

import (
	"math"
	"net/netip"
)

// This file holds what a member does of its own accord: it leaves, comes back, changes what it tells of itself.

// HandlePause records that the process was paused. Deadlines that passed meanwhile say nothing of the other members,
// and the view must be confirmed again before it is relied on.
func (n *Node) HandlePause(now float64) {
	late := math.Max(0, now-n.now)
	n.Stats.Pauses++
	n.now = now
	n.probe = probe{deadline: now}
	n.indirectProbes = n.indirectProbes[:0]
	n.nextTick = now
	if n.left || n.withdrawn {
		return
	}
	for _, suspect := range n.suspicions {
		suspect.suspectedAt += late
		suspect.suspicionDeadline += late
	}
	n.resetRecognition()
	n.viewChanged()
	n.pingSeeds()
}

// SetMetadata sets the member's own metadata, except Seq, and broadcasts it.
func (n *Node) SetMetadata(now float64, metadata Metadata) {
	before := *n.self.Metadata
	metadata.Seq = before.Seq
	if metadata == before {
		return
	}
	metadata.Seq++
	n.now = now
	if n.left { // a member that has left is in no digest
		n.self.Metadata = &metadata
		return
	}
	n.metadataDigest ^= n.self.digestWithMetadata(n.self.key)
	n.self.Metadata = &metadata
	n.metadataDigest ^= n.self.digestWithMetadata(n.self.key)
	n.queueBroadcast(n.self.Name)
}

// Recognized reports whether enough other members have confirmed that they have this one in their view.
func (n *Node) Recognized() bool { return n.recognized }

// Leave announces that this member stops, so that the others need not detect it.
func (n *Node) Leave(now float64) {
	if n.left || n.withdrawn || !n.started {
		return
	}
	n.now = now
	n.toggleSelfDigest()
	n.self.State = Left
	n.self.stateSince = now
	n.left = true
	n.queueBroadcast(n.self.Name)
	for _, peer := range n.randomMembers(retransmitLimit(len(n.members)), "") {
		n.send(peer.Addr, &Message{Kind: Update})
	}
}

// Rejoin undoes Leave.
func (n *Node) Rejoin(now float64) {
	if !n.left {
		return
	}
	n.left = false
	n.recognized = false
	n.self.State = Alive
	n.self.Incarnation++
	n.self.stateSince = now
	n.now = now
	n.joinedAt = now
	n.nextTick = now
	n.probe = probe{deadline: now}
	n.toggleSelfDigest()
	n.queueBroadcast(n.self.Name)
	n.pingSeeds()
}

// DeclareLeft marks a dead member as left. The caller must know that its process has ended. It returns an
// *UnknownMemberError, or a *NotDeadError for a member in any other state.
func (n *Node) DeclareLeft(now float64, name string) error {
	peer := n.byName[name]
	switch {
	case peer == nil:
		return &UnknownMemberError{name}
	case peer.State == Left:
		return nil
	case peer.State != Dead:
		return &NotDeadError{name, peer.State}
	}
	n.now = now
	record := peer.Record
	record.State = Left
	n.replaceRecord(peer, record, "declared gone by hand")
	return nil
}

// SetSeeds replaces the seeds and pings them.
func (n *Node) SetSeeds(now float64, seeds []netip.AddrPort) {
	n.now = now
	n.Seeds = seeds
	n.pingSeeds()
}
