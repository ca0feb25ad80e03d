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
		routes[i] = route(fmt.Sprint("r", i), "s")
	}
	return routes
}

// TestLargeConfigurationIsReadOnce: neither an order that is sent again nor a change of one route costs what it costs to
// read a megabyte.
func TestLargeConfigurationIsReadOnce(t *testing.T) {
	c := newCore()
	whole := &request{kind: replaceWhole, body: []byte(document(1, manyRoutes(largeRoutes)...))}
	d := &documents{}
	first, err := d.prepare(whole, &state.Base{})
	if err != nil {
		t.Fatal(err)
	}
	again := testing.AllocsPerRun(1, func() {
		if change, err := d.prepare(whole, &state.Base{}); err != nil || len(change.writes) != len(first.writes) {
			t.Error(len(change.writes), err)
		}
	})
	a := c.api()
	if answer := call(a, http.MethodPost, PathReplace, "0", string(whole.body)); answer.Code != http.StatusOK {
		t.Fatal(answer.Body)
	}
	version := 1
	change := func() {
		body := fmt.Sprintf(`{"version":%d,"replace":{"routes":[%s]}}`, version+1, route("r7", []string{"s", "t"}[version%2]))
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

// BenchmarkChangeOfLarge is a change of one route of a large configuration.
func BenchmarkChangeOfLarge(b *testing.B) {
	a := newCore().api()
	call(a, http.MethodPost, PathReplace, "0", document(1, manyRoutes(largeRoutes)...))
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		body := fmt.Sprintf(`{"version":%d,"replace":{"routes":[%s]}}`, i+2, route("r7", []string{"s", "t"}[i%2]))
		if answer := call(a, http.MethodPost, PathChange, fmt.Sprint(i+1), body); answer.Code != http.StatusOK {
			b.Fatal(answer.Body)
		}
	}
}

// BenchmarkReadLarge is a read of a large configuration.
func BenchmarkReadLarge(b *testing.B) {
	a := newCore().api()
	call(a, http.MethodPost, PathReplace, "0", document(1, manyRoutes(largeRoutes)...))
	b.ReportAllocs()
	for b.Loop() {
		call(a, http.MethodGet, PathRead, "", "")
	}
}

// BenchmarkChange is a change of one route among 500, as one machine takes it.
func BenchmarkChange(b *testing.B) {
	c := newCore()
	routes := make([]string, 500)
	for i := range routes {
		routes[i] = route(fmt.Sprint("r", i), "s")
	}
	a := c.api()
	if answer := call(a, http.MethodPost, PathReplace, "0", document(1, routes...)); answer.Code != http.StatusOK {
		b.Fatal(answer.Body)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		body := fmt.Sprintf(`{"version":%d,"replace":{"routes":[%s]}}`, i+2, route("r7", []string{"s", "t"}[i%2]))
		if answer := call(a, http.MethodPost, PathChange, fmt.Sprint(i+1), body); answer.Code != http.StatusOK {
			b.Fatal(answer.Body)
		}
	}
}

// BenchmarkRead is a read of 500 routes.
func BenchmarkRead(b *testing.B) {
	c := newCore()
	routes := make([]string, 500)
	for i := range routes {
		routes[i] = route(fmt.Sprint("r", i), "s")
	}
	a := c.api()
	call(a, http.MethodPost, PathReplace, "0", document(1, routes...))
	b.ReportAllocs()
	for b.Loop() {
		if answer := call(a, http.MethodGet, PathRead, "", ""); answer.Code != http.StatusOK {
			b.Fatal(answer.Body)
		}
	}
}
