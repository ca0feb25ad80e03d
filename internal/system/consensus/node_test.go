package consensus

import "testing"

func TestInvalidPersistentState(t *testing.T) {
	for name, stored := range map[string]PersistentState{
		"terms that fall": {Snapshot: foundingState(1).Snapshot, Entries: entries(1, 2, 1)},
		"gap":             {Snapshot: foundingState(1).Snapshot, Entries: append(entries(1, 1), entries(3, 1)...)},
		"membership": {
			Snapshot: foundingState(1).Snapshot,
			Entries: []Entry{{
				Index: 1,
				Term:  1,
				Kind:  EntryMembership,
				Data:  []byte("?"),
			}},
		},
		"founders": foundingState(1, 1),
	} {
		if stored.Validate() == nil {
			t.Errorf("%s: passes", name)
		}
		script := newScriptedNode(t, stored)
		script.expect(name+": due", script.node.NextTick(), Never)
		script.expect(name+": answers", len(script.step(Message{Kind: MessageVote, From: 2, Term: 9, Index: 99, LogTerm: 8})), 0)
		script.expect(name+": to be done", script.node.Ready().Empty(), true)
	}
}

func TestEntriesBeforeSnapshotAreIgnored(t *testing.T) {
	snapshot := Snapshot{Index: 3, Term: 2, Membership: voters(1)}
	for _, test := range []struct {
		log  []Entry
		last uint64
	}{
		{entries(1, 1, 1), 3},
		{entries(2, 1, 2, 2), 4},
		{entries(2, 1, 1, 1), 3}, // another term at the snapshot
		{entries(4, 2, 2), 5},
		{entries(5, 2), 3}, // a gap
	} {
		script := newScriptedNode(t, PersistentState{HardState: HardState{Term: 2, Commit: 3}, Snapshot: snapshot, Entries: test.log})
		script.expect("last", script.node.log.lastIndex(), test.last)
	}
}
