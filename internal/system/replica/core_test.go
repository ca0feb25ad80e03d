package replica

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	coreSeed   = flag.Uint64("core.seed", 0, "play only this seed of the control core, and tell what happens")
	stormSeeds = flag.Int("storm.seeds", 4, "how many seeds of each storm of changes are played")
	coreSeeds  = flag.Int("core.seeds", 300, "how many seeds of the control core are played")
)

const (
	coreTrouble = 25 * time.Second
	coreHealing = 100 * time.Second // members that are gone are forgotten after a minute
)

// TestControlCore plays cores in virtual time: the replicas of partition 0 with their state machines, plans and joins over
// modelled disks and a modelled network, drawn faults, and operators that race each other and send changes again through
// any replica. What has to hold is checked after each step, and the operators' history for linearizability.
func TestControlCore(t *testing.T) {
	if *coreSeed != 0 {
		playCore(t, *coreSeed, true)
		return
	}
	var all coreCounts
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= uint64(*coreSeeds); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				all.add(&playCore(t, seed, false).counts.numbers)
			})
		}
	})
	t.Log(&all)
	if *coreSeeds >= 100 {
		all.checkUseful(t)
	}
}

func playCore(t *testing.T, seed uint64, verbose bool) *coreWorld {
	w := newCoreWorld(seed)
	w.verbose = verbose
	w.play()
	if w.failed != "" {
		t.Errorf("%s\nreplay: go test ./internal/system/replica -run TestControlCore -core.seed %d -v", w.failed, seed)
	}
	if verbose {
		t.Log(&w.counts)
	}
	return w
}

// play runs a world from its founding to its end.
func (w *coreWorld) play() {
	defer func() {
		if r := recover(); r != nil && w.failed == "" {
			w.fail("panic: %v", r)
			panic(w.failed)
		}
	}()
	w.found()
	w.run(coreTrouble)
	w.heal()
	w.runUntil(coreHealing, w.settled)
	w.checkEnd()
}

// TestSameSeedIsSameCore: a seed that failed replays.
func TestSameSeedIsSameCore(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		a, b := playCore(t, seed, false), playCore(t, seed, false)
		if a.counts.numbers != b.counts.numbers || a.now != b.now {
			t.Errorf("seed %d: %v, then %v", seed, &a.counts, &b.counts)
		}
	}
}

// TestPlantedFaultsOfCore takes one safeguard out at a time, which has to be found.
func TestPlantedFaultsOfCore(t *testing.T) {
	plants := map[string]func(w *coreWorld){
		"messages before their writes":     func(w *coreWorld) { w.plant.earlyMessages = true },
		"a wiped disk keeps its identity":  func(w *coreWorld) { w.plant.sameIdentity = true },
		"requests that come again are new": func(w *coreWorld) { w.plant.forgetful = true },
		"reads without a barrier":          func(w *coreWorld) { w.plant.staleReads = true },
		"a stalled disk keeps leading":     func(w *coreWorld) { w.plant.stubborn = true },
		"late evacuations are carried out": func(w *coreWorld) { w.plant.lateOrders = true },
		"orders without effect are free":   func(w *coreWorld) { w.plant.idleOrders = true },
	}
	for name, plant := range plants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 200; seed++ {
				w := newCoreWorld(seed)
				plant(w)
				w.play()
				if w.failed != "" {
					t.Log(w.failed)
					return
				}
			}
			t.Error("not found in 200 seeds")
		})
	}
}
