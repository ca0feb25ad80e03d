package membership

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// member is another member as this node knows it.
type member struct {
	Record
	key               uint64   // Key of the name
	stateSince        float64  // time when the state was entered, as far as this node knows
	deadSince         float64  // time when the first member declared it dead; for removal alone
	lastContact       float64  // time of its last message
	lastReconnect     float64  // time of the last ping of it while dead
	suspectedBy       []string // while suspect: the members that suspect it, the first of them first
	suspectedAt       float64  // time when the suspicion began
	suspicionDeadline float64  // time when the suspicion ends
	replay            replayWindow
	agreedViewEpoch   uint64 // viewEpoch in which it last sent the same view digest
	agreedNamesEpoch  uint64 // namesEpoch in which it last sent the same names digest
}

// addableDeadFraction is the fraction of DeadTTL up to which a dead member is added to the view. Members remove a dead one at
// slightly different times; without the margin, one that has removed it would add it again from another's records.
const addableDeadFraction = 0.9

// merge merges a record into the view. from is the member that sent it, empty for this node itself. It returns the record
// that this node has of the same member if that is newer, for the sender; else nil.
func (n *Node) merge(record Record, from string) *Record {
	if record.Name == n.self.Name {
		n.mergeSelf(&record)
		return nil
	}
	peer := n.byName[record.Name]
	if peer == nil {
		n.mergeUnknown(record, from)
		return nil
	}
	order := record.compare(&peer.Record)
	if metadata := record.Metadata; metadata != nil && record.Generation == peer.Generation &&
		(peer.Metadata == nil || metadata.Seq > peer.Metadata.Seq) {
		n.countMember(peer, -1)
		peer.Metadata = metadata
		n.countMember(peer, 1)
		if record.State < Dead {
			n.queueBroadcast(peer.Name)
		}
	}
	switch {
	case order > 0:
		n.replaceRecord(peer, record, n.causeOfChange(record.Name, from))
	case order == 0 && record.State == Suspect:
		n.confirmSuspicion(peer, record.SuspectedBy)
	case order < 0:
		known := peer.outgoingRecord(n.now)
		return &known
	}
	return nil
}

// mergeUnknown adds the member of a record whose name is not known yet.
func (n *Node) mergeUnknown(record Record, from string) {
	isNearRemoval := record.State == Dead && float64(record.DeadFor) >= addableDeadFraction*n.DeadTTL
	if record.State == Left || isNearRemoval || n.PlainSWIM && record.State == Dead {
		return
	}
	if len(n.members) >= maxMembers {
		n.RejectedNames++
		return
	}
	peer := n.addMember(record)
	n.setRecord(peer, record, "reported by "+from, true)
}

// causeOfChange describes for logs why a member's record changed: from is who reported it, empty for the own probe.
func (n *Node) causeOfChange(name, from string) string {
	switch from {
	case "":
		return fmt.Sprintf("no ack of probe %d (of %d members asked to probe, %d sent a nack)",
			n.probe.seq, n.probe.expectedNacks, n.probe.nacks)
	case name:
		return "by itself"
	default:
		return "reported by " + from
	}
}

// replaceRecord replaces the record of a known member by a newer one.
func (n *Node) replaceRecord(peer *member, record Record, cause string) {
	n.countMember(peer, -1)
	if record.Metadata == nil && record.Generation == peer.Generation {
		record.Metadata = peer.Metadata
	}
	if record.Generation != peer.Generation {
		peer.replay = replayWindow{}
	}
	n.setRecord(peer, record, cause, false)
}

// setRecord sets a member's record and starts, ends or restarts its suspicion.
func (n *Node) setRecord(peer *member, record Record, cause string, isNew bool) {
	before := peer.State
	if before == Suspect && record.State == Alive {
		n.Refutations++
	}
	if before == Suspect && record.State != Suspect {
		n.suspicions = slices.DeleteFunc(n.suspicions, func(suspect *member) bool { return suspect == peer })
	}
	peer.Record = record
	peer.DeadFor = 0
	if before != record.State || isNew {
		// DeadFor counts for removal alone. Callers that reserve a dead member's share of a budget do so from stateSince,
		// when this node learnt of the death.
		peer.stateSince = n.now
		peer.deadSince = n.now - float64(record.DeadFor)
		n.changes = append(n.changes, Change{
			Name:        peer.Name,
			From:        before,
			To:          record.State,
			New:         isNew,
			Incarnation: record.Incarnation,
			Cause:       cause,
		})
	}
	if record.State == Suspect {
		if before != Suspect || isNew {
			n.Suspicions++
			n.suspicions = append(n.suspicions, peer)
			peer.suspectedAt = n.now
		}
		peer.suspectedBy = append(peer.suspectedBy[:0], record.SuspectedBy)
		peer.suspicionDeadline = peer.suspectedAt + n.suspicionTimeout(0)
	}
	if record.State == Dead && before != Dead {
		n.Deaths++
	}
	n.countMember(peer, 1)
	n.queueBroadcast(peer.Name)
}

// addMember adds a member with the name of a record. The caller sets its record.
func (n *Node) addMember(record Record) *member {
	peer := &member{key: Key(record.Name), lastReconnect: n.now}
	i, _ := n.searchMember(record.Name)
	n.members = slices.Insert(n.members, i, peer)
	n.byName[record.Name] = peer
	// its first probe comes at a random position of the current round, as in SWIM
	at := n.rng.IntN(len(n.probeOrder) + 1)
	n.probeOrder = slices.Insert(n.probeOrder, at, record.Name)
	return peer
}

// mergeSelf handles a record of this node's own name, and refutes it if need be.
func (n *Node) mergeSelf(record *Record) {
	switch {
	case record.Generation > n.self.Generation:
		n.handleNameClaim(record, nil)
	case record.Generation < n.self.Generation:
		n.queueBroadcast(n.self.Name)
	case record.Incarnation > n.self.Incarnation || record.Incarnation == n.self.Incarnation && record.State != Alive:
		n.refute(record)
	}
}

// refute overrides a record of this node by one with a higher incarnation.
func (n *Node) refute(record *Record) {
	if record.Incarnation+1 >= maxIncarnation {
		return
	}
	n.toggleSelfDigest()
	n.self.Incarnation = record.Incarnation + 1
	n.toggleSelfDigest()
	if record.State >= Dead { // the others may have divided this member's share among themselves
		n.resetRecognition()
	}
	if record.State != Alive {
		n.SelfRefutations++
		if !n.PlainSWIM {
			n.adjustAwareness(1)
		}
	}
	n.queueBroadcast(n.self.Name)
}

// removeExpired removes members that have been dead, or have left, for longer than DeadTTL.
func (n *Node) removeExpired() {
	n.members = slices.DeleteFunc(n.members, func(peer *member) bool {
		expired := peer.State >= Dead && n.now-peer.deadSince > n.DeadTTL
		if expired {
			n.countMember(peer, -1)
			delete(n.byName, peer.Name)
		}
		return expired
	})
}

// selfRecord returns this member's record without metadata.
func (n *Node) selfRecord() Record {
	record := n.self.Record
	record.Metadata = nil
	return record
}

// outgoingRecord returns the member's record as it is sent.
func (m *member) outgoingRecord(now float64) Record {
	r := m.Record
	if r.State == Dead {
		r.DeadFor = float32(math.Max(0, now-m.deadSince))
	}
	if r.State != Suspect {
		r.SuspectedBy = ""
	}
	return r
}

// searchMember returns the position of a name in members, and whether it is there.
func (n *Node) searchMember(name string) (int, bool) {
	return slices.BinarySearchFunc(n.members, name, func(peer *member, name string) int {
		return strings.Compare(peer.Name, name)
	})
}

// randomMembers draws at most count alive members other than except.
func (n *Node) randomMembers(count int, except string) (picked []*member) {
	if len(n.members) == 0 {
		return nil
	}
	for range 3 * count { // a draw may hit a member that is not alive or was drawn before
		peer := n.members[n.rng.IntN(len(n.members))]
		if peer.State == Alive && peer.Name != except && !slices.Contains(picked, peer) {
			picked = append(picked, peer)
			if len(picked) == count {
				break
			}
		}
	}
	return picked
}
