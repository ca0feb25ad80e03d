package api

import (
	"fmt"
	"net/http"
	"testing"

	"cinderroad/internal/system/control/state"
)

const (
	largeRoutes  = 6000 // make a configuration of about a megabyte
	commonRoutes = 500
)

func manyRoutes(count int) []string {
	routes := make([]string, count)
	for i := range routes {
		routes[i] = routeJSON(fmt.Sprint("r", i), "s")
	}
	return routes
}

// newAPIWithRoutes returns an API with version 1 of a configuration in force.
func newAPIWithRoutes(b *testing.B, count int) *API {
	b.Helper()
	a := newFakeReplica().newAPI()
	if response := call(a, http.MethodPost, PathReplace, "0", documentJSON(1, manyRoutes(count)...)); response.Code != http.StatusOK {
		b.Fatal(response.Body)
	}
	return a
}

// TestLargeConfigurationIsParsedOnce checks that neither a repeated change nor a change of one route parses the whole
// configuration again.
func TestLargeConfigurationIsParsedOnce(t *testing.T) {
	fake := newFakeReplica()
	request := &changeRequest{kind: kindReplace, body: []byte(documentJSON(1, manyRoutes(largeRoutes)...))}
	cache := &documentCache{}
	first, err := cache.prepareChange(request, &state.View{})
	if err != nil {
		t.Fatal(err)
	}
	repeated := testing.AllocsPerRun(1, func() {
		if change, err := cache.prepareChange(request, &state.View{}); err != nil || len(change.writes) != len(first.writes) {
			t.Error(len(change.writes), err)
		}
	})
	a := fake.newAPI()
	if response := call(a, http.MethodPost, PathReplace, "0", string(request.body)); response.Code != http.StatusOK {
		t.Fatal(response.Body)
	}
	version := 1
	change := func() {
		body := fmt.Sprintf(`{"version":%d,"replace":{"routes":[%s]}}`, version+1, routeJSON("r7", []string{"s", "t"}[version%2]))
		if response := call(a, http.MethodPost, PathChange, fmt.Sprint(version), body); response.Code != http.StatusOK {
			t.Fatal(response.Body)
		}
		version++
	}
	change()
	if changed := testing.AllocsPerRun(1, change); repeated > 100 || changed > 5*largeRoutes {
		t.Errorf("%v allocations for a repeated change, %v for a change of one route", repeated, changed)
	}
}

// BenchmarkChangeLargeConfiguration measures a change of one route of a large configuration.
func BenchmarkChangeLargeConfiguration(b *testing.B) { benchmarkChange(b, largeRoutes) }

// BenchmarkReadLargeConfiguration measures a read of a large configuration.
func BenchmarkReadLargeConfiguration(b *testing.B) { benchmarkRead(b, largeRoutes) }

// BenchmarkChange measures a change of one route among commonRoutes, on one machine.
func BenchmarkChange(b *testing.B) { benchmarkChange(b, commonRoutes) }

// BenchmarkRead measures a read of commonRoutes.
func BenchmarkRead(b *testing.B) { benchmarkRead(b, commonRoutes) }

func benchmarkChange(b *testing.B, routes int) {
	b.Helper()
	a := newAPIWithRoutes(b, routes)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		body := fmt.Sprintf(`{"version":%d,"replace":{"routes":[%s]}}`, i+2, routeJSON("r7", []string{"s", "t"}[i%2]))
		if response := call(a, http.MethodPost, PathChange, fmt.Sprint(i+1), body); response.Code != http.StatusOK {
			b.Fatal(response.Body)
		}
	}
}

func benchmarkRead(b *testing.B, routes int) {
	b.Helper()
	a := newAPIWithRoutes(b, routes)
	b.ReportAllocs()
	for b.Loop() {
		if response := call(a, http.MethodGet, PathRead, "", ""); response.Code != http.StatusOK {
			b.Fatal(response.Body)
		}
	}
}
