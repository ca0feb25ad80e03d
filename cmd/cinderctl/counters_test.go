package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"cinderroad/internal/system/control/counterservice"
	"cinderroad/internal/system/control/status"
)

// fakeCounters is a control machine that answers additions in the order of its script, and with the last status from then on.
type fakeCounters struct {
	script []int    // statuses
	paths  []string // of the calls
	bodies []string // of additions
}

func (c *fakeCounters) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.paths = append(c.paths, r.URL.EscapedPath())
	if strings.HasPrefix(r.URL.Path, counterservice.PathRead) {
		io.WriteString(w, `{"total":-170141183460469231731687303715884105728}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	c.bodies = append(c.bodies, string(body))
	code := c.script[min(len(c.bodies), len(c.script))-1]
	if code == 0 {
		panic(http.ErrAbortHandler) // no answer
	}
	w.WriteHeader(code)
	if code == http.StatusOK {
		io.WriteString(w, `{"id":"a"}`)
		return
	}
	fmt.Fprintf(w, `{"error":{"code":"c","message":"status %d","findings":[]}}`, code)
}

func (c *fakeCounters) serve(t *testing.T) (seed string) {
	t.Helper()
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return "--seed=" + strings.TrimPrefix(server.URL, "http://")
}

// TestAdditionIsRepeatedUnderItsID: after a failure the next machine gets the same addition.
func TestAdditionIsRepeatedUnderItsID(t *testing.T) {
	for _, code := range []int{0, 429, 500, 503, 504} {
		first, second := &fakeCounters{script: []int{code}}, &fakeCounters{script: []int{http.StatusOK}}
		got := call(first.serve(t), second.serve(t), "tally", "change", "visits", "4")
		got.expect(t, exitOK, "visits is changed by 4", "(attempt 2)")
		if len(first.bodies) != 1 || !slices.Equal(first.bodies, second.bodies) {
			t.Fatalf("%d: bodies %q and %q", code, first.bodies, second.bodies)
		}
		id := strings.TrimPrefix(strings.SplitN(got.output, "\n", 2)[0], "id ")
		if want := `{"id":"` + id + `","changed_by":4}`; len(id) != 32 || first.bodies[0] != want {
			t.Errorf("%d: body %s, want %s", code, first.bodies[0], want)
		}
	}
}

func TestDrawnIDsDiffer(t *testing.T) {
	c := &fakeCounters{script: []int{http.StatusOK}}
	seed := c.serve(t)
	for range 2 {
		call(seed, "tally", "change", "visits", "4").expect(t, exitOK)
	}
	if c.bodies[0] == c.bodies[1] {
		t.Errorf("two additions have one id: %q", c.bodies)
	}
}

// TestAmountsAndNames: numbers with a sign, wherever they stand, and names that need escaping.
func TestAmountsAndNames(t *testing.T) {
	for _, tc := range []struct {
		arguments  []string
		path, body string
	}{
		{[]string{"visits", "-3", "--id", "a"}, "visits", `{"id":"a","changed_by":-3}`},
		{[]string{"--id=a", "visits", "-9223372036854775808"}, "visits", `{"id":"a","changed_by":-9223372036854775808}`},
		{[]string{"--id=a", "--", "visits", "-3"}, "visits", `{"id":"a","changed_by":-3}`},
		{[]string{"visits", "+3", "--id", "-4"}, "visits", `{"id":"-4","changed_by":3}`},
		{[]string{"-7", "0", "--id", "a"}, "-7", `{"id":"a","changed_by":0}`},
		{[]string{"a/b c", "1", "--id", "a"}, "a%2Fb%20c", `{"id":"a","changed_by":1}`},
	} {
		c := &fakeCounters{script: []int{http.StatusOK}}
		call(append([]string{c.serve(t), "tally", "change"}, tc.arguments...)...).expect(t, exitOK)
		if len(c.bodies) != 1 || c.bodies[0] != tc.body || c.paths[0] != counterservice.PathAdd+tc.path {
			t.Errorf("%q: %q %q", tc.arguments, c.paths, c.bodies)
		}
	}
	c := &fakeCounters{script: []int{http.StatusOK}}
	seed := c.serve(t)
	for _, amount := range []string{"x", "1.5", "-3x", "9223372036854775808", ""} {
		call(seed, "tally", "change", "visits", "--", amount).expect(t, exitFailed)
	}
	call(seed, "tally", "change", "visits").expect(t, exitFailed, "<amount>")
	if len(c.bodies) != 0 {
		t.Errorf("sent %q", c.bodies)
	}
}

// TestOutcomeOfAnAddition: "nothing was counted" is claimed only if no machine can have counted it.
func TestOutcomeOfAnAddition(t *testing.T) {
	const (
		unknown = "the outcome is unknown"
		nothing = "nothing was counted"
		again   = "cinderctl tally change 'my visits' -3 --id a"
	)
	for _, tc := range []struct {
		script []int
		status int
		texts  []string
	}{
		{[]int{503}, exitFailed, []string{nothing, again}},
		{[]int{429, 503}, exitFailed, []string{nothing, again}},
		{[]int{504, 503}, exitFailed, []string{unknown, again}},
		{[]int{503, 500, 503}, exitFailed, []string{unknown, again}},
		{[]int{503, 0, 503}, exitFailed, []string{unknown, again}},
		{[]int{504, 404}, exitRejected, []string{unknown, again, "apart"}},
		{[]int{404}, exitRejected, []string{nothing, "apart"}},
		{[]int{400}, exitRejected, []string{nothing, "status 400"}},
		{[]int{503, 409}, exitRejected, []string{nothing, "use another id"}},
	} {
		c := &fakeCounters{script: tc.script}
		got := callUntil(len(tc.script), c.serve(t), "tally", "change", "my visits", "-3", "--id=a")
		got.expect(t, tc.status, tc.texts...)
		if tc.texts[0] == unknown && strings.Contains(got.errOutput, nothing) {
			t.Errorf("%v: %q", tc.script, got.errOutput)
		}
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	seed := "--seed=" + strings.TrimPrefix(closed.URL, "http://")
	callUntil(2, seed, "tally", "change", "visits", "4").expect(t, exitFailed, nothing)
}

func TestReadCounter(t *testing.T) {
	c := &fakeCounters{}
	seed := c.serve(t)
	got := call(seed, "tally", "read", "visits")
	got.expect(t, exitOK)
	if got.output != "-170141183460469231731687303715884105728\n" {
		t.Errorf("output %q", got.output)
	}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{}") }))
	t.Cleanup(other.Close)
	call("--seed="+strings.TrimPrefix(other.URL, "http://"), "tally", "read", "visits").expect(t, exitFailed, "no total")
	missing := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(missing.Close)
	call("--seed="+strings.TrimPrefix(missing.URL, "http://"), "tally", "read", "visits").expect(t, exitRejected, "apart")
}

// newCounters returns the state of counters at the first machine of newStatus, in whose log the second one lacks three entries.
func newCounters() *status.Counters {
	return &status.Counters{
		Running:        true,
		Origin:         "00000000000000a1",
		Counters:       2,
		Operations:     30,
		Entries:        31,
		MaxEntries:     1000,
		NeededMachines: 3,
		NeededZones:    2,
		Vector:         map[string]uint64{"00000000000000a1": 20, "00000000000000b2": 8, "00000000000000c3": 3},
		Peers: []status.CounterPeer{
			{
				Address:      "127.0.1.2:7660",
				Zone:         "b",
				Origin:       "00000000000000b2",
				Reachable:    true,
				Replied:      true,
				SinceReplyMS: 250,
				Lacks:        3,
				Ahead:        7,
				Lag:          map[string]uint64{"00000000000000a1": 2, "00000000000000c3": 1},
			},
			{Address: "127.0.1.9:7660", Zone: "c"},
		},
	}
}

// TestCounterStatusQueriesEachMachine: a row for each machine, origin and peer, in columns.
func TestCounterStatusQueriesEachMachine(t *testing.T) {
	first, second := &fakeControl{status: newStatus("core-1", true)}, &fakeControl{status: newStatus("core-2", false)}
	first.status.Counters = newCounters()
	second.status.Counters = newCounters()
	second.status.Counters.Origin = "00000000000000b2"
	second.status.Counters.CatchingUp = true
	second.status.Counters.DiskFault = "the disk is full"
	second.status.Counters.Vector["00000000000000b2"] = 15
	seed := "--seed=" + net.JoinHostPort("127.0.1.1", serveBoth(t, first, second))
	got := call(seed, "tally", "status")
	got.expect(t, exitOK, "127.0.1.3:", "does not answer")
	rows := strings.Split(got.output, "\n")
	for i, row := range rows {
		rows[i] = strings.Join(strings.Fields(row), " ")
	}
	for _, want := range []string{
		"core-1 a 00000000000000a1 yes ok 30 31 1000 0 0 3 in 2",
		"core-2 b 00000000000000b2 catching up failed: the disk is full 30 31 1000 0 0 3 in 2",
		"ORIGIN OWNER AT core-1 AT core-2",
		"00000000000000a1 core-1 20 20",
		"00000000000000b2 core-2 8 15",
		"00000000000000c3 - 3 3",
		"core-1 core-2 b yes 250ms 3 7 00000000000000a1:2 00000000000000c3:1",
		"core-1 127.0.1.9:7660 c no never 0 0 -",
	} {
		if !slices.Contains(rows, want) {
			t.Errorf("no row %q in\n%s", want, got.output)
		}
	}

	first.status.Counters, second.status.Counters = nil, nil
	call(seed, "tally", "status").expect(t, exitRejected, "apart")
}
