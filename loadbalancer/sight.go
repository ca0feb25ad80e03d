package loadbalancer

import "math"

// This file holds whose load reports are asked for.

// view chooses the workers whose reports are kept fresh. Many instances with little traffic each cannot keep
// all in sight, and a report grown old draws jobs from all who hold it: so each has an even, stable subset of
// its zone and of the others, as wide as its arrivals in a report period. In a small fleet that is everyone.
func (b *Balancer) view(now float64) {
	if !b.mayAsk() {
		return
	}
	width := max(viewLeast, int(b.arrivals*b.period/math.Max(now-b.viewAt, b.sweep)))
	b.arrivals, b.viewAt = 0, now
	for _, ring := range b.rings() {
		_, place := math.Modf(float64(b.Instance) * math.Phi) // the golden ratio spreads any run of numbers evenly
		first := int(place * float64(len(ring)))
		for i, w := range ring {
			w.inView = (i-first+len(ring))%len(ring) < width
		}
	}
}

// probe asks for load reports where nothing else brings them: the worker not asked for longest, as far as
// the traffic pays for it.
func (b *Balancer) probe(now float64) {
	if !b.mayAsk() {
		return
	}
	for b.probes >= 1 {
		var next *worker
		for _, w := range b.workers {
			if w.State == Ready && w.inView && now-w.probedAt >= b.period/2 &&
				(next == nil || w.probedAt < next.probedAt) {
				next = w
			}
		}
		if next == nil {
			return
		}
		b.probes--
		next.probedAt = now
		b.act.Probe(next.ID)
	}
}
