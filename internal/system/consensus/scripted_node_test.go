package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	testHeartbeat = 150 * time.Millisecond
	testElection  = 700 * time.Millisecond
)

// scriptedNode drives one node by hand and records its output.
type scriptedNode struct {
	t         *testing.T
	node      *Node
	now       time.Duration
	sent      []Message
	log       []Entry
	hardState HardState

	committedEntries []Entry
	readStates       []ReadState
	compactIndex     uint64
	restoredSnapshot *Snapshot
}

func voters(ids ...ReplicaID) (membership Membership) {
	for _, id := range ids {
		membership.Members = append(membership.Members, Member{ID: id, Voter: true})
	}
	return membership
}

func withMembers(membership Membership, members ...Member) Membership {
	return Membership{Members: append(slices.Clone(membership.Members), members...)}
}

// entries returns one entry for each term, from an index on.
func entries(from uint64, terms ...uint64) (all []Entry) {
	for i, term := range terms {
		all = append(all, Entry{Index: from + uint64(i), Term: term, Data: []byte(fmt.Sprint(term))})
	}
	return all
}

func membershipEntry(index, term uint64, membership Membership) Entry {
	return Entry{Index: index, Term: term, Kind: EntryMembership, Data: EncodeMembership(membership)}
}

// newScriptedNode starts replica 1 from a persistent state. No lease from before the start can still last.
func newScriptedNode(t *testing.T, s PersistentState) *scriptedNode {
	t.Helper()
	script := &scriptedNode{t: t, hardState: s.HardState, log: s.Entries}
	script.node = New(0, Config{
		ID:                 1,
		HeartbeatInterval:  testHeartbeat,
		ElectionTimeout:    testElection,
		Seed:               1,
		MaxAppendBytes:     64,
		MaxInflightAppends: 2,
		SnapshotThreshold:  8,
	}, s)
	script.now = testElection
	return script
}

func foundingState(ids ...ReplicaID) PersistentState {
	return PersistentState{Snapshot: Snapshot{Membership: voters(ids...)}}
}

// process does all work of the node, including its writes, and returns the messages sent.
func (s *scriptedNode) process() []Message {
	s.t.Helper()
	s.sent = nil
	for ready := s.node.Ready(); !ready.Empty(); ready = s.node.Ready() {
		s.record(ready)
		s.node.MarkPersisted(ready)
	}
	return s.sent
}

func (s *scriptedNode) record(ready Ready) {
	s.sent = append(s.sent, ready.EarlyMessages...)
	s.sent = append(s.sent, ready.Messages...)
	if ready.Snapshot != nil {
		s.restoredSnapshot = ready.Snapshot
		s.log = nil
	}
	if len(ready.Entries) > 0 {
		s.log = slices.DeleteFunc(s.log, func(e Entry) bool { return e.Index >= ready.Entries[0].Index })
		s.log = append(s.log, ready.Entries...)
	}
	if ready.HardState != nil {
		s.hardState = *ready.HardState
	}
	s.committedEntries = append(s.committedEntries, ready.CommittedEntries...)
	s.readStates = append(s.readStates, ready.ReadStates...)
	s.compactIndex = max(s.compactIndex, ready.CompactIndex)
}

func (s *scriptedNode) step(msg Message) []Message {
	s.t.Helper()
	msg.To = 1
	s.node.Step(s.now, msg)
	return s.process()
}

// tickWhenDue advances the time to the next tick and ticks.
func (s *scriptedNode) tickWhenDue() []Message {
	s.t.Helper()
	if s.node.NextTick() == Never {
		s.t.Fatal("nothing is due")
	}
	s.now = max(s.now, s.node.NextTick())
	s.node.Tick(s.now)
	return s.process()
}

// becomeLeader has the node elected by the first voters of its membership.
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

// acknowledge returns the reply to an append by a replica that accepted all of it.
func acknowledge(msg Message) Message {
	return Message{
		Kind:  MessageAppendReply,
		From:  msg.To,
		Term:  msg.Term,
		Index: msg.Index + uint64(len(msg.Entries)),
		Round: msg.Round,
	}
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

// newLeader returns replica 1 of three as leader, with its first entry committed.
func newLeader(t *testing.T) *scriptedNode {
	t.Helper()
	script := newScriptedNode(t, foundingState(1, 2, 3))
	for _, msg := range script.becomeLeader() {
		script.step(acknowledge(msg))
	}
	script.process()
	return script
}

// catchUp has all peers acknowledge all appends until nothing more is sent.
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

// jointTestMembership returns a joint membership: 1, 2 and 3 are the outgoing voters, 1, 4 and 5 the incoming ones.
func jointTestMembership() Membership {
	return Membership{Members: []Member{
		{ID: 1, Voter: true, Outgoing: true},
		{ID: 2, Outgoing: true},
		{ID: 3, Outgoing: true},
		{ID: 4, Voter: true},
		{ID: 5, Voter: true},
	}}
}
