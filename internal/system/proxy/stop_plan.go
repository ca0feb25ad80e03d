package proxy

import (
	"time"

	"cinderroad/internal/system/shutdown"
)

const (
	// cutSentBy is how long after the signal a request may be sent at the latest whose answer the process's end may cut, by
	// what the platform allows. One that comes later must be answered whole.
	cutSentBy = 3 * time.Second
	// sentLead is how much earlier than cutSentBy requests of any length are turned away: signals, requests on their way
	// and turns of the loop come late.
	sentLead = 500 * time.Millisecond

	takeShare      = 0.3 // of the grace period in which requests of any length are taken, at most
	idleSweepShare = 4
	idleSweepAfter = 1500 * time.Millisecond // the directory's answers have moved on by then
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
		grace = shutdown.DefaultGracePeriod
	}
	times := shutdown.Plan(grace)
	shut := min(time.Duration(float64(grace)*takeShare), cutSentBy-sentLead)
	return stopPlan{
		sweep: min(idleSweepAfter, grace/idleSweepShare, shut),
		shut:  shut,
		last:  times.LastResponses,
		end:   times.ProxyEnd,
	}
}

// takes says whether a request that is whole so long after the signal, and whose answer may take until a deadline after
// the signal, may be passed on: a proxy whose end is near takes only what has its end, too.
func (p *stopPlan) takes(after, deadline time.Duration) bool {
	return after < p.shut || deadline+endGrace <= p.last
}
