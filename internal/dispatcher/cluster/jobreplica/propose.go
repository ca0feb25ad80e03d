package jobreplica

import "slices"

// maxUncommittedBytes bounds the commands that a leader has proposed and that are not committed yet.
const maxUncommittedBytes = 4 << 20

const (
	millisecondsPerSecond = 1000
	retryTimeouts         = 2 // election timeouts after which an election has usually succeeded
)

// Propose proposes a command, by way of the leader if this replica does not lead. It returns a *NoMajorityError at once if no
// leader is known. The leader returns the error of StateMachine.Check. A nil error promises nothing: the command may
// get lost, and the caller must propose it again until it sees it applied. command is not retained.
func (r *Replica) Propose(now float64, command []byte) error {
	r.now = max(r.now, now)
	switch {
	case r.stopped != nil:
		return r.stopped
	case r.node == nil:
		return &NotReplicaError{}
	case len(command) > r.options.MaxCommandBytes:
		return &CommandTooLongError{len(command), r.options.MaxCommandBytes}
	}
	r.tickNode() // after a pause a former leader finds out here that it no longer leads
	defer r.processReady()
	switch leader := r.Leader(); leader {
	case 0:
		return r.noMajorityError()
	case r.options.Self.ID:
		return r.proposeToNode(command)
	default:
		r.send(&envelope{kind: kindPropose, to: leader, command: command})
		return nil
	}
}

// handleForwardedProposal proposes a command for another replica. If this replica no longer leads the command is lost.
func (r *Replica) handleForwardedProposal(proposal *envelope) error {
	switch {
	case r.node == nil || !r.isMember(proposal.from):
		return &NotReplicaError{}
	case len(proposal.command) > r.options.MaxCommandBytes:
		return &CommandTooLongError{len(proposal.command), r.options.MaxCommandBytes}
	}
	r.lastContact[proposal.from] = r.now
	r.tickNode()
	defer r.processReady()
	return r.proposeToNode(proposal.command)
}

// proposeToNode proposes a command as the leader.
func (r *Replica) proposeToNode(command []byte) error {
	if err := r.options.StateMachine.Check(command); err != nil {
		return err
	}
	if r.uncommittedTerm != r.hardState.Term {
		r.uncommittedTerm = r.hardState.Term
		r.uncommittedBytes = 0
	}
	if r.uncommittedBytes+len(command) > maxUncommittedBytes {
		return r.noMajorityError()
	}
	if _, _, err := r.node.Propose(secondsToDuration(r.now), slices.Clone(command)); err != nil {
		return r.noMajorityError()
	}
	r.uncommittedBytes += len(command)
	return nil
}

// noMajorityError describes which voters are in reach.
func (r *Replica) noMajorityError() *NoMajorityError {
	reachable, voters := 0, 0
	for _, m := range r.node.Membership().Members {
		if !m.Voter {
			continue
		}
		voters++
		id := uint64(m.ID)
		if id == r.options.Self.ID || r.now-r.lastContact[id] < r.options.ElectionTimeout {
			reachable++
		}
	}
	return &NoMajorityError{
		Reachable: reachable,
		Voters:    voters,
		SilentMS:  int64(millisecondsPerSecond * (r.now - r.leaderSeenAt)),
		RetryMS:   int64(retryTimeouts * millisecondsPerSecond * r.options.ElectionTimeout),
	}
}
