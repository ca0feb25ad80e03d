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

func (a *robustnessTest) restart(t *rapid.T) {
	stored := a.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	a.node = New(a.now, Config{ID: 1, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection, Seed: rapid.Uint64().Draw(t, "seed"),
		MaxAppendBytes: 8, MaxInflightAppends: 2, SnapshotThreshold: 4}, stored)
	if a.node.disabled {
		t.Fatalf("what was stored makes no sense: %v", stored.Validate())
	}
	a.pending = nil
	a.commit, a.applied = 0, stored.Snapshot.Index
}

// message draws a message that may be valid: its numbers are near those of the node.
func (a *robustnessTest) message(t *rapid.T) Message {
	msg := Message{Kind: MessageKind(rapid.IntRange(0, int(MessageTimeoutNow)+1).Draw(t, "kind")),
		From: ReplicaID(rapid.IntRange(0, 4).Draw(t, "from")), To: 1, Term: a.node.term + drawSmallUint(t, "term") - 2,
		Commit: drawSmallUint(t, "commit"), RejectHint: drawSmallUint(t, "hint"), Round: drawSmallUint(t, "round"),
		Reject: rapid.Bool().Draw(t, "reject"), Force: rapid.Bool().Draw(t, "force")}
	msg.Index = a.node.log.lastIndex() + drawSmallUint(t, "index") - 4
	msg.LogTerm = drawSmallUint(t, "log term")
	if term, known := a.node.log.term(msg.Index); known && rapid.Bool().Draw(t, "right term") {
		msg.LogTerm = term
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		msg.Entries = append(msg.Entries, a.entry(t, msg))
	}
	if rapid.Bool().Draw(t, "with snapshot") {
		msg.Snapshot = &Snapshot{Index: msg.Index + 2, Term: msg.LogTerm, Membership: a.membership(t)}
	}
	return msg
}

func (a *robustnessTest) entry(t *rapid.T, msg Message) Entry {
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
		entry.Data = EncodeMembership(a.membership(t))
	}
	return entry
}

func (a *robustnessTest) membership(t *rapid.T) (s Membership) {
	for id := ReplicaID(0); id < 5; id++ {
		if rapid.IntRange(0, 3).Draw(t, "member") > 0 {
			s.Members = append(s.Members, Member{ID: id, Voter: rapid.IntRange(0, 3).Draw(t, "voter") > 0})
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "proper") > 0 && len(s.Members) > 0 && s.Members[0].ID == 0 {
		s.Members = s.Members[1:]
	}
	return s
}

func (a *robustnessTest) persist(t *rapid.T) {
	r := a.pending[0]
	a.pending = a.pending[1:]
	a.disk.write(r)
	a.node.MarkPersisted(r)
	if r.Snapshot != nil {
		a.applied = r.Snapshot.Index
	}
	for _, entry := range r.CommittedEntries {
		if entry.Index != a.applied+1 {
			t.Fatalf("%d is applied after %d", entry.Index, a.applied)
		}
		a.applied = entry.Index
	}
	if s, is := a.node.CreateSnapshot(r.CompactIndex, nil); is {
		a.disk.compact(s)
		a.node.Compact(r.CompactIndex, nil, 0)
	}
}

func (a *robustnessTest) check(t *rapid.T) {
	l := &a.node.log
	if l.commit < a.commit {
		t.Fatalf("commit went back from %d to %d", a.commit, l.commit)
	}
	a.commit = l.commit
	if l.offset > l.snapshot.Index || l.snapshot.Index > l.commit || l.commit > l.lastIndex() || l.applied > l.commit ||
		l.writeIndex > l.lastIndex() || l.durable > l.writeIndex {
		t.Fatalf("log does not make sense: %+v", l)
	}
	for i, entry := range l.entries {
		if entry.Index != l.offset+uint64(i)+1 {
			t.Fatalf("entry %d stands at %d", entry.Index, l.offset+uint64(i)+1)
		}
	}
}

// TestArbitraryInput has a node handle messages and calls, valid or not, in any order.
func TestArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &robustnessTest{disk: simulatedDisk{stored: foundingState(1, 2, 3)}}
		if rapid.Bool().Draw(t, "fresh") {
			a.disk.stored = PersistentState{}
		}
		a.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"": a.check,
			"step": func(t *rapid.T) {
				a.node.Step(a.now, a.message(t))
			},
			"tick": func(t *rapid.T) {
				if due := a.node.NextTick(); due != Never {
					a.now = max(a.now, due)
				}
				a.node.Tick(a.now)
			},
			"grant": func(t *rapid.T) {
				for id := ReplicaID(2); id <= 4; id++ {
					a.node.Step(a.now, Message{Kind: MessagePreVoteReply, From: id, To: 1, Term: a.node.term + 1})
					a.node.Step(a.now, Message{Kind: MessageVoteReply, From: id, To: 1, Term: a.node.term})
				}
			},
			"acknowledge": func(t *rapid.T) {
				index := rapid.Uint64Range(a.node.log.offset, a.node.log.lastIndex()).Draw(t, "index")
				a.node.Step(a.now, Message{Kind: MessageAppendReply, From: ReplicaID(rapid.IntRange(2, 4).Draw(t, "from")), To: 1,
					Term: a.node.term, Index: index, Round: a.node.leaderState.round})
			},
			"propose": func(t *rapid.T) { a.node.Propose(a.now, drawData(t, "data")) },
			"read": func(t *rapid.T) {
				a.token++
				a.node.ReadIndex(a.now, a.token)
			},
			"membership": func(t *rapid.T) { a.node.ChangeMembership(a.now, a.membership(t)) },
			"transfer": func(t *rapid.T) {
				a.node.TransferLeadership(a.now, ReplicaID(rapid.IntRange(0, 5).Draw(t, "to")))
			},
			"step down": func(t *rapid.T) { a.node.StepDown(a.now) },
			"ready": func(t *rapid.T) {
				if r := a.node.Ready(); !r.Empty() {
					a.pending = append(a.pending, r)
				}
			},
			"persist": func(t *rapid.T) {
				for len(a.pending) > 0 {
					a.persist(t)
				}
			},
			"restart": func(t *rapid.T) { a.restart(t) },
		})
	})
}

// TestCorruptMessages runs clusters in which messages sometimes arrive corrupt but still decode. Replicas may then
// disagree, but none may break.
func TestCorruptMessages(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		w := newSimulation(seed)
		w.corruptsMessages = true
		w.start()
		for range 200 {
			w.run(100 * time.Millisecond)
			w.failure = ""
		}
	}
}
