package replica

import (
	"encoding/binary"
	"time"
)

// Parameters of operators.
const (
	operatorTimeout        = 1200 * time.Millisecond // for a response
	maxOperatorRequests    = 24                      // different requests of an operator
	linearizabilityTimeout = 30 * time.Second
)

// simOperator sends changes and reads through any machine, one at a time, and repeats changes whose outcome it does
// not know. It competes with the other operators.
type simOperator struct {
	sim         *simulation
	number      int
	lastVersion uint64 // the last one it saw
	created     int
	lastChange  *simRequest // the last change it sent
	unresolved  *simRequest // a change whose outcome is unknown
	waiting     bool
	// unlimited makes it send changes without end and ignore unknown outcomes.
	unlimited bool
	avoid     *simMachine // it sends nothing to this machine
	finishing bool
	done      bool
}

// addOperator adds an operator that starts soon.
func (sim *simulation) addOperator(number int) {
	operator := &simOperator{sim: sim, number: number}
	sim.operators = append(sim.operators, operator)
	sim.schedule(sim.uniform(time.Second, 3*time.Second), operator.act)
}

// finish makes the operator find out the outcome of its last change and send one more.
func (o *simOperator) finish() { o.finishing = true }

// act sends the next request if none is in flight.
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
		o.send(request, func(simResponse) {}) // through two machines at the same time
	}
	o.send(request, func(response simResponse) { o.handleResponse(request, response) })
}

// nextRequest returns the next request, nil if there is none.
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

// newChange returns a new change, on the version that the operator saw last or on another.
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

// handleResponse handles the response to a request.
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

// send sends a request through any machine and records the response.
func (o *simOperator) send(request *simRequest, handle func(simResponse)) {
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
		handle(response)
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
