package checker

import (
	"fmt"
	"time"
)

// Cut is an attempt whose connection ended without a complete answer.
type Cut struct {
	ID       string
	Address  string    // of the machine that it was sent to
	Sent     time.Time // just before its last byte was written
	At       time.Time // when the client saw the end; never before it
	Deadline time.Time // of the client and of the route
	Kept     bool      // the connection had served another request before
}

// Figures of the rule of lost requests.
const (
	longRequestSlack  = 3 * time.Second        // after SIGTERM, in which requests may be sent that outlast the process
	squeezedSlack     = 2 * time.Second        // by which a process that wants for the processor may see SIGTERM late
	cutAllowedDivisor = 6                      // in this last part of the grace period they may be cut off
	stopSlack         = time.Second            // after the grace period, until which the rule holds
	deadlineSlack     = 200 * time.Millisecond // before the deadline, from which on a cut counts as caused by it
	noticeDelay       = time.Second            // by which trouble may be recorded after its effect
	strayCuts         = 3                      // cuts that a machine may make in calm times
)

// RequestCut records an attempt whose connection ended without a complete answer, other than by the client.
func (c *Checker) RequestCut(cut Cut) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if attempt := c.attempts[cut.ID]; attempt != nil && attempt.arrivals > 0 && !c.brokenOff(attempt) {
		c.cuts = append(c.cuts, cut)
	}
}

// AnswerBrokenOff records that a runner itself ends an answer early; call it before the connection is closed.
func (c *Checker) AnswerBrokenOff(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if attempt := c.attempts[id]; attempt != nil {
		attempt.broken = true
	}
}

// RunnerEnded records that a runner ends or stops to respond; call it before its connections are closed.
func (c *Checker) RunnerEnded(runner string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended[runner] = true
}

// brokenOff reports whether a runner may have ended the attempt's answer early.
func (c *Checker) brokenOff(attempt *attemptRecord) bool {
	if attempt.broken {
		return true
	}
	for _, runner := range attempt.runners {
		if c.ended[runner] {
			return true
		}
	}
	return false
}

// CutCause says why a request was cut off, as far as that is known.
type CutCause string

// The causes of cuts that are no violation, and the one of those that are.
const (
	CutByTrouble  CutCause = "trouble"  // the machine was killed or down around it
	CutAtDeadline CutCause = "deadline" // of the client or of the route
	CutAtEnd      CutCause = "end"      // in the part of the grace period in which a stopping process may cut off requests
	CutStray      CutCause = "stray"    // far from planned work
	CutLost       CutCause = "lost"
)

// CutRequests returns how many requests that a runner had got were cut off, by cause. The counts are final after Finish.
func (c *Checker) CutRequests() map[CutCause]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := make(map[CutCause]int)
	for _, cut := range c.cuts {
		counts[c.causeOf(cut)]++
	}
	return counts
}

// causeOf classifies a cut, once all trouble is known.
func (c *Checker) causeOf(cut Cut) CutCause {
	machines := c.limits.Machines
	from, to := cut.Sent.Add(-c.limits.InTouch), cut.At.Add(noticeDelay)
	stop, stopped := machines.lastStop(cut.Address, cut.At)
	reload, reloaded := machines.lastReload(cut.Address, cut.At)
	switch {
	case machines.unplanned(cut.Address, from, to):
		return CutByTrouble
	case !cut.At.Before(cut.Deadline.Add(-deadlineSlack)):
		return CutAtDeadline
	case stopped && cut.At.Sub(stop) <= c.limits.GracePeriod+stopSlack:
		return c.causeByStop(cut, stop)
	case reloaded && cut.Sent.Sub(reload) <= c.limits.ConfigurationDelay:
		return CutLost
	}
	return CutStray
}

// causeByStop classifies a cut by a process that shuts down.
func (c *Checker) causeByStop(cut Cut, stop time.Time) CutCause {
	slack := longRequestSlack
	if c.limits.Machines.WasSqueezed(cut.Address, stop, stop.Add(longRequestSlack)) {
		slack += squeezedSlack
	}
	sentEarly := cut.Sent.Sub(stop) <= slack
	cutLate := cut.At.Sub(stop) >= c.limits.GracePeriod-c.limits.GracePeriod/cutAllowedDivisor
	if sentEarly && cutLate {
		return CutAtEnd
	}
	return CutLost
}

// checkCuts checks the rule of lost requests, once all trouble is known.
func (c *Checker) checkCuts() {
	if c.limits.Machines == nil {
		return
	}
	stray := make(map[string]int)
	for _, cut := range c.cuts {
		switch c.causeOf(cut) {
		case CutLost:
			c.reportLost(cut)
		case CutStray:
			c.countStray(cut, stray)
		}
	}
}

// reportLost reports a request that was cut off around planned work.
func (c *Checker) reportLost(cut Cut) {
	work := ""
	if stop, stopped := c.limits.Machines.lastStop(cut.Address, cut.At); stopped {
		work += fmt.Sprintf(", SIGTERM came %v before it was sent", cut.Sent.Sub(stop))
	}
	if reload, reloaded := c.limits.Machines.lastReload(cut.Address, cut.At); reloaded {
		work += fmt.Sprintf(", SIGHUP came %v before it was sent", cut.Sent.Sub(reload))
	}
	c.addViolation(LostRequest, "attempt %s to %s was cut off %v after it was sent%s", cut.ID, cut.Address, cut.At.Sub(cut.Sent), work)
}

// countStray counts a request that was cut off in calm times, by machine, and reports the first one too many.
func (c *Checker) countStray(cut Cut, counts map[string]int) {
	if !cut.Kept || !c.limits.Machines.InTouch(cut.Address, cut.Sent.Add(-c.limits.InTouch), cut.At.Add(noticeDelay)) {
		return
	}
	counts[cut.Address]++
	if counts[cut.Address] == strayCuts+1 {
		c.addViolation(LostRequest, "%s cut off more than %d requests on kept connections in calm times, %s among them",
			cut.Address, strayCuts, cut.ID)
	}
}
