package consensus

import "time"

// progressState tells how the leader sends entries to a peer.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until an index is found at which the logs agree
	stateReplicate                      // pipelined appends, up to Config.MaxInflightAppends
	stateSnapshot                       // a snapshot is in flight, no appends but heartbeats
)

// progress is what a leader knows of a peer's log.
type progress struct {
	id              ReplicaID
	state           progressState
	match           uint64        // the peer is known to hold the log up to this index
	next            uint64        // index of the next entry to send
	sentCommit      uint64        // commit index sent last
	probeSent       bool          // in stateProbe: an append is in flight
	heartbeatWanted bool          // an append has to be sent, even without entries
	inflights       []uint64      // last indexes of the unacknowledged appends, ascending
	lastSentAt      time.Duration // when the last append that demands a reply was sent
	snapshotSentAt  time.Duration
	lastContact     time.Duration // when the last reply was received
	ackedRound      uint64        // last round that the peer replied to

	// The speed of catching up: catchUpTarget was the last index of the leader's log at catchUpStartedAt, catchUpDuration is
	// how long the peer took to reach the target before.
	catchUpTarget    uint64
	catchUpStartedAt time.Duration
	catchUpDuration  time.Duration
}

func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = next
	p.probeSent = false
	p.inflights = nil
}

func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.next = p.match + 1
	p.inflights = nil
}

func (p *progress) becomeSnapshot(now time.Duration) {
	p.state = stateSnapshot
	p.snapshotSentAt = now
	p.inflights = nil
}

// freeInflights drops the in-flight appends that end at or before an index.
func (p *progress) freeInflights(index uint64) {
	freed := 0
	for freed < len(p.inflights) && p.inflights[freed] <= index {
		freed++
	}
	p.inflights = p.inflights[freed:]
}

// updateCatchUp records how long the peer took to reach its target, once it has, and sets the next target.
func (p *progress) updateCatchUp(last uint64, now time.Duration) {
	if p.match < p.catchUpTarget {
		return
	}
	p.catchUpDuration = now - p.catchUpStartedAt
	p.catchUpTarget = last
	p.catchUpStartedAt = now
}

// keepsUp reports whether the peer reaches the end of the leader's log within a limit.
func (p *progress) keepsUp(now, limit time.Duration) bool {
	return p.catchUpDuration < limit && now-p.catchUpStartedAt < limit
}
