package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
)

// proposal waits for the entry at its index to be applied.
type proposal struct {
	index, term uint64
	done        chan ProposeReply // of capacity 1
	next        *proposal         // another one that waits for the same entry
}

// propose has the machine propose; nil: it does not lead. A large command that is sent again while it is under way waits
// for the entry that holds it: megabytes that are appended again with each try of a caller would take the links that they
// are waiting for.
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
	// Another leader had this log replaced here. Elsewhere the entry may stand yet, and be agreed on by a later one.
	g.resolveProposals(pending.index, func(*proposal) ProposeReply { return ProposeReply{Outcome: OutcomeUnknown} })
	g.proposals[pending.index] = pending
	return pending
}

// findUncommitted tells whether this replica leads and its log has a large command that is yet to be agreed on, and where.
func (g *group) findUncommitted(command []byte, p *proposal) (found bool) {
	if len(command) < bulkThresholdBytes || g.node.Role() != consensus.Leader || g.node.Transferring() {
		return false
	}
	p.index, p.term, found = g.node.FindUncommitted(command)
	return found
}

// resolveProposals tells those who wait for an entry.
func (g *group) resolveProposals(index uint64, reply func(p *proposal) ProposeReply) {
	for p := g.proposals[index]; p != nil; p = p.next {
		p.done <- reply(p)
	}
	delete(g.proposals, index)
}

// abandonProposal has a proposal wait no longer.
func (g *group) abandonProposal(pending *proposal) {
	var kept *proposal
	for q := g.proposals[pending.index]; q != nil; {
		next := q.next
		if q != pending {
			q.next, kept = kept, q
		}
		q = next
	}
	if kept == nil {
		delete(g.proposals, pending.index)
		return
	}
	g.proposals[pending.index] = kept
}
