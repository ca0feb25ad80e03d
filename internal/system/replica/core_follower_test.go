package replica

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/agent/upstream"
	"cinderroad/internal/system/feed"
)

const (
	followerRuns  = 12
	followerDelay = 30 * time.Millisecond // one way, between a follower and any machine
	// versionWithin is how long it takes at most until a version that the others put in force is at a follower whose machine
	// is in trouble: the time until that machine is stale, with an election time in which its leader goes on without a
	// majority, or until a call to it has been silent; and the questions to others.
	versionWithin = 3 * time.Second
)

// coreFollower is an agent that chooses the machine it follows as agents do. Its own links are always there.
type coreFollower struct {
	world    *coreWorld
	selector *upstream.Selector
	table    *feed.Table
	asked    uint64                   // calls made
	arrived  map[uint64]time.Duration // by index: when it was held
}

func (w *coreWorld) addFollower() *coreFollower {
	f := &coreFollower{world: w, selector: upstream.New(upstream.Options{}, w.now),
		table: feed.NewTable(feed.ConfigurationPartition), arrived: map[uint64]time.Duration{}}
	w.after(0, f.next)
	return f
}

// next makes the next call, or waits for its time.
func (f *coreFollower) next() {
	w := f.world
	var candidates []netip.AddrPort
	for _, s := range w.inUse() {
		candidates = append(candidates, s.address())
	}
	f.selector.SetCandidates(candidates)
	question, pause := f.selector.Next(w.now)
	if pause > 0 {
		w.after(pause, f.next)
		return
	}
	f.ask(question)
}

// ask makes a call. It fails where no answer comes in time.
func (f *coreFollower) ask(question upstream.Request) {
	w := f.world
	f.asked++
	call, slot := f.asked, w.byPort[question.Address]
	patience := question.Timeout
	if slot.process == nil {
		patience = question.DialTimeout
	}
	w.after(patience, func() {
		if f.asked == call {
			f.asked++
			f.selector.HandleFailure(w.now, question.Address)
			f.next()
		}
	})
	w.after(followerDelay, func() {
		if p := slot.process; p != nil {
			p.do(func() { f.serve(p, question, call) })
		}
	})
}

// serve is what following.Server does with a call.
func (f *coreFollower) serve(p *coreProcess, question upstream.Request, call uint64) {
	position := f.table.Index()
	answer := func() {
		batch := p.state.Since(position, 0)
		age := elapsedSince(p.group.node.Status().CaughtUpAt, p.clock())
		f.world.after(followerDelay, func() { f.take(question.Address, call, batch, age) })
	}
	wait := question.Wait
	if question.Current.Contains(feed.ConfigurationPartition) {
		age := elapsedSince(p.group.node.Status().CaughtUpAt, p.clock())
		wait = min(wait, max(0, feed.StaleAfter-age)+10*time.Millisecond)
	}
	p.await(p.clock()+wait, func() bool {
		if p.state.Since(position, 0).To <= position {
			return false
		}
		answer()
		return true
	}, answer)
}

// take takes an answer, unless the call has failed meanwhile.
func (f *coreFollower) take(from netip.AddrPort, call uint64, batch feed.Batch, age time.Duration) {
	if f.asked != call {
		return
	}
	f.asked++
	w := f.world
	before := f.table.Index()
	var lagging feed.PartitionSet
	if batch.To < before {
		lagging = feed.NewPartitionSet(feed.ConfigurationPartition)
	}
	f.table.Apply(w.now, batch)
	for _, link := range w.truth.chain {
		if link.index > before && link.index <= f.table.Index() {
			f.arrived[link.index] = w.now
		}
	}
	f.selector.HandleReply(w.now, from, upstream.Reply{Ages: []time.Duration{age}, Lagging: lagging})
	f.next()
}

// delaysOf plays a core of five whose operators change the configuration all the time and avoid one machine, that which an
// agent follows, when something happens to it for 20 s. It returns how long each version took from its being in force to
// the agent.
func delaysOf(t *testing.T, seed uint64, leads bool, happens func(w *coreWorld, s *coreSlot)) []time.Duration {
	t.Helper()
	w := newCoreWorld(seed)
	w.profile.Machines, w.profile.Operators, w.profile.Loss, w.profile.SyncTime = 5, 3, 0, 5*time.Millisecond
	w.profile.Think, w.faults = 200*time.Millisecond, false
	w.found()
	for _, o := range w.operators {
		o.tireless = true
	}
	w.run(scenarioQuiet)
	p := w.leader()
	if p == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioQuiet)
	}
	followed := p.slot
	if !leads {
		followed = w.slots[(p.slot.number+1)%len(w.slots)]
	}
	w.slots[0], w.slots[followed.number] = w.slots[followed.number], w.slots[0] // the nearest to the agent
	f := w.addFollower()
	w.run(5 * time.Second)
	if address, follows := f.selector.Followed(); !follows || address != followed.address() {
		t.Fatalf("seed %d: %v is followed, want %v", seed, address, followed.address())
	}
	for _, o := range w.operators {
		o.avoid = followed
	}
	began := w.now
	happens(w, followed)
	w.run(cutLasts + 5*time.Second)
	until := w.now - versionWithin
	w.run(time.Second)
	if w.failed != "" {
		t.Fatal(w.failed)
	}
	var delays []time.Duration
	for _, link := range w.truth.chain {
		if link.at < began || link.at > until {
			continue
		}
		at, held := f.arrived[link.index]
		if !held {
			t.Fatalf("seed %d: version %d, in force at %v, never came", seed, link.request.version, link.at)
		}
		delays = append(delays, at-link.at)
	}
	return delays
}

// TestVersionsReachAgentsPastAMachineInTrouble: an agent whose control machine is cut off from the others, frozen or killed
// gets what the others agree on from them.
func TestVersionsReachAgentsPastAMachineInTrouble(t *testing.T) {
	cut := func(in, out bool) func(w *coreWorld, s *coreSlot) {
		return func(w *coreWorld, s *coreSlot) {
			for _, other := range w.slots {
				if in {
					w.setCut(other, s, cutLasts)
				}
				if out {
					w.setCut(s, other, cutLasts)
				}
			}
		}
	}
	cases := []struct {
		name    string
		happens func(w *coreWorld, s *coreSlot)
	}{
		{"nothing happens", func(*coreWorld, *coreSlot) {}},
		{"it is cut off", cut(true, true)},
		{"it hears nothing", cut(true, false)},
		{"it is not heard", cut(false, true)},
		{"it freezes", func(w *coreWorld, s *coreSlot) { w.freeze(s, cutLasts) }},
		{"it is killed", func(w *coreWorld, s *coreSlot) { w.restart(s, cutLasts) }},
	}
	for _, c := range cases {
		for role, leads := range map[string]bool{"leader": true, "follower": false} {
			t.Run(c.name+", a "+role, func(t *testing.T) {
				t.Parallel()
				var delays []time.Duration
				for seed := uint64(1); seed <= followerRuns; seed++ {
					ofSeed := delaysOf(t, seed, leads, c.happens)
					if worst := slices.Max(ofSeed); worst > versionWithin {
						t.Errorf("seed %d: a version took %v", seed, worst)
					}
					delays = append(delays, ofSeed...)
				}
				slices.Sort(delays)
				t.Logf("%s, a %s, %d versions: p50 %v, p99 %v, worst %v", c.name, role, len(delays), delays[len(delays)/2],
					delays[len(delays)*99/100], delays[len(delays)-1])
			})
		}
	}
}
