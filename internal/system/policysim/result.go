package policysim

import (
	"cmp"
	"slices"
	"time"

	"cinderroad/internal/testkit/engine"
)

// Outcome is what became of a call.
type Outcome uint8

// The outcomes of a call.
const (
	Unfinished Outcome = iota
	InTime
	InTimeAfterRejection // refused early, and in time counted from the next try
	Late
	Rejected
	Failed
)

// counters are what is counted while a run goes on.
type counters struct {
	retries, crossRegion                                int
	attempts                                            int
	rejections                                          map[string]int
	prefilledChunks                                     map[uint64]bool // shared parts that some runner has read
	sharedPrefilled, sharedPrefilledAgain, ownPrefilled int64
}

func newCounters() counters {
	return counters{rejections: make(map[string]int), prefilledChunks: make(map[uint64]bool)}
}

func (c *counters) countAttempt(state *callState, runner *simulatedRunner) {
	c.attempts++
	if state.proxy.zone != runner.info.Zone && runner.sim.scenario.regionOf(state.proxy.zone) != runner.info.Region {
		c.crossRegion++
	}
}

// countPrefill counts a part of a prompt that a runner has prefilled.
func (c *counters) countPrefill(task *engine.Task, index int) {
	part := task.Request.Parts[index]
	if index == len(task.Request.Parts)-1 {
		c.ownPrefilled += int64(part.Tokens)
		return
	}
	c.sharedPrefilled += int64(part.Tokens)
	if c.prefilledChunks[part.ID] {
		c.sharedPrefilledAgain += int64(part.Tokens)
	}
	c.prefilledChunks[part.ID] = true
}

// ClassResult is what became of the calls of a class.
type ClassResult struct {
	Name                                        string
	Calls, InTime, Late, Rejected, Failed       int
	ValueEarned, ValueDue                       float64 // worth
	FirstEventP50, FirstEventP95, FirstEventP99 time.Duration
	ServedShare, LargestServed, LargeServed     float64 // of all, of the largest tenth, of the fifth below it
	LargestInTime, LargeInTime, InTimeShare     float64
}

// Result is the outcome of a run.
type Result struct {
	Policy                string
	Classes               []ClassResult
	ValueShare            float64       // worth earned of worth due
	WorstSecondShare      float64       // the same, of the calls of the worst second
	WorstAt               time.Duration // its begin
	WorstFiveSecondsShare float64       // of the worst five seconds
	SharedPrefilled       int64         // tokens of shared parts that were prefilled
	SharedPrefilledAgain  int64         // of them, tokens of parts that some runner had read before
	OwnPrefilled          int64
	Preemptions           int64
	RejectedByRunners     int64 // by runners
	Attempts              int
	Retries               int
	CrossRegionAttempts   int            // sends
	SlowStartWorstRate    int            // requests that a cold runner got in a second
	SlowStartExcess       int            // requests to cold runners above what they bear
	Rejections            map[string]int // by reason

	Runs                int     // that this is the mean of; 0: it is one run
	ValueShareDeviation float64 // standard deviation of Share over the runs
}

func (sim *simulation) result(policy string) *Result {
	result := &Result{Policy: policy, SharedPrefilled: sim.counters.sharedPrefilled, SharedPrefilledAgain: sim.counters.sharedPrefilledAgain, OwnPrefilled: sim.counters.ownPrefilled,
		Attempts: sim.counters.attempts, Retries: sim.counters.retries, CrossRegionAttempts: sim.counters.crossRegion, Rejections: sim.counters.rejections}
	for _, runner := range sim.runners {
		state := runner.engine.State()
		result.Preemptions += state.Preemptions
		result.RejectedByRunners += state.Rejected
		result.SlowStartWorstRate = max(result.SlowStartWorstRate, runner.slowStart.Worst())
		result.SlowStartExcess += runner.slowStart.Broken()
	}
	earned, due := 0.0, 0.0
	earnedValues := make(map[*callState]float64)
	dueValues := make(map[*callState]float64)
	for i := range sim.scenario.Classes {
		class := sim.classResult(&sim.scenario.Classes[i], earnedValues, dueValues)
		earned += class.ValueEarned
		due += class.ValueDue
		result.Classes = append(result.Classes, class)
	}
	result.ValueShare = ratio(earned, due)
	result.WorstSecondShare, result.WorstAt = sim.worstWindow(time.Second, earnedValues, dueValues)
	result.WorstFiveSecondsShare, _ = sim.worstWindow(5*time.Second, earnedValues, dueValues)
	return result
}

// callValue is what a call is worth: a generation by its size, within bounds.
func callValue(call *Call, meanSize float64) (inTime, late float64) {
	const fixedShare, sizeShare, maxFactor = 0.3, 0.7, 4
	factor := 1.0
	if meanSize > 0 {
		factor = min(maxFactor, fixedShare+sizeShare*call.Cost()/meanSize)
	}
	return call.Class.ValueInTime * factor, call.Class.ValueLate * factor
}

func (sim *simulation) classResult(class *Class, earnedValues, dueValues map[*callState]float64) ClassResult {
	result := ClassResult{Name: class.Name}
	var states []*callState
	total := 0.0
	for _, state := range sim.calls {
		if state.call.Class == class {
			states = append(states, state)
			total += state.call.Cost()
		}
	}
	var firstEventTimes []time.Duration
	for _, state := range states {
		full, late := callValue(state.call, ratio(total, float64(len(states))))
		result.Calls++
		dueValues[state] = full
		result.ValueDue += full
		switch state.outcome {
		case InTime:
			result.InTime++
			earnedValues[state] = full
		case InTimeAfterRejection:
			result.Late++
			earnedValues[state] = (full + late) / 2
		case Late:
			result.Late++
			earnedValues[state] = late
		case Rejected:
			result.Rejected++
		default:
			result.Failed++
		}
		result.ValueEarned += earnedValues[state]
		if state.timeToFirstEvent > 0 {
			firstEventTimes = append(firstEventTimes, state.timeToFirstEvent)
		}
	}
	result.FirstEventP50, result.FirstEventP95, result.FirstEventP99 = quantile(firstEventTimes, 0.5), quantile(firstEventTimes, 0.95), quantile(firstEventTimes, 0.99)
	result.addSizeBreakdown(states)
	return result
}

// addSizeBreakdown tells how the largest calls fared.
func (r *ClassResult) addSizeBreakdown(states []*callState) {
	states = slices.Clone(states)
	slices.SortStableFunc(states, func(a, b *callState) int { return cmp.Compare(b.call.Cost(), a.call.Cost()) })
	tenth, threeTenths := len(states)/10, len(states)*3/10
	r.ServedShare, r.InTimeShare = servedShares(states)
	r.LargestServed, r.LargestInTime = servedShares(states[:tenth])
	r.LargeServed, r.LargeInTime = servedShares(states[tenth:threeTenths])
}

func servedShares(states []*callState) (served, inTime float64) {
	for _, v := range states {
		switch v.outcome {
		case InTime:
			inTime++
			served++
		case Late, InTimeAfterRejection:
			served++
		}
	}
	return ratio(served, float64(len(states))), ratio(inTime, float64(len(states)))
}

// compareStart orders visits by when they began.
func compareStart(v *callState, at time.Duration) int { return cmp.Compare(v.call.At, at) }

// worstWindow is the share of worth earned of the calls that began within the worst window of a length.
func (sim *simulation) worstWindow(length time.Duration, earnedValues, dueValues map[*callState]float64) (share float64, at time.Duration) {
	const step, minCalls = 100 * time.Millisecond, 10
	share = 1
	for start := time.Duration(0); start+length <= sim.scenario.Duration; start += step {
		earned, due, calls := 0.0, 0.0, 0
		first, _ := slices.BinarySearchFunc(sim.calls, start, compareStart)
		for _, state := range sim.calls[first:] {
			if state.call.At >= start+length {
				break
			}
			earned += earnedValues[state]
			due += dueValues[state]
			calls++
		}
		if calls >= minCalls && ratio(earned, due) < share {
			share, at = ratio(earned, due), start
		}
	}
	return share, at
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
