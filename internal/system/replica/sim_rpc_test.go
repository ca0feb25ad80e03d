package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
)

// propose models Host.Propose. known is false if the outcome is unknown or the command was not committed.
func (p *simProcess) propose(command []byte, deadline time.Duration, done func(result []byte, known bool)) {
	finish := func(reply ProposeReply) {
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
		p.proposeLocal(command, deadline, finish)
	case leader != nil:
		p.proposeRemote(leader, command, deadline, finish)
	default:
		finish(ProposeReply{Outcome: OutcomeDropped})
	}
}

// retry runs attempt after retryDelay, or late if the deadline comes first.
func (p *simProcess) retry(deadline time.Duration, try, late func()) {
	if p.clock()+retryDelay >= deadline {
		late()
		return
	}
	p.runAt(p.clock()+retryDelay, try)
}

// locateLeader models Host.locateLeader.
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

// proposeLocal models Host.proposeLocal.
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

// proposeRemote models proposeRemote together with the handler on the leader.
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

// call makes an RPC to another machine's process. arrived is false if no reply arrives in time or the leader changes
// first, see withLeaderChange.
func call[T any](process *simProcess, receiver *simMachine, wait time.Duration, handle func(asked *simProcess, answer func(T)),
	done func(reply T, arrived bool)) {
	var reply T
	over, arrived := false, false
	changed := process.group.leaderChanged
	process.waitUntil(process.clock()+wait, func() bool {
		select {
		case <-changed:
			over = true
			done(reply, arrived)
			return true
		default:
		}
		if arrived && !over {
			over = true
			done(reply, true)
		}
		return over
	}, func() {
		over = true
		done(reply, false)
	})
	sim := process.sim
	from := process.machine
	sim.transmit(from, receiver, false, func(asked *simProcess) {
		handle(asked, func(answer T) {
			sim.transmit(receiver, from, false, func(*simProcess) { reply, arrived = answer, true })
		})
	})
}

// barrier models Host.Barrier.
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

// readIndexLocal models Host.readIndexLocal.
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

// readIndexRemote models readIndexRemote together with the handler on the leader.
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
