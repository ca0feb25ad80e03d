package proxy

import (
	"testing"
	"time"
)

// guaranteeCase is a request around a shutdown. Times count from when the platform sends the signal.
type guaranteeCase struct {
	grace        time.Duration
	handledAfter time.Duration // the process handles the signal so much later than the platform sends it
	sent         time.Duration // the last byte
	deadline     time.Duration
	firstByte    time.Duration // when the runner's response begins
	lastByte     time.Duration // when it ends
}

// ending is how a request ends: whether with a complete response, and when.
type ending struct {
	at       time.Duration
	complete bool
}

// end returns how a proxy that keeps to its plan ends the request.
func (c *guaranteeCase) end(plan *shutdownPlan) ending {
	fromSignal := func(step time.Duration) time.Duration { return c.handledAfter + step }
	isShuttingDown := c.sent >= c.handledAfter
	if isShuttingDown && !plan.accepts(c.sent-c.handledAfter, c.deadline-c.handledAfter) {
		return ending{c.sent, true}
	}
	exit := min(fromSignal(plan.ProxyEnd), c.grace)
	answeredBy := min(c.deadline, fromSignal(plan.LastResponses))
	switch {
	case c.firstByte > answeredBy && answeredBy <= exit:
		return ending{answeredBy, true}
	case c.firstByte > answeredBy:
		return ending{exit, false}
	case c.lastByte <= min(c.deadline+deadlineGrace, exit):
		return ending{c.lastByte, true}
	}
	return ending{min(c.deadline+deadlineGrace, exit), false}
}

// allows reports whether the platform allows that the request ends so.
func (c *guaranteeCase) allows(end ending) bool {
	inLastPart := end.at >= time.Duration(cutAllowedFrom*float64(c.grace))
	return end.complete || end.at >= c.deadline || inLastPart && c.sent <= cutAllowedIfSentWithin
}

// Whenever a request is sent, however long it may take and whenever its response comes, it ends as the platform allows,
// even if the process handles the signal late by the plan's margin.
func TestShutdownGuaranteeTable(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		plan := planShutdown(grace)
		margin := grace - plan.LastResponses
		for _, handledAfter := range []time.Duration{0, margin / 2, margin} {
			checkGuarantee(t, &plan, guaranteeCase{grace: grace, handledAfter: handledAfter})
		}
	}
}

// checkGuarantee checks requests of all kinds under a plan; shutdown gives the times of the platform.
func checkGuarantee(t *testing.T, plan *shutdownPlan, shutdown guaranteeCase) {
	t.Helper()
	const (
		earliest = -9 * time.Second // requests sent before the signal
		step     = 50 * time.Millisecond
	)
	c := shutdown
	for c.sent = earliest; c.sent < c.grace; c.sent += step {
		for _, timeLeft := range []float64{0.1, 1, 2, 4, 8, 15, 30} {
			for _, silence := range []float64{0, 1, 3, 6, 12} {
				for _, length := range []float64{0, 0.4, 3, 5, 9} {
					c.deadline = c.sent + seconds(timeLeft)
					c.firstByte = c.sent + seconds(silence)
					c.lastByte = c.firstByte + seconds(length)
					if end := c.end(plan); !c.allows(end) {
						t.Fatalf("%+v\nends a request in a way that the platform does not allow: %+v\n%+v", *plan, c, end)
					}
				}
			}
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
