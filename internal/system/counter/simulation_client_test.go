package counter

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// counterNames are the counters that clients use.
var counterNames = []string{"t1", "t2", "t3"}

// clientCall is an operation that a client wants counted.
type clientCall struct {
	operation  Operation
	attempts   int // that are left
	acceptedAt time.Duration
	done       bool
	finished   func() // the call is acknowledged
}

// startClients begins to send operations and reads.
func (sim *simulation) startClients() {
	sim.schedule(sim.randomDuration(0, 2*sim.profile.addInterval), func() {
		if sim.now >= sim.clientsUntil {
			return
		}
		sim.startClients()
		sim.callSomewhere()
		if members := sim.members(); sim.chance(0.3) {
			sim.read(members[sim.random.IntN(len(members))])
		}
	})
}

// callSomewhere sends a new operation, or one that was sent before.
func (sim *simulation) callSomewhere() {
	operation := sim.drawOperation()
	if known := sim.observed.sent; len(known) > 0 && sim.chance(0.1) {
		operation = known[sim.random.IntN(len(known))]
		if sim.chance(sim.profile.conflictRate) {
			if sim.chance(0.5) {
				operation.Amount++
			} else {
				operation.Counter = counterNames[sim.random.IntN(len(counterNames))]
			}
			sim.observed.conflicting[operation.ID] = true
		}
	}
	sim.observed.sent = append(sim.observed.sent, operation)
	call := &clientCall{operation: operation, attempts: 1 + sim.random.IntN(3)}
	members := sim.members()
	sim.attempt(call, members[sim.random.IntN(len(members))])
}

func (sim *simulation) drawOperation() Operation {
	sim.lastID++
	operation := Operation{
		ID:      fmt.Sprintf("%016x", sim.lastID),
		Counter: counterNames[sim.random.IntN(len(counterNames))],
		Amount:  1 + sim.random.Int64N(9),
	}
	if sim.chance(0.1) {
		operation.ID = fmt.Sprintf("id-%d", sim.lastID)
	}
	if sim.profile.mixedSigns {
		ends := []int64{math.MinInt64, math.MaxInt64 - 1, -3, 0}
		if sim.chance(0.5) {
			operation.Amount = ends[sim.random.IntN(len(ends))]
		}
	}
	return operation
}

// attempt sends a call to a machine, and to another one if it isn't acknowledged in time.
func (sim *simulation) attempt(call *clientCall, to *machine) {
	call.attempts--
	sim.schedule(clientTimeout+100*time.Millisecond, func() {
		if !call.done && call.attempts > 0 {
			members := sim.members()
			sim.attempt(call, members[sim.random.IntN(len(members))])
		}
	})
	if to.process == nil {
		return
	}
	process := to.process
	process.run(func() { sim.add(process, call) })
}

// add passes a call to a node.
func (sim *simulation) add(process *process, call *clientCall) {
	before := process.node.Status()
	id, err := process.node.Add(call.operation, process.clock())
	switch {
	case errors.Is(err, ErrConflict):
		if !sim.observed.conflicting[call.operation.ID] {
			sim.fail("machine %d: %+v conflicts", process.machine.index, call.operation)
		}
	case errors.Is(err, ErrNotReady):
	case err != nil:
		sim.fail("machine %d: %v", process.machine.index, err)
	}
	if err != nil {
		after := process.node.Status()
		if after.Operations != before.Operations || after.Entries != before.Entries {
			sim.fail("machine %d: rejected %+v and kept it", process.machine.index, call.operation)
		}
		return
	}
	sim.observed.accepted(call.operation)
	process.accepted[call.operation.ID] = true
	accepted := *call
	accepted.acceptedAt = sim.now
	accepted.finished = func() { call.done = true }
	process.calls[id] = &accepted
	sim.schedule(clientTimeout, func() {
		process.run(func() {
			delete(process.calls, id)
			process.node.Forget(id)
		})
	})
}

// read checks a reading of each counter.
func (sim *simulation) read(from *machine) {
	process := from.process
	if process == nil || process.frozen {
		return
	}
	for _, name := range counterNames {
		total, err := process.node.Total(name)
		if err != nil {
			if from.disk.first {
				sim.fail("machine %d: %v", from.index, err)
			}
			return
		}
		sim.checkReading(process, name, total)
	}
	sim.observed.reads++
}
