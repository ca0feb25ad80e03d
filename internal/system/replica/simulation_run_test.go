package replica

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// Flags of the simulations.
var (
	simSeed   = flag.Uint64("core.seed", 0, "run only this seed and log its events")
	loadSeeds = flag.Int("storm.seeds", 4, "number of seeds for each case under write load")
	simSeeds  = flag.Int("core.seeds", 300, "number of simulated clusters")
)

// Phases of a simulated run.
const (
	faultPhase    = 25 * time.Second
	recoveryPhase = 100 * time.Second // absent voters count as lost after a minute
)

// TestSimulatedCluster runs clusters in virtual time: the replicas of partition 0 with their state machines,
// membership plans and joins over modelled disks and a modelled network, with random faults and with operators that
// compete and repeat changes through any replica. The invariants are checked after each step, and the operators'
// history for linearizability.
func TestSimulatedCluster(t *testing.T) {
	if *simSeed != 0 {
		runSimulation(t, *simSeed, true)
		return
	}
	var all simStats
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= uint64(*simSeeds); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				all.add(&runSimulation(t, seed, false).stats.counters)
			})
		}
	})
	t.Log(&all)
	if *simSeeds >= 100 {
		all.checkCoverage(t)
	}
}

// runSimulation runs one seed and reports its failure.
func runSimulation(t *testing.T, seed uint64, verbose bool) *simulation {
	t.Helper()
	sim := newSimulation(seed)
	sim.verbose = verbose
	sim.runSeed()
	if sim.failure != "" {
		t.Errorf("%s\nreplay: go test ./internal/system/replica -run TestSimulatedCluster -core.seed %d -v", sim.failure, seed)
	}
	if verbose {
		t.Log(&sim.stats)
	}
	return sim
}

// runSeed runs from the bootstrap through faults and recovery to the final checks.
func (sim *simulation) runSeed() {
	defer func() {
		if r := recover(); r != nil && sim.failure == "" {
			sim.fail("panic: %v", r)
			panic(sim.failure)
		}
	}()
	sim.bootstrap()
	sim.runFor(faultPhase)
	sim.endFaults()
	sim.runUntil(recoveryPhase, sim.converged)
	sim.checkEnd()
}

// TestSimulationIsDeterministic checks that a failed seed can be replayed.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		a, b := runSimulation(t, seed, false), runSimulation(t, seed, false)
		if a.stats.counters != b.stats.counters || a.now != b.now {
			t.Errorf("seed %d: %v, then %v", seed, &a.stats, &b.stats)
		}
	}
}

// TestSimulationDetectsInjectedFaults disables one safeguard at a time, which the checks must detect.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	injections := map[string]func(sim *simulation){
		"messages before their writes":     func(sim *simulation) { sim.injected.sendsBeforeSync = true },
		"a wiped disk keeps its identity":  func(sim *simulation) { sim.injected.reusesIdentity = true },
		"requests that come again are new": func(sim *simulation) { sim.injected.changesDigests = true },
		"reads without a barrier":          func(sim *simulation) { sim.injected.skipsBarrier = true },
		"a stalled disk keeps leading":     func(sim *simulation) { sim.injected.leadsWhileStalled = true },
		"late evacuations are carried out": func(sim *simulation) { sim.injected.acceptsLateOrders = true },
		"orders without effect are free":   func(sim *simulation) { sim.injected.skipsNoopOrders = true },
	}
	for name, inject := range injections {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 200; seed++ {
				sim := newSimulation(seed)
				inject(sim)
				sim.runSeed()
				if sim.failure != "" {
					t.Log(sim.failure)
					return
				}
			}
			t.Error("not detected in 200 seeds")
		})
	}
}
