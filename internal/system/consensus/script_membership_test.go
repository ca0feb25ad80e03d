package consensus

import (
	"errors"
	"testing"
)

// newLeader is replica 1 of three, elected, with its first entry committed.
func newLeader(t *testing.T) *scriptedNode {
	script := newScript(t, foundingState(1, 2, 3))
	for _, msg := range script.becomeLeader() {
		script.step(acknowledge(msg))
	}
	script.process()
	return script
}

// catchUp has all answer all appends until nothing is sent any more.
func (s *scriptedNode) catchUp(msgs []Message, but ...ReplicaID) {
	s.t.Helper()
	for len(msgs) > 0 {
		msg := msgs[0]
		msgs = msgs[1:]
		skip := msg.Kind != MessageAppend || msg.Round == 0
		for _, id := range but {
			skip = skip || msg.To == id
		}
		if !skip {
			msgs = append(msgs, s.step(acknowledge(msg))...)
		}
	}
}

func (s *scriptedNode) changeMembership(to Membership) []Message {
	s.t.Helper()
	if err := s.node.ChangeMembership(s.now, to); err != nil {
		s.t.Fatal(err)
	}
	return s.process()
}

func TestChangeMembershipRejectsInvalidChanges(t *testing.T) {
	script := newLeader(t)
	learner := Member{ID: 4}
	for _, c := range []struct {
		name string
		to   Membership
	}{
		{"the same", voters(1, 2, 3)},
		{"a voter that was no learner", voters(1, 2, 3, 4)},
		{"two at once", voters(1)},
		{"swap", voters(1, 2, 4)},
		{"nobody", Membership{}},
		{"no voter", Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}},
		{"twice", withMembers(voters(1, 2, 3), learner, learner)},
		{"no id", withMembers(voters(1, 2, 3), Member{})},
	} {
		if err := script.node.ChangeMembership(script.now, c.to); !errors.As(err, new(*InvalidMembershipError)) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	follower := newScript(t, foundingState(1, 2))
	if err := follower.node.ChangeMembership(0, voters(1)); !errors.As(err, new(*NotLeaderError)) {
		t.Errorf("of a follower: %v", err)
	}
}

func TestChangeMembershipWaitsForCommitInTerm(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	sent := script.becomeLeader()
	if err := script.node.ChangeMembership(script.now, voters(1, 2)); !errors.As(err, new(*PendingMembershipChangeError)) {
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
	script.expect("holds at once", script.node.membership(), joined)
	probe := script.onlyMessage(MessageAppend, 4, sent)
	promoted := withMembers(voters(1, 2, 3), Member{ID: 4, Address: "a", Voter: true})
	if err := script.node.ChangeMembership(script.now, promoted); !errors.As(err, new(*PendingMembershipChangeError)) {
		t.Errorf("while the first is not committed: %v", err)
	}
	script.catchUp(sent, 4)
	if err := script.node.ChangeMembership(script.now, promoted); !errors.As(err, new(*LearnerBehindError)) {
		t.Errorf("before it has caught up: %v", err)
	}
	answers := script.step(Message{Kind: MessageAppendReply, From: 4, Term: 1, Index: probe.Index, Reject: true, Round: probe.Round})
	for began := script.now; script.now < began+testElection; { // it takes long, so that it may fall behind again
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
	script := newScript(t, stored)
	asked := script.tickWhenDue()
	script.expect("asked", len(asked), 1)
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
	script.expect("role while one of two has it", script.node.role, Leader)
	told := script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.expect("role after", script.node.role, Follower)
	script.expect("told to take over", told[len(told)-1].Kind, MessageTimeoutNow)
	script.expect("due", script.node.NextTick(), Never)
}

func TestRemovedMemberIsNotifiedOnceRemovalIsCommitted(t *testing.T) {
	script := newLeader(t)
	sent := script.changeMembership(voters(1, 2))
	for _, msg := range sent {
		if msg.To == 3 {
			t.Errorf("told before: %+v", msg)
		}
	}
	told := script.onlyMessage(MessageAppend, 3, script.step(acknowledge(script.onlyMessage(MessageAppend, 2, sent))))
	script.expect("commit", told.Commit, 2)
	script.expect("entries", len(told.Entries), 1)
}

func TestLeaderWithUncommittedRemovalIsPromotable(t *testing.T) {
	stored := foundingState(1, 2)
	stored.HardState = HardState{Term: 1, Commit: 1}
	stored.Entries = append(entries(1, 1), membershipEntry(2, 1, voters(2)))
	script := newScript(t, stored)
	asked := script.tickWhenDue()
	script.expect("asked", script.onlyMessage(MessagePreVote, 2, asked).Index, 2)
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
	script := newScript(t, stored)
	script.expect("before", script.node.membership(), voters(1, 2))
	script.step(Message{Kind: MessageAppend, From: 3, Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2), Round: 1})
	script.expect("after", script.node.membership(), voters(1, 2, 3))
}

func TestNewReplicaIsSilentUntilItIsMember(t *testing.T) {
	script := newScript(t, PersistentState{})
	script.expect("due", script.node.NextTick(), Never)
	for _, msg := range []Message{{Kind: MessagePreVote, Term: 5}, {Kind: MessageVote, Term: 5}, {Kind: MessageVote, Term: 5, Force: true},
		{Kind: MessageTimeoutNow, Term: 5}, {Kind: MessageVoteReply, Term: 5}, {Kind: MessageAppendReply, Term: 5}} {
		msg.From = 2
		script.expect("answers", len(script.step(msg)), 0)
	}
	script.expect("term", script.node.term, 0)
	taken := Message{Kind: MessageAppend, From: 2, Term: 1, Round: 1,
		Entries: append(entries(1, 1), membershipEntry(2, 1, withMembers(voters(2), Member{ID: 1})))}
	script.onlyMessage(MessageAppendReply, 2, script.step(taken))
	script.expect("due as a learner", script.node.NextTick(), Never)
	script.now += 2 * testElection
	vote := Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1}
	script.expect("vote as a learner whom the candidate counts", script.onlyMessage(MessageVoteReply, 3, script.step(vote)).Reject, false)
	script.step(Message{Kind: MessageAppend, From: 3, Term: 2, Index: 2, LogTerm: 1, Round: 1,
		Entries: []Entry{membershipEntry(3, 2, voters(1, 2))}})
	script.expect("due as a voter", script.node.NextTick() < Never, true)
}

func TestInstallSnapshot(t *testing.T) {
	snapshot := &Snapshot{Index: 9, Term: 2, Membership: voters(1, 2, 3), Data: []byte("state")}
	install := Message{Kind: MessageInstallSnapshot, From: 2, Term: 3, Round: 4, Snapshot: snapshot}
	t.Run("on a log without it", func(t *testing.T) {
		stored := foundingState(1, 2)
		stored.Entries = entries(1, 1, 1)
		script := newScript(t, stored)
		reply := script.onlyMessage(MessageInstallSnapshotReply, 2, script.step(install))
		script.expect("reply", []uint64{reply.Index, reply.Round}, []uint64{9, 4})
		script.expect("restored", script.restored.Index, 9)
		script.expect("membership", script.node.membership(), voters(1, 2, 3))
		script.step(Message{Kind: MessageAppend, From: 2, Term: 3, Index: 9, LogTerm: 2, Entries: entries(10, 3), Commit: 10, Round: 5})
		script.expect("applied", script.committed, entries(10, 3))
	})
	t.Run("on a log with it", func(t *testing.T) {
		stored := foundingState(1, 2)
		stored.HardState = HardState{Term: 2}
		stored.Entries = entries(1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2)
		script := newScript(t, stored)
		script.expect("reply", script.onlyMessage(MessageInstallSnapshotReply, 2, script.step(install)).Index, 9)
		script.expect("restored", script.restored, (*Snapshot)(nil))
		script.expect("commit", script.node.log.commit, 9)
		script.expect("last", script.node.log.lastIndex(), 10)
	})
	t.Run("of old", func(t *testing.T) {
		stored := PersistentState{HardState: HardState{Term: 2}, Snapshot: Snapshot{Index: 20, Term: 2, Membership: voters(1, 2)}}
		script := newScript(t, stored)
		script.expect("reply", script.onlyMessage(MessageInstallSnapshotReply, 2, script.step(install)).Index, 20)
		script.expect("restored", script.restored, (*Snapshot)(nil))
	})
}

func TestCompactKeepsTail(t *testing.T) {
	script := newLeader(t)
	for script.compactIndex == 0 {
		if _, _, err := script.node.Propose(script.now, []byte("command")); err != nil {
			t.Fatal(err)
		}
		script.catchUp(script.process(), 3)
	}
	script.expect("wanted at", script.compactIndex, 8)
	snapshot, is := script.node.CreateSnapshot(8, []byte("state"))
	script.expect("snapshot", []any{is, snapshot.Index, snapshot.Term, snapshot.Membership}, []any{true, 8, 1, voters(1, 2, 3)})
	script.node.Compact(8, []byte("state"), 0)
	script.expect("offset", script.node.log.offset, 6)
	// Member 3 holds no more than the first entry, and gets the snapshot.
	sent := script.step(Message{Kind: MessageAppendReply, From: 3, Term: 1, Index: 7, Reject: true, RejectHint: 1, LogTerm: 1})
	install := script.onlyMessage(MessageInstallSnapshot, 3, sent)
	script.expect("snapshot", []any{install.Snapshot.Index, string(install.Snapshot.Data)}, []any{8, "state"})
	script.expect("nothing more meanwhile", len(script.process()), 0)
	next := script.step(Message{Kind: MessageInstallSnapshotReply, From: 3, Term: 1, Index: 8, Round: install.Round})
	for _, msg := range next {
		script.expect("goes on at", msg.Index, 8)
	}
}

func TestMemberBehindLogStartGetsSnapshot(t *testing.T) {
	script := newLeader(t)
	for i := range 40 {
		if _, _, err := script.node.Propose(script.now, []byte("command")); err != nil {
			t.Fatal(err)
		}
		script.catchUp(script.process(), 3)
		if i%8 == 7 {
			script.node.Compact(script.node.log.applied, nil, 0)
		}
	}
	// Its appends were lost; it answers the next heartbeat, which stands where all logs agree.
	beat := script.onlyMessage(MessageAppend, 3, script.tickWhenDue())
	script.expect("heartbeat", beat.Index, 0)
	script.onlyMessage(MessageInstallSnapshot, 3, script.step(Message{Kind: MessageAppendReply, From: 3, Term: 1, Index: 1, Round: beat.Round}))
}

func TestInvalidPersistentState(t *testing.T) {
	for name, stored := range map[string]PersistentState{
		"terms that fall": {Snapshot: foundingState(1).Snapshot, Entries: entries(1, 2, 1)},
		"gap":             {Snapshot: foundingState(1).Snapshot, Entries: append(entries(1, 1), entries(3, 1)...)},
		"membership": {Snapshot: foundingState(1).Snapshot, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership,
			Data: []byte("?")}}},
		"founders": foundingState(1, 1),
	} {
		if stored.Validate() == nil {
			t.Errorf("%s: passes", name)
		}
		script := newScript(t, stored)
		script.expect(name+": due", script.node.NextTick(), Never)
		script.expect(name+": answers", len(script.step(Message{Kind: MessageVote, From: 2, Term: 9, Index: 99, LogTerm: 8})), 0)
		script.expect(name+": to be done", script.node.Ready().Empty(), true)
	}
}

func TestEntriesBeforeSnapshotAreIgnored(t *testing.T) {
	snapshot := Snapshot{Index: 3, Term: 2, Membership: voters(1)}
	for _, c := range []struct {
		log  []Entry
		last uint64
	}{
		{entries(1, 1, 1), 3},
		{entries(2, 1, 2, 2), 4},
		{entries(2, 1, 1, 1), 3}, // another term at the snapshot
		{entries(4, 2, 2), 5},
		{entries(5, 2), 3}, // a gap
	} {
		script := newScript(t, PersistentState{HardState: HardState{Term: 2, Commit: 3}, Snapshot: snapshot, Entries: c.log})
		script.expect("last", script.node.log.lastIndex(), c.last)
	}
}

// TestCreateSnapshotNeedsKnownMembership has a replica that joined later be sent the log from its start.
func TestCreateSnapshotNeedsKnownMembership(t *testing.T) {
	script := newScript(t, PersistentState{})
	log := append(entries(1, 1, 1), membershipEntry(3, 1, withMembers(voters(2, 3), Member{ID: 1})))
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Entries: log, Commit: 2, Round: 1})
	if snapshot, is := script.node.CreateSnapshot(2, nil); is {
		t.Errorf("a snapshot of a group without members: %+v", snapshot)
	}
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Index: 3, LogTerm: 1, Commit: 3, Round: 2})
	snapshot, is := script.node.CreateSnapshot(3, nil)
	if !is || len(snapshot.Membership.Members) != 3 {
		t.Errorf("made: %t, %+v", is, snapshot)
	}
}

// jointTestMembership is a joint membership: 1, 2 and 3 voted, and 1, 4 and 5 are to vote.
func jointTestMembership() Membership {
	return Membership{Members: []Member{{ID: 1, Voter: true, Outgoing: true}, {ID: 2, Outgoing: true}, {ID: 3, Outgoing: true},
		{ID: 4, Voter: true}, {ID: 5, Voter: true}}}
}

// TestJointElectionNeedsBothMajorities: neither voter set of a joint membership elects a leader by itself.
func TestJointElectionNeedsBothMajorities(t *testing.T) {
	script := newScript(t, PersistentState{Snapshot: Snapshot{Membership: jointTestMembership()}})
	script.expect("asked", len(script.tickWhenDue()), 4)
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

// TestJointCommitNeedsBothMajorities: an entry of a joint membership is committed once both sets hold it, and then the
// leader leaves the joint membership by itself.
func TestJointCommitNeedsBothMajorities(t *testing.T) {
	script := newScript(t, PersistentState{Snapshot: Snapshot{Membership: jointTestMembership()}})
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
	script.expect("voter before", script.node.membership().isVoter(2), false)
	script.expect("voter now", script.node.membership().isVoter(5), true)
}

// TestChangeVotersThroughJointMembership: a change of who votes goes through a joint membership, and the next one has to wait.
func TestChangeVotersThroughJointMembership(t *testing.T) {
	script := newLeader(t)
	script.catchUp(script.changeMembership(withMembers(voters(1, 2, 3), Member{ID: 4})))
	script.catchUp(script.tickWhenDue())
	to := withMembers(voters(1, 2), Member{ID: 3}, Member{ID: 4, Voter: true})
	sent := script.changeMembership(to)
	script.expect("joint", script.node.membership().Joint(), true)
	if err := script.node.ChangeMembership(script.now, voters(1, 2)); !errors.As(err, new(*PendingMembershipChangeError)) {
		t.Errorf("while it is joint: %v", err)
	}
	script.catchUp(sent)
	script.expect("after", script.node.membership(), to)
	script.expect("committed", script.node.log.commit, script.node.log.lastIndex())
	if err := script.node.ChangeMembership(script.now, jointTestMembership()); !errors.As(err, new(*InvalidMembershipError)) {
		t.Errorf("a joint membership asked for: %v", err)
	}
}

// TestPreCandidatesYieldByID: of two replicas that ask for pre-votes with equal logs the one with the lower id puts its
// election off, once a term.
func TestPreCandidatesYieldByID(t *testing.T) {
	ask := func(from ReplicaID) Message { return Message{Kind: MessagePreVote, From: from, Term: 1} }
	ahead := newScript(t, foundingState(1, 2, 3))
	ahead.tickWhenDue()
	ahead.step(ask(2))
	ahead.expect("role of the lower id", ahead.node.role, Follower)
	due := ahead.node.electionDeadline
	ahead.step(ask(2))
	ahead.expect("due after it is asked again", ahead.node.electionDeadline, due)
	if due < ahead.now+testElection*3/4 {
		t.Errorf("its election is due %v after it yielded", due-ahead.now)
	}
}

// TestNewLeaderBackdatesPredecessorContact: a leader counts the silence of the one before from its last word.
func TestNewLeaderBackdatesPredecessorContact(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	script.step(Message{Kind: MessageAppend, From: 3, Term: 1, Round: 1})
	heard := script.now
	script.tickWhenDue()
	script.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 2})
	script.step(Message{Kind: MessageVoteReply, From: 2, Term: 2})
	script.expect("role", script.node.role, Leader)
	script.expect("last word of the leader before", script.node.Status().LastContact[3], heard)
	script.expect("last word of the voter", script.node.Status().LastContact[2], script.now)
}
