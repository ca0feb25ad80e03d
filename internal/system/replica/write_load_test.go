package replica

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/control/state"
)

// Parameters of write loads.
const (
	loadStart       = 8 * time.Second // after the bootstrap
	loadWarmup      = 25 * time.Second
	loadInterval    = 100 * time.Millisecond // between two changes
	loadRetryAfter  = 3 * time.Second        // of a change that is not committed
	catchUpDeadline = 40 * time.Second       // after the fault

	megabit = 1e6 / 8 // bytes
)

// writeLoadCase is a cluster under write load with a fault.
type writeLoadCase struct {
	name       string
	machines   int
	routeBytes int     // of each of 500 routes
	bandwidth  float64 // of a machine's link, bytes a second
	limit      time.Duration
	inject     func(s *writeLoad)
}

// writeLoad changes the configuration all the time, one route in each version, and measures a machine that restarts.
type writeLoad struct {
	sim             *simulation
	routeBytes      int // of a route
	created         uint64
	proposedVersion uint64        // the last one proposed
	proposedAt      time.Duration // when
	proposedCommand []byte        // its command

	restarted     *simMachine
	bootedAt      time.Duration
	caughtUpAfter time.Duration // from its boot until it had what the others had committed; 0: not yet
	sentBytes     int           // sent by all links from its boot until then
}

// newWriteLoad returns a bootstrapped cluster whose load starts after loadStart.
func newWriteLoad(seed uint64, test *writeLoadCase) *writeLoad {
	sim := newSimulation(seed)
	sim.profile.Machines = test.machines
	sim.profile.Operators = 0
	sim.profile.Loss = 0
	sim.profile.EntryWeight = 0
	sim.profile.Bandwidth = test.bandwidth
	sim.profile.PaddingBytes = 0
	sim.profile.Delay = sim.uniform(5*time.Millisecond, 40*time.Millisecond)
	sim.profile.SyncTime = sim.uniform(time.Millisecond, 12*time.Millisecond)
	sim.faultsEnabled = false
	load := &writeLoad{sim: sim, routeBytes: test.routeBytes}
	sim.bootstrap()
	sim.agents = nil
	sim.schedule(loadStart, load.proposeNext)
	return load
}

// proposeNext proposes the next change once the one before is committed, and repeats it after loadRetryAfter.
func (load *writeLoad) proposeNext() {
	sim := load.sim
	sim.schedule(loadInterval, load.proposeNext)
	load.checkCaughtUp()
	process := sim.leader()
	if process == nil || process.state.Version() < load.proposedVersion && sim.now-load.proposedAt < loadRetryAfter {
		return
	}
	if process.state.Version() >= load.proposedVersion {
		routes := 1
		if process.state.Version() == 0 {
			routes = loadRoutes
		}
		load.proposedVersion = process.state.Version() + 1
		load.proposedCommand = load.command(process.state.Version(), routes)
	}
	load.proposedAt = sim.now
	process.execute(func() { process.group.propose(process.clock(), load.proposedCommand) })
}

// command returns a change of some routes.
func (load *writeLoad) command(base uint64, routes int) []byte {
	sim := load.sim
	load.created++
	request := simRequest{base: base, version: base + 1}
	binary.BigEndian.PutUint64(request.digest[:], load.created)
	commit := state.CommitConfiguration{
		BaseVersion: request.base,
		Version:     request.version,
		Digest:      request.digest,
		Writes:      []state.Write{{Key: ownerKey, Value: request.digest[:]}},
	}
	for i := range routes {
		value := make([]byte, load.routeBytes)
		binary.BigEndian.PutUint64(value, load.created)
		route := (int(load.created) + i) % loadRoutes
		commit.Writes = append(commit.Writes, state.Write{Key: fmt.Sprintf("route/%03d", route), Value: value})
	}
	command := commit.Encode()
	sim.oracle.commands[string(command)] = request
	return command
}

// checkCaughtUp notes when the restarted machine has all but the last changes.
func (load *writeLoad) checkCaughtUp() {
	sim := load.sim
	if load.restarted == nil || load.restarted.process == nil || load.caughtUpAfter > 0 {
		return
	}
	other := load.restarted.process
	fresh := elapsedSince(other.group.node.Status().CaughtUpAt, other.clock()) < time.Second
	if fresh && other.group.appliedIndex+maxPromotionLag >= sim.oracle.appliedIndex {
		load.caughtUpAfter = sim.now - load.bootedAt
		load.sentBytes = sim.sentBytes - load.sentBytes
	}
}

// follower draws a machine that does not lead.
func (load *writeLoad) follower() *simMachine {
	sim := load.sim
	for {
		machine := sim.randomMachine()
		if process := sim.leader(); process == nil || machine != process.machine {
			return machine
		}
	}
}

// restartAfter boots a machine after a while and starts to measure it.
func (load *writeLoad) restartAfter(machine *simMachine, down time.Duration) {
	sim := load.sim
	sim.schedule(down, func() {
		load.restarted = machine
		load.bootedAt = sim.now
		load.sentBytes = sim.sentBytes
		sim.boot(machine)
	})
}

// wipe kills a machine, empties its disk and restarts it.
func (load *writeLoad) wipe(machine *simMachine, down time.Duration) {
	machine.process.kill()
	machine.disk = &simDisk{}
	load.restartAfter(machine, down)
}

// powerCycle kills a machine and restarts it.
func (load *writeLoad) powerCycle(machine *simMachine, down time.Duration) {
	machine.process.kill()
	load.restartAfter(machine, down)
}

// play runs the load and the fault until the restarted machine has caught up, and reports failures.
func (load *writeLoad) play(t *testing.T, test *writeLoadCase) {
	t.Helper()
	sim := load.sim
	sim.runFor(loadWarmup)
	if sim.failure == "" && sim.leader() == nil {
		sim.fail("there is no leader")
	}
	if sim.failure == "" {
		test.inject(load)
		sim.runUntil(catchUpDeadline, func() bool { return load.caughtUpAfter > 0 })
	}
	if sim.failure == "" && load.caughtUpAfter == 0 {
		sim.fail("a machine is not caught up %v after its start", sim.now-load.bootedAt)
	}
	if sim.failure != "" {
		t.Errorf("%s\nreplay: go test ./internal/system/replica -run '%s' -core.seed %d", sim.failure, t.Name(), sim.seed)
	}
}

// TestCatchUpUnderWriteLoad checks that a machine that comes back while the configuration changes ten times a second
// catches up within catch_up_s, however large the configuration is and whatever happens to the sender.
func TestCatchUpUnderWriteLoad(t *testing.T) {
	wiped := func(load *writeLoad) { load.wipe(load.follower(), time.Second) }
	away := func(load *writeLoad) { load.powerCycle(load.follower(), 9*time.Second) }
	leaderLost := func(load *writeLoad) {
		load.wipe(load.follower(), time.Second)
		sim := load.sim
		sim.schedule(2500*time.Millisecond, func() {
			if process := sim.leader(); process != nil {
				sim.restart(process.machine, time.Minute)
			}
		})
	}
	const small, large = 200, 8 << 10
	cases := []writeLoadCase{
		{"wiped, 100 KB, 10 Mbit", 5, small, 10 * megabit, 4 * time.Second, wiped},
		{"wiped, 4 MB, 30 Mbit", 5, large, 30 * megabit, 4 * time.Second, wiped},
		{"wiped, 4 MB, 10 Mbit", 3, large, 10 * megabit, 6 * time.Second, wiped},
		{"away for 9 s, 4 MB, 10 Mbit", 5, large, 10 * megabit, 4 * time.Second, away},
		{"wiped, then its sender is killed, 4 MB, 30 Mbit", 5, large, 30 * megabit, 6 * time.Second, leaderLost},
	}
	for i := range cases {
		test := &cases[i]
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			seeds := []uint64{*simSeed}
			if *simSeed == 0 {
				seeds = nil
				for seed := uint64(1); seed <= uint64(*loadSeeds); seed++ {
					seeds = append(seeds, seed)
				}
			}
			var times []time.Duration
			var bytes []int
			for _, seed := range seeds {
				load := newWriteLoad(seed, test)
				load.sim.verbose = *simSeed != 0
				load.play(t, test)
				times = append(times, load.caughtUpAfter)
				bytes = append(bytes, load.sentBytes)
			}
			slices.Sort(times)
			slices.Sort(bytes)
			worst := times[len(times)-1]
			t.Logf("caught up after %v at the median of %d runs, %v at worst; %.1f MB sent, %.1f at worst",
				times[len(times)/2], len(times), worst, float64(bytes[len(bytes)/2])/(1<<20), float64(bytes[len(bytes)-1])/(1<<20))
			if worst > test.limit {
				t.Errorf("%v at worst; at most %v", worst, test.limit)
			}
		})
	}
}

// TestSlowLinkDetectsInjectedFaults disables the mechanisms by which large messages get over slow links, one at a
// time, and checks that the simulation notices.
func TestSlowLinkDetectsInjectedFaults(t *testing.T) {
	injections := map[string]func(sim *simulation){
		"a message has to be out within the write time-out": func(sim *simulation) { sim.injected.deadlinePerMessage = true },
		"heartbeats wait behind entries":                    func(sim *simulation) { sim.injected.singleConnection = true },
	}
	test := &writeLoadCase{machines: 5, routeBytes: 8 << 10, bandwidth: 10 * megabit}
	for name, inject := range injections {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := newWriteLoad(1, test)
			inject(load.sim)
			load.sim.runFor(loadWarmup)
			t.Logf("version %d is current", load.sim.oracle.versionAt(load.sim.oracle.appliedIndex))
			if load.sim.oracle.appliedIndex > 0 && load.sim.oracle.versionAt(load.sim.oracle.appliedIndex) > 0 {
				t.Error("not detected: a configuration of 4 MB was committed")
			}
		})
	}
}
