// Package eventqueue is the event queue of simulations in virtual time: events run in order of time, and in order of
// scheduling where times are equal. The unit of time is the caller's choice, such as seconds or nanoseconds. A queue isn't
// safe for concurrent use.
package eventqueue

import "container/heap"

// Queue is a priority queue of events; its zero value is empty.
type Queue struct {
	events       eventHeap
	lastSequence int
}

type event struct {
	at       float64
	sequence int
	run      func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface: by time, and in the order of addition at one time.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(v any) { *h = append(*h, v.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{} // release the closure
	*h = old[:len(old)-1]
	return last
}

// Schedule adds an event at a time. A time before that of the last event that was removed is the caller's error, which the
// queue does not notice.
func (q *Queue) Schedule(at float64, run func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at, q.lastSequence, run})
}

// PopUntil removes the first event if it is due by a time; ok is false if there is none.
func (q *Queue) PopUntil(until float64) (at float64, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	first := heap.Pop(&q.events).(event)
	return first.at, first.run, true
}
