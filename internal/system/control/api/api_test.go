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

// core is a core machine's replica of partition 0 that agrees with itself, and fails as it is told.
type core struct {
	mutex     sync.Mutex
	state     *state.Configuration
	index     uint64
	away      bool          // no majority
	cutOff    bool          // for long
	loseNext  int           // answers to proposals that get lost after they were agreed on
	dropNext  int           // proposals that get lost before
	hang      bool          // calls end with their context only
	delay     time.Duration // of each call
	before    func()        // the next proposal is applied
	onBarrier func()        // before the next barrier holds
	proposals int
}

func newCore() *core {
	return &core{state: state.NewConfiguration(func() time.Duration { return 0 }, func() {})}
}

var errLost = errors.New("lost")

func (c *core) wait(ctx context.Context) error {
	c.mutex.Lock()
	hang, delay, away := c.hang, c.delay, c.away
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

func (c *core) Propose(ctx context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	if err := c.wait(ctx); err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.proposals++
	if c.dropNext > 0 {
		c.dropNext--
		return nil, errLost
	}
	if before := c.before; before != nil {
		c.before = nil
		before()
	}
	answer := c.apply(command)
	if c.loseNext > 0 {
		c.loseNext--
		return nil, errLost
	}
	return answer, nil
}

func (c *core) apply(command []byte) []byte {
	c.index++
	return c.state.Apply(c.index, command)
}

func (c *core) Barrier(ctx context.Context, _ feed.Partition) error {
	if err := c.wait(ctx); err != nil {
		return err
	}
	if onBarrier := c.onBarrier; onBarrier != nil {
		c.onBarrier = nil
		onBarrier()
	}
	return nil
}

// orderZone has an evacuation ordered through another machine.
func (c *core) orderZone(zone string, on bool) {
	command := state.SetEvacuation{Zone: zone, On: on, Seen: c.state.Evacuation(zone).Seen}
	c.apply(command.Encode())
}

func (c *core) LeaderLease(feed.Partition) (time.Duration, bool) { return time.Second, true }
func (c *core) Staleness(feed.Partition) time.Duration           { return 0 }
func (c *core) InContact(feed.Partition) bool                    { return !c.cutOff }
func (c *core) Status() []replica.PartitionStatus                { return nil }

func (c *core) api() *API {
	return New(Options{
		Replicas:  c,
		State:     c.state,
		KnownZone: func(zone string) bool { return zone == "a" || zone == "b" },
		Status:    func() []byte { return []byte("{}") },
		Log:       zap.NewNop(),
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

func route(name, service string) string {
	return `{"name":"` + name + `","host":"h.example","path_start":"/` + name +
		`/","type":"read_only","timeout_ms":5000,"target_ms":800,"rank":1,"service":"` + service +
		`","tries":1,"note":"kept"}`
}

func document(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","health_path":"/health","max_conns":3,`+
		`"cold_for_s":0,"cold_rate_s":0},{"name":"t","health_path":"/health","max_conns":3,"cold_for_s":0,`+
		`"cold_rate_s":0}],"limits":{"max_header_bytes":1,"max_body_bytes":2,"header_wait_ms":3,"idle_limit_ms":4},`+
		`"mood":{"x":[1]}}`, version, strings.Join(routes, ","))
}

func sameJSON(t *testing.T, got, want string) bool {
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

func (c *core) reads(t *testing.T) string {
	t.Helper()
	answer := call(c.api(), http.MethodGet, PathRead, "", "")
	if answer.Code != http.StatusOK {
		t.Fatalf("read: %d %s", answer.Code, answer.Body)
	}
	return answer.Body.String()
}

func TestFirstConfiguration(t *testing.T) {
	c := newCore()
	if answer := call(c.api(), http.MethodGet, PathRead, "", ""); answer.Code != http.StatusNotFound {
		t.Errorf("read before the first: %d", answer.Code)
	}
	body := document(3, route("x", "s"))
	if answer := call(c.api(), http.MethodPost, PathReplace, "0", body); answer.Code != http.StatusOK {
		t.Fatalf("%d %s", answer.Code, answer.Body)
	}
	if got := c.reads(t); !sameJSON(t, got, body) {
		t.Errorf("read %s, sent %s", got, body)
	}
	answer := call(c.api(), http.MethodGet, PathRead, "", "")
	if answer.Header().Get("ETag") != `"3"` {
		t.Errorf("ETag %s", answer.Header().Get("ETag"))
	}
}

func TestResends(t *testing.T) {
	c := newCore()
	first, second := document(3, route("x", "s")), document(5, route("x", "t"))
	change := `{"version":9,"replace":{"routes":[` + route("y", "s") + `]},"remove":{"routes":["x"]}}`
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
		if answer := call(c.api(), http.MethodPost, step.path, step.basedOn, step.body); answer.Code != step.want {
			t.Errorf("%s: %d %s, want %d", step.name, answer.Code, answer.Body, step.want)
		}
	}
	if got, want := c.reads(t), document(9, route("y", "s")); !sameJSON(t, got, want) {
		t.Errorf("read %s, want %s", got, want)
	}
}

func TestInvalidChangesAreNeverProposed(t *testing.T) {
	c := newCore()
	if answer := call(c.api(), http.MethodPost, PathReplace, "0", document(3, route("x", "s"))); answer.Code != 200 {
		t.Fatal(answer.Body)
	}
	before, proposals := c.state.Snapshot(), c.proposals
	zeroTimeout := strings.Replace(route("y", "s"), "5000", "0", 1)
	noWeight := strings.Replace(route("y", "s"), `"service":"s"`, `"shares":[{"service":"s","weight":0}]`, 1)
	cases := []struct{ name, path, basedOn, body string }{
		{"no JSON", PathReplace, "3", "{"},
		{"nothing", PathReplace, "3", ""},
		{"a list", PathReplace, "3", "[]"},
		{"cut short", PathReplace, "3", document(5)[:40]},
		{"two documents", PathReplace, "3", document(5) + document(6)},
		{"a service that is not known", PathReplace, "3", document(5, route("x", "u"))},
		{"one prefix twice", PathReplace, "3", document(5, route("x", "s"), strings.Replace(route("x", "s"), `"x"`, `"y"`, 1))},
		{"weights of 0", PathReplace, "3", document(5, noWeight)},
		{"a timeout of 0", PathReplace, "3", document(5, zeroTimeout)},
		{"the version in force", PathReplace, "3", document(3)},
		{"an earlier version", PathReplace, "3", document(2)},
		{"no base", PathReplace, "", document(5)},
		{"a base that is no number", PathReplace, "x", document(5)},
		{"by items: a service that is not known", PathChange, "3", `{"version":5,"replace":{"routes":[` + route("y", "u") + `]}}`},
		{"by items: a service that is used", PathChange, "3", `{"version":5,"remove":{"services":["s"]}}`},
		{"by items: an earlier version", PathChange, "3", `{"version":1,"remove":{"routes":["x"]}}`},
		{"by items: no base", PathChange, "", `{"version":5,"remove":{"routes":["x"]}}`},
	}
	for _, test := range cases {
		answer := call(c.api(), http.MethodPost, test.path, test.basedOn, test.body)
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

func TestAllFindingsComeTogether(t *testing.T) {
	c := newCore()
	bad := strings.Replace(route("x", "u"), "5000", "0", 1)
	answer := call(c.api(), http.MethodPost, PathReplace, "0", document(0, bad))
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

func TestRaces(t *testing.T) {
	c := newCore()
	call(c.api(), http.MethodPost, PathReplace, "0", document(3, route("x", "s")))
	c.before = func() { // another operator's change comes first
		command := state.CommitConfiguration{BasedOn: 3, Version: 4, Digest: state.Digest{1}}
		c.apply(command.Encode())
	}
	answer := call(c.api(), http.MethodPost, PathReplace, "3", document(5, route("x", "t")))
	if answer.Code != http.StatusPreconditionFailed || c.state.Version() != 4 {
		t.Errorf("%d %s, version %d", answer.Code, answer.Body, c.state.Version())
	}
}

// TestLostAnswers holds that a change whose outcome is not known is taken once and acknowledged, if a majority is there.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore()
		c.loseNext, c.dropNext = 1, 2
		body := document(3, route("x", "s"))
		if answer := call(c.api(), http.MethodPost, PathReplace, "0", body); answer.Code != http.StatusOK {
			t.Errorf("%d %s", answer.Code, answer.Body)
		}
		c.loseNext = 1
		if answer := call(c.api(), http.MethodPost, PathDrainBegin+"a", "", ""); answer.Code != http.StatusOK {
			t.Errorf("%d %s", answer.Code, answer.Body)
		}
		if c.state.Version() != 3 || len(c.state.EvacuatedZones()) != 1 {
			t.Errorf("version %d, evacuated %q", c.state.Version(), c.state.EvacuatedZones())
		}
	})
}

// TestWithoutMajority holds that each call gets its answer within the time, and nothing is acknowledged.
func TestWithoutMajority(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*core)
	}{
		{"away", func(c *core) { c.away = true }},
		{"hanging", func(c *core) { c.hang = true }},
		{"slow", func(c *core) { c.delay = 700 * time.Millisecond }},
		{"proposals are lost", func(c *core) { c.dropNext = 1 << 30 }},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newCore()
			test.change(c)
			for _, request := range [][3]string{
				{PathReplace, "0", document(3, route("x", "s"))},
				{PathDrainBegin + "a", "", ""},
			} {
				began := time.Now()
				answer := call(c.api(), http.MethodPost, request[0], request[1], request[2])
				took := time.Since(began)
				if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" {
					t.Errorf("%s, %s: %d %s", test.name, request[0], answer.Code, answer.Body)
				}
				if took > AnswerWithin+c.delay {
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

// TestCutOffMachineAnswersAtOnce holds that a machine which has heard no majority for long keeps nobody waiting, tells
// nothing of what it holds, and refuses nothing by it.
func TestCutOffMachineAnswersAtOnce(t *testing.T) {
	for _, hang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCore()
			a := c.api()
			if answer := call(a, http.MethodPost, PathReplace, "0", document(3, route("x", "s"))); answer.Code != http.StatusOK {
				t.Fatal(answer.Code, answer.Body)
			}
			c.cutOff, c.away, c.hang = true, true, hang
			for _, request := range [][4]string{
				{http.MethodGet, PathRead, "", ""},
				{http.MethodPost, PathReplace, "0", document(3, route("x", "s"))}, // again
				{http.MethodPost, PathReplace, "3", document(4, route("x", "s"))},
				{http.MethodPost, PathReplace, "2", document(4, route("x", "s"))},             // on another version
				{http.MethodPost, PathReplace, "3", document(4, route("x", "nobody"))},        // invalid
				{http.MethodPost, PathReplace, "3", "{"},                                      // not to be read
				{http.MethodPost, PathChange, "3", `{"version":3,"replace":{}}`},              // invalid on what it holds
				{http.MethodPost, PathChange, "3", `{"version":9,"remove":{"routes":["y"]}}`}, // the same
				{http.MethodPost, PathDrainBegin + "a", "", ""},
				{http.MethodPost, PathDrainFinish + "a", "", ""}, // so already, as far as it knows
			} {
				began := time.Now()
				answer := call(a, request[0], request[1], request[2], request[3])
				if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" {
					t.Errorf("%v: %d %s", request, answer.Code, answer.Body)
				}
				if took := time.Since(began); took > CutOffAnswerWithin {
					t.Errorf("%v: the answer took %v", request, took)
				}
			}
		})
	}
}

func TestMajorityComesBackInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore()
		c.away = true
		time.AfterFunc(400*time.Millisecond, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.away = false
		})
		answer := call(c.api(), http.MethodPost, PathReplace, "0", document(3, route("x", "s")))
		if answer.Code != http.StatusOK {
			t.Errorf("%d %s", answer.Code, answer.Body)
		}
	})
}

func TestEvacuations(t *testing.T) {
	c := newCore()
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
		answer := call(c.api(), http.MethodPost, step.path, "", "")
		if answer.Code != step.want || !reflect.DeepEqual(c.state.EvacuatedZones(), step.zone) {
			t.Errorf("%s: %d %s, evacuated: %q", step.path, answer.Code, answer.Body, c.state.EvacuatedZones())
		}
	}
	if c.proposals != 6 { // an order that changes nothing is agreed on, too: it ends those that are under way
		t.Errorf("%d proposals for 6 orders that were acknowledged", c.proposals)
	}
	if got := call(c.api(), http.MethodGet, PathDrainBegin+"a", "", ""); got.Code != http.StatusMethodNotAllowed {
		t.Errorf("GET: %d", got.Code)
	}
}

func TestEvacuationOvertaken(t *testing.T) {
	tests := []struct {
		name      string
		meanwhile func(c *core) // between the order's coming and the barrier
		want      int
		zones     []string
		proposals int
	}{
		{"by nothing", func(*core) {}, http.StatusOK, []string{"a"}, 1},
		{"by another zone", func(c *core) { c.orderZone("b", true) }, http.StatusOK, []string{"a", "b"}, 1},
		{"by a copy", func(c *core) { c.orderZone("a", true) }, http.StatusOK, []string{"a"}, 1},
		{"by a copy, and taken back", func(c *core) {
			c.orderZone("a", true)
			c.orderZone("a", false)
		}, http.StatusServiceUnavailable, nil, 0},
		{"by the contrary, which changed nothing", func(c *core) { c.orderZone("a", false) },
			http.StatusServiceUnavailable, nil, 0},
		{"by another zone while it is proposed", func(c *core) {
			c.before = func() { c.orderZone("b", true) }
		}, http.StatusOK, []string{"a", "b"}, 2},
		{"by the contrary while it is proposed", func(c *core) {
			c.before = func() { c.orderZone("a", false) }
		}, http.StatusServiceUnavailable, nil, 1},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			c := newCore()
			c.onBarrier = func() { test.meanwhile(c) }
			answer := call(c.api(), http.MethodPost, PathDrainBegin+"a", "", "")
			if answer.Code != test.want || !reflect.DeepEqual(c.state.EvacuatedZones(), test.zones) {
				t.Errorf("%s: %d %s, evacuated: %q", test.name, answer.Code, answer.Body, c.state.EvacuatedZones())
			}
			if c.proposals != test.proposals {
				t.Errorf("%s: %d proposals, want %d", test.name, c.proposals, test.proposals)
			}
		})
	}
}

// TestEvacuationOfNobody holds that an order is not carried out whose caller has gone: the caller may have sent it again
// through another machine and taken it back there since.
func TestEvacuationOfNobody(t *testing.T) {
	c := newCore()
	ctx, cancel := context.WithCancel(context.Background())
	c.onBarrier = cancel
	request := httptest.NewRequest(http.MethodPost, PathDrainBegin+"a", http.NoBody).WithContext(ctx)
	answer := httptest.NewRecorder()
	c.api().ServeHTTP(answer, request)
	if answer.Code != http.StatusServiceUnavailable || c.proposals != 0 {
		t.Errorf("%d %s, %d proposals", answer.Code, answer.Body, c.proposals)
	}
}

// TestZoneThatLeftTheSettings holds that an evacuation can be taken back for good.
func TestZoneThatLeftTheSettings(t *testing.T) {
	c := newCore()
	c.orderZone("gone", true)
	answer := call(c.api(), http.MethodPost, PathDrainFinish+"gone", "", "")
	if zones := c.state.EvacuatedZones(); answer.Code != http.StatusOK || len(zones) > 0 {
		t.Errorf("%d %s, evacuated: %q", answer.Code, answer.Body, zones)
	}
}

// TestNoClearAnswer holds that an order is refused only if it can't be in force, now or later, by another copy.
func TestNoClearAnswer(t *testing.T) {
	c := newCore()
	early := document(9, route("x", "s"))
	if answer := call(c.api(), http.MethodPost, PathReplace, "3", early); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("on a version that is not in force yet: %d %s", answer.Code, answer.Body)
	}
	first := document(3, route("x", "s"))
	for _, sent := range [][2]string{{"0", first}, {"3", early}, {"0", first}, {"3", early}} {
		if answer := call(c.api(), http.MethodPost, PathReplace, sent[0], sent[1]); answer.Code != http.StatusOK {
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
		{"another on a base that is forgotten", "0", document(4), http.StatusServiceUnavailable},
		{"on a base that is remembered", "9", early, http.StatusPreconditionFailed},
	}
	for _, test := range answers {
		if answer := call(c.api(), http.MethodPost, PathReplace, test.basedOn, test.body); answer.Code != test.want {
			t.Errorf("%s: %d %s, want %d", test.name, answer.Code, answer.Body, test.want)
		}
	}
}

// TestForgottenWhileProposed holds that an order gets no clear answer which is agreed on after it was forgotten.
func TestForgottenWhileProposed(t *testing.T) {
	c := newCore()
	c.before = func() {
		for version := uint64(0); version <= state.RememberedChanges; version++ {
			command := state.CommitConfiguration{BasedOn: version, Version: version + 1}
			c.apply(command.Encode())
		}
	}
	answer := call(c.api(), http.MethodPost, PathReplace, "0", document(3, route("x", "s")))
	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("%d %s", answer.Code, answer.Body)
	}
}

func TestTooLargeBody(t *testing.T) {
	c := newCore()
	body := strings.Repeat(" ", MostBodyBytes+1)
	if answer := call(c.api(), http.MethodPost, PathReplace, "0", body); answer.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("%d", answer.Code)
	}
}

func TestTooManyCalls(t *testing.T) {
	a := newCore().api()
	for range mostCalls {
		a.calls <- struct{}{}
	}
	if answer := call(a, http.MethodGet, PathRead, "", ""); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("%d", answer.Code)
	}
}

// TestStormOfOperators has operators send drawn changes through two machines whose answers get lost now and then, and
// send them again: one change is acknowledged on each base, and what is read is the last acknowledged one.
func TestStormOfOperators(t *testing.T) {
	rapid.Check(t, storm)
}

func storm(t *rapid.T) {
	c := newCore()
	machines := []*API{c.api(), c.api()}
	for _, machine := range machines {
		machine.committer.pause = func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil }
	}
	type order struct {
		basedOn, version int
		body             string
	}
	var orders []order
	acknowledged := map[int]int{} // order by base
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		c.loseNext = rapid.IntRange(0, 1).Draw(t, "lose")
		n := rapid.IntRange(0, len(orders)).Draw(t, "order")
		if n == len(orders) {
			based := int(c.state.Version())
			if based > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				based--
			}
			version := based + rapid.IntRange(0, 3).Draw(t, "step")
			service := rapid.SampledFrom([]string{"s", "t", "unknown"}).Draw(t, "service")
			orders = append(orders, order{based, version, document(version, route(fmt.Sprint("r", n), service))})
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
