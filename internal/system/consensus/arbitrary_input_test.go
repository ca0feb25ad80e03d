package consensus

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// robustnessTest is a node that is given arbitrary input, and its disk.
type robustnessTest struct {
	node    *Node
	now     time.Duration
	disk    simulatedDisk
	pending []Ready
	commit  uint64
	applied uint64
	token   uint64
}

func drawSmallUint(t *rapid.T, name string) uint64 {
	return rapid.OneOf(rapid.Uint64Range(0, 6), rapid.Uint64Range(0, 6), rapid.Uint64()).Draw(t, name)
}

func (test *robustnessTest) restart(t *rapid.T) {
	state := test.disk.stored
	state.Entries = slices.Clone(state.Entries)
	test.node = New(test.now, Config{
		ID:                 1,
		HeartbeatInterval:  testHeartbeat,
		ElectionTimeout:    testElection,
		Seed:               rapid.Uint64().Draw(t, "seed"),
		MaxAppendBytes:     8,
		MaxInflightAppends: 2,
		SnapshotThreshold:  4,
	}, state)
	if test.node.disabled {
		t.Fatalf("the persistent state is invalid: %v", state.Validate())
	}
	test.pending = nil
	test.commit = 0
	test.applied = state.Snapshot.Index
}

// message draws a message that may be valid: its numbers are near those of the node.
func (test *robustnessTest) message(t *rapid.T) Message {
	msg := Message{
		Kind:       MessageKind(rapid.IntRange(0, int(MessageTimeoutNow)+1).Draw(t, "kind")),
		From:       ReplicaID(rapid.IntRange(0, 4).Draw(t, "from")),
		To:         1,
		Term:       test.node.term + drawSmallUint(t, "term") - 2,
		Commit:     drawSmallUint(t, "commit"),
		RejectHint: drawSmallUint(t, "hint"),
		Round:      drawSmallUint(t, "round"),
		Reject:     rapid.Bool().Draw(t, "reject"),
		Force:      rapid.Bool().Draw(t, "force"),
	}
	msg.Index = test.node.log.lastIndex() + drawSmallUint(t, "index") - 4
	msg.LogTerm = drawSmallUint(t, "log term")
	if term, known := test.node.log.term(msg.Index); known && rapid.Bool().Draw(t, "right term") {
		msg.LogTerm = term
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		msg.Entries = append(msg.Entries, test.entry(t, msg))
	}
	if rapid.Bool().Draw(t, "with snapshot") {
		msg.Snapshot = &Snapshot{Index: msg.Index + 2, Term: msg.LogTerm, Membership: test.membership(t)}
	}
	return msg
}

func (test *robustnessTest) entry(t *rapid.T, msg Message) Entry {
	entry := Entry{Index: msg.Index + uint64(len(msg.Entries)) + 1, Term: msg.Term, Data: drawData(t, "data")}
	switch rapid.IntRange(0, 5).Draw(t, "entry") {
	case 0:
		entry.Index = drawSmallUint(t, "entry index")
	case 1:
		entry.Term = drawSmallUint(t, "entry term")
	case 2:
		entry.Kind = EntryMembership
	case 3:
		entry.Kind = EntryMembership
		entry.Data = EncodeMembership(test.membership(t))
	}
	return entry
}

func (test *robustnessTest) membership(t *rapid.T) (membership Membership) {
	for id := ReplicaID(0); id < 5; id++ {
		if rapid.IntRange(0, 3).Draw(t, "member") > 0 {
			membership.Members = append(membership.Members, Member{ID: id, Voter: rapid.IntRange(0, 3).Draw(t, "voter") > 0})
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "proper") > 0 && len(membership.Members) > 0 && membership.Members[0].ID == 0 {
		membership.Members = membership.Members[1:]
	}
	return membership
}

func (test *robustnessTest) persist(t *rapid.T) {
	ready := test.pending[0]
	test.pending = test.pending[1:]
	test.disk.write(ready)
	test.node.MarkPersisted(ready)
	if ready.Snapshot != nil {
		test.applied = ready.Snapshot.Index
	}
	for _, entry := range ready.CommittedEntries {
		if entry.Index != test.applied+1 {
			t.Fatalf("%d is applied after %d", entry.Index, test.applied)
		}
		test.applied = entry.Index
	}
	if snapshot, ok := test.node.CreateSnapshot(ready.CompactIndex, nil); ok {
		test.disk.compact(snapshot)
		test.node.Compact(ready.CompactIndex, nil, 0)
	}
}

func (test *robustnessTest) check(t *rapid.T) {
	log := &test.node.log
	if log.commit < test.commit {
		t.Fatalf("commit index decreased from %d to %d", test.commit, log.commit)
	}
	test.commit = log.commit
	if log.offset > log.snapshot.Index || log.snapshot.Index > log.commit || log.commit > log.lastIndex() || log.applied > log.commit ||
		log.writeIndex > log.lastIndex() || log.durable > log.writeIndex {
		t.Fatalf("inconsistent log: %+v", log)
	}
	for i, entry := range log.entries {
		if entry.Index != log.offset+uint64(i)+1 {
			t.Fatalf("entry %d is at index %d", entry.Index, log.offset+uint64(i)+1)
		}
	}
}

// TestArbitraryInput has a node handle messages and calls, valid or not, in any order.
func TestArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := &robustnessTest{disk: simulatedDisk{stored: foundingState(1, 2, 3)}}
		if rapid.Bool().Draw(t, "fresh") {
			test.disk.stored = PersistentState{}
		}
		test.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"": test.check,
			"step": func(t *rapid.T) {
				test.node.Step(test.now, test.message(t))
			},
			"tick": func(t *rapid.T) {
				if due := test.node.NextTick(); due != Never {
					test.now = max(test.now, due)
				}
				test.node.Tick(test.now)
			},
			"grant": func(t *rapid.T) {
				for id := ReplicaID(2); id <= 4; id++ {
					test.node.Step(test.now, Message{Kind: MessagePreVoteReply, From: id, To: 1, Term: test.node.term + 1})
					test.node.Step(test.now, Message{Kind: MessageVoteReply, From: id, To: 1, Term: test.node.term})
				}
			},
			"acknowledge": func(t *rapid.T) {
				index := rapid.Uint64Range(test.node.log.offset, test.node.log.lastIndex()).Draw(t, "index")
				test.node.Step(test.now, Message{
					Kind:  MessageAppendReply,
					From:  ReplicaID(rapid.IntRange(2, 4).Draw(t, "from")),
					To:    1,
					Term:  test.node.term,
					Index: index,
					Round: test.node.leaderState.round,
				})
			},
			"propose": func(t *rapid.T) { test.node.Propose(test.now, drawData(t, "data")) },
			"read": func(t *rapid.T) {
				test.token++
				test.node.ReadIndex(test.now, test.token)
			},
			"membership": func(t *rapid.T) { test.node.ChangeMembership(test.now, test.membership(t)) },
			"transfer": func(t *rapid.T) {
				test.node.TransferLeadership(test.now, ReplicaID(rapid.IntRange(0, 5).Draw(t, "to")))
			},
			"step down": func(t *rapid.T) { test.node.StepDown(test.now) },
			"ready": func(t *rapid.T) {
				if ready := test.node.Ready(); !ready.Empty() {
					test.pending = append(test.pending, ready)
				}
			},
			"persist": func(t *rapid.T) {
				for len(test.pending) > 0 {
					test.persist(t)
				}
			},
			"restart": func(t *rapid.T) { test.restart(t) },
		})
	})
}

// TestCorruptMessages runs clusters in which messages sometimes arrive corrupt but still decode. Replicas may then
// disagree, but none may break.
func TestCorruptMessages(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		sim := newSimulation(seed)
		sim.corruptsMessages = true
		sim.start()
		for range 200 {
			sim.run(100 * time.Millisecond)
			sim.failure = ""
		}
	}
}
