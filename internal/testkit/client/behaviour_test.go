package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cinderroad/internal/testkit/checker"
)

// newStoppingTestbed returns a testbed whose dispatcher has got SIGTERM, and has given every request to a runner, as the checker
// sees it, before it answers.
func newStoppingTestbed(t *testing.T, answer http.HandlerFunc) *testbed {
	t.Helper()
	machines := checker.NewMachines()
	requests := checker.New(checker.Limits{GracePeriod: time.Minute, Machines: machines}, nil)
	bed := newTestbedWithHandler(t, func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			t.Error(err)
		}
		machines.Stopped(q.Context().Value(http.LocalAddrContextKey).(net.Addr).String(), time.Now())
		requests.RequestReceived(checker.ReceivedRequest{
			Runner: &checker.Runner{ID: "i-1", Service: "llm"},
			ID:     q.Header.Get("X-Try-Id"),
			Method: q.Method,
			Host:   q.Host,
			URI:    q.RequestURI,
			Body:   checker.Hash(body),
		})
		answer(w, q)
	})
	bed.checker = requests
	bed.generator.options.Checker = requests
	return bed
}

// A dispatcher that closes a connection without an answer is reported; a client that leaves is not.
func TestCutRequestsAreReported(t *testing.T) {
	for _, test := range []struct {
		name       string
		leaveAfter time.Duration
		want       int
	}{
		{"cut by the dispatcher", 0, 1},
		{"the client leaves", 20 * time.Millisecond, 0},
	} {
		bed := newStoppingTestbed(t, func(_ http.ResponseWriter, q *http.Request) {
			if test.leaveAfter > 0 {
				<-q.Context().Done()
			}
			panic(http.ErrAbortHandler)
		})
		call := newCall(bodyRoute())
		call.LeaveAfter = test.leaveAfter
		if got := bed.generator.Do(context.Background(), bed.generator.Client("a", 0), call); got != Failed {
			t.Errorf("%s: outcome %d", test.name, got)
		}
		lost := 0
		for _, violation := range bed.checker.Finish() {
			if violation.Rule == checker.LostRequest {
				lost++
			}
		}
		if lost != test.want {
			t.Errorf("%s: %v", test.name, bed.checker.Violations())
		}
		if stats := bed.generator.Stats(); (stats.Left == 1) != (test.leaveAfter > 0) || stats.Left+stats.Calls != 1 {
			t.Errorf("%s: %+v", test.name, stats)
		}
	}
}

// A slow body arrives whole and unchanged.
func TestBodyPause(t *testing.T) {
	w, _ := newTestbedWithRunner(t, "api")
	for range 10 { // some bodies are chunked
		call := newCall(bodyRoute())
		call.BodyPause = 5 * time.Millisecond
		if got := w.generator.Do(context.Background(), w.generator.Client("a", 0), call); got != InTime {
			t.Errorf("outcome %d", got)
		}
	}
	if rules := w.rules(); len(rules) > 0 {
		t.Errorf("%v", w.checker.Violations())
	}
}

// A sticky client goes on with its connection although the directory names another address; another client drops it.
func TestStickyClientsKeepConnections(t *testing.T) {
	for _, sticky := range []bool{false, true} {
		var mu sync.Mutex
		remotes := make(map[string]bool)
		var served atomic.Int32
		bed := newTestbedWithHandler(t, func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			remotes[q.RemoteAddr] = true
			served.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		c := bed.generator.Client("a", 0)
		c.sticky = sticky
		bed.call(bodyRoute())
		c.storeAddresses(&lookupAnswer{Addresses: []string{"127.0.0.1:1"}, TTL: 60})
		bed.call(bodyRoute())
		if want := map[bool]int32{false: 1, true: 2}[sticky]; served.Load() != want || len(remotes) != 1 {
			t.Errorf("sticky %v: %d requests on %d connections, want %d on one", sticky, served.Load(), len(remotes), want)
		}
		bed.generator.Close()
		if c.takeIdle() != nil {
			t.Errorf("sticky %v: a connection was not closed", sticky)
		}
	}
}
