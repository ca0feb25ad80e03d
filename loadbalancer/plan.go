package loadbalancer

import (
	"cmp"
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file decides the capacity plan: the spare capacity of each worker, and how long a job would wait
// there.

// reportedSpare is what the load reports say of the spare capacity of all workers together.
type reportedSpare struct {
	sum       float64 // of the workers' spare slots, by the weights of their reports
	weights   float64 // of the reports
	reporting float64 // the weights that the reports would have if they were new; 0: no worker reports
}

// mean is the spare slots of a worker that has no report.
func (r *reportedSpare) mean() float64 {
	weights := r.weights
	if r.sum < 0 { // and it fades: a balancer that rejects everything gets no new reports
		weights = r.reporting
	}
	return r.sum / math.Max(weights, math.SmallestNonzeroFloat32)
}

// rebuildPlan makes the capacity plan of this period: spare capacity is the limit less the load, and the
// load is the others' jobs by the last reports plus our own of now. Limits recover with time.
func (b *Balancer) rebuildPlan(now float64) {
	sincePlan := now - b.plannedAt
	elapsed := math.Min(sincePlan/b.recoveryTime, 1)
	reportAge := math.Min(sincePlan/b.reportPeriod, 1)
	recent := math.Min(sincePlan/math.Max(b.meanRunTime, b.Tick), 1)
	b.plannedAt = now
	b.updateMeans(now, elapsed)
	b.maxWait = b.longestWait()
	ownSlots := 0.0
	var reported reportedSpare
	for _, worker := range b.workers {
		ownSlots += worker.ownSlots
		capacity.UpdateMean(&worker.meanOwnJobs, worker.ownJobs, reportAge)
		worker.limits.Recover(worker.slots, elapsed)
		worker.pace += (b.meanPace - worker.pace) * elapsed // or a slow worker would never be tried again
		worker.reportWeight = 0
		if worker.State == Ready && worker.reported {
			b.planByReport(now, worker, &reported)
		}
	}
	capacity.UpdateMean(&b.meanOwnSlots, ownSlots, elapsed)
	capacity.UpdateMean(&b.recentOwnSlots, ownSlots, recent)
	for _, worker := range b.workers {
		b.planWorker(now, worker, &reported)
	}
}

// planByReport sets the spare slots of a worker by its last load report, and adds them to those of all.
func (b *Balancer) planByReport(now float64, worker *workerState, reported *reportedSpare) {
	if worker.queuedSlots > 0 { // an own job waits, so all slots are taken: more recent than any report
		others := (worker.slots - worker.ownSlots + worker.queuedSlots) / b.slotsPerJob
		worker.otherJobs = math.Max(worker.otherJobs, others)
	}
	limit := cmp.Or(worker.limits.Load, initialMargin*b.slotsOf(worker)) // its own, once known
	load := math.Max(0, worker.otherJobs) * b.slotsPerJob
	worker.spareSlots = capacity.SpareCapacity(limit, b.warmth(now, worker), load)
	// What others send on the same report is not known: if all trusted it fully, all would choose alike.
	newWeight := 1 - crowdShare*(1-1/float64(b.Instances))
	// A report loses weight with age: an old one would attract every job to a worker or exclude it.
	age := (now - worker.reportedAt) / (2 * staleAfter * b.reportPeriod)
	worker.reportWeight = newWeight * math.Max(0, 1-age)
	// A queue counts up to what is rejected: else one of sixty jobs would make idle workers look full.
	maxQueue := b.maxWait * b.slotsOf(worker) / math.Max(b.meanRunTime, b.Tick)
	reported.sum += math.Max(worker.spareSlots, -maxQueue) * worker.reportWeight
	reported.weights += worker.reportWeight
	reported.reporting += newWeight
}

// planWorker sets the spare slots of a worker, by its own report as far as that has weight, and by the mean
// of all for the rest.
func (b *Balancer) planWorker(now float64, worker *workerState, reported *reportedSpare) {
	spare := reported.mean() * b.warmth(now, worker)
	if reported.reporting == 0 {
		spare = b.spareWithoutReports(now, worker)
	}
	weighted := spare + (worker.spareSlots-spare)*worker.reportWeight - worker.ownSlots
	worker.spareSlots = math.Max(weighted, b.slowStartOwnSlots(now, worker))
	busyByReport := worker.reportWeight > 0.5 && worker.utilization >= worker.limits.Utilization
	if worker.queuedSlots > 0 || busyByReport { // an own job waits, or all cores are busy
		worker.spareSlots = math.Min(worker.spareSlots, 0)
	}
}

// spareWithoutReports estimates the spare slots of a worker where none reports its load: the own jobs and
// their waits are all there is. It sets the worker's otherJobs.
func (b *Balancer) spareWithoutReports(now float64, worker *workerState) float64 {
	// busy is the share of the slots that the other instances hold if each holds as many as this one.
	busy := math.Min(b.recentOwnSlots*float64(b.Instances-1)/math.Max(b.totalSlots, 1), 1)
	queue := b.kindOf(worker).meanWait / math.Max(b.meanRunTime, b.Tick)
	load := (busy*b.warmth(now, worker) + queue) * b.meanSlots
	worker.otherJobs = load / b.slotsPerJob
	return initialMargin*b.meanSlots*b.warmth(now, worker) - load + b.tieBreak(worker)
}

// longestWait is how long a job may wait: a share of the classes' mean slack, more where a late answer
// has value.
func (b *Balancer) longestWait() (wait float64) {
	for i := range b.Classes {
		class := &b.Classes[i]
		slack := math.Max(class.Objective+(class.Stretch-1)*b.meanWork[i], class.Objective)
		if class.Stretch == 0 {
			slack = defaultSlack * class.Objective
		}
		lateLoss := 1 - math.Min(class.LateValueShare, 1) // half the value lost by being late: twice the wait
		slack = math.Min(slack/math.Max(lateLoss, math.SmallestNonzeroFloat32), class.Deadline)
		wait += maxWaitShare * slack / float64(len(b.Classes))
	}
	return wait
}

// expectedWait is how long a job that is sent to the worker now would wait for its start.
func (b *Balancer) expectedWait(worker *workerState, request *requestState) float64 {
	slots := b.slotsOf(worker)
	runTime := cmp.Or(worker.runTime, b.meanRunTime)
	excess := (initialMargin-1)*slots - worker.spareSlots + request.slotsNeeded // over its slots
	untilFree := excess * runTime / slots                                       // until so much has ended
	return math.Max(untilFree, worker.longestWait)
}
