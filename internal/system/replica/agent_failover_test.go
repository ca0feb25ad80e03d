package replica

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/agent/upstream"
	"cinderroad/internal/system/feed"
)

// Parameters of TestAgentFailsOverFromFaultyReplica.
const (
	followingSeeds     = 12
	followingLinkDelay = 30 * time.Millisecond // one way, between an agent and any machine
	// versionTimeout limits the time from a commit by the others to an agent whose machine is faulty: the time until that
	// machine is stale, with an election timeout in which its leader goes on without a majority, or until a call to it
	// times out; and the calls to others.
	versionTimeout = 3 * time.Second
)

// followingAgent is an agent that selects its upstream machine with upstream.Selector, as real agents do. Its own
// links never fail.
type followingAgent struct {
	sim        *simulation
	selector   *upstream.Selector
	table      *feed.Table
	attempts   uint64                   // number of calls, of which the last may be in flight
	receivedAt map[uint64]time.Duration // by index, when the agent had it
}

// addFollower adds a following agent.
func (sim *simulation) addFollower() *followingAgent {
	agent := &followingAgent{
		sim:        sim,
		selector:   upstream.New(upstream.Options{}, sim.now),
		table:      feed.NewTable(feed.ConfigurationPartition),
		receivedAt: map[uint64]time.Duration{},
	}
	sim.schedule(0, agent.nextAttempt)
	return agent
}

// nextAttempt makes the next call, now or when it is due.
func (f *followingAgent) nextAttempt() {
	sim := f.sim
	var candidates []netip.AddrPort
	for _, machine := range sim.activeMachines() {
		candidates = append(candidates, machine.address())
	}
	f.selector.SetCandidates(candidates)
	request, pause := f.selector.Next(sim.now)
	if pause > 0 {
		sim.schedule(pause, f.nextAttempt)
		return
	}
	f.attempt(request)
}

// attempt makes a call, which fails if no reply arrives in time.
func (f *followingAgent) attempt(request upstream.Request) {
	sim := f.sim
	f.attempts++
	call := f.attempts
	machine := sim.byAddress[request.Address]
	timeout := request.Timeout
	if machine.process == nil {
		timeout = request.DialTimeout
	}
	sim.schedule(timeout, func() {
		if f.attempts == call {
			f.attempts++
			f.selector.HandleFailure(sim.now, request.Address)
			f.nextAttempt()
		}
	})
	sim.schedule(followingLinkDelay, func() {
		if process := machine.process; process != nil {
			process.execute(func() { f.serve(process, request, call) })
		}
	})
}

// serve models the feed server's side of a call.
func (f *followingAgent) serve(process *simProcess, request upstream.Request, call uint64) {
	position := f.table.Index()
	answer := func() {
		batch := process.state.Since(position, 0)
		age := elapsedSince(process.group.node.Status().CaughtUpAt, process.clock())
		f.sim.schedule(followingLinkDelay, func() { f.handleReply(request.Address, call, batch, age) })
	}
	wait := request.Wait
	if request.Current.Contains(feed.ConfigurationPartition) {
		age := elapsedSince(process.group.node.Status().CaughtUpAt, process.clock())
		wait = min(wait, max(0, feed.StaleAfter-age)+10*time.Millisecond)
	}
	process.waitUntil(process.clock()+wait, func() bool {
		if process.state.Since(position, 0).To <= position {
			return false
		}
		answer()
		return true
	}, answer)
}

// handleReply handles a reply unless the call has failed meanwhile.
func (f *followingAgent) handleReply(from netip.AddrPort, call uint64, batch feed.Batch, age time.Duration) {
	if f.attempts != call {
		return
	}
	f.attempts++
	sim := f.sim
	before := f.table.Index()
	var lagging feed.PartitionSet
	if batch.To < before {
		lagging = feed.NewPartitionSet(feed.ConfigurationPartition)
	}
	f.table.Apply(sim.now, batch)
	for _, version := range sim.oracle.versions {
		if version.index > before && version.index <= f.table.Index() {
			f.receivedAt[version.index] = sim.now
		}
	}
	f.selector.HandleReply(sim.now, from, upstream.Reply{Ages: []time.Duration{age}, Lagging: lagging})
	f.nextAttempt()
}

// measureVersionDelays runs a cluster of five whose operators change the configuration all the time, and injects a
// fault into the machine that an agent follows and that the operators avoid. It returns how long each version took
// from its commit to the agent.
func measureVersionDelays(t *testing.T, seed uint64, leads bool, inject func(sim *simulation, s *simMachine)) []time.Duration {
	t.Helper()
	sim := newScenario(seed)
	sim.profile.Operators = 3
	sim.profile.ThinkTime = 200 * time.Millisecond
	sim.bootstrapBusy()
	followed := sim.warmUp(t)
	if !leads {
		followed = sim.machines[(followed.index+1)%len(sim.machines)]
	}
	sim.machines[0], sim.machines[followed.index] = sim.machines[followed.index], sim.machines[0] // the agent prefers the first one
	agent := sim.addFollower()
	sim.runFor(5 * time.Second)
	if address, follows := agent.selector.Followed(); !follows || address != followed.address() {
		t.Fatalf("seed %d: %v is followed, want %v", seed, address, followed.address())
	}
	for _, operator := range sim.operators {
		operator.avoid = followed
	}
	began := sim.now
	inject(sim, followed)
	sim.runFor(partitionDuration + 5*time.Second)
	until := sim.now - versionTimeout
	sim.runFor(time.Second)
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
	var delays []time.Duration
	for _, version := range sim.oracle.versions {
		if version.committedAt < began || version.committedAt > until {
			continue
		}
		at, held := agent.receivedAt[version.index]
		if !held {
			t.Fatalf("seed %d: version %d, committed at %v, never arrived", seed, version.request.version, version.committedAt)
		}
		delays = append(delays, at-version.committedAt)
	}
	return delays
}

// TestAgentFailsOverFromFaultyReplica checks that an agent whose control machine is partitioned, paused or killed
// receives what the others commit from one of them.
func TestAgentFailsOverFromFaultyReplica(t *testing.T) {
	cut := func(in, out bool) func(sim *simulation, machine *simMachine) {
		return func(sim *simulation, machine *simMachine) {
			sim.blockAll(machine, in, out, partitionDuration)
		}
	}
	cases := []struct {
		name   string
		inject func(sim *simulation, machine *simMachine)
	}{
		{"nothing happens", func(*simulation, *simMachine) {}},
		{"it is cut off", cut(true, true)},
		{"it hears nothing", cut(true, false)},
		{"it is not heard", cut(false, true)},
		{"it freezes", func(sim *simulation, machine *simMachine) { sim.pause(machine, partitionDuration) }},
		{"it is killed", func(sim *simulation, machine *simMachine) { sim.restart(machine, partitionDuration) }},
	}
	for _, test := range cases {
		for role, leads := range map[string]bool{"leader": true, "follower": false} {
			t.Run(test.name+", a "+role, func(t *testing.T) {
				t.Parallel()
				var delays []time.Duration
				for seed := uint64(1); seed <= followingSeeds; seed++ {
					ofSeed := measureVersionDelays(t, seed, leads, test.inject)
					if worst := slices.Max(ofSeed); worst > versionTimeout {
						t.Errorf("seed %d: a version took %v", seed, worst)
					}
					delays = append(delays, ofSeed...)
				}
				slices.Sort(delays)
				t.Logf("%s, a %s, %d versions: p50 %v, p99 %v, worst %v", test.name, role, len(delays), delays[len(delays)/2],
					delays[len(delays)*99/100], delays[len(delays)-1])
			})
		}
	}
}
