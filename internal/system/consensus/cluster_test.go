package consensus

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "play only this seed of the cluster simulation, and tell what happens")
	seedsFlag = flag.Int("seeds", 240, "how many seeds of the cluster simulation are played")
)

// TestCluster runs clusters in virtual time under random faults and checks the invariants after each step.
func TestCluster(t *testing.T) {
	if *seedFlag != 0 {
		runSimulation(t, *seedFlag, true)
		return
	}
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSimulation(t, seed, false)
		})
	}
}

func runSimulation(t *testing.T, seed uint64, verbose bool) {
	t.Helper()
	sim := newSimulation(seed)
	sim.verbose = verbose
	defer func() {
		if r := recover(); r != nil {
			sim.fail("panic: %v", r)
		}
		if sim.failure == "" {
			return
		}
		t.Errorf("%s\nreplay: go test ./internal/system/consensus -run TestCluster -seed %d -v", sim.failure, seed)
	}()
	sim.start()
	sim.run(40 * time.Second)
	sim.endFaults()
	sim.run(30 * time.Second)
	sim.checkRecovered()
	if verbose {
		for _, p := range sim.processes() {
			node := p.node
			t.Logf("%d: %+v due %v now %v queue %d frozen %v offset %d",
				p.id, node.Status(), node.NextTick(), p.clock(), len(p.pendingReadies), p.frozen, node.log.offset)
		}
		t.Logf("%d steps, %d committed, %d terms, %d reads, %+v", sim.steps, len(sim.observed.committed), len(sim.observed.leadersByTerm),
			sim.observed.completedReads, sim.profile)
	}
}
