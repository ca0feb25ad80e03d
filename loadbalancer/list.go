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
		b.watchInterval = math.Min(2*b.watchInterval, b.ListRefreshInterval/2)
		b.actions.Log("list: a call failed or the watch broke; asking again")
		return
	}
	b.watching, b.watchInterval = kind != ListCached, b.ListRefreshInterval/8
	if kind != ListDelta {
		for _, known := range b.workers {
			known.markDeparted(now)
		}
	}
	for _, entry := range entries {
		known := b.workersByID[entry.ID]
		if known == nil {
			known = &workerState{pace: b.meanPace, limits: capacity.InitialLimits(0)}
			b.workersByID[entry.ID] = known
			b.workers = append(b.workers, known)
			known.ID = entry.ID
			b.restoreWorker(known, entry.StartedAt)
		} else if entry.State == Ready && entry.StartedAt > known.StartedAt { // restarted: what was learnt of its load is void
			known.reported, known.otherJobs, known.limits.Overloads = false, 0, 0
			known.ejection.ErrorRate, known.ejection.EjectedUntil = 0, 0
		}
		if !isFinite(entry.StartedAt) {
			entry.StartedAt = now
		}
		if entry.State == Departed {
			known.markDeparted(now)
		}
		known.Worker = entry
	}
	b.pruneDeparted(now)
	b.chooseView(now)
	b.rebuildPlan(now)
}

// renewWatch asks again for a watch that failed, less often after each failure but within the allowed time.
func (b *Balancer) renewWatch(now float64) {
	if b.ListOnRequest && !b.watching && now-b.lastWatchAt >= b.watchInterval {
		b.lastWatchAt = now
		b.actions.Watch(true)
	}
}

// pollsReports says whether reports are to be had by probes, and by nothing else.
func (b *Balancer) pollsReports() bool { return b.MayProbe && b.ReportsByProbe }

// HandleProbeResult takes a probe's result.
func (b *Balancer) HandleProbeResult(now float64, id WorkerID, result Result, report []float32) {
	worker := b.workersByID[id]
	if worker != nil && result == OK {
		b.learnReport(now, worker, report)
	} else if worker != nil && (result == ConnectFailed || result == Timeout) { // found dead, no job lost
		b.recordOutcome(now, worker, 1)
	}
}
