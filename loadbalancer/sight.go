package loadbalancer

import "math"

// This file holds whose load reports are asked for.

// chooseView chooses the workers whose reports are kept fresh. Many instances with little traffic each cannot keep
// all in sight, and a report grown old draws jobs from all who hold it: so each has an even, stable subset of
// its zone and of the others, as wide as its arrivals in a report period. In a small fleet that is everyone.
func (b *Balancer) chooseView(now float64) {
	if !b.pollsReports() {
		return
	}
	width := max(minViewWidth, int(b.arrivals*b.reportPeriod/math.Max(now-b.viewChosenAt, b.sweepInterval)))
	b.arrivals, b.viewChosenAt = 0, now
	for _, ring := range b.viewRings() {
		_, fraction := math.Modf(float64(b.Instance) * math.Phi) // the golden ratio spreads any run of numbers evenly
		first := int(fraction * float64(len(ring)))
		for i, worker := range ring {
			worker.inView = (i-first+len(ring))%len(ring) < width
		}
	}
}

// sendProbes asks for load reports where nothing else brings them: the worker not asked for longest, as far as
// the traffic pays for it.
func (b *Balancer) sendProbes(now float64) {
	if !b.pollsReports() {
		return
	}
	for b.probeBudget >= 1 {
		var oldest *workerState
		for _, worker := range b.workers {
			if worker.State == Ready && worker.inView && now-worker.probedAt >= b.reportPeriod/2 &&
				(oldest == nil || worker.probedAt < oldest.probedAt) {
				oldest = worker
			}
		}
		if oldest == nil {
			return
		}
		b.probeBudget--
		oldest.probedAt = now
		b.actions.Probe(oldest.ID)
	}
}
