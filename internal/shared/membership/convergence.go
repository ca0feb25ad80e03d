package membership

import (
	"math"
	"slices"
)

// toggleSelfDigest adds the own record to the digests, or removes it: both are the same exclusive or.
func (n *Node) toggleSelfDigest() {
	n.viewDigest ^= n.self.Record.digest(n.self.key)
	n.metadataDigest ^= n.self.digestWithMetadata(n.self.key)
	n.namesDigest ^= n.self.key
	n.viewChanged()
	n.namesChanged()
}

// countMember adds another member's record to counts and digests (by = 1), or removes it (by = -1).
func (n *Node) countMember(peer *member, by int) {
	switch peer.State {
	case Alive:
		n.alive += by
	case Suspect:
		n.suspects += by
	case Dead:
		n.dead += by
	default:
		return // members remove one that has left at different times, so it must be in no digest
	}
	n.viewDigest ^= peer.Record.digest(peer.key)
	n.metadataDigest ^= peer.digestWithMetadata(peer.key)
	n.viewChanged()
	if peer.State != Dead {
		n.namesDigest ^= peer.key
		n.namesChanged()
	}
}

func (n *Node) viewChanged() {
	n.viewEpoch++
	n.viewAgreements = 0
	n.markDiverged()
}

func (n *Node) namesChanged() {
	n.namesEpoch++
	n.namesAgreements = 0
	n.namesDifferedAt = n.now
}

func (n *Node) markDiverged() {
	if n.converged {
		n.converged = false
		n.divergedAt = n.now
	}
}

// agreementThreshold returns how many members must agree until all are assumed to agree.
func (n *Node) agreementThreshold() int {
	return min(n.alive, 2+int(math.Ceil(math.Log2(float64(n.alive+1)))))
}

// updateConvergence updates converged and recognized. The view has converged once agreementThreshold members have sent
// the same digest since it last changed, and none has sent another one for agreementDelay. The node is recognized
// on the same condition for the names alone.
func (n *Node) updateConvergence() {
	if 2*(n.alive+1) < n.alive+1+n.suspects+n.dead { // this node may be in the minority of a partition
		n.resetRecognition()
	}
	namesAgree := n.namesAgreements >= n.agreementThreshold() && n.now-n.namesDifferedAt >= agreementDelay*n.ProbeInterval
	if !n.recognized && n.contacted && n.alive > 0 && namesAgree {
		n.recognized = true
	}
	if !n.converged && n.viewAgreements >= n.agreementThreshold() && n.now-n.viewDifferedAt >= agreementDelay*n.ProbeInterval {
		n.converged = true
		n.convergenceTimes = append(n.convergenceTimes, n.now-n.divergedAt)
	}
	if n.converged && n.now-n.lastUpdateAt >= agreementDelay*n.ProbeInterval {
		// All members have the updates: further transmissions would be redundant.
		n.broadcasts = slices.DeleteFunc(n.broadcasts, func(b broadcast) bool { return b.transmits > 0 })
	}
}

// resetRecognition records that other members may no longer have this one in their view. They must confirm it anew.
func (n *Node) resetRecognition() {
	n.recognized = false
	n.namesChanged()
}

// TakeConvergenceTimes returns how long each convergence since the last call took, in seconds.
func (n *Node) TakeConvergenceTimes() []float64 {
	times := n.convergenceTimes
	n.convergenceTimes = nil
	return times
}

// recordAgreement updates the count of members that agree in the current epoch. at is the epoch in which the member
// last agreed.
func recordAgreement(at *uint64, epoch uint64, count *int, same bool) {
	switch {
	case same && *at != epoch:
		*at = epoch
		*count++
	case !same && *at == epoch:
		*at = 0
		*count--
	}
}
