// Package fallback decides when an agent that is cut off from the control replicas polls the platform's list of runners
// itself, and how long the list is used after the agent is back in touch. It is a pure state machine that performs no
// I/O and is not safe for concurrent use.
//
// The polls of all agents together stay within the platform's rate. Partitions are independent: the list is used for
// those from which the agent is cut off.
package fallback

import (
	"math"
	"time"

	"cinderroad/internal/system/feed"
)

// State is the phase of a Poller.
type State uint8

// The states of a Poller.
const (
	Idle      State = iota // the feed is up to date: the platform is not polled
	Polling                // cut off from at least one partition: the platform is polled
	Retaining              // the feed is up to date again; the list is used for HoldTime
)

// String returns the name of the state, as logged.
func (s State) String() string {
	switch s {
	case Idle:
		return "idle"
	case Polling:
		return "polling"
	case Retaining:
		return "retaining"
	}
	return "unknown"
}

// Bounds of the polls.
const (
	minInterval    = time.Second
	rateHeadroom   = 3.0  // divides the platform's rate: the number of agents may be underestimated
	defaultAgents  = 30   // assumed if the number of agents is not known
	jitterFraction = 0.25 // of the interval, to either side
	maxBackoff     = 15 * time.Second
)

// HoldTime is how long the platform's list is used after a partition's feed is up to date again. By then the control
// replicas have polled the platform.
const HoldTime = 2 * time.Second

// Pace is what the interval between polls depends on.
type Pace struct {
	Agents         int     // number of agents that may be polling; 0: not known
	CallsPerSecond float64 // calls a second that the platform accepts of all agents together; 0: not limited
}

// Poller is the state of an agent's polls. Times are of any monotonic clock.
type Poller struct {
	state   State
	random  func() float64 // in [0, 1)
	pages   int            // number of calls that the last list took
	nextAt  time.Duration  // time of the next poll, while Polling
	backoff time.Duration  // delay after the last failure; 0: the last poll succeeded

	cutOff feed.PartitionSet                // partitions for which the platform is polled
	dropAt map[feed.Partition]time.Duration // by partition that is up to date again: time when the list is dropped
}

// New returns an idle poller. random returns numbers in [0, 1), which spread the polls of many agents.
func New(random func() float64) *Poller {
	return &Poller{random: random, pages: 1, dropAt: map[feed.Partition]time.Duration{}}
}

// State returns the current state.
func (p *Poller) State() State { return p.state }

// CutOff returns the partitions to which a list is to be applied.
func (p *Poller) CutOff() feed.PartitionSet { return p.cutOff }

// interval returns the time between two polls, without jitter.
func (p *Poller) interval(pace Pace) time.Duration {
	agents := pace.Agents
	if agents <= 0 {
		agents = defaultAgents
	}
	if pace.CallsPerSecond <= 0 {
		return minInterval
	}
	lists := pace.CallsPerSecond / float64(p.pages) // lists a second that the platform accepts
	if rateHeadroom*float64(agents) <= lists {
		return minInterval
	}
	seconds := float64(agents) / min(lists/rateHeadroom, safePoissonMean(lists))
	return max(minInterval, time.Duration(seconds*float64(time.Second)))
}

// safePoissonMean returns the mean of a Poisson distribution that is four standard deviations below a bound: polls of
// agents that rarely exceed the bound within one second. It solves mean + deviations*sqrt(mean) = bound.
func safePoissonMean(bound float64) float64 {
	const deviations = 4.0
	root := math.Sqrt(deviations*deviations/4+bound) - deviations/2
	return root * root
}

// jitter spreads an interval by jitterFraction to either side.
func (p *Poller) jitter(interval time.Duration) time.Duration {
	share := 1 + jitterFraction*(2*p.random()-1)
	return time.Duration(float64(interval) * share)
}

// Update sets the partitions from which the agent is cut off and of which it holds anything to serve. It returns the
// partitions whose list is to be dropped now.
func (p *Poller) Update(now time.Duration, cutOff feed.PartitionSet, pace Pace) (drop feed.PartitionSet) {
	for partition := range p.cutOff.Without(cutOff).All() {
		p.dropAt[partition] = now + HoldTime
	}
	for partition := range cutOff.All() {
		delete(p.dropAt, partition)
	}
	p.cutOff = cutOff
	for partition, at := range p.dropAt {
		if now >= at {
			delete(p.dropAt, partition)
			drop = drop.With(partition)
		}
	}
	switch {
	case !cutOff.IsEmpty() && p.state == Idle:
		p.startAsking(now, pace)
	case !cutOff.IsEmpty():
		p.state = Polling // the polls continue if the agent was in touch for less than HoldTime
	case len(p.dropAt) > 0:
		p.state = Retaining
	default:
		p.state = Idle
	}
	return drop
}

// startAsking schedules the first poll at a random time within an interval, so that agents cut off together do not poll
// together.
func (p *Poller) startAsking(now time.Duration, pace Pace) {
	p.state = Polling
	p.backoff = 0
	p.nextAt = now + time.Duration(p.random()*float64(p.interval(pace)))
}

// Next returns the time until the next poll is due. due is false if none is.
func (p *Poller) Next(now time.Duration) (wait time.Duration, due bool) {
	if p.state != Polling {
		return 0, false
	}
	return max(0, p.nextAt-now), true
}

// HandleList records that the platform returned its list, in the given number of calls.
func (p *Poller) HandleList(now time.Duration, calls int, pace Pace) {
	p.pages = max(1, calls)
	p.backoff = 0
	p.nextAt = now + p.jitter(p.interval(pace))
}

// HandleFailure records that a poll failed. retryAfter is the delay that the platform asked for; 0: none.
func (p *Poller) HandleFailure(now time.Duration, retryAfter time.Duration, pace Pace) {
	p.backoff = min(max(2*p.backoff, p.interval(pace)), max(maxBackoff, p.interval(pace)))
	p.nextAt = now + p.jitter(max(p.backoff, retryAfter))
}
