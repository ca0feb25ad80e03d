package replica

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// evacuationOperator is the only one that orders evacuations of its zone: one order at a time, repeated through any
// machine until it is acknowledged or abandoned. What was acknowledged must hold until its next order.
type evacuationOperator struct {
	sim          *simulation
	zone         string
	evacuated    bool // as it was agreed on
	order        *evacuationOrder
	history      []*evacuationRecord
	finishing    bool
	acknowledged int
}

// evacuationOrder is an order, however often it is sent.
type evacuationOrder struct {
	request      simRequest
	acknowledged bool
}

// evacuationRecord is a request for an order, or a read.
type evacuationRecord struct {
	order             *evacuationOrder // nil: a read
	evacuated         bool             // as it was read
	answered          bool
	invoked, returned time.Duration
}

// addEvacuationOperator adds the operator of a zone.
func (sim *simulation) addEvacuationOperator(zone string) {
	operator := &evacuationOperator{sim: sim, zone: zone}
	sim.evacuationOperators = append(sim.evacuationOperators, operator)
	sim.schedule(sim.uniform(time.Second, 3*time.Second), operator.startOrder)
	sim.schedule(sim.uniform(time.Second, 3*time.Second), operator.startRead)
}

// recordEvacuation notes a committed evacuation and checks that it does not undo an acknowledged order.
func (sim *simulation) recordEvacuation(request *simRequest) {
	for _, operator := range sim.evacuationOperators {
		if operator.zone != request.zone {
			continue
		}
		operator.evacuated = request.evacuated
		sim.logf("zone %s is evacuated: %t", operator.zone, operator.evacuated)
		if operator.order.acknowledged && operator.order.request.evacuated != operator.evacuated {
			sim.fail("evacuation of %s to %t was acknowledged, and is undone", operator.zone, operator.order.request.evacuated)
		}
	}
}

// startOrder starts an order: the opposite of the last one, or at times the same again.
func (o *evacuationOperator) startOrder() {
	sim := o.sim
	evacuate := o.order == nil || !o.order.request.evacuated
	if sim.chance(0.2) {
		evacuate = !evacuate
	}
	if o.order != nil {
		*o.order.request.abandoned = true
	}
	order := &evacuationOrder{request: simRequest{zone: o.zone, evacuated: evacuate, abandoned: new(bool)}}
	o.order = order
	o.send(order)
	sim.schedule(sim.uniform(500*time.Millisecond, 5*time.Second), func() {
		if o.order == order && !order.acknowledged && !o.finishing {
			o.startOrder()
		}
	})
}

// send sends the order and repeats it until it is acknowledged.
func (o *evacuationOperator) send(order *evacuationOrder) {
	sim := o.sim
	if o.order != order || order.acknowledged {
		return
	}
	for range 1 + sim.random.IntN(4)/3 {
		record := &evacuationRecord{order: order, invoked: sim.now}
		o.request(record, &order.request, func(response simResponse) {
			if response.kind == responseAccepted && o.order == order && !order.acknowledged {
				o.handleAcknowledged(order)
			}
		})
	}
	sim.schedule(sim.uniform(200*time.Millisecond, time.Second), func() { o.send(order) })
}

// handleAcknowledged handles the first acknowledgement of an order.
func (o *evacuationOperator) handleAcknowledged(order *evacuationOrder) {
	sim := o.sim
	order.acknowledged = true
	*order.request.abandoned = true
	o.acknowledged++
	sim.stats.counters.evacuations++
	if o.evacuated != order.request.evacuated {
		sim.fail("evacuation of %s to %t is acknowledged, and is not so", o.zone, order.request.evacuated)
	}
	if !o.finishing {
		sim.schedule(sim.uniform(0, 2*sim.profile.ThinkTime), o.startOrder)
	}
}

// startRead reads whether the zone is evacuated, and schedules the next read.
func (o *evacuationOperator) startRead() {
	sim := o.sim
	sim.schedule(sim.uniform(sim.profile.ThinkTime/2, 2*sim.profile.ThinkTime), o.startRead)
	record := &evacuationRecord{invoked: sim.now}
	o.request(record, &simRequest{read: true, zone: o.zone}, func(simResponse) {})
}

// request sends a request to any machine and records the response if it arrives in time.
func (o *evacuationOperator) request(record *evacuationRecord, request *simRequest, handle func(simResponse)) {
	sim := o.sim
	o.history = append(o.history, record)
	deadline := sim.now + operatorTimeout
	process := sim.randomMachine().process
	if process == nil {
		return
	}
	sim.schedule(time.Millisecond, func() {
		process.execute(func() {
			if request.read && sim.now > deadline {
				return
			}
			process.handleRequest(request, func(response simResponse) {
				sim.schedule(time.Millisecond, func() {
					if sim.now > deadline || response.kind == responseUnknown || record.answered {
						return
					}
					record.answered = true
					record.evacuated = response.evacuated
					record.returned = sim.now
					handle(response)
				})
			})
		})
	})
}

// notConverged returns what is missing at the end; empty if nothing is.
func (o *evacuationOperator) notConverged() string {
	if o.order == nil || !o.order.acknowledged {
		return "the order of the operator of zone " + o.zone + " is not acknowledged"
	}
	for _, machine := range o.sim.activeMachines() {
		if machine.process.state.Evacuation(o.zone).Evacuated != o.evacuated {
			return "a machine does not know of zone " + o.zone
		}
	}
	return ""
}

// evacuationModel is the sequential specification of a zone. An abandoned order may have taken effect or not.
var evacuationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(now, input, _ any) []any {
		op := input.(*evacuationRecord)
		switch {
		case op.order == nil && now.(bool) != op.evacuated:
			return nil
		case op.order == nil:
			return []any{now}
		case op.order.acknowledged:
			return []any{op.order.request.evacuated}
		}
		return []any{now, op.order.request.evacuated}
	},
}

// checkHistory checks that the zone's history is linearizable: each order takes effect at most once, and no abandoned
// order after the next acknowledgement.
func (o *evacuationOperator) checkHistory() {
	var operations []porcupine.Operation
	seen := map[*evacuationOrder]bool{}
	for i, record := range o.history {
		until := record.returned
		switch {
		case record.order == nil && !record.answered, seen[record.order]:
			continue
		case record.order != nil:
			seen[record.order] = true
			until = o.acknowledgedAfter(i)
		}
		operations = append(operations, porcupine.Operation{Input: record, Call: int64(record.invoked), Return: int64(until)})
	}
	switch porcupine.CheckOperationsTimeout(evacuationModel.ToModel(), operations, linearizabilityTimeout) {
	case porcupine.Illegal:
		o.sim.fail("the history of zone %s is not linearizable", o.zone)
	case porcupine.Unknown:
		o.sim.fail("the history of zone %s with %d operations took too long to check", o.zone, len(operations))
	}
}

// acknowledgedAfter returns when the order of a record, or a later one, was first acknowledged.
func (o *evacuationOperator) acknowledgedAfter(i int) time.Duration {
	at := time.Duration(math.MaxInt64)
	for _, record := range o.history[i:] {
		if record.order != nil && record.answered {
			at = min(at, record.returned)
		}
	}
	return at
}
