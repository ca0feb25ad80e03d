package consensus

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	testHeartbeat = 150 * time.Millisecond
	testElection  = 700 * time.Millisecond
)

// scriptedNode drives one machine by hand and keeps what it puts out.
type scriptedNode struct {
	t         *testing.T
	node      *Node
	now       time.Duration
	sent      []Message
	log       []Entry
	hardState HardState

	committed    []Entry
	readStates   []ReadState
	compactIndex uint64
	restored     *Snapshot
}

func voters(ids ...ReplicaID) (s Membership) {
	for _, id := range ids {
		s.Members = append(s.Members, Member{ID: id, Voter: true})
	}
	return s
}

func withMembers(s Membership, members ...Member) Membership {
	return Membership{Members: append(slices.Clone(s.Members), members...)}
}

// entries are one for each term, from an index on.
func entries(from uint64, terms ...uint64) (all []Entry) {
	for i, term := range terms {
		all = append(all, Entry{Index: from + uint64(i), Term: term, Data: []byte(fmt.Sprint(term))})
	}
	return all
}

func membershipEntry(index, term uint64, s Membership) Entry {
	return Entry{Index: index, Term: term, Kind: EntryMembership, Data: EncodeMembership(s)}
}

// newScript starts replica 1 from what was stored, long enough ago that no lease may rest on it.
func newScript(t *testing.T, s PersistentState) *scriptedNode {
	script := &scriptedNode{t: t, hardState: s.HardState, log: s.Entries}
	script.node = New(0, Config{ID: 1, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection, Seed: 1, MaxAppendBytes: 64,
		MaxInflightAppends: 2, SnapshotThreshold: 8}, s)
	script.now = testElection
	return script
}

func foundingState(ids ...ReplicaID) PersistentState {
	return PersistentState{Snapshot: Snapshot{Membership: voters(ids...)}}
}

// process does what the machine wants done, its writes included unless held.
func (s *scriptedNode) process() []Message {
	s.t.Helper()
	s.sent = nil
	for r := s.node.Ready(); !r.Empty(); r = s.node.Ready() {
		s.record(r)
		s.node.MarkPersisted(r)
	}
	return s.sent
}

func (s *scriptedNode) record(r Ready) {
	s.sent = append(s.sent, r.EarlyMessages...)
	s.sent = append(s.sent, r.Messages...)
	if r.Snapshot != nil {
		s.restored = r.Snapshot
		s.log = nil
	}
	if len(r.Entries) > 0 {
		s.log = slices.DeleteFunc(s.log, func(e Entry) bool { return e.Index >= r.Entries[0].Index })
		s.log = append(s.log, r.Entries...)
	}
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	s.committed = append(s.committed, r.CommittedEntries...)
	s.readStates = append(s.readStates, r.ReadStates...)
	s.compactIndex = max(s.compactIndex, r.CompactIndex)
}

func (s *scriptedNode) step(msg Message) []Message {
	s.t.Helper()
	msg.To = 1
	s.node.Step(s.now, msg)
	return s.process()
}

// tickWhenDue lets time pass up to the machine's next due time.
func (s *scriptedNode) tickWhenDue() []Message {
	s.t.Helper()
	if s.node.NextTick() == Never {
		s.t.Fatal("nothing is due")
	}
	s.now = max(s.now, s.node.NextTick())
	s.node.Tick(s.now)
	return s.process()
}

// becomeLeader has the machine elected, with the first of the voters granting.
func (s *scriptedNode) becomeLeader() []Message {
	s.t.Helper()
	s.tickWhenDue()
	s.grantAll(MessagePreVoteReply, s.node.term+1)
	term := s.node.term
	s.grantAll(MessageVoteReply, term)
	if s.node.role != Leader {
		s.t.Fatalf("not elected: %+v", s.node.Status())
	}
	return s.sent
}

func (s *scriptedNode) grantAll(kind MessageKind, term uint64) {
	var all []Message
	for _, member := range s.node.membership().Members {
		if member.ID != 1 && member.Voter && s.node.role != Leader {
			all = append(all, s.step(Message{Kind: kind, From: member.ID, Term: term})...)
		}
	}
	s.sent = all
}

// acknowledge answers an append as a replica that took all of it.
func acknowledge(msg Message) Message {
	return Message{Kind: MessageAppendReply, From: msg.To, Term: msg.Term, Index: msg.Index + uint64(len(msg.Entries)),
		Round: msg.Round}
}

func (s *scriptedNode) onlyMessage(kind MessageKind, to ReplicaID, msgs []Message) Message {
	s.t.Helper()
	var found []Message
	for _, msg := range msgs {
		if msg.Kind == kind && msg.To == to {
			found = append(found, msg)
		}
	}
	if len(found) != 1 {
		s.t.Fatalf("%d messages of kind %d to %d in %+v", len(found), kind, to, msgs)
	}
	return found[0]
}

func (s *scriptedNode) expect(what string, got, want any) {
	s.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		s.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func termsOf(log []Entry) (all []uint64) {
	for _, entry := range log {
		all = append(all, entry.Term)
	}
	return all
}

func TestVotesGoToUpToDateLogs(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 3}
	stored.Entries = entries(1, 1, 3)
	for _, c := range []struct {
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
		{"present term", 3, 2, 3, false, true},
		{"old term", 2, 9, 2, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			script := newScript(t, stored)
			got := script.step(Message{Kind: MessagePreVote, From: 2, Term: c.term, Index: c.index, LogTerm: c.last})
			reply := script.onlyMessage(MessagePreVoteReply, 2, got)
			script.expect("pre-vote", !reply.Reject, c.pre)
			script.expect("term after the pre-vote", script.node.term, 3)
			script = newScript(t, stored)
			got = script.step(Message{Kind: MessageVote, From: 2, Term: c.term, Index: c.index, LogTerm: c.last})
			granted := len(got) == 1 && !got[0].Reject
			script.expect("vote", granted, c.vote)
			script.expect("vote on disk", script.hardState.Vote == 2, c.vote)
		})
	}
}

func TestOneVotePerTerm(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	script.expect("first", script.onlyMessage(MessageVoteReply, 2, script.step(Message{Kind: MessageVote, From: 2, Term: 1})).Reject, false)
	script.expect("another", script.onlyMessage(MessageVoteReply, 3, script.step(Message{Kind: MessageVote, From: 3, Term: 1})).Reject, true)
	script.expect("the same again", script.onlyMessage(MessageVoteReply, 2, script.step(Message{Kind: MessageVote, From: 2, Term: 1})).Reject, false)
	script = newScript(t, PersistentState{HardState: script.hardState, Snapshot: foundingState(1, 2, 3).Snapshot})
	script.expect("another after a restart", script.onlyMessage(MessageVoteReply, 3, script.step(Message{Kind: MessageVote, From: 3, Term: 1})).Reject, true)
}

func TestElection(t *testing.T) {
	for _, c := range []struct {
		voters  int
		grants  int
		elected bool
	}{{1, 0, true}, {2, 0, false}, {2, 1, true}, {3, 1, true}, {4, 1, false}, {4, 2, true}, {5, 1, false}, {5, 2, true}} {
		t.Run(fmt.Sprintf("%d of %d", c.grants, c.voters), func(t *testing.T) {
			var ids []ReplicaID
			for id := range c.voters {
				ids = append(ids, ReplicaID(id+1))
			}
			script := newScript(t, foundingState(ids...))
			asked := script.tickWhenDue()
			script.expect("asked", len(asked), c.voters-1)
			script.expect("term before the pre-vote is won", script.node.term, map[bool]int{true: 1, false: 0}[c.voters == 1])
			for _, id := range ids[1:] {
				script.step(Message{Kind: MessagePreVoteReply, From: id, Term: 1})
			}
			script.expect("term", script.node.term, 1)
			for _, id := range ids[1 : 1+c.grants] {
				script.step(Message{Kind: MessageVoteReply, From: id, Term: 1})
				script.step(Message{Kind: MessageVoteReply, From: id, Term: 1}) // counts once
			}
			script.expect("elected", script.node.role == Leader, c.elected)
		})
	}
}

func TestOwnVoteCountsOncePersisted(t *testing.T) {
	script := newScript(t, foundingState(1))
	script.now = script.node.NextTick()
	script.node.Tick(script.now)
	r := script.node.Ready()
	script.expect("role before", script.node.role, Candidate)
	script.expect("must sync", r.MustSync, true)
	script.node.MarkPersisted(r)
	script.expect("role after", script.node.role, Leader)
}

func TestFollowerRejectsVotesWithinLease(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
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
	script := newScript(t, foundingState(1, 2, 3))
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Round: 5})
	vote := Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1, Force: true}
	script.expect("vote", script.onlyMessage(MessageVoteReply, 3, script.step(vote)).Reject, false)
}

func TestRestartedReplicaHonorsEarlierLease(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 1}
	script := newScript(t, stored)
	script.now = testElection - 1
	script.expect("reply", len(script.step(Message{Kind: MessageVote, From: 3, Term: 2})), 0)
	script.now++
	script.expect("reply", len(script.step(Message{Kind: MessageVote, From: 3, Term: 2})), 1)
}

func TestAppend(t *testing.T) {
	for _, c := range []struct {
		name           string
		log            []uint64 // terms
		commit         uint64   // stored
		index, logTerm uint64
		entries        []Entry
		leaderCommit   uint64
		reject         bool
		reply          uint64 // index, or hint
		after          []uint64
		committed      uint64
	}{
		{"to an empty log", nil, 0, 0, 0, entries(1, 1, 2), 1, false, 2, []uint64{1, 2}, 1},
		{"heartbeat", []uint64{1, 2}, 0, 2, 2, nil, 9, false, 2, []uint64{1, 2}, 2},
		{"heartbeat in the midst", []uint64{1, 2, 2}, 0, 2, 2, nil, 9, false, 2, []uint64{1, 2, 2}, 2},
		{"at the end", []uint64{1, 2}, 1, 2, 2, entries(3, 4), 3, false, 3, []uint64{1, 2, 4}, 3},
		{"known entries", []uint64{1, 2, 2}, 0, 1, 1, entries(2, 2), 2, false, 2, []uint64{1, 2, 2}, 2},
		{"conflict", []uint64{1, 2, 2}, 1, 1, 1, entries(2, 4), 1, false, 2, []uint64{1, 4}, 1},
		{"conflict later on", []uint64{1, 2, 2, 2}, 1, 1, 1, entries(2, 2, 4), 1, false, 3, []uint64{1, 2, 4}, 1},
		{"gap", []uint64{1, 2}, 0, 5, 4, entries(6, 4), 6, true, 2, []uint64{1, 2}, 0},
		{"other term", []uint64{1, 3, 3, 3}, 1, 4, 2, entries(5, 4), 5, true, 1, []uint64{1, 3, 3, 3}, 1},
		{"below commit", []uint64{1, 2, 2}, 2, 0, 0, entries(1, 1), 1, false, 2, []uint64{1, 2, 2}, 2},
		{"over commit", []uint64{1, 2, 2}, 2, 0, 0, entries(1, 1, 2, 4), 3, false, 3, []uint64{1, 2, 4}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			stored := foundingState(1, 2, 3)
			stored.HardState = HardState{Term: 4, Commit: c.commit}
			stored.Entries = entries(1, c.log...)
			script := newScript(t, stored)
			got := script.step(Message{Kind: MessageAppend, From: 2, Term: 4, Index: c.index, LogTerm: c.logTerm, Entries: c.entries,
				Commit: c.leaderCommit, Round: 77})
			reply := script.onlyMessage(MessageAppendReply, 2, got)
			script.expect("rejected", reply.Reject, c.reject)
			script.expect("round", reply.Round, 77)
			if c.reject {
				script.expect("hint", reply.RejectHint, c.reply)
			} else {
				script.expect("index", reply.Index, c.reply)
			}
			script.expect("log", termsOf(script.log), c.after)
			script.expect("commit", script.node.log.commit, c.committed)
		})
	}
}

func TestStaleLeaderLearnsNewerTerm(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 4}
	script := newScript(t, stored)
	reply := script.onlyMessage(MessageAppendReply, 2, script.step(Message{Kind: MessageAppend, From: 2, Term: 3, Round: 1}))
	script.expect("term", reply.Term, 4)
	script.expect("rejected", reply.Reject, true)
	script.expect("leader", script.node.leaderID, 0)
}

func TestLeaderStepsDownOnNewerTerm(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	script.becomeLeader()
	script.step(Message{Kind: MessageAppendReply, From: 3, Term: 7, Reject: true})
	script.expect("role", script.node.role, Follower)
	script.expect("term on disk", script.hardState.Term, 7)
}

func TestOwnEntriesCountOncePersisted(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	first := script.onlyMessage(MessageAppend, 2, script.becomeLeader())
	script.step(acknowledge(first))
	script.expect("commit of the first entry", script.node.log.commit, 1)
	if _, _, err := script.node.Propose(script.now, []byte("a")); err != nil {
		t.Fatal(err)
	}
	r := script.node.Ready()
	script.record(r)
	script.expect("appends sent before the sync", len(r.EarlyMessages) > 0 && r.EarlyMessages[0].Entries[0].Index == 2, true)
	msg := acknowledge(script.onlyMessage(MessageAppend, 2, r.EarlyMessages))
	msg.To = 1
	script.node.Step(script.now, msg)
	script.expect("commit before the sync", script.node.log.commit, 1)
	script.node.MarkPersisted(r)
	script.expect("commit after the sync", script.node.log.commit, 2)
}

func TestOverwrittenEntriesAreNotDurable(t *testing.T) {
	for _, late := range []bool{false, true} { // the sync ends after the entries were overwritten
		script := newScript(t, foundingState(1, 2, 3))
		script.step(acknowledge(script.onlyMessage(MessageAppend, 2, script.becomeLeader())))
		for range 5 {
			if _, _, err := script.node.Propose(script.now, nil); err != nil {
				t.Fatal(err)
			}
		}
		r := script.node.Ready()
		if !late {
			script.node.MarkPersisted(r)
		}
		overwrite := Message{Kind: MessageAppend, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2), Round: 1}
		script.node.Step(script.now, overwrite)
		second := script.node.Ready()
		if late {
			script.node.MarkPersisted(r)
			script.expect("durable before the second sync", script.node.log.durable, 1)
		}
		script.node.MarkPersisted(second)
		script.expect("durable", script.node.log.durable, 2)
	}
}

func TestEntriesOfEarlierTermsCommitWithOneOfCurrentTerm(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 2}
	stored.Entries = entries(1, 1, 2)
	script := newScript(t, stored)
	script.becomeLeader()
	script.step(Message{Kind: MessageAppendReply, From: 2, Term: 3, Index: 2})
	script.expect("commit", script.node.log.commit, 0)
	script.step(Message{Kind: MessageAppendReply, From: 2, Term: 3, Index: 3})
	script.expect("commit", script.node.log.commit, 3)
}

func TestRejectionSkipsWholeTerms(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 6}
	stored.Entries = entries(1, 1, 1, 1, 5, 5, 5, 6, 6, 6)
	script := newScript(t, stored)
	probe := script.onlyMessage(MessageAppend, 2, script.becomeLeader())
	script.expect("first probe", probe.Index, 9)
	// The member's log has terms 1 1 1 4 4 4 4: what it says skips them all.
	next := script.step(Message{Kind: MessageAppendReply, From: 2, Term: 7, Index: 9, Reject: true, RejectHint: 7, LogTerm: 4})
	second := script.onlyMessage(MessageAppend, 2, next)
	script.expect("second probe", second.Index, 3)
	script.expect("entries", termsOf(second.Entries), []uint64{5, 5, 5, 6, 6, 6, 7})
	script.step(acknowledge(second))
	script.expect("commit", script.node.log.commit, 10)
}

func TestMaxInflightAppends(t *testing.T) {
	script := newScript(t, foundingState(1, 2))
	script.step(acknowledge(script.onlyMessage(MessageAppend, 2, script.becomeLeader())))
	for range 5 {
		if _, _, err := script.node.Propose(script.now, make([]byte, 40)); err != nil { // one to a message
			t.Fatal(err)
		}
	}
	sent := script.process()
	script.expect("sent", len(sent), 2)
	script.expect("sent after an answer", len(messagesWithEntries(script.step(acknowledge(sent[0])))), 1)
	// The others are lost, which the next heartbeat brings to light.
	beat := script.onlyMessage(MessageAppend, 2, script.tickWhenDue())
	script.expect("heartbeat", []uint64{beat.Index, uint64(len(beat.Entries))}, []uint64{4, 0})
	again := script.step(Message{Kind: MessageAppendReply, From: 2, Term: 1, Index: 4, Reject: true, RejectHint: 2, LogTerm: 1})
	script.expect("sent again", script.onlyMessage(MessageAppend, 2, again).Index, 2)
}

func messagesWithEntries(msgs []Message) (some []Message) {
	for _, msg := range msgs {
		if len(msg.Entries) > 0 {
			some = append(some, msg)
		}
	}
	return some
}

func TestIdleLeaderSendsOneHeartbeatPerInterval(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	for _, msg := range script.becomeLeader() {
		script.step(acknowledge(msg))
	}
	start, sent := script.now, 0
	for script.now < start+20*testHeartbeat {
		for _, msg := range script.tickWhenDue() {
			sent++
			if more := script.step(acknowledge(msg)); len(more) > 0 {
				t.Fatalf("answer of a heartbeat brings %+v", more)
			}
		}
	}
	script.expect("messages", sent, 2*20)
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	script.becomeLeader()
	start := script.now
	for script.node.role == Leader {
		script.tickWhenDue()
	}
	script.expect("after", script.now-start, testElection)
}

func TestReadIndex(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
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
	script.expect("a round from before the read does not do", len(script.readStates), 1)
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
	script := newScript(t, foundingState(1, 2, 3))
	sent := script.becomeLeader()
	script.expect("lease before an answer", script.node.Status().LeaseExpiry, time.Duration(0))
	began := script.now
	script.now += 100 * time.Millisecond
	script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.expect("lease", script.node.Status().LeaseExpiry, began+testElection-testElection/10)
}

func TestTransferLeadership(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	sent := script.becomeLeader()
	script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.node.TransferLeadership(script.now, 2)
	script.expect("told before it has caught up", len(script.process()), 0)
	if _, _, err := script.node.Propose(script.now, nil); err == nil {
		t.Error("a proposal was taken during the transfer")
	}
	script.expect("lease before", script.node.Status().LeaseExpiry > script.now, true)
	told := script.onlyMessage(MessageTimeoutNow, 2, script.step(acknowledge(script.onlyMessage(MessageAppend, 2, sent))))
	script.expect("term", told.Term, 1)
	script.expect("lease after", script.node.Status().LeaseExpiry, time.Duration(0))
	script.now += testElection / 2
	script.step(acknowledge(script.onlyMessage(MessageAppend, 3, sent)))
	script.now = script.node.leaderState.transferDeadline
	script.node.Tick(script.now)
	vote := script.onlyMessage(MessageVote, 2, script.process())
	script.expect("election of its own when the other does not take over", vote.Force, true)
}

func TestTimeoutNow(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	script.expect("of a stranger", len(script.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 1})), 0)
	script.step(Message{Kind: MessageAppend, From: 2, Term: 1, Round: 1})
	script.expect("of an old term", len(script.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 0})), 0)
	sent := script.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 1})
	script.expect("vote", script.onlyMessage(MessageVote, 3, sent).Force, true)
	script.expect("term", script.onlyMessage(MessageVote, 2, sent).Term, 2)
}

func TestStepDown(t *testing.T) {
	script := newScript(t, foundingState(1, 2, 3))
	for _, msg := range script.becomeLeader() {
		script.step(acknowledge(msg))
	}
	script.node.StepDown(script.now)
	sent := script.process()
	script.expect("told", sent[0].Kind, MessageTimeoutNow)
	script.now = script.node.leaderState.transferDeadline
	script.node.Tick(script.now)
	script.expect("role once nobody took over", script.node.role, Follower)
	script.expect("stands for election again", script.node.NextTick() >= script.now+(stepDownElectionTimeouts-1)*testElection, true)
}
