package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// updateMeans computes the own jobs that wait to start on each worker, the workers' slots and their mean
// error rate; decay is the share of the longest deadline that has passed since the last time.
func (b *Balancer) updateMeans(now, decay float64) {
	slots, reporting := 0.0, 0.0 // sum over the workers that have shown their slots; their number
	fewestSlots := math.Inf(1)
	errors, observed := 0.0, 0.0 // sum of error rates; number of workers
	weight, weights := 0.0, 0.0  // sum; number of workers that have one
	b.totalSlots = 0
	for _, worker := range b.workers {
		worker.longestWait = 0
		worker.queuedSlots = 0
		if worker.State == Ready {
			b.totalSlots += b.slotsOf(worker) * b.warmth(now, worker)
			if worker.Weight > 0 && isFinite(worker.Weight) {
				weight += worker.Weight
				weights++
			}
		}
		if worker.ejection.Observed && worker.State == Ready {
			errors += worker.ejection.ErrorRate
			observed++
		}
		if worker.slots > 0 {
			slots += worker.slots
			reporting++
			fewestSlots = math.Min(fewestSlots, worker.slots)
			if kind := b.kindOf(worker); kind.slotsAt != now {
				kind.slots = worker.slots
				kind.slotsAt = now
			} else { // a worker that queued more than it runs may look larger than it is
				kind.slots = math.Min(kind.slots, worker.slots)
			}
		}
	}
	for _, kind := range b.kinds {
		capacity.UpdateMean(&kind.meanWait, 0, decay) // without sends there are no new samples
	}
	b.meanErrorRate = errors / math.Max(observed, 1)
	b.meanWeight = weight / math.Max(weights, 1)
	if reporting > 0 {
		b.minSlots = fewestSlots
		b.meanSlots = slots / reporting
	} else { // meanSlots is only an estimate: slow start trusts half of it
		b.minSlots = math.Max(1, b.meanSlots/2)
	}
	if b.ReportsStart {
		b.observeQueues(now)
	}
}

// observeQueues adds to the workers' queues the own jobs that have been sent and have not started.
func (b *Balancer) observeQueues(now float64) {
	for _, request := range b.unanswered {
		for i := range request.attempts {
			attempt := &request.attempts[i]
			if !attempt.inFlight || attempt.startedAt > 0 {
				continue
			}
			worker := attempt.worker
			wait := now - attempt.sentAt
			// A shorter wait may be the latency of the progress update.
			if wait > b.zoneLatencies[b.zoneOf(worker)]+b.sweepInterval {
				worker.longestWait = math.Max(worker.longestWait, wait)
				worker.queuedSlots += request.slotsNeeded
			}
		}
	}
}

// learnPace learns from the running time for an amount of work.
func (b *Balancer) learnPace(worker *workerState, runTime, cost float64) {
	if cost <= 0 || runTime <= 0 {
		return
	}
	// The samples are bounded: one heavy job does not make a worker slow.
	capacity.UpdateMean(&worker.pace, math.Min(runTime/cost, 2*peerFactor*b.meanPace), learningRate)
	capacity.UpdateMean(&b.meanPace, math.Min(runTime/cost, 2*b.meanPace), clusterLearningRate)
	kind := b.kindOf(worker)
	capacity.UpdateMean(&kind.pace, math.Min(runTime/cost, 2*kind.pace), clusterLearningRate)
}

// learnWait learns from the wait of a job on a worker that reports no load: how long jobs wait on its
// kind, and the load at which they begin to. Where starts are not reported, ends tell; atStart says which
// of the two the wait was seen at.
func (b *Balancer) learnWait(atStart bool, worker *workerState, load, wait float64) {
	if worker.slots > 0 || atStart != b.ReportsStart {
		return
	}
	capacity.UpdateMean(&b.kindOf(worker).meanWait, wait, learningRate)
	if (wait == 0) == (load > b.meanSlots) {
		capacity.UpdateMean(&b.meanSlots, load, learningRate)
	}
}
