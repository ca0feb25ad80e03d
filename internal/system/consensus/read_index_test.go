package consensus

import (
	"errors"
	"testing"
	"time"
)

func TestReadIndex(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	first := script.onlyMessage(MessageAppend, 2, script.becomeLeader())
	script.node.ReadIndex(script.now, 1)
	sent := script.process()
	round := script.onlyMessage(MessageAppend, 2, sent)
	script.step(Message{Kind: MessageAppendReply, From: 2, Term: 1, Index: 0, Round: round.Round})
	script.expect("reads before an entry of the term is committed", len(script.readStates), 0)
	script.step(acknowledge(first))
	script.expect("reads", script.readStates, []ReadState{{Token: 1, Index: 1}})
	script.node.ReadIndex(script.now, 2)
	script.process()
	script.step(acknowledge(first))
	script.expect("reads after a reply to an earlier round", len(script.readStates), 1)
	script.step(Message{Kind: MessageAppendReply, From: 3, Term: 5, Reject: true})
	script.expect("reads", len(script.readStates), 2)
	if !errors.As(script.readStates[1].Err, new(*NotLeaderError)) {
		t.Errorf("read of a leader that stepped down: %+v", script.readStates[1])
	}
	script.node.ReadIndex(script.now, 3)
	script.process()
	if len(script.readStates) != 3 || !errors.As(script.readStates[2].Err, new(*NotLeaderError)) {
		t.Errorf("read of a follower: %+v", script.readStates)
	}
}

func TestLeaseStartsWithConfirmedRound(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	sent := script.becomeLeader()
	script.expect("lease before a reply", script.node.Status().LeaseExpiry, time.Duration(0))
	began := script.now
	script.now += 100 * time.Millisecond
	script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.expect("lease", script.node.Status().LeaseExpiry, began+testElection-testElection/10)
}
