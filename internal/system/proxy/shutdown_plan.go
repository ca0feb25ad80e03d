package proxy

import (
	"time"

	"cinderroad/internal/system/shutdown"
)

const (
	// mustCompleteAfter is the time after the signal from which on requests must be answered completely. The platform
	// allows the process's exit to cut off only those sent earlier.
	mustCompleteAfter = 3 * time.Second
	// acceptAnyMargin is how much earlier than mustCompleteAfter the proxy stops accepting requests of any length,
	// because signals, requests in flight and iterations of the loop may be late.
	acceptAnyMargin = 500 * time.Millisecond

	acceptAnyFraction = 0.3                     // of the grace period in which requests of any length are accepted, at most
	idleSweepDivisor  = 4                       // idle sessions are closed after one part in so many of the grace period, at the latest
	idleSweepDelay    = 1500 * time.Millisecond // the members know of the shutdown by then; some clients may still have cached lookups
)

// shutdownPlan gives the times of the steps of a shutdown, counted from the signal: the proxy's own ones and those that
// all programs of the machine agree on.
type shutdownPlan struct {
	shutdown.Schedule
	sweepIdle     time.Duration // idle sessions are closed from then on
	closeListener time.Duration // the process exits afterwards once nothing is in progress
}

// planShutdown divides the grace period, which runs from the signal until the process is killed. One of 0 or less counts
// as shutdown.DefaultGracePeriod.
func planShutdown(grace time.Duration) shutdownPlan {
	grace = shutdown.GracePeriodOrDefault(grace)
	closeListener := min(time.Duration(float64(grace)*acceptAnyFraction), mustCompleteAfter-acceptAnyMargin)
	return shutdownPlan{
		Schedule:      shutdown.Plan(grace),
		sweepIdle:     min(idleSweepDelay, grace/idleSweepDivisor, closeListener),
		closeListener: closeListener,
	}
}

// accepts reports whether a request may be forwarded that is complete at after and has its deadline at deadline, both
// counted from the signal. Late in a shutdown only requests that end before the process are accepted.
func (p *shutdownPlan) accepts(after, deadline time.Duration) bool {
	return after < p.closeListener || deadline+deadlineGrace <= p.LastResponses
}
