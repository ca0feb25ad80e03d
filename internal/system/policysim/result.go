package policysim

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is the outcome of a call.
type Outcome uint8

// The outcomes of a call.
const (
	Unfinished Outcome = iota
	InTime
	InTimeAfterRejection // rejected early, and in time counted from the next attempt
	Late
	Rejected
	Failed
)

// ClassResult is the result of the calls of a class.
type ClassResult struct {
	Name     string
	Calls    int
	InTime   int
	Late     int
	Rejected int
	Failed   int

	ValueEarned float64
	ValueDue    float64 // the value if all calls were in time

	// Quantiles of the time to the first event.
	FirstEventP50 time.Duration
	FirstEventP95 time.Duration
	FirstEventP99 time.Duration

	// Shares of calls that were served, and served in time: of all calls, of the largest tenth, and of the fifth below it.
	ServedShare   float64
	LargestServed float64
	LargeServed   float64
	LargestInTime float64
	LargeInTime   float64
	InTimeShare   float64
}

// Result is the result of a run.
type Result struct {
	Policy                string
	Classes               []ClassResult
	ValueShare            float64       // value earned as a share of the value due
	WorstSecondShare      float64       // the same for the calls that began within the worst second
	WorstAt               time.Duration // start of that second
	WorstFiveSecondsShare float64       // the same for the worst five seconds
	SharedPrefilled       int64         // tokens of shared chunks that were prefilled
	SharedPrefilledAgain  int64         // of these, tokens of chunks that some runner had prefilled before
	OwnPrefilled          int64         // tokens of the requests' own chunks
	Preemptions           int64
	RejectedByRunners     int64
	Attempts              int
	Retries               int
	CrossRegionAttempts   int
	SlowStartWorstRate    int            // most requests that a runner in slow start received within a second
	SlowStartExcess       int            // requests to runners in slow start beyond what they can take
	Rejections            map[string]int // by proxies, by reason

	Runs                int     // number of runs that this is the mean of; 0: it is a single run
	ValueShareDeviation float64 // standard deviation of ValueShare over the runs
}

// result returns the result of a run that has ended.
func (sim *simulation) result(policy string) *Result {
	result := &Result{
		Policy:               policy,
		SharedPrefilled:      sim.counters.sharedPrefilled,
		SharedPrefilledAgain: sim.counters.sharedPrefilledAgain,
		OwnPrefilled:         sim.counters.ownPrefilled,
		Attempts:             sim.counters.attempts,
		Retries:              sim.counters.retries,
		CrossRegionAttempts:  sim.counters.crossRegion,
		Rejections:           sim.counters.rejections,
	}
	for _, runner := range sim.runners {
		state := runner.engine.State()
		result.Preemptions += state.Preemptions
		result.RejectedByRunners += state.Rejected
		result.SlowStartWorstRate = max(result.SlowStartWorstRate, runner.slowStart.PeakArrivals())
		result.SlowStartExcess += runner.slowStart.Violations()
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

// callValue returns the value of a call that is in time and of one that is late. That of a generation grows with its
// cost, within bounds.
func callValue(call *Call, meanSize float64) (inTime, late float64) {
	const fixedShare, sizeShare, maxFactor = 0.3, 0.7, 4
	factor := 1.0
	if meanSize > 0 {
		factor = min(maxFactor, fixedShare+sizeShare*call.Cost()/meanSize)
	}
	return call.Class.ValueInTime * factor, call.Class.ValueLate * factor
}

// classResult returns the result of a class, and adds the value that each of its calls earned and could have earned.
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
	result.FirstEventP50 = quantile(firstEventTimes, 0.5)
	result.FirstEventP95 = quantile(firstEventTimes, 0.95)
	result.FirstEventP99 = quantile(firstEventTimes, 0.99)
	result.addSizeBreakdown(states)
	return result
}

// addSizeBreakdown adds the shares of the largest calls that were served, and served in time.
func (r *ClassResult) addSizeBreakdown(states []*callState) {
	states = slices.Clone(states)
	slices.SortStableFunc(states, func(a, b *callState) int { return cmp.Compare(b.call.Cost(), a.call.Cost()) })
	tenth := len(states) / 10
	threeTenths := len(states) * 3 / 10
	r.ServedShare, r.InTimeShare = servedShares(states)
	r.LargestServed, r.LargestInTime = servedShares(states[:tenth])
	r.LargeServed, r.LargeInTime = servedShares(states[tenth:threeTenths])
}

// servedShares returns the shares of calls that were served, and served in time.
func servedShares(states []*callState) (served, inTime float64) {
	for _, state := range states {
		switch state.outcome {
		case InTime:
			inTime++
			served++
		case Late, InTimeAfterRejection:
			served++
		}
	}
	return ratio(served, float64(len(states))), ratio(inTime, float64(len(states)))
}

// compareStart orders a call by its start relative to a time.
func compareStart(v *callState, at time.Duration) int { return cmp.Compare(v.call.At, at) }

// worstWindow returns the least share of value earned by the calls that began within a window of the given length, and
// that window's start. Windows with few calls do not count.
func (sim *simulation) worstWindow(length time.Duration, earnedValues, dueValues map[*callState]float64) (share float64,
	at time.Duration) {
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
			share = ratio(earned, due)
			at = start
		}
	}
	return share, at
}

// ratio returns a share of a whole, 0 if the whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// quantile returns a quantile of values, which it sorts; 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
