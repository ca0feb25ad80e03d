package replica

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"cinderroad/internal/system/control/state"
)

const (
	operatorTimeout        = 1200 * time.Millisecond // for an answer
	maxOperatorRequests    = 24                      // requests that an operator makes up
	linearizabilityTimeout = 30 * time.Second
)

// simOperator sends changes and reads through any machine, one after the other, and changes whose outcome it does not
// know again. It races the others.
type simOperator struct {
	world       *simulation
	number      int
	lastVersion uint64 // that it saw last
	created     int
	lastChange  *simRequest // its last change
	unresolved  *simRequest // a change whose outcome it does not know
	waiting     bool
	// unlimited: it goes on making changes up, and lets those go whose outcome it does not know.
	unlimited bool
	avoid     *simMachine // it does not ask this machine
	finishing bool
	done      bool
}

func (w *simulation) addOperator(number int) {
	o := &simOperator{world: w, number: number}
	w.operators = append(w.operators, o)
	w.schedule(w.uniform(time.Second, 3*time.Second), o.act)
}

// finish has the operator find out what became of its change, and make one more.
func (o *simOperator) finish() { o.finishing = true }

func (o *simOperator) act() {
	w := o.world
	w.schedule(w.uniform(w.profile.ThinkTime/4, w.profile.ThinkTime), o.act)
	if o.waiting || o.done {
		return
	}
	r := o.nextRequest()
	if r == nil {
		return
	}
	o.waiting = true
	if !r.read && w.chance(0.15) {
		o.send(r, func(simResponse) {}) // through two machines at once
	}
	o.send(r, func(a simResponse) { o.handleResponse(r, a) })
}

// nextRequest is what the operator asks next; nil: nothing.
func (o *simOperator) nextRequest() *simRequest {
	w := o.world
	switch {
	case o.unlimited:
		return o.newChange()
	case o.unresolved != nil && (o.finishing || w.chance(0.7)):
		return o.unresolved
	case o.finishing && o.created > maxOperatorRequests:
		return nil
	case !o.finishing && o.created >= maxOperatorRequests:
		return nil
	case o.lastChange != nil && w.chance(0.15):
		return o.lastChange
	case !o.finishing && w.chance(0.4):
		o.created++
		return &simRequest{read: true}
	}
	o.created++
	if o.finishing {
		o.created = maxOperatorRequests + 1
	}
	return o.newChange()
}

// newChange is a new change, on the version that the operator has seen last or on another.
func (o *simOperator) newChange() *simRequest {
	w := o.world
	w.oracle.requests++
	r := &simRequest{base: o.lastVersion}
	if w.chance(0.1) {
		r.base += uint64(w.random.IntN(3))
	}
	r.version = r.base + 1 + uint64(w.random.IntN(2))
	binary.BigEndian.PutUint64(r.digest[:], w.oracle.requests)
	o.lastChange = r
	return r
}

// handleResponse takes an answer.
func (o *simOperator) handleResponse(r *simRequest, a simResponse) {
	o.waiting = false
	if a.kind != responseUnknown {
		o.lastVersion = max(o.lastVersion, a.version)
	}
	if r.read {
		return
	}
	switch {
	case a.kind == responseUnknown && !a.undecidable:
		o.unresolved = r
	case o.unresolved == r:
		o.unresolved = nil
	}
	if o.finishing && (a.kind != responseUnknown || a.undecidable) && o.unresolved == nil && o.created > maxOperatorRequests {
		o.done = true
	}
}

// send sends a request through any machine and notes what becomes of it.
func (o *simOperator) send(r *simRequest, told func(simResponse)) {
	w := o.world
	op := w.history.begin(o.number, r, w.now)
	over := false
	end := func(a simResponse) {
		if over {
			return
		}
		over = true
		w.stats.record(r, a)
		op.complete(a, w.now)
		told(a)
	}
	w.schedule(operatorTimeout, func() { end(simResponse{}) })
	slot := w.randomMachine()
	for slot == o.avoid {
		slot = w.randomMachine()
	}
	p := slot.process
	if p == nil {
		return
	}
	w.schedule(time.Millisecond, func() {
		p.execute(func() {
			p.handleRequest(r, func(a simResponse) { w.schedule(time.Millisecond, func() { end(a) }) })
		})
	})
}

// requestHistory is what operators asked and were told.
type requestHistory struct{ operations []*requestRecord }

type requestRecord struct {
	operator          int
	request           simRequest
	response          simResponse
	invoked, returned time.Duration
}

func (h *requestHistory) begin(client int, r *simRequest, now time.Duration) *requestRecord {
	op := &requestRecord{operator: client, request: *r, invoked: now}
	h.operations = append(h.operations, op)
	return op
}

func (o *requestRecord) complete(a simResponse, now time.Duration) { o.response, o.returned = a, now }

// register is the configuration as an operator may see it: the last accepted change and those before it.
type register struct {
	previous *register
	version  uint64
	digest   state.Digest
}

func (r *register) current() uint64 {
	if r == nil {
		return 0
	}
	return r.version
}

// accepted is the version of a change that was accepted.
func (r *register) accepted(digest state.Digest) (uint64, bool) {
	for ; r != nil; r = r.previous {
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
		r, other = r.previous, other.previous
	}
	return r == other
}

// registerModel is what operators may rely on: a change that builds on the version in force is accepted, once however
// often it is sent, and any other is refused; a read shows what is in force. A change whose outcome is not known may take
// effect at any time after it was sent.
var registerModel = porcupine.Model{
	Init: func() any { return (*register)(nil) },
	Step: func(now, input, output any) (bool, any) {
		r, request, answer := now.(*register), input.(simRequest), output.(simResponse)
		if request.read {
			return answer.version == r.current() && (r == nil || answer.digest == r.digest), r
		}
		version, known := r.accepted(request.digest)
		next := r
		if !known && request.base == r.current() {
			version, known = request.version, true
			next = &register{previous: r, version: request.version, digest: request.digest}
		}
		switch answer.kind {
		case responseAccepted:
			return known && answer.version == version, next
		case responseConflict:
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
func (w *simulation) checkHistory() {
	operations := w.linearizableOperations()
	switch porcupine.CheckOperationsTimeout(registerModel, operations, linearizabilityTimeout) {
	case porcupine.Illegal:
		w.fail("the operators' history is not linearizable: %s", w.history.text())
	case porcupine.Unknown:
		w.fail("the operators' history of %d operations took too long to check", len(operations))
	}
}

// linearizableOperations are the history without what cannot matter: reads without an answer, changes without one that were never put
// in force, and all but the first of the same change without an answer.
func (w *simulation) linearizableOperations() (operations []porcupine.Operation) {
	unanswered := map[state.Digest]bool{}
	for _, op := range w.history.operations {
		until := int64(op.returned)
		if op.response.kind == responseUnknown {
			digest := op.request.digest
			if op.request.read || unanswered[digest] || !w.oracle.everCommitted(digest) {
				continue
			}
			unanswered[digest] = true
			until = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: op.operator, Input: op.request, Call: int64(op.invoked),
			Output: op.response, Return: until})
	}
	return operations
}
