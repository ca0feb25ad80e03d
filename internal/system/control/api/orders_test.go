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
	ordersSeed  = flag.Uint64("orders.seed", 0, "play only this seed of the orders, and tell what happens")
	ordersSeeds = flag.Int("orders.seeds", 400, "how many seeds of the orders are played")
)

const (
	ordersTrouble = 25 * time.Second
	ordersHealing = 300 * time.Second // at most; each order that was ever sent is sent once more
)

// TestOrders plays operators over virtual time: changes that race, are sent again and overtake each other, and evacuations
// that are taken back while copies of them are under way, through machines that are killed, frozen, replaced and cut off.
// Each answer is judged as it is given, each entry as it is agreed on, and the whole history for linearizability.
func TestOrders(t *testing.T) {
	if *ordersSeed != 0 {
		w := newOrderWorld(*ordersSeed)
		w.verbose = true
		playOrders(t, w)
		return
	}
	var all orderTotals
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= uint64(*ordersSeeds); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				w := newOrderWorld(seed)
				playOrders(t, w)
				all.add(w.referee.counts)
			})
		}
	})
	t.Logf("%+v", all.counts)
	if *ordersSeeds >= 100 {
		all.checkUseful(t)
	}
}

func playOrders(t *testing.T, w *orderWorld) {
	w.play()
	if w.failed != "" {
		t.Errorf("%s\nreplay: go test ./internal/system/control/api -run TestOrders -orders.seed %d -v", w.failed, w.seed)
	}
}

func (w *orderWorld) play() {
	w.found()
	w.run(ordersTrouble)
	w.heal()
	for end := w.now + ordersHealing; w.failed == "" && w.now < end && !w.settled(); {
		w.run(time.Second)
	}
	w.run(time.Second) // what is under way comes
	if w.failed == "" {
		w.referee.checkEnd()
	}
	for _, m := range w.machines {
		m.kill()
	}
}

func (w *orderWorld) settled() bool {
	for _, client := range w.clients {
		if !client.done() {
			return false
		}
	}
	return true
}

// TestSameSeedIsSameOrders: a seed that failed replays.
func TestSameSeedIsSameOrders(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		a, b := newOrderWorld(seed), newOrderWorld(seed)
		a.play()
		b.play()
		if a.referee.counts != b.referee.counts || a.now != b.now || a.failed != b.failed {
			t.Errorf("seed %d: %+v, then %+v", seed, a.referee.counts, b.referee.counts)
		}
	}
}

// TestPlantedFaultsOfOrders takes one safeguard out at a time, which has to be found.
func TestPlantedFaultsOfOrders(t *testing.T) {
	plants := map[string]orderPlant{
		"what is not remembered is refused":              {refusesForgotten: true},
		"what builds on a later version is refused":      {refusesEarly: true},
		"orders taken and version are looked up in turn": {looksTwice: true},
		"bases are not checked as changes are applied":   {baseUnchecked: true},
		"a request that comes again is a new one":        {requestUnknown: true},
		"evacuations are applied whatever came first":    {seenUnchecked: true},
		"evacuations that change nothing are no orders":  {idleOrdersFree: true},
		"evacuations that were overtaken are repeated":   {overtakenAgain: true},
		"callers that have gone are served":              {goneIgnored: true},
		"reads without a barrier":                        {staleReads: true},
		"acknowledged before it is agreed on":            {acknowledgesEarly: true},
		"refused where the outcome is not known":         {refusesUnknown: true},
		"snapshots without what was accepted":            {forgetsBySnapshots: true},
	}
	for name, plant := range plants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 400; seed++ {
				w := newOrderWorld(seed)
				w.plant = plant
				w.play()
				if w.failed != "" {
					t.Log(w.failed)
					return
				}
			}
			t.Error("not found in 400 seeds")
		})
	}
}

// planted is a command as a state machine without a safeguard would take it.
func (w *orderWorld) planted(at *state.Configuration, index int, command []byte) []byte {
	if !w.plant.baseUnchecked && !w.plant.requestUnknown && !w.plant.seenUnchecked {
		return command
	}
	decoded := decodeCommand(command)
	if e := decoded.evacuation; e != nil {
		if w.plant.seenUnchecked {
			e.Seen = at.Evacuation(e.Zone).Seen
		}
		return e.Encode()
	}
	c := decoded.commit
	if w.plant.baseUnchecked {
		c.BasedOn = at.Version()
	}
	if w.plant.requestUnknown {
		binary.BigEndian.PutUint64(c.Digest[:], uint64(index))
	}
	return c.Encode()
}

// withoutChanges is a snapshot in which no request can be recognized.
func withoutChanges(c *state.Configuration) []byte {
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

// orderTotals are the counts of all seeds.
type orderTotals struct {
	mutex  sync.Mutex
	counts orderCounts
}

func (n *orderTotals) add(other orderCounts) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c := &n.counts
	c.accepted += other.accepted
	c.acknowledged += other.acknowledged
	c.conflicts += other.conflicts
	c.invalid += other.invalid
	c.unclear += other.unclear
	c.again += other.again
	c.evacuations += other.evacuations
	c.overtaken += other.overtaken
	c.agreed += other.agreed
}

// checkUseful sees that what the test is for does happen in it.
func (n *orderTotals) checkUseful(t *testing.T) {
	c := n.counts
	for name, count := range map[string]int{"accepted": c.accepted, "acknowledged": c.acknowledged,
		"conflicts": c.conflicts, "invalid": c.invalid, "unclear": c.unclear, "again": c.again,
		"evacuations": c.evacuations, "overtaken": c.overtaken} {
		if count == 0 {
			t.Errorf("%s never happened: %+v", name, c)
		}
	}
}
