package eventloop

import "container/heap"

// Timer is a function to be called at a time.
type Timer struct {
	due      float64
	sequence uint64 // timers due at the same time run in the order in which they were set
	callback func()
	timers   *Timers
	index    int // -1 once it has run or was stopped
}

// Timers holds all timers of a loop, ordered by time. It implements heap.Interface.
type Timers struct {
	entries  []*Timer
	sequence uint64
}

// At calls do at a time of the loop's clock, in seconds.
func (d *Timers) At(at float64, do func()) *Timer {
	d.sequence++
	e := &Timer{due: at, sequence: d.sequence, callback: do, timers: d}
	heap.Push(d, e)
	return e
}

// Stop cancels the timer. A nil timer, and one that has run, are ignored.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(t.timers, t.index)
	}
}

// nextDue returns when the first timer is due; pending is false if there is none.
func (d *Timers) nextDue() (at float64, pending bool) {
	if len(d.entries) == 0 {
		return 0, false
	}
	return d.entries[0].due, true
}

// runDue runs the timers that are due. Timers set meanwhile wait for the next iteration, because one set in the past
// could keep the loop here forever.
func (d *Timers) runDue(now float64) {
	last := d.sequence
	for len(d.entries) > 0 && d.entries[0].due <= now && d.entries[0].sequence <= last {
		heap.Pop(d).(*Timer).callback()
	}
}

func (d *Timers) Len() int { return len(d.entries) }
func (d *Timers) Less(i, j int) bool {
	x, y := d.entries[i], d.entries[j]
	return x.due < y.due || x.due == y.due && x.sequence < y.sequence
}
func (d *Timers) Swap(i, j int) {
	d.entries[i], d.entries[j] = d.entries[j], d.entries[i]
	d.entries[i].index, d.entries[j].index = i, j
}
func (d *Timers) Push(x any) {
	e := x.(*Timer)
	e.index = len(d.entries)
	d.entries = append(d.entries, e)
}
func (d *Timers) Pop() any {
	n := len(d.entries) - 1
	e := d.entries[n]
	d.entries[n] = nil
	d.entries, e.index = d.entries[:n], -1
	return e
}
