package policysim

import (
	"math"
	"time"
)

// Mean joins the results of runs of one policy: shares, times and the worst windows are means over the runs, counts are
// sums, and SlowStartWorstRate is the greatest of all runs.
func Mean(results []*Result) *Result {
	mean := &Result{Policy: results[0].Policy, Rejections: make(map[string]int), Runs: len(results)}
	runs := float64(len(results))
	var squares float64
	for _, r := range results {
		mean.ValueShare += r.ValueShare / runs
		squares += r.ValueShare * r.ValueShare / runs
		mean.WorstSecondShare += r.WorstSecondShare / runs
		mean.WorstFiveSecondsShare += r.WorstFiveSecondsShare / runs
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
		mean.addClasses(r.Classes, runs)
	}
	mean.ValueShareDeviation = math.Sqrt(max(0, squares-mean.ValueShare*mean.ValueShare))
	return mean
}

func (r *Result) addClasses(classes []ClassResult, runs float64) {
	if r.Classes == nil {
		r.Classes = make([]ClassResult, len(classes))
	}
	for i := range classes {
		r.Classes[i].add(&classes[i], runs)
	}
}

// add adds the result of one of the given number of runs.
func (r *ClassResult) add(run *ClassResult, runs float64) {
	r.Name = run.Name
	r.Calls += run.Calls
	r.InTime += run.InTime
	r.Late += run.Late
	r.Rejected += run.Rejected
	r.Failed += run.Failed
	r.ValueEarned += run.ValueEarned
	r.ValueDue += run.ValueDue
	r.FirstEventP50 += time.Duration(float64(run.FirstEventP50) / runs)
	r.FirstEventP95 += time.Duration(float64(run.FirstEventP95) / runs)
	r.FirstEventP99 += time.Duration(float64(run.FirstEventP99) / runs)
	r.ServedShare += run.ServedShare / runs
	r.LargestServed += run.LargestServed / runs
	r.LargeServed += run.LargeServed / runs
	r.LargestInTime += run.LargestInTime / runs
	r.LargeInTime += run.LargeInTime / runs
	r.InTimeShare += run.InTimeShare / runs
}
