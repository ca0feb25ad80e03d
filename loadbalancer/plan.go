package loadbalancer

import (
	"cmp"
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file holds the capacity plan: spare room of each worker, and how long a job would wait there.

// rebuildPlan makes the capacity plan of this period: spare room is the ceiling less the load, and the load is
// the others' jobs by the last reports plus our own of now. Ceilings recover with time.
func (b *Balancer) rebuildPlan(now float64) {
	elapsed, reportAge := math.Min((now-b.plannedAt)/b.recoveryTime, 1), math.Min((now-b.plannedAt)/b.reportPeriod, 1)
	recent := math.Min((now-b.plannedAt)/math.Max(b.meanRunTime, b.Tick), 1)
	b.plannedAt = now
	b.updateMeans(now, elapsed)
	b.maxWait = b.longestWait()
	sum, weights, reporting, ownSlots := 0.0, 0.0, 0.0, 0.0
	freshWeight := 1 - crowdShare*(1-1/float64(b.Instances))
	for _, worker := range b.workers {
		ownSlots += worker.ownSlots
		capacity.UpdateMean(&worker.meanOwnJobs, worker.ownJobs, reportAge)
		worker.limits.Recover(worker.slots, elapsed)
		worker.pace += (b.meanPace - worker.pace) * elapsed // or a worker once slow would never be tried again
		if worker.reportWeight = 0; worker.State != Ready || !worker.reported {
			continue
		}
		if worker.queuedSlots > 0 { // an own job waits, so all slots are taken: fresher news than any report
			worker.otherJobs = math.Max(worker.otherJobs, (worker.slots-worker.ownSlots+worker.queuedSlots)/b.slotsPerJob)
		}
		ceiling := cmp.Or(worker.limits.Load, initialMargin*b.slotsOf(worker)) // its own, once its size is known
		worker.spareSlots = capacity.SpareCapacity(ceiling, b.warmth(now, worker), math.Max(0, worker.otherJobs)*b.slotsPerJob)
		// A report loses weight with age: an old one would draw every job to a worker or lock it out.
		// What others send on the same report is unseen: if all believed all of it, all would choose alike.
		worker.reportWeight = freshWeight * math.Max(0, 1-(now-worker.reportedAt)/(2*staleAfter*b.reportPeriod))
		// In the mean a queue counts up to what is refused: one of sixty jobs would have the idle look full.
		maxQueue := b.maxWait * b.slotsOf(worker) / math.Max(b.meanRunTime, b.Tick)
		sum, weights, reporting = sum+math.Max(worker.spareSlots, -maxQueue)*worker.reportWeight, weights+worker.reportWeight, reporting+freshWeight
	}
	if sum < 0 { // and it fades: who refuses all is told nothing new
		weights = reporting
	}
	capacity.UpdateMean(&b.meanOwnSlots, ownSlots, elapsed)
	capacity.UpdateMean(&b.recentOwnSlots, ownSlots, recent)
	busy := math.Min(b.recentOwnSlots*float64(b.Instances-1)/math.Max(b.totalSlots, 1), 1) // share held by others, if alike
	for _, worker := range b.workers {
		spare := sum / math.Max(weights, math.SmallestNonzeroFloat32) * b.warmth(now, worker)
		if reporting == 0 { // nobody tells anything: our own jobs and how long they wait are all there is
			load := (busy*b.warmth(now, worker) + b.kindOf(worker).meanWait/math.Max(b.meanRunTime, b.Tick)) * b.meanSlots
			worker.otherJobs, spare = load/b.slotsPerJob, initialMargin*b.meanSlots*b.warmth(now, worker)-load+b.tieBreak(worker)
		}
		worker.spareSlots = math.Max(spare+(worker.spareSlots-spare)*worker.reportWeight-worker.ownSlots, b.slowStartOwnSlots(now, worker))
		if worker.queuedSlots > 0 || worker.reportWeight > 0.5 && worker.utilization >= worker.limits.Utilization { // an own job waits, or it is all busy
			worker.spareSlots = math.Min(worker.spareSlots, 0)
		}
	}
}

// longestWait is how long a job may wait: a share of the classes' mean slack, more where a late answer earns.
func (b *Balancer) longestWait() (wait float64) {
	for i := range b.Classes {
		class := &b.Classes[i]
		slack := math.Max(class.Objective+(class.Stretch-1)*b.meanWork[i], class.Objective)
		if class.Stretch == 0 {
			slack = defaultSlack * class.Objective
		}
		lateLoss := 1 - math.Min(class.LateValueShare, 1) // half the worth lost by being late: twice the wait
		slack = math.Min(slack/math.Max(lateLoss, math.SmallestNonzeroFloat32), class.Deadline)
		wait += maxWaitShare * slack / float64(len(b.Classes))
	}
	return wait
}

// expectedWait is how long a job sent to the worker now would wait for its start.
func (b *Balancer) expectedWait(worker *workerState, request *requestState) float64 {
	slots, runTime := b.slotsOf(worker), cmp.Or(worker.runTime, b.meanRunTime)
	wait := ((initialMargin-1)*slots - worker.spareSlots + request.slotsNeeded) * runTime / slots // what is over its size, as it ends
	return math.Max(wait, worker.longestWait)
}
