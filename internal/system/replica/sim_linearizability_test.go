package replica

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"cinderroad/internal/system/control/state"
)

// requestHistory has all requests of operators and their responses.
type requestHistory struct{ operations []*requestRecord }

// requestRecord is a request with the times of its call and its response.
type requestRecord struct {
	operator          int
	request           simRequest
	response          simResponse
	invoked, returned time.Duration
}

// begin records a request.
func (h *requestHistory) begin(client int, request *simRequest, now time.Duration) *requestRecord {
	record := &requestRecord{operator: client, request: *request, invoked: now}
	h.operations = append(h.operations, record)
	return record
}

// complete records the response.
func (o *requestRecord) complete(response simResponse, now time.Duration) {
	o.response = response
	o.returned = now
}

// text formats the history.
func (h *requestHistory) text() string {
	var text strings.Builder
	for _, record := range h.operations {
		number := binary.BigEndian.Uint64(record.request.digest[:])
		what := fmt.Sprintf("change %d of %d to %d", number, record.request.base, record.request.version)
		if record.request.read {
			what = "read"
		}
		answer := [...]string{"unknown", "accepted", "conflict", "read"}[record.response.kind]
		fmt.Fprintf(&text, "\n  %v to %v: operator %d: %s: %s %d (%d)", record.invoked, record.returned, record.operator, what, answer,
			record.response.version, binary.BigEndian.Uint64(record.response.digest[:]))
	}
	return text.String()
}

// register is the configuration as an operator may see it: the last accepted change and those before it.
type register struct {
	previous *register
	version  uint64
	digest   state.Digest
}

// current returns the current version.
func (r *register) current() uint64 {
	if r == nil {
		return 0
	}
	return r.version
}

// accepted returns the version of a change if it was accepted.
func (r *register) accepted(digest state.Digest) (uint64, bool) {
	for ; r != nil; r = r.previous {
		if r.digest == digest {
			return r.version, true
		}
	}
	return 0, false
}

// same reports whether two registers have the same changes.
func (r *register) same(other *register) bool {
	for r != nil && other != nil && r != other {
		if r.version != other.version || r.digest != other.digest {
			return false
		}
		r = r.previous
		other = other.previous
	}
	return r == other
}

// registerModel is the sequential specification: a change that builds on the current version is accepted, once
// however often it is sent, and any other is rejected; a read returns the current version. A change with an unknown
// outcome may take effect at any time after it was sent.
var registerModel = porcupine.Model{
	Init: func() any { return (*register)(nil) },
	Step: func(now, input, output any) (bool, any) {
		r := now.(*register)
		request := input.(simRequest)
		answer := output.(simResponse)
		if request.read {
			return answer.version == r.current() && (r == nil || answer.digest == r.digest), r
		}
		version, known := r.accepted(request.digest)
		next := r
		if !known && request.base == r.current() {
			version = request.version
			known = true
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

// checkHistory checks that the operators' history is linearizable.
func (sim *simulation) checkHistory() {
	operations := sim.linearizableOperations()
	switch porcupine.CheckOperationsTimeout(registerModel, operations, linearizabilityTimeout) {
	case porcupine.Illegal:
		sim.fail("the operators' history is not linearizable: %s", sim.history.text())
	case porcupine.Unknown:
		sim.fail("the operators' history of %d operations took too long to check", len(operations))
	}
}

// linearizableOperations returns the history without what cannot matter: reads without a response, changes without a
// response that never took effect, and repetitions of a change without a response.
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
		operations = append(operations, porcupine.Operation{
			ClientId: record.operator,
			Input:    record.request,
			Call:     int64(record.invoked),
			Output:   record.response,
			Return:   until,
		})
	}
	return operations
}
