package jobreplica_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobstate"
)

var seeds = flag.Int("fleet.seeds", 40, "drawn runs of faults")

// runWithFaults submits jobs of all effects under faults drawn from a seed: loss, one-way and full partitions, pauses, and kills of
// no more voters at once than a minority.
func runWithFaults(seed uint64, configure func(sim *simulation)) error {
	rng := rand.New(rand.NewPCG(seed, 9))
	replicas := 3 + 2*rng.IntN(2)
	sim := newSimulation(seed, replicas+2+rng.IntN(3), replicas)
	if configure != nil {
		configure(sim)
	}
	sim.dispatchJobs()
	sim.runUntil(sim.now + 4)
	for i := range 12 {
		sim.submitJob(fmt.Sprint("k", i), jobstate.Effect(i%3))
		if i%3 == 2 {
			sim.injectFault(rng)
			sim.runUntil(sim.now + 1 + 11*rng.Float64())
		}
	}
	return sim.finishAndCheck()
}

// injectFault starts a fault that ends by itself.
func (sim *simulation) injectFault(rng *rand.Rand) {
	i := rng.IntN(len(sim.hosts))
	host := sim.hosts[i]
	end := sim.now + 0.5 + 9*rng.Float64()
	switch rng.IntN(6) {
	case 0:
		sim.dropRate = 0.3 * rng.Float64()
		sim.schedule(end, func() { sim.dropRate = 0 })
	case 1:
		sim.partitioned = func(from, to int) bool { return from == i } // one way
		sim.schedule(end, func() { sim.partitioned = nil })
	case 2:
		island := 1 + rng.IntN(len(sim.hosts)-1)
		sim.partitioned = func(from, to int) bool { return (from < island) != (to < island) }
		sim.schedule(end, func() { sim.partitioned = nil })
	case 3:
		if host.replica != nil {
			host.paused = true
			sim.schedule(end, func() {
				if host.paused {
					sim.resume(host)
				}
			})
		}
	default:
		if host.replica != nil && sim.allVotersRunning() {
			sim.kill(host)
			sim.schedule(end, func() {
				if host.replica == nil {
					sim.startHost(host)
				}
			})
		}
	}
}

// allVotersRunning reports whether all voters run: only then may another one be killed.
func (sim *simulation) allVotersRunning() bool {
	running := map[uint64]bool{}
	for _, host := range sim.hosts {
		if host.replica != nil && !host.paused {
			running[host.member.ID] = true
		}
	}
	for _, host := range sim.hosts {
		if host.replica != nil && host.replica.IsLeader() {
			voters, _ := host.replica.Members()
			for _, m := range voters {
				if !running[m.ID] {
					return false
				}
			}
			return true
		}
	}
	return false
}

func TestAcknowledgedJobsSurviveFaults(t *testing.T) {
	for seed := uint64(1); seed <= uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if err := runWithFaults(seed, nil); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		})
	}
}

func TestSameSeedSameRun(t *testing.T) {
	play := func() (string, int) {
		sim := newSimulation(3, 5, 3)
		sim.dispatchJobs()
		sim.runUntil(sim.now + 3)
		for i := range 6 {
			sim.submitJob(fmt.Sprint("k", i), jobstate.Effect(i%3))
		}
		sim.dropRate = 0.1
		sim.runUntil(sim.now + 10)
		if err := sim.finishAndCheck(); err != nil {
			t.Fatal(err)
		}
		return sim.outcome(), sim.sentMessages
	}
	firstOutcome, firstSent := play()
	secondOutcome, secondSent := play()
	if firstOutcome != secondOutcome || firstSent != secondSent {
		t.Errorf("%s after %d messages, then %s after %d", firstOutcome, firstSent, secondOutcome, secondSent)
	}
}

// TestSimulationFindsPlantedFaults checks that the simulation notices the lack of each safeguard.
func TestSimulationFindsPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(sim *simulation){
		"send before commit":     func(sim *simulation) { sim.sendBeforeCommit = true },
		"no fencing":             func(sim *simulation) { sim.ignoreFencing = true },
		"same key twice":         func(sim *simulation) { sim.ignoreKeys = true },
		"vote after lost memory": func(sim *simulation) { sim.reuseIncarnation = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 60; seed++ {
				if err := runWithFaults(seed, plant); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found in 60 runs")
		})
	}
}
