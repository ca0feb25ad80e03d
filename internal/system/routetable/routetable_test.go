package routetable

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cinderroad/internal/system/configuration"
)

func route(name, host, path string) *configuration.Route {
	return &configuration.Route{Name: name, Host: host, PathPrefix: path}
}

func TestLookupLongestPrefix(t *testing.T) {
	table := New()
	table.Upsert(route("root", "a.example", "/"))
	table.Upsert(route("one", "a.example", "/one/"))
	table.Upsert(route("deep", "A.example", "/one/two/"))
	table.Upsert(route("other", "b.example", "/one/"))
	for _, check := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/one", "root"},
		{"a.example", "/one/", "one"},
		{"A.EXAMPLE:8080", "/one/x", "one"},
		{"a.example", "/one/two/three", "deep"},
		{"a.example", "/one/two", "one"},
		{"a.example", "/x?y=/one/two/", "root"},
		{"a.example", "/one/?/two/", "one"},
		{"b.example", "/one/two/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/one/", ""},
		{"a.example", "*", ""},
		{"a.example", "", ""},
	} {
		found := table.Lookup(check.host, check.path)
		if got := nameOf(found); got != check.want {
			t.Errorf("%s%s: got %q, want %q", check.host, check.path, got, check.want)
		}
	}
}

func nameOf(route *configuration.Route) string {
	if route == nil {
		return ""
	}
	return route.Name
}

// Routes that exchange prefixes within a batch of changes are right afterwards, in whatever order the changes arrive.
func TestUpsertExchangesPrefixes(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		table := New()
		table.Upsert(route("a", "h", "/1/"))
		table.Upsert(route("b", "h", "/2/"))
		table.Upsert(route("c", "h", "/3/"))
		changes := []func(){
			func() { table.Upsert(route("a", "h", "/2/")) },
			func() { table.Upsert(route("b", "h", "/3/")) },
			func() { table.Remove("c") },
		}
		for _, change := range order {
			changes[change]()
		}
		got := nameOf(table.Lookup("h", "/1/")) + nameOf(table.Lookup("h", "/2/")) + nameOf(table.Lookup("h", "/3/"))
		if got != "ab" || table.Len() != 2 {
			t.Errorf("order %v: got %q", order, got)
		}
	}
}

func TestLookupMatchesLinearSearch(t *testing.T) {
	hosts := []string{"a", "B", "c.example"}
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		routes := map[string]*configuration.Route{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				table.Remove(name)
				delete(routes, name)
			} else if next := drawRoute(t, name, hosts); isPrefixFree(routes, next) {
				table.Upsert(next)
				routes[name] = next
			}
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			path := drawPath(t) + rapid.SampledFrom([]string{"", "x", "/?/"}).Draw(t, "rest")
			if got, want := table.Lookup(host, path), linearSearch(routes, host, path); got != want {
				t.Fatalf("%s%s: got %q, want %q", host, path, nameOf(got), nameOf(want))
			}
			if table.Len() != len(routes) || table.Route(name) != routes[name] {
				t.Fatalf("%d routes, want %d", table.Len(), len(routes))
			}
		}
	})
}

func drawPath(t *rapid.T) string {
	return "/" + strings.Repeat("a/", rapid.IntRange(0, 3).Draw(t, "depth")) + rapid.SampledFrom([]string{"", "b/"}).Draw(t, "leaf")
}

func drawRoute(t *rapid.T, name string, hosts []string) *configuration.Route {
	return route(name, rapid.SampledFrom(hosts).Draw(t, "of"), drawPath(t))
}

// isPrefixFree reports whether no other route has the host and prefix.
func isPrefixFree(routes map[string]*configuration.Route, next *configuration.Route) bool {
	for name, other := range routes {
		if name != next.Name && other.Host == next.Host && other.PathPrefix == next.PathPrefix {
			return false
		}
	}
	return true
}

func linearSearch(routes map[string]*configuration.Route, host, path string) *configuration.Route {
	path, _, _ = strings.Cut(path, "?")
	var best *configuration.Route
	for _, route := range routes {
		if !strings.EqualFold(route.Host, host) || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	return best
}

func TestLookupDoesNotAllocate(t *testing.T) {
	table := largeTable()
	allocations := testing.AllocsPerRun(100, func() { table.Lookup("host3.example", "/p250/x/y/z") })
	if allocations > 0 {
		t.Errorf("%v allocations", allocations)
	}
}

func largeTable() *Table {
	table := New()
	for i := range 500 {
		table.Upsert(route(fmt.Sprint(i), fmt.Sprintf("host%d.example", i%5), fmt.Sprintf("/p%d/", i)))
	}
	return table
}

func BenchmarkLookup(b *testing.B) {
	table := largeTable()
	b.ReportAllocs()
	for b.Loop() {
		table.Lookup("host3.example", "/p253/x/y/z")
	}
}
