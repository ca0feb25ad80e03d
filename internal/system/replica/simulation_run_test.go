package replica

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	simSeed   = flag.Uint64("core.seed", 0, "play only this seed of the control core, and tell what happens")
	loadSeeds = flag.Int("storm.seeds", 4, "how many seeds of each storm of changes are played")
	simSeeds  = flag.Int("core.seeds", 300, "how many seeds of the control core are played")
)

const (
	faultPhase    = 25 * time.Second
	recoveryPhase = 100 * time.Second // members that are gone are forgotten after a minute
)

// TestSimulatedCluster plays cores in virtual time: the replicas of partition 0 with their state machines, plans and joins over
// modelled disks and a modelled network, drawn faults, and operators that race each other and send changes again through
// any replica. What has to hold is checked after each step, and the operators' history for linearizability.
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

func runSimulation(t *testing.T, seed uint64, verbose bool) *simulation {
	sim := newSimulation(seed)
	sim.verbose = verbose
	sim.runSeed()
	if sim.failure != "" {
		t.Errorf("%s\nreplay: go test ./internal/system/replica -run TestControlCore -core.seed %d -v", sim.failure, seed)
	}
	if verbose {
		t.Log(&sim.stats)
	}
	return sim
}

// runSeed runs a world from its founding to its end.
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

// TestSimulationIsDeterministic: a seed that failed replays.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		a, b := runSimulation(t, seed, false), runSimulation(t, seed, false)
		if a.stats.counters != b.stats.counters || a.now != b.now {
			t.Errorf("seed %d: %v, then %v", seed, &a.stats, &b.stats)
		}
	}
}

// TestSimulationDetectsInjectedFaults takes one safeguard out at a time, which has to be found.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	plants := map[string]func(sim *simulation){
		"messages before their writes":     func(sim *simulation) { sim.injected.sendsBeforeSync = true },
		"a wiped disk keeps its identity":  func(sim *simulation) { sim.injected.reusesIdentity = true },
		"requests that come again are new": func(sim *simulation) { sim.injected.changesDigests = true },
		"reads without a barrier":          func(sim *simulation) { sim.injected.skipsBarrier = true },
		"a stalled disk keeps leading":     func(sim *simulation) { sim.injected.leadsWhileStalled = true },
		"late evacuations are carried out": func(sim *simulation) { sim.injected.acceptsLateOrders = true },
		"orders without effect are free":   func(sim *simulation) { sim.injected.skipsNoopOrders = true },
	}
	for name, plant := range plants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 200; seed++ {
				sim := newSimulation(seed)
				plant(sim)
				sim.runSeed()
				if sim.failure != "" {
					t.Log(sim.failure)
					return
				}
			}
			t.Error("not found in 200 seeds")
		})
	}
}
