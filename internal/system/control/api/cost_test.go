package api

import (
	"fmt"
	"net/http"
	"testing"

	"cinderroad/internal/system/control/state"
)

// largeRoutes are of a configuration of about a megabyte.
const largeRoutes = 6000

func manyRoutes(count int) []string {
	routes := make([]string, count)
	for i := range routes {
		routes[i] = routeJSON(fmt.Sprint("r", i), "s")
	}
	return routes
}

// TestLargeConfigurationIsParsedOnce: neither an order that is sent again nor a change of one route costs what it costs to
// read a megabyte.
func TestLargeConfigurationIsParsedOnce(t *testing.T) {
	c := newFakeReplica()
	whole := &changeRequest{kind: kindReplace, body: []byte(documentJSON(1, manyRoutes(largeRoutes)...))}
	d := &documentCache{}
	first, err := d.prepareChange(whole, &state.Base{})
	if err != nil {
		t.Fatal(err)
	}
	again := testing.AllocsPerRun(1, func() {
		if change, err := d.prepareChange(whole, &state.Base{}); err != nil || len(change.writes) != len(first.writes) {
			t.Error(len(change.writes), err)
		}
	})
	a := c.newAPI()
	if answer := call(a, http.MethodPost, PathReplace, "0", string(whole.body)); answer.Code != http.StatusOK {
		t.Fatal(answer.Body)
	}
	version := 1
	change := func() {
		body := fmt.Sprintf(`{"version":%d,"replace":{"routes":[%s]}}`, version+1, routeJSON("r7", []string{"s", "t"}[version%2]))
		if answer := call(a, http.MethodPost, PathChange, fmt.Sprint(version), body); answer.Code != http.StatusOK {
			t.Fatal(answer.Body)
		}
		version++
	}
	change()
	if changed := testing.AllocsPerRun(1, change); again > 100 || changed > 5*largeRoutes {
		t.Errorf("%v allocations for an order that comes again, %v for a change of one route", again, changed)
	}
}

// BenchmarkChangeLargeConfiguration is a change of one route of a large configuration.
func BenchmarkChangeLargeConfiguration(b *testing.B) {
	a := newFakeReplica().newAPI()
	call(a, http.MethodPost, PathReplace, "0", documentJSON(1, manyRoutes(largeRoutes)...))
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		body := fmt.Sprintf(`{"version":%d,"replace":{"routes":[%s]}}`, i+2, routeJSON("r7", []string{"s", "t"}[i%2]))
		if answer := call(a, http.MethodPost, PathChange, fmt.Sprint(i+1), body); answer.Code != http.StatusOK {
			b.Fatal(answer.Body)
		}
	}
}

// BenchmarkReadLargeConfiguration is a read of a large configuration.
func BenchmarkReadLargeConfiguration(b *testing.B) {
	a := newFakeReplica().newAPI()
	call(a, http.MethodPost, PathReplace, "0", documentJSON(1, manyRoutes(largeRoutes)...))
	b.ReportAllocs()
	for b.Loop() {
		call(a, http.MethodGet, PathRead, "", "")
	}
}

// BenchmarkChange is a change of one route among 500, as one machine takes it.
func BenchmarkChange(b *testing.B) {
	c := newFakeReplica()
	routes := make([]string, 500)
	for i := range routes {
		routes[i] = routeJSON(fmt.Sprint("r", i), "s")
	}
	a := c.newAPI()
	if answer := call(a, http.MethodPost, PathReplace, "0", documentJSON(1, routes...)); answer.Code != http.StatusOK {
		b.Fatal(answer.Body)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		body := fmt.Sprintf(`{"version":%d,"replace":{"routes":[%s]}}`, i+2, routeJSON("r7", []string{"s", "t"}[i%2]))
		if answer := call(a, http.MethodPost, PathChange, fmt.Sprint(i+1), body); answer.Code != http.StatusOK {
			b.Fatal(answer.Body)
		}
	}
}

// BenchmarkRead is a read of 500 routes.
func BenchmarkRead(b *testing.B) {
	c := newFakeReplica()
	routes := make([]string, 500)
	for i := range routes {
		routes[i] = routeJSON(fmt.Sprint("r", i), "s")
	}
	a := c.newAPI()
	call(a, http.MethodPost, PathReplace, "0", documentJSON(1, routes...))
	b.ReportAllocs()
	for b.Loop() {
		if answer := call(a, http.MethodGet, PathRead, "", ""); answer.Code != http.StatusOK {
			b.Fatal(answer.Body)
		}
	}
}
