// Package agenda is what is to happen in a run over virtual time, in order: by time, and by when it was said where times are the same.
package eventqueue

import "container/heap"

// Queue is what is to happen; the zero one is empty.
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

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(v any)   { *h = append(*h, v.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{} // what it holds goes
	*h = old[:len(old)-1]
	return last
}

// Schedule has something happen at a time, seconds.
func (q *Queue) Schedule(at float64, run func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at, q.lastSequence, run})
}

// PopUntil takes what comes first, if that is until a time.
func (q *Queue) PopUntil(until float64) (at float64, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	first := heap.Pop(&q.events).(event)
	return first.at, first.run, true
}
