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

// script drives one machine by hand and keeps what it puts out.
type script struct {
	t    *testing.T
	m    *Node
	now  time.Duration
	sent []Message
	log  []Entry
	hard HardState

	committed []Entry
	reads     []ReadState
	compact   uint64
	restored  *Snapshot
}

func voters(ids ...ReplicaID) (s Membership) {
	for _, id := range ids {
		s.Members = append(s.Members, Member{ID: id, Voter: true})
	}
	return s
}

func with(s Membership, members ...Member) Membership {
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
func newScript(t *testing.T, s PersistentState) *script {
	x := &script{t: t, hard: s.HardState, log: s.Entries}
	x.m = New(0, Config{ID: 1, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection, Seed: 1, MaxAppendBytes: 64,
		MaxInflightAppends: 2, SnapshotThreshold: 8}, s)
	x.now = testElection
	return x
}

func founded(ids ...ReplicaID) PersistentState {
	return PersistentState{Snapshot: Snapshot{Membership: voters(ids...)}}
}

// work does what the machine wants done, its writes included unless held.
func (x *script) work() []Message {
	x.t.Helper()
	x.sent = nil
	for r := x.m.Ready(); !r.Empty(); r = x.m.Ready() {
		x.take(r)
		x.m.MarkPersisted(r)
	}
	return x.sent
}

func (x *script) take(r Ready) {
	x.sent = append(x.sent, r.EarlyMessages...)
	x.sent = append(x.sent, r.Messages...)
	if r.Snapshot != nil {
		x.restored = r.Snapshot
		x.log = nil
	}
	if len(r.Entries) > 0 {
		x.log = slices.DeleteFunc(x.log, func(e Entry) bool { return e.Index >= r.Entries[0].Index })
		x.log = append(x.log, r.Entries...)
	}
	if r.HardState != nil {
		x.hard = *r.HardState
	}
	x.committed = append(x.committed, r.CommittedEntries...)
	x.reads = append(x.reads, r.ReadStates...)
	x.compact = max(x.compact, r.CompactIndex)
}

func (x *script) step(msg Message) []Message {
	x.t.Helper()
	msg.To = 1
	x.m.Step(x.now, msg)
	return x.work()
}

// wait lets time pass up to the machine's next due time.
func (x *script) wait() []Message {
	x.t.Helper()
	if x.m.NextTick() == Never {
		x.t.Fatal("nothing is due")
	}
	x.now = max(x.now, x.m.NextTick())
	x.m.Tick(x.now)
	return x.work()
}

// lead has the machine elected, with the first of the voters granting.
func (x *script) lead() []Message {
	x.t.Helper()
	x.wait()
	x.grantAll(MessagePreVoteReply, x.m.term+1)
	term := x.m.term
	x.grantAll(MessageVoteReply, term)
	if x.m.role != Leader {
		x.t.Fatalf("not elected: %+v", x.m.Status())
	}
	return x.sent
}

func (x *script) grantAll(kind MessageKind, term uint64) {
	var all []Message
	for _, member := range x.m.membership().Members {
		if member.ID != 1 && member.Voter && x.m.role != Leader {
			all = append(all, x.step(Message{Kind: kind, From: member.ID, Term: term})...)
		}
	}
	x.sent = all
}

// ack answers an append as a replica that took all of it.
func ack(msg Message) Message {
	return Message{Kind: MessageAppendReply, From: msg.To, Term: msg.Term, Index: msg.Index + uint64(len(msg.Entries)),
		Round: msg.Round}
}

func (x *script) only(kind MessageKind, to ReplicaID, msgs []Message) Message {
	x.t.Helper()
	var found []Message
	for _, msg := range msgs {
		if msg.Kind == kind && msg.To == to {
			found = append(found, msg)
		}
	}
	if len(found) != 1 {
		x.t.Fatalf("%d messages of kind %d to %d in %+v", len(found), kind, to, msgs)
	}
	return found[0]
}

func (x *script) want(what string, got, want any) {
	x.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		x.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func terms(log []Entry) (all []uint64) {
	for _, entry := range log {
		all = append(all, entry.Term)
	}
	return all
}

func TestPreVoteAndVoteAreGrantedToWhoHasTheNewerLog(t *testing.T) {
	stored := founded(1, 2, 3)
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
			x := newScript(t, stored)
			got := x.step(Message{Kind: MessagePreVote, From: 2, Term: c.term, Index: c.index, LogTerm: c.last})
			reply := x.only(MessagePreVoteReply, 2, got)
			x.want("pre-vote", !reply.Reject, c.pre)
			x.want("term after the pre-vote", x.m.term, 3)
			x = newScript(t, stored)
			got = x.step(Message{Kind: MessageVote, From: 2, Term: c.term, Index: c.index, LogTerm: c.last})
			granted := len(got) == 1 && !got[0].Reject
			x.want("vote", granted, c.vote)
			x.want("vote on disk", x.hard.Vote == 2, c.vote)
		})
	}
}

func TestOneVoteATerm(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.want("first", x.only(MessageVoteReply, 2, x.step(Message{Kind: MessageVote, From: 2, Term: 1})).Reject, false)
	x.want("another", x.only(MessageVoteReply, 3, x.step(Message{Kind: MessageVote, From: 3, Term: 1})).Reject, true)
	x.want("the same again", x.only(MessageVoteReply, 2, x.step(Message{Kind: MessageVote, From: 2, Term: 1})).Reject, false)
	x = newScript(t, PersistentState{HardState: x.hard, Snapshot: founded(1, 2, 3).Snapshot})
	x.want("another after a restart", x.only(MessageVoteReply, 3, x.step(Message{Kind: MessageVote, From: 3, Term: 1})).Reject, true)
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
			x := newScript(t, founded(ids...))
			asked := x.wait()
			x.want("asked", len(asked), c.voters-1)
			x.want("term before the pre-vote is won", x.m.term, map[bool]int{true: 1, false: 0}[c.voters == 1])
			for _, id := range ids[1:] {
				x.step(Message{Kind: MessagePreVoteReply, From: id, Term: 1})
			}
			x.want("term", x.m.term, 1)
			for _, id := range ids[1 : 1+c.grants] {
				x.step(Message{Kind: MessageVoteReply, From: id, Term: 1})
				x.step(Message{Kind: MessageVoteReply, From: id, Term: 1}) // counts once
			}
			x.want("elected", x.m.role == Leader, c.elected)
		})
	}
}

func TestOwnVoteCountsOnceItIsOnDisk(t *testing.T) {
	x := newScript(t, founded(1))
	x.now = x.m.NextTick()
	x.m.Tick(x.now)
	r := x.m.Ready()
	x.want("role before", x.m.role, Candidate)
	x.want("must sync", r.MustSync, true)
	x.m.MarkPersisted(r)
	x.want("role after", x.m.role, Leader)
}

func TestFollowerHoldsToItsLeader(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Round: 5})
	x.now += testElection - 1
	pre := Message{Kind: MessagePreVote, From: 3, Term: 2, Index: 9, LogTerm: 1}
	x.want("pre-vote within the lease", x.only(MessagePreVoteReply, 3, x.step(pre)).Reject, true)
	vote := Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1}
	x.want("vote within the lease", len(x.step(vote)), 0)
	x.want("term", x.m.term, 1)
	x.now++
	x.want("pre-vote after it", x.only(MessagePreVoteReply, 3, x.step(pre)).Reject, false)
	x.want("vote after it", x.only(MessageVoteReply, 3, x.step(vote)).Reject, false)
}

func TestFollowerVotesAtOnceInAnElectionThatItsLeaderAskedFor(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Round: 5})
	vote := Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1, Force: true}
	x.want("vote", x.only(MessageVoteReply, 3, x.step(vote)).Reject, false)
}

func TestReplicaHoldsToALeaderOfBeforeItsRestart(t *testing.T) {
	stored := founded(1, 2, 3)
	stored.HardState = HardState{Term: 1}
	x := newScript(t, stored)
	x.now = testElection - 1
	x.want("reply", len(x.step(Message{Kind: MessageVote, From: 3, Term: 2})), 0)
	x.now++
	x.want("reply", len(x.step(Message{Kind: MessageVote, From: 3, Term: 2})), 1)
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
			stored := founded(1, 2, 3)
			stored.HardState = HardState{Term: 4, Commit: c.commit}
			stored.Entries = entries(1, c.log...)
			x := newScript(t, stored)
			got := x.step(Message{Kind: MessageAppend, From: 2, Term: 4, Index: c.index, LogTerm: c.logTerm, Entries: c.entries,
				Commit: c.leaderCommit, Round: 77})
			reply := x.only(MessageAppendReply, 2, got)
			x.want("rejected", reply.Reject, c.reject)
			x.want("round", reply.Round, 77)
			if c.reject {
				x.want("hint", reply.RejectHint, c.reply)
			} else {
				x.want("index", reply.Index, c.reply)
			}
			x.want("log", terms(x.log), c.after)
			x.want("commit", x.m.log.commit, c.committed)
		})
	}
}

func TestSenderOfAnOldTermLearnsTheNewOne(t *testing.T) {
	stored := founded(1, 2, 3)
	stored.HardState = HardState{Term: 4}
	x := newScript(t, stored)
	reply := x.only(MessageAppendReply, 2, x.step(Message{Kind: MessageAppend, From: 2, Term: 3, Round: 1}))
	x.want("term", reply.Term, 4)
	x.want("rejected", reply.Reject, true)
	x.want("leader", x.m.leaderID, 0)
}

func TestLeaderStepsDownForANewerTerm(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.lead()
	x.step(Message{Kind: MessageAppendReply, From: 3, Term: 7, Reject: true})
	x.want("role", x.m.role, Follower)
	x.want("term on disk", x.hard.Term, 7)
}

func TestLeadersOwnEntriesCountOnceTheyAreOnDisk(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	first := x.only(MessageAppend, 2, x.lead())
	x.step(ack(first))
	x.want("commit of the first entry", x.m.log.commit, 1)
	if _, _, err := x.m.Propose(x.now, []byte("a")); err != nil {
		t.Fatal(err)
	}
	r := x.m.Ready()
	x.take(r)
	x.want("appends sent before the sync", len(r.EarlyMessages) > 0 && r.EarlyMessages[0].Entries[0].Index == 2, true)
	msg := ack(x.only(MessageAppend, 2, r.EarlyMessages))
	msg.To = 1
	x.m.Step(x.now, msg)
	x.want("commit before the sync", x.m.log.commit, 1)
	x.m.MarkPersisted(r)
	x.want("commit after the sync", x.m.log.commit, 2)
}

func TestOverwrittenEntriesAreNoLongerOnDisk(t *testing.T) {
	for _, late := range []bool{false, true} { // the sync ends after the entries were overwritten
		x := newScript(t, founded(1, 2, 3))
		x.step(ack(x.only(MessageAppend, 2, x.lead())))
		for range 5 {
			if _, _, err := x.m.Propose(x.now, nil); err != nil {
				t.Fatal(err)
			}
		}
		r := x.m.Ready()
		if !late {
			x.m.MarkPersisted(r)
		}
		overwrite := Message{Kind: MessageAppend, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2), Round: 1}
		x.m.Step(x.now, overwrite)
		second := x.m.Ready()
		if late {
			x.m.MarkPersisted(r)
			x.want("durable before the second sync", x.m.log.durable, 1)
		}
		x.m.MarkPersisted(second)
		x.want("durable", x.m.log.durable, 2)
	}
}

func TestEntriesOfOlderTermsCommitWithOneOfThePresent(t *testing.T) {
	stored := founded(1, 2, 3)
	stored.HardState = HardState{Term: 2}
	stored.Entries = entries(1, 1, 2)
	x := newScript(t, stored)
	x.lead()
	x.step(Message{Kind: MessageAppendReply, From: 2, Term: 3, Index: 2})
	x.want("commit", x.m.log.commit, 0)
	x.step(Message{Kind: MessageAppendReply, From: 2, Term: 3, Index: 3})
	x.want("commit", x.m.log.commit, 3)
}

func TestLeaderFindsWhereLogsAgreeByTerms(t *testing.T) {
	stored := founded(1, 2, 3)
	stored.HardState = HardState{Term: 6}
	stored.Entries = entries(1, 1, 1, 1, 5, 5, 5, 6, 6, 6)
	x := newScript(t, stored)
	probe := x.only(MessageAppend, 2, x.lead())
	x.want("first probe", probe.Index, 9)
	// The member's log has terms 1 1 1 4 4 4 4: what it says skips them all.
	next := x.step(Message{Kind: MessageAppendReply, From: 2, Term: 7, Index: 9, Reject: true, RejectHint: 7, LogTerm: 4})
	second := x.only(MessageAppend, 2, next)
	x.want("second probe", second.Index, 3)
	x.want("entries", terms(second.Entries), []uint64{5, 5, 5, 6, 6, 6, 7})
	x.step(ack(second))
	x.want("commit", x.m.log.commit, 10)
}

func TestAppendsInFlightAreBounded(t *testing.T) {
	x := newScript(t, founded(1, 2))
	x.step(ack(x.only(MessageAppend, 2, x.lead())))
	for range 5 {
		if _, _, err := x.m.Propose(x.now, make([]byte, 40)); err != nil { // one to a message
			t.Fatal(err)
		}
	}
	sent := x.work()
	x.want("sent", len(sent), 2)
	x.want("sent after an answer", len(withEntries(x.step(ack(sent[0])))), 1)
	// The others are lost, which the next heartbeat brings to light.
	beat := x.only(MessageAppend, 2, x.wait())
	x.want("heartbeat", []uint64{beat.Index, uint64(len(beat.Entries))}, []uint64{4, 0})
	again := x.step(Message{Kind: MessageAppendReply, From: 2, Term: 1, Index: 4, Reject: true, RejectHint: 2, LogTerm: 1})
	x.want("sent again", x.only(MessageAppend, 2, again).Index, 2)
}

func withEntries(msgs []Message) (some []Message) {
	for _, msg := range msgs {
		if len(msg.Entries) > 0 {
			some = append(some, msg)
		}
	}
	return some
}

func TestIdleLeaderSendsOneHeartbeatAnInterval(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	for _, msg := range x.lead() {
		x.step(ack(msg))
	}
	start, sent := x.now, 0
	for x.now < start+20*testHeartbeat {
		for _, msg := range x.wait() {
			sent++
			if more := x.step(ack(msg)); len(more) > 0 {
				t.Fatalf("answer of a heartbeat brings %+v", more)
			}
		}
	}
	x.want("messages", sent, 2*20)
}

func TestLeaderWithoutAMajorityStepsDown(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.lead()
	start := x.now
	for x.m.role == Leader {
		x.wait()
	}
	x.want("after", x.now-start, testElection)
}

func TestReads(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	first := x.only(MessageAppend, 2, x.lead())
	x.m.ReadIndex(x.now, 1)
	sent := x.work()
	round := x.only(MessageAppend, 2, sent)
	x.step(Message{Kind: MessageAppendReply, From: 2, Term: 1, Index: 0, Round: round.Round})
	x.want("reads before an entry of the term is committed", len(x.reads), 0)
	x.step(ack(first))
	x.want("reads", x.reads, []ReadState{{Token: 1, Index: 1}})
	x.m.ReadIndex(x.now, 2)
	x.work()
	x.step(ack(first))
	x.want("a round from before the read does not do", len(x.reads), 1)
	x.step(Message{Kind: MessageAppendReply, From: 3, Term: 5, Reject: true})
	x.want("reads", len(x.reads), 2)
	if !errors.As(x.reads[1].Err, new(*NotLeaderError)) {
		t.Errorf("read of a leader that stepped down: %+v", x.reads[1])
	}
	x.m.ReadIndex(x.now, 3)
	x.work()
	if len(x.reads) != 3 || !errors.As(x.reads[2].Err, new(*NotLeaderError)) {
		t.Errorf("read of a follower: %+v", x.reads)
	}
}

func TestLeaseRunsFromTheBeginOfAConfirmedRound(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	sent := x.lead()
	x.want("lease before an answer", x.m.Status().LeaseExpiry, time.Duration(0))
	began := x.now
	x.now += 100 * time.Millisecond
	x.step(ack(x.only(MessageAppend, 3, sent)))
	x.want("lease", x.m.Status().LeaseExpiry, began+testElection-testElection/10)
}

func TestTransfer(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	sent := x.lead()
	x.step(ack(x.only(MessageAppend, 3, sent)))
	x.m.TransferLeadership(x.now, 2)
	x.want("told before it has caught up", len(x.work()), 0)
	if _, _, err := x.m.Propose(x.now, nil); err == nil {
		t.Error("a proposal was taken during the transfer")
	}
	x.want("lease before", x.m.Status().LeaseExpiry > x.now, true)
	told := x.only(MessageTimeoutNow, 2, x.step(ack(x.only(MessageAppend, 2, sent))))
	x.want("term", told.Term, 1)
	x.want("lease after", x.m.Status().LeaseExpiry, time.Duration(0))
	x.now += testElection / 2
	x.step(ack(x.only(MessageAppend, 3, sent)))
	x.now = x.m.leaderState.transferDeadline
	x.m.Tick(x.now)
	vote := x.only(MessageVote, 2, x.work())
	x.want("election of its own when the other does not take over", vote.Force, true)
}

func TestTimeoutNow(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.want("of a stranger", len(x.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 1})), 0)
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Round: 1})
	x.want("of an old term", len(x.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 0})), 0)
	sent := x.step(Message{Kind: MessageTimeoutNow, From: 2, Term: 1})
	x.want("vote", x.only(MessageVote, 3, sent).Force, true)
	x.want("term", x.only(MessageVote, 2, sent).Term, 2)
}

func TestStepDown(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	for _, msg := range x.lead() {
		x.step(ack(msg))
	}
	x.m.StepDown(x.now)
	sent := x.work()
	x.want("told", sent[0].Kind, MessageTimeoutNow)
	x.now = x.m.leaderState.transferDeadline
	x.m.Tick(x.now)
	x.want("role once nobody took over", x.m.role, Follower)
	x.want("stands for election again", x.m.NextTick() >= x.now+(stepDownElectionTimeouts-1)*testElection, true)
}
