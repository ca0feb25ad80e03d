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

// farthest is the distance up to which a core is to keep the time that a deployment sets (CatchUp). Beyond it an election
// and the five round trips of a replacement alone may take that long; what is reached there is measured and bounded.
const farthest = 90 * time.Millisecond

// countsWithin is how long after its start a successor counts.
func (c repairCase) countsWithin() time.Duration {
	if c.delay > farthest {
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

// newRepairWorld is a core of a case that has founded itself and is changed by operators all the time.
func newRepairWorld(seed uint64, c repairCase) *coreWorld {
	w := newCoreWorld(seed)
	w.profile.Machines, w.profile.Operators = c.machines, 3
	w.profile.Delay, w.profile.SyncTime, w.profile.Loss = c.delay, c.sync, 0
	w.profile.Near = min(c.delay, 4*time.Millisecond)
	w.profile.Think, w.faults = 100*time.Millisecond, false
	w.losses = c.losses
	w.found()
	for _, o := range w.operators {
		o.tireless = true
	}
	w.run(scenarioQuiet)
	return w
}

// bears tells whether a majority is intact in every membership that may be in force, some machines left out.
func (w *coreWorld) bears(without ...*coreSlot) bool {
	return w.majorityIntactInAll(w.memberships(), func(s *coreSlot) bool { return slices.Contains(without, s) })
}

// bearsAny tells whether the core bears the loss of any set of so many machines.
func (w *coreWorld) bearsAny(losses int, lost ...*coreSlot) bool {
	if losses == 0 {
		return w.bears(lost...)
	}
	for _, s := range w.inUse() {
		if !slices.Contains(lost, s) && !w.bearsAny(losses-1, append(slices.Clone(lost), s)...) {
			return false
		}
	}
	return true
}

// remove takes machines away for good and returns those in their places, which start after a while.
func (w *coreWorld) remove(gone []*coreSlot, after time.Duration) (successors []*coreSlot) {
	for _, s := range gone {
		if s.process != nil {
			s.process.kill()
		}
		s.retired = true
		next := w.addSuccessor(s)
		successors = append(successors, next)
		w.logf("%d is lost for good, %d takes its place", s.number, next.number)
		w.after(after, func() { w.boot(next) })
	}
	return successors
}

// wipe takes machines' disks away; they come back empty after a while.
func (w *coreWorld) wipe(lost []*coreSlot, after time.Duration) {
	for _, s := range lost {
		if s.process != nil {
			s.process.kill()
		}
		s.disk = &coreDisk{}
		s.settings.FirstBoot = false
		w.logf("%d loses its disk", s.number)
		w.after(after, func() { w.boot(s) })
	}
}

// pick draws machines, the leader first half of the time.
func (w *coreWorld) pick(n int) (slots []*coreSlot) {
	if p := w.leader(); p != nil && w.chance(0.5) {
		slots = append(slots, p.slot)
	}
	for len(slots) < n {
		if s := w.anySlot(); !slices.Contains(slots, s) {
			slots = append(slots, s)
		}
	}
	return slots
}

// untilBears plays until the core bears the loss of any machines it has to bear, and returns how long that took.
func (w *coreWorld) untilBears(losses int, atMost time.Duration) (time.Duration, bool) {
	began := w.now
	for w.now < began+atMost && w.failed == "" {
		if w.bearsAny(losses) {
			return w.now - began, true
		}
		w.run(10 * time.Millisecond)
	}
	return atMost, false
}

// TestSuccessorCounts measures how long after the start of successors, or the return of machines with empty disks, the
// core bears another loss: within CatchUp, for every size, up to the farthest distance for which that is promised.
func TestSuccessorCounts(t *testing.T) {
	kinds := []struct {
		name string
		lose func(w *coreWorld, c repairCase, down time.Duration)
	}{
		{"replaced", func(w *coreWorld, c repairCase, down time.Duration) { w.remove(w.pick(c.losses), down) }},
		{"wiped", func(w *coreWorld, c repairCase, down time.Duration) { w.wipe(w.pick(c.losses), down) }},
	}
	for _, c := range repairCases {
		for _, kind := range kinds {
			t.Run(kind.name+", "+c.String(), func(t *testing.T) {
				t.Parallel()
				var took []time.Duration
				for seed := uint64(1); seed <= scenarioRuns; seed++ {
					w := newRepairWorld(seed, c)
					down := w.between(time.Millisecond, 2*time.Second)
					kind.lose(w, c, down)
					w.run(down)
					d, bears := w.untilBears(c.losses, 20*time.Second)
					if !bears || w.failed != "" {
						t.Fatalf("seed %d: no further loss is borne %v after the start: %s", seed, d, w.failed)
					}
					took = append(took, d)
				}
				checkTimes(t, took, c.countsWithin())
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
	if *coreSeed != 0 {
		return []uint64{*coreSeed}
	}
	for seed := uint64(1); seed <= uint64(*repairSeeds); seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestLossAfterLoss takes machines away again and again, each time once those before count again: the core goes on
// agreeing after each.
func TestLossAfterLoss(t *testing.T) {
	for _, c := range repairCases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for _, seed := range chainSeeds() {
				w := newRepairWorld(seed, c)
				w.verbose = *coreSeed != 0
				for round := range 6 {
					down := w.between(time.Millisecond, 2*time.Second)
					if lost := w.pick(c.losses); w.chance(0.5) {
						w.remove(lost, down)
					} else {
						w.wipe(lost, down)
					}
					w.run(down + c.countsWithin())
					if !w.bearsAny(0) {
						t.Fatalf("seed %d: round %d leaves no majority\nreplay: go test ./internal/system/replica -run '%s' -core.seed %d -v", seed,
							round, t.Name(), seed)
					}
				}
				before := len(w.truth.chain)
				w.run(8 * time.Second)
				if w.failed != "" || len(w.truth.chain) == before {
					t.Fatalf("seed %d: nothing is agreed on any more: %s", seed, w.failed)
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
			for seed := uint64(1); seed <= scenarioRuns; seed++ {
				w := newRepairWorld(seed, c)
				w.replaceAsPlanned()
				d, bears := w.untilBears(c.losses, 20*time.Second)
				if !bears || w.failed != "" {
					t.Fatalf("seed %d: no further loss is borne %v after the old one ended: %s", seed, d, w.failed)
				}
				windows = append(windows, d)
				checkLossAtOnce(t, seed, c)
			}
			checkTimes(t, windows, 2*c.delay+50*time.Millisecond)
		})
	}
}

// replaceAsPlanned starts a new machine, lets it catch up, and has an old one stop.
func (w *coreWorld) replaceAsPlanned() {
	old := w.pick(1)[0]
	w.boot(w.addSuccessor(old))
	w.run(testCatchUp)
	process := old.process
	process.leave()
	w.runUntilEnded(process, 8*time.Second)
	old.retired = true
}

// checkLossAtOnce has as many machines lose their disks as are to be borne, just as a planned replacement ends.
func checkLossAtOnce(t *testing.T, seed uint64, c repairCase) {
	t.Helper()
	w := newRepairWorld(seed, c)
	w.replaceAsPlanned()
	w.wipe(w.pick(c.losses), time.Second)
	w.run(4 * time.Second)
	before := len(w.truth.chain)
	w.run(8 * time.Second)
	if w.failed != "" || len(w.truth.chain) == before {
		t.Fatalf("seed %d: nothing is agreed on after a loss as the old machine ended: %s", seed, w.failed)
	}
}

func (w *coreWorld) runUntilEnded(p *coreProcess, atMost time.Duration) {
	for end := w.now + atMost; p.alive && w.now < end && w.failed == ""; {
		w.run(10 * time.Millisecond)
	}
	if p.alive {
		w.fail("machine %d does not end within %v", p.slot.number, atMost)
	}
}

// TestPauseByDistance measures how long nothing is agreed on after the leader is killed, freezes or is cut off.
func TestPauseByDistance(t *testing.T) {
	bounds := map[time.Duration]time.Duration{20 * time.Millisecond: 1500 * time.Millisecond, 90 * time.Millisecond: 3 * time.Second,
		200 * time.Millisecond: 5 * time.Second}
	kinds := []struct {
		name string
		to   func(w *coreWorld, leader *coreSlot)
	}{
		{"killed", func(w *coreWorld, leader *coreSlot) { w.restart(leader, time.Minute) }},
		{"frozen", func(w *coreWorld, leader *coreSlot) { w.freeze(leader, time.Minute) }},
		{"cut off", func(w *coreWorld, leader *coreSlot) {
			for _, other := range w.slots {
				w.setCut(leader, other, time.Minute)
				w.setCut(other, leader, time.Minute)
			}
		}},
	}
	for delay, bound := range bounds {
		for _, machines := range []int{3, 5} {
			for _, kind := range kinds {
				t.Run(fmt.Sprintf("%s, %d machines, %v", kind.name, machines, delay), func(t *testing.T) {
					t.Parallel()
					var pauses []time.Duration
					for seed := uint64(1); seed <= scenarioRuns; seed++ {
						c := repairCase{machines: machines, losses: 1, delay: delay, sync: 5 * time.Millisecond}
						pauses = append(pauses, longestPause(t, seed, c, kind.to))
					}
					checkTimes(t, pauses, bound)
				})
			}
		}
	}
}

// longestPause is the longest time without a change of the configuration in force after something befalls the leader.
func longestPause(t *testing.T, seed uint64, c repairCase, befalls func(w *coreWorld, leader *coreSlot)) time.Duration {
	t.Helper()
	w := newRepairWorld(seed, c)
	leader := w.leader()
	if leader == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioQuiet)
	}
	for _, o := range w.operators {
		o.avoid = leader.slot
	}
	began := w.now
	befalls(w, leader.slot)
	w.run(8 * time.Second)
	if w.failed != "" {
		t.Fatal(w.failed)
	}
	last, longest := began, time.Duration(0)
	for _, l := range w.truth.chain {
		if l.at > began {
			longest = max(longest, l.at-last)
			last = l.at
		}
	}
	return max(longest, w.now-last)
}

// TestMachinesLeaveForGood has machines of five stop for good with nobody to take their votes, and another lose its disk
// once the group had time to go on without them.
func TestMachinesLeaveForGood(t *testing.T) {
	c := repairCase{machines: 5, losses: 1, delay: 20 * time.Millisecond, sync: 5 * time.Millisecond}
	for seed := uint64(1); seed <= scenarioRuns; seed++ {
		w := newRepairWorld(seed, c)
		for range 2 {
			s := w.pick(1)[0]
			s.process.leave()
			w.run(3 * time.Second)
			s.retired = true
		}
		w.run(testCatchUp)
		if !w.bearsAny(1) {
			t.Fatalf("seed %d: two of five have left, and no loss is borne: %s", seed, w.failed)
		}
		w.wipe(w.pick(1), time.Second)
		before := len(w.truth.chain)
		w.run(8 * time.Second)
		if w.failed != "" || len(w.truth.chain) == before {
			t.Fatalf("seed %d: nothing is agreed on any more: %s", seed, w.failed)
		}
	}
}
