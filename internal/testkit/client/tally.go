package client

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is what became of a call.
type Outcome uint8

// The outcomes.
const (
	InTime Outcome = iota
	Late
	Refused
	Failed
)

// RouteTally counts the calls of a route.
type RouteTally struct {
	Name                                 string
	Calls, InTime, Late, Refused, Failed int
	Denied                               int
	firsts                               []time.Duration
}

// First is a quantile of the times to the first event.
func (t *RouteTally) First(q float64) time.Duration {
	if len(t.firsts) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.firsts))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Tally counts over all calls.
type Tally struct {
	Routes        []RouteTally // in order of their names
	Calls, Served int
	Retries       int
	Unreached     int // connections that did not come up
	Lookups       int
	FailedLookups int
	Statuses      map[int]int // of answers that were no success
}

// tally is where clients count.
type tally struct {
	mutex  sync.Mutex
	routes map[string]*RouteTally
	total  Tally
}

func (t *tally) route(name string) *RouteTally {
	r := t.routes[name]
	if r == nil {
		r = &RouteTally{Name: name}
		t.routes[name] = r
	}
	return r
}

func (t *tally) add(route *Route, o Outcome, first time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.route(route.Name)
	r.Calls++
	t.total.Calls++
	if first > 0 {
		r.firsts = append(r.firsts, first)
	}
	switch o {
	case InTime:
		r.InTime++
		t.total.Served++
	case Late:
		r.Late++
		t.total.Served++
	case Refused:
		r.Refused++
	default:
		r.Failed++
	}
}

func (t *tally) change(alter func(*Tally)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	alter(&t.total)
}

func (t *tally) retried()   { t.change(func(total *Tally) { total.Retries++ }) }
func (t *tally) unreached() { t.change(func(total *Tally) { total.Unreached++ }) }

func (t *tally) lookup(err error) {
	t.change(func(total *Tally) {
		total.Lookups++
		if err != nil {
			total.FailedLookups++
		}
	})
}

func (t *tally) status(status int) {
	t.change(func(total *Tally) {
		if total.Statuses == nil {
			total.Statuses = make(map[int]int)
		}
		total.Statuses[status]++
	})
}

func (t *tally) deny(route string, _ int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.route(route).Denied++
}

// Tally returns the counts so far.
func (l *Load) Tally() Tally {
	l.tally.mutex.Lock()
	defer l.tally.mutex.Unlock()
	total := l.tally.total
	total.Statuses = make(map[int]int)
	for status, n := range l.tally.total.Statuses {
		total.Statuses[status] = n
	}
	for _, r := range l.tally.routes {
		one := *r
		one.firsts = slices.Clone(r.firsts)
		total.Routes = append(total.Routes, one)
	}
	slices.SortFunc(total.Routes, func(a, b RouteTally) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return total
}

// String is the counts on one line.
func (t *Tally) String() string {
	return fmt.Sprintf("calls=%d served=%d retries=%d unreached=%d", t.Calls, t.Served, t.Retries, t.Unreached)
}
