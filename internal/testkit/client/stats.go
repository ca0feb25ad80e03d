package client

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Outcome is the final outcome of a call.
type Outcome uint8

// The outcomes; Late calls were answered, but not within the route's target or event gap.
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
	latencies                             []time.Duration
}

// LatencyQuantile returns a quantile (0 to 1) of the time to the first event or complete answer; 0 without answers.
func (t *RouteStats) LatencyQuantile(quantile float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.latencies))
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// Stats counts over all calls of a load generator.
type Stats struct {
	Routes          []RouteStats // sorted by name
	Calls, Served   int
	Retries         int
	ConnectFailures int
	Left            int // calls whose client left as the call said; no other count has them
	Lookups         int
	FailedLookups   int
	Statuses        map[int]int // answers by status, successes excluded
}

// statsRecorder collects the statistics of all clients.
type statsRecorder struct {
	mutex  sync.Mutex
	routes map[string]*RouteStats
	total  Stats
}

func (s *statsRecorder) route(name string) *RouteStats {
	r := s.routes[name]
	if r == nil {
		r = &RouteStats{Name: name}
		s.routes[name] = r
	}
	return r
}

func (s *statsRecorder) recordOutcome(route *Route, o Outcome, first time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.route(route.Name)
	r.Calls++
	s.total.Calls++
	if first > 0 {
		r.latencies = append(r.latencies, first)
	}
	switch o {
	case InTime:
		r.InTime++
		s.total.Served++
	case Late:
		r.Late++
		s.total.Served++
	case Rejected:
		r.Rejected++
	default:
		r.Failed++
	}
}

func (s *statsRecorder) update(alter func(*Stats)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	alter(&s.total)
}

func (s *statsRecorder) recordRetry() { s.update(func(total *Stats) { total.Retries++ }) }
func (s *statsRecorder) recordLeft()  { s.update(func(total *Stats) { total.Left++ }) }
func (s *statsRecorder) recordConnectFailure() {
	s.update(func(total *Stats) { total.ConnectFailures++ })
}

func (s *statsRecorder) recordLookup(err error) {
	s.update(func(total *Stats) {
		total.Lookups++
		if err != nil {
			total.FailedLookups++
		}
	})
}

func (s *statsRecorder) recordStatus(status int) {
	s.update(func(total *Stats) {
		if total.Statuses == nil {
			total.Statuses = make(map[int]int)
		}
		total.Statuses[status]++
	})
}

func (s *statsRecorder) recordClientError(route string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.route(route).ClientErrors++
}

// Stats returns the counts so far.
func (g *LoadGenerator) Stats() Stats {
	g.stats.mutex.Lock()
	defer g.stats.mutex.Unlock()
	total := g.stats.total
	total.Statuses = make(map[int]int)
	maps.Copy(total.Statuses, g.stats.total.Statuses)
	for _, r := range g.stats.routes {
		one := *r
		one.latencies = slices.Clone(r.latencies)
		total.Routes = append(total.Routes, one)
	}
	slices.SortFunc(total.Routes, func(a, b RouteStats) int { return strings.Compare(a.Name, b.Name) })
	return total
}

// String formats the totals on one line.
func (s *Stats) String() string {
	return fmt.Sprintf("calls=%d served=%d retries=%d connect_failures=%d", s.Calls, s.Served, s.Retries, s.ConnectFailures)
}
