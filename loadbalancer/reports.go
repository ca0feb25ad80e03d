package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// loadReport is a load report by field; -1 is not reported.
type loadReport struct{ inFlight, utilization, freeSlots, queued float64 }

// parseReport sorts a report by the settings' fields; a value that makes no sense counts as not reported.
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
		capacity.UpdateMean(&b.reportPeriod, math.Min(now-worker.reportedAt, 8*b.reportPeriod), learningRate)
	}
	worker.reportRepeated = false
	if worker.reported { // where reports are rare, each counts for more
		capacity.UpdateMean(&worker.otherJobs, otherJobs, 1-math.Pow(1-otherJobsRate, math.Max(1, (now-worker.reportedAt)/b.reportPeriod)))
	} else {
		worker.otherJobs = otherJobs
	}
	slots := math.Round(parsed.inFlight + math.Max(parsed.freeSlots, 0)) // too high if a queue waits behind a wide job
	if parsed.freeSlots >= 0 && 2*parsed.freeSlots >= parsed.inFlight {
		worker.slots = math.Max(worker.slots, slots)
	}
	if worker.limits.Load == 0 {
		worker.limits.Load = initialMargin * worker.slots
	}
	worker.reported, worker.inFlight, worker.utilization, worker.reportedAt = true, parsed.inFlight, math.Max(parsed.utilization, 0), now
}
