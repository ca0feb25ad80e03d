package replica

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"cinderroad/internal/system/control/state"
)

const (
	operatorWaits  = 1200 * time.Millisecond // for an answer
	operatorMost   = 24                      // requests that an operator makes up
	checkingAtMost = 30 * time.Second
)

// coreOperator sends changes and reads through any machine, one after the other, and changes whose outcome it does not
// know again. It races the others.
type coreOperator struct {
	world   *coreWorld
	number  int
	version uint64 // that it saw last
	made    int
	last    *coreRequest // its last change
	open    *coreRequest // a change whose outcome it does not know
	waiting bool
	// tireless: it goes on making changes up, and lets those go whose outcome it does not know.
	tireless bool
	avoid    *coreSlot // it does not ask this machine
	ending   bool
	done     bool
}

func (w *coreWorld) addOperator(number int) {
	o := &coreOperator{world: w, number: number}
	w.operators = append(w.operators, o)
	w.after(w.between(time.Second, 3*time.Second), o.act)
}

// finish has the operator find out what became of its change, and make one more.
func (o *coreOperator) finish() { o.ending = true }

func (o *coreOperator) act() {
	w := o.world
	w.after(w.between(w.profile.Think/4, w.profile.Think), o.act)
	if o.waiting || o.done {
		return
	}
	r := o.next()
	if r == nil {
		return
	}
	o.waiting = true
	if !r.read && w.chance(0.15) {
		o.ask(r, func(coreAnswer) {}) // through two machines at once
	}
	o.ask(r, func(a coreAnswer) { o.told(r, a) })
}

// next is what the operator asks next; nil: nothing.
func (o *coreOperator) next() *coreRequest {
	w := o.world
	switch {
	case o.tireless:
		return o.change()
	case o.open != nil && (o.ending || w.chance(0.7)):
		return o.open
	case o.ending && o.made > operatorMost:
		return nil
	case !o.ending && o.made >= operatorMost:
		return nil
	case o.last != nil && w.chance(0.15):
		return o.last
	case !o.ending && w.chance(0.4):
		o.made++
		return &coreRequest{read: true}
	}
	o.made++
	if o.ending {
		o.made = operatorMost + 1
	}
	return o.change()
}

// change is a new change, on the version that the operator has seen last or on another.
func (o *coreOperator) change() *coreRequest {
	w := o.world
	w.truth.requests++
	r := &coreRequest{base: o.version}
	if w.chance(0.1) {
		r.base += uint64(w.random.IntN(3))
	}
	r.version = r.base + 1 + uint64(w.random.IntN(2))
	binary.BigEndian.PutUint64(r.digest[:], w.truth.requests)
	o.last = r
	return r
}

// told takes an answer.
func (o *coreOperator) told(r *coreRequest, a coreAnswer) {
	o.waiting = false
	if a.kind != answerUnknown {
		o.version = max(o.version, a.version)
	}
	if r.read {
		return
	}
	switch {
	case a.kind == answerUnknown && !a.hopeless:
		o.open = r
	case o.open == r:
		o.open = nil
	}
	if o.ending && (a.kind != answerUnknown || a.hopeless) && o.open == nil && o.made > operatorMost {
		o.done = true
	}
}

// ask sends a request through any machine and notes what becomes of it.
func (o *coreOperator) ask(r *coreRequest, told func(coreAnswer)) {
	w := o.world
	op := w.history.begin(o.number, r, w.now)
	over := false
	end := func(a coreAnswer) {
		if over {
			return
		}
		over = true
		w.counts.note(r, a)
		op.end(a, w.now)
		told(a)
	}
	w.after(operatorWaits, func() { end(coreAnswer{}) })
	slot := w.anySlot()
	for slot == o.avoid {
		slot = w.anySlot()
	}
	p := slot.process
	if p == nil {
		return
	}
	w.after(time.Millisecond, func() {
		p.do(func() {
			p.serve(r, func(a coreAnswer) { w.after(time.Millisecond, func() { end(a) }) })
		})
	})
}

// coreHistory is what operators asked and were told.
type coreHistory struct{ operations []*coreOperation }

type coreOperation struct {
	client      int
	request     coreRequest
	answer      coreAnswer
	from, until time.Duration
}

func (h *coreHistory) begin(client int, r *coreRequest, now time.Duration) *coreOperation {
	op := &coreOperation{client: client, request: *r, from: now}
	h.operations = append(h.operations, op)
	return op
}

func (o *coreOperation) end(a coreAnswer, now time.Duration) { o.answer, o.until = a, now }

// register is the configuration as an operator may see it: the last accepted change and those before it.
type register struct {
	before  *register
	version uint64
	digest  state.Digest
}

func (r *register) current() uint64 {
	if r == nil {
		return 0
	}
	return r.version
}

// accepted is the version of a change that was accepted.
func (r *register) accepted(digest state.Digest) (uint64, bool) {
	for ; r != nil; r = r.before {
		if r.digest == digest {
			return r.version, true
		}
	}
	return 0, false
}

func (r *register) same(other *register) bool {
	for r != nil && other != nil && r != other {
		if r.version != other.version || r.digest != other.digest {
			return false
		}
		r, other = r.before, other.before
	}
	return r == other
}

// registerModel is what operators may rely on: a change that builds on the version in force is accepted, once however
// often it is sent, and any other is refused; a read shows what is in force. A change whose outcome is not known may take
// effect at any time after it was sent.
var registerModel = porcupine.Model{
	Init: func() any { return (*register)(nil) },
	Step: func(now, input, output any) (bool, any) {
		r, request, answer := now.(*register), input.(coreRequest), output.(coreAnswer)
		if request.read {
			return answer.version == r.current() && (r == nil || answer.digest == r.digest), r
		}
		version, known := r.accepted(request.digest)
		next := r
		if !known && request.base == r.current() {
			version, known = request.version, true
			next = &register{before: r, version: request.version, digest: request.digest}
		}
		switch answer.kind {
		case answerAccepted:
			return known && answer.version == version, next
		case answerConflict:
			return !known && answer.version == r.current(), r
		default:
			return true, next
		}
	},
	Equal: func(a, b any) bool { return a.(*register).same(b.(*register)) },
	Hash: func(a any) uint64 {
		r := a.(*register)
		if r == nil {
			return 0
		}
		return r.version ^ binary.BigEndian.Uint64(r.digest[:])<<32
	},
}

// checkHistory tells whether the history is one of a register.
func (w *coreWorld) checkHistory() {
	operations := w.operations()
	switch porcupine.CheckOperationsTimeout(registerModel, operations, checkingAtMost) {
	case porcupine.Illegal:
		w.fail("the operators' history is not linearizable: %s", w.history.text())
	case porcupine.Unknown:
		w.fail("the operators' history of %d operations took too long to check", len(operations))
	}
}

// operations are the history without what cannot matter: reads without an answer, changes without one that were never put
// in force, and all but the first of the same change without an answer.
func (w *coreWorld) operations() (operations []porcupine.Operation) {
	unanswered := map[state.Digest]bool{}
	for _, op := range w.history.operations {
		until := int64(op.until)
		if op.answer.kind == answerUnknown {
			digest := op.request.digest
			if op.request.read || unanswered[digest] || !w.truth.inForce(digest) {
				continue
			}
			unanswered[digest] = true
			until = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: op.client, Input: op.request, Call: int64(op.from),
			Output: op.answer, Return: until})
	}
	return operations
}
