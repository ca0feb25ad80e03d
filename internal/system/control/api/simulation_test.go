package api

import (
	"encoding/binary"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"cinderroad/internal/system/control/state"
)

var (
	seedFlag      = flag.Uint64("orders.seed", 0, "play only this seed of the orders, and tell what happens")
	seedCountFlag = flag.Int("orders.seeds", 400, "how many seeds of the orders are played")
)

const (
	faultPhase  = 25 * time.Second
	maxRecovery = 300 * time.Second // at most; each order that was ever sent is sent once more
)

// TestSimulation plays operators over virtual time: changes that race, are sent again and overtake each other, and evacuations
// that are taken back while copies of them are under way, through machines that are killed, frozen, replaced and cut off.
// Each answer is judged as it is given, each entry as it is agreed on, and the whole history for linearizability.
func TestSimulation(t *testing.T) {
	if *seedFlag != 0 {
		sim := newSimulation(*seedFlag)
		sim.verbose = true
		runSimulation(t, sim)
		return
	}
	var all simulationTotals
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= uint64(*seedCountFlag); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(seed)
				runSimulation(t, sim)
				all.add(sim.checker.counts)
			})
		}
	})
	t.Logf("%+v", all.counts)
	if *seedCountFlag >= 100 {
		all.checkCoverage(t)
	}
}

func runSimulation(t *testing.T, sim *simulation) {
	sim.play()
	if sim.failure != "" {
		t.Errorf("%s\nreplay: go test ./internal/system/control/api -run TestOrders -orders.seed %d -v", sim.failure, sim.seed)
	}
}

func (sim *simulation) play() {
	sim.start()
	sim.run(faultPhase)
	sim.heal()
	for end := sim.now + maxRecovery; sim.failure == "" && sim.now < end && !sim.allClientsDone(); {
		sim.run(time.Second)
	}
	sim.run(time.Second) // what is under way comes
	if sim.failure == "" {
		sim.checker.checkFinalState()
	}
	for _, node := range sim.nodes {
		node.kill()
	}
}

func (sim *simulation) allClientsDone() bool {
	for _, client := range sim.clients {
		if !client.done() {
			return false
		}
	}
	return true
}

// TestSimulationIsDeterministic: a seed that failed replays.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		a, b := newSimulation(seed), newSimulation(seed)
		a.play()
		b.play()
		if a.checker.counts != b.checker.counts || a.now != b.now || a.failure != b.failure {
			t.Errorf("seed %d: %+v, then %+v", seed, a.checker.counts, b.checker.counts)
		}
	}
}

// TestSimulationFindsMutations takes one safeguard out at a time, which has to be found.
func TestSimulationFindsMutations(t *testing.T) {
	mutants := map[string]mutation{
		"what is not remembered is refused":              {rejectForgotten: true},
		"what builds on a later version is refused":      {rejectEarly: true},
		"orders taken and version are looked up in turn": {splitLookup: true},
		"bases are not checked as changes are applied":   {skipBaseCheck: true},
		"a request that comes again is a new one":        {uniqueDigests: true},
		"evacuations are applied whatever came first":    {skipSeenCheck: true},
		"evacuations that change nothing are no orders":  {skipNoopEvacuations: true},
		"evacuations that were overtaken are repeated":   {retrySuperseded: true},
		"callers that have gone are served":              {ignoreCancellation: true},
		"reads without a barrier":                        {staleReads: true},
		"acknowledged before it is agreed on":            {acknowledgeEarly: true},
		"refused where the outcome is not known":         {rejectUnknown: true},
		"snapshots without what was accepted":            {lossySnapshots: true},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 400; seed++ {
				sim := newSimulation(seed)
				sim.mutation = mutant
				sim.play()
				if sim.failure != "" {
					t.Log(sim.failure)
					return
				}
			}
			t.Error("not found in 400 seeds")
		})
	}
}

// mutateCommand is a command as a state machine without a safeguard would take it.
func (sim *simulation) mutateCommand(at *state.Configuration, index int, command []byte) []byte {
	if !sim.mutation.skipBaseCheck && !sim.mutation.uniqueDigests && !sim.mutation.skipSeenCheck {
		return command
	}
	decoded := decodeCommand(command)
	if e := decoded.evacuation; e != nil {
		if sim.mutation.skipSeenCheck {
			e.Seen = at.Evacuation(e.Zone).Seen
		}
		return e.Encode()
	}
	c := decoded.commit
	if sim.mutation.skipBaseCheck {
		c.BasedOn = at.Version()
	}
	if sim.mutation.uniqueDigests {
		binary.BigEndian.PutUint64(c.Digest[:], uint64(index))
	}
	return c.Encode()
}

// snapshotWithoutChanges is a snapshot in which no request can be recognized.
func snapshotWithoutChanges(c *state.Configuration) []byte {
	snapshot := c.Snapshot()
	at := 1 // after the format
	number := func() uint64 {
		v, n := binary.Uvarint(snapshot[at:])
		at += n
		return v
	}
	number() // version
	number() // evacuations
	for range number() {
		number()
		number()
		clear(snapshot[at : at+state.DigestSize])
		at += state.DigestSize
	}
	return snapshot
}

// simulationTotals are the counts of all seeds.
type simulationTotals struct {
	mutex  sync.Mutex
	counts eventCounts
}

func (n *simulationTotals) add(other eventCounts) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c := &n.counts
	c.accepted += other.accepted
	c.acknowledged += other.acknowledged
	c.conflicts += other.conflicts
	c.invalid += other.invalid
	c.indefinite += other.indefinite
	c.reacknowledged += other.reacknowledged
	c.evacuations += other.evacuations
	c.superseded += other.superseded
	c.committed += other.committed
}

// checkCoverage sees that what the test is for does happen in it.
func (n *simulationTotals) checkCoverage(t *testing.T) {
	c := n.counts
	for name, count := range map[string]int{"accepted": c.accepted, "acknowledged": c.acknowledged,
		"conflicts": c.conflicts, "invalid": c.invalid, "unclear": c.indefinite, "again": c.reacknowledged,
		"evacuations": c.evacuations, "overtaken": c.superseded} {
		if count == 0 {
			t.Errorf("%s never happened: %+v", name, c)
		}
	}
}
