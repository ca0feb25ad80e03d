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
	seedFlag      = flag.Uint64("orders.seed", 0, "simulate only this seed, and print what happens")
	seedCountFlag = flag.Int("orders.seeds", 400, "number of seeds to simulate")
)

const (
	faultPhase  = 25 * time.Second
	maxRecovery = 300 * time.Second // at most; each request is sent once more
)

// TestSimulation runs operators in virtual time: concurrent, repeated and reordered changes, and evacuations that are
// reverted while copies of them are in flight, on nodes that are killed, frozen, replaced and partitioned. Responses
// and log entries are checked as they occur, the whole history for linearizability.
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
	t.Helper()
	sim.play()
	if sim.failure != "" {
		t.Errorf("%s\nreplay: go test ./internal/system/control/api -run TestSimulation -orders.seed %d -v", sim.failure, sim.seed)
	}
}

func (sim *simulation) play() {
	sim.start()
	sim.run(faultPhase)
	sim.heal()
	for end := sim.now + maxRecovery; sim.failure == "" && sim.now < end && !sim.allClientsDone(); {
		sim.run(time.Second)
	}
	sim.run(time.Second) // what is in flight arrives
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

// TestSimulationIsDeterministic checks that a seed replays.
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

// TestSimulationFindsMutations disables one safeguard at a time; the checker has to notice each.
func TestSimulationFindsMutations(t *testing.T) {
	mutants := map[string]mutation{
		"forgotten changes are rejected":               {rejectForgotten: true},
		"premature changes are rejected":               {rejectPremature: true},
		"verdict and base are read separately":         {splitLookup: true},
		"changes are applied on any base":              {skipBaseCheck: true},
		"copies of a request have different digests":   {uniqueDigests: true},
		"evacuations are applied unconditionally":      {skipRevisionCheck: true},
		"evacuations without effect are not committed": {skipNoopEvacuations: true},
		"superseded evacuations are repeated":          {retrySuperseded: true},
		"disconnected callers are served":              {ignoreCancellation: true},
		"reads without a barrier":                      {staleReads: true},
		"acknowledged before commit":                   {acknowledgeEarly: true},
		"unknown outcomes are rejected":                {rejectUnknown: true},
		"snapshots without accepted changes":           {lossySnapshots: true},
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

// mutateCommand returns the command as a state machine without the disabled safeguards would apply it.
func (sim *simulation) mutateCommand(at *state.Configuration, index int, command []byte) []byte {
	if !sim.mutation.skipBaseCheck && !sim.mutation.uniqueDigests && !sim.mutation.skipRevisionCheck {
		return command
	}
	decoded := decodeCommand(command)
	if e := decoded.evacuation; e != nil {
		if sim.mutation.skipRevisionCheck {
			e.ExpectedRevision = at.Evacuation(e.Zone).Revision
		}
		return e.Encode()
	}
	c := decoded.commit
	if sim.mutation.skipBaseCheck {
		c.BaseVersion = at.Version()
	}
	if sim.mutation.uniqueDigests {
		binary.BigEndian.PutUint64(c.Digest[:], uint64(index))
	}
	return c.Encode()
}

// snapshotWithoutChanges returns a snapshot whose accepted changes match no request.
func snapshotWithoutChanges(c *state.Configuration) []byte {
	snapshot := c.Snapshot()
	offset := 1 // behind the format
	number := func() uint64 {
		v, n := binary.Uvarint(snapshot[offset:])
		offset += n
		return v
	}
	number() // version
	number() // evacuations
	for range number() {
		number()
		number()
		clear(snapshot[offset : offset+state.DigestSize])
		offset += state.DigestSize
	}
	return snapshot
}

// simulationTotals sums the counts of all seeds.
type simulationTotals struct {
	mutex  sync.Mutex
	counts eventCounts
}

func (totals *simulationTotals) add(other eventCounts) {
	totals.mutex.Lock()
	defer totals.mutex.Unlock()
	c := &totals.counts
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

// checkCoverage checks that everything the test is meant to cover did occur.
func (totals *simulationTotals) checkCoverage(t *testing.T) {
	t.Helper()
	c := totals.counts
	for name, count := range map[string]int{
		"accepted":       c.accepted,
		"acknowledged":   c.acknowledged,
		"conflicts":      c.conflicts,
		"invalid":        c.invalid,
		"indefinite":     c.indefinite,
		"reacknowledged": c.reacknowledged,
		"evacuations":    c.evacuations,
		"superseded":     c.superseded,
	} {
		if count == 0 {
			t.Errorf("%s never happened: %+v", name, c)
		}
	}
}
