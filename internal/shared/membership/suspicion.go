package membership

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// suspectRecord returns the record of a member that did not acknowledge this node's probe.
func (n *Node) suspectRecord(peer *member) Record {
	record := peer.Record
	record.State, record.SuspectedBy = Suspect, n.self.Name
	return record
}

// suspicionTimeout returns the duration of a suspicion with the given number of confirmations, in seconds (Lifeguard,
// section IV.B): the longest without any, the least once there are as many as can be expected.
func (n *Node) suspicionTimeout(confirmed int) float64 {
	least := suspicionMultiplier * logScale(len(n.members)) * n.ProbeInterval
	expected := min(suspicionConfirmations, len(n.members)-2) // a confirmation takes a third member
	if n.PlainSWIM || expected < 1 {
		return least
	}
	longest := suspicionMaxMultiplier * least
	return math.Max(least, longest-(longest-least)*math.Log(float64(confirmed+1))/math.Log(float64(expected+1)))
}

// MaxSuspicionTimeout returns the longest duration of a suspicion in seconds, in a cluster of the given size with the given
// probe interval in seconds.
func MaxSuspicionTimeout(members int, probeInterval float64) float64 {
	return suspicionMaxMultiplier * suspicionMultiplier * logScale(members) * probeInterval
}

// confirmSuspicion records that one more member suspects peer, which shortens the timeout. by is that member's name.
func (n *Node) confirmSuspicion(peer *member, by string) {
	confirmed := len(peer.suspectedBy) > suspicionConfirmations
	if n.PlainSWIM || by == "" || confirmed || slices.Contains(peer.suspectedBy, by) {
		return
	}
	peer.suspectedBy = append(peer.suspectedBy, by)
	peer.SuspectedBy = by
	peer.suspicionDeadline = peer.suspectedAt + n.suspicionTimeout(len(peer.suspectedBy)-1)
	n.queueBroadcast(peer.Name)
}

// expireSuspicions declares the members dead whose suspicion has timed out.
func (n *Node) expireSuspicions() {
	for i := len(n.suspicions) - 1; i >= 0; i-- {
		peer := n.suspicions[i]
		if n.now < peer.suspicionDeadline {
			continue
		}
		record := peer.Record
		record.State = Dead
		n.replaceRecord(peer, record, fmt.Sprintf("suspected for %.2f s, witnesses %s",
			n.now-peer.suspectedAt, strings.Join(peer.suspectedBy, ", ")))
	}
}

// logScale returns the decimal logarithm by which timeouts and retransmissions grow with the cluster, at least 1.
func logScale(members int) float64 { return math.Max(1, math.Log10(float64(members+1))) }
