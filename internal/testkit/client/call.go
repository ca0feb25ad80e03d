package client

import (
	"context"
	"time"
)

// Patience with streams: one is given up after a silence of the longest of these.
const (
	minReadTimeout        = 2 * time.Second
	latencyTargetMultiple = 4 // multiple of the target
	eventGapMultiple      = 8 // multiple of the longest pause in time
)

// retryWaitDivisor is the part of the time left that a client waits at most when it is told to.
const retryWaitDivisor = 3

// attemptResult is how a try ended.
type attemptResult uint8

const (
	succeeded     attemptResult = iota
	notExecuted                 // it has not run and will not: 408, 421, 429 or 503
	notSent                     // the dispatcher has not read it
	attemptFailed               // 5xx, or no whole answer
	clientError                 // 3xx or 4xx
	timedOut                    // the deadline has passed, or the client has lost its patience
)

// callState is a call with what has come of it so far.
type callState struct {
	*Call
	client       *client
	started      time.Time
	deadline     time.Time
	events       int // that have come, over all tries
	executionID  string
	totalEvents  int
	firstLatency time.Duration // from the begin to the first event, or to the whole answer
	longestGap   time.Duration
	lastEventAt  time.Time
	retryAfter   time.Duration // that the last answer asked for
}

// Do makes one call and counts what becomes of it.
func (g *LoadGenerator) Do(ctx context.Context, sender *client, wanted *Call) Outcome {
	now := time.Now()
	c := &callState{Call: wanted, client: sender, started: now, deadline: now.Add(wanted.Route.Deadline)}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var last attemptResult
	for attempt := 0; ; attempt++ {
		last = c.attempt(ctx, attempt > 0)
		if last == succeeded || attempt >= wanted.Route.MaxRetries || !c.mayRetry(last) || !c.waitBeforeRetry(ctx, last) {
			break
		}
		g.stats.recordRetry()
	}
	outcome := c.outcome(last)
	g.stats.recordOutcome(wanted.Route, outcome, c.firstLatency)
	return outcome
}

// mayRetry says whether the protocol lets a client ask again.
func (c *callState) mayRetry(result attemptResult) bool {
	switch result {
	case notExecuted, notSent:
		return true
	case attemptFailed:
		return c.Route.ReadOnly || c.Route.Stream && c.Route.Resumable
	}
	return false
}

// waitBeforeRetry waits as the last answer asked; it says whether there is time left.
func (c *callState) waitBeforeRetry(ctx context.Context, result attemptResult) bool {
	left := time.Until(c.deadline)
	if result != notExecuted || c.retryAfter <= 0 {
		return left > 0
	}
	timer := time.NewTimer(min(c.retryAfter, left/retryWaitDivisor))
	defer timer.Stop()
	select {
	case <-timer.C:
		return time.Now().Before(c.deadline)
	case <-ctx.Done():
		return false
	}
}

func (c *callState) outcome(result attemptResult) Outcome {
	switch result {
	case succeeded:
		if c.firstLatency > c.Route.LatencyTarget || c.Route.MaxEventGap > 0 && c.longestGap > c.Route.MaxEventGap {
			return Late
		}
		return InTime
	case notExecuted:
		return Rejected
	}
	return Failed
}

// readDeadline is how long the client bears silence from now on.
func (c *callState) readDeadline() time.Time {
	if !c.Route.Stream {
		return c.deadline
	}
	until := time.Now().Add(max(minReadTimeout, latencyTargetMultiple*c.Route.LatencyTarget, eventGapMultiple*c.Route.MaxEventGap))
	if until.Before(c.deadline) {
		return until
	}
	return c.deadline
}
