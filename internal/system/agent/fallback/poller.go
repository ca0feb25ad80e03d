// Package survey decides when an agent that is cut off from the control replicas asks the platform for its list itself,
// at a pace that keeps all agents together within the platform's rate, and how long what it was told is used. Partitions
// count each by itself: the list is used for those from which the agent is cut off. It is pure.
package fallback

import (
	"math"
	"time"

	"cinderroad/internal/system/feed"
)

// State is what the agent does about the platform's list.
type State uint8

// The states.
const (
	Idle    State = iota // the feed is up to date: the platform is not asked
	Asking               // cut off from some partition: the platform is asked in turn
	Holding              // the feed is up to date again; what the platform said is used until the feed has caught up
)

// String names the state.
func (s State) String() string {
	switch s {
	case Idle:
		return "idle"
	case Asking:
		return "asking"
	case Holding:
		return "holding"
	}
	return "unknown"
}

const (
	minInterval    = time.Second
	rateHeadroom   = 3.0  // parts that the agents leave of the platform's rate: their number may be underestimated
	defaultAgents  = 30   // taken where the number is not known
	jitterFraction = 0.25 // of the interval, to either side
	maxBackoff     = 15 * time.Second
)

// HoldTime is how long the platform's word outlasts the cut: by then the control replicas have asked the platform.
const HoldTime = 2 * time.Second

// Pace is what the interval between two questions depends on.
type Pace struct {
	Agents   int     // that may be asking; 0: not known
	RatePerS float64 // calls that the platform takes from all together; 0: not told
}

// Poller is the agent's state. Times are of any steady clock.
type Poller struct {
	state   State
	random  func() float64 // in [0, 1)
	pages   int            // calls that the last list took
	nextAt  time.Duration  // of the next question, while Asking
	backoff time.Duration  // after failures

	cutOff feed.PartitionSet                // for which the platform is asked
	dropAt map[feed.Partition]time.Duration // of those that are up to date again: when the platform's word is dropped
}

// New returns a machine that is idle. random spreads the questions of many agents.
func New(random func() float64) *Poller {
	return &Poller{random: random, pages: 1, dropAt: map[feed.Partition]time.Duration{}}
}

// State is the current state.
func (p *Poller) State() State { return p.state }

// CutOff are the partitions for which the platform's list is to be used as it comes.
func (p *Poller) CutOff() feed.PartitionSet { return p.cutOff }

// interval is the time between two questions, without jitter.
func (p *Poller) interval(pace Pace) time.Duration {
	agents := pace.Agents
	if agents <= 0 {
		agents = defaultAgents
	}
	if pace.RatePerS <= 0 {
		return minInterval
	}
	lists := pace.RatePerS / float64(p.pages) // that the platform takes in a second
	if rateHeadroom*float64(agents) <= lists {
		return minInterval
	}
	seconds := float64(agents) / min(lists/rateHeadroom, safePoissonMean(lists))
	return max(minInterval, time.Duration(seconds*float64(time.Second)))
}

// safePoissonMean is the mean of independent events in a second that is four standard deviations below a bound: so many
// agents rarely meet in one second by chance.
func safePoissonMean(bound float64) float64 {
	const deviations = 4.0
	root := math.Sqrt(deviations*deviations/4+bound) - deviations/2
	return root * root
}

func (p *Poller) jitter(interval time.Duration) time.Duration {
	share := 1 + jitterFraction*(2*p.random()-1)
	return time.Duration(float64(interval) * share)
}

// Update takes the partitions from which the agent is cut off, of which it has anything to serve. It returns those whose
// list is to be dropped.
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
		p.state = Asking // on, after a cut that ended for a moment
	case len(p.dropAt) > 0:
		p.state = Holding
	default:
		p.state = Idle
	}
	return drop
}

// startAsking starts to ask: anywhere in an interval, so that agents that were cut off together do not ask together.
func (p *Poller) startAsking(now time.Duration, pace Pace) {
	p.state = Asking
	p.backoff = 0
	p.nextAt = now + time.Duration(p.random()*float64(p.interval(pace)))
}

// Next is how long until the platform is to be asked; asking says whether it is to be at all.
func (p *Poller) Next(now time.Duration) (wait time.Duration, asking bool) {
	if p.state != Asking {
		return 0, false
	}
	return max(0, p.nextAt-now), true
}

// HandleList takes it that the platform answered, with so many calls.
func (p *Poller) HandleList(now time.Duration, calls int, pace Pace) {
	p.pages = max(1, calls)
	p.backoff = 0
	p.nextAt = now + p.jitter(p.interval(pace))
}

// HandleFailure takes it that the platform refused, or did not answer; retryAfter is what it asked for, 0: nothing.
func (p *Poller) HandleFailure(now time.Duration, retryAfter time.Duration, pace Pace) {
	p.backoff = min(max(2*p.backoff, p.interval(pace)), max(maxBackoff, p.interval(pace)))
	p.nextAt = now + p.jitter(max(p.backoff, retryAfter))
}
