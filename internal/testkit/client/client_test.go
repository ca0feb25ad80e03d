package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/engine"
	"cinderroad/internal/testkit/runner"
)

// testbed is a directory that names one address, and clients.
type testbed struct {
	generator *LoadGenerator
	checker   *checker.Checker
	lookups   atomic.Int32
}

func newTestbed(t *testing.T, dispatcherAddress string) *testbed {
	t.Helper()
	bed := &testbed{checker: checker.New(checker.Limits{}, nil)}
	directory := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) {
		bed.lookups.Add(1)
		if q.URL.Query().Get("zone") != "a" || q.URL.Query().Get("region") != "r" ||
			q.URL.Query().Get("name") != "h.example" {
			t.Errorf("the directory was asked for %v", q.URL)
		}
		json.NewEncoder(out).Encode(lookupAnswer{Addresses: []string{dispatcherAddress}, TTL: 60})
	}))
	t.Cleanup(directory.Close)
	address := netip.MustParseAddrPort(directory.Listener.Addr().String())
	bed.generator = New(Options{RegionOfZone: map[string]string{"a": "r"}, ClientsPerZone: 1, Checker: bed.checker,
		Directories: func(string) []netip.AddrPort { return []netip.AddrPort{address} }})
	return bed
}

func streamRoute() *Route {
	return &Route{
		Name:          "streams",
		Host:          "h.example",
		Path:          "/s/1",
		Stream:        true,
		LatencyTarget: 10 * time.Second,
		Deadline:      20 * time.Second,
		CheckerRoute:  &checker.Route{Name: "streams", Services: []string{"llm"}},
	}
}

func bodyRoute() *Route {
	return &Route{
		Name:          "bodies",
		Host:          "h.example",
		Path:          "/b/1",
		ReadOnly:      true,
		LatencyTarget: 10 * time.Second,
		Deadline:      20 * time.Second,
		CheckerRoute:  &checker.Route{Name: "bodies", Services: []string{"llm", "api"}, Idempotent: true},
	}
}

func newCall(route *Route) *Call {
	c := &Call{Route: route, Zone: "a", BodyBytes: 300}
	if route.Stream {
		c.Model = "m"
		c.PromptChunks = "a:20,b:10"
		c.PromptTokens = 30
		c.MaxOutputTokens = 12
	}
	return c
}

func (bed *testbed) call(route *Route) Outcome {
	return bed.generator.Do(context.Background(), bed.generator.Client("a", 0), newCall(route))
}

func startRunner(t *testing.T, bed *testbed, service string) *runner.Runner {
	t.Helper()
	o := runner.Options{Runner: checker.Runner{ID: "i-1", Service: service}, Address: "127.0.0.1:0", BodyBytes: 100,
		Checker: bed.checker}
	o.Engine, _ = engine.NewWorkers(2, 2)
	if service == "llm" {
		o.EventTokens = 2
		o.Engine, _ = engine.New(engine.Options{MaxRunning: 4, MaxQueued: 4, MemoryTokens: 1000, StepTime: time.Millisecond,
			PrefillTokensPerMS: 100, EventTokens: 2})
	}
	r, err := runner.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// newTestbedWithRunner returns a testbed whose dispatcher forwards everything to one runner.
func newTestbedWithRunner(t *testing.T, service string) (*testbed, *runner.Runner) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	bed := newTestbed(t, l.Addr().String())
	server := startRunner(t, bed, service)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go relayConnection(c, server.Address().String())
		}
	}()
	return bed, server
}

func relayConnection(c net.Conn, to string) {
	other, err := net.Dial("tcp", to)
	if err != nil {
		c.Close()
		return
	}
	go func() {
		io.Copy(other, c)
		other.Close()
	}()
	io.Copy(c, other)
	c.Close()
}

func (bed *testbed) rules() (rules []checker.Rule) {
	for _, b := range bed.checker.Finish() {
		rules = append(rules, b.Rule)
	}
	return rules
}

func TestLoadGeneratorDo(t *testing.T) {
	for _, test := range []struct {
		service string
		route   *Route
	}{{"llm", streamRoute()}, {"api", bodyRoute()}} {
		bed, _ := newTestbedWithRunner(t, test.service)
		for range 5 {
			if got := bed.call(test.route); got != InTime {
				t.Errorf("%s: outcome %d", test.route.Name, got)
			}
		}
		if rules := bed.rules(); len(rules) > 0 {
			t.Errorf("%s: %v", test.route.Name, bed.checker.Violations())
		}
		if n := bed.lookups.Load(); n != 1 {
			t.Errorf("the directory was asked %d times", n)
		}
		if tally := bed.generator.Stats(); tally.Served != 5 || tally.Routes[0].InTime != 5 || tally.Routes[0].LatencyQuantile(0.5) == 0 {
			t.Errorf("%+v", tally)
		}
	}
}

func TestResumableStreamRetriesAfterTruncation(t *testing.T) {
	w, r := newTestbedWithRunner(t, "llm")
	route := streamRoute()
	route.Resumable = true
	route.MaxRetries = 1
	route.CheckerRoute.Idempotent = true
	r.SetFaults(runner.Faults{Truncate: 1, MaxFaults: 1})
	if got := w.call(route); got != InTime {
		t.Errorf("outcome %d", got)
	}
	if s := r.Stats(); s.FaultsInjected != 1 || s.Requests != 2 {
		t.Errorf("%+v", s)
	}
	if rules := w.rules(); len(rules) > 0 {
		t.Errorf("%v", w.checker.Violations())
	}
}

func TestInvalidBytesAreReported(t *testing.T) {
	for name, faults := range map[string]runner.Faults{"extra": {ExtraBytes: 1}, "extra late": {StaleAnswer: 1},
		"garbage": {Garbage: 1}} {
		w, r := newTestbedWithRunner(t, "api")
		r.SetFaults(faults)
		for range 20 { // extra bytes come a moment after the answer
			w.call(bodyRoute())
		}
		if rules := w.rules(); len(rules) == 0 || rules[0] != checker.MisdeliveredAnswer {
			t.Errorf("%s: %v", name, rules)
		}
	}
}

// newTestbedWithHandler is a dispatcher that answers as a test wants.
func newTestbedWithHandler(t *testing.T, handler http.HandlerFunc) *testbed {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return newTestbed(t, server.Listener.Addr().String())
}

func seal(w http.ResponseWriter, s answer.Seal) { w.Header().Set(answer.HeaderSeal, s.String()) }

// streamEvents answers with a stream of pieces of one run.
func streamEvents(of int, indices ...int) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		seal(w, answer.Seal{Stream: true, Size: of, AttemptID: q.Header.Get(answer.HeaderAttemptID), ExecutionID: "r"})
		for _, i := range indices {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, answer.Event{Index: i, Total: of, ExecutionID: "r"}.Data())
		}
	}
}

func TestInvalidAnswersAreReported(t *testing.T) {
	other := func(w http.ResponseWriter, q *http.Request) {
		body := []byte("x")
		seal(w, answer.Seal{Size: 1, Checksum: answer.Checksum(body), AttemptID: "another", ExecutionID: "r"})
		w.Write(body)
	}
	changed := func(w http.ResponseWriter, q *http.Request) {
		seal(w, answer.Seal{
			Size:        1,
			Checksum:    answer.Checksum([]byte("x")),
			AttemptID:   q.Header.Get(answer.HeaderAttemptID),
			ExecutionID: "r",
		})
		w.Write([]byte("y"))
	}
	twoRuns := func(w http.ResponseWriter, q *http.Request) {
		seal(w, answer.Seal{Stream: true, Size: 2, AttemptID: q.Header.Get(answer.HeaderAttemptID), ExecutionID: "r"})
		fmt.Fprintf(w, "id: 1\ndata: r 1 2\n\nid: 2\ndata: s 2 2\n\n")
	}
	for _, test := range []struct {
		name    string
		route   *Route
		handler http.HandlerFunc
		want    checker.Rule
	}{
		{"no seal", bodyRoute(), func(w http.ResponseWriter, q *http.Request) {}, checker.MisdeliveredAnswer},
		{"another's answer", bodyRoute(), other, checker.MisdeliveredAnswer},
		{"a changed body", bodyRoute(), changed, checker.MisdeliveredAnswer},
		{"a whole stream", streamRoute(), streamEvents(2, 1, 2), ""},
		{"a missing piece", streamRoute(), streamEvents(3, 1, 3), checker.StreamOrder},
		{"a piece twice", streamRoute(), streamEvents(2, 1, 1, 2), checker.StreamOrder},
		{"an end before the last piece", streamRoute(), streamEvents(3, 1, 2), checker.StreamOrder},
		{"two runs in one", streamRoute(), twoRuns, checker.StreamOrder},
	} {
		w := newTestbedWithHandler(t, test.handler)
		got := w.call(test.route)
		rules := w.rules()
		if test.want == "" {
			if got != InTime || len(rules) > 0 {
				t.Errorf("%s: outcome %d, %v", test.name, got, rules)
			}
			continue
		}
		if got == InTime || len(rules) != 1 || rules[0] != test.want {
			t.Errorf("%s: outcome %d, %v, want %s", test.name, got, rules, test.want)
		}
	}
}

func TestRetries(t *testing.T) {
	for _, test := range []struct {
		name   string
		route  *Route
		status int
		tries  int32
	}{
		{"a refused stream", streamRoute(), 503, 2},
		{"a refused body", bodyRoute(), 429, 2},
		{"a failed body", bodyRoute(), 502, 2},
		{"a failed stream", streamRoute(), 502, 1},
		{"an unknown path", bodyRoute(), 404, 1},
	} {
		var tries atomic.Int32
		bed := newTestbedWithHandler(t, func(bed http.ResponseWriter, q *http.Request) {
			tries.Add(1)
			bed.Header().Set("Retry-After", "0.001")
			bed.WriteHeader(test.status)
		})
		test.route.MaxRetries = 1
		bed.call(test.route)
		if n := tries.Load(); n != test.tries {
			t.Errorf("%s: %d tries, want %d", test.name, n, test.tries)
		}
		if rules := bed.rules(); len(rules) > 0 {
			t.Errorf("%s: %v", test.name, rules)
		}
	}
}

func TestRetryAfterIsCappedAtAThirdOfRemainingTime(t *testing.T) {
	w := newTestbedWithHandler(t, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(503)
	})
	route := bodyRoute()
	route.MaxRetries, route.Deadline = 1, 3*time.Second
	began := time.Now()
	if got := w.call(route); got != Rejected {
		t.Errorf("outcome %d", got)
	}
	if took := time.Since(began); took < 900*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

func TestLoadGeneratorRun(t *testing.T) {
	w, _ := newTestbedWithRunner(t, "api")
	var calls []*Call
	for i := range 20 {
		c := newCall(bodyRoute())
		c.Start = time.Duration(i) * time.Millisecond
		calls = append(calls, c)
	}
	w.generator.Run(context.Background(), calls)
	if tally := w.generator.Stats(); tally.Calls != 20 {
		t.Errorf("%s", tally.String())
	}
}
