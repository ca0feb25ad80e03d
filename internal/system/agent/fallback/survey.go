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
	leastInterval = time.Second
	rateMargin    = 3.0  // parts that the agents leave of the platform's rate: their number may be underestimated
	unknownAgents = 30   // taken where the number is not known
	jitterShare   = 0.25 // of the interval, to either side
	longestPause  = 15 * time.Second
)

// HoldFor is how long the platform's word outlasts the cut: by then the control replicas have asked the platform.
const HoldFor = 2 * time.Second

// Pace is what the interval between two questions depends on.
type Pace struct {
	Agents   int     // that may be asking; 0: not known
	RatePerS float64 // calls that the platform takes from all together; 0: not told
}

// Machine is the agent's state. Times are of any steady clock.
type Machine struct {
	state  State
	random func() float64 // in [0, 1)
	pages  int            // calls that the last list took
	nextAt time.Duration  // of the next question, while Asking
	pause  time.Duration  // after failures

	cutOff feed.PartitionSet                // for which the platform is asked
	dropAt map[feed.Partition]time.Duration // of those that are up to date again: when the platform's word is dropped
}

// New returns a machine that is idle. random spreads the questions of many agents.
func New(random func() float64) *Machine {
	return &Machine{random: random, pages: 1, dropAt: map[feed.Partition]time.Duration{}}
}

// State is the current state.
func (m *Machine) State() State { return m.state }

// CutOff are the partitions for which the platform's list is to be used as it comes.
func (m *Machine) CutOff() feed.PartitionSet { return m.cutOff }

// interval is the time between two questions, without jitter.
func (m *Machine) interval(pace Pace) time.Duration {
	agents := pace.Agents
	if agents <= 0 {
		agents = unknownAgents
	}
	if pace.RatePerS <= 0 {
		return leastInterval
	}
	lists := pace.RatePerS / float64(m.pages) // that the platform takes in a second
	if rateMargin*float64(agents) <= lists {
		return leastInterval
	}
	seconds := float64(agents) / min(lists/rateMargin, chanceMean(lists))
	return max(leastInterval, time.Duration(seconds*float64(time.Second)))
}

// chanceMean is the mean of independent events in a second that is four standard deviations below a bound: so many
// agents rarely meet in one second by chance.
func chanceMean(bound float64) float64 {
	const deviations = 4.0
	root := math.Sqrt(deviations*deviations/4+bound) - deviations/2
	return root * root
}

func (m *Machine) jittered(interval time.Duration) time.Duration {
	share := 1 + jitterShare*(2*m.random()-1)
	return time.Duration(float64(interval) * share)
}

// Update takes the partitions from which the agent is cut off, of which it has anything to serve. It returns those whose
// list is to be dropped.
func (m *Machine) Update(now time.Duration, cutOff feed.PartitionSet, pace Pace) (drop feed.PartitionSet) {
	for partition := range m.cutOff.Without(cutOff).All() {
		m.dropAt[partition] = now + HoldFor
	}
	for partition := range cutOff.All() {
		delete(m.dropAt, partition)
	}
	m.cutOff = cutOff
	for partition, at := range m.dropAt {
		if now >= at {
			delete(m.dropAt, partition)
			drop = drop.With(partition)
		}
	}
	switch {
	case !cutOff.IsEmpty() && m.state == Idle:
		m.begin(now, pace)
	case !cutOff.IsEmpty():
		m.state = Asking // on, after a cut that ended for a moment
	case len(m.dropAt) > 0:
		m.state = Holding
	default:
		m.state = Idle
	}
	return drop
}

// begin starts to ask: anywhere in an interval, so that agents that were cut off together do not ask together.
func (m *Machine) begin(now time.Duration, pace Pace) {
	m.state = Asking
	m.pause = 0
	m.nextAt = now + time.Duration(m.random()*float64(m.interval(pace)))
}

// Next is how long until the platform is to be asked; asking says whether it is to be at all.
func (m *Machine) Next(now time.Duration) (wait time.Duration, asking bool) {
	if m.state != Asking {
		return 0, false
	}
	return max(0, m.nextAt-now), true
}

// Listed takes it that the platform answered, with so many calls.
func (m *Machine) Listed(now time.Duration, calls int, pace Pace) {
	m.pages = max(1, calls)
	m.pause = 0
	m.nextAt = now + m.jittered(m.interval(pace))
}

// Failed takes it that the platform refused, or did not answer; retryAfter is what it asked for, 0: nothing.
func (m *Machine) Failed(now time.Duration, retryAfter time.Duration, pace Pace) {
	m.pause = min(max(2*m.pause, m.interval(pace)), max(longestPause, m.interval(pace)))
	m.nextAt = now + m.jittered(max(m.pause, retryAfter))
}
