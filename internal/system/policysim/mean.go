package policysim

import (
	"math"
	"time"
)

// Mean joins the results of runs of one policy: shares, times and the worst windows are means over the runs, counts are
// sums, and what was the worst in any run stays so.
func Mean(results []*Result) *Result {
	mean := &Result{Policy: results[0].Policy, Refusals: make(map[string]int), Runs: len(results)}
	n := float64(len(results))
	var squares float64
	for _, r := range results {
		mean.Share += r.Share / n
		squares += r.Share * r.Share / n
		mean.WorstSecond += r.WorstSecond / n
		mean.WorstFive += r.WorstFive / n
		mean.SharedRead += r.SharedRead
		mean.SharedAgain += r.SharedAgain
		mean.OwnRead += r.OwnRead
		mean.Preemptions += r.Preemptions
		mean.Rejected += r.Rejected
		mean.Sends += r.Sends
		mean.Repeats += r.Repeats
		mean.CrossRegion += r.CrossRegion
		mean.ColdWorst = max(mean.ColdWorst, r.ColdWorst)
		mean.ColdBroken += r.ColdBroken
		for reason, count := range r.Refusals {
			mean.Refusals[reason] += count
		}
		mean.addClasses(r.Classes, n)
	}
	mean.ShareDeviation = math.Sqrt(max(0, squares-mean.Share*mean.Share))
	return mean
}

func (r *Result) addClasses(classes []ClassResult, n float64) {
	if r.Classes == nil {
		r.Classes = make([]ClassResult, len(classes))
	}
	for i := range classes {
		r.Classes[i].add(&classes[i], n)
	}
}

// add adds one of n runs.
func (r *ClassResult) add(one *ClassResult, n float64) {
	r.Name = one.Name
	r.Calls += one.Calls
	r.InTime += one.InTime
	r.Late += one.Late
	r.Refused += one.Refused
	r.Failed += one.Failed
	r.Earned += one.Earned
	r.Due += one.Due
	r.First50 += time.Duration(float64(one.First50) / n)
	r.First95 += time.Duration(float64(one.First95) / n)
	r.First99 += time.Duration(float64(one.First99) / n)
	r.ServedShare += one.ServedShare / n
	r.LargestServed += one.LargestServed / n
	r.LargeServed += one.LargeServed / n
	r.LargestInTime += one.LargestInTime / n
	r.LargeInTime += one.LargeInTime / n
	r.InTimeOfCalls += one.InTimeOfCalls / n
}
