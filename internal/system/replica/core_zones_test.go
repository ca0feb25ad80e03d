package replica

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// evacuationOperator is the only one to order about its zone: one thing after the other, each sent again through any machine
// until it is acknowledged or given up. What was acknowledged has to hold until it orders something else.
type evacuationOperator struct {
	world        *simulation
	zone         string
	evacuated    bool // as it was agreed on
	order        *evacuationOrder
	history      []*evacuationRecord
	finishing    bool
	acknowledged int
}

// evacuationOrder is an order however often it is sent.
type evacuationOrder struct {
	request      simRequest
	acknowledged bool
}

// evacuationRecord is a copy of an order, or a read.
type evacuationRecord struct {
	order             *evacuationOrder // nil: a read
	evacuated         bool             // as it was read
	answered          bool
	invoked, returned time.Duration
}

func (w *simulation) addEvacuationOperator(zone string) {
	o := &evacuationOperator{world: w, zone: zone}
	w.evacuationOperators = append(w.evacuationOperators, o)
	w.schedule(w.uniform(time.Second, 3*time.Second), o.startOrder)
	w.schedule(w.uniform(time.Second, 3*time.Second), o.startRead)
}

// recordEvacuation sees that nobody but its operator changes what was acknowledged.
func (w *simulation) recordEvacuation(r *simRequest) {
	for _, o := range w.evacuationOperators {
		if o.zone != r.zone {
			continue
		}
		o.evacuated = r.evacuated
		w.logf("zone %s is evacuated: %t", o.zone, o.evacuated)
		if o.order.acknowledged && o.order.request.evacuated != o.evacuated {
			w.fail("evacuation of %s to %t was acknowledged, and is undone", o.zone, o.order.request.evacuated)
		}
	}
}

// startOrder orders the contrary of the last order, or at times the same again.
func (o *evacuationOperator) startOrder() {
	w := o.world
	on := o.order == nil || !o.order.request.evacuated
	if w.chance(0.2) {
		on = !on
	}
	if o.order != nil {
		*o.order.request.abandoned = true
	}
	order := &evacuationOrder{request: simRequest{zone: o.zone, evacuated: on, abandoned: new(bool)}}
	o.order = order
	o.send(order)
	w.schedule(w.uniform(500*time.Millisecond, 5*time.Second), func() {
		if o.order == order && !order.acknowledged && !o.finishing {
			o.startOrder()
		}
	})
}

// send sends the order, and again until it is acknowledged.
func (o *evacuationOperator) send(order *evacuationOrder) {
	w := o.world
	if o.order != order || order.acknowledged {
		return
	}
	for range 1 + w.random.IntN(4)/3 {
		op := &evacuationRecord{order: order, invoked: w.now}
		o.request(op, &order.request, func(a simResponse) {
			if a.kind == responseAccepted && o.order == order && !order.acknowledged {
				o.handleAcknowledged(order)
			}
		})
	}
	w.schedule(w.uniform(200*time.Millisecond, time.Second), func() { o.send(order) })
}

// handleAcknowledged notes an acknowledgement.
func (o *evacuationOperator) handleAcknowledged(order *evacuationOrder) {
	w := o.world
	order.acknowledged = true
	*order.request.abandoned = true
	o.acknowledged++
	w.stats.counters.evacuations++
	if o.evacuated != order.request.evacuated {
		w.fail("evacuation of %s to %t is acknowledged, and is not so", o.zone, order.request.evacuated)
	}
	if !o.finishing {
		w.schedule(w.uniform(0, 2*w.profile.ThinkTime), o.startOrder)
	}
}

// startRead reads whether the zone is evacuated.
func (o *evacuationOperator) startRead() {
	w := o.world
	w.schedule(w.uniform(w.profile.ThinkTime/2, 2*w.profile.ThinkTime), o.startRead)
	op := &evacuationRecord{invoked: w.now}
	o.request(op, &simRequest{read: true, zone: o.zone}, func(simResponse) {})
}

// request sends a request to any machine and notes the answer, if one comes in time.
func (o *evacuationOperator) request(op *evacuationRecord, r *simRequest, told func(simResponse)) {
	w := o.world
	o.history = append(o.history, op)
	given := w.now + operatorTimeout
	p := w.randomMachine().process
	if p == nil {
		return
	}
	w.schedule(time.Millisecond, func() {
		p.execute(func() {
			if r.read && w.now > given {
				return
			}
			p.handleRequest(r, func(a simResponse) {
				w.schedule(time.Millisecond, func() {
					if w.now > given || a.kind == responseUnknown || op.answered {
						return
					}
					op.answered, op.evacuated, op.returned = true, a.evacuated, w.now
					told(a)
				})
			})
		})
	})
}

// notConverged tells what is left at the end; empty: nothing.
func (o *evacuationOperator) notConverged() string {
	if o.order == nil || !o.order.acknowledged {
		return "the operator of zone " + o.zone + " does not know what became of its order"
	}
	for _, s := range o.world.activeMachines() {
		if s.process.state.Evacuation(o.zone).On != o.evacuated {
			return "a machine does not know of zone " + o.zone
		}
	}
	return ""
}

// evacuationModel is a zone that is evacuated or not. An order that was given up may have taken effect or not.
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

// checkHistory tells whether the history is that of a zone in which each order takes effect at most once, and none that
// was given up after the next acknowledgement.
func (o *evacuationOperator) checkHistory() {
	var operations []porcupine.Operation
	seen := map[*evacuationOrder]bool{}
	for i, op := range o.history {
		until := op.returned
		switch {
		case op.order == nil && !op.answered, seen[op.order]:
			continue
		case op.order != nil:
			seen[op.order] = true
			until = o.acknowledgedAfter(i)
		}
		operations = append(operations, porcupine.Operation{Input: op, Call: int64(op.invoked), Return: int64(until)})
	}
	switch porcupine.CheckOperationsTimeout(evacuationModel.ToModel(), operations, linearizabilityTimeout) {
	case porcupine.Illegal:
		o.world.fail("the history of zone %s is not linearizable", o.zone)
	case porcupine.Unknown:
		o.world.fail("the history of zone %s with %d operations took too long to check", o.zone, len(operations))
	}
}

// acknowledgedAfter is when the order of an operation, or a later one, was first acknowledged.
func (o *evacuationOperator) acknowledgedAfter(i int) time.Duration {
	at := time.Duration(math.MaxInt64)
	for _, op := range o.history[i:] {
		if op.order != nil && op.answered {
			at = min(at, op.returned)
		}
	}
	return at
}
