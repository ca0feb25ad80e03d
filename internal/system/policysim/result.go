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
	InTimeAfterRefusal // refused early, and in time counted from the next try
	Late
	Refused
	Failed
)

// books are what is counted while a run goes on.
type books struct {
	repeats, crossRegion         int
	sends                        int
	refusals                     map[string]int
	read                         map[uint64]bool // shared parts that some runner has read
	sharedRead, sharedAgain, own int64
}

func newBooks() books {
	return books{refusals: make(map[string]int), read: make(map[uint64]bool)}
}

func (b *books) sent(v *visit, h *host) {
	b.sends++
	if v.proxy.zone != h.runner.Zone && h.world.scenario.region(v.proxy.zone) != h.runner.Region {
		b.crossRegion++
	}
}

// partRead counts a part of a prompt that a runner has prefilled.
func (b *books) partRead(t *engine.Task, index int) {
	part := t.Request.Parts[index]
	if index == len(t.Request.Parts)-1 {
		b.own += int64(part.Tokens)
		return
	}
	b.sharedRead += int64(part.Tokens)
	if b.read[part.ID] {
		b.sharedAgain += int64(part.Tokens)
	}
	b.read[part.ID] = true
}

// ClassResult is what became of the calls of a class.
type ClassResult struct {
	Name                                      string
	Calls, InTime, Late, Refused, Failed      int
	Earned, Due                               float64 // worth
	First50, First95, First99                 time.Duration
	ServedShare, LargestServed, LargeServed   float64 // of all, of the largest tenth, of the fifth below it
	LargestInTime, LargeInTime, InTimeOfCalls float64
}

// Result is the outcome of a run.
type Result struct {
	Policy      string
	Classes     []ClassResult
	Share       float64       // worth earned of worth due
	WorstSecond float64       // the same, of the calls of the worst second
	WorstAt     time.Duration // its begin
	WorstFive   float64       // of the worst five seconds
	SharedRead  int64         // tokens of shared parts that were prefilled
	SharedAgain int64         // of them, tokens of parts that some runner had read before
	OwnRead     int64
	Preemptions int64
	Rejected    int64 // by runners
	Sends       int
	Repeats     int
	CrossRegion int            // sends
	ColdWorst   int            // requests that a cold runner got in a second
	ColdBroken  int            // requests to cold runners above what they bear
	Refusals    map[string]int // by reason

	Runs           int     // that this is the mean of; 0: it is one run
	ShareDeviation float64 // standard deviation of Share over the runs
}

func (w *world) result(policy string) *Result {
	r := &Result{Policy: policy, SharedRead: w.books.sharedRead, SharedAgain: w.books.sharedAgain, OwnRead: w.books.own,
		Sends: w.books.sends, Repeats: w.books.repeats, CrossRegion: w.books.crossRegion, Refusals: w.books.refusals}
	for _, h := range w.hosts {
		state := h.machine.State()
		r.Preemptions += state.Preemptions
		r.Rejected += state.Rejected
		r.ColdWorst = max(r.ColdWorst, h.cold.Worst())
		r.ColdBroken += h.cold.Broken()
	}
	earned, due := 0.0, 0.0
	worth := make(map[*visit]float64)
	owed := make(map[*visit]float64)
	for i := range w.scenario.Classes {
		class := w.classResult(&w.scenario.Classes[i], worth, owed)
		earned += class.Earned
		due += class.Due
		r.Classes = append(r.Classes, class)
	}
	r.Share = ratio(earned, due)
	r.WorstSecond, r.WorstAt = w.worst(time.Second, worth, owed)
	r.WorstFive, _ = w.worst(5*time.Second, worth, owed)
	return r
}

// value is what a call is worth: a generation by its size, within bounds.
func value(c *Call, meanSize float64) (inTime, late float64) {
	const fixed, bySize, most = 0.3, 0.7, 4
	factor := 1.0
	if meanSize > 0 {
		factor = min(most, fixed+bySize*c.Size()/meanSize)
	}
	return c.Class.Worth * factor, c.Class.Late * factor
}

func (w *world) classResult(class *Class, worth, owed map[*visit]float64) ClassResult {
	r := ClassResult{Name: class.Name}
	var visits []*visit
	total := 0.0
	for _, v := range w.visits {
		if v.call.Class == class {
			visits = append(visits, v)
			total += v.call.Size()
		}
	}
	var firsts []time.Duration
	for _, v := range visits {
		full, late := value(v.call, ratio(total, float64(len(visits))))
		r.Calls++
		owed[v] = full
		r.Due += full
		switch v.outcome {
		case InTime:
			r.InTime++
			worth[v] = full
		case InTimeAfterRefusal:
			r.Late++
			worth[v] = (full + late) / 2
		case Late:
			r.Late++
			worth[v] = late
		case Refused:
			r.Refused++
		default:
			r.Failed++
		}
		r.Earned += worth[v]
		if v.first > 0 {
			firsts = append(firsts, v.first)
		}
	}
	r.First50, r.First95, r.First99 = quantile(firsts, 0.5), quantile(firsts, 0.95), quantile(firsts, 0.99)
	r.bySize(visits)
	return r
}

// bySize tells how the largest calls fared.
func (r *ClassResult) bySize(visits []*visit) {
	visits = slices.Clone(visits)
	slices.SortStableFunc(visits, func(a, b *visit) int { return cmp.Compare(b.call.Size(), a.call.Size()) })
	tenth, three := len(visits)/10, len(visits)*3/10
	r.ServedShare, r.InTimeOfCalls = fared(visits)
	r.LargestServed, r.LargestInTime = fared(visits[:tenth])
	r.LargeServed, r.LargeInTime = fared(visits[tenth:three])
}

func fared(visits []*visit) (served, inTime float64) {
	for _, v := range visits {
		switch v.outcome {
		case InTime:
			inTime++
			served++
		case Late, InTimeAfterRefusal:
			served++
		}
	}
	return ratio(served, float64(len(visits))), ratio(inTime, float64(len(visits)))
}

// startsBefore orders visits by when they began.
func startsBefore(v *visit, at time.Duration) int { return cmp.Compare(v.call.At, at) }

// worst is the share of worth earned of the calls that began within the worst window of a length.
func (w *world) worst(length time.Duration, worth, owed map[*visit]float64) (share float64, at time.Duration) {
	const step, leastCalls = 100 * time.Millisecond, 10
	share = 1
	for from := time.Duration(0); from+length <= w.scenario.Length; from += step {
		earned, due, calls := 0.0, 0.0, 0
		first, _ := slices.BinarySearchFunc(w.visits, from, startsBefore)
		for _, v := range w.visits[first:] {
			if v.call.At >= from+length {
				break
			}
			earned += worth[v]
			due += owed[v]
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
