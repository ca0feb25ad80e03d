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
	apiWithin     = 800 * time.Millisecond // the API's AnswerWithin
	apiCutOff     = 100 * time.Millisecond // its CutOffAnswerWithin
	apiRetryEvery = 50 * time.Millisecond
)

// coreRequest is a change as an operator sends it, or a read.
type coreRequest struct {
	read          bool
	base, version uint64
	digest        state.Digest
	zone          string // of an evacuation, or of a read of one; empty: the configuration
	on            bool
	gone          *bool // its sender has given an evacuation up
}

// coreAnswer is what the operator is told.
type coreAnswer struct {
	kind    answerKind
	version uint64
	digest  state.Digest // of the version read
	on      bool         // of the zone read
	// hopeless: there may be no clear answer ever, since the version that the change builds on is not in force.
	hopeless bool
}

type answerKind uint8

const (
	answerUnknown answerKind = iota
	answerAccepted
	answerConflict
	answerRead
)

// serve answers a request within a time, as the API does.
func (p *coreProcess) serve(r *coreRequest, done func(coreAnswer)) {
	within := apiWithin
	if !p.inContact() {
		within = apiCutOff
	}
	p.attempt(r, p.state.Evacuation(r.zone).Ordered, p.clock()+within, done)
}

func (p *coreProcess) attempt(r *coreRequest, ordered uint64, deadline time.Duration, done func(coreAnswer)) {
	retry := func() {
		if p.clock()+apiRetryEvery >= deadline {
			done(coreAnswer{})
			return
		}
		p.at(p.clock()+apiRetryEvery, func() { p.attempt(r, ordered, deadline, done) })
	}
	p.barrier(deadline, func(held bool) {
		switch {
		case !held:
			retry()
		case r.read:
			done(p.readAnswer(r.zone))
		case r.zone != "":
			p.evacuate(r, ordered, deadline, done, retry)
		default:
			p.commit(r, deadline, done, retry)
		}
	})
}

func (p *coreProcess) readAnswer(zone string) coreAnswer {
	base := p.state.Base()
	answer := coreAnswer{kind: answerRead, version: base.Version, on: p.state.Evacuation(zone).On}
	for _, value := range base.Values.All(ownerKey) {
		copy(answer.digest[:], value)
	}
	return answer
}

// commit is an attempt of the API's committer, after its barrier.
func (p *coreProcess) commit(r *coreRequest, deadline time.Duration, done func(coreAnswer), retry func()) {
	standing := p.state.Standing(r.base, r.digest)
	switch standing.Verdict {
	case state.Taken:
		done(coreAnswer{kind: answerAccepted, version: standing.Version})
		return
	case state.Superseded:
		done(coreAnswer{kind: answerConflict, version: standing.Version})
		return
	case state.Early, state.Forgotten:
		done(coreAnswer{hopeless: true})
		return
	}
	command := p.world.command(r)
	p.propose(command, deadline, func(result []byte, known bool) {
		if !known {
			retry()
			return
		}
		decoded, err := state.DecodeResult(result)
		if err != nil {
			p.world.fail("result of a command: %v", err)
			return
		}
		switch decoded.Outcome {
		case state.Accepted, state.AlreadyAccepted:
			done(coreAnswer{kind: answerAccepted, version: decoded.Number})
		case state.Conflict:
			done(coreAnswer{kind: answerConflict, version: decoded.Number})
		default:
			p.world.fail("outcome %d of a command", decoded.Outcome)
		}
	})
}

// evacuate is an attempt of the API's committer about a zone, after its barrier.
func (p *coreProcess) evacuate(r *coreRequest, ordered uint64, deadline time.Duration, done func(coreAnswer),
	retry func()) {
	evacuation := p.state.Evacuation(r.zone)
	plant := &p.world.plant
	switch {
	case *r.gone && !plant.lateOrders:
		done(coreAnswer{})
		return
	case evacuation.Ordered != ordered && evacuation.On != r.on && !plant.lateOrders:
		done(coreAnswer{})
		return
	case evacuation.On == r.on && plant.idleOrders:
		done(coreAnswer{kind: answerAccepted})
		return
	}
	command := (&state.SetEvacuation{Zone: r.zone, On: r.on, Seen: evacuation.Seen}).Encode()
	p.world.truth.commands[string(command)] = *r
	p.propose(command, deadline, func(result []byte, known bool) {
		decoded, err := state.DecodeResult(result)
		switch {
		case !known || err == nil && decoded.Outcome == state.Conflict:
			retry()
		case err != nil || decoded.Outcome == state.Unreadable:
			p.world.fail("result of an evacuation: %+v, %v", decoded, err)
		default:
			done(coreAnswer{kind: answerAccepted})
		}
	})
}

// ownerKey holds the digest of the change that brought the version in force.
const ownerKey = "owner"

// command is the command that a request leads to.
func (w *coreWorld) command(r *coreRequest) []byte {
	digest := r.digest
	if w.plant.forgetful {
		w.truth.salt++
		digest[len(digest)-1] = byte(w.truth.salt)
		digest[len(digest)-2] = byte(w.truth.salt >> 8)
	}
	c := state.CommitConfiguration{BasedOn: r.base, Version: r.version, Digest: digest,
		Writes: []state.Write{{Key: ownerKey, Value: r.digest[:]}}}
	if w.profile.Padding > 0 {
		c.Writes = append(c.Writes, state.Write{Key: "padding", Value: make([]byte, w.profile.Padding)})
	}
	command := c.Encode()
	w.truth.commands[string(command)] = *r
	return command
}

// propose is Host.Propose; known is false where it is not known whether the command was taken, or it was not.
func (p *coreProcess) propose(command []byte, deadline time.Duration, done func(result []byte, known bool)) {
	settled := func(reply ProposeReply) {
		switch reply.Outcome {
		case OutcomeCommitted:
			done(reply.Result, true)
		case OutcomeUnknown:
			done(nil, false)
		default:
			p.again(deadline, func() { p.propose(command, deadline, done) }, func() { done(nil, false) })
		}
	}
	leader, here := p.whoLeads()
	switch {
	case here:
		p.proposeHere(command, deadline, settled)
	case leader != nil:
		p.proposeAt(leader, command, deadline, settled)
	default:
		settled(ProposeReply{Outcome: OutcomeDropped})
	}
}

// again tries something after a pause, unless the time is up then.
func (p *coreProcess) again(deadline time.Duration, try, late func()) {
	if p.clock()+retryDelay >= deadline {
		late()
		return
	}
	p.at(p.clock()+retryDelay, try)
}

// locateLeader is Host.locateLeader.
func (p *coreProcess) whoLeads() (leader *coreSlot, here bool) {
	machine := p.group.node
	if machine.Role() == consensus.Leader {
		return nil, !machine.Transferring()
	}
	address, known := p.host.destination(p.group, machine.Leader())
	if !known {
		return nil, false
	}
	return p.world.byPort[address], false
}

// proposeLocal is Host.proposeLocal.
func (p *coreProcess) proposeHere(command []byte, deadline time.Duration, done func(ProposeReply)) {
	if p.host.disk.leadershipReleased || len(p.jobs) > maxQueuedJobs {
		done(ProposeReply{Outcome: OutcomeDropped})
		return
	}
	proposed := p.group.propose(p.clock(), command)
	if proposed == nil {
		done(ProposeReply{Outcome: OutcomeDropped})
		return
	}
	p.await(deadline, func() bool {
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
func (p *coreProcess) proposeAt(leader *coreSlot, command []byte, deadline time.Duration, done func(ProposeReply)) {
	wait := min(deadline-p.clock(), proposeTimeout)
	if wait < minCallTimeout || leader.process == nil {
		done(ProposeReply{Outcome: OutcomeDropped})
		return
	}
	call(p, leader, wait, func(asked *coreProcess, answer func(ProposeReply)) {
		asked.proposeHere(command, asked.clock()+wait-handlerMargin, answer)
	}, func(reply ProposeReply, came bool) {
		if !came {
			reply = ProposeReply{Outcome: OutcomeUnknown}
		}
		done(reply)
	})
}

// call asks another machine's process; came is false where no answer comes in time, or before this replica no longer
// follows the leader that it does (see withLeaderChange).
func call[T any](p *coreProcess, to *coreSlot, wait time.Duration, handle func(asked *coreProcess, answer func(T)),
	done func(reply T, came bool)) {
	var reply T
	over, came := false, false
	changed := p.group.leaderChanged
	p.await(p.clock()+wait, func() bool {
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
	w, from := p.world, p.slot
	w.carry(from, to, false, func(asked *coreProcess) {
		handle(asked, func(answer T) {
			w.carry(to, from, false, func(*coreProcess) { reply, came = answer, true })
		})
	})
}

// barrier is Host.Barrier.
func (p *coreProcess) barrier(deadline time.Duration, done func(held bool)) {
	if p.world.plant.staleReads {
		done(true)
		return
	}
	confirmed := func(index uint64, confirmed bool) {
		if !confirmed {
			p.again(deadline, func() { p.barrier(deadline, done) }, func() { done(false) })
			return
		}
		p.await(deadline, func() bool {
			if p.group.appliedIndex < index {
				return false
			}
			done(true)
			return true
		}, func() { done(false) })
	}
	leader, here := p.whoLeads()
	switch {
	case here:
		p.readIndexHere(deadline, confirmed)
	case leader != nil:
		p.readIndexAt(leader, deadline, confirmed)
	default:
		confirmed(0, false)
	}
}

// readIndexLocal is Host.readIndexLocal.
func (p *coreProcess) readIndexHere(deadline time.Duration, done func(index uint64, confirmed bool)) {
	token, answer := p.group.startReadIndex(p.clock())
	p.await(deadline, func() bool {
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

func (p *coreProcess) readIndexAt(leader *coreSlot, deadline time.Duration, done func(index uint64, confirmed bool)) {
	wait := min(deadline-p.clock(), readIndexTimeout)
	if wait < minCallTimeout || leader.process == nil {
		done(0, false)
		return
	}
	call(p, leader, wait, func(asked *coreProcess, answer func(ReadIndexReply)) {
		asked.readIndexHere(asked.clock()+wait-handlerMargin, func(index uint64, confirmed bool) {
			reply := ReadIndexReply{Outcome: OutcomeDropped}
			if confirmed {
				reply = ReadIndexReply{Outcome: OutcomeCommitted, Index: index}
			}
			answer(reply)
		})
	}, func(reply ReadIndexReply, came bool) { done(reply.Index, came && reply.Outcome == OutcomeCommitted) })
}

// coreAgent follows partition 0 at one replica after the other, as agents do.
type coreAgent struct {
	world   *coreWorld
	table   *feed.Table
	version uint64
	at      *coreSlot
}

const agentEvery = 400 * time.Millisecond

func (w *coreWorld) addAgent() {
	a := &coreAgent{world: w, table: feed.NewTable(feed.ConfigurationPartition)}
	w.agents = append(w.agents, a)
	w.after(agentEvery, a.follow)
}

// follow asks the replica for what has changed since; at times another one.
func (a *coreAgent) follow() {
	w := a.world
	w.after(w.between(agentEvery/2, agentEvery), a.follow)
	if a.at == nil || a.at.retired || w.chance(0.1) {
		a.at = w.anySlot()
	}
	p := a.at.process
	if p == nil || w.faults && w.chance(w.profile.Loss) {
		a.at = nil
		return
	}
	p.do(func() {
		batch := p.state.Since(a.table.Index(), 0)
		w.after(w.between(0, w.profile.Delay), func() {
			a.table.Apply(w.now, batch)
			w.checkAgent(a)
		})
	})
}
