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
	followingSeeds     = 12
	followingLinkDelay = 30 * time.Millisecond // one way, between a follower and any machine
	// versionTimeout is how long it takes at most until a version that the others put in force is at a follower whose machine
	// is in trouble: the time until that machine is stale, with an election time in which its leader goes on without a
	// majority, or until a call to it has been silent; and the questions to others.
	versionTimeout = 3 * time.Second
)

// followingAgent is an agent that chooses the machine it follows as agents do. Its own links are always there.
type followingAgent struct {
	world      *simulation
	selector   *upstream.Selector
	table      *feed.Table
	attempts   uint64                   // calls made
	receivedAt map[uint64]time.Duration // by index: when it was held
}

func (w *simulation) addFollower() *followingAgent {
	f := &followingAgent{world: w, selector: upstream.New(upstream.Options{}, w.now),
		table: feed.NewTable(feed.ConfigurationPartition), receivedAt: map[uint64]time.Duration{}}
	w.schedule(0, f.nextAttempt)
	return f
}

// nextAttempt makes the next call, or waits for its time.
func (f *followingAgent) nextAttempt() {
	w := f.world
	var candidates []netip.AddrPort
	for _, s := range w.activeMachines() {
		candidates = append(candidates, s.address())
	}
	f.selector.SetCandidates(candidates)
	question, pause := f.selector.Next(w.now)
	if pause > 0 {
		w.schedule(pause, f.nextAttempt)
		return
	}
	f.attempt(question)
}

// attempt makes a call. It fails where no answer comes in time.
func (f *followingAgent) attempt(question upstream.Request) {
	w := f.world
	f.attempts++
	call, slot := f.attempts, w.byAddress[question.Address]
	patience := question.Timeout
	if slot.process == nil {
		patience = question.DialTimeout
	}
	w.schedule(patience, func() {
		if f.attempts == call {
			f.attempts++
			f.selector.HandleFailure(w.now, question.Address)
			f.nextAttempt()
		}
	})
	w.schedule(followingLinkDelay, func() {
		if p := slot.process; p != nil {
			p.execute(func() { f.serve(p, question, call) })
		}
	})
}

// serve is what following.Server does with a call.
func (f *followingAgent) serve(p *simProcess, question upstream.Request, call uint64) {
	position := f.table.Index()
	answer := func() {
		batch := p.state.Since(position, 0)
		age := elapsedSince(p.group.node.Status().CaughtUpAt, p.clock())
		f.world.schedule(followingLinkDelay, func() { f.handleReply(question.Address, call, batch, age) })
	}
	wait := question.Wait
	if question.Current.Contains(feed.ConfigurationPartition) {
		age := elapsedSince(p.group.node.Status().CaughtUpAt, p.clock())
		wait = min(wait, max(0, feed.StaleAfter-age)+10*time.Millisecond)
	}
	p.waitUntil(p.clock()+wait, func() bool {
		if p.state.Since(position, 0).To <= position {
			return false
		}
		answer()
		return true
	}, answer)
}

// handleReply takes an answer, unless the call has failed meanwhile.
func (f *followingAgent) handleReply(from netip.AddrPort, call uint64, batch feed.Batch, age time.Duration) {
	if f.attempts != call {
		return
	}
	f.attempts++
	w := f.world
	before := f.table.Index()
	var lagging feed.PartitionSet
	if batch.To < before {
		lagging = feed.NewPartitionSet(feed.ConfigurationPartition)
	}
	f.table.Apply(w.now, batch)
	for _, link := range w.oracle.versions {
		if link.index > before && link.index <= f.table.Index() {
			f.receivedAt[link.index] = w.now
		}
	}
	f.selector.HandleReply(w.now, from, upstream.Reply{Ages: []time.Duration{age}, Lagging: lagging})
	f.nextAttempt()
}

// measureVersionDelays plays a core of five whose operators change the configuration all the time and avoid one machine, that which an
// agent follows, when something happens to it for 20 s. It returns how long each version took from its being in force to
// the agent.
func measureVersionDelays(t *testing.T, seed uint64, leads bool, happens func(w *simulation, s *simMachine)) []time.Duration {
	t.Helper()
	w := newSimulation(seed)
	w.profile.Machines, w.profile.Operators, w.profile.Loss, w.profile.SyncTime = 5, 3, 0, 5*time.Millisecond
	w.profile.ThinkTime, w.faultsEnabled = 200*time.Millisecond, false
	w.bootstrap()
	for _, o := range w.operators {
		o.unlimited = true
	}
	w.runFor(scenarioWarmup)
	p := w.leader()
	if p == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioWarmup)
	}
	followed := p.slot
	if !leads {
		followed = w.machines[(p.slot.number+1)%len(w.machines)]
	}
	w.machines[0], w.machines[followed.number] = w.machines[followed.number], w.machines[0] // the nearest to the agent
	f := w.addFollower()
	w.runFor(5 * time.Second)
	if address, follows := f.selector.Followed(); !follows || address != followed.address() {
		t.Fatalf("seed %d: %v is followed, want %v", seed, address, followed.address())
	}
	for _, o := range w.operators {
		o.avoid = followed
	}
	began := w.now
	happens(w, followed)
	w.runFor(partitionDuration + 5*time.Second)
	until := w.now - versionTimeout
	w.runFor(time.Second)
	if w.failure != "" {
		t.Fatal(w.failure)
	}
	var delays []time.Duration
	for _, link := range w.oracle.versions {
		if link.committedAt < began || link.committedAt > until {
			continue
		}
		at, held := f.receivedAt[link.index]
		if !held {
			t.Fatalf("seed %d: version %d, in force at %v, never came", seed, link.request.version, link.committedAt)
		}
		delays = append(delays, at-link.committedAt)
	}
	return delays
}

// TestAgentFailsOverFromFaultyReplica: an agent whose control machine is cut off from the others, frozen or killed
// gets what the others agree on from them.
func TestAgentFailsOverFromFaultyReplica(t *testing.T) {
	cut := func(in, out bool) func(w *simulation, s *simMachine) {
		return func(w *simulation, s *simMachine) {
			for _, other := range w.machines {
				if in {
					w.block(other, s, partitionDuration)
				}
				if out {
					w.block(s, other, partitionDuration)
				}
			}
		}
	}
	cases := []struct {
		name    string
		happens func(w *simulation, s *simMachine)
	}{
		{"nothing happens", func(*simulation, *simMachine) {}},
		{"it is cut off", cut(true, true)},
		{"it hears nothing", cut(true, false)},
		{"it is not heard", cut(false, true)},
		{"it freezes", func(w *simulation, s *simMachine) { w.pause(s, partitionDuration) }},
		{"it is killed", func(w *simulation, s *simMachine) { w.restart(s, partitionDuration) }},
	}
	for _, c := range cases {
		for role, leads := range map[string]bool{"leader": true, "follower": false} {
			t.Run(c.name+", a "+role, func(t *testing.T) {
				t.Parallel()
				var delays []time.Duration
				for seed := uint64(1); seed <= followingSeeds; seed++ {
					ofSeed := measureVersionDelays(t, seed, leads, c.happens)
					if worst := slices.Max(ofSeed); worst > versionTimeout {
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
