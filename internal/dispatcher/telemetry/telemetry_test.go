package telemetry

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

func newSet(o Options) *Set {
	o.Classes = []string{"score", "charge"}
	o.Zones = []string{"milano", "torino"}
	o.Kinds = []string{"two-core"}
	o.Settings.ReportFields = []loadbalancer.ReportField{loadbalancer.FieldUtilization, loadbalancer.FieldInFlight}
	return New(o)
}

// TestPeriodRoundTrip checks that integers are decoded exactly, other values to 24 bits, and none as none.
func TestPeriodRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table SeriesTable
		var values []float64
		for i := range rapid.IntRange(0, 50).Draw(t, "n") {
			v := rapid.OneOf(
				rapid.Just(math.NaN()),
				rapid.Map(rapid.Uint64Range(0, maxExactInteger), func(v uint64) float64 { return float64(v) }),
				rapid.Float64Range(-1e6, 1e6),
			).Draw(t, "v")
			table.Append(Series{Name: fmt.Sprint(i)})
			values = append(values, v)
		}
		p := Period{Table: &table, EncodedValues: appendValues(appendCount(nil, len(values)), values)}
		r := p.Read()
		for i, want := range values {
			if math.IsNaN(want) {
				continue
			}
			s, got, ok := r.Next()
			if !ok || s.Name != fmt.Sprint(i) {
				t.Fatalf("value %d: %v %v", i, s, ok)
			}
			if whole := want >= 0 && want == math.Trunc(want); whole && got != want || float32(got) != float32(want) {
				t.Fatalf("value %d: %v, want %v", i, got, want)
			}
		}
		if _, _, more := r.Next(); more || r.Err() != nil {
			t.Fatal(more, r.Err())
		}
	})
}

// FuzzPeriod checks that a damaged period ends with its values or an error, within its bytes.
func FuzzPeriod(f *testing.F) {
	f.Add([]byte{3, 2, 1, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		var table SeriesTable
		table.Append(make([]Series, 8)...)
		r := (&Period{Table: &table, EncodedValues: body}).Read()
		n := 0
		for _, _, ok := r.Next(); ok; _, _, ok = r.Next() {
			n++
		}
		if n > table.Len() {
			t.Fatal(n)
		}
	})
}

// TestSlotAllocator checks for any sequence of lists that a location has no more slots than nodes at one time, that no
// two nodes share a slot, that a listed node keeps its slot, and that the order within a list doesn't matter.
func TestSlotAllocator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, other := newSlotAllocator(), newSlotAllocator()
		listed, most := map[string]location{}, map[location]int{}
		for range rapid.IntRange(1, 30).Draw(t, "lists") {
			next := map[string]location{}
			for i := range rapid.IntRange(0, 12).Draw(t, "size") {
				next[fmt.Sprintf("node-%d", rapid.IntRange(0, 40).Draw(t, "node"))] = location{zone: i % 2}
			}
			before := map[string]slotID{}
			for node := range listed {
				if next[node] == listed[node] && hasSpot(next, node) {
					before[node] = h.assigned[node]
				} else {
					h.release(node)
					other.release(node)
				}
			}
			h.assign(next)
			names := slices.Collect(keys(next))
			slices.Reverse(names)
			other.assign(next)
			listed = next
			count := map[location]int{}
			taken := map[slotID]string{}
			for _, node := range names {
				p := h.assigned[node]
				if was, held := before[node]; held && was != p {
					t.Fatalf("%s had %v and has %v", node, was, p)
				}
				if by, shared := taken[p]; shared {
					t.Fatalf("%s and %s share %v", node, by, p)
				}
				taken[p] = node
				count[p.location]++
			}
			for s, n := range count {
				most[s] = max(most[s], n)
			}
			for s, slots := range h.nodesBySlot {
				if len(slots) > most[s] {
					t.Fatalf("%d slots at %v for %d nodes", len(slots), s, most[s])
				}
			}
			if d := cmp.Diff(h.assigned, other.assigned, cmp.AllowUnexported(slotID{}, location{})); d != "" {
				t.Fatal(d)
			}
		}
	})
}

func hasSpot(m map[string]location, node string) bool { _, ok := m[node]; return ok }

func keys(m map[string]location) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func TestSanitizeNames(t *testing.T) {
	got := SanitizeNames([]string{"a.b", "a_b", "", "a b", "c/ü"})
	if d := cmp.Diff([]string{"a_b", "a_b_2", "_", "a_b_3", "c__"}, got); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]string{"unknown", "unknown_2"}, ClassNames([]string{"unknown"})); d != "" {
		t.Error(d)
	}
}

func member(name string, id loadbalancer.WorkerID, zone int, state loadbalancer.WorkerState) dispatch.Member {
	return dispatch.Member{Name: name, Worker: loadbalancer.Worker{ID: id, Zone: zone, State: state}}
}

func attemptRecord(node string, id loadbalancer.WorkerID, result loadbalancer.Result) *dispatch.AttemptRecord {
	return &dispatch.AttemptRecord{Worker: id, MemberName: node, Result: result}
}

func (s *Set) total(name string) float64 { return s.Totals()[name] }

// TestRenamedNodesReuseSeries renames half the nodes of a list, twice: the new ones take the slots of the departed,
// whose totals continue, and no series is added.
func TestRenamedNodesReuseSeries(t *testing.T) {
	s := newSet(Options{MaxNodes: 100})
	list := func(kind loadbalancer.ListKind, names ...string) {
		var members []dispatch.Member
		for i, name := range names {
			members = append(members, member(name, loadbalancer.WorkerID(100*len(name)+i+int(name[0])), 0, loadbalancer.Ready))
		}
		s.ObserveMembers(kind, members)
		for _, m := range members {
			s.ObserveAttempt(attemptRecord(m.Name, m.ID, loadbalancer.OK))
		}
	}
	list(loadbalancer.ListFull, "a", "b", "c", "d")
	series := s.Table().Len()
	list(loadbalancer.ListFull, "a", "b", "xx", "yy")
	list(loadbalancer.ListFull, "a", "b", "zzz", "xx")
	if got := s.Table().Len(); got != series {
		t.Errorf("%d series became %d", series, got)
	}
	var sum float64
	for slot := range 4 {
		n := s.total(fmt.Sprintf("nodes.milano.two-core.0.%d.ended", slot))
		sum += n
		if n != 3 {
			t.Errorf("slot %d has %v attempts, want 3", slot, n)
		}
	}
	if sum != 12 {
		t.Error(sum)
	}
	s.ObserveAttempt(attemptRecord("c", 99, loadbalancer.OK)) // late, from a node whose slot has been reassigned
	if got := s.total("nodes_unplaced.ended"); got != 1 {
		t.Errorf("%v attempts without a slot", got)
	}
}

// TestMaxNodes checks that nodes beyond the limit are counted without series, and that the classes' totals are complete.
func TestMaxNodes(t *testing.T) {
	s := newSet(Options{MaxNodes: 2})
	s.ObserveMembers(loadbalancer.ListDelta, []dispatch.Member{
		member("a", 1, 0, loadbalancer.Ready),
		member("b", 2, 0, loadbalancer.Ready),
		member("c", 3, 0, loadbalancer.Ready),
	})
	s.ObserveAttempt(attemptRecord("c", 3, loadbalancer.OK))
	s.ClosePeriod(1, 1)
	if got := s.values[s.nodes.unplacedNodes]; got != 1 {
		t.Errorf("%v nodes without series", got)
	}
	if got := s.total("nodes_unplaced.ended"); got != 1 || s.total("classes.score.fetches.end_ok") != 1 {
		t.Error(got)
	}
}

// TestMergedLatencies checks that two processes' merged latencies have the quantiles of a single process.
func TestMergedLatencies(t *testing.T) {
	whole := newSet(Options{})
	older := newSet(Options{})
	newer := newSet(Options{})
	for i := range 1000 {
		f := &dispatch.AnswerRecord{Class: 0, Verdict: dispatch.Served, TargetAt: 10, AnsweredAt: float64(i) / 1000, WinningAttempt: -1}
		whole.ObserveAnswer(f)
		if i%3 == 0 {
			older.ObserveAnswer(f)
		} else {
			newer.ObserveAnswer(f)
		}
	}
	counts, spans := older.TakeDelta()
	newer.AddTotals(counts)
	newer.MergeLatencies(spans)
	want, got := readAll(t, whole.ClosePeriod(1, 1)), readAll(t, newer.ClosePeriod(1, 1))
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if got := want["classes.score.latency.p50_ms"]; math.Abs(got-500) > 10 {
		t.Errorf("p50 %v", got)
	}
	if counts, spans := older.TakeDelta(); len(counts) > 0 || len(spans) > 0 {
		t.Errorf("returned twice: %v %v", counts, spans)
	}
}

func readAll(t interface{ Fatal(...any) }, p *Period) map[string]float64 {
	all := map[string]float64{}
	r := p.Read()
	for s, v, ok := r.Next(); ok; s, v, ok = r.Next() {
		all[s.Name] = v
	}
	if r.Err() != nil {
		t.Fatal(r.Err())
	}
	return all
}

// TestRecordingAllocatesNothing: observations on the event loop must not cause garbage.
func TestRecordingAllocatesNothing(t *testing.T) {
	s := newSet(Options{MaxNodes: 10})
	s.ObserveMembers(loadbalancer.ListDelta, []dispatch.Member{member("a", 1, 0, loadbalancer.Ready)})
	f := &dispatch.AnswerRecord{Verdict: dispatch.Served, AnsweredAt: 0.2, StartedAt: 0.1, Attempts: make([]dispatch.AttemptRecord, 1)}
	tr, report := attemptRecord("a", 1, loadbalancer.OK), []float32{0.5, 3}
	allocations := testing.AllocsPerRun(1000, func() {
		s.ObserveAnswer(f)
		s.ObserveAttempt(tr)
		s.ObserveLoadReport(1, 1, report, false)
	})
	if allocations > 0 {
		t.Errorf("%v allocations", allocations)
	}
}

// lifecycle is a dispatcher's metrics with receivers and a disk, over virtual time.
type lifecycle struct {
	set           *Set
	ring          *Ring
	places        []*Cursor
	receivers     []map[int64]float64 // total by stamp
	reachable     []bool
	stamp         int64
	renames       int
	disk          *Period
	held          []SlotAssignment
	closedAnswers float64 // answers in closed periods
	openAnswers   float64 // answers of the period at hand
	lostAnswers   float64
}

func (c *lifecycle) restart() {
	c.set = newSet(Options{MaxNodes: 64})
	c.ring = NewRing(1 << 20)
	c.places = nil
	for i := range c.receivers {
		c.places = append(c.places, c.ring.OpenCursor(fmt.Sprint(i)))
	}
	if c.disk != nil {
		totals, err := c.disk.Totals()
		if err != nil {
			panic(err)
		}
		c.set.AddTotals(totals)
		c.set.RestoreSlots(c.held)
	}
}

func (c *lifecycle) closePeriod() {
	c.stamp++
	c.disk = c.set.ClosePeriod(c.stamp, 1)
	c.held = c.set.SlotAssignments()
	c.ring.Push(c.disk)
	c.closedAnswers += c.openAnswers
	c.openAnswers = 0
}

// deliver delivers up to n periods to a reachable receiver; if broken, the last one isn't acknowledged.
func (c *lifecycle) deliver(t *rapid.T, i, n int, broken bool) {
	for ; n > 0 && c.reachable[i]; n-- {
		p, number := c.ring.PeriodFrom(c.places[i].Next())
		if p == nil {
			return
		}
		totals, err := p.Totals()
		if err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for _, name := range []string{"in_time", "late", "refused", "failed", "gone", "returned"} {
			sum += totals["classes.score.answers."+name]
		}
		if was, there := c.receivers[i][p.Timestamp]; there && was != sum {
			t.Fatalf("stamp %d had %v and has %v", p.Timestamp, was, sum)
		}
		c.receivers[i][p.Timestamp] = sum
		if n == 1 && broken {
			return
		}
		c.ring.Acknowledge(c.places[i], number)
	}
}

// answer observes a drawn answer.
func (c *lifecycle) answer(t *rapid.T) {
	verdict := rapid.SampledFrom([]dispatch.Verdict{
		dispatch.Served,
		dispatch.Rejected,
		dispatch.Failed,
		dispatch.Disconnected,
		dispatch.Requeued,
	}).Draw(t, "verdict")
	c.set.ObserveAnswer(&dispatch.AnswerRecord{
		Verdict:        verdict,
		AnsweredAt:     1,
		TargetAt:       rapid.Float64Range(0, 2).Draw(t, "aim"),
		WinningAttempt: -1,
	})
	c.openAnswers++
}

// rename has a node of another name take the place of the last one renamed.
func (c *lifecycle) rename() {
	c.renames++
	c.set.ObserveMembers(loadbalancer.ListFull, []dispatch.Member{
		member("stays", 1, 0, loadbalancer.Ready),
		member(fmt.Sprint("n", c.renames), loadbalancer.WorkerID(c.renames+1), 0, loadbalancer.Ready),
	})
}

// kill restarts the dispatcher without closing the open period.
func (c *lifecycle) kill() {
	c.lostAnswers += c.openAnswers
	c.openAnswers = 0
	c.restart()
}

// checkTotals checks what a receiver has after all periods were delivered.
func (c *lifecycle) checkTotals(t *rapid.T, receiver int) {
	last := 0.0
	for stamp := int64(1); stamp <= c.stamp; stamp++ {
		total, delivered := c.receivers[receiver][stamp]
		if !delivered {
			continue
		}
		if total < last {
			t.Fatalf("total fell from %v to %v", last, total)
		}
		last = total
	}
	if last != c.closedAnswers {
		t.Fatalf("receiver %d has %v, given were %v and lost %v", receiver, last, c.closedAnswers, c.lostAnswers)
	}
}

// TestTotalsMatchAnswers checks for any order of answers, renames, outages, ends of periods, restarts and kills that
// every receiver's final total is the number of answers, except for periods that a kill left open, and that totals never
// decrease.
func TestTotalsMatchAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &lifecycle{receivers: []map[int64]float64{{}, {}}, reachable: []bool{true, true}}
		c.restart()
		t.Repeat(map[string]func(*rapid.T){
			"answer": c.answer,
			"rename": func(*rapid.T) { c.rename() },
			"away": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "receiver")
				c.reachable[i] = !c.reachable[i]
			},
			"deliver": func(t *rapid.T) {
				receiver := rapid.IntRange(0, 1).Draw(t, "receiver")
				periods := rapid.IntRange(1, 4).Draw(t, "periods")
				breaks := rapid.Bool().Draw(t, "breaks")
				c.deliver(t, receiver, periods, breaks)
			},
			"period": func(*rapid.T) { c.closePeriod() },
			"restart": func(*rapid.T) {
				c.closePeriod()
				c.restart()
			},
			"kill": func(*rapid.T) { c.kill() },
		})
		c.closePeriod()
		for i := range c.receivers {
			c.reachable[i] = true
			c.deliver(t, i, 1<<20, false)
			c.checkTotals(t, i)
		}
		if n := c.set.Table().Len(); c.renames > 0 && n > newSet(Options{MaxNodes: 64}).Table().Len()+2*int(nodeSeriesCount) {
			t.Fatalf("%d series after %d renames", n, c.renames)
		}
	})
}

// TestRing checks that the ring stays within its limit, counts the dropped periods, and gives receivers the others in order.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRing(100)
		a, b := r.OpenCursor("a"), r.OpenCursor("b")
		next, dropped := int64(0), uint64(0)
		seen := map[*Cursor]int64{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				r.Push(&Period{Timestamp: next, EncodedValues: make([]byte, rapid.IntRange(1, 60).Draw(t, "size"))})
				if n, bytes := r.Size(); bytes > 100 && n > 1 {
					t.Fatalf("%d periods of %d bytes", n, bytes)
				}
			},
			"got": func(t *rapid.T) {
				p := rapid.SampledFrom([]*Cursor{a, b}).Draw(t, "place")
				if q, n := r.PeriodFrom(p.Next()); q != nil {
					if q.Timestamp <= seen[p] {
						t.Fatalf("%s got %d after %d", p.Name, q.Timestamp, seen[p])
					}
					seen[p] = q.Timestamp
					r.Acknowledge(p, n)
				} else if seen[p] != next {
					t.Fatalf("%s has no pending period, but got %d of %d", p.Name, seen[p], next)
				}
				if r.Dropped < dropped {
					t.Fatal("drops uncounted")
				}
				dropped = r.Dropped
			},
		})
		if n, _ := r.Size(); r.Dropped == 0 && n != int(next-min(seen[a], seen[b])) {
			t.Fatalf("%d held, %d waited for", n, next-min(seen[a], seen[b]))
		}
	})
}

func TestDrains(t *testing.T) {
	s := newSet(Options{})
	s.ObserveDrain(1, 0.3)
	s.ObserveDrain(2, 0.125)
	s.ObserveDrain(3, -0.01)
	got := readAll(t, s.ClosePeriod(1, 1))
	if got["drains.told"] != 3 || got["drains.honoured"] != 2 || got["drains.broken"] != 1 || got["drains.margin_least_ms"] != -10 {
		t.Error(got["drains.told"], got["drains.honoured"], got["drains.broken"], got["drains.margin_least_ms"])
	}
	if _, there := readAll(t, s.ClosePeriod(2, 1))["drains.margin_least_ms"]; there {
		t.Error("a period without a drain has a margin")
	}
}

// TestRestoreSlots checks that nodes get their slots back after a restart, and that invalid assignments are ignored.
func TestRestoreSlots(t *testing.T) {
	s := newSet(Options{MaxNodes: 10})
	s.ObserveMembers(loadbalancer.ListDelta, []dispatch.Member{member("z", 1, 0, loadbalancer.Ready)})
	s.ObserveMembers(loadbalancer.ListDelta, []dispatch.Member{
		member("a", 2, 0, loadbalancer.Ready),
		member("b", 3, 1, loadbalancer.Draining),
	})
	held := s.SlotAssignments()
	n := newSet(Options{MaxNodes: 10})
	n.RestoreSlots(append(held,
		SlotAssignment{"nowhere.x.1", 3, "q"},
		SlotAssignment{"milano.two-core.0", -1, "a"},
		SlotAssignment{"milano.two-core.x", 1 << 40, "a"},
	))
	n.ObserveMembers(loadbalancer.ListFull, []dispatch.Member{
		member("b", 3, 1, loadbalancer.Ready),
		member("a", 2, 0, loadbalancer.Ready),
		member("z", 1, 0, loadbalancer.Ready),
	})
	d := cmp.Diff(held, n.SlotAssignments(), cmp.Transformer("sorted", func(h []SlotAssignment) []SlotAssignment {
		slices.SortFunc(h, func(x, y SlotAssignment) int { return len(x.Node) - len(y.Node) + int(x.Node[0]) - int(y.Node[0]) })
		return h
	}))
	if d != "" {
		t.Error(d)
	}
}

// TestNodeGauges checks the gauges of a node, and that an unassigned slot has none.
func TestNodeGauges(t *testing.T) {
	now := 100.0
	s := newSet(Options{
		MaxNodes: 10,
		Now:      func() float64 { return now },
		WorkerStatus: func(id loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool) {
			return loadbalancer.WorkerStatus{SpareCapacity: -1.5, LoadLimit: 4, Ejected: true}, id == 1
		},
	})
	s.ObserveMembers(loadbalancer.ListDelta, []dispatch.Member{member("a", 1, 0, loadbalancer.Ready)})
	s.ObserveLoadReport(1, 98, []float32{0.5, 3}, false)
	s.ObserveLoadReport(1, 99, []float32{0.5, 7}, true)
	got := readAll(t, s.ClosePeriod(1, 1))
	for name, want := range map[string]float64{
		"state":                1,
		"reported_in_flight":   3,
		"reported_utilization": 0.5,
		"report_age_s":         2,
		"probed_in_flight":     7,
		"probe_age_s":          1,
		"room":                 -1.5,
		"ceiling":              4,
		"set_aside":            1,
	} {
		if v, ok := got["nodes.milano.two-core.0.0."+name]; !ok || v != want {
			t.Errorf("%s is %v, want %v", name, v, want)
		}
	}
	s.ObserveMembers(loadbalancer.ListDelta, []dispatch.Member{member("a", 1, 0, loadbalancer.Departed)})
	if v, there := readAll(t, s.ClosePeriod(2, 1))["nodes.milano.two-core.0.0.state"]; there {
		t.Errorf("an unassigned slot has state %v", v)
	}
}

// BenchmarkClose measures how long the end of a period blocks the event loop.
func BenchmarkClose(b *testing.B) {
	for _, n := range []int{10, 1000, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSet(Options{
				MaxNodes: n,
				Now:      func() float64 { return 1 },
				WorkerStatus: func(loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool) {
					return loadbalancer.WorkerStatus{SpareCapacity: 1.25, LoadLimit: 4.4, Pace: 1.01}, true
				},
			})
			var members []dispatch.Member
			for i := range n {
				members = append(members, member(fmt.Sprint("node-", i), loadbalancer.WorkerID(i), i%2, loadbalancer.Ready))
			}
			s.ObserveMembers(loadbalancer.ListFull, members)
			size := 0
			for b.Loop() {
				size = len(s.ClosePeriod(1, 1).EncodedValues)
			}
			b.ReportMetric(float64(size), "bytes/period")
		})
	}
}

// BenchmarkObserve measures the observations of one job: attempt, load report, answer.
func BenchmarkObserve(b *testing.B) {
	s := newSet(Options{MaxNodes: 10})
	s.ObserveMembers(loadbalancer.ListDelta, []dispatch.Member{member("a", 1, 0, loadbalancer.Ready)})
	f := &dispatch.AnswerRecord{Verdict: dispatch.Served, AnsweredAt: 0.2, StartedAt: 0.1, Attempts: make([]dispatch.AttemptRecord, 1)}
	tr, report := attemptRecord("a", 1, loadbalancer.OK), []float32{0.5, 3}
	for b.Loop() {
		s.ObserveAttempt(tr)
		s.ObserveLoadReport(1, 1, report, false)
		s.ObserveAnswer(f)
	}
}
