package membership

import (
	"net/netip"
	"slices"
)

// pingSeeds pings the seeds that are no alive member's address.
func (n *Node) pingSeeds() {
	// Times are spread by a quarter each way, so that members that lost each other at once do not all ping at once.
	n.nextReconnect = n.now + reconnectInterval*n.ProbeInterval*(0.75+0.5*n.rng.Float64())
	if len(n.members) == 0 {
		n.nextReconnect = n.now + n.ProbeInterval*(0.75+0.5*n.rng.Float64())
	}
	for _, seed := range n.Seeds {
		if seed == n.self.Addr || n.hasAliveMemberAt(seed) {
			continue
		}
		n.probeSeq++
		n.send(seed, &Message{Kind: Ping, Seq: n.probeSeq})
	}
}

// hasAliveMemberAt reports whether an alive member has the address.
func (n *Node) hasAliveMemberAt(addr netip.AddrPort) bool {
	return slices.ContainsFunc(n.members, func(peer *member) bool {
		return peer.Addr == addr && peer.State == Alive
	})
}

// pingDead pings the dead member that was pinged longest ago, so that parts of a cluster find each other after a
// partition.
func (n *Node) pingDead() {
	if n.dead == 0 || n.PlainSWIM {
		return
	}
	var next *member
	for _, peer := range n.members {
		if peer.State == Dead && (next == nil || peer.lastReconnect < next.lastReconnect) {
			next = peer
		}
	}
	if next != nil {
		next.lastReconnect = n.now
		n.probeSeq++
		n.sendPing(next, n.probeSeq)
	}
}
