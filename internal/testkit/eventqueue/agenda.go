// Package agenda is what is to happen in a run over virtual time, in order: by time, and by when it was said where times are the same.
package eventqueue

import "container/heap"

// Queue is what is to happen; the zero one is empty.
type Queue struct {
	items items
	seq   int
}

type item struct {
	at  float64
	seq int
	do  func()
}

type items []item

func (x items) Len() int { return len(x) }
func (x items) Less(i, j int) bool {
	return x[i].at < x[j].at || x[i].at == x[j].at && x[i].seq < x[j].seq
}
func (x items) Swap(i, j int) { x[i], x[j] = x[j], x[i] }
func (x *items) Push(v any)   { *x = append(*x, v.(item)) }
func (x *items) Pop() any {
	old := *x
	last := old[len(old)-1]
	old[len(old)-1] = item{} // what it holds goes
	*x = old[:len(old)-1]
	return last
}

// Schedule has something happen at a time, seconds.
func (a *Queue) Schedule(at float64, do func()) {
	a.seq++
	heap.Push(&a.items, item{at, a.seq, do})
}

// PopUntil takes what comes first, if that is until a time.
func (a *Queue) PopUntil(until float64) (at float64, do func(), is bool) {
	if len(a.items) == 0 || a.items[0].at > until {
		return 0, nil, false
	}
	first := heap.Pop(&a.items).(item)
	return first.at, first.do, true
}
