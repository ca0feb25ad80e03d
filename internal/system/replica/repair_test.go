package replica

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var repairSeeds = flag.Int("repair.seeds", 4, "number of chains of losses for each case")

// repairCase is a cluster whose repair is measured.
type repairCase struct {
	machines, losses int
	delay, sync      time.Duration // maxima of a message between regions and of a write
}

// maxPromisedDelay is the delay between regions up to which a cluster has to meet the deployment's CatchUp time.
// Beyond it, an election and the five round trips of a replacement alone may take longer; the time is measured and
// bounded.
const maxPromisedDelay = 90 * time.Millisecond

// repairDeadline is how long after its start a replacement must count towards fault tolerance.
func (c repairCase) repairDeadline() time.Duration {
	if c.delay > maxPromisedDelay {
		return testCatchUp * 3 / 2
	}
	return testCatchUp
}

func (c repairCase) String() string {
	return fmt.Sprintf("%d machines, %d lost, %v, sync %v", c.machines, c.losses, c.delay, c.sync)
}

// repairCases are clusters of the sizes and delays that the system is designed for.
var repairCases = []repairCase{
	{3, 1, time.Millisecond, time.Millisecond},
	{3, 1, 20 * time.Millisecond, time.Millisecond},
	{3, 1, 90 * time.Millisecond, 12 * time.Millisecond},
	{3, 1, 200 * time.Millisecond, 12 * time.Millisecond},
	{5, 1, 90 * time.Millisecond, time.Millisecond},
	{5, 2, 90 * time.Millisecond, 12 * time.Millisecond},
	{5, 2, 200 * time.Millisecond, time.Millisecond},
	{9, 2, 20 * time.Millisecond, time.Millisecond},
	{9, 2, 90 * time.Millisecond, 12 * time.Millisecond},
}

// newRepairSimulation returns a bootstrapped cluster that operators change all the time.
func newRepairSimulation(seed uint64, setup repairCase) *simulation {
	sim := newScenario(seed)
	sim.profile.Machines = setup.machines
	sim.profile.Operators = 3
	sim.profile.Delay = setup.delay
	sim.profile.SyncTime = setup.sync
	sim.profile.RegionalDelay = min(setup.delay, 4*time.Millisecond)
	sim.profile.ThinkTime = 100 * time.Millisecond
	sim.toleratedLosses = setup.losses
	sim.bootstrapBusy()
	sim.runFor(scenarioWarmup)
	return sim
}

// toleratesLossOf reports whether a majority stays intact in every membership that may be in effect without some
// machines.
func (sim *simulation) toleratesLossOf(without ...*simMachine) bool {
	return sim.majorityIntactInAll(sim.memberships(), func(machine *simMachine) bool { return slices.Contains(without, machine) })
}

// toleratesAnyLoss reports whether the cluster tolerates the loss of any set of so many machines.
func (sim *simulation) toleratesAnyLoss(losses int, lost ...*simMachine) bool {
	if losses == 0 {
		return sim.toleratesLossOf(lost...)
	}
	for _, machine := range sim.activeMachines() {
		if !slices.Contains(lost, machine) && !sim.toleratesAnyLoss(losses-1, append(slices.Clone(lost), machine)...) {
			return false
		}
	}
	return true
}

// replaceMachines ends machines for good and returns their replacements, which start after a while.
func (sim *simulation) replaceMachines(gone []*simMachine, after time.Duration) (successors []*simMachine) {
	for _, machine := range gone {
		if machine.process != nil {
			machine.process.kill()
		}
		machine.replaced = true
		next := sim.addReplacement(machine)
		successors = append(successors, next)
		sim.logf("%d is lost for good, %d takes its place", machine.index, next.index)
		sim.schedule(after, func() { sim.boot(next) })
	}
	return successors
}

// wipeDisks kills machines and takes their disks away; they restart with empty ones after a while.
func (sim *simulation) wipeDisks(lost []*simMachine, after time.Duration) {
	for _, machine := range lost {
		if machine.process != nil {
			machine.process.kill()
		}
		machine.disk = &simDisk{}
		machine.settings.FirstBoot = false
		sim.logf("%d loses its disk", machine.index)
		sim.schedule(after, func() { sim.boot(machine) })
	}
}

// pickMachines draws machines, half of the time with the leader as the first.
func (sim *simulation) pickMachines(n int) (machines []*simMachine) {
	if process := sim.leader(); process != nil && sim.chance(0.5) {
		machines = append(machines, process.machine)
	}
	for len(machines) < n {
		if machine := sim.randomMachine(); !slices.Contains(machines, machine) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// untilTolerant runs until the cluster tolerates so many losses, and returns how long that took.
func (sim *simulation) untilTolerant(losses int, atMost time.Duration) (time.Duration, bool) {
	began := sim.now
	for sim.now < began+atMost && sim.failure == "" {
		if sim.toleratesAnyLoss(losses) {
			return sim.now - began, true
		}
		sim.runFor(10 * time.Millisecond)
	}
	return atMost, false
}

// TestReplacementRestoresFaultTolerance measures how long after the start of replacements, or after the return of
// machines with empty disks, the cluster tolerates another loss: within CatchUp, for every size, up to
// maxPromisedDelay.
func TestReplacementRestoresFaultTolerance(t *testing.T) {
	kinds := []struct {
		name string
		lose func(sim *simulation, setup repairCase, down time.Duration)
	}{
		{"replaced", func(sim *simulation, setup repairCase, down time.Duration) {
			sim.replaceMachines(sim.pickMachines(setup.losses), down)
		}},
		{"wiped", func(sim *simulation, setup repairCase, down time.Duration) {
			sim.wipeDisks(sim.pickMachines(setup.losses), down)
		}},
	}
	for _, setup := range repairCases {
		for _, kind := range kinds {
			t.Run(kind.name+", "+setup.String(), func(t *testing.T) {
				t.Parallel()
				var took []time.Duration
				for seed := uint64(1); seed <= scenarioSeeds; seed++ {
					sim := newRepairSimulation(seed, setup)
					down := sim.uniform(time.Millisecond, 2*time.Second)
					kind.lose(sim, setup, down)
					sim.runFor(down)
					d, bears := sim.untilTolerant(setup.losses, 20*time.Second)
					if !bears || sim.failure != "" {
						t.Fatalf("seed %d: no further loss is tolerated %v after the start: %s", seed, d, sim.failure)
					}
					took = append(took, d)
				}
				checkTimes(t, took, setup.repairDeadline())
			})
		}
	}
}

// checkTimes logs times and checks that none exceeds a limit.
func checkTimes(t *testing.T, times []time.Duration, bound time.Duration) {
	t.Helper()
	slices.Sort(times)
	worst := times[len(times)-1]
	t.Logf("%v at the median of %d runs, %v at worst", times[len(times)/2], len(times), worst)
	if worst > bound {
		t.Errorf("%v at worst; at most %v", worst, bound)
	}
}

// chainSeeds returns the seeds of TestRepeatedLosses; only that of -core.seed if it is given.
func chainSeeds() (seeds []uint64) {
	if *simSeed != 0 {
		return []uint64{*simSeed}
	}
	for seed := uint64(1); seed <= uint64(*repairSeeds); seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestRepeatedLosses takes machines away again and again, each time once the replacements count. The cluster must go
// on committing.
func TestRepeatedLosses(t *testing.T) {
	for _, setup := range repairCases {
		t.Run(setup.String(), func(t *testing.T) {
			t.Parallel()
			for _, seed := range chainSeeds() {
				sim := newRepairSimulation(seed, setup)
				sim.verbose = *simSeed != 0
				for round := range 6 {
					down := sim.uniform(time.Millisecond, 2*time.Second)
					if lost := sim.pickMachines(setup.losses); sim.chance(0.5) {
						sim.replaceMachines(lost, down)
					} else {
						sim.wipeDisks(lost, down)
					}
					sim.runFor(down + setup.repairDeadline())
					if !sim.toleratesAnyLoss(0) {
						t.Fatalf("seed %d: round %d leaves no majority\nreplay: "+
							"go test ./internal/system/replica -run '%s' -core.seed %d -v", seed, round, t.Name(), seed)
					}
				}
				before := len(sim.oracle.versions)
				sim.runFor(8 * time.Second)
				if sim.failure != "" || len(sim.oracle.versions) == before {
					t.Fatalf("seed %d: nothing is committed any more: %s", seed, sim.failure)
				}
			}
		})
	}
}

// TestPlannedReplacement starts a new machine and shuts the old one down. When the old process ends, its vote has
// moved; all other machines know that as soon as messages in flight have arrived, and a loss at that very moment is
// tolerated.
func TestPlannedReplacement(t *testing.T) {
	for _, setup := range repairCases {
		t.Run(setup.String(), func(t *testing.T) {
			t.Parallel()
			var windows []time.Duration
			for seed := uint64(1); seed <= scenarioSeeds; seed++ {
				sim := newRepairSimulation(seed, setup)
				sim.replacePlanned()
				d, bears := sim.untilTolerant(setup.losses, 20*time.Second)
				if !bears || sim.failure != "" {
					t.Fatalf("seed %d: no further loss is tolerated %v after the old one ended: %s", seed, d, sim.failure)
				}
				windows = append(windows, d)
				checkLossAfterReplacement(t, seed, setup)
			}
			checkTimes(t, windows, 2*setup.delay+50*time.Millisecond)
		})
	}
}

// replacePlanned starts a new machine, lets it catch up, and shuts an old one down.
func (sim *simulation) replacePlanned() {
	old := sim.pickMachines(1)[0]
	sim.boot(sim.addReplacement(old))
	sim.runFor(testCatchUp)
	process := old.process
	process.shutDown()
	sim.runUntilEnded(process, 8*time.Second)
	old.replaced = true
}

// checkLossAfterReplacement takes away as many disks as must be tolerated just as a planned replacement ends.
func checkLossAfterReplacement(t *testing.T, seed uint64, setup repairCase) {
	t.Helper()
	sim := newRepairSimulation(seed, setup)
	sim.replacePlanned()
	sim.wipeDisks(sim.pickMachines(setup.losses), time.Second)
	sim.runFor(4 * time.Second)
	before := len(sim.oracle.versions)
	sim.runFor(8 * time.Second)
	if sim.failure != "" || len(sim.oracle.versions) == before {
		t.Fatalf("seed %d: nothing is committed after a loss as the old machine ended: %s", seed, sim.failure)
	}
}

// runUntilEnded runs until a process has ended.
func (sim *simulation) runUntilEnded(process *simProcess, atMost time.Duration) {
	for end := sim.now + atMost; process.alive && sim.now < end && sim.failure == ""; {
		sim.runFor(10 * time.Millisecond)
	}
	if process.alive {
		sim.fail("machine %d does not end within %v", process.machine.index, atMost)
	}
}

// TestPermanentShutdowns shuts two machines of five down for good without learners to take their votes, and then
// takes away a disk once the group had time to shrink.
func TestPermanentShutdowns(t *testing.T) {
	setup := repairCase{machines: 5, losses: 1, delay: 20 * time.Millisecond, sync: 5 * time.Millisecond}
	for seed := uint64(1); seed <= scenarioSeeds; seed++ {
		sim := newRepairSimulation(seed, setup)
		for range 2 {
			machine := sim.pickMachines(1)[0]
			machine.process.shutDown()
			sim.runFor(3 * time.Second)
			machine.replaced = true
		}
		sim.runFor(testCatchUp)
		if !sim.toleratesAnyLoss(1) {
			t.Fatalf("seed %d: two of five have left, and no loss is tolerated: %s", seed, sim.failure)
		}
		sim.wipeDisks(sim.pickMachines(1), time.Second)
		before := len(sim.oracle.versions)
		sim.runFor(8 * time.Second)
		if sim.failure != "" || len(sim.oracle.versions) == before {
			t.Fatalf("seed %d: nothing is committed any more: %s", seed, sim.failure)
		}
	}
}
