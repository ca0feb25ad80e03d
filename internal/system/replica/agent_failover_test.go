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
	sim        *simulation
	selector   *upstream.Selector
	table      *feed.Table
	attempts   uint64                   // calls made
	receivedAt map[uint64]time.Duration // by index: when it was held
}

func (sim *simulation) addFollower() *followingAgent {
	agent := &followingAgent{sim: sim, selector: upstream.New(upstream.Options{}, sim.now),
		table: feed.NewTable(feed.ConfigurationPartition), receivedAt: map[uint64]time.Duration{}}
	sim.schedule(0, agent.nextAttempt)
	return agent
}

// nextAttempt makes the next call, or waits for its time.
func (f *followingAgent) nextAttempt() {
	sim := f.sim
	var candidates []netip.AddrPort
	for _, machine := range sim.activeMachines() {
		candidates = append(candidates, machine.address())
	}
	f.selector.SetCandidates(candidates)
	question, pause := f.selector.Next(sim.now)
	if pause > 0 {
		sim.schedule(pause, f.nextAttempt)
		return
	}
	f.attempt(question)
}

// attempt makes a call. It fails where no answer comes in time.
func (f *followingAgent) attempt(question upstream.Request) {
	sim := f.sim
	f.attempts++
	call, machine := f.attempts, sim.byAddress[question.Address]
	timeout := question.Timeout
	if machine.process == nil {
		timeout = question.DialTimeout
	}
	sim.schedule(timeout, func() {
		if f.attempts == call {
			f.attempts++
			f.selector.HandleFailure(sim.now, question.Address)
			f.nextAttempt()
		}
	})
	sim.schedule(followingLinkDelay, func() {
		if process := machine.process; process != nil {
			process.execute(func() { f.serve(process, question, call) })
		}
	})
}

// serve is what following.Server does with a call.
func (f *followingAgent) serve(process *simProcess, question upstream.Request, call uint64) {
	position := f.table.Index()
	answer := func() {
		batch := process.state.Since(position, 0)
		age := elapsedSince(process.group.node.Status().CaughtUpAt, process.clock())
		f.sim.schedule(followingLinkDelay, func() { f.handleReply(question.Address, call, batch, age) })
	}
	wait := question.Wait
	if question.Current.Contains(feed.ConfigurationPartition) {
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

// handleReply takes an answer, unless the call has failed meanwhile.
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
	for _, link := range sim.oracle.versions {
		if link.index > before && link.index <= f.table.Index() {
			f.receivedAt[link.index] = sim.now
		}
	}
	f.selector.HandleReply(sim.now, from, upstream.Reply{Ages: []time.Duration{age}, Lagging: lagging})
	f.nextAttempt()
}

// measureVersionDelays plays a core of five whose operators change the configuration all the time and avoid one machine, that which an
// agent follows, when something happens to it for 20 s. It returns how long each version took from its being in force to
// the agent.
func measureVersionDelays(t *testing.T, seed uint64, leads bool, happens func(sim *simulation, s *simMachine)) []time.Duration {
	t.Helper()
	sim := newSimulation(seed)
	sim.profile.Machines, sim.profile.Operators, sim.profile.Loss, sim.profile.SyncTime = 5, 3, 0, 5*time.Millisecond
	sim.profile.ThinkTime, sim.faultsEnabled = 200*time.Millisecond, false
	sim.bootstrap()
	for _, operator := range sim.operators {
		operator.unlimited = true
	}
	sim.runFor(scenarioWarmup)
	process := sim.leader()
	if process == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioWarmup)
	}
	followed := process.machine
	if !leads {
		followed = sim.machines[(process.machine.index+1)%len(sim.machines)]
	}
	sim.machines[0], sim.machines[followed.index] = sim.machines[followed.index], sim.machines[0] // the nearest to the agent
	agent := sim.addFollower()
	sim.runFor(5 * time.Second)
	if address, follows := agent.selector.Followed(); !follows || address != followed.address() {
		t.Fatalf("seed %d: %v is followed, want %v", seed, address, followed.address())
	}
	for _, operator := range sim.operators {
		operator.avoid = followed
	}
	began := sim.now
	happens(sim, followed)
	sim.runFor(partitionDuration + 5*time.Second)
	until := sim.now - versionTimeout
	sim.runFor(time.Second)
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
	var delays []time.Duration
	for _, link := range sim.oracle.versions {
		if link.committedAt < began || link.committedAt > until {
			continue
		}
		at, held := agent.receivedAt[link.index]
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
	cut := func(in, out bool) func(sim *simulation, machine *simMachine) {
		return func(sim *simulation, machine *simMachine) {
			for _, other := range sim.machines {
				if in {
					sim.block(other, machine, partitionDuration)
				}
				if out {
					sim.block(machine, other, partitionDuration)
				}
			}
		}
	}
	cases := []struct {
		name    string
		happens func(sim *simulation, machine *simMachine)
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
					ofSeed := measureVersionDelays(t, seed, leads, test.happens)
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
