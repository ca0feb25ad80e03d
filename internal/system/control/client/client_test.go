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
	"testing"
	"time"

	"cinderroad/internal/system/control/api"
)

// scriptedResponse is what a scripted machine answers a call with.
type scriptedResponse struct {
	status   int
	location string // machine that it refers to
	retry    string // Retry-After
	body     string
}

// scriptedMachine answers calls in the order of its script, and with the last answer for ever.
type scriptedMachine struct {
	script []scriptedResponse
	calls  []string
	bodies []string
}

func (m *scriptedMachine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.calls = append(m.calls, r.Method+" "+r.URL.Path+" "+r.Header.Get(api.HeaderBasedOn))
	m.bodies = append(m.bodies, string(body))
	next := m.script[min(len(m.calls), len(m.script))-1]
	if next.location != "" {
		w.Header().Set("Location", next.location+r.URL.Path)
	}
	if next.retry != "" {
		w.Header().Set("Retry-After", next.retry)
	}
	w.Header().Set(api.HeaderVersion, "9")
	w.WriteHeader(next.status)
	fmt.Fprint(w, next.body)
}

// serve returns the machine's address.
func serve(t *testing.T, m *scriptedMachine) string {
	t.Helper()
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newClient returns a client that notes its pauses and makes none.
func newClient(pauses *[]time.Duration, machines ...string) *Client {
	return &Client{Addresses: machines, Timeout: time.Minute,
		Sleep: func(_ context.Context, d time.Duration) { *pauses = append(*pauses, d) }}
}

func TestNextMachineIsTriedAfterFailure(t *testing.T) {
	var pauses []time.Duration
	first := &scriptedMachine{script: []scriptedResponse{{status: 503, retry: "0.3"}}}
	second := &scriptedMachine{script: []scriptedResponse{{status: 200, body: `{"version":9}`}}}
	client := newClient(&pauses, serve(t, first), serve(t, second))
	receipt, err := client.Replace(t.Context(), 5, []byte("{}"))
	if err != nil || receipt.Version != 9 || receipt.Attempts != 2 || receipt.Machine != client.Addresses[1] {
		t.Fatalf("%+v, %v", receipt, err)
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
	receipt, err := newClient(&pauses, serve(t, first)).Change(t.Context(), 8, []byte(`{"version":9}`))
	if err != nil || receipt.Attempts != 1 || len(pauses) != 0 || leader.bodies[0] != `{"version":9}` {
		t.Fatalf("%+v, %v, pauses %v, %q", receipt, err, pauses, leader.bodies)
	}
}

func TestRedirectLoopIsLeft(t *testing.T) {
	var pauses []time.Duration
	first := &scriptedMachine{}
	address := serve(t, first)
	first.script = []scriptedResponse{{status: 307, location: "http://" + address}}
	second := &scriptedMachine{script: []scriptedResponse{{status: 200, body: `{}`}}}
	receipt, err := newClient(&pauses, address, serve(t, second)).Drain(t.Context(), "zone-a", true)
	if err != nil || receipt.Attempts != 2 || len(first.calls) != 1+maxRedirects {
		t.Fatalf("%+v, %v, calls %q", receipt, err, first.calls)
	}
	if second.calls[0] != "POST "+api.PathDrainBegin+"zone-a " {
		t.Fatalf("calls %q", second.calls)
	}
}

func TestRejectionsEndTheCall(t *testing.T) {
	for _, status := range []int{400, 404, 409, 412, 413, 422} {
		var pauses []time.Duration
		m := &scriptedMachine{script: []scriptedResponse{{status: status,
			body: `{"error":{"code":"c","message":"m","findings":[{"place":"routes[0]","problem":"p"}]}}`}}}
		_, err := newClient(&pauses, serve(t, m)).Replace(t.Context(), 0, nil)
		var refused *RejectedError
		if !errors.As(err, &refused) || len(m.calls) != 1 {
			t.Fatalf("%d: %v after %d calls", status, err, len(m.calls))
		}
		if refused.Details.Code != "c" || refused.Details.Problems[0] != (Problem{"routes[0]", "p"}) {
			t.Fatalf("%d: %+v", status, refused.Details)
		}
	}
}

func TestOtherRejectionsAreRetriedTwice(t *testing.T) {
	var pauses []time.Duration
	m := &scriptedMachine{script: []scriptedResponse{{status: 405}}}
	_, err := newClient(&pauses, serve(t, m)).Drain(t.Context(), "a", false)
	var refused *RejectedError
	if !errors.As(err, &refused) || len(m.calls) != maxRejections {
		t.Fatalf("%v after %d calls", err, len(m.calls))
	}
}

func TestUnansweredCallEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := &scriptedMachine{script: []scriptedResponse{{status: 503}}}
	tries := 0
	client := &Client{Addresses: []string{serve(t, m), closedAddress(t)}, Sleep: func(context.Context, time.Duration) {
		if tries++; tries == 6 {
			cancel()
		}
	}}
	_, err := client.Read(ctx)
	var unanswered *UnavailableError
	if !errors.As(err, &unanswered) || unanswered.Attempts != 6 || len(m.calls) != 3 {
		t.Fatalf("%v after %d calls", err, len(m.calls))
	}
}

// closedAddress returns an address that nobody listens on.
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
