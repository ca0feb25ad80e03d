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

// TestCluster plays clusters in virtual time under drawn faults and checks after each step what has to hold.
func TestCluster(t *testing.T) {
	if *seedFlag != 0 {
		playCluster(t, *seedFlag, true)
		return
	}
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playCluster(t, seed, false)
		})
	}
}

func playCluster(t *testing.T, seed uint64, verbose bool) {
	w := newWorld(seed)
	w.verbose = verbose
	defer func() {
		if r := recover(); r != nil {
			w.fail("panic: %v", r)
		}
		if w.failed == "" {
			return
		}
		t.Errorf("%s\nreplay: go test ./internal/system/consensus -run TestCluster -seed %d -v", w.failed, seed)
	}()
	w.start()
	w.run(40 * time.Second)
	w.heal()
	w.run(30 * time.Second)
	w.checkHealed()
	if verbose {
		for _, p := range w.processes() {
			m := p.machine
			t.Logf("%d: %+v due %v now %v queue %d frozen %v offset %d", p.id, m.Status(), m.NextTick(), p.clock(), len(p.queue),
				p.frozen, m.log.offset)
		}
		t.Logf("%d steps, %d committed, %d terms, %d reads, %+v", w.steps, len(w.truth.committed), len(w.truth.leaders),
			w.truth.reads, w.profile)
	}
}
