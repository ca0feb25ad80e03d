package consensus

import (
	"testing"
	"time"
)

// TestCaughtUpAtOfFollowerWithMissingEntries: a follower in contact with its leader that lacks committed entries is not
// caught up, and its readers must be able to tell.
func TestCaughtUpAtOfFollowerWithMissingEntries(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Entries: entries(1, 1), Commit: 1, Round: 1})
	current := script.now
	script.expect("caught up with all committed entries", script.node.Status().CaughtUpAt, current)

	script.now += testHeartbeat
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Index: 1, LogTerm: 1, Commit: 3, Round: 2})
	script.expect("leader contact", script.node.Status().LastLeaderContact, script.now)
	script.expect("not caught up while entries are missing", script.node.Status().CaughtUpAt, current)

	script.now += testHeartbeat
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Index: 9, LogTerm: 1, Commit: 3, Round: 3})
	script.expect("not caught up after a rejected append", script.node.Status().CaughtUpAt, current)

	script.now += testHeartbeat
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Index: 1, LogTerm: 1, Entries: entries(2, 1, 1), Commit: 3, Round: 4})
	script.expect("caught up again", script.node.Status().CaughtUpAt, script.now)
}

// TestCaughtUpAtOfLeaderBeforeCommitInItsTerm: until then entries may be committed that the leader does not know to be.
func TestCaughtUpAtOfLeaderBeforeCommitInItsTerm(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	first := script.becomeLeader()[0]
	script.now += time.Millisecond
	script.step(Message{Kind: MessageAppendReply, From: 2, Term: first.Term, Reject: true, Index: first.Index, Round: first.Round})
	script.expect("not caught up before", script.node.Status().CaughtUpAt, time.Duration(0))
	script.step(acknowledge(first))
	current := script.node.Status().CaughtUpAt
	script.expect("caught up since a confirmed round", current, script.node.Status().LastLeaderContact)
	if current == 0 {
		t.Error("not current although an entry of the term is committed")
	}
	script.now += time.Second
	script.step(Message{Kind: MessageAppend, From: 3, Term: first.Term + 1, Commit: 9, Round: 1})
	script.expect("unchanged after the leadership", script.node.Status().CaughtUpAt, current)
}

// TestCaughtUpAtBeforeLeaderCommitsInItsTerm: until then the leader does not know the commit index of the group.
func TestCaughtUpAtBeforeLeaderCommitsInItsTerm(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	script.step(Message{Kind: MessageAppend, From: 2, Term: 2, Entries: entries(1, 1), Commit: 1, Round: 1})
	script.expect("not caught up by an entry of an earlier term", script.node.Status().CaughtUpAt, time.Duration(0))
	script.step(Message{Kind: MessageAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2), Commit: 2, Round: 2})
	script.expect("caught up by an entry of its term", script.node.Status().CaughtUpAt, script.now)
}

// TestStaleInputAfterProcessPause: messages queue in the socket during the pause.
func TestStaleInputAfterProcessPause(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	heartbeat := Message{Kind: MessageAppend, From: 2, Term: 1, Index: 1, LogTerm: 1, Commit: 1, Round: 2}
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Entries: entries(1, 1), Commit: 1, Round: 1})
	current := script.now
	script.now += 20 * time.Second
	script.step(heartbeat)
	script.expect("not caught up by a queued message", script.node.Status().CaughtUpAt, current)
	script.now += staleInputHeartbeats * testHeartbeat
	script.step(heartbeat)
	script.expect("caught up by a message after the pause", script.node.Status().CaughtUpAt, script.now)
}
