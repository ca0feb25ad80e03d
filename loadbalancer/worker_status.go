package loadbalancer

import "math"

// WorkerStatus is the state of a worker on which the decisions depend, for metrics and consoles. Load is in slots.
type WorkerStatus struct {
	SpareCapacity    float64 // by the plan, less what was sent since
	LoadLimit        float64 // 0 is not learnt yet
	UtilizationLimit float64 // up to which jobs end in time
	OwnSlots         float64 // slots of this instance's jobs there
	OtherJobs        float64 // jobs of other instances there
	Pace             float64 // running time for a second of work
	ErrorRate        float64 // running mean
	Ejected          bool    // outlier detection gives it jobs only if all others are worse
	Warmth           float64 // share of its capacity that it is sure to have
	SlowStartWork    float64 // seconds of work sent within the overload window
}

// WorkerStatus returns the status of a worker; false if it is not known. It changes no decision.
func (b *Balancer) WorkerStatus(now float64, id WorkerID) (WorkerStatus, bool) {
	worker := b.workersByID[id]
	if worker == nil {
		return WorkerStatus{}, false
	}
	status := WorkerStatus{
		SpareCapacity:    worker.spareSlots,
		LoadLimit:        worker.limits.Load,
		UtilizationLimit: worker.limits.Utilization,
		OwnSlots:         worker.ownSlots,
		OtherJobs:        math.Max(0, worker.otherJobs),
		Pace:             worker.pace,
		ErrorRate:        worker.ejection.ErrorRate,
		Ejected:          worker.ejection.IsEjected(now),
		Warmth:           b.warmth(now, worker),
		SlowStartWork:    b.slowStartSpent(now, worker),
	}
	return status, true
}
