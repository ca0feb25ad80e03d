package replica

import (
	"time"

	"cinderroad/internal/system/control/state"
)

// Timeouts of the operators' API.
const (
	apiTimeout               = 800 * time.Millisecond // the API's timeout
	apiTimeoutWithoutContact = 100 * time.Millisecond // its timeout without contact to a majority
	apiRetryInterval         = 50 * time.Millisecond
)

// simRequest is a configuration change, an evacuation, or a read, as an operator sends it.
type simRequest struct {
	read          bool
	base, version uint64
	digest        state.Digest
	zone          string // of an evacuation, or of a read of one; empty: the configuration
	evacuated     bool
	abandoned     *bool // set once the sender of an evacuation no longer waits
}

// simResponse is the answer to a simRequest.
type simResponse struct {
	kind      responseKind
	version   uint64
	digest    state.Digest // of the version read
	evacuated bool         // of the zone read
	// undecidable: the outcome may stay unknown because the version that the change builds on is not the current one.
	undecidable bool
}

// responseKind tells the outcome of a request.
type responseKind uint8

const (
	responseUnknown responseKind = iota
	responseAccepted
	responseConflict
	responseRead
)

// handleRequest answers a request within the API's timeout. As in all methods of simProcess that take done,
// continuations stand in for the goroutines of the real process.
func (p *simProcess) handleRequest(request *simRequest, done func(simResponse)) {
	within := apiTimeout
	if !p.inContact() {
		within = apiTimeoutWithoutContact
	}
	p.attemptRequest(request, p.state.Evacuation(request.zone).LastOrder, p.clock()+within, done)
}

// attemptRequest is one attempt: a barrier, then the read or the change. It retries until the deadline.
func (p *simProcess) attemptRequest(request *simRequest, ordered uint64, deadline time.Duration, done func(simResponse)) {
	retry := func() {
		if p.clock()+apiRetryInterval >= deadline {
			done(simResponse{})
			return
		}
		p.runAt(p.clock()+apiRetryInterval, func() { p.attemptRequest(request, ordered, deadline, done) })
	}
	p.barrier(deadline, func(held bool) {
		switch {
		case !held:
			retry()
		case request.read:
			done(p.readResponse(request.zone))
		case request.zone != "":
			p.attemptEvacuation(request, ordered, deadline, done, retry)
		default:
			p.attemptCommit(request, deadline, done, retry)
		}
	})
}

// readResponse answers a read from the local state machine.
func (p *simProcess) readResponse(zone string) simResponse {
	base := p.state.View()
	answer := simResponse{kind: responseRead, version: base.Version, evacuated: p.state.Evacuation(zone).Evacuated}
	for _, value := range base.Values.WithPrefix(ownerKey) {
		copy(answer.digest[:], value)
	}
	return answer
}

// attemptCommit models an attempt of the API's committer, after its barrier.
func (p *simProcess) attemptCommit(request *simRequest, deadline time.Duration, done func(simResponse), retry func()) {
	standing := p.state.CheckRequest(request.base, request.digest)
	switch standing.Verdict {
	case state.VerdictAccepted:
		done(simResponse{kind: responseAccepted, version: standing.Version})
		return
	case state.VerdictSuperseded:
		done(simResponse{kind: responseConflict, version: standing.Version})
		return
	case state.VerdictPremature, state.VerdictForgotten:
		done(simResponse{undecidable: true})
		return
	}
	command := p.sim.command(request)
	p.propose(command, deadline, func(result []byte, known bool) {
		if !known {
			retry()
			return
		}
		decoded, err := state.DecodeResult(result)
		if err != nil {
			p.sim.fail("result of a command: %v", err)
			return
		}
		switch decoded.Outcome {
		case state.OutcomeAccepted, state.OutcomeAlreadyAccepted:
			done(simResponse{kind: responseAccepted, version: decoded.Revision})
		case state.OutcomeConflict:
			done(simResponse{kind: responseConflict, version: decoded.Revision})
		default:
			p.sim.fail("outcome %d of a command", decoded.Outcome)
		}
	})
}

// attemptEvacuation models an attempt of the API's committer about a zone, after its barrier.
func (p *simProcess) attemptEvacuation(request *simRequest, ordered uint64, deadline time.Duration, done func(simResponse),
	retry func()) {
	evacuation := p.state.Evacuation(request.zone)
	injected := &p.sim.injected
	switch {
	case *request.abandoned && !injected.acceptsLateOrders:
		done(simResponse{})
		return
	case evacuation.LastOrder != ordered && evacuation.Evacuated != request.evacuated && !injected.acceptsLateOrders:
		done(simResponse{})
		return
	case evacuation.Evacuated == request.evacuated && injected.skipsNoopOrders:
		done(simResponse{kind: responseAccepted})
		return
	}
	command := (&state.SetEvacuation{Zone: request.zone, Evacuated: request.evacuated, ExpectedRevision: evacuation.Revision}).Encode()
	p.sim.oracle.commands[string(command)] = *request
	p.propose(command, deadline, func(result []byte, known bool) {
		decoded, err := state.DecodeResult(result)
		switch {
		case !known || err == nil && decoded.Outcome == state.OutcomeConflict:
			retry()
		case err != nil || decoded.Outcome == state.OutcomeMalformed:
			p.sim.fail("result of an evacuation: %+v, %v", decoded, err)
		default:
			done(simResponse{kind: responseAccepted})
		}
	})
}

// ownerKey is the key of the digest of the change that brought the current version.
const ownerKey = "owner"

// command returns the command for a request and records it for the checks.
func (sim *simulation) command(request *simRequest) []byte {
	digest := request.digest
	if sim.injected.changesDigests {
		sim.oracle.salt++
		digest[len(digest)-1] = byte(sim.oracle.salt)
		digest[len(digest)-2] = byte(sim.oracle.salt >> 8)
	}
	commit := state.CommitConfiguration{
		BaseVersion: request.base,
		Version:     request.version,
		Digest:      digest,
		Writes:      []state.Write{{Key: ownerKey, Value: request.digest[:]}},
	}
	if sim.profile.PaddingBytes > 0 {
		commit.Writes = append(commit.Writes, state.Write{Key: "padding", Value: make([]byte, sim.profile.PaddingBytes)})
	}
	command := commit.Encode()
	sim.oracle.commands[string(command)] = *request
	return command
}
