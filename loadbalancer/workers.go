package loadbalancer

import (
	"fmt"
	"math"

	"cinderroad/internal/shared/capacity"
)

// This file holds the events of the worker list and of probes.

// UpdateWorkers applies a list event. Workers that are not ready get nothing from here on.
func (b *Balancer) UpdateWorkers(now float64, kind ListKind, entries []Worker) {
	if kind == ListFailed { // it does not say which call failed: the watch may be broken
		b.watching = false
		b.watchInterval = math.Min(2*b.watchInterval, b.ListRefreshInterval/2)
		b.actions.Log("list: a call failed or the watch broke; asking again")
		return
	}
	b.watching = kind != ListCached
	b.watchInterval = b.ListRefreshInterval / watchesPerRefresh
	if kind != ListDelta {
		for _, known := range b.workers {
			known.markDeparted(now)
		}
	}
	for _, entry := range entries {
		b.applyEntry(now, entry)
	}
	b.pruneDeparted(now)
	b.chooseView(now)
	b.rebuildPlan(now)
}

// applyEntry applies an entry of the list: it adds the worker, or changes it.
func (b *Balancer) applyEntry(now float64, entry Worker) {
	worker := b.workersByID[entry.ID]
	if worker == nil {
		worker = &workerState{pace: b.meanPace, limits: capacity.InitialLimits(0)}
		b.workersByID[entry.ID] = worker
		b.workers = append(b.workers, worker)
		worker.ID = entry.ID
		b.restoreWorker(worker, entry.StartedAt)
	} else if entry.State == Ready && entry.StartedAt > worker.StartedAt {
		worker.forgetLoad()
	}
	if !isFinite(entry.StartedAt) {
		entry.StartedAt = now
	}
	if entry.State == Departed {
		worker.markDeparted(now)
	}
	worker.Worker = entry
}

// forgetLoad drops what was learnt of the load and the failures of a worker that has restarted.
func (w *workerState) forgetLoad() {
	w.reported = false
	w.otherJobs = 0
	w.limits.Overloads = 0
	w.ejection.ErrorRate = 0
	w.ejection.EjectedUntil = 0
}

// renewWatch asks again for a watch that failed, less often after each failure but within
// ListRefreshInterval.
func (b *Balancer) renewWatch(now float64) {
	if b.ListOnRequest && !b.watching && now-b.lastWatchAt >= b.watchInterval {
		b.lastWatchAt = now
		b.actions.Watch(true)
	}
}

// HandleProbeResult applies the result of a probe: a load report, or a failure of the worker if it can't be
// reached.
func (b *Balancer) HandleProbeResult(now float64, id WorkerID, result Result, report []float32) {
	worker := b.workersByID[id]
	if worker != nil && result == OK {
		b.learnReport(now, worker, report)
	} else if worker != nil && (result == ConnectFailed || result == Timeout) { // found dead without losing a job
		b.recordOutcome(now, worker, 1)
	}
}

// logWorker logs a change of a worker's status and how long it lasts.
func (b *Balancer) logWorker(worker *workerState, event string, duration float64) {
	b.actions.Log(fmt.Sprintf("worker %d %s (%.1f s)", worker.ID, event, duration))
}
