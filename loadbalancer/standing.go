package loadbalancer

import "math"

// Standing is what the decisions hold of a worker, for whoever looks on. Load is in slots.
type Standing struct {
	Room     float64 // spare room by the plan, less what was sent since
	Ceiling  float64 // of load; 0 is not learnt yet
	UtilCeil float64 // of utilization
	Own      float64 // slots of our own jobs there
	Others   float64 // jobs of others there
	Pace     float64 // running time for an amount of work
	Errors   float64 // mean share of errors
	Shunned  bool    // set aside
	Warmth   float64 // share of the capacity that it is sure to have
	ColdSent float64 // work sent within the fall time, in seconds; what a cold worker's budget is spent on
}

// Standing tells what is held of a worker at a time; false of one that is not known. It changes nothing that is decided.
func (b *Balancer) Standing(now float64, id WorkerID) (Standing, bool) {
	w := b.byID[id]
	if w == nil {
		return Standing{}, false
	}
	s := Standing{Room: w.room, Ceiling: w.ceilings.Load, UtilCeil: w.ceilings.Util, Own: w.own, Others: math.Max(0, w.others), Pace: w.pace,
		Errors: w.standing.Errors, Shunned: w.standing.Shunned(now), Warmth: b.warmth(now, w), ColdSent: b.spent(now, w)}
	return s, true
}
