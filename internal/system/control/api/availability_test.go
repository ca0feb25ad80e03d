package api

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLostProposalResponses checks that a change whose outcome is unknown is committed once, and acknowledged if there is
// a quorum.
func TestLostProposalResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeReplica()
		fake.lostResponses = 1
		fake.lostProposals = 2
		body := documentJSON(3, routeJSON("x", "s"))
		if response := call(fake.newAPI(), http.MethodPost, PathReplace, "0", body); response.Code != http.StatusOK {
			t.Errorf("%d %s", response.Code, response.Body)
		}
		fake.lostResponses = 1
		if response := call(fake.newAPI(), http.MethodPost, PathDrainBegin+"a", "", ""); response.Code != http.StatusOK {
			t.Errorf("%d %s", response.Code, response.Body)
		}
		if fake.state.Version() != 3 || len(fake.state.EvacuatedZones()) != 1 {
			t.Errorf("version %d, evacuated %q", fake.state.Version(), fake.state.EvacuatedZones())
		}
	})
}

// TestNoQuorum checks that each call is answered in time, and nothing is acknowledged.
func TestNoQuorum(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*fakeReplica)
	}{
		{"no quorum", func(fake *fakeReplica) { fake.noQuorum = true }},
		{"hanging", func(fake *fakeReplica) { fake.hang = true }},
		{"slow", func(fake *fakeReplica) { fake.delay = 700 * time.Millisecond }},
		{"lost proposals", func(fake *fakeReplica) { fake.lostProposals = 1 << 30 }},
	} {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeReplica()
			test.change(fake)
			for _, request := range [][3]string{
				{PathReplace, "0", documentJSON(3, routeJSON("x", "s"))},
				{PathDrainBegin + "a", "", ""},
			} {
				started := time.Now()
				response := call(fake.newAPI(), http.MethodPost, request[0], request[1], request[2])
				elapsed := time.Since(started)
				if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") == "" {
					t.Errorf("%s, %s: %d %s", test.name, request[0], response.Code, response.Body)
				}
				if elapsed > ResponseTimeout+fake.delay {
					t.Errorf("%s, %s: the response took %v", test.name, request[0], elapsed)
				}
			}
			if fake.state.Version() != 0 || fake.state.EvacuatedZones() != nil {
				if test.name != "slow" { // it may be in force without an acknowledgement
					t.Errorf("%s: something is in force", test.name)
				}
			}
		})
	}
}

// TestIsolatedMachineRespondsAtOnce checks that a machine which has lost contact with the majority lets nobody wait,
// reveals nothing of its state, and rejects nothing by it.
func TestIsolatedMachineRespondsAtOnce(t *testing.T) {
	for _, hang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeReplica()
			api := fake.newAPI()
			response := call(api, http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s")))
			if response.Code != http.StatusOK {
				t.Fatal(response.Code, response.Body)
			}
			fake.isolated = true
			fake.noQuorum = true
			fake.hang = hang
			for _, request := range [][4]string{
				{http.MethodGet, PathRead, "", ""},
				{http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s"))}, // repeated
				{http.MethodPost, PathReplace, "3", documentJSON(4, routeJSON("x", "s"))},
				{http.MethodPost, PathReplace, "2", documentJSON(4, routeJSON("x", "s"))},      // based on another version
				{http.MethodPost, PathReplace, "3", documentJSON(4, routeJSON("x", "nobody"))}, // invalid
				{http.MethodPost, PathReplace, "3", "{"},                                       // not JSON
				{http.MethodPost, PathChange, "3", `{"version":3,"replace":{}}`},               // invalid on its own state
				{http.MethodPost, PathChange, "3", `{"version":9,"remove":{"routes":["y"]}}`},  // also invalid on its own state
				{http.MethodPost, PathDrainBegin + "a", "", ""},
				{http.MethodPost, PathDrainFinish + "a", "", ""}, // has no effect on its own state
			} {
				started := time.Now()
				response := call(api, request[0], request[1], request[2], request[3])
				if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") == "" {
					t.Errorf("%v: %d %s", request, response.Code, response.Body)
				}
				if elapsed := time.Since(started); elapsed > IsolatedResponseTimeout {
					t.Errorf("%v: the response took %v", request, elapsed)
				}
			}
		})
	}
}

func TestQuorumReturnsBeforeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeReplica()
		fake.noQuorum = true
		time.AfterFunc(400*time.Millisecond, func() {
			fake.mutex.Lock()
			defer fake.mutex.Unlock()
			fake.noQuorum = false
		})
		response := call(fake.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s")))
		if response.Code != http.StatusOK {
			t.Errorf("%d %s", response.Code, response.Body)
		}
	})
}

func TestBodyTooLarge(t *testing.T) {
	fake := newFakeReplica()
	body := strings.Repeat(" ", MaxBodyBytes+1)
	if response := call(fake.newAPI(), http.MethodPost, PathReplace, "0", body); response.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("%d", response.Code)
	}
}

func TestTooManyCalls(t *testing.T) {
	a := newFakeReplica().newAPI()
	for range maxCalls {
		a.callSlots <- struct{}{}
	}
	if response := call(a, http.MethodGet, PathRead, "", ""); response.Code != http.StatusServiceUnavailable {
		t.Errorf("%d", response.Code)
	}
}
