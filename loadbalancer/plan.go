package loadbalancer

import (
	"cmp"
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file holds the capacity plan: spare room of each worker, and how long a job would wait there.

// rebuild makes the capacity plan of this period: spare room is the ceiling less the load, and the load is
// the others' jobs by the last reports plus our own of now. Ceilings recover with time.
func (b *Balancer) rebuild(now float64) {
	age, was := math.Min((now-b.planAt)/b.recover, 1), math.Min((now-b.planAt)/b.period, 1)
	recent := math.Min((now-b.planAt)/math.Max(b.run, b.Tick), 1)
	b.planAt = now
	b.measure(now, age)
	b.patience = b.longest()
	sum, n, heard, own := 0.0, 0.0, 0.0, 0.0
	fresh := 1 - crowdShare*(1-1/float64(b.Instances))
	for _, w := range b.workers {
		own += w.own
		capacity.UpdateMean(&w.jobsThen, w.jobs, was)
		w.ceilings.Recover(w.slots, age)
		w.pace += (b.pace - w.pace) * age // or a worker once slow would never be tried again
		if w.trust = 0; w.State != Ready || !w.heard {
			continue
		}
		if w.queued > 0 { // an own job waits, so all slots are taken: fresher news than any report
			w.others = math.Max(w.others, (w.slots-w.own+w.queued)/b.perJob)
		}
		ceiling := cmp.Or(w.ceilings.Load, seedMargin*b.sizeOf(w)) // its own, once its size is known
		w.room = capacity.SpareCapacity(ceiling, b.warmth(now, w), math.Max(0, w.others)*b.perJob)
		// A report loses weight with age: an old one would draw every job to a worker or lock it out.
		// What others send on the same report is unseen: if all believed all of it, all would choose alike.
		w.trust = fresh * math.Max(0, 1-(now-w.reportAt)/(2*staleAfter*b.period))
		// In the mean a queue counts up to what is refused: one of sixty jobs would have the idle look full.
		deep := b.patience * b.sizeOf(w) / math.Max(b.run, b.Tick)
		sum, n, heard = sum+math.Max(w.room, -deep)*w.trust, n+w.trust, heard+fresh
	}
	if sum < 0 { // and it fades: who refuses all is told nothing new
		n = heard
	}
	capacity.UpdateMean(&b.demand, own, age)
	capacity.UpdateMean(&b.out, own, recent)
	busy := math.Min(b.out*float64(b.Instances-1)/math.Max(b.slots, 1), 1) // share held by others, if alike
	for _, w := range b.workers {
		room := sum / math.Max(n, math.SmallestNonzeroFloat32) * b.warmth(now, w)
		if heard == 0 { // nobody tells anything: our own jobs and how long they wait are all there is
			load := (busy*b.warmth(now, w) + b.kind(w).waits/math.Max(b.run, b.Tick)) * b.meanSize
			w.others, room = load/b.perJob, seedMargin*b.meanSize*b.warmth(now, w)-load+b.draw(w)
		}
		w.room = math.Max(room+(w.room-room)*w.trust-w.own, b.ownRoom(now, w))
		if w.queued > 0 || w.trust > 0.5 && w.util >= w.ceilings.Utilization { // an own job waits, or it is all busy
			w.room = math.Min(w.room, 0)
		}
	}
}

// longest is how long a job may wait: a share of the classes' mean slack, more where a late answer earns.
func (b *Balancer) longest() (wait float64) {
	for i := range b.Classes {
		c := &b.Classes[i]
		slack := math.Max(c.Objective+(c.Stretch-1)*b.work[i], c.Objective)
		if c.Stretch == 0 {
			slack = plainSlack * c.Objective
		}
		loss := 1 - math.Min(c.LateValueShare, 1) // half the worth lost by being late: twice the wait
		slack = math.Min(slack/math.Max(loss, math.SmallestNonzeroFloat32), c.Deadline)
		wait += longWait * slack / float64(len(b.Classes))
	}
	return wait
}

// wait is how long a job sent to the worker now would wait for its start.
func (b *Balancer) wait(w *worker, r *request) float64 {
	size, run := b.sizeOf(w), cmp.Or(w.run, b.run)
	wait := ((seedMargin-1)*size - w.room + r.size) * run / size // what is over its size, as it ends
	return math.Max(wait, w.oldest)
}
