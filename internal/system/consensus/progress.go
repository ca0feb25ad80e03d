package consensus

import "time"

// progressState says how entries are sent to a member.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until it is known where the logs agree
	stateReplicate                      // appends follow each other without waiting, up to Options.MaxInflightAppends
	stateSnapshot                       // a snapshot is on its way
)

// progress is another member as its leader knows it.
type progress struct {
	id              ReplicaID
	state           progressState
	match           uint64 // it surely holds the log up to here
	next            uint64 // entry to be sent next
	sentCommit      uint64 // commit that it was told
	probeSent       bool   // probing: an append is under way
	heartbeatWanted bool   // an append is wanted, even an empty one
	inflights       []uint64
	lastSentAt      time.Duration // of the last append that is answered
	snapshotSentAt  time.Duration
	lastContact     time.Duration
	ackedRound      uint64 // last one answered

	// How fast it catches up: goal was the end of the log at catchUpStartedAt; lag is how long it took to reach the one before.
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

// freeInflights frees the appends that end up to an index.
func (p *progress) freeInflights(index uint64) {
	freed := 0
	for freed < len(p.inflights) && p.inflights[freed] <= index {
		freed++
	}
	p.inflights = p.inflights[freed:]
}

// updateCatchUp notes how long it took to reach the goal, and sets the next one.
func (p *progress) updateCatchUp(last uint64, now time.Duration) {
	if p.match < p.catchUpTarget {
		return
	}
	p.catchUpDuration = now - p.catchUpStartedAt
	p.catchUpTarget = last
	p.catchUpStartedAt = now
}

// keepsUp tells whether a member is behind the end of the log by less than a span of time.
func (p *progress) keepsUp(now, span time.Duration) bool {
	return p.catchUpDuration < span && now-p.catchUpStartedAt < span
}
