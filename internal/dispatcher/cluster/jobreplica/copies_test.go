package jobreplica_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
	"cinderroad/internal/testkit/mutate"
)

var (
	seeds     = flag.Int("fleet.seeds", 40, "drawn runs of faults")
	mutateAll = flag.Bool("mutate.all", false, "play every mutation of every message")
)

// drawn plays jobs of all classes through all members under faults drawn from a seed: loss, one-way cuts, islands, stalls, kills with
// everything that the process held, no more at once than a minority of the copies.
func drawn(seed uint64, change func(w *world)) error {
	rng := rand.New(rand.NewPCG(seed, 9))
	many := 3 + 2*rng.IntN(2)
	w := newWorld(seed, many+2+rng.IntN(3), many)
	if change != nil {
		change(w)
	}
	w.dispatch()
	w.run1(w.now + 4)
	for i := range 12 {
		w.handIn(fmt.Sprint("k", i), jobstate.Effect(i%3))
		if i%3 == 2 {
			w.fault(rng)
			w.run1(w.now + 1 + 11*rng.Float64())
		}
	}
	return w.settle()
}

// fault begins one fault and has it end by itself.
func (w *world) fault(rng *rand.Rand) {
	i := rng.IntN(len(w.places))
	p := w.places[i]
	end := w.now + 0.5 + 9*rng.Float64()
	switch rng.IntN(6) {
	case 0:
		w.drop = 0.3 * rng.Float64()
		w.at(end, func() { w.drop = 0 })
	case 1:
		w.cut = func(from, to int) bool { return from == i } // one way
		w.at(end, func() { w.cut = nil })
	case 2:
		island := 1 + rng.IntN(len(w.places)-1)
		w.cut = func(from, to int) bool { return (from < island) != (to < island) }
		w.at(end, func() { w.cut = nil })
	case 3:
		if p.copy != nil {
			p.paused = true
			w.at(end, func() {
				if p.paused {
					w.resume(p)
				}
			})
		}
	default:
		if p.copy != nil && w.whole() {
			w.kill(p)
			w.at(end, func() {
				if p.copy == nil {
					w.begin(p)
				}
			})
		}
	}
}

// whole says whether all copies that count are there: only then may one more be lost.
func (w *world) whole() bool {
	there := map[uint64]bool{}
	for _, p := range w.places {
		if p.copy != nil && !p.paused {
			there[p.member.ID] = true
		}
	}
	for _, p := range w.places {
		if p.copy != nil && p.copy.IsLeader() {
			counted, _ := p.copy.Members()
			for _, m := range counted {
				if !there[m.ID] {
					return false
				}
			}
			return true
		}
	}
	return false
}

func TestWhatWasAcknowledgedIsKeptAndEndsOnce(t *testing.T) {
	for seed := uint64(1); seed <= uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if err := drawn(seed, nil); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		})
	}
}

func TestTheSameSeedIsTheSameRun(t *testing.T) {
	play := func() (string, int) {
		w := newWorld(3, 5, 3)
		w.dispatch()
		w.run1(w.now + 3)
		for i := range 6 {
			w.handIn(fmt.Sprint("k", i), jobstate.Effect(i%3))
		}
		w.drop = 0.1
		w.run1(w.now + 10)
		if err := w.settle(); err != nil {
			t.Fatal(err)
		}
		return w.outcome(), w.sent
	}
	a, n := play()
	b, m := play()
	if a != b || n != m {
		t.Errorf("%s after %d messages, then %s after %d", a, n, b, m)
	}
}

// Runs for mutations: what is told must hold whichever one message is spoilt.
var scenarios = map[string]func(w *world){
	"the leader is killed": func(w *world) {
		w.handIn("a", jobstate.Unsafe)
		w.handIn("b", jobstate.Keyed)
		w.run1(w.now + 0.7)
		w.kill(w.leader())
		w.run1(w.now + 3)
		w.handIn("c", jobstate.Safe)
		w.run1(w.now + 9)
	},
	"the leader sleeps while another sends": func(w *world) {
		w.handIn("a", jobstate.Keyed)
		w.run1(w.now + 0.5)
		p := w.leader()
		p.paused = true
		w.handIn("b", jobstate.Unsafe)
		w.run1(w.now + 5)
		w.resume(p)
		w.handIn("c", jobstate.Safe)
		w.run1(w.now + 3)
	},
	"a copy is replaced": func(w *world) {
		w.handIn("a", jobstate.Unsafe)
		p := w.follower()
		w.cut = func(from, to int) bool { return from == p.i || to == p.i }
		w.run1(w.now + 12)
		w.cut = nil
		w.handIn("b", jobstate.Keyed)
		w.run1(w.now + 3)
	},
	"the lead is handed over": func(w *world) {
		w.handIn("a", jobstate.Keyed)
		p := w.leader()
		p.copy.TransferLeadership()
		w.after(p)
		w.handIn("b", jobstate.Unsafe)
		w.run1(w.now + 2)
	},
}

func (w *world) leader() *place {
	for _, p := range w.places {
		if p.copy != nil && !p.paused && p.copy.IsLeader() {
			return p
		}
	}
	return w.places[0]
}

func (w *world) follower() *place {
	for _, p := range w.places {
		if p.copy != nil && p.copy.IsVoter() && !p.copy.IsLeader() {
			return p
		}
	}
	return w.places[0]
}

// lies are forgeries that claim a log which their sender does not hold. What they break is told and not judged, as
// docs/promises.md says of copies that lie.
var lies = map[string]bool{"forged index": true, "forged sender": true, "forged reject": true}

func TestAnyOneMessageMayBeSpoilt(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			o := mutate.Options{Delays: []float64{0.3, 1.5, 9}, Stride: 37, Parallelism: 6, OtherMembers: []uint64{1, 2, 3, 4}, Variants: jobreplica.ForgeVariants}
			if *mutateAll {
				o.Stride = 1
			}
			report, err := mutate.RunAll(func(tamper mutate.Tamper) (string, error) {
				w := newWorld(1, 4, 3)
				w.tamper = tamper
				w.dispatch()
				w.run1(w.now + 3)
				scenario(w)
				err := w.settle()
				return w.outcome(), err
			}, o)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			for _, b := range report.Violations {
				if lies[b.Mutation] {
					t.Logf("message %d %s: %v", b.Message, b.Mutation, b.Err)
					continue
				}
				t.Errorf("message %d %s: %v", b.Message, b.Mutation, b.Err)
			}
		})
	}
}

// Each safeguard taken out must be found.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, plant := range map[string]func(w *world){
		"send before agreement":      func(w *world) { w.noWait = true },
		"no fence":                   func(w *world) { w.noFence = true },
		"the same key twice":         func(w *world) { w.noKey = true },
		"a vote after a lost memory": func(w *world) { w.sameLife = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 60; seed++ {
				if err := drawn(seed, plant); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found in 60 drawn runs")
		})
	}
}

// gap is the longest time in which no job was taken around what happens after 5 s, of jobs handed in every 50 ms.
func gap(seed uint64, happens func(w *world)) float64 {
	w := newWorld(seed, 5, 3)
	w.quiet = true
	w.run1(w.now + 3)
	start, last, longest := w.now, w.now, 0.0
	for i := 0; w.now < start+15; i++ {
		if w.now >= start+5 && happens != nil {
			happens(w)
			happens = nil
		}
		key := fmt.Sprint("k", i)
		for _, p := range w.places {
			if p.copy != nil && !p.paused && p.copy.IsVoter() {
				c := jobstate.Command{Kind: jobstate.CommandSubmit, TimeMS: int64(w.now * 1000), Tenant: "t", Key: key, Class: "x"}
				p.asked[key] = c
				p.copy.Propose(w.now, c.Encode())
				w.after(p)
			}
		}
		before := len(w.acked)
		w.run1(w.now + 0.05)
		if len(w.acked) > before {
			longest = max(longest, w.now-last)
			last = w.now
		}
	}
	return max(longest, w.now-last)
}

func TestTimeWithoutPromises(t *testing.T) {
	for _, c := range []struct {
		name    string
		most    float64 // seconds; 0.1 is none: a job in each 50 ms is taken
		happens func(w *world)
	}{
		{"nothing happens", 0.1, func(w *world) {}},
		{"the leader hands over and ends", 0.1, func(w *world) {
			p := w.leader()
			p.copy.TransferLeadership()
			w.after(p)
			w.run1(w.now + 0.05)
			w.kill(p)
		}},
		{"the leader is killed", 3, func(w *world) { w.kill(w.leader()) }},
		{"the leader stalls", 4.5, // two elections, where the first is split
			func(w *world) { w.leader().paused = true }},
	} {
		var all []float64
		for seed := uint64(1); seed <= 50; seed++ {
			all = append(all, gap(seed, c.happens))
		}
		slices.Sort(all)
		t.Logf("%s: %.2f s at the median of 50 runs, %.2f at worst", c.name, all[25], all[49])
		if all[49] > c.most+1e-6 {
			t.Errorf("%s: %.2f s without promises; %.2f at most", c.name, all[49], c.most)
		}
	}
}

func TestWhereNoMajorityIsInReachItIsRefusedAtOnce(t *testing.T) {
	w := newWorld(1, 3, 3)
	w.quiet = true
	w.run1(w.now + 3)
	w.cut = func(from, to int) bool { return true }
	w.run1(w.now + 4)
	for _, p := range w.places {
		err := p.copy.Propose(w.now, (&jobstate.Command{Kind: jobstate.CommandAdvanceTime}).Encode())
		var none *jobreplica.NoMajorityError
		if !errors.As(err, &none) || none.RetryMS <= 0 || none.Reachable != 1 || none.Voters != 3 {
			t.Errorf("%s: %v", p.member.Name, err)
		}
	}
}

func TestALeaderThatSleptLeadsNoMore(t *testing.T) {
	w := newWorld(1, 3, 3)
	w.quiet = true
	w.run1(w.now + 3)
	p := w.leader()
	p.paused = true
	w.run1(w.now + 60)
	p.paused, p.held = false, nil // what came meanwhile is lost
	p.copy.Tick(w.now)
	if p.copy.IsLeader() {
		t.Error("it leads on after 60 s of sleep")
	}
}

// A copy that is far behind gets a snapshot in pages: 500 of them, of which a fifth gets lost, are asked for again.
func TestASnapshotOfManyPagesArrives(t *testing.T) {
	w := newWorld(2, 4, 3)
	w.quiet = true
	w.run1(w.now + 3)
	p := w.leader()
	for i := range 200 {
		c := jobstate.Command{Kind: jobstate.CommandSubmit, TimeMS: int64(w.now * 1000), Tenant: "t", Key: fmt.Sprint(i), Class: "x", Data: make([]byte, 3000)}
		if err := p.copy.Propose(w.now, c.Encode()); err != nil {
			t.Fatal(err)
		}
		w.after(p)
		w.run1(w.now + 0.02)
	}
	w.kill(w.follower())
	w.drop = 0.2
	w.run1(w.now + 60)
	counted := w.counted()
	if len(counted) != 3 || !w.level() {
		t.Fatalf("%d copies", len(counted))
	}
	for _, p := range counted {
		if jobs, _ := p.state.Usage(); jobs != 200 {
			t.Errorf("%s holds %d jobs", p.member.Name, jobs)
		}
	}
}

func TestCopiesStandOnMachinesOfTheirOwnAndZonesApart(t *testing.T) {
	var members []jobreplica.Member
	for i := range 9 {
		members = append(members, jobreplica.Member{ID: uint64(i + 1), Name: fmt.Sprint("m", i), Machine: fmt.Sprint("host", i/2), Zone: fmt.Sprint(i / 4)})
	}
	chosen := jobreplica.ChooseMembers(members, nil, 3)
	slices.Reverse(members)
	if again := jobreplica.ChooseMembers(members, nil, 3); !slices.Equal(chosen, again) {
		t.Errorf("%v, in another order %v", chosen, again)
	}
	zones, machines := map[string]bool{}, map[string]bool{}
	for _, m := range chosen {
		zones[m.Zone], machines[m.Machine] = true, true
	}
	if len(zones) != 3 || len(machines) != 3 {
		t.Errorf("%v", chosen)
	}
	if got := jobreplica.ChooseMembers(members, nil, 9); len(got) != 5 {
		t.Errorf("%d copies on 5 machines", len(got))
	}
}

// Every problem has a code and a word for operators, and both stand on their page.
func TestEveryProblemIsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/promises.md")
	if err != nil {
		t.Fatal(err)
	}
	none := errors.New("none")
	for _, p := range []jobstate.CodedError{&jobreplica.NoMajorityError{}, &jobreplica.NotReplicaError{}, &jobreplica.StoppedError{Cause: none}, &jobreplica.CommandTooLongError{}, &jobreplica.ReplacedError{}} {
		if p.Code() == "" || p.Remedy() == "" || !strings.Contains(string(page), "`"+p.Code()+"`") || !strings.Contains(string(page), p.Remedy()) {
			t.Errorf("%T: %q is not on the page as it is", p, p.Code())
		}
	}
}

func FuzzOpen(f *testing.F) {
	p := jobreplica.NewFragmenter("test", 1, 1<<16)
	for _, datagram := range p.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 3000)}) {
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := jobreplica.NewFragmenter("test", 2, 1<<16).Reassemble(datagram)
		if err == nil && message != nil {
			c := jobreplica.New(0, jobreplica.Options{Self: jobreplica.Member{ID: 2}, Replicas: 3, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 8, CompactionThreshold: 64, MaxCommandBytes: 1 << 16,
				StateMachine: &machine{jobstate.New(bounds), &world{}}})
			c.Step(1, message)
		}
	})
}

func TestHalfMessagesAreBounded(t *testing.T) {
	from, to := jobreplica.NewFragmenter("test", 1, 1<<16), jobreplica.NewFragmenter("test", 2, 1<<16)
	for range 1000 {
		for i, datagram := range from.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 5000)}) {
			if i > 0 { // the first page is always lost
				if m, err := to.Reassemble(datagram); m != nil || err != nil {
					t.Fatal(m, err)
				}
			}
		}
	}
	if held := to.PartialBytes(); held > 1<<16+5000 || len(to.Tick(0)) != 0 {
		t.Errorf("%d bytes of half messages", held)
	}
	for i, datagram := range from.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 5000)}) {
		m, err := to.Reassemble(datagram)
		if err != nil || (m != nil) != (i == 4) {
			t.Errorf("page %d: %d bytes, %v", i, len(m), err)
		}
	}
}
