package exposition

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestPage(t *testing.T) {
	var page Page
	page.Metric(Gauge, "up", "Whether it runs.", BoolValue(true))
	page.Family(Counter, "calls_total", "Calls, by\npeer.")
	page.Sample(3, Label{"peer", "a"}, Label{"kind", `say "x\y"` + "\n"})
	page.Sample(0.25)
	want := "# HELP up Whether it runs.\n# TYPE up gauge\nup 1\n" +
		"# HELP calls_total Calls, by\\npeer.\n# TYPE calls_total counter\n" +
		`calls_total{peer="a",kind="say \"x\\y\"\n"} 3` + "\ncalls_total 0.25\n"
	if got := string(page.Bytes()); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestHandler(t *testing.T) {
	calls := 0
	handler := Handler(func(p *Page) {
		calls++
		p.Metric(Counter, "pages_total", "Pages.", float64(calls))
	})
	get := func(method, path string) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(method, path, nil))
		return answer
	}
	get(http.MethodGet, Path)
	const page = "# HELP pages_total Pages.\n# TYPE pages_total counter\npages_total 2\n"
	if got := get(http.MethodGet, Path); got.Body.String() != page || got.Header().Get("Content-Type") != ContentType {
		t.Errorf("got %v %q", got.Header(), got.Body)
	}
	if got := get(http.MethodGet, "/other"); got.Code != http.StatusNotFound {
		t.Errorf("another path: %d", got.Code)
	}
	if got := get(http.MethodPost, Path); got.Code != http.StatusMethodNotAllowed {
		t.Errorf("another method: %d", got.Code)
	}
}
