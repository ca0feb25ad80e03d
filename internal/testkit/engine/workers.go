package engine

import (
	"fmt"
	"time"
)

// Workers is a plain server: a request occupies a slot for its service time, and a queue takes some more.
type Workers struct {
	maxRunning, maxQueued int
	slowdown              float64
	running               []*Task
	endTimes              []time.Duration // of running, same index
	waiting               []*Task
	sequence              uint64
	events                eventLog
	rejected              int64
}

var _ Server = (*Workers)(nil)

// NewWorkers creates a server with that many slots (at least 1) and queue places.
func NewWorkers(slots, queue int) (*Workers, error) {
	if slots < 1 || queue < 0 {
		return nil, fmt.Errorf("engine: %d slots and a queue of %d: at least 1 and 0 are needed", slots, queue)
	}
	return &Workers{maxRunning: slots, maxQueued: queue, slowdown: 1}, nil
}

// SetSlowdown multiplies the service time of work that starts from now on.
func (w *Workers) SetSlowdown(factor float64) { w.slowdown = factor }

// Submit implements Server.
func (w *Workers) Submit(now time.Duration, r *Request) (*Task, bool) {
	w.runUntil(now)
	if len(w.running) >= w.maxRunning && len(w.waiting) >= w.maxQueued {
		w.rejected++
		return nil, false
	}
	w.sequence++
	task := &Task{Request: r, sequence: w.sequence}
	w.waiting = insert(w.waiting, task)
	w.startWaiting(now)
	return task, true
}

// Cancel implements Server.
func (w *Workers) Cancel(now time.Duration, t *Task) {
	w.runUntil(now)
	if t.Ended {
		return
	}
	w.removeTask(t)
	w.startWaiting(now)
}

func (w *Workers) removeTask(t *Task) {
	t.Ended = true
	w.waiting = remove(w.waiting, t)
	for i, other := range w.running {
		if other == t {
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.endTimes = append(w.endTimes[:i], w.endTimes[i+1:]...)
			return
		}
	}
}

// Advance implements Server.
func (w *Workers) Advance(now time.Duration) []Event {
	w.runUntil(now)
	return w.events.take()
}

// Next implements Server.
func (w *Workers) Next() (time.Duration, bool) {
	if at, ok := w.events.first(); ok {
		return at, true
	}
	i := w.earliest()
	if i < 0 {
		return 0, false
	}
	return w.endOf(i), true
}

// Stop implements Server.
func (w *Workers) Stop(now time.Duration) []Event {
	w.runUntil(now)
	w.events.addLost(now, w.running)
	w.events.addLost(now, w.waiting)
	w.running = nil
	w.endTimes = nil
	w.waiting = nil
	return w.Advance(now)
}

// State implements Server.
func (w *Workers) State() State {
	return State{Queued: len(w.waiting), Running: len(w.running), Rejected: w.rejected}
}

// endOf returns when a running task ends: at its service time or its deadline.
func (w *Workers) endOf(i int) time.Duration {
	deadline := w.running[i].Request.Deadline
	if deadline > 0 && deadline < w.endTimes[i] {
		return deadline
	}
	return w.endTimes[i]
}

// earliest returns the index of the running task that ends first; -1 if none is running.
func (w *Workers) earliest() int {
	first := -1
	for i := range w.running {
		if first < 0 || w.endOf(i) < w.endOf(first) {
			first = i
		}
	}
	return first
}

// runUntil ends all tasks that are due.
func (w *Workers) runUntil(now time.Duration) {
	for {
		i := w.earliest()
		if i < 0 || w.endOf(i) > now {
			return
		}
		t, at := w.running[i], w.endOf(i)
		kind := Finished
		if at < w.endTimes[i] {
			kind = TimedOut
		}
		w.removeTask(t)
		w.events.add(at, kind, t, 0)
		w.startWaiting(at)
	}
}

// startWaiting gives free slots to queued tasks.
func (w *Workers) startWaiting(at time.Duration) {
	for len(w.waiting) > 0 && len(w.running) < w.maxRunning {
		t := w.waiting[0]
		w.waiting = remove(w.waiting, t)
		if t.Request.Deadline > 0 && t.Request.Deadline <= at {
			t.Ended = true
			w.events.add(at, Expired, t, 0)
			continue
		}
		t.Admitted = true
		t.Executed = true
		w.running = append(w.running, t)
		w.endTimes = append(w.endTimes, at+time.Duration(float64(t.Request.Work)*w.slowdown))
		w.events.add(at, Started, t, 0)
	}
}
