package counter

import (
	"errors"
	"math"
	"testing"
	"time"
)

// newScenario returns a running cluster without drawn faults. Machines stand in zones of their own, those of even and of odd index
// in a region each.
func newScenario(t *testing.T, machines int, durability Durability) *simulation {
	t.Helper()
	sim := newSimulation(1)
	sim.faults = false
	sim.profile = simulationProfile{
		machines:    machines,
		durability:  durability,
		maxSyncTime: 2 * time.Millisecond,
	}
	t.Cleanup(func() {
		if sim.failure != "" {
			t.Error(sim.failure)
		}
	})
	sim.start()
	sim.run(5 * time.Second)
	return sim
}

// cut blocks the links between machines of given indexes and all others, in both directions.
func (sim *simulation) cut(indexes ...int) {
	isInside := map[int]bool{}
	for _, index := range indexes {
		isInside[index] = true
	}
	for _, from := range sim.machines {
		for _, to := range sim.machines {
			if isInside[from.index] != isInside[to.index] {
				sim.blocked[[2]int{from.index, to.index}] = true
			}
		}
	}
}

// heal unblocks all links.
func (sim *simulation) heal() { clear(sim.blocked) }

// sendTo sends an operation to a machine.
func (sim *simulation) sendTo(index int, operation Operation) *clientCall {
	call := &clientCall{operation: operation, attempts: 1}
	sim.attempt(call, sim.machines[index])
	return call
}

// requireAcknowledged runs until a call is acknowledged.
func (sim *simulation) requireAcknowledged(t *testing.T, call *clientCall) {
	t.Helper()
	for end := sim.now + clientTimeout; sim.now < end && !call.done; {
		sim.run(time.Millisecond)
	}
	if !call.done {
		t.Fatalf("%+v is not acknowledged within %v; %s", call.operation, clientTimeout, sim.failure)
	}
}

// requireReading checks what machines read.
func (sim *simulation) requireReading(t *testing.T, name, want string, indexes ...int) {
	t.Helper()
	for _, index := range indexes {
		total, err := sim.machines[index].process.node.Total(name)
		if err != nil || total.String() != want {
			t.Errorf("machine %d reads %v, %v, want %s; %s", index, total, err, want, sim.failure)
		}
	}
}

// requireConverged runs for the time in which all totals become equal, and checks that they are, and complete.
func (sim *simulation) requireConverged(t *testing.T) {
	t.Helper()
	sim.run(mergeLimit)
	sim.checkComplete(sim.now)
	sim.checkEqual()
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
}

var inThreeMachines = Durability{Machines: 3, Zones: 2}

func TestSameIDAtBothSidesOfACut(t *testing.T) {
	sim := newScenario(t, 5, inThreeMachines)
	sim.cut(1, 3)
	operation := Operation{"5c0e7a21d94b36f8", "t1", 4}
	sim.requireAcknowledged(t, sim.sendTo(0, operation))
	sim.run(time.Second)
	sim.requireAcknowledged(t, sim.sendTo(1, operation))
	sim.run(time.Second)
	sim.requireReading(t, "t1", "4", 0, 1, 2, 3, 4)
	sim.heal()
	sim.run(time.Second)
	sim.requireAcknowledged(t, sim.sendTo(4, operation))
	sim.requireConverged(t)
	sim.requireReading(t, "t1", "4", 0, 1, 2, 3, 4)
}

// TestAcknowledgementLostAndResentAfterRestart also covers a machine that is killed between its write and its answer.
func TestAcknowledgementLostAndResentAfterRestart(t *testing.T) {
	for name, writtenOnOthers := range map[string]bool{"on its disk alone": false, "on others": true} {
		t.Run(name, func(t *testing.T) {
			sim := newScenario(t, 5, inThreeMachines)
			if !writtenOnOthers {
				sim.cut(0)
			}
			operation := Operation{"5c0e7a21d94b36f8", "t1", 4}
			call := sim.sendTo(0, operation)
			first := sim.machines[0]
			for !first.disk.ids[operation.ID] || writtenOnOthers && sim.copiesOf(operation.ID) < 2 {
				sim.run(100 * time.Microsecond)
			}
			if call.done {
				t.Fatal("it is acknowledged too soon")
			}
			first.process.kill(false)
			sim.heal()
			sim.run(100 * time.Millisecond)
			first.boot()
			sim.run(time.Millisecond)
			sim.requireReading(t, "t1", "4", 0)
			resent := sim.sendTo(0, operation)
			sim.requireAcknowledged(t, resent)
			sim.requireAcknowledged(t, sim.sendTo(3, operation))
			sim.requireConverged(t)
			sim.requireReading(t, "t1", "4", 0, 1, 2, 3, 4)
		})
	}
}

// TestPowerLossBeforeTheWrite checks that a sequence number that was lost unseen is used again, without harm.
func TestPowerLossBeforeTheWrite(t *testing.T) {
	sim := newScenario(t, 5, inThreeMachines)
	first := sim.machines[0]
	first.disk.stalledUntil = sim.now + 100*time.Millisecond
	sim.sendTo(0, Operation{"lost", "t1", 4})
	sim.run(10 * time.Millisecond)
	first.process.kill(false)
	first.disk.stalledUntil = 0
	first.boot()
	sim.run(time.Second)
	sim.requireAcknowledged(t, sim.sendTo(0, Operation{"kept", "t1", 2}))
	if held := first.disk.held; held[first.disk.origin] != 1 {
		t.Errorf("%v", held)
	}
	sim.requireConverged(t)
	sim.requireReading(t, "t1", "2", 0, 1, 2, 3, 4)
}

// TestDiskLost checks what survives the loss of the disk that an operation was accepted on.
func TestDiskLost(t *testing.T) {
	for name, c := range map[string]struct {
		apart   []int         // cut off when the operation is acknowledged
		healed  time.Duration // before the loss; 0: it occurs while apart
		isOwed  bool
		resends bool // the operation comes again after the loss
	}{
		"together":                      {healed: time.Millisecond, isOwed: true},
		"alone while apart":             {apart: []int{0}, isOwed: false},
		"alone while apart, resent":     {apart: []int{0}, isOwed: true, resends: true},
		"two machines apart":            {apart: []int{0, 2}, isOwed: true},
		"three machines apart":          {apart: []int{0, 2, 4}, isOwed: true},
		"three seconds after healing":   {apart: []int{0}, healed: mergeLimit, isOwed: true},
		"two seconds after healing":     {apart: []int{0}, healed: 2 * time.Second, isOwed: true},
		"just after the healing of two": {apart: []int{0, 1}, healed: time.Millisecond, isOwed: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newScenario(t, 5, inThreeMachines)
			sim.cut(c.apart...)
			sim.run(time.Second)
			operation := Operation{"5c0e7a21d94b36f8", "t1", 4}
			sim.requireAcknowledged(t, sim.sendTo(0, operation))
			if c.healed > 0 {
				sim.heal()
				sim.run(c.healed)
			}
			first := sim.machines[0]
			first.process.kill(false)
			before := first.disk.origin
			sim.loseDisk(first)
			first.boot()
			sim.run(time.Second)
			sim.heal()
			sim.run(time.Second)
			if first.disk.origin == before {
				t.Error("the new disk has the origin of the lost one")
			}
			if c.resends {
				sim.requireAcknowledged(t, sim.sendTo(0, operation))
			}
			sim.requireAcknowledged(t, sim.sendTo(0, Operation{"another", "t1", 10}))
			sim.requireConverged(t)
			want := "10"
			if c.isOwed {
				want = "14"
			}
			sim.requireReading(t, "t1", want, 0, 1, 2, 3, 4)
		})
	}
}

// TestAllPowerLost checks that what was acknowledged last survives, and that the first machine to return acknowledges nothing alone
// before the others had time to return.
func TestAllPowerLost(t *testing.T) {
	sim := newScenario(t, 5, inThreeMachines)
	sim.requireAcknowledged(t, sim.sendTo(0, Operation{"a", "t1", 4}))
	for _, machine := range sim.machines {
		machine.process.kill(false)
	}
	sim.run(time.Second)
	second := sim.machines[1]
	second.boot()
	sim.run(500 * time.Millisecond)
	if _, err := second.process.node.Add(Operation{"b", "t1", 1}, second.process.clock()); !errors.Is(err, ErrNotReady) {
		t.Errorf("the first machine to return: %v", err)
	}
	sim.run(startGrace - 600*time.Millisecond)
	resent := sim.sendTo(1, Operation{"a", "t1", 4})
	sim.run(90 * time.Millisecond)
	if resent.done {
		t.Error("acknowledged by the first machine to return, alone")
	}
	for _, machine := range sim.machines {
		machine.boot()
	}
	sim.requireConverged(t)
	sim.requireReading(t, "t1", "4", 0, 1, 2, 3, 4)
	sim.requireAcknowledged(t, sim.sendTo(1, Operation{"b", "t1", 1}))
}

// TestOneWayLinks checks that what a machine sends counts elsewhere although nothing comes back.
func TestOneWayLinks(t *testing.T) {
	sim := newScenario(t, 5, inThreeMachines)
	for index := 1; index < 5; index++ {
		sim.blocked[[2]int{index, 0}] = true
	}
	call := sim.sendTo(0, Operation{"a", "t1", 4})
	sim.run(100 * time.Millisecond)
	sim.requireReading(t, "t1", "4", 0, 1, 2, 3, 4)
	if call.done {
		t.Error("acknowledged without a reply")
	}
	sim.requireAcknowledged(t, call)
	sim.requireAcknowledged(t, sim.sendTo(1, Operation{"b", "t1", 1}))
	sim.run(2 * time.Second)
	sim.requireReading(t, "t1", "5", 1, 2, 3, 4)
	sim.requireReading(t, "t1", "4", 0)
	sim.heal()
	sim.requireConverged(t)
	sim.requireReading(t, "t1", "5", 0, 1, 2, 3, 4)
}

// TestBridge checks that a third machine relays between two that can't reach each other.
func TestBridge(t *testing.T) {
	sim := newScenario(t, 3, Durability{Machines: 2, Zones: 2})
	sim.blocked[[2]int{0, 1}] = true
	sim.blocked[[2]int{1, 0}] = true
	sim.run(time.Second)
	sim.requireAcknowledged(t, sim.sendTo(0, Operation{"a", "t1", 4}))
	sim.requireAcknowledged(t, sim.sendTo(1, Operation{"b", "t1", 1}))
	sim.requireConverged(t)
	sim.requireReading(t, "t1", "5", 0, 1, 2)
}

// TestFlappingLinks cuts and heals while logs are exchanged, with cuts in cuts.
func TestFlappingLinks(t *testing.T) {
	sim := newScenario(t, 5, inThreeMachines)
	sim.profile.addInterval = 5 * time.Millisecond
	sim.startClients()
	sim.cut(1, 3)
	sim.run(5 * time.Second)
	for round := range 12 {
		sim.heal()
		sim.run(time.Duration(40+30*round) * time.Millisecond)
		sim.cut(1, 3)
		sim.run(200 * time.Millisecond)
		sim.cut(round % 5)
		sim.run(400 * time.Millisecond)
	}
	sim.heal()
	healedAt := sim.now
	sim.run(mergeLimit)
	sim.checkComplete(healedAt)
	sim.clientsUntil = sim.now
	sim.requireConverged(t)
}

// TestFrozenMachineWakes checks that it acknowledges on as many machines as before, and catches up.
func TestFrozenMachineWakes(t *testing.T) {
	sim := newScenario(t, 5, inThreeMachines)
	frozen := sim.machines[4]
	frozen.process.freeze(20 * time.Second)
	sim.run(time.Second)
	sim.requireAcknowledged(t, sim.sendTo(0, Operation{"a", "t1", 4}))
	sim.run(18 * time.Second)
	sim.run(time.Second)
	resent := sim.sendTo(4, Operation{"a", "t1", 4})
	sim.run(time.Millisecond)
	if required := frozen.process.node.Status().Required; required != inThreeMachines {
		t.Errorf("the machine that woke requires %+v", required)
	}
	sim.requireAcknowledged(t, resent)
	sim.requireConverged(t)
	sim.requireReading(t, "t1", "4", 0, 1, 2, 3, 4)
}

// TestOriginGoneForGood checks that the log of a machine that was replaced reaches its replacement.
func TestOriginGoneForGood(t *testing.T) {
	sim := newScenario(t, 5, inThreeMachines)
	for _, id := range []string{"a", "b", "c"} {
		sim.requireAcknowledged(t, sim.sendTo(4, Operation{id, "t1", 4}))
	}
	gone := sim.machines[4].disk.origin
	sim.replaceMachine(sim.machines[4])
	sim.run(2 * time.Second)
	sim.requireAcknowledged(t, sim.sendTo(5, Operation{"d", "t1", 1}))
	sim.requireConverged(t)
	sim.requireReading(t, "t1", "13", 0, 1, 2, 3, 5)
	if held := sim.machines[5].disk.held; held[gone] != 3 {
		t.Errorf("the replacement holds %v", held)
	}
}

// TestEndsOfTheRange checks totals beyond 64 bits, in any order of additions.
func TestEndsOfTheRange(t *testing.T) {
	sim := newScenario(t, 5, inThreeMachines)
	sim.profile.mixedSigns = true
	sim.cut(1, 3)
	for _, operation := range []Operation{{"a", "t1", math.MaxInt64}, {"b", "t1", math.MaxInt64}, {"c", "t2", math.MinInt64}} {
		sim.requireAcknowledged(t, sim.sendTo(0, operation))
	}
	for _, operation := range []Operation{{"d", "t1", math.MaxInt64}, {"e", "t2", math.MinInt64}, {"f", "t2", -1}} {
		sim.requireAcknowledged(t, sim.sendTo(1, operation))
	}
	sim.heal()
	sim.requireConverged(t)
	sim.requireReading(t, "t1", "27670116110564327421", 0, 1, 2, 3, 4)
	sim.requireReading(t, "t2", "-18446744073709551617", 0, 1, 2, 3, 4)
}
