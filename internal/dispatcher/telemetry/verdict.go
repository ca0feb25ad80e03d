package telemetry

import (
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// ResultNames are the results of attempts, as in series and the request log.
var ResultNames = [loadbalancer.Withdrawn + 1]string{
	loadbalancer.OK:            "ok",
	loadbalancer.Error:         "error",
	loadbalancer.Rejected:      "full",
	loadbalancer.Timeout:       "timeout",
	loadbalancer.ConnectFailed: "connect_failed",
	loadbalancer.Reset:         "reset",
	loadbalancer.Cancelled:     "cancelled",
	loadbalancer.Withdrawn:     "moot",
}

// Verdict is the final outcome of a job, as in series and the request log.
type Verdict uint8

// The verdicts. Each job gets exactly one, except that a requeued job is submitted again.
const (
	InTime Verdict = iota
	Late
	Rejected
	Failed
	Disconnected
	Requeued
	NumVerdicts // number of verdicts
)

var verdictNames = [NumVerdicts]string{
	InTime:       "in_time",
	Late:         "late",
	Rejected:     "refused",
	Failed:       "failed",
	Disconnected: "gone",
	Requeued:     "returned",
}

var verdictHelp = [NumVerdicts]string{
	InTime:       "Jobs served within the latency objective of the class, scaled by the hinted work.",
	Late:         "Jobs served after the latency objective.",
	Rejected:     "Jobs rejected: they did not run, a retry is harmless.",
	Failed:       "Jobs failed: they may have run.",
	Disconnected: "Jobs whose client disconnected before an answer.",
	Requeued:     "Rejections of background jobs, which are queued again.",
}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict returns the verdict with a name.
func ParseVerdict(name string) (Verdict, bool) {
	for v, n := range verdictNames {
		if n == name {
			return Verdict(v), true
		}
	}
	return 0, false
}

// VerdictOf returns the verdict of a final answer.
func VerdictOf(answer *dispatch.AnswerRecord) Verdict {
	switch answer.Verdict {
	case dispatch.Served:
		if answer.Late() {
			return Late
		}
		return InTime
	case dispatch.Rejected:
		return Rejected
	case dispatch.Disconnected:
		return Disconnected
	case dispatch.Requeued:
		return Requeued
	}
	return Failed
}
