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
	sim         *simulation
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

func (sim *simulation) addOperator(number int) {
	operator := &simOperator{sim: sim, number: number}
	sim.operators = append(sim.operators, operator)
	sim.schedule(sim.uniform(time.Second, 3*time.Second), operator.act)
}

// finish has the operator find out what became of its change, and make one more.
func (o *simOperator) finish() { o.finishing = true }

func (o *simOperator) act() {
	sim := o.sim
	sim.schedule(sim.uniform(sim.profile.ThinkTime/4, sim.profile.ThinkTime), o.act)
	if o.waiting || o.done {
		return
	}
	request := o.nextRequest()
	if request == nil {
		return
	}
	o.waiting = true
	if !request.read && sim.chance(0.15) {
		o.send(request, func(simResponse) {}) // through two machines at once
	}
	o.send(request, func(response simResponse) { o.handleResponse(request, response) })
}

// nextRequest is what the operator asks next; nil: nothing.
func (o *simOperator) nextRequest() *simRequest {
	sim := o.sim
	switch {
	case o.unlimited:
		return o.newChange()
	case o.unresolved != nil && (o.finishing || sim.chance(0.7)):
		return o.unresolved
	case o.finishing && o.created > maxOperatorRequests:
		return nil
	case !o.finishing && o.created >= maxOperatorRequests:
		return nil
	case o.lastChange != nil && sim.chance(0.15):
		return o.lastChange
	case !o.finishing && sim.chance(0.4):
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
	sim := o.sim
	sim.oracle.requests++
	request := &simRequest{base: o.lastVersion}
	if sim.chance(0.1) {
		request.base += uint64(sim.random.IntN(3))
	}
	request.version = request.base + 1 + uint64(sim.random.IntN(2))
	binary.BigEndian.PutUint64(request.digest[:], sim.oracle.requests)
	o.lastChange = request
	return request
}

// handleResponse takes an answer.
func (o *simOperator) handleResponse(request *simRequest, response simResponse) {
	o.waiting = false
	if response.kind != responseUnknown {
		o.lastVersion = max(o.lastVersion, response.version)
	}
	if request.read {
		return
	}
	switch {
	case response.kind == responseUnknown && !response.undecidable:
		o.unresolved = request
	case o.unresolved == request:
		o.unresolved = nil
	}
	if o.finishing && (response.kind != responseUnknown || response.undecidable) && o.unresolved == nil && o.created > maxOperatorRequests {
		o.done = true
	}
}

// send sends a request through any machine and notes what becomes of it.
func (o *simOperator) send(request *simRequest, told func(simResponse)) {
	sim := o.sim
	record := sim.history.begin(o.number, request, sim.now)
	over := false
	end := func(response simResponse) {
		if over {
			return
		}
		over = true
		sim.stats.record(request, response)
		record.complete(response, sim.now)
		told(response)
	}
	sim.schedule(operatorTimeout, func() { end(simResponse{}) })
	machine := sim.randomMachine()
	for machine == o.avoid {
		machine = sim.randomMachine()
	}
	process := machine.process
	if process == nil {
		return
	}
	sim.schedule(time.Millisecond, func() {
		process.execute(func() {
			process.handleRequest(request, func(response simResponse) { sim.schedule(time.Millisecond, func() { end(response) }) })
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

func (h *requestHistory) begin(client int, request *simRequest, now time.Duration) *requestRecord {
	record := &requestRecord{operator: client, request: *request, invoked: now}
	h.operations = append(h.operations, record)
	return record
}

func (o *requestRecord) complete(response simResponse, now time.Duration) {
	o.response, o.returned = response, now
}

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
func (sim *simulation) checkHistory() {
	operations := sim.linearizableOperations()
	switch porcupine.CheckOperationsTimeout(registerModel, operations, linearizabilityTimeout) {
	case porcupine.Illegal:
		sim.fail("the operators' history is not linearizable: %s", sim.history.text())
	case porcupine.Unknown:
		sim.fail("the operators' history of %d operations took too long to check", len(operations))
	}
}

// linearizableOperations are the history without what cannot matter: reads without an answer, changes without one that were never put
// in force, and all but the first of the same change without an answer.
func (sim *simulation) linearizableOperations() (operations []porcupine.Operation) {
	unanswered := map[state.Digest]bool{}
	for _, record := range sim.history.operations {
		until := int64(record.returned)
		if record.response.kind == responseUnknown {
			digest := record.request.digest
			if record.request.read || unanswered[digest] || !sim.oracle.everCommitted(digest) {
				continue
			}
			unanswered[digest] = true
			until = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: record.operator, Input: record.request, Call: int64(record.invoked),
			Output: record.response, Return: until})
	}
	return operations
}
