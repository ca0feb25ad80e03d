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

// bench is a feed on a running loop whose periods end on cue.
type bench struct {
	t    testing.TB
	loop *eventloop.Loop
	feed *Exporter
	set  *telemetry.Set
	wall time.Time
	done chan error
}

func start(t testing.TB, bytes int, outputs ...Output) *bench {
	loop, err := eventloop.NewLoop(100)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, loop: loop, wall: time.Unix(1_700_000_000, 0), done: make(chan error, 1)}
	b.set = telemetry.New(telemetry.Options{Classes: []string{"score"}, Zones: []string{"milano"}, Kinds: []string{"k"}, MaxNodes: 5000})
	b.feed = New(loop, zap.NewNop(), b.set, Options{DispatcherName: "n.0", Interval: 1e6, BufferBytes: bytes, WallClock: func() time.Time { return b.wall }})
	for _, o := range outputs {
		b.feed.AddOutput(o)
	}
	b.feed.Start()
	go func() { b.done <- loop.Run() }()
	t.Cleanup(func() {
		b.do(func() { b.feed.Stop(); loop.Stop() })
		if err := <-b.done; err != nil {
			t.Error(err)
		}
	})
	return b
}

// do runs something on the loop's goroutine and waits for it.
func (b *bench) do(what func()) {
	done := make(chan struct{})
	b.loop.Post(func() { what(); close(done) })
	<-done
}

// periods ends so many periods with an answer in each.
func (b *bench) periods(n int) {
	for range n {
		b.do(func() {
			b.set.ObserveAnswer(&dispatch.AnswerRecord{Verdict: dispatch.Served, WinningAttempt: -1})
			b.wall = b.wall.Add(10 * time.Second)
			b.feed.ClosePeriodNow()
		})
	}
}

func (b *bench) eventually(what string, ok func() bool) {
	b.t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("never came: %s", what)
		}
	}
}

const served = "cinderroad.n_0.classes.score.answers.in_time"

// has waits until a receiver has every period of n, once each by its stamp, with the right total in each.
func (b *bench) has(s *receivers.Store, series string, n int) {
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
		b.t.Errorf("%d things made no sense, such as %s", len(bad), bad[0])
	}
	if _, _, moved := s.Counts(); moved > 0 {
		b.t.Errorf("%d points came again with another value", moved)
	}
}

func carbon(t testing.TB, pickle bool) (*receivers.Carbon, GraphiteOptions) {
	c, err := receivers.NewCarbon("127.0.0.1:0", pickle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c, GraphiteOptions{Address: netip.MustParseAddrPort(c.Addr()), Prefix: "cinderroad", Pickle: pickle, ConfirmByClose: true, Timeout: 0.4}
}

// Whatever a Graphite receiver does meanwhile, in the end it has every period, whole, in both forms.
func TestGraphiteGetsEveryPeriod(t *testing.T) {
	for _, pickle := range []bool{false, true} {
		for name, trouble := range map[string]func(b *bench, c *receivers.Carbon, n func(int)){
			"none": func(_ *bench, _ *receivers.Carbon, n func(int)) { n(12) },
			"away": func(b *bench, c *receivers.Carbon, n func(int)) {
				n(3)
				b.eventually("the word that it has them", func() bool { return b.held() == 0 })
				c.Stop()
				n(40)
				if err := c.Restart(); err != nil {
					b.t.Fatal(err)
				}
				n(2)
			},
			"stalled": func(b *bench, c *receivers.Carbon, n func(int)) { // its kernel takes what it never reads
				n(1)
				c.SetStalled(true)
				n(20)
				b.eventually("a try given up", func() bool { return b.state(0).Failures > 1 })
				c.SetStalled(false)
				n(1)
			},
			"dies with bytes unread": func(b *bench, c *receivers.Carbon, n func(int)) {
				c.SetStalled(true)
				n(5)
				b.eventually("bytes in its kernel", func() bool { return b.state(0).Points > 0 && c.Accepted() > 0 })
				c.Stop()
				c.SetStalled(false)
				if err := c.Restart(); err != nil {
					b.t.Fatal(err)
				}
			},
			"cut in the midst of a line, again and again": func(b *bench, c *receivers.Carbon, n func(int)) {
				for i := range 4 {
					c.ResetAfter(1 + 333*i*i)
					n(2)
					b.eventually("the cut", func() bool { return b.state(0).Failures > uint64(i) })
					b.eventually("all of it", func() bool { return b.held() == 0 })
				}
			},
			"slow": func(_ *bench, c *receivers.Carbon, n func(int)) {
				c.SetReadSize(2000)
				n(3)
				c.SetReadSize(20000)
				n(3)
			},
		} {
			t.Run(fmt.Sprintf("%s, pickle %v", name, pickle), func(t *testing.T) {
				t.Parallel()
				c, o := carbon(t, pickle)
				b := start(t, 1<<20, NewGraphite(o))
				total := 0
				trouble(b, c, func(n int) { b.periods(n); total += n })
				b.has(&c.Store, served, total)
				b.eventually("nothing held", func() bool { return b.held() == 0 })
			})
		}
	}
}

func (b *bench) state(i int) (s OutputStats) {
	b.do(func() { s = b.feed.Outputs()[i].Stats() })
	return s
}

// ended says whether a period was closed after so many, and nothing is held.
func (b *bench) ended(after uint64) (yes bool) {
	b.do(func() { n, _ := b.feed.Ring().Size(); yes = n == 0 && b.feed.ClosedPeriods > after })
	return yes
}

func (b *bench) held() (n int) {
	b.do(func() { n, _ = b.feed.Ring().Size() })
	return n
}

// A receiver comes back with an empty disk: what it had is gone, and the totals that come then are right all the same.
func TestAReceiverThatLostAll(t *testing.T) {
	c, o := carbon(t, false)
	b := start(t, 1<<20, NewGraphite(o))
	b.periods(3)
	b.eventually("the word that it has them", func() bool { return b.held() == 0 })
	c.Stop()
	c.Reset()
	b.periods(2)
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	b.periods(1)
	b.eventually("three periods", func() bool { return len(c.Timestamps(served)) == 3 })
	if v, _ := c.Last(served); v != 6 {
		t.Errorf("total %v of 6", v)
	}
}

// A period that is being written when the program ends is closed, and the one after it, both whole and in order.
func TestTheEndWithinAPeriodsEnd(t *testing.T) {
	c, o := carbon(t, false)
	b := start(t, 1<<20, NewGraphite(o))
	b.do(func() { fleet(b.set, 5000) })
	b.do(func() {
		b.set.ObserveAnswer(&dispatch.AnswerRecord{Verdict: dispatch.Served, WinningAttempt: -1})
		b.feed.freeze()
		b.feed.encode() // some of it
		b.set.ObserveAnswer(&dispatch.AnswerRecord{Verdict: dispatch.Served, WinningAttempt: -1})
		b.wall = b.wall.Add(10 * time.Second)
		b.feed.ClosePeriodNow()
	})
	b.eventually("both periods", func() bool { return b.held() == 0 && len(c.Timestamps(served)) == 2 })
	if v, _ := c.Last(served); v != 2 || c.CounterIncrease(served) != 2 {
		t.Errorf("total %v of 2", v)
	}
}

// A relay that never closes is served on a connection that stays, if the operator says so.
func TestARelayThatNeverCloses(t *testing.T) {
	c, o := carbon(t, false)
	c.KeepOpen(true)
	o.ConfirmByClose = false
	b := start(t, 1<<20, NewGraphite(o))
	b.periods(3)
	b.has(&c.Store, served, 3)
	b.periods(3)
	b.has(&c.Store, served, 6)
	c.Stop()
	b.periods(2)
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	b.periods(2)
	b.eventually("the last period", func() bool { v, _ := c.Last(served); return v == 10 })
	if n := c.Accepted(); n > 4 {
		t.Errorf("%d connections", n)
	}
}

// One receiver down costs the other nothing; with the ring full the oldest periods go, counted, and totals are right.
func TestTwoReceiversOfWhichOneIsDown(t *testing.T) {
	c, o := carbon(t, false)
	away, p := carbon(t, false)
	away.Stop()
	b := start(t, 4000, NewGraphite(o), NewGraphite(p))
	for i := range 20 { // no faster than a receiver can take them: the ring is small
		b.periods(3)
		b.has(&c.Store, served, 3*(i+1))
	}
	if err := away.Restart(); err != nil {
		t.Fatal(err)
	}
	b.eventually("the last period", func() bool { v, _ := away.Last(served); return v == 60 })
	var dropped uint64
	b.do(func() { dropped = b.feed.Ring().Dropped })
	if got := len(away.Timestamps(served)); dropped == 0 || got+int(dropped) != 60 || away.CounterIncrease(served) != 60 {
		t.Errorf("%d periods came and %d were dropped of 60; total %v", got, dropped, away.CounterIncrease(served))
	}
}

// A reload that moves the receiver: the new one gets what the old one had not.
func TestAReceiverThatMoves(t *testing.T) {
	old, o := carbon(t, false)
	fresh, p := carbon(t, true)
	was := NewGraphite(o)
	b := start(t, 1<<20, was)
	b.periods(2)
	b.has(&old.Store, served, 2)
	b.eventually("the word that it has them", func() bool { return b.held() == 0 })
	old.Stop()
	b.periods(5)
	b.do(func() { b.feed.ReplaceOutput(was, NewGraphite(p)) })
	b.periods(1)
	b.eventually("six periods", func() bool { return len(fresh.Timestamps(served)) == 6 })
	if v, _ := fresh.Last(served); v != 8 {
		t.Errorf("total %v", v)
	}
	b.do(func() { b.feed.RemoveOutput(b.feed.Outputs()[0]) })
	b.periods(1)
	if n := b.held(); n > 0 {
		t.Errorf("%d periods held for nobody", n)
	}
}

// The system's clock is set back an hour, and then right again: stamps go on, none twice.
func TestTheClockIsSetBack(t *testing.T) {
	c, o := carbon(t, false)
	b := start(t, 1<<20, NewGraphite(o))
	b.periods(2)
	b.do(func() { b.wall = b.wall.Add(-time.Hour) })
	b.periods(3)
	b.do(func() { b.wall = b.wall.Add(time.Hour) })
	b.periods(1)
	b.eventually("all periods", func() bool { return len(c.Timestamps(served)) == 6 })
	want := []float64{1_700_000_010, 1_700_000_020, 1_700_000_021, 1_700_000_022, 1_700_000_023, 1_700_000_060}
	if d := cmp.Diff(want, c.Timestamps(served)); d != "" {
		t.Error(d)
	}
}

const servedThere = "n_0/cinderroad/derive-classes_score_answers_in_time"

// collectd's answers say what it has got: away, silent, cut and slow ones have all of it in the end.
func TestCollectdGetsEveryPeriod(t *testing.T) {
	for name, trouble := range map[string]func(b *bench, c *receivers.Collectd, n func(int)){
		"none": func(_ *bench, _ *receivers.Collectd, n func(int)) { n(12) },
		"away": func(b *bench, c *receivers.Collectd, n func(int)) {
			n(2)
			b.has(&c.Store, servedThere, 2)
			c.Stop()
			n(20)
			if err := c.Restart(); err != nil {
				b.t.Fatal(err)
			}
			n(2)
		},
		"silent": func(b *bench, c *receivers.Collectd, n func(int)) {
			c.SetStalled(true)
			n(10)
			b.eventually("a try given up", func() bool { return b.state(0).Failures > 1 })
			c.SetStalled(false)
		},
		"cut": func(b *bench, c *receivers.Collectd, n func(int)) {
			for i := range 4 {
				c.Stop()
				c.ResetAfter(1 + 333*i*i)
				if err := c.Restart(); err != nil {
					b.t.Fatal(err)
				}
				b.eventually("the end of the connection", func() bool { return b.state(0).Failures >= uint64(i) })
				n(2)
				b.eventually("the cut", func() bool { return b.state(0).Failures > uint64(i) })
				b.eventually("all of it", func() bool { return b.held() == 0 })
			}
		},
		"slow": func(_ *bench, c *receivers.Collectd, n func(int)) { c.SetReadSize(3000); n(4) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := receivers.NewCollectd(filepath.Join(t.TempDir(), "c.sock"))
			if err != nil {
				t.Fatal(err)
			}
			b := start(t, 1<<20, NewCollectd(c.Addr(), 0.4))
			total := 0
			trouble(b, c, func(n int) { b.periods(n); total += n })
			b.has(&c.Store, servedThere, total)
			b.eventually("nothing held", func() bool { return b.held() == 0 })
		})
	}
}

// The network protocol in all securities: packets no longer than collectd's own, nothing with a wrong password, and a
// receiver that the system refuses for gets the periods again.
func TestCollectdNetwork(t *testing.T) {
	for name, security := range map[string]Security{"none": SecurityNone, "sign": SecuritySign, "encrypt": SecurityEncrypt} {
		t.Run(name, func(t *testing.T) {
			n, err := receivers.NewCollectdNetwork("127.0.0.1:0", name, map[string]string{"cinder": "geheim"})
			if err != nil {
				t.Fatal(err)
			}
			defer n.Stop()
			o := CollectdNetworkOptions{Address: netip.MustParseAddrPort(n.Addr()), Security: security, Username: "cinder", Password: "geheim"}
			b := start(t, 1<<20, NewCollectdNetwork(o))
			b.periods(3)
			b.has(&n.Store, servedThere, 3)
			b.eventually("nothing held", func() bool { return b.held() == 0 })
			n.Stop()
			b.periods(4)
			b.eventually("a refusal", func() bool { return b.state(0).Failures > 0 })
			if err := n.Restart(); err != nil {
				t.Fatal(err)
			}
			b.periods(1)
			b.has(&n.Store, servedThere, 8)
			if _, largest := n.Packets(); largest > packetSize {
				t.Errorf("a packet of %d bytes", largest)
			}
			if name == "none" {
				return
			}
			b.eventually("nothing on its way", func() bool { return b.held() == 0 })
			wrong := o
			wrong.Password = "falsch"
			w := start(t, 1<<20, NewCollectdNetwork(wrong))
			before, _, _ := n.Counts()
			w.periods(1)
			w.eventually("packets turned away", func() bool { return len(n.Malformed()) > 0 })
			if after, _, _ := n.Counts(); after != before {
				t.Errorf("%d points with a wrong password", after-before)
			}
		})
	}
}

// Neither form can be broken by a name or a value: what a set tells is plain, and dots are no part of collectd's names.
func TestForms(t *testing.T) {
	if got := typeInstance("classes.a-b.latency.p99_9_ms"); strings.ContainsAny(got, `./" `) {
		t.Error(got)
	}
	if typeOf(telemetry.Counter) != "derive" || typeOf(telemetry.Gauge) != "gauge" {
		t.Error("types")
	}
}

// fleet has a set tell of so many nodes.
func fleet(set *telemetry.Set, n int) {
	var members []dispatch.Member
	for i := range n {
		members = append(members, dispatch.Member{Name: fmt.Sprint("node-", i), Worker: loadbalancer.Worker{ID: loadbalancer.WorkerID(i + 1), State: loadbalancer.Ready}})
	}
	set.ObserveMembers(loadbalancer.ListFull, members)
	for i := range n {
		set.ObserveLoadReport(loadbalancer.WorkerID(i+1), 1, []float32{0.5}, false)
	}
}

// BenchmarkDelivery is how long the loop is held at the longest, and what a period costs, at so many nodes.
func BenchmarkDelivery(b *testing.B) {
	for _, form := range []string{"plaintext", "pickle", "network", "socket"} {
		for _, nodes := range []int{10, 5000} {
			b.Run(fmt.Sprintf("%s/%d", form, nodes), func(b *testing.B) {
				var out Output
				var store *receivers.Store
				switch form {
				case "network":
					n, err := receivers.NewCollectdNetwork("127.0.0.1:0", "encrypt", map[string]string{"u": "p"})
					if err != nil {
						b.Fatal(err)
					}
					defer n.Stop()
					out, store = NewCollectdNetwork(CollectdNetworkOptions{Address: netip.MustParseAddrPort(n.Addr()), Security: SecurityEncrypt, Username: "u", Password: "p"}), &n.Store
				case "socket":
					c, err := receivers.NewCollectd(filepath.Join(b.TempDir(), "c"))
					if err != nil {
						b.Fatal(err)
					}
					defer c.Stop()
					out, store = NewCollectd(c.Addr(), 20), &c.Store
				default:
					c, o := carbon(b, form == "pickle")
					o.Timeout = 20
					out, store = NewGraphite(o), &c.Store
				}
				w := start(b, 8<<20, out)
				w.do(func() { fleet(w.set, nodes) })
				var longest, sum float64
				n := 0
				for b.Loop() {
					w.do(func() { w.loop.TakeIterationStats() })
					var closed uint64
					w.do(func() { closed = w.feed.ClosedPeriods; w.feed.ClosePeriod() })
					w.eventually("delivered", func() bool { return w.ended(closed) })
					w.do(func() {
						l := w.loop.TakeIterationStats().Longest
						longest, sum, n = max(longest, l), sum+l, n+1
					})
					store.Reset()
				}
				b.ReportMetric(1000*longest, "ms-longest-turn")
				b.ReportMetric(1000*sum/float64(n), "ms-mean-longest")
			})
		}
	}
}

// BenchmarkSlices is the work of each kind of turn at 5,000 nodes: no turn does more than one of them.
func BenchmarkSlices(b *testing.B) {
	set := telemetry.New(telemetry.Options{Classes: []string{"score"}, Zones: []string{"milano"}, Kinds: []string{"k"}, MaxNodes: 5000,
		Now: func() float64 { return 2 }, WorkerStatus: func(loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool) {
			return loadbalancer.WorkerStatus{SpareCapacity: 1.25, LoadLimit: 4.4, Pace: 1.01}, true
		}})
	fleet(set, 5000)
	p := set.ClosePeriod(1_700_000_000_000, 10)
	b.Run("gather", func(b *testing.B) {
		for b.Loop() {
			if !set.GatherNodeGauges(nodesPerTurn) {
				b.StopTimer()
				set.ClosePeriod(1, 1)
				b.StartTimer()
			}
		}
	})
	b.Run("freeze", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			for set.GatherNodeGauges(nodesPerTurn) {
			}
			b.StartTimer()
			set.FreezePeriod(1, 1)
		}
	})
	b.Run("encode", func(b *testing.B) {
		set.FreezePeriod(1, 1)
		for b.Loop() {
			if set.EncodePeriod(valuesPerTurn) != nil {
				b.StopTimer()
				set.FreezePeriod(1, 1)
				b.StartTimer()
			}
		}
	})
	for _, pickle := range []bool{false, true} {
		b.Run(fmt.Sprintf("render, pickle %v", pickle), func(b *testing.B) {
			g := NewGraphite(GraphiteOptions{Pickle: pickle})
			g.exporter, g.prefix, g.period, g.reader = &Exporter{log: zap.NewNop()}, "cinderroad.n0.", p, p.Read()
			for b.Loop() {
				if _, _, done := g.render(nil); done {
					g.reader = p.Read()
				}
			}
		})
	}
	b.Run("packets, encrypted", func(b *testing.B) {
		q, err := newPacket("n0", SecurityEncrypt, "u", "p")
		if err != nil {
			b.Fatal(err)
		}
		r := p.Read()
		for b.Loop() {
			for range pointsPerTurn {
				s, v, ok := r.Next()
				if !ok {
					r = p.Read()
					break
				}
				if !q.add(s, p.Timestamp, p.Interval, v) {
					q.protect()
					q.clear()
				}
			}
		}
	})
}
