package placement

import (
	"fmt"
	"testing"
	"time"

	"cinderroad/internal/configuration"
)

func TestPlaceSpreadsOverServingRunners(t *testing.T) {
	p, err := New(Options{Zone: "a1", Region: "a", Zones: map[string]string{"a1": "a", "b1": "b"}, RetryRatio: 0.2,
		RetryWindow: 10 * time.Second, RetryExtra: 54, ColdExcess: 1.5, ColdSlack: 5}, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.SetServices(0, []*configuration.Service{{Name: "s", MaxConns: 100}})
	var runners []Runner
	for i := range 6 {
		runners = append(runners, Runner{ID: fmt.Sprint("r", i), Service: "s", Zone: []string{"a1", "b1"}[i%2], Capacity: 6})
	}
	p.SetRunners(0, runners)
	p.SetProxies(0, 7)
	route := &configuration.Route{Name: "x", Target: 200 * time.Millisecond, Timeout: time.Second, Tries: 1}
	seen := map[string]int{}
	for i := range 60 {
		now := time.Duration(i) * 3 * time.Millisecond
		p.Tick(now)
		r := &Request{Route: route, Service: "s", Arrived: now, Deadline: now + time.Second}
		c, refusal := p.Place(now, r)
		if refusal != nil {
			t.Fatal(refusal)
		}
		p.Sent(now, r, c)
		seen[c.Runner]++
	}
	if len(seen) != 6 {
		t.Fatal(seen)
	}
}
