package client

import (
	"context"
	"time"
)

// The read timeout of a stream is the longest of these.
const (
	minReadTimeout        = 2 * time.Second
	latencyTargetMultiple = 4 // multiple of the route's latency target
	eventGapMultiple      = 8 // multiple of the route's longest event gap
)

// retryWaitDivisor bounds a Retry-After: a client waits at most this fraction of the remaining time.
const retryWaitDivisor = 3

// attemptResult is the result of one attempt.
type attemptResult uint8

const (
	succeeded     attemptResult = iota
	notExecuted                 // the answer says that it wasn't and won't be executed: 408, 421, 429 or 503
	notSent                     // no connection: no proxy has received it
	attemptFailed               // 5xx, or an incomplete answer
	clientError                 // 3xx or 4xx
	timedOut                    // deadline or read timeout
	left                        // the client closed the connection as the call says
)

// callState is a call and the state of its attempts.
type callState struct {
	*Call
	client       *client
	started      time.Time
	deadline     time.Time
	events       int // received over all attempts
	executionID  string
	totalEvents  int
	firstLatency time.Duration // from the start to the first event, or to the complete answer
	longestGap   time.Duration
	lastEventAt  time.Time
	retryAfter   time.Duration // from the last answer; 0: none
	sent         time.Time     // just before the last byte of the last attempt
	keptConn     bool          // the last attempt's connection had served another request
}

// Do makes one call, with retries, and records its outcome.
func (g *LoadGenerator) Do(ctx context.Context, sender *client, wanted *Call) Outcome {
	now := time.Now()
	c := &callState{Call: wanted, client: sender, started: now, deadline: now.Add(wanted.Route.Deadline)}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var last attemptResult
	for attempt := 0; ; attempt++ {
		last = c.attempt(ctx, attempt > 0)
		if last == succeeded || attempt >= wanted.Route.MaxRetries || !c.mayRetry(last) {
			break
		}
		if !c.waitBeforeRetry(ctx, last) {
			break
		}
		g.stats.recordRetry()
	}
	if last == left {
		g.stats.recordLeft()
		return Failed
	}
	outcome := c.outcome(last)
	g.stats.recordOutcome(wanted.Route, outcome, c.firstLatency)
	return outcome
}

// mayRetry reports whether the protocol allows a retry.
func (c *callState) mayRetry(result attemptResult) bool {
	switch result {
	case notExecuted, notSent:
		return true
	case attemptFailed:
		return c.Route.ReadOnly || c.Route.Stream && c.Route.Resumable
	}
	return false
}

// waitBeforeRetry waits for Retry-After; false if no time is left.
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

// leavesAt returns when the client closes the connection as the call says; zero: it stays.
func (c *callState) leavesAt() time.Time {
	if c.LeaveAfter <= 0 {
		return time.Time{}
	}
	return c.started.Add(c.LeaveAfter)
}

// hasLeft reports whether the client has closed the connection as the call says.
func (c *callState) hasLeft() bool {
	at := c.leavesAt()
	return !at.IsZero() && !time.Now().Before(at)
}

// readDeadline returns when the client stops waiting for the next bytes.
func (c *callState) readDeadline() time.Time {
	until := c.patience()
	if at := c.leavesAt(); !at.IsZero() && at.Before(until) {
		return at
	}
	return until
}

// patience returns when a client that stays stops waiting for the next bytes.
func (c *callState) patience() time.Time {
	if !c.Route.Stream {
		return c.deadline
	}
	latencyBound := latencyTargetMultiple * c.Route.LatencyTarget
	gapBound := eventGapMultiple * c.Route.MaxEventGap
	until := time.Now().Add(max(minReadTimeout, latencyBound, gapBound))
	if until.Before(c.deadline) {
		return until
	}
	return c.deadline
}
