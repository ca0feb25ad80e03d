package policysim

import (
	"math"
	"time"
)

// Mean joins the results of runs of one policy: shares, times and the worst windows are means over the runs, counts are
// sums, and what was the worst in any run stays so.
func Mean(results []*Result) *Result {
	mean := &Result{Policy: results[0].Policy, Rejections: make(map[string]int), Runs: len(results)}
	n := float64(len(results))
	var squares float64
	for _, r := range results {
		mean.ValueShare += r.ValueShare / n
		squares += r.ValueShare * r.ValueShare / n
		mean.WorstSecondShare += r.WorstSecondShare / n
		mean.WorstFiveSecondsShare += r.WorstFiveSecondsShare / n
		mean.SharedPrefilled += r.SharedPrefilled
		mean.SharedPrefilledAgain += r.SharedPrefilledAgain
		mean.OwnPrefilled += r.OwnPrefilled
		mean.Preemptions += r.Preemptions
		mean.RejectedByRunners += r.RejectedByRunners
		mean.Attempts += r.Attempts
		mean.Retries += r.Retries
		mean.CrossRegionAttempts += r.CrossRegionAttempts
		mean.SlowStartWorstRate = max(mean.SlowStartWorstRate, r.SlowStartWorstRate)
		mean.SlowStartExcess += r.SlowStartExcess
		for reason, count := range r.Rejections {
			mean.Rejections[reason] += count
		}
		mean.addClasses(r.Classes, n)
	}
	mean.ValueShareDeviation = math.Sqrt(max(0, squares-mean.ValueShare*mean.ValueShare))
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
	r.Rejected += one.Rejected
	r.Failed += one.Failed
	r.ValueEarned += one.ValueEarned
	r.ValueDue += one.ValueDue
	r.FirstEventP50 += time.Duration(float64(one.FirstEventP50) / n)
	r.FirstEventP95 += time.Duration(float64(one.FirstEventP95) / n)
	r.FirstEventP99 += time.Duration(float64(one.FirstEventP99) / n)
	r.ServedShare += one.ServedShare / n
	r.LargestServed += one.LargestServed / n
	r.LargeServed += one.LargeServed / n
	r.LargestInTime += one.LargestInTime / n
	r.LargeInTime += one.LargeInTime / n
	r.InTimeShare += one.InTimeShare / n
}
