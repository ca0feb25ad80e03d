package counter

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// logRate is the number of operations a second, over all machines.
const logRate = 79

// newSimulationApart returns a cluster of five machines whose regions, of three and of two, have accepted operations for a while
// without hearing each other. Links have 30 Mbit/s; a write takes a millisecond and some time for each entry.
func newSimulationApart(apart, writeTime time.Duration) *simulation {
	const megabit = 1e6 / 8 // bytes
	sim := newSimulation(1)
	sim.faults = false
	sim.lightChecks = true
	sim.profile = simulationProfile{
		machines:    5,
		durability:  inThreeMachines,
		maxSyncTime: time.Millisecond,
		writeTime:   writeTime,
		addInterval: time.Second / logRate,
		linkRate:    30 * megabit,
	}
	sim.start()
	count := int(apart.Seconds() * logRate)
	for i := range count {
		accepting := sim.machines[i%5]
		operation := Operation{ID: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), Counter: counterNames[i%3], Amount: int64(i % 9)}
		sim.observed.accepted(operation)
		origin := accepting.disk.origin
		entry := Entry{origin, accepting.disk.held[origin] + 1, operation}
		for _, machine := range sim.machines {
			if machine.region == accepting.region {
				sim.sync(machine, machine.disk, []Entry{entry})
			}
		}
	}
	for _, machine := range sim.machines {
		machine.boot()
	}
	return sim
}

// mergeTime runs until all machines hold what all accepted while they were apart, while clients send more, and returns the time
// since the first messages passed.
func (sim *simulation) mergeTime(limit time.Duration) (took time.Duration, merged bool) {
	target := VersionVector{}
	for _, machine := range sim.machines {
		target.merge(machine.disk.held)
	}
	for took < limit {
		sim.run(10 * time.Millisecond)
		took += 10 * time.Millisecond
		merged = true
		for _, machine := range sim.machines {
			merged = merged && machine.process.node.logs.vector().Covers(target)
		}
		if merged {
			return took, true
		}
	}
	return took, false
}

// TestMergeOfTenMinutes checks that what two sides accepted in ten minutes is exchanged in the time for merges.
func TestMergeOfTenMinutes(t *testing.T) {
	sim := newSimulationApart(10*time.Minute, 0)
	sim.startClients()
	took, merged := sim.mergeTime(mergeLimit)
	if !merged || sim.failure != "" {
		t.Fatalf("not merged after %v; %s", took, sim.failure)
	}
	sim.clientsUntil = sim.now
	sim.requireConverged(t)
	t.Logf("merged after %v, %d bytes sent", took, sim.bytesSent)
}

// BenchmarkHealing reports how long after a cut of ten seconds between two regions all machines hold what was accepted until
// its end.
func BenchmarkHealing(b *testing.B) {
	for _, machines := range []int{5, 9} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				for seed := range uint64(100) {
					times = append(times, healingTime(b, seed, machines))
				}
			}
			slices.Sort(times)
			b.ReportMetric(times[len(times)/2].Seconds(), "p50-s")
			b.ReportMetric(times[len(times)*99/100].Seconds(), "p99-s")
			b.ReportMetric(times[len(times)-1].Seconds(), "max-s")
		})
	}
}

// healingTime cuts the regions for ten seconds and returns how long the merge takes.
func healingTime(b *testing.B, seed uint64, machines int) time.Duration {
	sim := newSimulation(seed)
	sim.faults = false
	sim.lightChecks = true
	sim.profile = simulationProfile{
		machines:    machines,
		durability:  inThreeMachines,
		maxSyncTime: 2 * time.Millisecond,
		addInterval: time.Second / logRate,
	}
	sim.start()
	sim.run(5 * time.Second)
	sim.startClients()
	sim.run(time.Second)
	var inside []int
	for _, machine := range sim.machines {
		if machine.region == 1 {
			inside = append(inside, machine.index)
		}
	}
	sim.cut(inside...)
	sim.run(10*time.Second + sim.randomDuration(0, time.Second))
	sim.heal()
	took, merged := sim.mergeTime(mergeLimit)
	if !merged || sim.failure != "" {
		b.Fatalf("seed %d: not merged after %v; %s", seed, took, sim.failure)
	}
	return took
}

// BenchmarkMerge reports the virtual time and the bytes that it takes to merge what two sides accepted apart.
func BenchmarkMerge(b *testing.B) {
	for _, apart := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		for _, writeTime := range []time.Duration{0, 20 * time.Microsecond} {
			b.Run(fmt.Sprintf("apart=%v/write=%v", apart, writeTime), func(b *testing.B) {
				for range b.N {
					sim := newSimulationApart(apart, writeTime)
					sim.startClients()
					took, merged := sim.mergeTime(time.Minute)
					if !merged || sim.failure != "" {
						b.Fatalf("not merged after %v; %s", took, sim.failure)
					}
					b.ReportMetric(took.Seconds(), "virtual-s")
					b.ReportMetric(float64(sim.bytesSent)/1e6, "MB")
					b.ReportMetric(float64(sim.bytesSent)/float64(int(apart.Seconds()*logRate)), "bytes/entry")
				}
			})
		}
	}
}

// BenchmarkCalm reports what a second without faults costs: exchanges and bytes of vectors and ranges, in all and between regions.
func BenchmarkCalm(b *testing.B) {
	for _, machines := range []int{5, 9} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			for range b.N {
				sim := newSimulation(1)
				sim.faults = false
				sim.lightChecks = true
				sim.profile = simulationProfile{
					machines:    machines,
					durability:  inThreeMachines,
					maxSyncTime: 2 * time.Millisecond,
					addInterval: time.Second / logRate,
				}
				sim.start()
				sim.run(5 * time.Second)
				sim.startClients()
				sim.run(time.Second)
				messages, bytes, between := sim.messageCount, sim.bytesSent, sim.bytesBetweenRegions
				const seconds = 10
				sim.run(seconds * time.Second)
				b.ReportMetric(float64(sim.messageCount-messages)/seconds, "messages/s")
				b.ReportMetric(float64(sim.bytesSent-bytes)/1e3/seconds, "kB/s")
				b.ReportMetric(float64(sim.bytesBetweenRegions-between)/1e3/seconds, "kB-between-regions/s")
			}
		})
	}
}
