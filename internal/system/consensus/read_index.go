package consensus

import "time"

// pendingRead waits for a round that began after it came.
type pendingRead struct {
	token    uint64
	index    uint64 // 0: not known before the leader has committed an entry of its term
	minRound uint64 // any from here on will do
}

// ReadIndex asks for an index from which on the state machine shows all that was agreed on before the call. Ready.Reads
// brings it under the token, or an error if this replica does not lead.
func (n *Node) ReadIndex(now time.Duration, token uint64) {
	n.advanceClock(now)
	if n.disabled || n.role != Leader {
		n.readStates = append(n.readStates, ReadState{Token: token, Err: n.notLeaderError()})
		return
	}
	read := pendingRead{token: token, minRound: n.leaderState.round + 1}
	if n.committedInTerm() {
		read.index = n.log.commit
	}
	n.leaderState.reads = append(n.leaderState.reads, read)
	n.updateConfirmedRound()
}

// startReadRound begins a round where a read needs one. The number of a round is the time at which it began, in
// nanoseconds, or the next one after the last round's.
func (n *Node) startReadRound() {
	state := &n.leaderState
	state.round = max(state.round, uint64(max(n.now, 0)))
	if len(state.reads) == 0 || state.reads[len(state.reads)-1].minRound <= state.readRound {
		return
	}
	state.round = max(state.round, state.reads[len(state.reads)-1].minRound)
	state.readRound = state.round
	for _, peer := range state.peers {
		peer.heartbeatWanted = peer.heartbeatWanted || n.membership().hasVote(peer.id)
	}
}

// updateConfirmedRound finds the last round that a majority has answered.
func (n *Node) updateConfirmedRound() {
	state := &n.leaderState
	confirmed := n.quorumValue(func(id ReplicaID) uint64 {
		if id == n.config.ID {
			return state.round
		}
		if peer := n.progressOf(id); peer != nil {
			return peer.ackedRound
		}
		return 0
	})
	state.confirmedRound = max(state.confirmedRound, confirmed)
	n.completeReads()
}

// completeReads answers the reads that were confirmed, in their order.
func (n *Node) completeReads() {
	state := &n.leaderState
	if len(state.reads) == 0 || !n.committedInTerm() {
		return
	}
	answered := 0
	for answered < len(state.reads) && state.reads[answered].minRound <= state.confirmedRound {
		index := state.reads[answered].index
		if index == 0 {
			index = n.log.commit
		}
		n.readStates = append(n.readStates, ReadState{Token: state.reads[answered].token, Index: index})
		answered++
	}
	state.reads = state.reads[answered:]
}

// failReads answers the pending reads with an error.
func (n *Node) failReads() {
	for _, read := range n.leaderState.reads {
		n.readStates = append(n.readStates, ReadState{Token: read.token, Err: &NotLeaderError{Leader: n.leaderID}})
	}
	n.leaderState.reads = nil
}
