package api

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"cinderroad/internal/compatibility"
)

// TestResponsesUnchanged compares the status, headers and body of each response in a sequence of calls with the recorded
// ones.
func TestResponsesUnchanged(t *testing.T) {
	replicas := newFakeReplica()
	api := replicas.newAPI()
	broken := strings.Replace(documentJSON(4, routeJSON("x", "gone")), `"rank":1`, `"rank":-1`, 1)
	change := `{"version":9,"replace":{"routes":[` + routeJSON("y", "s") + `]},"remove":{"routes":["x"]}}`
	var transcript bytes.Buffer
	for _, step := range []struct{ method, path, basedOn, body string }{
		{http.MethodGet, "/-/Settings.Read", "", ""},
		{http.MethodPost, "/-/Settings.Replace", "", documentJSON(3, routeJSON("x", "s"))},
		{http.MethodPost, "/-/Settings.Replace", "0", documentJSON(3, routeJSON("x", "s"))},
		{http.MethodPost, "/-/Settings.Replace", "3", broken},
		{http.MethodPost, "/-/Settings.Replace", "1", documentJSON(4, routeJSON("x", "s"))},
		{http.MethodPost, "/-/Settings.Change", "3", change},
		{http.MethodGet, "/-/Settings.Read", "", ""},
		{http.MethodPost, "/-/DrainZone.Begin/a", "", ""},
		{http.MethodPost, "/-/DrainZone.Finish/a", "", ""},
		{http.MethodPost, "/-/DrainZone.Begin/q", "", ""},
		{http.MethodGet, "/-/status", "", ""},
	} {
		response := call(api, step.method, step.path, step.basedOn, step.body)
		fmt.Fprintf(&transcript, "%s %s %s\n%d\n", step.method, step.path, step.basedOn, response.Code)
		for _, name := range slices.Sorted(maps.Keys(response.Header())) {
			fmt.Fprintf(&transcript, "%s: %s\n", name, response.Header().Get(name))
		}
		fmt.Fprintf(&transcript, "%s\n\n", response.Body)
	}
	replicas.noQuorum, replicas.isolated = true, true
	response := call(api, http.MethodGet, "/-/Settings.Read", "", "")
	fmt.Fprintf(&transcript, "without a majority\n%d\nRetry-After: %s\n%s\n",
		response.Code, response.Header().Get("Retry-After"), response.Body)
	compatibility.PackageFolder.Check(t, "answers.txt", transcript.Bytes())
}

// TestRequestDigestsUnchanged pins the digests of requests: replicas store them to recognize requests that were accepted.
func TestRequestDigestsUnchanged(t *testing.T) {
	for want, r := range map[string]*changeRequest{
		"cae3ee9f70e574e444e2430d55c18b24": {kind: kindReplace, basedOn: 3, body: []byte("{}")},
		"cd710bb77c70810281371e4ea6c1b247": {kind: kindChange, basedOn: 1 << 40, body: []byte(`{"version":9}`)},
	} {
		digest := r.digest()
		if got := hex.EncodeToString(digest[:]); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}
