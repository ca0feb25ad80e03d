package loadbalancer

import (
	"math"
	"slices"

	"cinderroad/internal/shared/capacity"
)

// workerState is a worker and what this balancer knows of it.
type workerState struct {
	Worker

	reported       bool    // a load report has come since its last start
	inFlight       float64 // as last reported
	utilization    float64 // as last reported
	reportedAt     float64 // when the last new report was first seen
	reportRepeated bool    // it has been seen again since
	reportWeight   float64 // weight of its last report against the mean of all workers
	inView         bool    // its reports are polled
	probedAt       float64

	slots      float64 // as it has shown; 0: not known
	limits     capacity.Limits
	ejection   capacity.Ejection
	spareSlots float64 // by the plan, lowered by each send since
	otherJobs  float64 // jobs of the other instances
	pace       float64 // running time for a second of work
	runTime    float64 // mean running time of a job here; 0: none has ended
	departedAt float64 // when it departed from the list

	ownSlots    float64 // slots of own jobs in flight here
	ownJobs     float64 // own jobs in flight here
	meanOwnJobs float64 // ownJobs as of about a report period ago
	longestWait float64 // how long the first own job in its queue has waited
	queuedSlots float64 // slots of own jobs in its queue

	sentWork         [4]float64 // seconds of work sent, by spans of a third of the overload window
	sentSpan         int64      // number of the current span
	orderTurn        uint64     // the turn that order was computed for
	orderKeysVersion uint64     // the version of the keys that order was computed for
	order            int        // cached result of turnOrder
}

// machineKind is what is known of a machine kind.
type machineKind struct {
	pace     float64 // mean running time for a second of work
	slots    float64 // fewest slots that one of its workers has shown; 0: none has
	slotsAt  float64 // when slots was computed
	meanWait float64 // how long jobs recently waited for their start on workers that report no load
}

// kindOf returns the worker's kind; a new one starts with the mean of all.
func (b *Balancer) kindOf(worker *workerState) *machineKind {
	known := b.kinds[worker.Kind]
	if known == nil {
		known = &machineKind{pace: math.Max(b.meanPace, worker.pace)}
		b.kinds[worker.Kind] = known
	}
	return known
}

// slotsOf is the number of slots that a worker has shown, or else those of its kind, or the mean of all.
func (b *Balancer) slotsOf(worker *workerState) float64 {
	if worker.slots > 0 {
		return worker.slots
	}
	if slots := b.kindOf(worker).slots; slots > 0 {
		return slots
	}
	return b.meanSlots
}

// zoneOf is the worker's zone, or the own one if the list names none that exists.
func (b *Balancer) zoneOf(worker *workerState) int {
	if worker.Zone < 0 || worker.Zone >= b.Zones {
		return b.Zone
	}
	return worker.Zone
}

// canRun reports whether the worker is of the request's kind and has its skill.
func (w *workerState) canRun(request *requestState) bool {
	return (request.class.Kind < 0 || w.Kind == request.class.Kind) &&
		(request.Skill == 0 && len(w.Skills) == 0 || slices.Contains(w.Skills, request.Skill))
}

// markDeparted records that the worker is no longer listed, and since when.
func (w *workerState) markDeparted(now float64) {
	if w.State != Departed || w.departedAt == 0 {
		w.State = Departed
		w.departedAt = now
	}
}

// pruneDeparted drops workers that departed long ago: machines come and go for as long as the process
// runs.
func (b *Balancer) pruneDeparted(now float64) {
	b.workers = slices.DeleteFunc(b.workers, func(worker *workerState) bool {
		expired := worker.State == Departed && worker.ownJobs == 0 && now-worker.departedAt > pruneAfter*b.recoveryTime
		if expired {
			delete(b.workersByID, worker.ID)
		}
		return expired
	})
}
