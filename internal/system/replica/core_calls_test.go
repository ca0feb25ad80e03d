package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
)

// What a control process does for operators, with continuations in place of goroutines: Host.Propose and Host.Barrier with
// the calls to other replicas, and above them what the operators' API does with a change or a read.

const (
	apiTimeout               = 800 * time.Millisecond // the API's AnswerWithin
	apiTimeoutWithoutContact = 100 * time.Millisecond // its CutOffAnswerWithin
	apiRetryInterval         = 50 * time.Millisecond
)

// simRequest is a change as an operator sends it, or a read.
type simRequest struct {
	read          bool
	base, version uint64
	digest        state.Digest
	zone          string // of an evacuation, or of a read of one; empty: the configuration
	evacuated     bool
	abandoned     *bool // its sender has given an evacuation up
}

// simResponse is what the operator is told.
type simResponse struct {
	kind      responseKind
	version   uint64
	digest    state.Digest // of the version read
	evacuated bool         // of the zone read
	// undecidable: there may be no clear answer ever, since the version that the change builds on is not in force.
	undecidable bool
}

type responseKind uint8

const (
	responseUnknown responseKind = iota
	responseAccepted
	responseConflict
	responseRead
)

// handleRequest answers a request within a time, as the API does.
func (p *simProcess) handleRequest(request *simRequest, done func(simResponse)) {
	within := apiTimeout
	if !p.inContact() {
		within = apiTimeoutWithoutContact
	}
	p.attemptRequest(request, p.state.Evacuation(request.zone).Ordered, p.clock()+within, done)
}

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

func (p *simProcess) readResponse(zone string) simResponse {
	base := p.state.Base()
	answer := simResponse{kind: responseRead, version: base.Version, evacuated: p.state.Evacuation(zone).On}
	for _, value := range base.Values.All(ownerKey) {
		copy(answer.digest[:], value)
	}
	return answer
}

// attemptCommit is an attempt of the API's committer, after its barrier.
func (p *simProcess) attemptCommit(request *simRequest, deadline time.Duration, done func(simResponse), retry func()) {
	standing := p.state.Standing(request.base, request.digest)
	switch standing.Verdict {
	case state.Taken:
		done(simResponse{kind: responseAccepted, version: standing.Version})
		return
	case state.Superseded:
		done(simResponse{kind: responseConflict, version: standing.Version})
		return
	case state.Early, state.Forgotten:
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
		case state.Accepted, state.AlreadyAccepted:
			done(simResponse{kind: responseAccepted, version: decoded.Number})
		case state.Conflict:
			done(simResponse{kind: responseConflict, version: decoded.Number})
		default:
			p.sim.fail("outcome %d of a command", decoded.Outcome)
		}
	})
}

// attemptEvacuation is an attempt of the API's committer about a zone, after its barrier.
func (p *simProcess) attemptEvacuation(request *simRequest, ordered uint64, deadline time.Duration, done func(simResponse),
	retry func()) {
	evacuation := p.state.Evacuation(request.zone)
	plant := &p.sim.injected
	switch {
	case *request.abandoned && !plant.acceptsLateOrders:
		done(simResponse{})
		return
	case evacuation.Ordered != ordered && evacuation.On != request.evacuated && !plant.acceptsLateOrders:
		done(simResponse{})
		return
	case evacuation.On == request.evacuated && plant.skipsNoopOrders:
		done(simResponse{kind: responseAccepted})
		return
	}
	command := (&state.SetEvacuation{Zone: request.zone, On: request.evacuated, Seen: evacuation.Seen}).Encode()
	p.sim.oracle.commands[string(command)] = *request
	p.propose(command, deadline, func(result []byte, known bool) {
		decoded, err := state.DecodeResult(result)
		switch {
		case !known || err == nil && decoded.Outcome == state.Conflict:
			retry()
		case err != nil || decoded.Outcome == state.Unreadable:
			p.sim.fail("result of an evacuation: %+v, %v", decoded, err)
		default:
			done(simResponse{kind: responseAccepted})
		}
	})
}

// ownerKey holds the digest of the change that brought the version in force.
const ownerKey = "owner"

// command is the command that a request leads to.
func (sim *simulation) command(request *simRequest) []byte {
	digest := request.digest
	if sim.injected.changesDigests {
		sim.oracle.salt++
		digest[len(digest)-1] = byte(sim.oracle.salt)
		digest[len(digest)-2] = byte(sim.oracle.salt >> 8)
	}
	commit := state.CommitConfiguration{BasedOn: request.base, Version: request.version, Digest: digest,
		Writes: []state.Write{{Key: ownerKey, Value: request.digest[:]}}}
	if sim.profile.PaddingBytes > 0 {
		commit.Writes = append(commit.Writes, state.Write{Key: "padding", Value: make([]byte, sim.profile.PaddingBytes)})
	}
	command := commit.Encode()
	sim.oracle.commands[string(command)] = *request
	return command
}

// propose is Host.Propose; known is false where it is not known whether the command was taken, or it was not.
func (p *simProcess) propose(command []byte, deadline time.Duration, done func(result []byte, known bool)) {
	settled := func(reply ProposeReply) {
		switch reply.Outcome {
		case OutcomeCommitted:
			done(reply.Result, true)
		case OutcomeUnknown:
			done(nil, false)
		default:
			p.retry(deadline, func() { p.propose(command, deadline, done) }, func() { done(nil, false) })
		}
	}
	leader, here := p.locateLeader()
	switch {
	case here:
		p.proposeLocal(command, deadline, settled)
	case leader != nil:
		p.proposeRemote(leader, command, deadline, settled)
	default:
		settled(ProposeReply{Outcome: OutcomeDropped})
	}
}

// retry tries something after a pause, unless the time is up then.
func (p *simProcess) retry(deadline time.Duration, try, late func()) {
	if p.clock()+retryDelay >= deadline {
		late()
		return
	}
	p.runAt(p.clock()+retryDelay, try)
}

// locateLeader is Host.locateLeader.
func (p *simProcess) locateLeader() (leader *simMachine, here bool) {
	machine := p.group.node
	if machine.Role() == consensus.Leader {
		return nil, !machine.Transferring()
	}
	address, known := p.host.destination(p.group, machine.Leader())
	if !known {
		return nil, false
	}
	return p.sim.byAddress[address], false
}

// proposeLocal is Host.proposeLocal.
func (p *simProcess) proposeLocal(command []byte, deadline time.Duration, done func(ProposeReply)) {
	if p.host.disk.leadershipReleased || len(p.queuedJobs) > maxQueuedJobs {
		done(ProposeReply{Outcome: OutcomeDropped})
		return
	}
	proposed := p.group.propose(p.clock(), command)
	if proposed == nil {
		done(ProposeReply{Outcome: OutcomeDropped})
		return
	}
	p.waitUntil(deadline, func() bool {
		select {
		case reply := <-proposed.done:
			done(reply)
			return true
		default:
			return false
		}
	}, func() {
		p.group.abandonProposal(proposed)
		done(ProposeReply{Outcome: OutcomeUnknown})
	})
}

// proposeRemote is proposeRemote with the call's handler at its other end.
func (p *simProcess) proposeRemote(leader *simMachine, command []byte, deadline time.Duration, done func(ProposeReply)) {
	wait := min(deadline-p.clock(), proposeTimeout)
	if wait < minCallTimeout || leader.process == nil {
		done(ProposeReply{Outcome: OutcomeDropped})
		return
	}
	call(p, leader, wait, func(asked *simProcess, answer func(ProposeReply)) {
		asked.proposeLocal(command, asked.clock()+wait-handlerMargin, answer)
	}, func(reply ProposeReply, came bool) {
		if !came {
			reply = ProposeReply{Outcome: OutcomeUnknown}
		}
		done(reply)
	})
}

// call asks another machine's process; came is false where no answer comes in time, or before this replica no longer
// follows the leader that it does (see withLeaderChange).
func call[T any](process *simProcess, to *simMachine, wait time.Duration, handle func(asked *simProcess, answer func(T)),
	done func(reply T, came bool)) {
	var reply T
	over, came := false, false
	changed := process.group.leaderChanged
	process.waitUntil(process.clock()+wait, func() bool {
		select {
		case <-changed:
			over = true
			done(reply, came)
			return true
		default:
		}
		if came && !over {
			over = true
			done(reply, true)
		}
		return over
	}, func() {
		over = true
		done(reply, false)
	})
	sim, from := process.sim, process.machine
	sim.transmit(from, to, false, func(asked *simProcess) {
		handle(asked, func(answer T) {
			sim.transmit(to, from, false, func(*simProcess) { reply, came = answer, true })
		})
	})
}

// barrier is Host.Barrier.
func (p *simProcess) barrier(deadline time.Duration, done func(held bool)) {
	if p.sim.injected.skipsBarrier {
		done(true)
		return
	}
	confirmed := func(index uint64, confirmed bool) {
		if !confirmed {
			p.retry(deadline, func() { p.barrier(deadline, done) }, func() { done(false) })
			return
		}
		p.waitUntil(deadline, func() bool {
			if p.group.appliedIndex < index {
				return false
			}
			done(true)
			return true
		}, func() { done(false) })
	}
	leader, here := p.locateLeader()
	switch {
	case here:
		p.readIndexLocal(deadline, confirmed)
	case leader != nil:
		p.readIndexRemote(leader, deadline, confirmed)
	default:
		confirmed(0, false)
	}
}

// readIndexLocal is Host.readIndexLocal.
func (p *simProcess) readIndexLocal(deadline time.Duration, done func(index uint64, confirmed bool)) {
	token, answer := p.group.startReadIndex(p.clock())
	p.waitUntil(deadline, func() bool {
		select {
		case read := <-answer:
			done(read.Index, read.Err == nil)
			return true
		default:
			return false
		}
	}, func() {
		delete(p.group.pendingReads, token)
		done(0, false)
	})
}

func (p *simProcess) readIndexRemote(leader *simMachine, deadline time.Duration, done func(index uint64, confirmed bool)) {
	wait := min(deadline-p.clock(), readIndexTimeout)
	if wait < minCallTimeout || leader.process == nil {
		done(0, false)
		return
	}
	call(p, leader, wait, func(asked *simProcess, answer func(ReadIndexReply)) {
		asked.readIndexLocal(asked.clock()+wait-handlerMargin, func(index uint64, confirmed bool) {
			reply := ReadIndexReply{Outcome: OutcomeDropped}
			if confirmed {
				reply = ReadIndexReply{Outcome: OutcomeCommitted, Index: index}
			}
			answer(reply)
		})
	}, func(reply ReadIndexReply, came bool) { done(reply.Index, came && reply.Outcome == OutcomeCommitted) })
}

// simAgent follows partition 0 at one replica after the other, as agents do.
type simAgent struct {
	sim      *simulation
	table    *feed.Table
	version  uint64
	upstream *simMachine
}

const agentPollInterval = 400 * time.Millisecond

func (sim *simulation) addAgent() {
	agent := &simAgent{sim: sim, table: feed.NewTable(feed.ConfigurationPartition)}
	sim.agents = append(sim.agents, agent)
	sim.schedule(agentPollInterval, agent.follow)
}

// follow asks the replica for what has changed since; at times another one.
func (a *simAgent) follow() {
	sim := a.sim
	sim.schedule(sim.uniform(agentPollInterval/2, agentPollInterval), a.follow)
	if a.upstream == nil || a.upstream.replaced || sim.chance(0.1) {
		a.upstream = sim.randomMachine()
	}
	process := a.upstream.process
	if process == nil || sim.faultsEnabled && sim.chance(sim.profile.Loss) {
		a.upstream = nil
		return
	}
	process.execute(func() {
		batch := process.state.Since(a.table.Index(), 0)
		sim.schedule(sim.uniform(0, sim.profile.Delay), func() {
			a.table.Apply(sim.now, batch)
			sim.checkAgent(a)
		})
	})
}
