package exporter

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/testkit/receivers"
	"cinderroad/loadbalancer"
)

// testbed is an exporter on a running event loop whose periods are closed by the test.
type testbed struct {
	t        testing.TB
	loop     *eventloop.Loop
	exporter *Exporter
	set      *telemetry.Set
	wall     time.Time
	done     chan error
}

func startTestbed(t testing.TB, bytes int, outputs ...Output) *testbed {
	t.Helper()
	loop, err := eventloop.NewLoop(100)
	if err != nil {
		t.Fatal(err)
	}
	b := &testbed{t: t, loop: loop, wall: time.Unix(1_700_000_000, 0), done: make(chan error, 1)}
	b.set = telemetry.New(telemetry.Options{Classes: []string{"score"}, Zones: []string{"milano"}, Kinds: []string{"k"}, MaxNodes: 5000})
	b.exporter = New(loop, zap.NewNop(), b.set, Options{
		DispatcherName: "n.0",
		Interval:       1e6,
		BufferBytes:    bytes,
		WallClock:      func() time.Time { return b.wall },
	})
	for _, o := range outputs {
		b.exporter.AddOutput(o)
	}
	b.exporter.Start()
	go func() { b.done <- loop.Run() }()
	t.Cleanup(func() {
		b.onLoop(func() {
			b.exporter.Stop()
			loop.Stop()
		})
		if err := <-b.done; err != nil {
			t.Error(err)
		}
	})
	return b
}

// onLoop runs a function on the loop's goroutine and waits for it.
func (b *testbed) onLoop(what func()) {
	done := make(chan struct{})
	b.loop.Post(func() {
		what()
		close(done)
	})
	<-done
}

// closePeriods closes n periods with an answer in each.
func (b *testbed) closePeriods(n int) {
	for range n {
		b.onLoop(func() {
			b.set.ObserveAnswer(&dispatch.AnswerRecord{Verdict: dispatch.Served, WinningAttempt: -1})
			b.wall = b.wall.Add(10 * time.Second)
			b.exporter.ClosePeriodNow()
		})
	}
}

func (b *testbed) eventually(what string, ok func() bool) {
	b.t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("timeout: %s", what)
		}
	}
}

const servedSeries = "cinderroad.n_0.classes.score.answers.in_time"

// expectPeriods waits until a receiver has exactly n periods, each once and with the right total.
func (b *testbed) expectPeriods(s *receivers.Store, series string, n int) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("%d periods of %s", n, series), func() bool { return len(s.Timestamps(series)) >= n })
	var want []float64
	for i := range n {
		want = append(want, float64(1_700_000_000+10*(i+1)))
	}
	if d := cmp.Diff(want, s.Timestamps(series)); d != "" {
		b.t.Error(d)
	}
	if got := s.CounterIncrease(series); got != float64(n) {
		b.t.Errorf("%v answers at the receiver, %d given", got, n)
	}
	if bad := s.Malformed(); len(bad) > 0 {
		b.t.Errorf("%d malformed inputs, such as %s", len(bad), bad[0])
	}
	if _, _, moved := s.Counts(); moved > 0 {
		b.t.Errorf("%d points were repeated with another value", moved)
	}
}

func startCarbon(t testing.TB, pickle bool) (*receivers.Carbon, GraphiteOptions) {
	t.Helper()
	c, err := receivers.NewCarbon("127.0.0.1:0", pickle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c, GraphiteOptions{
		Address:        netip.MustParseAddrPort(c.Addr()),
		Prefix:         "cinderroad",
		Pickle:         pickle,
		ConfirmByClose: true,
		Timeout:        0.4,
	}
}

// TestGraphiteDelivery checks that a receiver gets every period completely, in both protocols, whatever faults occur.
func TestGraphiteDelivery(t *testing.T) {
	for _, pickle := range []bool{false, true} {
		for name, fault := range map[string]func(b *testbed, c *receivers.Carbon, n func(int)){
			"none": func(_ *testbed, _ *receivers.Carbon, n func(int)) { n(12) },
			"away": func(b *testbed, c *receivers.Carbon, n func(int)) {
				n(3)
				b.eventually("the acknowledgement", func() bool { return b.buffered() == 0 })
				c.Stop()
				n(40)
				if err := c.Restart(); err != nil {
					b.t.Fatal(err)
				}
				n(2)
			},
			"stalled": func(b *testbed, c *receivers.Carbon, n func(int)) { // its kernel accepts what it never reads
				n(1)
				c.SetStalled(true)
				n(20)
				b.eventually("a failed attempt", func() bool { return b.state(0).Failures > 1 })
				c.SetStalled(false)
				n(1)
			},
			"dies with bytes unread": func(b *testbed, c *receivers.Carbon, n func(int)) {
				c.SetStalled(true)
				n(5)
				b.eventually("bytes in its kernel", func() bool { return b.state(0).Points > 0 && c.Accepted() > 0 })
				c.Stop()
				c.SetStalled(false)
				if err := c.Restart(); err != nil {
					b.t.Fatal(err)
				}
			},
			"cut in the midst of a line, again and again": func(b *testbed, c *receivers.Carbon, n func(int)) {
				for i := range 4 {
					c.ResetAfter(1 + 333*i*i)
					n(2)
					b.eventually("the cut", func() bool { return b.state(0).Failures > uint64(i) })
					b.eventually("all of it", func() bool { return b.buffered() == 0 })
				}
			},
			"slow": func(_ *testbed, c *receivers.Carbon, n func(int)) {
				c.SetReadSize(2000)
				n(3)
				c.SetReadSize(20000)
				n(3)
			},
		} {
			t.Run(fmt.Sprintf("%s, pickle %v", name, pickle), func(t *testing.T) {
				t.Parallel()
				c, o := startCarbon(t, pickle)
				b := startTestbed(t, 1<<20, NewGraphite(o))
				total := 0
				fault(b, c, func(n int) {
					b.closePeriods(n)
					total += n
				})
				b.expectPeriods(&c.Store, servedSeries, total)
				b.eventually("an empty buffer", func() bool { return b.buffered() == 0 })
			})
		}
	}
}

func (b *testbed) state(i int) (s OutputStats) {
	b.onLoop(func() { s = b.exporter.Outputs()[i].Stats() })
	return s
}

// idleAfter reports whether more than that many periods were closed and nothing is buffered.
func (b *testbed) idleAfter(after uint64) (idle bool) {
	b.onLoop(func() {
		buffered, _ := b.exporter.Ring().Size()
		idle = buffered == 0 && b.exporter.ClosedPeriods > after
	})
	return idle
}

func (b *testbed) buffered() (n int) {
	b.onLoop(func() { n, _ = b.exporter.Ring().Size() })
	return n
}

// TestReceiverLosesItsData checks that totals are right after a receiver returns with an empty disk.
func TestReceiverLosesItsData(t *testing.T) {
	c, o := startCarbon(t, false)
	b := startTestbed(t, 1<<20, NewGraphite(o))
	b.closePeriods(3)
	b.eventually("the acknowledgement", func() bool { return b.buffered() == 0 })
	c.Stop()
	c.Reset()
	b.closePeriods(2)
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	b.closePeriods(1)
	b.eventually("three periods", func() bool { return len(c.Timestamps(servedSeries)) == 3 })
	if v, _ := c.Last(servedSeries); v != 6 {
		t.Errorf("total %v of 6", v)
	}
}

// TestClosePeriodNowWhileEncoding checks that a period that is being encoded when the program ends is closed
// completely, and the one after it, too.
func TestClosePeriodNowWhileEncoding(t *testing.T) {
	c, o := startCarbon(t, false)
	b := startTestbed(t, 1<<20, NewGraphite(o))
	b.onLoop(func() { addNodes(b.set, 5000) })
	b.onLoop(func() {
		b.set.ObserveAnswer(&dispatch.AnswerRecord{Verdict: dispatch.Served, WinningAttempt: -1})
		b.exporter.freeze()
		b.exporter.encode() // of a slice
		b.set.ObserveAnswer(&dispatch.AnswerRecord{Verdict: dispatch.Served, WinningAttempt: -1})
		b.wall = b.wall.Add(10 * time.Second)
		b.exporter.ClosePeriodNow()
	})
	b.eventually("both periods", func() bool { return b.buffered() == 0 && len(c.Timestamps(servedSeries)) == 2 })
	if v, _ := c.Last(servedSeries); v != 2 || c.CounterIncrease(servedSeries) != 2 {
		t.Errorf("total %v of 2", v)
	}
}

// TestReceiverThatNeverCloses checks persistent connections to a relay that doesn't close in answer to our close.
func TestReceiverThatNeverCloses(t *testing.T) {
	c, o := startCarbon(t, false)
	c.KeepOpen(true)
	o.ConfirmByClose = false
	b := startTestbed(t, 1<<20, NewGraphite(o))
	b.closePeriods(3)
	b.expectPeriods(&c.Store, servedSeries, 3)
	b.closePeriods(3)
	b.expectPeriods(&c.Store, servedSeries, 6)
	c.Stop()
	b.closePeriods(2)
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	b.closePeriods(2)
	b.eventually("the last period", func() bool {
		value, _ := c.Last(servedSeries)
		return value == 10
	})
	if n := c.Accepted(); n > 4 {
		t.Errorf("%d connections", n)
	}
}

// TestOneReceiverDown checks that one receiver's outage doesn't affect the other, that the oldest periods are dropped
// and counted when the ring is full, and that totals stay right.
func TestOneReceiverDown(t *testing.T) {
	c, o := startCarbon(t, false)
	away, p := startCarbon(t, false)
	away.Stop()
	b := startTestbed(t, 4000, NewGraphite(o), NewGraphite(p))
	for i := range 20 { // no faster than the receiver, since the ring is small
		b.closePeriods(3)
		b.expectPeriods(&c.Store, servedSeries, 3*(i+1))
	}
	if err := away.Restart(); err != nil {
		t.Fatal(err)
	}
	b.eventually("the last period", func() bool {
		value, _ := away.Last(servedSeries)
		return value == 60
	})
	var dropped uint64
	b.onLoop(func() { dropped = b.exporter.Ring().Dropped })
	if got := len(away.Timestamps(servedSeries)); dropped == 0 || got+int(dropped) != 60 || away.CounterIncrease(servedSeries) != 60 {
		t.Errorf("%d periods came and %d were dropped of 60; total %v", got, dropped, away.CounterIncrease(servedSeries))
	}
}

// TestReplaceOutput checks that the new output gets what the old one hadn't delivered.
func TestReplaceOutput(t *testing.T) {
	old, o := startCarbon(t, false)
	fresh, p := startCarbon(t, true)
	was := NewGraphite(o)
	b := startTestbed(t, 1<<20, was)
	b.closePeriods(2)
	b.expectPeriods(&old.Store, servedSeries, 2)
	b.eventually("the acknowledgement", func() bool { return b.buffered() == 0 })
	old.Stop()
	b.closePeriods(5)
	b.onLoop(func() { b.exporter.ReplaceOutput(was, NewGraphite(p)) })
	b.closePeriods(1)
	b.eventually("six periods", func() bool { return len(fresh.Timestamps(servedSeries)) == 6 })
	if v, _ := fresh.Last(servedSeries); v != 8 {
		t.Errorf("total %v", v)
	}
	b.onLoop(func() { b.exporter.RemoveOutput(b.exporter.Outputs()[0]) })
	b.closePeriods(1)
	if n := b.buffered(); n > 0 {
		t.Errorf("%d periods buffered for no receiver", n)
	}
}

// TestWallClockStepsBack sets the clock back by an hour and forward again: timestamps increase strictly.
func TestWallClockStepsBack(t *testing.T) {
	c, o := startCarbon(t, false)
	b := startTestbed(t, 1<<20, NewGraphite(o))
	b.closePeriods(2)
	b.onLoop(func() { b.wall = b.wall.Add(-time.Hour) })
	b.closePeriods(3)
	b.onLoop(func() { b.wall = b.wall.Add(time.Hour) })
	b.closePeriods(1)
	b.eventually("all periods", func() bool { return len(c.Timestamps(servedSeries)) == 6 })
	want := []float64{1_700_000_010, 1_700_000_020, 1_700_000_021, 1_700_000_022, 1_700_000_023, 1_700_000_060}
	if d := cmp.Diff(want, c.Timestamps(servedSeries)); d != "" {
		t.Error(d)
	}
}

const servedCollectdSeries = "n_0/cinderroad/derive-classes_score_answers_in_time"

// TestCollectdDelivery checks that collectd gets every period completely, whatever faults occur.
func TestCollectdDelivery(t *testing.T) {
	for name, fault := range map[string]func(b *testbed, c *receivers.Collectd, n func(int)){
		"none": func(_ *testbed, _ *receivers.Collectd, n func(int)) { n(12) },
		"away": func(b *testbed, c *receivers.Collectd, n func(int)) {
			n(2)
			b.expectPeriods(&c.Store, servedCollectdSeries, 2)
			c.Stop()
			n(20)
			if err := c.Restart(); err != nil {
				b.t.Fatal(err)
			}
			n(2)
		},
		"silent": func(b *testbed, c *receivers.Collectd, n func(int)) {
			c.SetStalled(true)
			n(10)
			b.eventually("a failed attempt", func() bool { return b.state(0).Failures > 1 })
			c.SetStalled(false)
		},
		"cut": func(b *testbed, c *receivers.Collectd, n func(int)) {
			for i := range 4 {
				c.Stop()
				c.ResetAfter(1 + 333*i*i)
				if err := c.Restart(); err != nil {
					b.t.Fatal(err)
				}
				b.eventually("the end of the connection", func() bool { return b.state(0).Failures >= uint64(i) })
				n(2)
				b.eventually("the cut", func() bool { return b.state(0).Failures > uint64(i) })
				b.eventually("all of it", func() bool { return b.buffered() == 0 })
			}
		},
		"slow": func(_ *testbed, c *receivers.Collectd, n func(int)) {
			c.SetReadSize(3000)
			n(4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := receivers.NewCollectd(filepath.Join(t.TempDir(), "c.sock"))
			if err != nil {
				t.Fatal(err)
			}
			b := startTestbed(t, 1<<20, NewCollectd(c.Addr(), 0.4))
			total := 0
			fault(b, c, func(n int) {
				b.closePeriods(n)
				total += n
			})
			b.expectPeriods(&c.Store, servedCollectdSeries, total)
			b.eventually("an empty buffer", func() bool { return b.buffered() == 0 })
		})
	}
}

// TestCollectdNetwork checks all protections: packet sizes, that a wrong password delivers nothing, and that periods
// are sent again after the system reported a rejection.
func TestCollectdNetwork(t *testing.T) {
	for name, security := range map[string]Security{"none": SecurityNone, "sign": SecuritySign, "encrypt": SecurityEncrypt} {
		t.Run(name, func(t *testing.T) {
			n, err := receivers.NewCollectdNetwork("127.0.0.1:0", name, map[string]string{"cinder": "geheim"})
			if err != nil {
				t.Fatal(err)
			}
			defer n.Stop()
			o := CollectdNetworkOptions{
				Address:  netip.MustParseAddrPort(n.Addr()),
				Security: security,
				Username: "cinder",
				Password: "geheim",
			}
			b := startTestbed(t, 1<<20, NewCollectdNetwork(o))
			b.closePeriods(3)
			b.expectPeriods(&n.Store, servedCollectdSeries, 3)
			b.eventually("an empty buffer", func() bool { return b.buffered() == 0 })
			n.Stop()
			b.closePeriods(4)
			b.eventually("a rejection", func() bool { return b.state(0).Failures > 0 })
			if err := n.Restart(); err != nil {
				t.Fatal(err)
			}
			b.closePeriods(1)
			b.expectPeriods(&n.Store, servedCollectdSeries, 8)
			if _, largest := n.Packets(); largest > packetSize {
				t.Errorf("a packet of %d bytes", largest)
			}
			if name == "none" {
				return
			}
			b.eventually("nothing in flight", func() bool { return b.buffered() == 0 })
			wrong := o
			wrong.Password = "falsch"
			w := startTestbed(t, 1<<20, NewCollectdNetwork(wrong))
			before, _, _ := n.Counts()
			w.closePeriods(1)
			w.eventually("rejected packets", func() bool { return len(n.Malformed()) > 0 })
			if after, _, _ := n.Counts(); after != before {
				t.Errorf("%d points with a wrong password", after-before)
			}
		})
	}
}

// TestCollectdNames checks that names have no dots or other characters that would break the protocol.
func TestCollectdNames(t *testing.T) {
	if got := typeInstance("classes.a-b.latency.p99_9_ms"); strings.ContainsAny(got, `./" `) {
		t.Error(got)
	}
	if typeOf(telemetry.Counter) != "derive" || typeOf(telemetry.Gauge) != "gauge" {
		t.Error("types")
	}
}

// addNodes lists n nodes.
func addNodes(set *telemetry.Set, n int) {
	var members []dispatch.Member
	for i := range n {
		members = append(members, dispatch.Member{
			Name:   fmt.Sprint("node-", i),
			Worker: loadbalancer.Worker{ID: loadbalancer.WorkerID(i + 1), State: loadbalancer.Ready},
		})
	}
	set.ObserveMembers(loadbalancer.ListFull, members)
	for i := range n {
		set.ObserveLoadReport(loadbalancer.WorkerID(i+1), 1, []float32{0.5}, false)
	}
}

// startOutput starts a fake receiver, and returns the output to it and what it has stored.
func startOutput(b *testing.B, form string) (Output, *receivers.Store) {
	b.Helper()
	switch form {
	case "network":
		n, err := receivers.NewCollectdNetwork("127.0.0.1:0", "encrypt", map[string]string{"u": "p"})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(n.Stop)
		out := NewCollectdNetwork(CollectdNetworkOptions{
			Address:  netip.MustParseAddrPort(n.Addr()),
			Security: SecurityEncrypt,
			Username: "u",
			Password: "p",
		})
		return out, &n.Store
	case "socket":
		c, err := receivers.NewCollectd(filepath.Join(b.TempDir(), "c"))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(c.Stop)
		return NewCollectd(c.Addr(), 20), &c.Store
	default:
		c, o := startCarbon(b, form == "pickle")
		o.Timeout = 20
		return NewGraphite(o), &c.Store
	}
}

// BenchmarkDelivery measures the longest turn of the event loop and the cost of a period, by the number of nodes.
func BenchmarkDelivery(b *testing.B) {
	for _, form := range []string{"plaintext", "pickle", "network", "socket"} {
		for _, nodes := range []int{10, 5000} {
			b.Run(fmt.Sprintf("%s/%d", form, nodes), func(b *testing.B) { benchmarkDelivery(b, form, nodes) })
		}
	}
}

func benchmarkDelivery(b *testing.B, form string, nodes int) {
	out, store := startOutput(b, form)
	w := startTestbed(b, 8<<20, out)
	w.onLoop(func() { addNodes(w.set, nodes) })
	var longest, sum float64
	n := 0
	for b.Loop() {
		w.onLoop(func() { w.loop.TakeIterationStats() })
		var closed uint64
		w.onLoop(func() {
			closed = w.exporter.ClosedPeriods
			w.exporter.ClosePeriod()
		})
		w.eventually("delivered", func() bool { return w.idleAfter(closed) })
		w.onLoop(func() {
			longestOfPeriod := w.loop.TakeIterationStats().Longest
			longest = max(longest, longestOfPeriod)
			sum += longestOfPeriod
			n++
		})
		store.Reset()
	}
	b.ReportMetric(1000*longest, "ms-longest-turn")
	b.ReportMetric(1000*sum/float64(n), "ms-mean-longest")
}

// BenchmarkSlices measures the work of each kind of turn at 5,000 nodes; a turn does one of them.
func BenchmarkSlices(b *testing.B) {
	set := telemetry.New(telemetry.Options{
		Classes:  []string{"score"},
		Zones:    []string{"milano"},
		Kinds:    []string{"k"},
		MaxNodes: 5000,
		Now:      func() float64 { return 2 },
		WorkerStatus: func(loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool) {
			return loadbalancer.WorkerStatus{SpareCapacity: 1.25, LoadLimit: 4.4, Pace: 1.01}, true
		},
	})
	addNodes(set, 5000)
	period := set.ClosePeriod(1_700_000_000_000, 10)
	b.Run("gather", func(b *testing.B) { benchmarkGather(b, set) })
	b.Run("freeze", func(b *testing.B) { benchmarkFreeze(b, set) })
	b.Run("encode", func(b *testing.B) { benchmarkEncode(b, set) })
	for _, pickle := range []bool{false, true} {
		b.Run(fmt.Sprintf("render, pickle %v", pickle), func(b *testing.B) { benchmarkRender(b, period, pickle) })
	}
	b.Run("packets, encrypted", func(b *testing.B) { benchmarkEncryptedPackets(b, period) })
}

func benchmarkGather(b *testing.B, set *telemetry.Set) {
	for b.Loop() {
		if !set.GatherNodeGauges(nodesPerIteration) {
			b.StopTimer()
			set.ClosePeriod(1, 1)
			b.StartTimer()
		}
	}
}

func benchmarkFreeze(b *testing.B, set *telemetry.Set) {
	for b.Loop() {
		b.StopTimer()
		for set.GatherNodeGauges(nodesPerIteration) {
		}
		b.StartTimer()
		set.FreezePeriod(1, 1)
	}
}

func benchmarkEncode(b *testing.B, set *telemetry.Set) {
	set.FreezePeriod(1, 1)
	for b.Loop() {
		if set.EncodePeriod(valuesPerIteration) != nil {
			b.StopTimer()
			set.FreezePeriod(1, 1)
			b.StartTimer()
		}
	}
}

func benchmarkRender(b *testing.B, period *telemetry.Period, pickle bool) {
	g := NewGraphite(GraphiteOptions{Pickle: pickle})
	g.exporter = &Exporter{log: zap.NewNop()}
	g.prefix = "cinderroad.n0."
	g.period = period
	g.reader = period.Read()
	for b.Loop() {
		if _, _, done := g.render(nil); done {
			g.reader = period.Read()
		}
	}
}

func benchmarkEncryptedPackets(b *testing.B, period *telemetry.Period) {
	p, err := newPacket("n0", SecurityEncrypt, "u", "p")
	if err != nil {
		b.Fatal(err)
	}
	reader := period.Read()
	for b.Loop() {
		for range pointsPerIteration {
			series, value, ok := reader.Next()
			if !ok {
				reader = period.Read()
				break
			}
			if !p.add(series, period.Timestamp, period.Interval, value) {
				p.protect()
				p.clear()
			}
		}
	}
}
