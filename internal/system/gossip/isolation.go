package gossip

import (
	"slices"

	"cinderroad/internal/shared/membership"
)

// isolationProbes is the number of probe intervals without an acknowledgment after which this process counts as
// isolated. In each interval it probes a member, directly and through others.
const isolationProbes = 4.0

// isolation retains the members as they were when one of them last acknowledged a probe of this process. What an
// isolated process detects by timeouts proves nothing about the others: it may receive nothing, or its own messages may be
// lost. Times are in seconds, on the node's clock.
type isolation struct {
	lastAckAt float64  // time of the last acknowledgment
	confirmed []Member // the members at lastAckAt, while this process is isolated; nil otherwise
}

// handleMessage records a message of another member.
func (iso *isolation) handleMessage(now float64, message *membership.Message) {
	if message.Kind == membership.Ack {
		iso.lastAckAt = now
		iso.confirmed = nil
	}
}

// update retains the members once no acknowledgment came for timeout seconds. changedAt returns when a member's state
// changed.
func (iso *isolation) update(now, timeout float64, view func() []Member, changedAt func(*Member) float64) {
	if iso.confirmed != nil || now-iso.lastAckAt < timeout {
		return
	}
	iso.confirmed = slices.Clone(view())
	for i := range iso.confirmed {
		if member := &iso.confirmed[i]; changedAt(member) > iso.lastAckAt {
			member.State = stateBefore(member.State)
		}
	}
}

// stateBefore returns the state from which a member at least was declared to be in this one, by a timeout.
func stateBefore(state State) State {
	switch state {
	case Suspect:
		return Alive
	case Dead:
		return Suspect // at best: a suspicion that was pending at lastAckAt has expired
	}
	return state
}
