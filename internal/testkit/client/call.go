package client

import (
	"context"
	"time"
)

// Patience with streams: one is given up after a silence of the longest of these.
const (
	leastPatience  = 2 * time.Second
	targetPatience = 4 // multiple of the target
	gapPatience    = 8 // multiple of the longest pause in time
)

// waitShare is the part of the time left that a client waits at most when it is told to.
const waitShare = 3

// verdict is how a try ended.
type verdict uint8

const (
	served    verdict = iota
	promised          // it has not run and will not: 408, 421, 429 or 503
	unsent            // the dispatcher has not read it
	failed            // 5xx, or no whole answer
	denied            // 3xx or 4xx
	abandoned         // the deadline has passed, or the client has lost its patience
)

// call is a call with what has come of it so far.
type call struct {
	*Call
	client   *client
	began    time.Time
	deadline time.Time
	events   int // that have come, over all tries
	run      string
	of       int
	first    time.Duration // from the begin to the first event, or to the whole answer
	gap      time.Duration
	heard    time.Time
	wait     time.Duration // that the last answer asked for
}

// Do makes one call and counts what becomes of it.
func (l *LoadGenerator) Do(ctx context.Context, c *client, wanted *Call) Outcome {
	now := time.Now()
	one := &call{Call: wanted, client: c, began: now, deadline: now.Add(wanted.Route.Deadline)}
	ctx, cancel := context.WithDeadline(ctx, one.deadline)
	defer cancel()
	var last verdict
	for try := 0; ; try++ {
		last = one.try(ctx, try > 0)
		if last == served || try >= wanted.Route.MaxRetries || !one.mayRetry(last) || !one.pause(ctx, last) {
			break
		}
		l.tally.retried()
	}
	outcome := one.outcome(last)
	l.tally.add(wanted.Route, outcome, one.first)
	return outcome
}

// mayRetry says whether the protocol lets a client ask again.
func (c *call) mayRetry(v verdict) bool {
	switch v {
	case promised, unsent:
		return true
	case failed:
		return c.Route.ReadOnly || c.Route.Stream && c.Route.Resumable
	}
	return false
}

// pause waits as the last answer asked; it says whether there is time left.
func (c *call) pause(ctx context.Context, v verdict) bool {
	left := time.Until(c.deadline)
	if v != promised || c.wait <= 0 {
		return left > 0
	}
	timer := time.NewTimer(min(c.wait, left/waitShare))
	defer timer.Stop()
	select {
	case <-timer.C:
		return time.Now().Before(c.deadline)
	case <-ctx.Done():
		return false
	}
}

func (c *call) outcome(v verdict) Outcome {
	switch v {
	case served:
		if c.first > c.Route.LatencyTarget || c.Route.MaxEventGap > 0 && c.gap > c.Route.MaxEventGap {
			return Late
		}
		return InTime
	case promised:
		return Rejected
	}
	return Failed
}

// patience is how long the client bears silence from now on.
func (c *call) patience() time.Time {
	if !c.Route.Stream {
		return c.deadline
	}
	until := time.Now().Add(max(leastPatience, targetPatience*c.Route.LatencyTarget, gapPatience*c.Route.MaxEventGap))
	if until.Before(c.deadline) {
		return until
	}
	return c.deadline
}
