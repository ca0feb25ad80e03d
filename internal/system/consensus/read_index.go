package consensus

import "time"

// pendingRead is a read that waits until a round that started after it is confirmed.
type pendingRead struct {
	token    uint64
	index    uint64 // 0: unknown until the leader has committed an entry of its term
	minRound uint64 // the first round that started after the read
}

// ReadIndex requests an index for a linearizable read: a state machine that has applied it shows everything that was
// committed before the call. Ready.ReadStates returns the index, or a *NotLeaderError, under the token.
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

// startReadRound starts a round if a read needs one. The number of a round is the time at which it started, in
// nanoseconds, or one more than the last round's: confirmed rounds therefore date leases as well.
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

// updateConfirmedRound finds the last round that a majority replied to.
func (n *Node) updateConfirmedRound() {
	state := &n.leaderState
	confirmed := n.quorumValue(state.round, func(peer *progress) uint64 { return peer.ackedRound })
	state.confirmedRound = max(state.confirmedRound, confirmed)
	n.completeReads()
}

// completeReads completes the confirmed reads, in order.
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

// failReads completes the pending reads with an error.
func (n *Node) failReads() {
	for _, read := range n.leaderState.reads {
		n.readStates = append(n.readStates, ReadState{Token: read.token, Err: &NotLeaderError{Leader: n.leaderID}})
	}
	n.leaderState.reads = nil
}
