package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"testing/synctest"
)

func TestEvacuations(t *testing.T) {
	fake := newFakeReplica()
	steps := []struct {
		path string
		want int
		zone []string
	}{
		{PathDrainFinish + "a", http.StatusOK, nil},
		{PathDrainBegin + "a", http.StatusOK, []string{"a"}},
		{PathDrainBegin + "a", http.StatusOK, []string{"a"}},
		{PathDrainBegin + "nowhere", http.StatusNotFound, []string{"a"}},
		{PathDrainBegin, http.StatusNotFound, []string{"a"}},
		{PathDrainBegin + "b", http.StatusOK, []string{"a", "b"}},
		{PathDrainFinish + "a", http.StatusOK, []string{"b"}},
		{PathDrainFinish + "a", http.StatusOK, []string{"b"}},
	}
	for _, step := range steps {
		response := call(fake.newAPI(), http.MethodPost, step.path, "", "")
		if response.Code != step.want || !reflect.DeepEqual(fake.state.EvacuatedZones(), step.zone) {
			t.Errorf("%s: %d %s, evacuated: %q", step.path, response.Code, response.Body, fake.state.EvacuatedZones())
		}
	}
	if fake.proposals != 6 { // a request without effect is committed, too: it fails contrary requests in flight
		t.Errorf("%d proposals for 6 requests that were acknowledged", fake.proposals)
	}
	if got := call(fake.newAPI(), http.MethodGet, PathDrainBegin+"a", "", ""); got.Code != http.StatusMethodNotAllowed {
		t.Errorf("GET: %d", got.Code)
	}
}

func TestSupersededEvacuation(t *testing.T) {
	tests := []struct {
		name      string
		meanwhile func(fake *fakeReplica) // called between the arrival of the request and its barrier
		want      int
		zones     []string
		proposals int
	}{
		{"by nothing", func(*fakeReplica) {}, http.StatusOK, []string{"a"}, 1},
		{"by another zone", func(fake *fakeReplica) { fake.evacuateElsewhere("b", true) }, http.StatusOK, []string{"a", "b"}, 1},
		{"by a copy", func(fake *fakeReplica) { fake.evacuateElsewhere("a", true) }, http.StatusOK, []string{"a"}, 1},
		{"by a copy, and reverted", func(fake *fakeReplica) {
			fake.evacuateElsewhere("a", true)
			fake.evacuateElsewhere("a", false)
		}, http.StatusServiceUnavailable, nil, 0},
		{"by the contrary without effect", func(fake *fakeReplica) { fake.evacuateElsewhere("a", false) },
			http.StatusServiceUnavailable, nil, 0},
		{"by another zone while proposed", func(fake *fakeReplica) {
			fake.beforeApply = func() { fake.evacuateElsewhere("b", true) }
		}, http.StatusOK, []string{"a", "b"}, 2},
		{"by the contrary while proposed", func(fake *fakeReplica) {
			fake.beforeApply = func() { fake.evacuateElsewhere("a", false) }
		}, http.StatusServiceUnavailable, nil, 1},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeReplica()
			fake.onBarrier = func() { test.meanwhile(fake) }
			response := call(fake.newAPI(), http.MethodPost, PathDrainBegin+"a", "", "")
			if response.Code != test.want || !reflect.DeepEqual(fake.state.EvacuatedZones(), test.zones) {
				t.Errorf("%s: %d %s, evacuated: %q", test.name, response.Code, response.Body, fake.state.EvacuatedZones())
			}
			if fake.proposals != test.proposals {
				t.Errorf("%s: %d proposals, want %d", test.name, fake.proposals, test.proposals)
			}
		})
	}
}

// TestEvacuationOfDisconnectedCaller checks that a request is dropped whose caller has disconnected: the caller may have
// repeated it through another machine and reverted it there since.
func TestEvacuationOfDisconnectedCaller(t *testing.T) {
	fake := newFakeReplica()
	ctx, cancel := context.WithCancel(context.Background())
	fake.onBarrier = cancel
	request := httptest.NewRequest(http.MethodPost, PathDrainBegin+"a", http.NoBody).WithContext(ctx)
	response := httptest.NewRecorder()
	fake.newAPI().ServeHTTP(response, request)
	if response.Code != http.StatusServiceUnavailable || fake.proposals != 0 {
		t.Errorf("%d %s, %d proposals", response.Code, response.Body, fake.proposals)
	}
}

// TestEvacuationEndsInZoneRemovedFromSettings checks that the evacuation of a zone can be ended after the zone was removed.
func TestEvacuationEndsInZoneRemovedFromSettings(t *testing.T) {
	fake := newFakeReplica()
	fake.evacuateElsewhere("gone", true)
	response := call(fake.newAPI(), http.MethodPost, PathDrainFinish+"gone", "", "")
	if zones := fake.state.EvacuatedZones(); response.Code != http.StatusOK || len(zones) > 0 {
		t.Errorf("%d %s, evacuated: %q", response.Code, response.Body, zones)
	}
}
