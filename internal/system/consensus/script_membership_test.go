package consensus

import (
	"errors"
	"testing"
)

// leading is replica 1 of three, elected, with its first entry committed.
func leading(t *testing.T) *script {
	x := newScript(t, founded(1, 2, 3))
	for _, msg := range x.lead() {
		x.step(ack(msg))
	}
	x.work()
	return x
}

// catchUp has all answer all appends until nothing is sent any more.
func (x *script) catchUp(msgs []Message, but ...ReplicaID) {
	x.t.Helper()
	for len(msgs) > 0 {
		msg := msgs[0]
		msgs = msgs[1:]
		skip := msg.Kind != MessageAppend || msg.Round == 0
		for _, id := range but {
			skip = skip || msg.To == id
		}
		if !skip {
			msgs = append(msgs, x.step(ack(msg))...)
		}
	}
}

func (x *script) change(to Membership) []Message {
	x.t.Helper()
	if err := x.m.ChangeMembership(x.now, to); err != nil {
		x.t.Fatal(err)
	}
	return x.work()
}

func TestChangesThatAreRefused(t *testing.T) {
	x := leading(t)
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
		{"twice", with(voters(1, 2, 3), learner, learner)},
		{"no id", with(voters(1, 2, 3), Member{})},
	} {
		if err := x.m.ChangeMembership(x.now, c.to); !errors.As(err, new(*InvalidMembershipError)) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	follower := newScript(t, founded(1, 2))
	if err := follower.m.ChangeMembership(0, voters(1)); !errors.As(err, new(*NotLeaderError)) {
		t.Errorf("of a follower: %v", err)
	}
}

func TestNewLeaderFirstCommitsAnEntryOfItsTerm(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	sent := x.lead()
	if err := x.m.ChangeMembership(x.now, voters(1, 2)); !errors.As(err, new(*PendingMembershipChangeError)) {
		t.Errorf("before: %v", err)
	}
	x.step(ack(x.only(MessageAppend, 2, sent)))
	if err := x.m.ChangeMembership(x.now, voters(1, 2)); err != nil {
		t.Errorf("after: %v", err)
	}
}

func TestLearnerJoinsCatchesUpAndVotes(t *testing.T) {
	x := leading(t)
	for range 50 {
		if _, _, err := x.m.Propose(x.now, []byte("command")); err != nil {
			t.Fatal(err)
		}
		x.catchUp(x.work())
	}
	joined := with(voters(1, 2, 3), Member{ID: 4, Address: "a"})
	sent := x.change(joined)
	x.want("holds at once", x.m.membership(), joined)
	probe := x.only(MessageAppend, 4, sent)
	promoted := with(voters(1, 2, 3), Member{ID: 4, Address: "a", Voter: true})
	if err := x.m.ChangeMembership(x.now, promoted); !errors.As(err, new(*PendingMembershipChangeError)) {
		t.Errorf("while the first is not committed: %v", err)
	}
	x.catchUp(sent, 4)
	if err := x.m.ChangeMembership(x.now, promoted); !errors.As(err, new(*LearnerBehindError)) {
		t.Errorf("before it has caught up: %v", err)
	}
	answers := x.step(Message{Kind: MessageAppendReply, From: 4, Term: 1, Index: probe.Index, Reject: true, Round: probe.Round})
	for began := x.now; x.now < began+testElection; { // it takes long, so that it may fall behind again
		x.catchUp(x.wait(), 4)
	}
	x.catchUp(answers)
	if err := x.m.ChangeMembership(x.now, promoted); !errors.As(err, new(*LearnerBehindError)) {
		t.Errorf("before it keeps up: %v", err)
	}
	x.catchUp(x.wait())
	x.catchUp(x.change(promoted))
	x.want("membership", x.m.membership(), promoted)
	x.want("committed", x.m.log.commit, x.m.log.lastIndex())
}

func TestLearnersDoNotCount(t *testing.T) {
	stored := PersistentState{Snapshot: Snapshot{Membership: with(voters(1, 2), Member{ID: 3}, Member{ID: 4})}}
	x := newScript(t, stored)
	asked := x.wait()
	x.want("asked", len(asked), 1)
	x.step(Message{Kind: MessagePreVoteReply, From: 3, Term: 1})
	x.want("term", x.m.term, 0)
	x.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 1})
	sent := x.step(Message{Kind: MessageVoteReply, From: 2, Term: 1})
	x.step(ack(x.only(MessageAppend, 3, sent)))
	x.step(ack(x.only(MessageAppend, 4, sent)))
	x.want("commit", x.m.log.commit, 0)
	x.step(ack(x.only(MessageAppend, 2, sent)))
	x.want("commit", x.m.log.commit, 1)
}

func TestRemovedLeaderLeadsUntilThatIsCommitted(t *testing.T) {
	x := leading(t)
	sent := x.change(voters(2, 3))
	x.step(ack(x.only(MessageAppend, 2, sent)))
	x.want("role while one of two has it", x.m.role, Leader)
	told := x.step(ack(x.only(MessageAppend, 3, sent)))
	x.want("role after", x.m.role, Follower)
	x.want("told to take over", told[len(told)-1].Kind, MessageTimeoutNow)
	x.want("due", x.m.NextTick(), Never)
}

func TestRemovedMemberIsToldOnceThatIsCommitted(t *testing.T) {
	x := leading(t)
	sent := x.change(voters(1, 2))
	for _, msg := range sent {
		if msg.To == 3 {
			t.Errorf("told before: %+v", msg)
		}
	}
	told := x.only(MessageAppend, 3, x.step(ack(x.only(MessageAppend, 2, sent))))
	x.want("commit", told.Commit, 2)
	x.want("entries", len(told.Entries), 1)
}

func TestLeaderWhoseRemovalIsNotCommittedMayLeadAgain(t *testing.T) {
	stored := founded(1, 2)
	stored.HardState = HardState{Term: 1, Commit: 1}
	stored.Entries = append(entries(1, 1), membershipEntry(2, 1, voters(2)))
	x := newScript(t, stored)
	asked := x.wait()
	x.want("asked", x.only(MessagePreVote, 2, asked).Index, 2)
	x.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 2})
	sent := x.step(Message{Kind: MessageVoteReply, From: 2, Term: 2})
	x.want("role", x.m.role, Leader)
	x.step(ack(x.only(MessageAppend, 2, sent)))
	x.want("role once the removal is committed", x.m.role, Follower)
	x.want("due", x.m.NextTick(), Never)
}

func TestMembershipThatIsOverwrittenNoLongerHolds(t *testing.T) {
	stored := founded(1, 2, 3)
	stored.HardState = HardState{Term: 1}
	stored.Entries = append(entries(1, 1), membershipEntry(2, 1, voters(1, 2)))
	x := newScript(t, stored)
	x.want("before", x.m.membership(), voters(1, 2))
	x.step(Message{Kind: MessageAppend, From: 3, Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2), Round: 1})
	x.want("after", x.m.membership(), voters(1, 2, 3))
}

func TestFreshReplicaIsSilentUntilItIsTakenIn(t *testing.T) {
	x := newScript(t, PersistentState{})
	x.want("due", x.m.NextTick(), Never)
	for _, msg := range []Message{{Kind: MessagePreVote, Term: 5}, {Kind: MessageVote, Term: 5}, {Kind: MessageVote, Term: 5, Force: true},
		{Kind: MessageTimeoutNow, Term: 5}, {Kind: MessageVoteReply, Term: 5}, {Kind: MessageAppendReply, Term: 5}} {
		msg.From = 2
		x.want("answers", len(x.step(msg)), 0)
	}
	x.want("term", x.m.term, 0)
	taken := Message{Kind: MessageAppend, From: 2, Term: 1, Round: 1,
		Entries: append(entries(1, 1), membershipEntry(2, 1, with(voters(2), Member{ID: 1})))}
	x.only(MessageAppendReply, 2, x.step(taken))
	x.want("due as a learner", x.m.NextTick(), Never)
	x.now += 2 * testElection
	vote := Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1}
	x.want("vote as a learner whom the candidate counts", x.only(MessageVoteReply, 3, x.step(vote)).Reject, false)
	x.step(Message{Kind: MessageAppend, From: 3, Term: 2, Index: 2, LogTerm: 1, Round: 1,
		Entries: []Entry{membershipEntry(3, 2, voters(1, 2))}})
	x.want("due as a voter", x.m.NextTick() < Never, true)
}

func TestSnapshotIsInstalled(t *testing.T) {
	snapshot := &Snapshot{Index: 9, Term: 2, Membership: voters(1, 2, 3), Data: []byte("state")}
	install := Message{Kind: MessageInstallSnapshot, From: 2, Term: 3, Round: 4, Snapshot: snapshot}
	t.Run("on a log without it", func(t *testing.T) {
		stored := founded(1, 2)
		stored.Entries = entries(1, 1, 1)
		x := newScript(t, stored)
		reply := x.only(MessageInstallSnapshotReply, 2, x.step(install))
		x.want("reply", []uint64{reply.Index, reply.Round}, []uint64{9, 4})
		x.want("restored", x.restored.Index, 9)
		x.want("membership", x.m.membership(), voters(1, 2, 3))
		x.step(Message{Kind: MessageAppend, From: 2, Term: 3, Index: 9, LogTerm: 2, Entries: entries(10, 3), Commit: 10, Round: 5})
		x.want("applied", x.committed, entries(10, 3))
	})
	t.Run("on a log with it", func(t *testing.T) {
		stored := founded(1, 2)
		stored.HardState = HardState{Term: 2}
		stored.Entries = entries(1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2)
		x := newScript(t, stored)
		x.want("reply", x.only(MessageInstallSnapshotReply, 2, x.step(install)).Index, 9)
		x.want("restored", x.restored, (*Snapshot)(nil))
		x.want("commit", x.m.log.commit, 9)
		x.want("last", x.m.log.lastIndex(), 10)
	})
	t.Run("of old", func(t *testing.T) {
		stored := PersistentState{HardState: HardState{Term: 2}, Snapshot: Snapshot{Index: 20, Term: 2, Membership: voters(1, 2)}}
		x := newScript(t, stored)
		x.want("reply", x.only(MessageInstallSnapshotReply, 2, x.step(install)).Index, 20)
		x.want("restored", x.restored, (*Snapshot)(nil))
	})
}

func TestCompactionKeepsATail(t *testing.T) {
	x := leading(t)
	for x.compact == 0 {
		if _, _, err := x.m.Propose(x.now, []byte("command")); err != nil {
			t.Fatal(err)
		}
		x.catchUp(x.work(), 3)
	}
	x.want("wanted at", x.compact, 8)
	snapshot, is := x.m.CreateSnapshot(8, []byte("state"))
	x.want("snapshot", []any{is, snapshot.Index, snapshot.Term, snapshot.Membership}, []any{true, 8, 1, voters(1, 2, 3)})
	x.m.Compact(8, []byte("state"), 0)
	x.want("offset", x.m.log.offset, 6)
	// Member 3 holds no more than the first entry, and gets the snapshot.
	sent := x.step(Message{Kind: MessageAppendReply, From: 3, Term: 1, Index: 7, Reject: true, RejectHint: 1, LogTerm: 1})
	install := x.only(MessageInstallSnapshot, 3, sent)
	x.want("snapshot", []any{install.Snapshot.Index, string(install.Snapshot.Data)}, []any{8, "state"})
	x.want("nothing more meanwhile", len(x.work()), 0)
	next := x.step(Message{Kind: MessageInstallSnapshotReply, From: 3, Term: 1, Index: 8, Round: install.Round})
	for _, msg := range next {
		x.want("goes on at", msg.Index, 8)
	}
}

func TestMemberThatFellBehindTheLogsStartGetsTheSnapshot(t *testing.T) {
	x := leading(t)
	for i := range 40 {
		if _, _, err := x.m.Propose(x.now, []byte("command")); err != nil {
			t.Fatal(err)
		}
		x.catchUp(x.work(), 3)
		if i%8 == 7 {
			x.m.Compact(x.m.log.applied, nil, 0)
		}
	}
	// Its appends were lost; it answers the next heartbeat, which stands where all logs agree.
	beat := x.only(MessageAppend, 3, x.wait())
	x.want("heartbeat", beat.Index, 0)
	x.only(MessageInstallSnapshot, 3, x.step(Message{Kind: MessageAppendReply, From: 3, Term: 1, Index: 1, Round: beat.Round}))
}

func TestStoredThatMakesNoSense(t *testing.T) {
	for name, stored := range map[string]PersistentState{
		"terms that fall": {Snapshot: founded(1).Snapshot, Entries: entries(1, 2, 1)},
		"gap":             {Snapshot: founded(1).Snapshot, Entries: append(entries(1, 1), entries(3, 1)...)},
		"membership": {Snapshot: founded(1).Snapshot, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership,
			Data: []byte("?")}}},
		"founders": founded(1, 1),
	} {
		if stored.Validate() == nil {
			t.Errorf("%s: passes", name)
		}
		x := newScript(t, stored)
		x.want(name+": due", x.m.NextTick(), Never)
		x.want(name+": answers", len(x.step(Message{Kind: MessageVote, From: 2, Term: 9, Index: 99, LogTerm: 8})), 0)
		x.want(name+": to be done", x.m.Ready().Empty(), true)
	}
}

func TestLogOfBeforeASnapshotIsLeftOut(t *testing.T) {
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
		x := newScript(t, PersistentState{HardState: HardState{Term: 2, Commit: 3}, Snapshot: snapshot, Entries: c.log})
		x.want("last", x.m.log.lastIndex(), c.last)
	}
}

// TestNoSnapshotIsMadeBeforeTheMembersAreKnown has a replica that joined later be sent the log from its start.
func TestNoSnapshotIsMadeBeforeTheMembersAreKnown(t *testing.T) {
	x := newScript(t, PersistentState{})
	log := append(entries(1, 1, 1), membershipEntry(3, 1, with(voters(2, 3), Member{ID: 1})))
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Entries: log, Commit: 2, Round: 1})
	if snapshot, is := x.m.CreateSnapshot(2, nil); is {
		t.Errorf("a snapshot of a group without members: %+v", snapshot)
	}
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Index: 3, LogTerm: 1, Commit: 3, Round: 2})
	snapshot, is := x.m.CreateSnapshot(3, nil)
	if !is || len(snapshot.Membership.Members) != 3 {
		t.Errorf("made: %t, %+v", is, snapshot)
	}
}

// betweenTwoSets is a joint membership: 1, 2 and 3 voted, and 1, 4 and 5 are to vote.
func betweenTwoSets() Membership {
	return Membership{Members: []Member{{ID: 1, Voter: true, Outgoing: true}, {ID: 2, Outgoing: true}, {ID: 3, Outgoing: true},
		{ID: 4, Voter: true}, {ID: 5, Voter: true}}}
}

// TestJointElectionNeedsBothSets: neither voter set of a joint membership elects a leader by itself.
func TestJointElectionNeedsBothSets(t *testing.T) {
	x := newScript(t, PersistentState{Snapshot: Snapshot{Membership: betweenTwoSets()}})
	x.want("asked", len(x.wait()), 4)
	for _, id := range []ReplicaID{4, 5} {
		x.step(Message{Kind: MessagePreVoteReply, From: id, Term: 1})
	}
	x.want("term with the incoming set alone", x.m.term, 0)
	x.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 1})
	x.want("term with both", x.m.term, 1)
	for _, id := range []ReplicaID{2, 3} {
		x.step(Message{Kind: MessageVoteReply, From: id, Term: 1})
	}
	x.want("role with the outgoing set alone", x.m.role, Candidate)
	x.step(Message{Kind: MessageVoteReply, From: 5, Term: 1})
	x.want("role with both", x.m.role, Leader)
}

// TestJointCommitNeedsBothSetsAndIsLeft: an entry of a joint membership is committed once both sets hold it, and then the
// leader leaves the joint membership by itself.
func TestJointCommitNeedsBothSetsAndIsLeft(t *testing.T) {
	x := newScript(t, PersistentState{Snapshot: Snapshot{Membership: betweenTwoSets()}})
	x.wait()
	for _, id := range []ReplicaID{2, 4} {
		x.step(Message{Kind: MessagePreVoteReply, From: id, Term: 1})
	}
	x.step(Message{Kind: MessageVoteReply, From: 2, Term: 1})
	sent := x.step(Message{Kind: MessageVoteReply, From: 4, Term: 1})
	x.step(ack(x.only(MessageAppend, 4, sent)))
	x.step(ack(x.only(MessageAppend, 5, sent)))
	x.want("commit with the incoming set alone", x.m.log.commit, 0)
	x.step(ack(x.only(MessageAppend, 3, sent)))
	x.want("commit with both", x.m.log.commit, 1)
	x.want("joint after", x.m.membership().Joint(), false)
	x.want("voter before", x.m.membership().isVoter(2), false)
	x.want("voter now", x.m.membership().isVoter(5), true)
}

// TestVotesMoveInOneStep: a change of who votes goes through a joint membership, and the next one has to wait.
func TestVotesMoveInOneStep(t *testing.T) {
	x := leading(t)
	x.catchUp(x.change(with(voters(1, 2, 3), Member{ID: 4})))
	x.catchUp(x.wait())
	to := with(voters(1, 2), Member{ID: 3}, Member{ID: 4, Voter: true})
	sent := x.change(to)
	x.want("joint", x.m.membership().Joint(), true)
	if err := x.m.ChangeMembership(x.now, voters(1, 2)); !errors.As(err, new(*PendingMembershipChangeError)) {
		t.Errorf("while it is joint: %v", err)
	}
	x.catchUp(sent)
	x.want("after", x.m.membership(), to)
	x.want("committed", x.m.log.commit, x.m.log.lastIndex())
	if err := x.m.ChangeMembership(x.now, betweenTwoSets()); !errors.As(err, new(*InvalidMembershipError)) {
		t.Errorf("a joint membership asked for: %v", err)
	}
}

// TestPreCandidatesYieldByRank: of two replicas that ask for pre-votes with equal logs the one with the lower id puts its
// election off, once a term.
func TestPreCandidatesYieldByRank(t *testing.T) {
	ask := func(from ReplicaID) Message { return Message{Kind: MessagePreVote, From: from, Term: 1} }
	ahead := newScript(t, founded(1, 2, 3))
	ahead.wait()
	ahead.step(ask(2))
	ahead.want("role of the lower id", ahead.m.role, Follower)
	due := ahead.m.electionDeadline
	ahead.step(ask(2))
	ahead.want("due after it is asked again", ahead.m.electionDeadline, due)
	if due < ahead.now+testElection*3/4 {
		t.Errorf("its election is due %v after it yielded", due-ahead.now)
	}
}

// TestNewLeaderKnowsThatItsPredecessorIsSilent: a leader counts the silence of the one before from its last word.
func TestNewLeaderKnowsThatItsPredecessorIsSilent(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.step(Message{Kind: MessageAppend, From: 3, Term: 1, Round: 1})
	heard := x.now
	x.wait()
	x.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 2})
	x.step(Message{Kind: MessageVoteReply, From: 2, Term: 2})
	x.want("role", x.m.role, Leader)
	x.want("last word of the leader before", x.m.Status().LastContact[3], heard)
	x.want("last word of the voter", x.m.Status().LastContact[2], x.now)
}
