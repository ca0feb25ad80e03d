package loadbalancer

import (
	"cmp"
	"math"
	"slices"

	"cinderroad/internal/shared/capacity"
)

// This file decides whose load reports are polled.

// pollsReports reports whether load reports come by probes, and by nothing else.
func (b *Balancer) pollsReports() bool { return b.MayProbe && b.ReportsByProbe }

// chooseView chooses the workers whose reports are kept fresh. Many instances with little traffic each
// cannot poll all, and an old report attracts jobs from all that have it: so each has an even, stable
// subset of its zone and of the others, as wide as its arrivals in a report period. In a small cluster
// that is everyone.
func (b *Balancer) chooseView(now float64) {
	if !b.pollsReports() {
		return
	}
	sinceChoice := math.Max(now-b.viewChosenAt, b.sweepInterval)
	arrivalsInPeriod := b.arrivals * b.reportPeriod / sinceChoice
	width := max(minViewWidth, int(arrivalsInPeriod))
	b.arrivals = 0
	b.viewChosenAt = now
	for _, ring := range b.viewRings() {
		// The golden ratio spreads any run of numbers evenly.
		_, fraction := math.Modf(float64(b.Instance) * math.Phi)
		first := int(fraction * float64(len(ring)))
		for i, worker := range ring {
			worker.inView = (i-first+len(ring))%len(ring) < width
		}
	}
}

// viewRings are the ready workers of the own zone and the others, each in an order that all instances
// share.
func (b *Balancer) viewRings() [2][]*workerState {
	var rings [2][]*workerState
	for _, worker := range b.workers {
		if worker.State == Ready && b.zoneOf(worker) == b.Zone {
			rings[0] = append(rings[0], worker)
		} else if worker.State == Ready {
			rings[1] = append(rings[1], worker)
		}
	}
	for _, ring := range rings {
		slices.SortFunc(ring, func(x, y *workerState) int {
			return cmp.Compare(capacity.Hash(uint64(x.ID)), capacity.Hash(uint64(y.ID)))
		})
	}
	return rings
}

// sendProbes polls the worker that was not polled for longest, as far as the traffic pays for it.
func (b *Balancer) sendProbes(now float64) {
	if !b.pollsReports() {
		return
	}
	for b.probeBudget >= 1 {
		oldest := b.nextToProbe(now)
		if oldest == nil {
			return
		}
		b.probeBudget--
		oldest.probedAt = now
		b.actions.Probe(oldest.ID)
	}
}

// nextToProbe returns the worker in view that was not polled for longest; nil if all were polled recently.
func (b *Balancer) nextToProbe(now float64) (oldest *workerState) {
	for _, worker := range b.workers {
		isDue := worker.State == Ready && worker.inView && now-worker.probedAt >= b.reportPeriod/2
		if isDue && (oldest == nil || worker.probedAt < oldest.probedAt) {
			oldest = worker
		}
	}
	return oldest
}
