package consensus

import (
	"errors"
	"testing"
)

func TestChangeMembershipRejectsInvalidChanges(t *testing.T) {
	script := newLeader(t)
	learner := Member{ID: 4}
	for _, test := range []struct {
		name string
		to   Membership
	}{
		{"no change", voters(1, 2, 3)},
		{"a voter that was no learner", voters(1, 2, 3, 4)},
		{"two at once", voters(1)},
		{"voter replaced by a new one", voters(1, 2, 4)},
		{"no member", Membership{}},
		{"no voter", Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}},
		{"duplicate member", withMembers(voters(1, 2, 3), learner, learner)},
		{"member without ID", withMembers(voters(1, 2, 3), Member{})},
	} {
		if err := script.node.ChangeMembership(script.now, test.to); !errors.As(err, new(*InvalidMembershipError)) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	follower := newScriptedNode(t, foundingState(1, 2))
	if err := follower.node.ChangeMembership(0, voters(1)); !errors.As(err, new(*NotLeaderError)) {
		t.Errorf("of a follower: %v", err)
	}
}

func TestChangeMembershipWaitsForCommitInTerm(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	sent := script.becomeLeader()
	if err := script.node.ChangeMembership(script.now, voters(1, 2)); !errors.Is(err, ErrMembershipChangePending) {
		t.Errorf("before: %v", err)
	}
	script.step(acknowledge(script.onlyMessage(MessageAppend, 2, sent)))
	if err := script.node.ChangeMembership(script.now, voters(1, 2)); err != nil {
		t.Errorf("after: %v", err)
	}
}

func TestLearnerCatchesUpAndIsPromoted(t *testing.T) {
	script := newLeader(t)
	for range 50 {
		if _, _, err := script.node.Propose(script.now, []byte("command")); err != nil {
			t.Fatal(err)
		}
		script.catchUp(script.process())
	}
	joined := withMembers(voters(1, 2, 3), Member{ID: 4, Address: "a"})
	sent := script.changeMembership(joined)
	script.expect("in effect at once", script.node.membership(), joined)
	probe := script.onlyMessage(MessageAppend, 4, sent)
	promoted := withMembers(voters(1, 2, 3), Member{ID: 4, Address: "a", Voter: true})
	if err := script.node.ChangeMembership(script.now, promoted); !errors.Is(err, ErrMembershipChangePending) {
		t.Errorf("while the first is not committed: %v", err)
	}
	script.catchUp(sent, 4)
	if err := script.node.ChangeMembership(script.now, promoted); !errors.As(err, new(*LearnerBehindError)) {
		t.Errorf("before it has caught up: %v", err)
	}
	answers := script.step(Message{Kind: MessageAppendReply, From: 4, Term: 1, Index: probe.Index, Reject: true, Round: probe.Round})
	for began := script.now; script.now < began+testElection; { // long enough that it may have fallen behind again
		script.catchUp(script.tickWhenDue(), 4)
	}
	script.catchUp(answers)
	if err := script.node.ChangeMembership(script.now, promoted); !errors.As(err, new(*LearnerBehindError)) {
		t.Errorf("before it keeps up: %v", err)
	}
	script.catchUp(script.tickWhenDue())
	script.catchUp(script.changeMembership(promoted))
	script.expect("membership", script.node.membership(), promoted)
	script.expect("committed", script.node.log.commit, script.node.log.lastIndex())
}

func TestLearnersDoNotCount(t *testing.T) {
	stored := PersistentState{Snapshot: Snapshot{Membership: withMembers(voters(1, 2), Member{ID: 3}, Member{ID: 4})}}
	script := newScriptedNode(t, stored)
	asked := script.tickWhenDue()
	script.expect("vote requests", len(asked), 1)
	script.step(Message{Kind: MessagePreVoteReply, From: 3, Term: 1})
	script.expect("term", script.node.term, 0)
	script.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 1})
	sent := script.step(Message{Kind: MessageVoteReply, From: 2, Term: 1})
	script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.step(acknowledge(script.onlyMessage(MessageAppend, 4, sent)))
	script.expect("commit", script.node.log.commit, 0)
	script.step(acknowledge(script.onlyMessage(MessageAppend, 2, sent)))
	script.expect("commit", script.node.log.commit, 1)
}

func TestRemovedLeaderLeadsUntilRemovalIsCommitted(t *testing.T) {
	script := newLeader(t)
	sent := script.changeMembership(voters(2, 3))
	script.step(acknowledge(script.onlyMessage(MessageAppend, 2, sent)))
	script.expect("role while one of two voters holds it", script.node.role, Leader)
	followUp := script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.expect("role after", script.node.role, Follower)
	script.expect("message to the successor", followUp[len(followUp)-1].Kind, MessageTimeoutNow)
	script.expect("due", script.node.NextTick(), Never)
}

func TestRemovedMemberIsNotifiedOnceRemovalIsCommitted(t *testing.T) {
	script := newLeader(t)
	sent := script.changeMembership(voters(1, 2))
	for _, msg := range sent {
		if msg.To == 3 {
			t.Errorf("notified before the commit: %+v", msg)
		}
	}
	notice := script.onlyMessage(MessageAppend, 3, script.step(acknowledge(script.onlyMessage(MessageAppend, 2, sent))))
	script.expect("commit", notice.Commit, 2)
	script.expect("entries", len(notice.Entries), 1)
}

func TestLeaderWithUncommittedRemovalIsPromotable(t *testing.T) {
	stored := foundingState(1, 2)
	stored.HardState = HardState{Term: 1, Commit: 1}
	stored.Entries = append(entries(1, 1), membershipEntry(2, 1, voters(2)))
	script := newScriptedNode(t, stored)
	asked := script.tickWhenDue()
	script.expect("vote requests", script.onlyMessage(MessagePreVote, 2, asked).Index, 2)
	script.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 2})
	sent := script.step(Message{Kind: MessageVoteReply, From: 2, Term: 2})
	script.expect("role", script.node.role, Leader)
	script.step(acknowledge(script.onlyMessage(MessageAppend, 2, sent)))
	script.expect("role once the removal is committed", script.node.role, Follower)
	script.expect("due", script.node.NextTick(), Never)
}

func TestOverwrittenMembershipIsReverted(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 1}
	stored.Entries = append(entries(1, 1), membershipEntry(2, 1, voters(1, 2)))
	script := newScriptedNode(t, stored)
	script.expect("before", script.node.membership(), voters(1, 2))
	script.step(Message{Kind: MessageAppend, From: 3, Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2), Round: 1})
	script.expect("after", script.node.membership(), voters(1, 2, 3))
}

func TestNewReplicaIsSilentUntilItIsMember(t *testing.T) {
	script := newScriptedNode(t, PersistentState{})
	script.expect("due", script.node.NextTick(), Never)
	for _, msg := range []Message{
		{Kind: MessagePreVote, Term: 5},
		{Kind: MessageVote, Term: 5},
		{Kind: MessageVote, Term: 5, Force: true},
		{Kind: MessageTimeoutNow, Term: 5},
		{Kind: MessageVoteReply, Term: 5},
		{Kind: MessageAppendReply, Term: 5},
	} {
		msg.From = 2
		script.expect("replies", len(script.step(msg)), 0)
	}
	script.expect("term", script.node.term, 0)
	taken := Message{
		Kind:    MessageAppend,
		From:    2,
		Term:    1,
		Round:   1,
		Entries: append(entries(1, 1), membershipEntry(2, 1, withMembers(voters(2), Member{ID: 1}))),
	}
	script.onlyMessage(MessageAppendReply, 2, script.step(taken))
	script.expect("due as a learner", script.node.NextTick(), Never)
	script.now += 2 * testElection
	vote := Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1}
	reply := script.onlyMessage(MessageVoteReply, 3, script.step(vote))
	script.expect("vote of a learner for a candidate that considers it a voter", reply.Reject, false)
	script.step(Message{
		Kind:    MessageAppend,
		From:    3,
		Term:    2,
		Index:   2,
		LogTerm: 1,
		Round:   1,
		Entries: []Entry{membershipEntry(3, 2, voters(1, 2))},
	})
	script.expect("due as a voter", script.node.NextTick() < Never, true)
}

// TestJointCommitNeedsBothMajorities: an entry of a joint membership is committed once majorities of both sets hold it;
// the leader then leaves the joint membership by itself.
func TestJointCommitNeedsBothMajorities(t *testing.T) {
	script := newScriptedNode(t, PersistentState{Snapshot: Snapshot{Membership: jointTestMembership()}})
	script.tickWhenDue()
	for _, id := range []ReplicaID{2, 4} {
		script.step(Message{Kind: MessagePreVoteReply, From: id, Term: 1})
	}
	script.step(Message{Kind: MessageVoteReply, From: 2, Term: 1})
	sent := script.step(Message{Kind: MessageVoteReply, From: 4, Term: 1})
	script.step(acknowledge(script.onlyMessage(MessageAppend, 4, sent)))
	script.step(acknowledge(script.onlyMessage(MessageAppend, 5, sent)))
	script.expect("commit with the incoming set alone", script.node.log.commit, 0)
	script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.expect("commit with both", script.node.log.commit, 1)
	script.expect("joint after", script.node.membership().Joint(), false)
	script.expect("outgoing voter", script.node.membership().isVoter(2), false)
	script.expect("incoming voter", script.node.membership().isVoter(5), true)
}

// TestChangeVotersThroughJointMembership: a change of several votes goes through a joint membership; the next change
// has to wait.
func TestChangeVotersThroughJointMembership(t *testing.T) {
	script := newLeader(t)
	script.catchUp(script.changeMembership(withMembers(voters(1, 2, 3), Member{ID: 4})))
	script.catchUp(script.tickWhenDue())
	to := withMembers(voters(1, 2), Member{ID: 3}, Member{ID: 4, Voter: true})
	sent := script.changeMembership(to)
	script.expect("joint", script.node.membership().Joint(), true)
	if err := script.node.ChangeMembership(script.now, voters(1, 2)); !errors.Is(err, ErrMembershipChangePending) {
		t.Errorf("while it is joint: %v", err)
	}
	script.catchUp(sent)
	script.expect("after", script.node.membership(), to)
	script.expect("committed", script.node.log.commit, script.node.log.lastIndex())
	if err := script.node.ChangeMembership(script.now, jointTestMembership()); !errors.As(err, new(*InvalidMembershipError)) {
		t.Errorf("a joint membership asked for: %v", err)
	}
}
