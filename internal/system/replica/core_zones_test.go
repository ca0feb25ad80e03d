package replica

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// zoneOperator is the only one to order about its zone: one thing after the other, each sent again through any machine
// until it is acknowledged or given up. What was acknowledged has to hold until it orders something else.
type zoneOperator struct {
	world        *coreWorld
	zone         string
	on           bool // as it was agreed on
	order        *zoneOrder
	history      []*zoneOperation
	ending       bool
	acknowledged int
}

// zoneOrder is an order however often it is sent.
type zoneOrder struct {
	request      coreRequest
	acknowledged bool
}

// zoneOperation is a copy of an order, or a read.
type zoneOperation struct {
	order       *zoneOrder // nil: a read
	on          bool       // as it was read
	answered    bool
	from, until time.Duration
}

func (w *coreWorld) addZoneOperator(zone string) {
	o := &zoneOperator{world: w, zone: zone}
	w.zones = append(w.zones, o)
	w.after(w.between(time.Second, 3*time.Second), o.begin)
	w.after(w.between(time.Second, 3*time.Second), o.look)
}

// noteZone sees that nobody but its operator changes what was acknowledged.
func (w *coreWorld) noteZone(r *coreRequest) {
	for _, o := range w.zones {
		if o.zone != r.zone {
			continue
		}
		o.on = r.on
		w.logf("zone %s is evacuated: %t", o.zone, o.on)
		if o.order.acknowledged && o.order.request.on != o.on {
			w.fail("evacuation of %s to %t was acknowledged, and is undone", o.zone, o.order.request.on)
		}
	}
}

// begin orders the contrary of the last order, or at times the same again.
func (o *zoneOperator) begin() {
	w := o.world
	on := o.order == nil || !o.order.request.on
	if w.chance(0.2) {
		on = !on
	}
	if o.order != nil {
		*o.order.request.gone = true
	}
	order := &zoneOrder{request: coreRequest{zone: o.zone, on: on, gone: new(bool)}}
	o.order = order
	o.send(order)
	w.after(w.between(500*time.Millisecond, 5*time.Second), func() {
		if o.order == order && !order.acknowledged && !o.ending {
			o.begin()
		}
	})
}

// send sends the order, and again until it is acknowledged.
func (o *zoneOperator) send(order *zoneOrder) {
	w := o.world
	if o.order != order || order.acknowledged {
		return
	}
	for range 1 + w.random.IntN(4)/3 {
		op := &zoneOperation{order: order, from: w.now}
		o.ask(op, &order.request, func(a coreAnswer) {
			if a.kind == answerAccepted && o.order == order && !order.acknowledged {
				o.holds(order)
			}
		})
	}
	w.after(w.between(200*time.Millisecond, time.Second), func() { o.send(order) })
}

// holds notes an acknowledgement.
func (o *zoneOperator) holds(order *zoneOrder) {
	w := o.world
	order.acknowledged = true
	*order.request.gone = true
	o.acknowledged++
	w.counts.numbers.zoneOrders++
	if o.on != order.request.on {
		w.fail("evacuation of %s to %t is acknowledged, and is not so", o.zone, order.request.on)
	}
	if !o.ending {
		w.after(w.between(0, 2*w.profile.Think), o.begin)
	}
}

// look reads whether the zone is evacuated.
func (o *zoneOperator) look() {
	w := o.world
	w.after(w.between(w.profile.Think/2, 2*w.profile.Think), o.look)
	op := &zoneOperation{from: w.now}
	o.ask(op, &coreRequest{read: true, zone: o.zone}, func(coreAnswer) {})
}

// ask sends a request to any machine and notes the answer, if one comes in time.
func (o *zoneOperator) ask(op *zoneOperation, r *coreRequest, told func(coreAnswer)) {
	w := o.world
	o.history = append(o.history, op)
	given := w.now + operatorWaits
	p := w.anySlot().process
	if p == nil {
		return
	}
	w.after(time.Millisecond, func() {
		p.do(func() {
			if r.read && w.now > given {
				return
			}
			p.serve(r, func(a coreAnswer) {
				w.after(time.Millisecond, func() {
					if w.now > given || a.kind == answerUnknown || op.answered {
						return
					}
					op.answered, op.on, op.until = true, a.on, w.now
					told(a)
				})
			})
		})
	})
}

// unsettled tells what is left at the end; empty: nothing.
func (o *zoneOperator) unsettled() string {
	if o.order == nil || !o.order.acknowledged {
		return "the operator of zone " + o.zone + " does not know what became of its order"
	}
	for _, s := range o.world.inUse() {
		if s.process.state.Evacuation(o.zone).On != o.on {
			return "a machine does not know of zone " + o.zone
		}
	}
	return ""
}

// zoneModel is a zone that is evacuated or not. An order that was given up may have taken effect or not.
var zoneModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(now, input, _ any) []any {
		op := input.(*zoneOperation)
		switch {
		case op.order == nil && now.(bool) != op.on:
			return nil
		case op.order == nil:
			return []any{now}
		case op.order.acknowledged:
			return []any{op.order.request.on}
		}
		return []any{now, op.order.request.on}
	},
}

// checkHistory tells whether the history is that of a zone in which each order takes effect at most once, and none that
// was given up after the next acknowledgement.
func (o *zoneOperator) checkHistory() {
	var operations []porcupine.Operation
	seen := map[*zoneOrder]bool{}
	for i, op := range o.history {
		until := op.until
		switch {
		case op.order == nil && !op.answered, seen[op.order]:
			continue
		case op.order != nil:
			seen[op.order] = true
			until = o.acknowledgedAfter(i)
		}
		operations = append(operations, porcupine.Operation{Input: op, Call: int64(op.from), Return: int64(until)})
	}
	switch porcupine.CheckOperationsTimeout(zoneModel.ToModel(), operations, checkingAtMost) {
	case porcupine.Illegal:
		o.world.fail("the history of zone %s is not linearizable", o.zone)
	case porcupine.Unknown:
		o.world.fail("the history of zone %s with %d operations took too long to check", o.zone, len(operations))
	}
}

// acknowledgedAfter is when the order of an operation, or a later one, was first acknowledged.
func (o *zoneOperator) acknowledgedAfter(i int) time.Duration {
	at := time.Duration(math.MaxInt64)
	for _, op := range o.history[i:] {
		if op.order != nil && op.answered {
			at = min(at, op.until)
		}
	}
	return at
}
