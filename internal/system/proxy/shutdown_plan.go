package proxy

import (
	"time"

	"cinderroad/internal/system/shutdown"
)

const (
	// mustCompleteAfter is how long after the signal a request may be sent at the latest whose answer the process's end may cut, by
	// what the platform allows. One that comes later must be answered whole.
	mustCompleteAfter = 3 * time.Second
	// acceptAnyMargin is how much earlier than mustCompleteAfter requests of any length are turned away: signals, requests on their way
	// and turns of the loop come late.
	acceptAnyMargin = 500 * time.Millisecond

	acceptAnyFraction = 0.3 // of the grace period in which requests of any length are taken, at most
	idleSweepDivisor  = 4
	idleSweepDelay    = 1500 * time.Millisecond // the directory's answers have moved on by then
)

// shutdownPlan says when a proxy that was told to stop does what, counted from then.
type shutdownPlan struct {
	sweepIdle     time.Duration // clients that rest are sent away from then on
	closeListener time.Duration // the listener is closed; then the process ends once nobody waits for anything
	lastResponses time.Duration // what has no answer yet is told so
	exit          time.Duration // the process ends, whatever it has left
}

// planShutdown divides the grace period, from the signal to stop until the process is killed.
func planShutdown(grace time.Duration) shutdownPlan {
	if grace <= 0 {
		grace = shutdown.DefaultGracePeriod
	}
	times := shutdown.Plan(grace)
	shut := min(time.Duration(float64(grace)*acceptAnyFraction), mustCompleteAfter-acceptAnyMargin)
	return shutdownPlan{
		sweepIdle:     min(idleSweepDelay, grace/idleSweepDivisor, shut),
		closeListener: shut,
		lastResponses: times.LastResponses,
		exit:          times.ProxyEnd,
	}
}

// accepts says whether a request that is whole so long after the signal, and whose answer may take until a deadline after
// the signal, may be passed on: a proxy whose end is near takes only what has its end, too.
func (p *shutdownPlan) accepts(after, deadline time.Duration) bool {
	return after < p.closeListener || deadline+deadlineGrace <= p.lastResponses
}
