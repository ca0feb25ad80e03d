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
	Rejected
	Failed
)

// RouteStats counts the calls of a route.
type RouteStats struct {
	Name                                  string
	Calls, InTime, Late, Rejected, Failed int
	ClientErrors                          int
	firsts                                []time.Duration
}

// LatencyQuantile is a quantile of the times to the first event.
func (t *RouteStats) LatencyQuantile(q float64) time.Duration {
	if len(t.firsts) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.firsts))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Stats counts over all calls.
type Stats struct {
	Routes          []RouteStats // in order of their names
	Calls, Served   int
	Retries         int
	ConnectFailures int // connections that did not come up
	Lookups         int
	FailedLookups   int
	Statuses        map[int]int // of answers that were no success
}

// tally is where clients count.
type tally struct {
	mutex  sync.Mutex
	routes map[string]*RouteStats
	total  Stats
}

func (t *tally) route(name string) *RouteStats {
	r := t.routes[name]
	if r == nil {
		r = &RouteStats{Name: name}
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
	case Rejected:
		r.Rejected++
	default:
		r.Failed++
	}
}

func (t *tally) change(alter func(*Stats)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	alter(&t.total)
}

func (t *tally) retried()   { t.change(func(total *Stats) { total.Retries++ }) }
func (t *tally) unreached() { t.change(func(total *Stats) { total.ConnectFailures++ }) }

func (t *tally) lookup(err error) {
	t.change(func(total *Stats) {
		total.Lookups++
		if err != nil {
			total.FailedLookups++
		}
	})
}

func (t *tally) status(status int) {
	t.change(func(total *Stats) {
		if total.Statuses == nil {
			total.Statuses = make(map[int]int)
		}
		total.Statuses[status]++
	})
}

func (t *tally) deny(route string, _ int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.route(route).ClientErrors++
}

// Stats returns the counts so far.
func (l *LoadGenerator) Stats() Stats {
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
	slices.SortFunc(total.Routes, func(a, b RouteStats) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return total
}

// String is the counts on one line.
func (t *Stats) String() string {
	return fmt.Sprintf("calls=%d served=%d retries=%d unreached=%d", t.Calls, t.Served, t.Retries, t.ConnectFailures)
}
