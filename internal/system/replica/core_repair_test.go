package replica

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var repairSeeds = flag.Int("repair.seeds", 4, "how many chains of losses are played for each case")

// repairCase is a core whose repair is measured.
type repairCase struct {
	machines, losses int
	delay, sync      time.Duration // of a message between regions and of a write, at most
}

// maxPromisedDelay is the distance up to which a core is to keep the time that a deployment sets (CatchUp). Beyond it an election
// and the five round trips of a replacement alone may take that long; what is reached there is measured and bounded.
const maxPromisedDelay = 90 * time.Millisecond

// repairDeadline is how long after its start a successor counts.
func (c repairCase) repairDeadline() time.Duration {
	if c.delay > maxPromisedDelay {
		return testCatchUp * 3 / 2
	}
	return testCatchUp
}

func (c repairCase) String() string {
	return fmt.Sprintf("%d machines, %d lost, %v, sync %v", c.machines, c.losses, c.delay, c.sync)
}

// repairCases are cores of the sizes and distances that a system is built for.
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

// newRepairSimulation is a core of a case that has founded itself and is changed by operators all the time.
func newRepairSimulation(seed uint64, c repairCase) *simulation {
	w := newSimulation(seed)
	w.profile.Machines, w.profile.Operators = c.machines, 3
	w.profile.Delay, w.profile.SyncTime, w.profile.Loss = c.delay, c.sync, 0
	w.profile.RegionalDelay = min(c.delay, 4*time.Millisecond)
	w.profile.ThinkTime, w.faultsEnabled = 100*time.Millisecond, false
	w.toleratedLosses = c.losses
	w.bootstrap()
	for _, o := range w.operators {
		o.unlimited = true
	}
	w.runFor(scenarioWarmup)
	return w
}

// toleratesLossOf tells whether a majority is intact in every membership that may be in force, some machines left out.
func (w *simulation) toleratesLossOf(without ...*simMachine) bool {
	return w.majorityIntactInAll(w.memberships(), func(s *simMachine) bool { return slices.Contains(without, s) })
}

// toleratesAnyLoss tells whether the core bears the loss of any set of so many machines.
func (w *simulation) toleratesAnyLoss(losses int, lost ...*simMachine) bool {
	if losses == 0 {
		return w.toleratesLossOf(lost...)
	}
	for _, s := range w.activeMachines() {
		if !slices.Contains(lost, s) && !w.toleratesAnyLoss(losses-1, append(slices.Clone(lost), s)...) {
			return false
		}
	}
	return true
}

// replaceMachines takes machines away for good and returns those in their places, which start after a while.
func (w *simulation) replaceMachines(gone []*simMachine, after time.Duration) (successors []*simMachine) {
	for _, s := range gone {
		if s.process != nil {
			s.process.kill()
		}
		s.replaced = true
		next := w.addReplacement(s)
		successors = append(successors, next)
		w.logf("%d is lost for good, %d takes its place", s.number, next.number)
		w.schedule(after, func() { w.boot(next) })
	}
	return successors
}

// wipeDisks takes machines' disks away; they come back empty after a while.
func (w *simulation) wipeDisks(lost []*simMachine, after time.Duration) {
	for _, s := range lost {
		if s.process != nil {
			s.process.kill()
		}
		s.disk = &simDisk{}
		s.settings.FirstBoot = false
		w.logf("%d loses its disk", s.number)
		w.schedule(after, func() { w.boot(s) })
	}
}

// pickMachines draws machines, the leader first half of the time.
func (w *simulation) pickMachines(n int) (slots []*simMachine) {
	if p := w.leader(); p != nil && w.chance(0.5) {
		slots = append(slots, p.slot)
	}
	for len(slots) < n {
		if s := w.randomMachine(); !slices.Contains(slots, s) {
			slots = append(slots, s)
		}
	}
	return slots
}

// untilTolerant plays until the core bears the loss of any machines it has to bear, and returns how long that took.
func (w *simulation) untilTolerant(losses int, atMost time.Duration) (time.Duration, bool) {
	began := w.now
	for w.now < began+atMost && w.failure == "" {
		if w.toleratesAnyLoss(losses) {
			return w.now - began, true
		}
		w.runFor(10 * time.Millisecond)
	}
	return atMost, false
}

// TestReplacementRestoresFaultTolerance measures how long after the start of successors, or the return of machines with empty disks, the
// core bears another loss: within CatchUp, for every size, up to the farthest distance for which that is promised.
func TestReplacementRestoresFaultTolerance(t *testing.T) {
	kinds := []struct {
		name string
		lose func(w *simulation, c repairCase, down time.Duration)
	}{
		{"replaced", func(w *simulation, c repairCase, down time.Duration) {
			w.replaceMachines(w.pickMachines(c.losses), down)
		}},
		{"wiped", func(w *simulation, c repairCase, down time.Duration) { w.wipeDisks(w.pickMachines(c.losses), down) }},
	}
	for _, c := range repairCases {
		for _, kind := range kinds {
			t.Run(kind.name+", "+c.String(), func(t *testing.T) {
				t.Parallel()
				var took []time.Duration
				for seed := uint64(1); seed <= scenarioSeeds; seed++ {
					w := newRepairSimulation(seed, c)
					down := w.uniform(time.Millisecond, 2*time.Second)
					kind.lose(w, c, down)
					w.runFor(down)
					d, bears := w.untilTolerant(c.losses, 20*time.Second)
					if !bears || w.failure != "" {
						t.Fatalf("seed %d: no further loss is borne %v after the start: %s", seed, d, w.failure)
					}
					took = append(took, d)
				}
				checkTimes(t, took, c.repairDeadline())
			})
		}
	}
}

// checkTimes reports times and sees that none is above a bound.
func checkTimes(t *testing.T, times []time.Duration, bound time.Duration) {
	t.Helper()
	slices.Sort(times)
	worst := times[len(times)-1]
	t.Logf("%v at the median of %d runs, %v at worst", times[len(times)/2], len(times), worst)
	if worst > bound {
		t.Errorf("%v at worst; at most %v", worst, bound)
	}
}

// chainSeeds are the seeds of chains of losses: only -core.seed, told as it goes, where that is given.
func chainSeeds() (seeds []uint64) {
	if *simSeed != 0 {
		return []uint64{*simSeed}
	}
	for seed := uint64(1); seed <= uint64(*repairSeeds); seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestRepeatedLosses takes machines away again and again, each time once those before count again: the core goes on
// agreeing after each.
func TestRepeatedLosses(t *testing.T) {
	for _, c := range repairCases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for _, seed := range chainSeeds() {
				w := newRepairSimulation(seed, c)
				w.verbose = *simSeed != 0
				for round := range 6 {
					down := w.uniform(time.Millisecond, 2*time.Second)
					if lost := w.pickMachines(c.losses); w.chance(0.5) {
						w.replaceMachines(lost, down)
					} else {
						w.wipeDisks(lost, down)
					}
					w.runFor(down + c.repairDeadline())
					if !w.toleratesAnyLoss(0) {
						t.Fatalf("seed %d: round %d leaves no majority\nreplay: go test ./internal/system/replica -run '%s' -core.seed %d -v", seed,
							round, t.Name(), seed)
					}
				}
				before := len(w.oracle.versions)
				w.runFor(8 * time.Second)
				if w.failure != "" || len(w.oracle.versions) == before {
					t.Fatalf("seed %d: nothing is agreed on any more: %s", seed, w.failure)
				}
			}
		})
	}
}

// TestPlannedReplacement has a new machine start and the old one told to stop. As the old process ends its vote has moved:
// all other machines know that as soon as messages under way have come, and a loss at that very moment is borne.
func TestPlannedReplacement(t *testing.T) {
	for _, c := range repairCases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			var windows []time.Duration
			for seed := uint64(1); seed <= scenarioSeeds; seed++ {
				w := newRepairSimulation(seed, c)
				w.replacePlanned()
				d, bears := w.untilTolerant(c.losses, 20*time.Second)
				if !bears || w.failure != "" {
					t.Fatalf("seed %d: no further loss is borne %v after the old one ended: %s", seed, d, w.failure)
				}
				windows = append(windows, d)
				checkLossAfterReplacement(t, seed, c)
			}
			checkTimes(t, windows, 2*c.delay+50*time.Millisecond)
		})
	}
}

// replacePlanned starts a new machine, lets it catch up, and has an old one stop.
func (w *simulation) replacePlanned() {
	old := w.pickMachines(1)[0]
	w.boot(w.addReplacement(old))
	w.runFor(testCatchUp)
	process := old.process
	process.shutDown()
	w.runUntilEnded(process, 8*time.Second)
	old.replaced = true
}

// checkLossAfterReplacement has as many machines lose their disks as are to be borne, just as a planned replacement ends.
func checkLossAfterReplacement(t *testing.T, seed uint64, c repairCase) {
	t.Helper()
	w := newRepairSimulation(seed, c)
	w.replacePlanned()
	w.wipeDisks(w.pickMachines(c.losses), time.Second)
	w.runFor(4 * time.Second)
	before := len(w.oracle.versions)
	w.runFor(8 * time.Second)
	if w.failure != "" || len(w.oracle.versions) == before {
		t.Fatalf("seed %d: nothing is agreed on after a loss as the old machine ended: %s", seed, w.failure)
	}
}

func (w *simulation) runUntilEnded(p *simProcess, atMost time.Duration) {
	for end := w.now + atMost; p.alive && w.now < end && w.failure == ""; {
		w.runFor(10 * time.Millisecond)
	}
	if p.alive {
		w.fail("machine %d does not end within %v", p.slot.number, atMost)
	}
}

// TestFailoverTimeByLatency measures how long nothing is agreed on after the leader is killed, freezes or is cut off.
func TestFailoverTimeByLatency(t *testing.T) {
	bounds := map[time.Duration]time.Duration{20 * time.Millisecond: 1500 * time.Millisecond, 90 * time.Millisecond: 3 * time.Second,
		200 * time.Millisecond: 5 * time.Second}
	kinds := []struct {
		name string
		to   func(w *simulation, leader *simMachine)
	}{
		{"killed", func(w *simulation, leader *simMachine) { w.restart(leader, time.Minute) }},
		{"frozen", func(w *simulation, leader *simMachine) { w.pause(leader, time.Minute) }},
		{"cut off", func(w *simulation, leader *simMachine) {
			for _, other := range w.machines {
				w.block(leader, other, time.Minute)
				w.block(other, leader, time.Minute)
			}
		}},
	}
	for delay, bound := range bounds {
		for _, machines := range []int{3, 5} {
			for _, kind := range kinds {
				t.Run(fmt.Sprintf("%s, %d machines, %v", kind.name, machines, delay), func(t *testing.T) {
					t.Parallel()
					var pauses []time.Duration
					for seed := uint64(1); seed <= scenarioSeeds; seed++ {
						c := repairCase{machines: machines, losses: 1, delay: delay, sync: 5 * time.Millisecond}
						pauses = append(pauses, measureFailover(t, seed, c, kind.to))
					}
					checkTimes(t, pauses, bound)
				})
			}
		}
	}
}

// measureFailover is the longest time without a change of the configuration in force after something befalls the leader.
func measureFailover(t *testing.T, seed uint64, c repairCase, befalls func(w *simulation, leader *simMachine)) time.Duration {
	t.Helper()
	w := newRepairSimulation(seed, c)
	leader := w.leader()
	if leader == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioWarmup)
	}
	for _, o := range w.operators {
		o.avoid = leader.slot
	}
	began := w.now
	befalls(w, leader.slot)
	w.runFor(8 * time.Second)
	if w.failure != "" {
		t.Fatal(w.failure)
	}
	last, longest := began, time.Duration(0)
	for _, l := range w.oracle.versions {
		if l.committedAt > began {
			longest = max(longest, l.committedAt-last)
			last = l.committedAt
		}
	}
	return max(longest, w.now-last)
}

// TestPermanentShutdowns has machines of five stop for good with nobody to take their votes, and another lose its disk
// once the group had time to go on without them.
func TestPermanentShutdowns(t *testing.T) {
	c := repairCase{machines: 5, losses: 1, delay: 20 * time.Millisecond, sync: 5 * time.Millisecond}
	for seed := uint64(1); seed <= scenarioSeeds; seed++ {
		w := newRepairSimulation(seed, c)
		for range 2 {
			s := w.pickMachines(1)[0]
			s.process.shutDown()
			w.runFor(3 * time.Second)
			s.replaced = true
		}
		w.runFor(testCatchUp)
		if !w.toleratesAnyLoss(1) {
			t.Fatalf("seed %d: two of five have left, and no loss is borne: %s", seed, w.failure)
		}
		w.wipeDisks(w.pickMachines(1), time.Second)
		before := len(w.oracle.versions)
		w.runFor(8 * time.Second)
		if w.failure != "" || len(w.oracle.versions) == before {
			t.Fatalf("seed %d: nothing is agreed on any more: %s", seed, w.failure)
		}
	}
}
