package proxy

import "time"

const (
	defaultGrace = 8 * time.Second

	// What the platform allows of a stop. An answer still under way may be cut in the last part of the grace period, if
	// its request was sent within a time after the signal. A request that comes later must be answered whole.
	cutShare  = 6 // the last part of the grace period is one in so many
	cutSentBy = 3 * time.Second
	// sentLead is how much earlier than cutSentBy requests of any length are turned away: signals, requests on their way
	// and turns of the loop come late.
	sentLead = 500 * time.Millisecond

	takeShare      = 0.3 // of the grace period in which requests of any length are taken, at most
	idleSweepShare = 4
	idleSweepAfter = 1500 * time.Millisecond // the directory's answers have moved on by then

	mostEndMargin  = 500 * time.Millisecond // of the grace period that is left when the process ends
	endMarginShare = 2 * cutShare           // the margin is one in so many of the grace period, at most

	lastAnswersShare = 4 // of the margin, one in so many, for the last answers to go out
)

// stopPlan says when a proxy that was told to stop does what, counted from then.
type stopPlan struct {
	sweep time.Duration // clients that rest are sent away from then on
	shut  time.Duration // the listener is closed; then the process ends once nobody waits for anything
	last  time.Duration // what has no answer yet is told so
	end   time.Duration // the process ends, whatever it has left
}

// planStop divides the grace period, from the signal to stop until the process is killed.
func planStop(grace time.Duration) stopPlan {
	if grace <= 0 {
		grace = defaultGrace
	}
	shut := min(time.Duration(float64(grace)*takeShare), cutSentBy-sentLead)
	margin := min(mostEndMargin, grace/endMarginShare)
	return stopPlan{
		sweep: min(idleSweepAfter, grace/idleSweepShare, shut),
		shut:  shut,
		last:  grace - margin,
		end:   grace - margin + margin/lastAnswersShare,
	}
}

// takes says whether a request that is whole so long after the signal, and whose answer may take until a deadline after
// the signal, may be passed on: a proxy whose end is near takes only what has its end, too.
func (p *stopPlan) takes(after, deadline time.Duration) bool {
	return after < p.shut || deadline+endGrace <= p.last
}
