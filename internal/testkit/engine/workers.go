package engine

import (
	"fmt"
	"time"
)

// Workers is a plain server: each request holds a slot for the time of its work, and some more wait for one.
type Workers struct {
	slots, queue int
	slow         float64
	running      []*Task
	ends         []time.Duration // of the running ones
	waiting      []*Task
	sequence     uint64
	events, told []Event
	rejected     int64
}

var _ Server = (*Workers)(nil)

// NewWorkers makes a server with so many slots and places to wait.
func NewWorkers(slots, queue int) (*Workers, error) {
	if slots < 1 || queue < 0 {
		return nil, fmt.Errorf("engine: %d slots and a queue of %d: at least 1 and 0 are needed", slots, queue)
	}
	return &Workers{slots: slots, queue: queue, slow: 1}, nil
}

// SetSlowdown makes work that begins from now on take so many times as long.
func (w *Workers) SetSlowdown(factor float64) { w.slow = factor }

// Submit implements Machine.
func (w *Workers) Submit(now time.Duration, r *Request) (*Task, bool) {
	w.play(now)
	if len(w.running) >= w.slots && len(w.waiting) >= w.queue {
		w.rejected++
		return nil, false
	}
	w.sequence++
	task := &Task{Request: r, sequence: w.sequence}
	w.waiting = insert(w.waiting, task)
	w.fill(now)
	return task, true
}

// Cancel implements Machine.
func (w *Workers) Cancel(now time.Duration, t *Task) {
	w.play(now)
	if t.Ended {
		return
	}
	w.drop(t)
	w.fill(now)
}

func (w *Workers) drop(t *Task) {
	t.Ended = true
	w.waiting = remove(w.waiting, t)
	for i, other := range w.running {
		if other == t {
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.ends = append(w.ends[:i], w.ends[i+1:]...)
			return
		}
	}
}

// Advance implements Machine.
func (w *Workers) Advance(now time.Duration) []Event {
	w.play(now)
	w.told, w.events = w.events, w.told[:0]
	return w.told
}

// Next implements Machine.
func (w *Workers) Next() (time.Duration, bool) {
	if len(w.events) > 0 {
		return w.events[0].At, true
	}
	i := w.earliest()
	if i < 0 {
		return 0, false
	}
	return w.due(i), true
}

// Stop implements Machine.
func (w *Workers) Stop(now time.Duration) []Event {
	w.play(now)
	for _, tasks := range [][]*Task{w.running, w.waiting} {
		for _, t := range tasks {
			t.Ended = true
			w.tell(now, Lost, t)
		}
	}
	w.running, w.ends, w.waiting = nil, nil, nil
	return w.Advance(now)
}

// State implements Machine.
func (w *Workers) State() State {
	return State{Queued: len(w.waiting), Running: len(w.running), Rejected: w.rejected}
}

// due is when a running task ends, by its work or by its deadline.
func (w *Workers) due(i int) time.Duration {
	deadline := w.running[i].Request.Deadline
	if deadline > 0 && deadline < w.ends[i] {
		return deadline
	}
	return w.ends[i]
}

func (w *Workers) earliest() int {
	first := -1
	for i := range w.running {
		if first < 0 || w.due(i) < w.due(first) {
			first = i
		}
	}
	return first
}

// play lets everything end that ends until a time.
func (w *Workers) play(now time.Duration) {
	for {
		i := w.earliest()
		if i < 0 || w.due(i) > now {
			return
		}
		t, at := w.running[i], w.due(i)
		kind := Finished
		if at < w.ends[i] {
			kind = TimedOut
		}
		w.drop(t)
		w.tell(at, kind, t)
		w.fill(at)
	}
}

// fill gives free slots to those that wait.
func (w *Workers) fill(at time.Duration) {
	for len(w.waiting) > 0 && len(w.running) < w.slots {
		t := w.waiting[0]
		w.waiting = remove(w.waiting, t)
		if t.Request.Deadline > 0 && t.Request.Deadline <= at {
			t.Ended = true
			w.tell(at, Expired, t)
			continue
		}
		t.Admitted, t.Executed = true, true
		w.running = append(w.running, t)
		w.ends = append(w.ends, at+time.Duration(float64(t.Request.Work)*w.slow))
		w.tell(at, Started, t)
	}
}

func (w *Workers) tell(at time.Duration, kind Kind, t *Task) {
	w.events = append(w.events, Event{At: at, Kind: kind, Task: t})
}
