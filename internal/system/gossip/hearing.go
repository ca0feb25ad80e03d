package gossip

import (
	"slices"

	"cinderroad/internal/shared/membership"
)

// silentPeriods is for how many periods nobody answers until this process counts as cut off from all. It asks some member in
// each, and others to ask in its place.
const silentPeriods = 4.0

// hearing keeps the members as they were when one of them last answered this process: what it finds out by silence alone
// says nothing of others, since the silence may be its own, be it that it hears nobody or that nobody hears it. Times are
// in seconds, on the machine's clock.
type hearing struct {
	at      float64  // when the last answer came
	members []Member // as they were then, while nobody answers; nil otherwise
}

// received takes a message of another member.
func (h *hearing) received(now float64, message *membership.Message) {
	if message.Kind == membership.Ack {
		h.at = now
		h.members = nil
	}
}

// look has the members kept once nobody has answered for the time given. changedAt is when a member's state changed.
func (h *hearing) look(now, silence float64, view func() []Member, changedAt func(*Member) float64) {
	if h.members != nil || now-h.at < silence {
		return
	}
	h.members = slices.Clone(view())
	for i := range h.members {
		if member := &h.members[i]; changedAt(member) > h.at {
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
