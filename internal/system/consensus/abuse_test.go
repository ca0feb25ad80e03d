package consensus

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// abused is a machine that is told whatever comes to mind, and the disk that belongs to it.
type abused struct {
	m       *Node
	now     time.Duration
	disk    disk
	pending []Ready
	commit  uint64
	applied uint64
	token   uint64
}

func smallNumber(t *rapid.T, name string) uint64 {
	return rapid.OneOf(rapid.Uint64Range(0, 6), rapid.Uint64Range(0, 6), rapid.Uint64()).Draw(t, name)
}

func (a *abused) boot(t *rapid.T) {
	stored := a.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	a.m = New(a.now, Config{ID: 1, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection, Seed: rapid.Uint64().Draw(t, "seed"),
		MaxAppendBytes: 8, MaxInflightAppends: 2, SnapshotThreshold: 4}, stored)
	if a.m.disabled {
		t.Fatalf("what was stored makes no sense: %v", stored.Validate())
	}
	a.pending = nil
	a.commit, a.applied = 0, stored.Snapshot.Index
}

// message is one that may make sense: its numbers are near those of the machine.
func (a *abused) message(t *rapid.T) Message {
	msg := Message{Kind: MessageKind(rapid.IntRange(0, int(MessageTimeoutNow)+1).Draw(t, "kind")),
		From: ReplicaID(rapid.IntRange(0, 4).Draw(t, "from")), To: 1, Term: a.m.term + smallNumber(t, "term") - 2,
		Commit: smallNumber(t, "commit"), RejectHint: smallNumber(t, "hint"), Round: smallNumber(t, "round"),
		Reject: rapid.Bool().Draw(t, "reject"), Force: rapid.Bool().Draw(t, "force")}
	msg.Index = a.m.log.lastIndex() + smallNumber(t, "index") - 4
	msg.LogTerm = smallNumber(t, "log term")
	if term, known := a.m.log.term(msg.Index); known && rapid.Bool().Draw(t, "right term") {
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

func (a *abused) entry(t *rapid.T, msg Message) Entry {
	entry := Entry{Index: msg.Index + uint64(len(msg.Entries)) + 1, Term: msg.Term, Data: drawData(t, "data")}
	switch rapid.IntRange(0, 5).Draw(t, "entry") {
	case 0:
		entry.Index = smallNumber(t, "entry index")
	case 1:
		entry.Term = smallNumber(t, "entry term")
	case 2:
		entry.Kind = EntryMembership
	case 3:
		entry.Kind = EntryMembership
		entry.Data = EncodeMembership(a.membership(t))
	}
	return entry
}

func (a *abused) membership(t *rapid.T) (s Membership) {
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

func (a *abused) persist(t *rapid.T) {
	r := a.pending[0]
	a.pending = a.pending[1:]
	a.disk.write(r)
	a.m.MarkPersisted(r)
	if r.Snapshot != nil {
		a.applied = r.Snapshot.Index
	}
	for _, entry := range r.CommittedEntries {
		if entry.Index != a.applied+1 {
			t.Fatalf("%d is applied after %d", entry.Index, a.applied)
		}
		a.applied = entry.Index
	}
	if s, is := a.m.CreateSnapshot(r.CompactIndex, nil); is {
		a.disk.compact(s)
		a.m.Compact(r.CompactIndex, nil, 0)
	}
}

func (a *abused) check(t *rapid.T) {
	l := &a.m.log
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

// TestWhateverComesNothingBreaks has a machine take messages and calls that need not make sense, in any order.
func TestWhateverComesNothingBreaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &abused{disk: disk{stored: founded(1, 2, 3)}}
		if rapid.Bool().Draw(t, "fresh") {
			a.disk.stored = PersistentState{}
		}
		a.boot(t)
		t.Repeat(map[string]func(*rapid.T){
			"": a.check,
			"step": func(t *rapid.T) {
				a.m.Step(a.now, a.message(t))
			},
			"tick": func(t *rapid.T) {
				if due := a.m.NextTick(); due != Never {
					a.now = max(a.now, due)
				}
				a.m.Tick(a.now)
			},
			"grant": func(t *rapid.T) {
				for id := ReplicaID(2); id <= 4; id++ {
					a.m.Step(a.now, Message{Kind: MessagePreVoteReply, From: id, To: 1, Term: a.m.term + 1})
					a.m.Step(a.now, Message{Kind: MessageVoteReply, From: id, To: 1, Term: a.m.term})
				}
			},
			"acknowledge": func(t *rapid.T) {
				index := rapid.Uint64Range(a.m.log.offset, a.m.log.lastIndex()).Draw(t, "index")
				a.m.Step(a.now, Message{Kind: MessageAppendReply, From: ReplicaID(rapid.IntRange(2, 4).Draw(t, "from")), To: 1,
					Term: a.m.term, Index: index, Round: a.m.leaderState.round})
			},
			"propose": func(t *rapid.T) { a.m.Propose(a.now, drawData(t, "data")) },
			"read": func(t *rapid.T) {
				a.token++
				a.m.ReadIndex(a.now, a.token)
			},
			"membership": func(t *rapid.T) { a.m.ChangeMembership(a.now, a.membership(t)) },
			"transfer": func(t *rapid.T) {
				a.m.TransferLeadership(a.now, ReplicaID(rapid.IntRange(0, 5).Draw(t, "to")))
			},
			"step down": func(t *rapid.T) { a.m.StepDown(a.now) },
			"ready": func(t *rapid.T) {
				if r := a.m.Ready(); !r.Empty() {
					a.pending = append(a.pending, r)
				}
			},
			"persist": func(t *rapid.T) {
				for len(a.pending) > 0 {
					a.persist(t)
				}
			},
			"restart": func(t *rapid.T) { a.boot(t) },
		})
	})
}

// TestMutatedMessages plays clusters in which now and then a message arrives spoilt but still decodes. Nothing is
// promised of what they agree on then, but no replica may break.
func TestMutatedMessages(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		w := newWorld(seed)
		w.mutate = true
		w.start()
		for range 200 {
			w.run(100 * time.Millisecond)
			w.failed = ""
		}
	}
}
