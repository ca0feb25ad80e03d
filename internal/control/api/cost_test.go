package api

import (
	"fmt"
	"net/http"
	"testing"
)

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
