package loadbalancer

import "math"

// WorkerStatus is what the decisions hold of a worker, for whoever looks on. Load is in slots.
type WorkerStatus struct {
	SpareCapacity    float64 // spare room by the plan, less what was sent since
	LoadLimit        float64 // of load; 0 is not learnt yet
	UtilizationLimit float64 // of utilization
	OwnSlots         float64 // slots of our own jobs there
	OtherJobs        float64 // jobs of others there
	Pace             float64 // running time for an amount of work
	ErrorRate        float64 // mean share of errors
	Ejected          bool    // set aside
	Warmth           float64 // share of the capacity that it is sure to have
	SlowStartWork    float64 // work sent within the fall time, in seconds; what a cold worker's budget is spent on
}

// WorkerStatus tells what is held of a worker at a time; false of one that is not known. It changes nothing that is decided.
func (b *Balancer) WorkerStatus(now float64, id WorkerID) (WorkerStatus, bool) {
	worker := b.workersByID[id]
	if worker == nil {
		return WorkerStatus{}, false
	}
	status := WorkerStatus{SpareCapacity: worker.spareSlots, LoadLimit: worker.limits.Load, UtilizationLimit: worker.limits.Utilization, OwnSlots: worker.ownSlots, OtherJobs: math.Max(0, worker.otherJobs), Pace: worker.pace,
		ErrorRate: worker.ejection.ErrorRate, Ejected: worker.ejection.IsEjected(now), Warmth: b.warmth(now, worker), SlowStartWork: b.slowStartSpent(now, worker)}
	return status, true
}
