package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file takes the list's news and the results of probes.

// UpdateWorkers takes the list's news; what is not ready gets nothing from here on.
func (b *Balancer) UpdateWorkers(now float64, kind ListKind, entries []Worker) {
	if kind == ListFailed { // it does not say which call failed: the watch may be broken
		b.watching = false
		b.askEvery = math.Min(2*b.askEvery, b.ListRefreshInterval/2)
		b.act.Log("list: a call failed or the watch broke; asking again")
		return
	}
	b.watching, b.askEvery = kind != ListCached, b.ListRefreshInterval/8
	if kind != ListDelta {
		for _, w := range b.workers {
			w.leave(now)
		}
	}
	for _, e := range entries {
		w := b.byID[e.ID]
		if w == nil {
			w = &worker{pace: b.pace, ceilings: capacity.InitialLimits(0)}
			b.byID[e.ID] = w
			b.workers = append(b.workers, w)
			w.ID = e.ID
			b.recall(w, e.StartedAt)
		} else if e.State == Ready && e.StartedAt > w.StartedAt { // restarted: what was learnt of its load is void
			w.heard, w.others, w.ceilings.Overloads = false, 0, 0
			w.standing.ErrorRate, w.standing.EjectedUntil = 0, 0
		}
		if !finite(e.StartedAt) {
			e.StartedAt = now
		}
		if e.State == Departed {
			w.leave(now)
		}
		w.Worker = e
	}
	b.prune(now)
	b.view(now)
	b.rebuild(now)
}

// keepList asks again for a watch that failed, less often after each failure but within the allowed time.
func (b *Balancer) keepList(now float64) {
	if b.ListOnRequest && !b.watching && now-b.lastAsk >= b.askEvery {
		b.lastAsk = now
		b.act.Watch(true)
	}
}

// mayAsk says whether reports are to be had by probes, and by nothing else.
func (b *Balancer) mayAsk() bool { return b.MayProbe && b.ReportsByProbe }

// HandleProbeResult takes a probe's result.
func (b *Balancer) HandleProbeResult(now float64, id WorkerID, result Result, report []float32) {
	w := b.byID[id]
	if w != nil && result == OK {
		b.learnReport(now, w, report)
	} else if w != nil && (result == ConnectFailed || result == Timeout) { // found dead, no job lost
		b.blame(now, w, 1)
	}
}
