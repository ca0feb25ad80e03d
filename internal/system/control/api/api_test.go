package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

// fakeReplica is a core machine's replica of partition 0 that agrees with itself, and fails as it is told.
type fakeReplica struct {
	mutex         sync.Mutex
	state         *state.Configuration
	index         uint64
	noQuorum      bool          // no majority
	isolated      bool          // for long
	lostResponses int           // answers to proposals that get lost after they were agreed on
	lostProposals int           // proposals that get lost before
	hang          bool          // calls end with their context only
	delay         time.Duration // of each call
	beforeApply   func()        // the next proposal is applied
	onBarrier     func()        // before the next barrier holds
	proposals     int
}

func newFakeReplica() *fakeReplica {
	return &fakeReplica{state: state.NewConfiguration(func() time.Duration { return 0 }, func() {})}
}

var errLost = errors.New("lost")

func (c *fakeReplica) simulateFaults(ctx context.Context) error {
	c.mutex.Lock()
	hang, delay, away := c.hang, c.delay, c.noQuorum
	c.mutex.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay > 0 {
		<-time.After(delay) // virtual
	}
	if away {
		return &replica.UnavailableError{}
	}
	return ctx.Err()
}

func (c *fakeReplica) Propose(ctx context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	if err := c.simulateFaults(ctx); err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.proposals++
	if c.lostProposals > 0 {
		c.lostProposals--
		return nil, errLost
	}
	if before := c.beforeApply; before != nil {
		c.beforeApply = nil
		before()
	}
	answer := c.apply(command)
	if c.lostResponses > 0 {
		c.lostResponses--
		return nil, errLost
	}
	return answer, nil
}

func (c *fakeReplica) apply(command []byte) []byte {
	c.index++
	return c.state.Apply(c.index, command)
}

func (c *fakeReplica) Barrier(ctx context.Context, _ feed.Partition) error {
	if err := c.simulateFaults(ctx); err != nil {
		return err
	}
	if onBarrier := c.onBarrier; onBarrier != nil {
		c.onBarrier = nil
		onBarrier()
	}
	return nil
}

// evacuateElsewhere has an evacuation ordered through another machine.
func (c *fakeReplica) evacuateElsewhere(zone string, on bool) {
	command := state.SetEvacuation{Zone: zone, On: on, Seen: c.state.Evacuation(zone).Seen}
	c.apply(command.Encode())
}

func (c *fakeReplica) LeaderLease(feed.Partition) (time.Duration, bool) { return time.Second, true }
func (c *fakeReplica) Staleness(feed.Partition) time.Duration           { return 0 }
func (c *fakeReplica) InContact(feed.Partition) bool                    { return !c.isolated }
func (c *fakeReplica) Status() []replica.PartitionStatus                { return nil }

func (c *fakeReplica) newAPI() *API {
	return New(Options{
		Replicas:   c,
		State:      c.state,
		ZoneExists: func(zone string) bool { return zone == "a" || zone == "b" },
		Status:     func() []byte { return []byte("{}") },
		Log:        zap.NewNop(),
	})
}

func call(a *API, method, path string, basedOn, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if basedOn != "" {
		request.Header.Set(HeaderBasedOn, basedOn)
	}
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, request)
	return recorder
}

func routeJSON(name, service string) string {
	return `{"name":"` + name + `","host":"h.example","path_start":"/` + name +
		`/","type":"read_only","timeout_ms":5000,"target_ms":800,"rank":1,"service":"` + service +
		`","tries":1,"note":"kept"}`
}

func documentJSON(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","health_path":"/health","max_conns":3,`+
		`"cold_for_s":0,"cold_rate_s":0},{"name":"t","health_path":"/health","max_conns":3,"cold_for_s":0,`+
		`"cold_rate_s":0}],"limits":{"max_header_bytes":1,"max_body_bytes":2,"header_wait_ms":3,"idle_limit_ms":4},`+
		`"mood":{"x":[1]}}`, version, strings.Join(routes, ","))
}

func equalJSON(t *testing.T, got, want string) bool {
	t.Helper()
	var a, b any
	if err := json.Unmarshal([]byte(got), &a); err != nil {
		t.Fatalf("%s: %v", got, err)
	}
	if err := json.Unmarshal([]byte(want), &b); err != nil {
		t.Fatalf("%s: %v", want, err)
	}
	return reflect.DeepEqual(a, b)
}

func (c *fakeReplica) readConfiguration(t *testing.T) string {
	t.Helper()
	answer := call(c.newAPI(), http.MethodGet, PathRead, "", "")
	if answer.Code != http.StatusOK {
		t.Fatalf("read: %d %s", answer.Code, answer.Body)
	}
	return answer.Body.String()
}

func TestFirstConfigurationIsReadBack(t *testing.T) {
	c := newFakeReplica()
	if answer := call(c.newAPI(), http.MethodGet, PathRead, "", ""); answer.Code != http.StatusNotFound {
		t.Errorf("read before the first: %d", answer.Code)
	}
	body := documentJSON(3, routeJSON("x", "s"))
	if answer := call(c.newAPI(), http.MethodPost, PathReplace, "0", body); answer.Code != http.StatusOK {
		t.Fatalf("%d %s", answer.Code, answer.Body)
	}
	if got := c.readConfiguration(t); !equalJSON(t, got, body) {
		t.Errorf("read %s, sent %s", got, body)
	}
	answer := call(c.newAPI(), http.MethodGet, PathRead, "", "")
	if answer.Header().Get("ETag") != `"3"` {
		t.Errorf("ETag %s", answer.Header().Get("ETag"))
	}
}

func TestRepeatedChangesAreIdempotent(t *testing.T) {
	c := newFakeReplica()
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
		{"the first again, after the second", PathReplace, "0", first, http.StatusOK},
		{"the second again", PathReplace, "3", second, http.StatusOK},
		{"the same body on another base", PathReplace, "5", second, http.StatusBadRequest},
		{"the same body as another call", PathChange, "3", second, http.StatusPreconditionFailed},
		{"by items", PathChange, "5", change, http.StatusOK},
		{"by items again", PathChange, "5", change, http.StatusOK},
		{"by items on a stale base", PathChange, "3", change, http.StatusPreconditionFailed},
	}
	for _, step := range steps {
		if answer := call(c.newAPI(), http.MethodPost, step.path, step.basedOn, step.body); answer.Code != step.want {
			t.Errorf("%s: %d %s, want %d", step.name, answer.Code, answer.Body, step.want)
		}
	}
	if got, want := c.readConfiguration(t), documentJSON(9, routeJSON("y", "s")); !equalJSON(t, got, want) {
		t.Errorf("read %s, want %s", got, want)
	}
}

func TestInvalidChangesAreNeverProposed(t *testing.T) {
	c := newFakeReplica()
	if answer := call(c.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s"))); answer.Code != 200 {
		t.Fatal(answer.Body)
	}
	before, proposals := c.state.Snapshot(), c.proposals
	zeroTimeout := strings.Replace(routeJSON("y", "s"), "5000", "0", 1)
	noWeight := strings.Replace(routeJSON("y", "s"), `"service":"s"`, `"shares":[{"service":"s","weight":0}]`, 1)
	cases := []struct{ name, path, basedOn, body string }{
		{"no JSON", PathReplace, "3", "{"},
		{"nothing", PathReplace, "3", ""},
		{"a list", PathReplace, "3", "[]"},
		{"cut short", PathReplace, "3", documentJSON(5)[:40]},
		{"two documents", PathReplace, "3", documentJSON(5) + documentJSON(6)},
		{"a service that is not known", PathReplace, "3", documentJSON(5, routeJSON("x", "u"))},
		{"one prefix twice", PathReplace, "3", documentJSON(5, routeJSON("x", "s"), strings.Replace(routeJSON("x", "s"), `"x"`, `"y"`, 1))},
		{"weights of 0", PathReplace, "3", documentJSON(5, noWeight)},
		{"a timeout of 0", PathReplace, "3", documentJSON(5, zeroTimeout)},
		{"the version in force", PathReplace, "3", documentJSON(3)},
		{"an earlier version", PathReplace, "3", documentJSON(2)},
		{"no base", PathReplace, "", documentJSON(5)},
		{"a base that is no number", PathReplace, "x", documentJSON(5)},
		{"by items: a service that is not known", PathChange, "3", `{"version":5,"replace":{"routes":[` + routeJSON("y", "u") + `]}}`},
		{"by items: a service that is used", PathChange, "3", `{"version":5,"remove":{"services":["s"]}}`},
		{"by items: an earlier version", PathChange, "3", `{"version":1,"remove":{"routes":["x"]}}`},
		{"by items: no base", PathChange, "", `{"version":5,"remove":{"routes":["x"]}}`},
	}
	for _, test := range cases {
		answer := call(c.newAPI(), http.MethodPost, test.path, test.basedOn, test.body)
		if answer.Code != http.StatusBadRequest {
			t.Errorf("%s: %d %s", test.name, answer.Code, answer.Body)
		}
		var body struct {
			Error struct{ Code, Message string }
		}
		if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil || body.Error.Code != codeInvalid {
			t.Errorf("%s: %s", test.name, answer.Body)
		}
	}
	if c.proposals != proposals || string(c.state.Snapshot()) != string(before) {
		t.Error("an invalid change was proposed")
	}
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	c := newFakeReplica()
	bad := strings.Replace(routeJSON("x", "u"), "5000", "0", 1)
	answer := call(c.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(0, bad))
	var body struct {
		Error struct {
			Findings []struct{ Place, Problem string }
		}
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if len(body.Error.Findings) < 3 { // version, timeout, service
		t.Errorf("%s", answer.Body)
	}
	for _, finding := range body.Error.Findings {
		if finding.Place == "" || finding.Problem == "" {
			t.Errorf("%+v", finding)
		}
	}
}

func TestConcurrentChangeConflicts(t *testing.T) {
	c := newFakeReplica()
	call(c.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s")))
	c.beforeApply = func() { // another operator's change comes first
		command := state.CommitConfiguration{BasedOn: 3, Version: 4, Digest: state.Digest{1}}
		c.apply(command.Encode())
	}
	answer := call(c.newAPI(), http.MethodPost, PathReplace, "3", documentJSON(5, routeJSON("x", "t")))
	if answer.Code != http.StatusPreconditionFailed || c.state.Version() != 4 {
		t.Errorf("%d %s, version %d", answer.Code, answer.Body, c.state.Version())
	}
}

// TestLostProposalResponses holds that a change whose outcome is not known is taken once and acknowledged, if a majority is there.
func TestLostProposalResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeReplica()
		c.lostResponses, c.lostProposals = 1, 2
		body := documentJSON(3, routeJSON("x", "s"))
		if answer := call(c.newAPI(), http.MethodPost, PathReplace, "0", body); answer.Code != http.StatusOK {
			t.Errorf("%d %s", answer.Code, answer.Body)
		}
		c.lostResponses = 1
		if answer := call(c.newAPI(), http.MethodPost, PathDrainBegin+"a", "", ""); answer.Code != http.StatusOK {
			t.Errorf("%d %s", answer.Code, answer.Body)
		}
		if c.state.Version() != 3 || len(c.state.EvacuatedZones()) != 1 {
			t.Errorf("version %d, evacuated %q", c.state.Version(), c.state.EvacuatedZones())
		}
	})
}

// TestNoQuorum holds that each call gets its answer within the time, and nothing is acknowledged.
func TestNoQuorum(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*fakeReplica)
	}{
		{"away", func(c *fakeReplica) { c.noQuorum = true }},
		{"hanging", func(c *fakeReplica) { c.hang = true }},
		{"slow", func(c *fakeReplica) { c.delay = 700 * time.Millisecond }},
		{"proposals are lost", func(c *fakeReplica) { c.lostProposals = 1 << 30 }},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeReplica()
			test.change(c)
			for _, request := range [][3]string{
				{PathReplace, "0", documentJSON(3, routeJSON("x", "s"))},
				{PathDrainBegin + "a", "", ""},
			} {
				began := time.Now()
				answer := call(c.newAPI(), http.MethodPost, request[0], request[1], request[2])
				took := time.Since(began)
				if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" {
					t.Errorf("%s, %s: %d %s", test.name, request[0], answer.Code, answer.Body)
				}
				if took > ResponseTimeout+c.delay {
					t.Errorf("%s, %s: the answer took %v", test.name, request[0], took)
				}
			}
			if c.state.Version() != 0 || c.state.EvacuatedZones() != nil {
				if test.name != "slow" { // may be in force without an acknowledgement
					t.Errorf("%s: something is in force", test.name)
				}
			}
		})
	}
}

// TestIsolatedMachineRespondsAtOnce holds that a machine which has heard no majority for long keeps nobody waiting, tells
// nothing of what it holds, and refuses nothing by it.
func TestIsolatedMachineRespondsAtOnce(t *testing.T) {
	for _, hang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeReplica()
			a := c.newAPI()
			if answer := call(a, http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s"))); answer.Code != http.StatusOK {
				t.Fatal(answer.Code, answer.Body)
			}
			c.isolated, c.noQuorum, c.hang = true, true, hang
			for _, request := range [][4]string{
				{http.MethodGet, PathRead, "", ""},
				{http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s"))}, // again
				{http.MethodPost, PathReplace, "3", documentJSON(4, routeJSON("x", "s"))},
				{http.MethodPost, PathReplace, "2", documentJSON(4, routeJSON("x", "s"))},      // on another version
				{http.MethodPost, PathReplace, "3", documentJSON(4, routeJSON("x", "nobody"))}, // invalid
				{http.MethodPost, PathReplace, "3", "{"},                                       // not to be read
				{http.MethodPost, PathChange, "3", `{"version":3,"replace":{}}`},               // invalid on what it holds
				{http.MethodPost, PathChange, "3", `{"version":9,"remove":{"routes":["y"]}}`},  // the same
				{http.MethodPost, PathDrainBegin + "a", "", ""},
				{http.MethodPost, PathDrainFinish + "a", "", ""}, // so already, as far as it knows
			} {
				began := time.Now()
				answer := call(a, request[0], request[1], request[2], request[3])
				if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" {
					t.Errorf("%v: %d %s", request, answer.Code, answer.Body)
				}
				if took := time.Since(began); took > IsolatedResponseTimeout {
					t.Errorf("%v: the answer took %v", request, took)
				}
			}
		})
	}
}

func TestQuorumReturnsBeforeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeReplica()
		c.noQuorum = true
		time.AfterFunc(400*time.Millisecond, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.noQuorum = false
		})
		answer := call(c.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s")))
		if answer.Code != http.StatusOK {
			t.Errorf("%d %s", answer.Code, answer.Body)
		}
	})
}

func TestEvacuations(t *testing.T) {
	c := newFakeReplica()
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
		answer := call(c.newAPI(), http.MethodPost, step.path, "", "")
		if answer.Code != step.want || !reflect.DeepEqual(c.state.EvacuatedZones(), step.zone) {
			t.Errorf("%s: %d %s, evacuated: %q", step.path, answer.Code, answer.Body, c.state.EvacuatedZones())
		}
	}
	if c.proposals != 6 { // an order that changes nothing is agreed on, too: it ends those that are under way
		t.Errorf("%d proposals for 6 orders that were acknowledged", c.proposals)
	}
	if got := call(c.newAPI(), http.MethodGet, PathDrainBegin+"a", "", ""); got.Code != http.StatusMethodNotAllowed {
		t.Errorf("GET: %d", got.Code)
	}
}

func TestSupersededEvacuation(t *testing.T) {
	tests := []struct {
		name      string
		meanwhile func(c *fakeReplica) // between the order's coming and the barrier
		want      int
		zones     []string
		proposals int
	}{
		{"by nothing", func(*fakeReplica) {}, http.StatusOK, []string{"a"}, 1},
		{"by another zone", func(c *fakeReplica) { c.evacuateElsewhere("b", true) }, http.StatusOK, []string{"a", "b"}, 1},
		{"by a copy", func(c *fakeReplica) { c.evacuateElsewhere("a", true) }, http.StatusOK, []string{"a"}, 1},
		{"by a copy, and taken back", func(c *fakeReplica) {
			c.evacuateElsewhere("a", true)
			c.evacuateElsewhere("a", false)
		}, http.StatusServiceUnavailable, nil, 0},
		{"by the contrary, which changed nothing", func(c *fakeReplica) { c.evacuateElsewhere("a", false) },
			http.StatusServiceUnavailable, nil, 0},
		{"by another zone while it is proposed", func(c *fakeReplica) {
			c.beforeApply = func() { c.evacuateElsewhere("b", true) }
		}, http.StatusOK, []string{"a", "b"}, 2},
		{"by the contrary while it is proposed", func(c *fakeReplica) {
			c.beforeApply = func() { c.evacuateElsewhere("a", false) }
		}, http.StatusServiceUnavailable, nil, 1},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeReplica()
			c.onBarrier = func() { test.meanwhile(c) }
			answer := call(c.newAPI(), http.MethodPost, PathDrainBegin+"a", "", "")
			if answer.Code != test.want || !reflect.DeepEqual(c.state.EvacuatedZones(), test.zones) {
				t.Errorf("%s: %d %s, evacuated: %q", test.name, answer.Code, answer.Body, c.state.EvacuatedZones())
			}
			if c.proposals != test.proposals {
				t.Errorf("%s: %d proposals, want %d", test.name, c.proposals, test.proposals)
			}
		})
	}
}

// TestEvacuationOfDisconnectedCaller holds that an order is not carried out whose caller has gone: the caller may have sent it again
// through another machine and taken it back there since.
func TestEvacuationOfDisconnectedCaller(t *testing.T) {
	c := newFakeReplica()
	ctx, cancel := context.WithCancel(context.Background())
	c.onBarrier = cancel
	request := httptest.NewRequest(http.MethodPost, PathDrainBegin+"a", http.NoBody).WithContext(ctx)
	answer := httptest.NewRecorder()
	c.newAPI().ServeHTTP(answer, request)
	if answer.Code != http.StatusServiceUnavailable || c.proposals != 0 {
		t.Errorf("%d %s, %d proposals", answer.Code, answer.Body, c.proposals)
	}
}

// TestEvacuationEndsInZoneRemovedFromSettings holds that an evacuation can be taken back for good.
func TestEvacuationEndsInZoneRemovedFromSettings(t *testing.T) {
	c := newFakeReplica()
	c.evacuateElsewhere("gone", true)
	answer := call(c.newAPI(), http.MethodPost, PathDrainFinish+"gone", "", "")
	if zones := c.state.EvacuatedZones(); answer.Code != http.StatusOK || len(zones) > 0 {
		t.Errorf("%d %s, evacuated: %q", answer.Code, answer.Body, zones)
	}
}

// TestIndefiniteOutcomes holds that an order is refused only if it can't be in force, now or later, by another copy.
func TestIndefiniteOutcomes(t *testing.T) {
	c := newFakeReplica()
	early := documentJSON(9, routeJSON("x", "s"))
	if answer := call(c.newAPI(), http.MethodPost, PathReplace, "3", early); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("on a version that is not in force yet: %d %s", answer.Code, answer.Body)
	}
	first := documentJSON(3, routeJSON("x", "s"))
	for _, sent := range [][2]string{{"0", first}, {"3", early}, {"0", first}, {"3", early}} {
		if answer := call(c.newAPI(), http.MethodPost, PathReplace, sent[0], sent[1]); answer.Code != http.StatusOK {
			t.Errorf("on %s: %d %s", sent[0], answer.Code, answer.Body)
		}
	}
	for version := uint64(9); version < 9+state.RememberedChanges; version++ {
		command := state.CommitConfiguration{BasedOn: version, Version: version + 1}
		c.apply(command.Encode())
	}
	answers := []struct {
		name, basedOn, body string
		want                int
	}{
		{"the first, which is forgotten", "0", first, http.StatusServiceUnavailable},
		{"the second, which is forgotten", "3", early, http.StatusServiceUnavailable},
		{"another on a base that is forgotten", "0", documentJSON(4), http.StatusServiceUnavailable},
		{"on a base that is remembered", "9", early, http.StatusPreconditionFailed},
	}
	for _, test := range answers {
		if answer := call(c.newAPI(), http.MethodPost, PathReplace, test.basedOn, test.body); answer.Code != test.want {
			t.Errorf("%s: %d %s, want %d", test.name, answer.Code, answer.Body, test.want)
		}
	}
}

// TestChangeForgottenWhileProposed holds that an order gets no clear answer which is agreed on after it was forgotten.
func TestChangeForgottenWhileProposed(t *testing.T) {
	c := newFakeReplica()
	c.beforeApply = func() {
		for version := uint64(0); version <= state.RememberedChanges; version++ {
			command := state.CommitConfiguration{BasedOn: version, Version: version + 1}
			c.apply(command.Encode())
		}
	}
	answer := call(c.newAPI(), http.MethodPost, PathReplace, "0", documentJSON(3, routeJSON("x", "s")))
	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("%d %s", answer.Code, answer.Body)
	}
}

func TestBodyTooLarge(t *testing.T) {
	c := newFakeReplica()
	body := strings.Repeat(" ", MaxBodyBytes+1)
	if answer := call(c.newAPI(), http.MethodPost, PathReplace, "0", body); answer.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("%d", answer.Code)
	}
}

func TestTooManyCalls(t *testing.T) {
	a := newFakeReplica().newAPI()
	for range maxCalls {
		a.callSlots <- struct{}{}
	}
	if answer := call(a, http.MethodGet, PathRead, "", ""); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("%d", answer.Code)
	}
}

// TestConcurrentOperators has operators send drawn changes through two machines whose answers get lost now and then, and
// send them again: one change is acknowledged on each base, and what is read is the last acknowledged one.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, checkConcurrentOperators)
}

func checkConcurrentOperators(t *rapid.T) {
	c := newFakeReplica()
	machines := []*API{c.newAPI(), c.newAPI()}
	for _, machine := range machines {
		machine.committer.sleep = func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil }
	}
	type request struct {
		basedOn, version int
		body             string
	}
	var orders []request
	acknowledged := map[int]int{} // order by base
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		c.lostResponses = rapid.IntRange(0, 1).Draw(t, "lose")
		n := rapid.IntRange(0, len(orders)).Draw(t, "order")
		if n == len(orders) {
			based := int(c.state.Version())
			if based > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				based--
			}
			version := based + rapid.IntRange(0, 3).Draw(t, "step")
			service := rapid.SampledFrom([]string{"s", "t", "unknown"}).Draw(t, "service")
			orders = append(orders, request{based, version, documentJSON(version, routeJSON(fmt.Sprint("r", n), service))})
		}
		sent := orders[n]
		machine := rapid.SampledFrom(machines).Draw(t, "machine")
		answer := call(machine, http.MethodPost, PathReplace, strconv.Itoa(sent.basedOn), sent.body)
		if answer.Code == http.StatusOK {
			if other, taken := acknowledged[sent.basedOn]; taken && other != n {
				t.Fatalf("orders %d and %d were both acknowledged on %d", other, n, sent.basedOn)
			}
			acknowledged[sent.basedOn] = n
			if strings.Contains(sent.body, "unknown") || sent.version <= sent.basedOn {
				t.Fatalf("an invalid order was acknowledged: %s", sent.body)
			}
		} else if answer.Code >= 500 {
			t.Fatalf("%d %s", answer.Code, answer.Body)
		}
		for based, n := range acknowledged {
			if uint64(orders[n].version) > c.state.Version() {
				t.Fatalf("order %d on %d was acknowledged and is gone", n, based)
			}
		}
	}
}
