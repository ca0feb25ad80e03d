package consensus

import (
	"fmt"
	"testing"
)

func TestVotesGoToUpToDateLogs(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 3}
	stored.Entries = entries(1, 1, 3)
	for _, test := range []struct {
		name        string
		term        uint64 // of the candidate
		index, last uint64 // its log's end
		pre, vote   bool   // granted
	}{
		{"longer log", 4, 3, 3, true, true},
		{"same log", 4, 2, 3, true, true},
		{"shorter log of the same term", 4, 1, 3, false, false},
		{"longer log of an older term", 4, 9, 2, false, false},
		{"shorter log of a newer term", 5, 1, 4, true, true},
		{"same term", 3, 2, 3, false, true},
		{"old term", 2, 9, 2, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			script := newScriptedNode(t, stored)
			got := script.step(Message{Kind: MessagePreVote, From: 2, Term: test.term, Index: test.index, LogTerm: test.last})
			reply := script.onlyMessage(MessagePreVoteReply, 2, got)
			script.expect("pre-vote", !reply.Reject, test.pre)
			script.expect("term after the pre-vote", script.node.term, 3)
			script = newScriptedNode(t, stored)
			got = script.step(Message{Kind: MessageVote, From: 2, Term: test.term, Index: test.index, LogTerm: test.last})
			granted := len(got) == 1 && !got[0].Reject
			script.expect("vote", granted, test.vote)
			script.expect("persisted vote", script.hardState.Vote == 2, test.vote)
		})
	}
}

func TestOneVotePerTerm(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	requestVote := func(candidate ReplicaID) Message {
		replies := script.step(Message{Kind: MessageVote, From: candidate, Term: 1})
		return script.onlyMessage(MessageVoteReply, candidate, replies)
	}
	script.expect("first candidate", requestVote(2).Reject, false)
	script.expect("another candidate", requestVote(3).Reject, true)
	script.expect("the same candidate again", requestVote(2).Reject, false)
	script = newScriptedNode(t, PersistentState{HardState: script.hardState, Snapshot: foundingState(1, 2, 3).Snapshot})
	script.expect("another candidate after a restart", requestVote(3).Reject, true)
}

func TestElection(t *testing.T) {
	for _, test := range []struct {
		voters  int
		grants  int
		elected bool
	}{{1, 0, true}, {2, 0, false}, {2, 1, true}, {3, 1, true}, {4, 1, false}, {4, 2, true}, {5, 1, false}, {5, 2, true}} {
		t.Run(fmt.Sprintf("%d of %d", test.grants, test.voters), func(t *testing.T) {
			var ids []ReplicaID
			for id := range test.voters {
				ids = append(ids, ReplicaID(id+1))
			}
			script := newScriptedNode(t, foundingState(ids...))
			asked := script.tickWhenDue()
			script.expect("vote requests", len(asked), test.voters-1)
			script.expect("term before the pre-vote is won", script.node.term, map[bool]int{true: 1, false: 0}[test.voters == 1])
			for _, id := range ids[1:] {
				script.step(Message{Kind: MessagePreVoteReply, From: id, Term: 1})
			}
			script.expect("term", script.node.term, 1)
			for _, id := range ids[1 : 1+test.grants] {
				script.step(Message{Kind: MessageVoteReply, From: id, Term: 1})
				script.step(Message{Kind: MessageVoteReply, From: id, Term: 1}) // counts once
			}
			script.expect("elected", script.node.role == Leader, test.elected)
		})
	}
}

func TestOwnVoteCountsOncePersisted(t *testing.T) {
	script := newScriptedNode(t, foundingState(1))
	script.now = script.node.NextTick()
	script.node.Tick(script.now)
	r := script.node.Ready()
	script.expect("role before", script.node.role, Candidate)
	script.expect("must sync", r.MustSync, true)
	script.node.MarkPersisted(r)
	script.expect("role after", script.node.role, Leader)
}

func TestFollowerRejectsVotesWithinLease(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Round: 5})
	script.now += testElection - 1
	pre := Message{Kind: MessagePreVote, From: 3, Term: 2, Index: 9, LogTerm: 1}
	script.expect("pre-vote within the lease", script.onlyMessage(MessagePreVoteReply, 3, script.step(pre)).Reject, true)
	vote := Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1}
	script.expect("vote within the lease", len(script.step(vote)), 0)
	script.expect("term", script.node.term, 1)
	script.now++
	script.expect("pre-vote after it", script.onlyMessage(MessagePreVoteReply, 3, script.step(pre)).Reject, false)
	script.expect("vote after it", script.onlyMessage(MessageVoteReply, 3, script.step(vote)).Reject, false)
}

func TestFollowerVotesWithinLeaseInForcedElection(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Round: 5})
	vote := Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1, Force: true}
	script.expect("vote", script.onlyMessage(MessageVoteReply, 3, script.step(vote)).Reject, false)
}

func TestRestartedReplicaHonorsEarlierLease(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 1}
	script := newScriptedNode(t, stored)
	script.now = testElection - 1
	script.expect("reply", len(script.step(Message{Kind: MessageVote, From: 3, Term: 2})), 0)
	script.now++
	script.expect("reply", len(script.step(Message{Kind: MessageVote, From: 3, Term: 2})), 1)
}

// TestPreCandidatesYieldByID: of two pre-candidates with equal logs the one with the lower ID postpones its election,
// once per term.
func TestPreCandidatesYieldByID(t *testing.T) {
	ask := func(from ReplicaID) Message { return Message{Kind: MessagePreVote, From: from, Term: 1} }
	ahead := newScriptedNode(t, foundingState(1, 2, 3))
	ahead.tickWhenDue()
	ahead.step(ask(2))
	ahead.expect("role of the replica with the lower ID", ahead.node.role, Follower)
	due := ahead.node.electionDeadline
	ahead.step(ask(2))
	ahead.expect("deadline after a second request", ahead.node.electionDeadline, due)
	if due < ahead.now+testElection*3/4 {
		t.Errorf("its election is due %v after it yielded", due-ahead.now)
	}
}

// TestNewLeaderBackdatesPredecessorContact: a leader counts the silence of its predecessor from that one's last
// message.
func TestNewLeaderBackdatesPredecessorContact(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	script.step(Message{Kind: MessageAppend, From: 3, Term: 1, Round: 1})
	heard := script.now
	script.tickWhenDue()
	script.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 2})
	script.step(Message{Kind: MessageVoteReply, From: 2, Term: 2})
	script.expect("role", script.node.role, Leader)
	script.expect("last contact of the preceding leader", script.node.Status().LastContact[3], heard)
	script.expect("last contact of the voter", script.node.Status().LastContact[2], script.now)
}

func TestLeaderStepsDownOnNewerTerm(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	script.becomeLeader()
	script.step(Message{Kind: MessageAppendReply, From: 3, Term: 7, Reject: true})
	script.expect("role", script.node.role, Follower)
	script.expect("persisted term", script.hardState.Term, 7)
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
	script.becomeLeader()
	start := script.now
	for script.node.role == Leader {
		script.tickWhenDue()
	}
	script.expect("after", script.now-start, testElection)
}

// TestJointElectionNeedsBothMajorities: neither voter set of a joint membership elects a leader alone.
func TestJointElectionNeedsBothMajorities(t *testing.T) {
	script := newScriptedNode(t, PersistentState{Snapshot: Snapshot{Membership: jointTestMembership()}})
	script.expect("vote requests", len(script.tickWhenDue()), 4)
	for _, id := range []ReplicaID{4, 5} {
		script.step(Message{Kind: MessagePreVoteReply, From: id, Term: 1})
	}
	script.expect("term with the incoming set alone", script.node.term, 0)
	script.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 1})
	script.expect("term with both", script.node.term, 1)
	for _, id := range []ReplicaID{2, 3} {
		script.step(Message{Kind: MessageVoteReply, From: id, Term: 1})
	}
	script.expect("role with the outgoing set alone", script.node.role, Candidate)
	script.step(Message{Kind: MessageVoteReply, From: 5, Term: 1})
	script.expect("role with both", script.node.role, Leader)
}
