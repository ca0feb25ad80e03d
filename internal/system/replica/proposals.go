package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
)

// proposal waits until the entry at its index is applied.
type proposal struct {
	index, term uint64            // of the entry
	done        chan ProposeReply // has a buffer of one
	next        *proposal         // waits for the same entry
}

// propose appends a command to the leader's log; it returns nil if this replica does not lead. A large command that
// is proposed again while it is uncommitted waits for the existing entry: appending megabytes again with each retry
// would saturate the links that the first copy is waiting for.
func (g *group) propose(now time.Duration, command []byte) *proposal {
	pending := &proposal{done: make(chan ProposeReply, 1)}
	if g.findUncommitted(command, pending) {
		pending.next = g.proposals[pending.index]
		g.proposals[pending.index] = pending
		return pending
	}
	var err error
	if pending.index, pending.term, err = g.node.Propose(now, command); err != nil {
		return nil
	}
	// Another leader has overwritten the entry at this index here. Elsewhere it may still exist, and a later leader may
	// commit it.
	g.resolveProposals(pending.index, func(*proposal) ProposeReply { return ProposeReply{Outcome: OutcomeUnknown} })
	g.proposals[pending.index] = pending
	return pending
}

// findUncommitted reports whether the leader's log has the same large command uncommitted, and sets the proposal's
// index and term to those of the entry.
func (g *group) findUncommitted(command []byte, p *proposal) (found bool) {
	if len(command) < bulkThresholdBytes || g.node.Role() != consensus.Leader || g.node.Transferring() {
		return false
	}
	p.index, p.term, found = g.node.FindUncommitted(command)
	return found
}

// resolveProposals sends the reply to all proposals at an index and removes them.
func (g *group) resolveProposals(index uint64, reply func(p *proposal) ProposeReply) {
	for p := g.proposals[index]; p != nil; p = p.next {
		p.done <- reply(p)
	}
	delete(g.proposals, index)
}

// abandonProposal removes a proposal whose caller no longer waits.
func (g *group) abandonProposal(pending *proposal) {
	var remaining *proposal
	for other := g.proposals[pending.index]; other != nil; {
		next := other.next
		if other != pending {
			other.next, remaining = remaining, other
		}
		other = next
	}
	if remaining == nil {
		delete(g.proposals, pending.index)
		return
	}
	g.proposals[pending.index] = remaining
}
