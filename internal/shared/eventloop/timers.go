package eventloop

import "container/heap"

// Timer is a function to be called at a time.
type Timer struct {
	due      float64 // on the loop's clock, in seconds
	sequence uint64  // timers due at the same time run in the order in which they were set
	callback func()
	timers   *Timers
	index    int // in Timers.entries; -1 once it has run or was stopped
}

// Timers holds all timers of a loop, ordered by time. It implements heap.Interface.
type Timers struct {
	entries  []*Timer
	sequence uint64
}

// At calls do at a time of the loop's clock, in seconds.
func (t *Timers) At(at float64, do func()) *Timer {
	t.sequence++
	timer := &Timer{due: at, sequence: t.sequence, callback: do, timers: t}
	heap.Push(t, timer)
	return timer
}

// Stop cancels the timer. A nil timer, and one that has run, are ignored.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(t.timers, t.index)
	}
}

// nextDue returns when the first timer is due; pending is false if there is none.
func (t *Timers) nextDue() (at float64, pending bool) {
	if len(t.entries) == 0 {
		return 0, false
	}
	return t.entries[0].due, true
}

// runDue runs the timers that are due. Timers set meanwhile wait for the next iteration, because one set in the past
// could keep the loop here forever.
func (t *Timers) runDue(now float64) {
	lastSequence := t.sequence
	for len(t.entries) > 0 && t.entries[0].due <= now && t.entries[0].sequence <= lastSequence {
		heap.Pop(t).(*Timer).callback()
	}
}

// Len implements heap.Interface.
func (t *Timers) Len() int { return len(t.entries) }

// Less implements heap.Interface.
func (t *Timers) Less(i, j int) bool {
	x, y := t.entries[i], t.entries[j]
	return x.due < y.due || x.due == y.due && x.sequence < y.sequence
}

// Swap implements heap.Interface.
func (t *Timers) Swap(i, j int) {
	t.entries[i], t.entries[j] = t.entries[j], t.entries[i]
	t.entries[i].index = i
	t.entries[j].index = j
}

// Push implements heap.Interface; use At to add a timer.
func (t *Timers) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(t.entries)
	t.entries = append(t.entries, timer)
}

// Pop implements heap.Interface; runDue runs the timers that are due.
func (t *Timers) Pop() any {
	last := len(t.entries) - 1
	timer := t.entries[last]
	timer.index = -1
	t.entries[last] = nil
	t.entries = t.entries[:last]
	return timer
}
