package replica

import (
	"encoding/binary"
	"time"
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
