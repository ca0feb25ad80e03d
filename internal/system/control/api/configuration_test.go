package api

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/control/state"
)

func TestFirstConfigurationIsReadBack(t *testing.T) {
	fake := newFakeReplica()
	if response := call(fake.newAPI(), http.MethodGet, PathRead, "", ""); response.Code != http.StatusNotFound {
		t.Errorf("read before the first: %d", response.Code)
	}
	body := documentJSON(3, routeJSON("x", "s"))
	if response := call(fake.newAPI(), http.MethodPost, PathReplace, "0", body); response.Code != http.StatusOK {
		t.Fatalf("%d %s", response.Code, response.Body)
	}
	if got := fake.readConfiguration(t); !equalJSON(t, got, body) {
		t.Errorf("read %s, sent %s", got, body)
	}
	response := call(fake.newAPI(), http.MethodGet, PathRead, "", "")
	if response.Header().Get("ETag") != `"3"` {
		t.Errorf("ETag %s", response.Header().Get("ETag"))
	}
}

func TestRepeatedChangesAreIdempotent(t *testing.T) {
	fake := newFakeReplica()
	first, second := documentJSON(3, routeJSON("x", "s")), documentJSON(5, routeJSON("x", "t"))
	change := `{"version":9,"replace":{"routes":[` + routeJSON("y", "s") + `]},"remove":{"routes":["x"]}}`
	steps := []struct {
		name, path, basedOn, body string
		want                      int
	}{
		{"the first", PathReplace, "0", first, http.StatusOK},
		{"the first again", PathReplace, "0", first, http.StatusOK},
		{"another first", PathReplace, "0", second, http.StatusPreconditionFailed},
		{"the second", PathReplace, "3", second, http.StatusOK},
		{"the first again after the second", PathReplace, "0", first, http.StatusOK},
		{"the second again", PathReplace, "3", second, http.StatusOK},
		{"the same body on another base", PathReplace, "5", second, http.StatusBadRequest},
		{"the same body as another call", PathChange, "3", second, http.StatusPreconditionFailed},
		{"by items", PathChange, "5", change, http.StatusOK},
		{"by items again", PathChange, "5", change, http.StatusOK},
		{"by items on a stale base", PathChange, "3", change, http.StatusPreconditionFailed},
	}
	for _, step := range steps {
		if response := call(fake.newAPI(), http.MethodPost, step.path, step.basedOn, step.body); response.Code != step.want {
			t.Errorf("%s: %d %s, want %d", step.name, response.Code, response.Body, step.want)
		}
	}
	if got, want := fake.readConfiguration(t), documentJSON(9, routeJSON("y", "s")); !equalJSON(t, got, want) {
		t.Errorf("read %s, want %s", got, want)
	}
}

func TestInvalidChangesAreNeverProposed(t *testing.T) {
	fake := newFakeReplica()
	if response := call(fake.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s"))); response.Code != 200 {
		t.Fatal(response.Body)
	}
	snapshot := fake.state.Snapshot()
	proposals := fake.proposals
	zeroTimeout := strings.Replace(routeJSON("y", "s"), "5000", "0", 1)
	noWeight := strings.Replace(routeJSON("y", "s"), `"service":"s"`, `"shares":[{"service":"s","weight":0}]`, 1)
	cases := []struct{ name, path, basedOn, body string }{
		{"no JSON", PathReplace, "3", "{"},
		{"nothing", PathReplace, "3", ""},
		{"a list", PathReplace, "3", "[]"},
		{"cut short", PathReplace, "3", documentJSON(5)[:40]},
		{"two documents", PathReplace, "3", documentJSON(5) + documentJSON(6)},
		{"unknown service", PathReplace, "3", documentJSON(5, routeJSON("x", "u"))},
		{"one prefix twice", PathReplace, "3", documentJSON(5, routeJSON("x", "s"), strings.Replace(routeJSON("x", "s"), `"x"`, `"y"`, 1))},
		{"weights of 0", PathReplace, "3", documentJSON(5, noWeight)},
		{"a timeout of 0", PathReplace, "3", documentJSON(5, zeroTimeout)},
		{"the version in force", PathReplace, "3", documentJSON(3)},
		{"an earlier version", PathReplace, "3", documentJSON(2)},
		{"no base", PathReplace, "", documentJSON(5)},
		{"a base that is no number", PathReplace, "x", documentJSON(5)},
		{"by items: unknown service", PathChange, "3", `{"version":5,"replace":{"routes":[` + routeJSON("y", "u") + `]}}`},
		{"by items: a service that is used", PathChange, "3", `{"version":5,"remove":{"services":["s"]}}`},
		{"by items: an earlier version", PathChange, "3", `{"version":1,"remove":{"routes":["x"]}}`},
		{"by items: no base", PathChange, "", `{"version":5,"remove":{"routes":["x"]}}`},
	}
	for _, test := range cases {
		response := call(fake.newAPI(), http.MethodPost, test.path, test.basedOn, test.body)
		if response.Code != http.StatusBadRequest {
			t.Errorf("%s: %d %s", test.name, response.Code, response.Body)
		}
		var body struct {
			Error struct{ Code, Message string }
		}
		if err := json.Unmarshal(response.Body.Bytes(), &body); err != nil || body.Error.Code != codeInvalid {
			t.Errorf("%s: %s", test.name, response.Body)
		}
	}
	if fake.proposals != proposals || string(fake.state.Snapshot()) != string(snapshot) {
		t.Error("an invalid change was proposed")
	}
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	fake := newFakeReplica()
	bad := strings.Replace(routeJSON("x", "u"), "5000", "0", 1)
	response := call(fake.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(0, bad))
	var body struct {
		Error struct {
			Findings []struct{ Place, Problem string }
		}
	}
	if err := json.Unmarshal(response.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if len(body.Error.Findings) < 3 { // version, timeout, service
		t.Errorf("%s", response.Body)
	}
	for _, finding := range body.Error.Findings {
		if finding.Place == "" || finding.Problem == "" {
			t.Errorf("%+v", finding)
		}
	}
}

func TestConcurrentChangeConflicts(t *testing.T) {
	fake := newFakeReplica()
	call(fake.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s")))
	fake.beforeApply = func() { // another operator's change is applied first
		command := state.CommitConfiguration{BaseVersion: 3, Version: 4, Digest: state.Digest{1}}
		fake.apply(command.Encode())
	}
	response := call(fake.newAPI(), http.MethodPost, PathReplace, "3", documentJSON(5, routeJSON("x", "t")))
	if response.Code != http.StatusPreconditionFailed || fake.state.Version() != 4 {
		t.Errorf("%d %s, version %d", response.Code, response.Body, fake.state.Version())
	}
}

// TestIndefiniteOutcomes checks that a change is rejected only if no copy of it can be in force, now or later.
func TestIndefiniteOutcomes(t *testing.T) {
	fake := newFakeReplica()
	early := documentJSON(9, routeJSON("x", "s"))
	if response := call(fake.newAPI(), http.MethodPost, PathReplace, "3", early); response.Code != http.StatusServiceUnavailable {
		t.Errorf("on a version that is not in force yet: %d %s", response.Code, response.Body)
	}
	first := documentJSON(3, routeJSON("x", "s"))
	for _, sent := range [][2]string{{"0", first}, {"3", early}, {"0", first}, {"3", early}} {
		if response := call(fake.newAPI(), http.MethodPost, PathReplace, sent[0], sent[1]); response.Code != http.StatusOK {
			t.Errorf("on %s: %d %s", sent[0], response.Code, response.Body)
		}
	}
	for version := uint64(9); version < 9+state.RetainedChanges; version++ {
		command := state.CommitConfiguration{BaseVersion: version, Version: version + 1}
		fake.apply(command.Encode())
	}
	tests := []struct {
		name, basedOn, body string
		want                int
	}{
		{"the first, forgotten", "0", first, http.StatusServiceUnavailable},
		{"the second, forgotten", "3", early, http.StatusServiceUnavailable},
		{"another on a forgotten base", "0", documentJSON(4), http.StatusServiceUnavailable},
		{"on a remembered base", "9", early, http.StatusPreconditionFailed},
	}
	for _, test := range tests {
		if response := call(fake.newAPI(), http.MethodPost, PathReplace, test.basedOn, test.body); response.Code != test.want {
			t.Errorf("%s: %d %s, want %d", test.name, response.Code, response.Body, test.want)
		}
	}
}

// TestChangeForgottenWhileProposed checks that a change gets 503 if it is applied after its base was forgotten.
func TestChangeForgottenWhileProposed(t *testing.T) {
	fake := newFakeReplica()
	fake.beforeApply = func() {
		for version := uint64(0); version <= state.RetainedChanges; version++ {
			command := state.CommitConfiguration{BaseVersion: version, Version: version + 1}
			fake.apply(command.Encode())
		}
	}
	response := call(fake.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s")))
	if response.Code != http.StatusServiceUnavailable {
		t.Errorf("%d %s", response.Code, response.Body)
	}
}

// TestConcurrentOperators has operators send drawn changes through two machines whose responses get lost now and then, and
// repeat them: one change is acknowledged on each base, and none that was acknowledged is lost.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, checkConcurrentOperators)
}

func checkConcurrentOperators(t *rapid.T) {
	fake := newFakeReplica()
	machines := []*API{fake.newAPI(), fake.newAPI()}
	for _, machine := range machines {
		machine.committer.sleep = func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil }
	}
	type request struct {
		basedOn, version int
		body             string
	}
	var requests []request
	acknowledged := map[int]int{} // index in requests, by base
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		fake.lostResponses = rapid.IntRange(0, 1).Draw(t, "lose")
		index := rapid.IntRange(0, len(requests)).Draw(t, "request")
		if index == len(requests) {
			basedOn := int(fake.state.Version())
			if basedOn > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				basedOn--
			}
			version := basedOn + rapid.IntRange(0, 3).Draw(t, "step")
			service := rapid.SampledFrom([]string{"s", "t", "unknown"}).Draw(t, "service")
			requests = append(requests, request{basedOn, version, documentJSON(version, routeJSON(fmt.Sprint("r", index), service))})
		}
		sent := requests[index]
		machine := rapid.SampledFrom(machines).Draw(t, "machine")
		response := call(machine, http.MethodPost, PathReplace, strconv.Itoa(sent.basedOn), sent.body)
		if response.Code == http.StatusOK {
			if other, acknowledgedBefore := acknowledged[sent.basedOn]; acknowledgedBefore && other != index {
				t.Fatalf("requests %d and %d were both acknowledged on %d", other, index, sent.basedOn)
			}
			acknowledged[sent.basedOn] = index
			if strings.Contains(sent.body, "unknown") || sent.version <= sent.basedOn {
				t.Fatalf("an invalid request was acknowledged: %s", sent.body)
			}
		} else if response.Code >= 500 {
			t.Fatalf("%d %s", response.Code, response.Body)
		}
		for basedOn, index := range acknowledged {
			if uint64(requests[index].version) > fake.state.Version() {
				t.Fatalf("request %d on %d was acknowledged and is lost", index, basedOn)
			}
		}
	}
}

// cutBody is a request body whose connection is lost after its first bytes.
type cutBody struct{ beginning *strings.Reader }

func (b *cutBody) Read(p []byte) (int, error) {
	if b.beginning.Len() == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	return b.beginning.Read(p)
}

// TestIncompleteBodyHasItsOwnCode: a body that does not arrive whole says nothing of the majority, and nothing is committed.
func TestIncompleteBodyHasItsOwnCode(t *testing.T) {
	fake := newFakeReplica()
	request := httptest.NewRequest(http.MethodPost, PathReplace, &cutBody{strings.NewReader(`{"version":3,`)})
	request.Header.Set(HeaderBasedOn, "0")
	response := httptest.NewRecorder()
	fake.newAPI().ServeHTTP(response, request)
	if response.Code != http.StatusRequestTimeout || !strings.Contains(response.Body.String(), `"code":"incomplete_body"`) {
		t.Errorf("%d %s", response.Code, response.Body)
	}
	if fake.proposals != 0 {
		t.Errorf("%d proposals", fake.proposals)
	}
}
