package eventloop

import "container/heap"

// Timer is one entry of Deadlines.
type Timer struct {
	due      float64
	sequence uint64 // entries due at one time run in the order they were set
	callback func()
	timers   *Timers
	index    int // -1 once it has run or was stopped
}

// Timers is the one ordered structure that every deadline of the process hangs in.
type Timers struct {
	entries  []*Timer
	sequence uint64
}

// At runs do at a time of the loop's clock.
func (d *Timers) At(at float64, do func()) *Timer {
	d.sequence++
	e := &Timer{due: at, sequence: d.sequence, callback: do, timers: d}
	heap.Push(d, e)
	return e
}

// Stop withdraws the deadline; one that has run, or nil, is ignored.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(t.timers, t.index)
	}
}

// nextDue is when the first deadline falls due.
func (d *Timers) nextDue() (at float64, pending bool) {
	if len(d.entries) == 0 {
		return 0, false
	}
	return d.entries[0].due, true
}

// runDue runs what is due. What that sets anew waits for the next turn, or a past deadline could spin here.
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
