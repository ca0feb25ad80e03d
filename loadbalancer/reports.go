package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// loadReport is a load report by field; -1 is not reported.
type loadReport struct {
	inFlight    float64 // jobs
	utilization float64 // share of the cores
	freeSlots   float64
	queued      float64 // jobs
}

// maxPeriodGrowth bounds a sample of the report period as a multiple of the mean.
const maxPeriodGrowth = 8

// parseReport sorts a report by the settings' fields; an invalid value counts as not reported.
func (b *Balancer) parseReport(worker *workerState, report []float32) loadReport {
	parsed := loadReport{-1, -1, -1, -1}
	for i, field := range b.ReportFields {
		if i >= len(report) || !isFinite(float64(report[i])) || report[i] < 0 {
			continue
		}
		switch value := float64(report[i]); field {
		case FieldInFlight:
			parsed.inFlight = value
		case FieldUtilization:
			parsed.utilization = value
		case FieldFreeSlots:
			parsed.freeSlots = value
		case FieldQueued:
			parsed.queued = value
		}
	}
	if parsed.inFlight >= 0 || parsed.utilization < 0 && parsed.freeSlots < 0 && parsed.queued <= 0 {
		return parsed
	}
	// Otherwise the jobs in flight are derived from the free slots or the utilization, and from the queue.
	slots := b.slotsOf(worker)
	parsed.inFlight = slots
	if parsed.freeSlots >= 0 {
		parsed.inFlight = math.Max(slots-parsed.freeSlots, worker.ownJobs)
	} else if parsed.utilization >= 0 {
		parsed.inFlight = slots * math.Min(parsed.utilization, 1)
	}
	parsed.inFlight += math.Max(parsed.queued, 0)
	return parsed
}

// learnReport applies a load report. Reports lag: the own jobs in it are subtracted as of when it was
// taken.
func (b *Balancer) learnReport(now float64, worker *workerState, report []float32) {
	parsed := b.parseReport(worker, report)
	if parsed.inFlight < 0 {
		return // nothing reported
	}
	if worker.reported && parsed.inFlight == worker.inFlight && parsed.utilization == worker.utilization {
		worker.reportRepeated = true // the same report again
		return
	}
	otherJobs := parsed.inFlight - worker.meanOwnJobs
	if worker.reportRepeated { // else the time between reports is how rarely this balancer polled
		capacity.UpdateMean(&b.reportPeriod, math.Min(now-worker.reportedAt, maxPeriodGrowth*b.reportPeriod), learningRate)
	}
	worker.reportRepeated = false
	if worker.reported { // where reports are rare, each counts for more
		periods := math.Max(1, (now-worker.reportedAt)/b.reportPeriod)
		capacity.UpdateMean(&worker.otherJobs, otherJobs, 1-math.Pow(1-otherJobsRate, periods))
	} else {
		worker.otherJobs = otherJobs
	}
	// With few free slots the sum would be too high: a queue may wait behind a wide job.
	slots := math.Round(parsed.inFlight + math.Max(parsed.freeSlots, 0))
	if parsed.freeSlots >= 0 && 2*parsed.freeSlots >= parsed.inFlight {
		worker.slots = math.Max(worker.slots, slots)
	}
	if worker.limits.Load == 0 {
		worker.limits.Load = initialMargin * worker.slots
	}
	worker.reported = true
	worker.reportedAt = now
	worker.inFlight = parsed.inFlight
	worker.utilization = math.Max(parsed.utilization, 0)
}
