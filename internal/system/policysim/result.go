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

func (b *counters) countAttempt(v *callState, h *simulatedRunner) {
	b.attempts++
	if v.proxy.zone != h.info.Zone && h.sim.scenario.regionOf(v.proxy.zone) != h.info.Region {
		b.crossRegion++
	}
}

// countPrefill counts a part of a prompt that a runner has prefilled.
func (b *counters) countPrefill(t *engine.Task, index int) {
	part := t.Request.Parts[index]
	if index == len(t.Request.Parts)-1 {
		b.ownPrefilled += int64(part.Tokens)
		return
	}
	b.sharedPrefilled += int64(part.Tokens)
	if b.prefilledChunks[part.ID] {
		b.sharedPrefilledAgain += int64(part.Tokens)
	}
	b.prefilledChunks[part.ID] = true
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

func (w *simulation) result(policy string) *Result {
	r := &Result{Policy: policy, SharedPrefilled: w.counters.sharedPrefilled, SharedPrefilledAgain: w.counters.sharedPrefilledAgain, OwnPrefilled: w.counters.ownPrefilled,
		Attempts: w.counters.attempts, Retries: w.counters.retries, CrossRegionAttempts: w.counters.crossRegion, Rejections: w.counters.rejections}
	for _, h := range w.runners {
		state := h.engine.State()
		r.Preemptions += state.Preemptions
		r.RejectedByRunners += state.Rejected
		r.SlowStartWorstRate = max(r.SlowStartWorstRate, h.slowStart.Worst())
		r.SlowStartExcess += h.slowStart.Broken()
	}
	earned, due := 0.0, 0.0
	worth := make(map[*callState]float64)
	owed := make(map[*callState]float64)
	for i := range w.scenario.Classes {
		class := w.classResult(&w.scenario.Classes[i], worth, owed)
		earned += class.ValueEarned
		due += class.ValueDue
		r.Classes = append(r.Classes, class)
	}
	r.ValueShare = ratio(earned, due)
	r.WorstSecondShare, r.WorstAt = w.worstWindow(time.Second, worth, owed)
	r.WorstFiveSecondsShare, _ = w.worstWindow(5*time.Second, worth, owed)
	return r
}

// callValue is what a call is worth: a generation by its size, within bounds.
func callValue(c *Call, meanSize float64) (inTime, late float64) {
	const fixed, bySize, most = 0.3, 0.7, 4
	factor := 1.0
	if meanSize > 0 {
		factor = min(most, fixed+bySize*c.Cost()/meanSize)
	}
	return c.Class.ValueInTime * factor, c.Class.ValueLate * factor
}

func (w *simulation) classResult(class *Class, worth, owed map[*callState]float64) ClassResult {
	r := ClassResult{Name: class.Name}
	var visits []*callState
	total := 0.0
	for _, v := range w.calls {
		if v.call.Class == class {
			visits = append(visits, v)
			total += v.call.Cost()
		}
	}
	var firsts []time.Duration
	for _, v := range visits {
		full, late := callValue(v.call, ratio(total, float64(len(visits))))
		r.Calls++
		owed[v] = full
		r.ValueDue += full
		switch v.outcome {
		case InTime:
			r.InTime++
			worth[v] = full
		case InTimeAfterRejection:
			r.Late++
			worth[v] = (full + late) / 2
		case Late:
			r.Late++
			worth[v] = late
		case Rejected:
			r.Rejected++
		default:
			r.Failed++
		}
		r.ValueEarned += worth[v]
		if v.timeToFirstEvent > 0 {
			firsts = append(firsts, v.timeToFirstEvent)
		}
	}
	r.FirstEventP50, r.FirstEventP95, r.FirstEventP99 = quantile(firsts, 0.5), quantile(firsts, 0.95), quantile(firsts, 0.99)
	r.addSizeBreakdown(visits)
	return r
}

// addSizeBreakdown tells how the largest calls fared.
func (r *ClassResult) addSizeBreakdown(visits []*callState) {
	visits = slices.Clone(visits)
	slices.SortStableFunc(visits, func(a, b *callState) int { return cmp.Compare(b.call.Cost(), a.call.Cost()) })
	tenth, three := len(visits)/10, len(visits)*3/10
	r.ServedShare, r.InTimeShare = servedShares(visits)
	r.LargestServed, r.LargestInTime = servedShares(visits[:tenth])
	r.LargeServed, r.LargeInTime = servedShares(visits[tenth:three])
}

func servedShares(visits []*callState) (served, inTime float64) {
	for _, v := range visits {
		switch v.outcome {
		case InTime:
			inTime++
			served++
		case Late, InTimeAfterRejection:
			served++
		}
	}
	return ratio(served, float64(len(visits))), ratio(inTime, float64(len(visits)))
}

// startsBefore orders visits by when they began.
func startsBefore(v *callState, at time.Duration) int { return cmp.Compare(v.call.At, at) }

// worstWindow is the share of worth earned of the calls that began within the worst window of a length.
func (w *simulation) worstWindow(length time.Duration, worth, dueValues map[*callState]float64) (share float64, at time.Duration) {
	const step, leastCalls = 100 * time.Millisecond, 10
	share = 1
	for from := time.Duration(0); from+length <= w.scenario.Duration; from += step {
		earned, due, calls := 0.0, 0.0, 0
		first, _ := slices.BinarySearchFunc(w.calls, from, startsBefore)
		for _, v := range w.calls[first:] {
			if v.call.At >= from+length {
				break
			}
			earned += worth[v]
			due += dueValues[v]
			calls++
		}
		if calls >= leastCalls && ratio(earned, due) < share {
			share, at = ratio(earned, due), from
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
