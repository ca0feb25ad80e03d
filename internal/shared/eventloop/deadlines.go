package eventloop

import "container/heap"

// Timer is one entry of Deadlines.
type Timer struct {
	at   float64
	seq  uint64 // entries due at one time run in the order they were set
	do   func()
	heap *Timers
	pos  int // -1 once it has run or was stopped
}

// Timers is the one ordered structure that every deadline of the process hangs in.
type Timers struct {
	entries []*Timer
	seq     uint64
}

// At runs do at a time of the loop's clock.
func (d *Timers) At(at float64, do func()) *Timer {
	d.seq++
	e := &Timer{at: at, seq: d.seq, do: do, heap: d}
	heap.Push(d, e)
	return e
}

// Stop withdraws the deadline; one that has run, or nil, is ignored.
func (e *Timer) Stop() {
	if e != nil && e.pos >= 0 {
		heap.Remove(e.heap, e.pos)
	}
}

// next is when the first deadline falls due.
func (d *Timers) next() (at float64, any bool) {
	if len(d.entries) == 0 {
		return 0, false
	}
	return d.entries[0].at, true
}

// run runs what is due. What that sets anew waits for the next turn, or a past deadline could spin here.
func (d *Timers) run(now float64) {
	last := d.seq
	for len(d.entries) > 0 && d.entries[0].at <= now && d.entries[0].seq <= last {
		heap.Pop(d).(*Timer).do()
	}
}

func (d *Timers) Len() int { return len(d.entries) }
func (d *Timers) Less(i, j int) bool {
	x, y := d.entries[i], d.entries[j]
	return x.at < y.at || x.at == y.at && x.seq < y.seq
}
func (d *Timers) Swap(i, j int) {
	d.entries[i], d.entries[j] = d.entries[j], d.entries[i]
	d.entries[i].pos, d.entries[j].pos = i, j
}
func (d *Timers) Push(x any) {
	e := x.(*Timer)
	e.pos = len(d.entries)
	d.entries = append(d.entries, e)
}
func (d *Timers) Pop() any {
	n := len(d.entries) - 1
	e := d.entries[n]
	d.entries[n] = nil
	d.entries, e.pos = d.entries[:n], -1
	return e
}
