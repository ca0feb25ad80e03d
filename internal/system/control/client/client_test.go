package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cinderroad/internal/system/control/api"
)

// scriptedResponse is a response of a scriptedMachine.
type scriptedResponse struct {
	status   int
	location string // URL of the machine that it redirects to
	retry    string // Retry-After
	body     string
}

// scriptedMachine responds to calls in the order of its script, and with the last response from then on.
type scriptedMachine struct {
	script []scriptedResponse
	calls  []string
	bodies []string
}

func (m *scriptedMachine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.calls = append(m.calls, r.Method+" "+r.URL.Path+" "+r.Header.Get(api.HeaderBasedOn))
	m.bodies = append(m.bodies, string(body))
	response := m.script[min(len(m.calls), len(m.script))-1]
	if response.location != "" {
		w.Header().Set("Location", response.location+r.URL.Path)
	}
	if response.retry != "" {
		w.Header().Set("Retry-After", response.retry)
	}
	w.Header().Set(api.HeaderVersion, "9")
	w.WriteHeader(response.status)
	fmt.Fprint(w, response.body)
}

// serve returns the address of a machine that runs until the test ends.
func serve(t *testing.T, m *scriptedMachine) string {
	t.Helper()
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newClient returns a client that records its pauses instead of sleeping.
func newClient(pauses *[]time.Duration, addresses ...string) *Client {
	return &Client{
		Addresses: addresses,
		Timeout:   time.Minute,
		Sleep:     func(_ context.Context, d time.Duration) { *pauses = append(*pauses, d) },
	}
}

func TestNextMachineIsTriedAfterFailure(t *testing.T) {
	var pauses []time.Duration
	first := &scriptedMachine{script: []scriptedResponse{{status: 503, retry: "0.3"}}}
	second := &scriptedMachine{script: []scriptedResponse{{status: 200, body: `{"version":9}`}}}
	client := newClient(&pauses, serve(t, first), serve(t, second))
	acknowledgement, err := client.Replace(t.Context(), 5, []byte("{}"))
	if err != nil || acknowledgement.Version != 9 || acknowledgement.Attempts != 2 || acknowledgement.Machine != client.Addresses[1] {
		t.Fatalf("%+v, %v", acknowledgement, err)
	}
	want := []string{"POST " + api.PathReplace + " 5"}
	if !slices.Equal(first.calls, want) || !slices.Equal(second.calls, want) || !slices.Equal(first.bodies, second.bodies) {
		t.Fatalf("calls %q and %q", first.calls, second.calls)
	}
	if len(pauses) != 1 || pauses[0] != 300*time.Millisecond {
		t.Fatalf("pauses %v: the machine asked for 300 ms", pauses)
	}
}

func TestRedirectsAreFollowed(t *testing.T) {
	var pauses []time.Duration
	leader := &scriptedMachine{script: []scriptedResponse{{status: 200, body: `{"version":9}`}}}
	leaderURL := "http://" + serve(t, leader)
	second := &scriptedMachine{script: []scriptedResponse{{status: 307, location: leaderURL}}}
	first := &scriptedMachine{script: []scriptedResponse{{status: 307, location: "http://" + serve(t, second)}}}
	acknowledgement, err := newClient(&pauses, serve(t, first)).Change(t.Context(), 8, []byte(`{"version":9}`))
	if err != nil || acknowledgement.Attempts != 1 || len(pauses) != 0 || leader.bodies[0] != `{"version":9}` {
		t.Fatalf("%+v, %v, pauses %v, %q", acknowledgement, err, pauses, leader.bodies)
	}
}

func TestRedirectLoopIsAbandoned(t *testing.T) {
	var pauses []time.Duration
	first := &scriptedMachine{}
	address := serve(t, first)
	first.script = []scriptedResponse{{status: 307, location: "http://" + address}}
	second := &scriptedMachine{script: []scriptedResponse{{status: 200, body: `{}`}}}
	acknowledgement, err := newClient(&pauses, address, serve(t, second)).Drain(t.Context(), "zone-a", true)
	if err != nil || acknowledgement.Attempts != 2 || len(first.calls) != 1+maxRedirects {
		t.Fatalf("%+v, %v, calls %q", acknowledgement, err, first.calls)
	}
	if second.calls[0] != "POST "+api.PathDrainBegin+"zone-a " {
		t.Fatalf("calls %q", second.calls)
	}
}

func TestRejectionsEndTheCall(t *testing.T) {
	for _, status := range []int{400, 404, 409, 412, 413, 422} {
		var pauses []time.Duration
		m := &scriptedMachine{script: []scriptedResponse{{
			status: status,
			body:   `{"error":{"code":"c","message":"m","findings":[{"place":"routes[0]","problem":"p"}]}}`,
		}}}
		_, err := newClient(&pauses, serve(t, m)).Replace(t.Context(), 0, nil)
		var rejected *RejectedError
		if !errors.As(err, &rejected) || len(m.calls) != 1 {
			t.Fatalf("%d: %v after %d calls", status, err, len(m.calls))
		}
		if rejected.Details.Code != "c" || rejected.Details.Problems[0] != (Problem{"routes[0]", "p"}) {
			t.Fatalf("%d: %+v", status, rejected.Details)
		}
	}
}

func TestOtherRejectionsAreRetriedTwice(t *testing.T) {
	var pauses []time.Duration
	m := &scriptedMachine{script: []scriptedResponse{{status: 405}}}
	_, err := newClient(&pauses, serve(t, m)).Drain(t.Context(), "a", false)
	var rejected *RejectedError
	if !errors.As(err, &rejected) || len(m.calls) != maxRejections {
		t.Fatalf("%v after %d calls", err, len(m.calls))
	}
}

func TestUnansweredCallEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := &scriptedMachine{script: []scriptedResponse{{status: 503}}}
	attempts := 0
	client := &Client{
		Addresses: []string{serve(t, m), closedAddress(t)},
		Sleep: func(context.Context, time.Duration) {
			if attempts++; attempts == 6 {
				cancel()
			}
		},
	}
	_, err := client.Read(ctx)
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || unavailable.Attempts != 6 || len(m.calls) != 3 {
		t.Fatalf("%v after %d calls", err, len(m.calls))
	}
}

// closedAddress returns an address on which nobody listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

func TestBackoffGrows(t *testing.T) {
	var pauses []time.Duration
	m := &scriptedMachine{script: []scriptedResponse{{status: 500}, {status: 500}, {status: 500}, {status: 500}, {status: 200, body: "{}"}}}
	if _, _, err := newClient(&pauses, serve(t, m)).Status(t.Context()); err != nil {
		t.Fatal(err)
	}
	bound := initialBackoff
	for i, pause := range pauses {
		if pause < bound/2 || pause > bound {
			t.Errorf("pause %d is %v, want %v to %v", i, pause, bound/2, bound)
		}
		bound *= 2
	}
}

func TestReadWithoutConfiguration(t *testing.T) {
	var pauses []time.Duration
	m := &scriptedMachine{script: []scriptedResponse{{status: 404, body: `{"error":{"code":"not_found","message":"none yet"}}`}}}
	document, err := newClient(&pauses, serve(t, m)).Read(t.Context())
	if err != nil || document.Version != 0 || len(document.Body) != 0 {
		t.Fatalf("%+v, %v", document, err)
	}
}

func TestReadReturnsVersion(t *testing.T) {
	var pauses []time.Duration
	m := &scriptedMachine{script: []scriptedResponse{{status: 200, body: `{"version":9}`}}}
	document, err := newClient(&pauses, serve(t, m)).Read(t.Context())
	if err != nil || document.Version != 9 || string(document.Body) != `{"version":9}` {
		t.Fatalf("%+v, %v", document, err)
	}
}

func TestNoAddresses(t *testing.T) {
	if _, _, err := (&Client{}).Status(t.Context()); !errors.Is(err, ErrNoAddresses) {
		t.Fatal(err)
	}
}

// TestTooLongResponseIsAnError: a response that is not read to its end is not taken for a whole one.
func TestTooLongResponseIsAnError(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set(api.HeaderVersion, "9")
		chunk := make([]byte, 1<<20)
		for range maxResponseBytes/len(chunk) + 1 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	machine := strings.TrimPrefix(server.URL, "http://")
	var pauses []time.Duration
	document, err := newClient(&pauses, machine).Read(t.Context())
	var tooLarge *ResponseTooLargeError
	if !errors.As(err, &tooLarge) || tooLarge.Machine != machine || calls.Load() != 1 {
		t.Fatalf("%+v, %v after %d calls", document, err, calls.Load())
	}
}

// TestSlowResponseIsReadToItsEnd guards against a configuration that takes longer than callTimeout on its way and could never be
// read, since each attempt ended in the middle of the response.
func TestSlowResponseIsReadToItsEnd(t *testing.T) {
	const parts = 6
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderVersion, "9")
		for range parts {
			if _, err := io.WriteString(w, "part"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(callTimeout / (parts - 1)):
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	var pauses []time.Duration
	document, err := newClient(&pauses, strings.TrimPrefix(server.URL, "http://")).Read(t.Context())
	if err != nil || string(document.Body) != strings.Repeat("part", parts) || len(pauses) > 0 {
		t.Fatalf("%+v, %v after %d pauses", document, err, len(pauses))
	}
}

// TestReadFromAnotherServer: a 404 without the API's code says nothing of a configuration.
func TestReadFromAnotherServer(t *testing.T) {
	for _, body := range []string{"404 page not found\n", `{"error":{"code":"no_route","message":"no route"}}`} {
		var pauses []time.Duration
		m := &scriptedMachine{script: []scriptedResponse{{status: 404, body: body}}}
		document, err := newClient(&pauses, serve(t, m)).Read(t.Context())
		var rejected *RejectedError
		if !errors.As(err, &rejected) || document != nil {
			t.Errorf("%q: %+v, %v", body, document, err)
		}
	}
}

// TestCallOutlastsItsHandling: a client waits at least as long as a machine may take for a body of any size.
func TestCallOutlastsItsHandling(t *testing.T) {
	for bodyBytes := 0; bodyBytes <= api.MaxBodyBytes; bodyBytes += 1 << 18 {
		machineTime := api.ResponseTimeout + api.ParseAllowance(bodyBytes)
		if clientTime := callTimeout + bodyAllowance(bodyBytes); clientTime < machineTime+callTimeout-api.ResponseTimeout {
			t.Fatalf("%d bytes: the client waits %v, the machine may take %v", bodyBytes, clientTime, machineTime)
		}
	}
}

// TestMayBeDone: a call that fails says whether any of its attempts may have done something.
func TestMayBeDone(t *testing.T) {
	for _, tc := range []struct {
		statuses  []int
		mayBeDone bool
	}{
		{[]int{503}, false},
		{[]int{429, 503}, false},
		{[]int{503, 500}, true},
		{[]int{504, 503}, true},
		{[]int{503, 404}, false},
		{[]int{502, 404}, true},
	} {
		m := &scriptedMachine{}
		for _, status := range tc.statuses {
			m.script = append(m.script, scriptedResponse{status: status})
		}
		var pauses []time.Duration
		client := newClient(&pauses, serve(t, m), closedAddress(t))
		client.MaxAttempts = 2 * len(tc.statuses) // each second attempt at the machine that is down
		_, err := client.Add(t.Context(), "visits", Addition{ID: "a", Amount: 1})
		var unavailable *UnavailableError
		var rejected *RejectedError
		switch {
		case errors.As(err, &unavailable):
			if unavailable.MayBeDone != tc.mayBeDone {
				t.Errorf("%v: %+v", tc.statuses, unavailable)
			}
		case errors.As(err, &rejected):
			if rejected.MayBeDone != tc.mayBeDone {
				t.Errorf("%v: %+v", tc.statuses, rejected)
			}
		default:
			t.Errorf("%v: %v", tc.statuses, err)
		}
	}
}
