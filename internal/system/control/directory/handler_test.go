package directory

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// fixedEdges is a source that never changes.
type fixedEdges []Edge

func (m fixedEdges) Edges() []Edge { return m }

// TestServeHTTP checks the replies to lookups, the limit of the TTL, and the replies to errors.
func TestServeHTTP(t *testing.T) {
	get := func(handler *Handler, method string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(method, Path+"?name=h.example&region=east&zone=a", nil)
		handler.ServeHTTP(recorder, request)
		return recorder
	}
	handler := &Handler{Source: fixedEdges{newEdge(1, "a", "east"), newEdge(2, "c", "west")}, MaxTTL: 5 * time.Second}
	reply := get(handler, http.MethodGet)
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"cache_ttl_s"`
	}
	if err := json.Unmarshal(reply.Body.Bytes(), &body); err != nil || reply.Code != http.StatusOK {
		t.Fatalf("%d %s: %v", reply.Code, reply.Body, err)
	}
	if len(body.Addresses) != 1 || body.Addresses[0] != "10.0.0.1:80" || body.TTL != 2 {
		t.Errorf("%s", reply.Body)
	}
	handler.MaxTTL = 500 * time.Millisecond
	if err := json.Unmarshal(get(handler, http.MethodGet).Body.Bytes(), &body); err != nil || body.TTL != 0.5 {
		t.Errorf("replies have a TTL of %v s, %v", body.TTL, err)
	}
	if reply := get(handler, http.MethodPost); reply.Code != http.StatusMethodNotAllowed {
		t.Errorf("POST: %d", reply.Code)
	}
	reply = get(&Handler{Source: fixedEdges{}}, http.MethodGet)
	if reply.Code != http.StatusServiceUnavailable || reply.Header().Get("Retry-After") == "" {
		t.Errorf("nobody is known: %d", reply.Code)
	}
}

// TestOutOfRegionTTL checks that a reply that leads out of the client's region has the short TTL.
func TestOutOfRegionTTL(t *testing.T) {
	here, there := newEdge(1, "a", "east"), newEdge(2, "c", "west")
	for _, test := range []struct {
		name  string
		edges []Edge
		away  bool
	}{
		{"the region serves", []Edge{here, there}, false},
		{"all of the region stop", []Edge{stopping(here), there}, true},
		{"all of the region are dead", []Edge{dead(here), there}, true},
		{"nobody serves", []Edge{stopping(here), stopping(there)}, false},
		{"the region never had any", []Edge{there}, false},
	} {
		if got := Choose(test.edges, "east", "a", rand.New(rand.NewPCG(1, 1))); got.OutOfRegion != test.away {
			t.Errorf("%s: %+v", test.name, got)
		}
		handler := &Handler{Source: fixedEdges(test.edges), MaxTTL: 5 * time.Second}
		want := defaultTTL
		if test.away {
			want = outOfRegionTTL
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, Path+"?region=east&zone=a", nil))
		var body struct {
			TTL float64 `json:"cache_ttl_s"`
		}
		if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil || body.TTL != want.Seconds() {
			t.Errorf("%s: TTL of %v s, want %v (%v)", test.name, body.TTL, want, err)
		}
	}
}
