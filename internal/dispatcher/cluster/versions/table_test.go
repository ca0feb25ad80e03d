package versions

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const src = "10.0.0.9:8500"

func entries(state State, workers ...string) (all []Entry) {
	for _, w := range workers {
		all = append(all, Entry{Worker: w, State: state})
	}
	return all
}

// newTestTable returns the table of a member that has a list of ready workers.
func newTestTable(me string, rev int64, workers ...string) *Table {
	table := New(me)
	table.ApplyList(10, src, rev, false, entries(Ready, workers...))
	return table
}

// exchange delivers a's payload to b, and all replies, until there are none.
func exchange(now float64, a, table *Table) {
	payload := a.Payload(now, 300)
	if payload == nil {
		return
	}
	type message struct {
		from, to *Table
		text     []byte
	}
	queue := []message{{a, table, payload}}
	for range 50 {
		if len(queue) == 0 {
			return
		}
		m := queue[0]
		queue = queue[1:]
		for _, answer := range m.to.HandlePayload(now, m.from.self, m.text) {
			queue = append(queue, message{m.to, m.from, answer})
		}
	}
}

func restrictionsOf(table *Table) (names []string) {
	for name, h := range table.Restrictions() {
		names = append(names, fmt.Sprint(name, " ", h.State, " ", h.Start))
	}
	slices.Sort(names)
	return names
}

func expectRestrictions(t *testing.T, what string, table *Table, want ...string) {
	t.Helper()
	if d := cmp.Diff(want, restrictionsOf(table)); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

// TestPeerDrainRestricts checks that a drain sent to one member restricts another whose list is older, until its own
// discovery has sent it; that a later readiness lifts it; and that a worker that the own list does not name stays
// unknown.
func TestPeerDrainRestricts(t *testing.T) {
	a, table := newTestTable("a", 5, "x", "y"), newTestTable("b", 5, "x", "y")
	a.ApplyList(20, src, 6, false, append(entries(Draining, "x"), entries(Ready, "new")...))
	exchange(20, a, table)
	expectRestrictions(t, "a drain", table, "x draining 0")
	a.ApplyList(21, src, 7, false, entries(Draining, "new"))
	exchange(21, a, table)
	expectRestrictions(t, "a worker that the own list does not name", table, "x draining 0")
	a.ApplyList(22, src, 8, false, entries(Ready, "x"))
	exchange(22, a, table)
	expectRestrictions(t, "lifted", table)
	a.ApplyList(23, src, 9, false, entries(Gone, "y"))
	exchange(23, a, table)
	expectRestrictions(t, "gone", table, "y gone 0")
	table.ApplyList(24, src, 9, false, entries(Gone, "y"))
	expectRestrictions(t, "the own director has said it", table)
	table.ApplyList(25, src, 10, false, entries(Ready, "y"))
	a.HandlePayload(25, "b", table.Payload(25, 300))
	expectRestrictions(t, "nothing that is heard makes a worker ready or known", a)
	if _, known := a.workers["y"]; known {
		t.Error("a worker became known by a peer's word")
	}
}

// TestOwnDiscoveryOverrides checks that a newer list of the own discovery overrides all facts of peers, and an older
// one does not.
func TestOwnDiscoveryOverrides(t *testing.T) {
	a, table := newTestTable("a", 5, "x", "y"), newTestTable("b", 5, "x", "y")
	a.ApplyList(20, src, 8, false, entries(Draining, "x"))
	exchange(20, a, table)
	table.ApplyList(21, src, 7, false, entries(Ready, "x", "y")) // late, and on its way to 8
	expectRestrictions(t, "an older word of the own director", table, "x draining 0")
	table.ApplyList(22, src, 8, false, entries(Draining, "x"))
	expectRestrictions(t, "as new", table)
	table.ApplyList(23, src, 9, false, entries(Ready, "x"))
	table.HandlePayload(23, "a", a.Payload(23, 300))
	expectRestrictions(t, "newer", table)
}

// TestNewStartOfWorker checks that a worker that left and returned with a new start is cold to a member that missed it.
func TestNewStartOfWorker(t *testing.T) {
	a, table := newTestTable("a", 5, "x"), newTestTable("b", 5, "x")
	a.ApplyList(20, src, 6, false, entries(Gone, "x"))
	a.ApplyList(21, src, 7, false, []Entry{{"x", Ready, 77000}})
	exchange(21, a, table)
	expectRestrictions(t, "a new start", table, "x ready 77000")
}

// TestIncomparableVersions checks that versions of two sources, or of two epochs, restrict nothing across.
func TestIncomparableVersions(t *testing.T) {
	a, table := newTestTable("a", 5, "x"), newTestTable("b", 5, "x")
	a.ApplyList(20, "10.0.0.8:8500", 90, false, entries(Draining, "x"))
	exchange(20, a, table)
	expectRestrictions(t, "another source", table)
	a = newTestTable("a", 50, "x")
	table = newTestTable("b", 50, "x")
	a.ApplyList(20, src, 3, false, entries(Draining, "x")) // discovery was restarted
	exchange(20, a, table)
	expectRestrictions(t, "another line of descent", table)
	if l, _ := a.Version(); l.Epoch != 1 {
		t.Errorf("descent %d", l.Epoch)
	}
	table.ApplyList(21, src, 2, false, nil) // it hears it, too, a little behind
	exchange(21, a, table)
	exchange(22, table, a) // it lags, sends a request, and gets a reply
	exchange(23, a, table)
	if l, _ := table.Version(); l.Epoch != 1 {
		t.Errorf("descent %d", l.Epoch)
	}
	expectRestrictions(t, "the same line of descent", table, "x draining 0")
}

// TestLateStarterAdoptsEpoch checks that a member that starts after discovery was restarted adopts the cluster's number
// of the epoch, and one whose list is older does not. A cached list tells nothing of an epoch.
func TestLateStarterAdoptsEpoch(t *testing.T) {
	a := newTestTable("a", 50, "x")
	a.ApplyList(20, src, 3, false, nil)
	late, before := New("late"), newTestTable("before", 50, "x")
	late.ApplyList(30, src, 90, true, entries(Ready, "x"))
	late.ApplyList(31, src, 3, false, nil)
	if l, _ := late.Version(); l.Epoch != 0 || l.Revision != 3 {
		t.Errorf("a list of an earlier life began a line: %+v", l)
	}
	a.ApplyList(40, src, 4, false, entries(Draining, "x"))
	exchange(40, a, late)
	exchange(40, a, before)
	expectRestrictions(t, "begun later", late, "x draining 0")
	expectRestrictions(t, "of the line before", before)
}

// TestLaggingMemberCatchesUp checks that a member requests what it lacks until it has all, although the facts are no
// longer transmitted without a request.
func TestLaggingMemberCatchesUp(t *testing.T) {
	var workers []string
	for i := range 200 {
		workers = append(workers, fmt.Sprintf("worker-%03d", i))
	}
	a, table := newTestTable("a", 5, workers...), newTestTable("b", 5, workers...)
	a.ApplyList(20, src, 6, false, entries(Draining, workers...))
	for range 5000 { // sent to others
		a.Payload(20, 300)
	}
	if a.HasUrgent() {
		t.Fatal("it goes on for ever")
	}
	rounds := 0
	for ; len(table.Restrictions()) < 200 && rounds < 100; rounds++ {
		exchange(30+2*float64(rounds), a, table)
	}
	t.Logf("%d rounds", rounds)
	if len(table.Restrictions()) != 200 {
		t.Errorf("%d of 200 are known after %d rounds", len(table.Restrictions()), rounds)
	}
}

// TestForgedVersionIsDoubted sends facts of a version that discovery never issued: they are doubted after a while if
// the own discovery is live, and restrict if it is silent.
func TestForgedVersionIsDoubted(t *testing.T) {
	table := newTestTable("b", 5, "x", "y")
	liar := newTestTable("liar", 5, "x", "y")
	liar.ApplyList(20, src, 1<<40, false, entries(Draining, "x", "y"))
	exchange(20, liar, table)
	expectRestrictions(t, "at first", table, "x draining 0", "y draining 0")
	for at := 20.0; at < 49; at++ {
		table.HandleDiscoveryContact(at)
		table.Tick(at)
	}
	expectRestrictions(t, "for a while", table, "x draining 0", "y draining 0")
	for at := 49.0; at < 52; at++ {
		table.HandleDiscoveryContact(at)
		table.Tick(at)
	}
	expectRestrictions(t, "the own director speaks and does not confirm it", table)
	exchange(53, liar, table)
	expectRestrictions(t, "told again", table)
	c := newTestTable("c", 5, "x")
	exchange(20, liar, c)
	c.Tick(500)
	expectRestrictions(t, "the own director is silent", c, "x draining 0")
}

// TestForgedCompletenessExpires checks that a false claim to know all facts does not stop requests for good.
func TestForgedCompletenessExpires(t *testing.T) {
	a, table := newTestTable("a", 5, "x"), newTestTable("b", 5, "x")
	table.HandlePayload(20, "liar", table.encodePayload(&payload{Version: Version{src, 0, 5}, CompleteUpTo: 1 << 40, FactCount: 1}))
	a.ApplyList(20, src, 6, false, entries(Draining, "x"))
	for range 50 { // sent to others
		a.Payload(20, 300)
	}
	for at := 21.0; at < 60 && len(table.Restrictions()) == 0; at += 2 {
		table.Tick(at)
		exchange(at, a, table)
	}
	expectRestrictions(t, "asked in the end", table, "x draining 0")
}

// TestArbitraryPayloads plays random lists and payloads: only workers of the own list are restricted, only by newer
// versions of its own epoch, and all state is bounded.
func TestArbitraryPayloads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New("me")
		changed := 0
		table.OnChange = func() { changed++ }
		now, rev := 10.0, int64(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0.1, 1, 40}).Draw(t, "passes")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				rev += int64(rapid.IntRange(-2, 4).Draw(t, "rev"))
				list := drawEntries(t)
				table.ApplyList(now, src, max(rev, 0), rapid.Bool().Draw(t, "cached"), list)
			case 1:
				table.Tick(now)
				table.HandleDiscoveryContact(now)
			case 2:
				table.Payload(now, 300)
			default:
				msg := drawPayload(t)
				from := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "from")
				for _, answer := range table.HandlePayload(now, from, table.encodePayload(msg)) {
					if len(answer) > 1100 {
						t.Fatalf("an answer of %d bytes", len(answer))
					}
				}
			}
			for name, h := range table.Restrictions() {
				own, listed := table.workers[name]
				if !listed || h.Revision <= table.version.Revision || h.State <= own.State && h.Start <= own.Start {
					t.Fatalf("%s is withheld by %+v, own %+v at %+v", name, h, own, table.version)
				}
			}
			if len(table.facts) > maxFacts || table.pendingFacts < 0 {
				t.Fatal("it grows")
			}
		}
	})
}

var drawnWorkers = []string{"u", "v", "w", "x", "y", "z"}

// drawEntries draws entries of an own list.
func drawEntries(t *rapid.T) (list []Entry) {
	for range rapid.IntRange(0, 4).Draw(t, "entries") {
		list = append(list, Entry{
			Worker: rapid.SampledFrom(drawnWorkers).Draw(t, "worker"),
			State:  State(rapid.IntRange(0, 2).Draw(t, "state")),
			Start:  int64(rapid.IntRange(0, 2).Draw(t, "start")),
		})
	}
	return list
}

// drawPayload draws a peer's payload.
func drawPayload(t *rapid.T) *payload {
	msg := &payload{
		Version: Version{
			Source:   src,
			Epoch:    uint64(rapid.IntRange(0, 2).Draw(t, "descent")),
			Revision: int64(rapid.IntRange(0, 12).Draw(t, "peer's rev")),
		},
		Request: rapid.Bool().Draw(t, "asks"),
	}
	for range rapid.IntRange(0, 5).Draw(t, "facts") {
		msg.Facts = append(msg.Facts, Fact{
			Worker:   rapid.SampledFrom(drawnWorkers).Draw(t, "worker"),
			State:    State(rapid.IntRange(0, 2).Draw(t, "state")),
			Start:    int64(rapid.IntRange(0, 3).Draw(t, "start")),
			Revision: int64(rapid.IntRange(0, 12).Draw(t, "fact's rev")),
		})
	}
	return msg
}

// FuzzHandlePayload checks that no payload causes a panic or a malformed reply.
func FuzzHandlePayload(f *testing.F) {
	a := newTestTable("a", 5, "x")
	a.ApplyList(20, src, 6, false, entries(Draining, "x"))
	f.Add(a.Payload(20, 300))
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, text []byte) {
		table := newTestTable("b", 5, "x")
		for _, answer := range table.HandlePayload(21, "a", text) {
			if _, err := decodePayload(answer); err != nil {
				t.Fatal(err)
			}
		}
		table.Tick(22)
	})
}

// TestFactsAreBounded checks that facts beyond the bound replace older ones.
func TestFactsAreBounded(t *testing.T) {
	table := newTestTable("b", 5)
	for i := range 3 * maxFacts {
		table.HandlePayload(20, "a", table.encodePayload(&payload{
			Version: Version{src, 0, int64(i + 10)},
			Facts:   []Fact{{fmt.Sprint("w", i), Draining, 0, int64(i + 10)}},
		}))
	}
	if len(table.facts) != maxFacts || table.facts[fmt.Sprint("w", 3*maxFacts-1)] == nil || table.facts["w0"] != nil {
		t.Errorf("%d facts", len(table.facts))
	}
}

// TestRequestTargets checks that a lagging member waits a moment for a member of its zone, then sends its request to
// any; that one that was paused does not wait; and that a member answers a bounded number of requests.
func TestRequestTargets(t *testing.T) {
	ahead := &payload{Version: Version{src, 0, 9}, CompleteUpTo: 9}
	asks := func(table *Table, now float64, from string) bool {
		before := table.Stats.Requests
		table.HandlePayload(now, from, table.encodePayload(ahead))
		return table.Stats.Requests > before
	}
	table := newTestTable("b", 5, "x")
	table.SameZone = func(member string) bool { return member == "near" }
	table.HandleDiscoveryContact(19.5)
	if asks(table, 20, "far") || !asks(table, 20.5, "near") {
		t.Error("the near one is not asked first")
	}
	table = newTestTable("b", 5, "x")
	table.SameZone = func(member string) bool { return member == "near" }
	table.HandleDiscoveryContact(19.5)
	if asks(table, 20, "far"); !asks(table, 21.5, "far") {
		t.Error("nobody near has told, and nobody is asked")
	}
	table = newTestTable("b", 5, "x")
	table.SameZone = func(member string) bool { return false }
	table.ExpireUpdates(20)
	if !asks(table, 20, "far") {
		t.Error("one that slept waits")
	}
	a := newTestTable("a", 9, "x")
	answered := 0
	for i := range 50 {
		if len(a.HandlePayload(30, fmt.Sprint("m", i), a.encodePayload(&payload{Version: Version{src, 0, 5}, Request: true}))) > 0 {
			answered++
		}
	}
	repliesLater := a.HandlePayload(31.5, "m1", a.encodePayload(&payload{Version: Version{src, 0, 5}, Request: true}))
	if answered != maxRepliesPerWindow || len(repliesLater) == 0 {
		t.Errorf("%d of 50 answered", answered)
	}
}
