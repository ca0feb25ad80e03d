package gossip

import (
	"slices"

	"cinderroad/internal/shared/membership"
)

// isolationProbes is for how many periods nobody answers until this process counts as cut off from all. It asks some member in
// each, and others to ask in its place.
const isolationProbes = 4.0

// isolation keeps the members as they were when one of them last answered this process: what it finds out by silence alone
// says nothing of others, since the silence may be its own, be it that it hears nobody or that nobody hears it. Times are
// in seconds, on the machine's clock.
type isolation struct {
	lastAckAt float64  // when the last answer came
	confirmed []Member // as they were then, while nobody answers; nil otherwise
}

// handleMessage takes a message of another member.
func (iso *isolation) handleMessage(now float64, message *membership.Message) {
	if message.Kind == membership.Ack {
		iso.lastAckAt = now
		iso.confirmed = nil
	}
}

// update has the members kept once nobody has answered for the time given. changedAt is when a member's state changed.
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

// stateBefore is what a member was held to be at least before it became what it is, by silence.
func stateBefore(state State) State {
	switch state {
	case Suspect:
		return Alive
	case Dead:
		return Suspect // at the best: a suspicion that was there when the silence began has run out
	}
	return state
}
