package consensus

import (
	"testing"
	"time"
)

func TestTransferLeadership(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	sent := script.becomeLeader()
	script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.node.TransferLeadership(script.now, 2)
	script.expect("messages before the transferee has caught up", len(script.process()), 0)
	if _, _, err := script.node.Propose(script.now, nil); err == nil {
		t.Error("a proposal was taken during the transfer")
	}
	script.expect("lease before", script.node.Status().LeaseExpiry > script.now, true)
	request := script.onlyMessage(MessageTimeoutNow, 2, script.step(acknowledge(script.onlyMessage(MessageAppend, 2, sent))))
	script.expect("term", request.Term, 1)
	script.expect("lease after", script.node.Status().LeaseExpiry, time.Duration(0))
	script.now += testElection / 2
	script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.now = script.node.leaderState.transferDeadline
	script.node.Tick(script.now)
	vote := script.onlyMessage(MessageVote, 2, script.process())
	script.expect("forced election when the transfer timed out", vote.Force, true)
}

func TestTimeoutNow(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	script.expect("reply to a stranger's timeout-now message", len(script.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 1})), 0)
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Round: 1})
	script.expect("reply to a timeout-now message of an old term", len(script.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 0})), 0)
	sent := script.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 1})
	script.expect("vote", script.onlyMessage(MessageVote, 3, sent).Force, true)
	script.expect("term", script.onlyMessage(MessageVote, 2, sent).Term, 2)
}

func TestStepDown(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	for _, msg := range script.becomeLeader() {
		script.step(acknowledge(msg))
	}
	script.node.StepDown(script.now)
	sent := script.process()
	script.expect("message to the transferee", sent[0].Kind, MessageTimeoutNow)
	script.now = script.node.leaderState.transferDeadline
	script.node.Tick(script.now)
	script.expect("role after the transfer timed out", script.node.role, Follower)
	script.expect("next election", script.node.NextTick() >= script.now+(stepDownElectionTimeouts-1)*testElection, true)
}
