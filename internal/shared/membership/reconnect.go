package membership

import (
	"slices"
)

// pingSeeds pings the seeds that are no alive member's address.
func (n *Node) pingSeeds() {
	n.nextReconnect = n.now + reconnectInterval*n.ProbeInterval*(0.75+0.5*n.rng.Float64())
	if len(n.members) == 0 {
		n.nextReconnect = n.now + n.ProbeInterval*(0.75+0.5*n.rng.Float64())
	}
	for _, seed := range n.Seeds {
		if seed != n.self.Addr && !slices.ContainsFunc(n.members, func(peer *member) bool { return peer.Addr == seed && peer.State == Alive }) {
			n.probeSeq++
			n.send(seed, &Message{Kind: Ping, Seq: n.probeSeq})
		}
	}
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
