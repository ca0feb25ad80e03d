package consensus

import "testing"

func TestInstallSnapshot(t *testing.T) {
	snapshot := &Snapshot{Index: 9, Term: 2, Membership: voters(1, 2, 3), Data: []byte("state")}
	install := Message{Kind: MessageInstallSnapshot, From: 2, Term: 3, Round: 4, Snapshot: snapshot}
	t.Run("log without its entries", func(t *testing.T) {
		stored := foundingState(1, 2)
		stored.Entries = entries(1, 1, 1)
		script := newScriptedNode(t, stored)
		reply := script.onlyMessage(MessageInstallSnapshotReply, 2, script.step(install))
		script.expect("reply", []uint64{reply.Index, reply.Round}, []uint64{9, 4})
		script.expect("restored", script.restoredSnapshot.Index, 9)
		script.expect("membership", script.node.membership(), voters(1, 2, 3))
		script.step(Message{Kind: MessageAppend, From: 2, Term: 3, Index: 9, LogTerm: 2, Entries: entries(10, 3), Commit: 10, Round: 5})
		script.expect("applied", script.committedEntries, entries(10, 3))
	})
	t.Run("log with its entries", func(t *testing.T) {
		stored := foundingState(1, 2)
		stored.HardState = HardState{Term: 2}
		stored.Entries = entries(1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2)
		script := newScriptedNode(t, stored)
		script.expect("reply", script.onlyMessage(MessageInstallSnapshotReply, 2, script.step(install)).Index, 9)
		script.expect("restored", script.restoredSnapshot, (*Snapshot)(nil))
		script.expect("commit", script.node.log.commit, 9)
		script.expect("last", script.node.log.lastIndex(), 10)
	})
	t.Run("older than the log", func(t *testing.T) {
		stored := PersistentState{HardState: HardState{Term: 2}, Snapshot: Snapshot{Index: 20, Term: 2, Membership: voters(1, 2)}}
		script := newScriptedNode(t, stored)
		script.expect("reply", script.onlyMessage(MessageInstallSnapshotReply, 2, script.step(install)).Index, 20)
		script.expect("restored", script.restoredSnapshot, (*Snapshot)(nil))
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
	script.expect("compaction index", script.compactIndex, 8)
	snapshot, is := script.node.CreateSnapshot(8, []byte("state"))
	script.expect("snapshot", []any{is, snapshot.Index, snapshot.Term, snapshot.Membership}, []any{true, 8, 1, voters(1, 2, 3)})
	script.node.Compact(8, []byte("state"), 0)
	script.expect("offset", script.node.log.offset, 6)
	// Member 3 holds only the first entry, so that it gets the snapshot.
	sent := script.step(Message{Kind: MessageAppendReply, From: 3, Term: 1, Index: 7, Reject: true, RejectHint: 1, LogTerm: 1})
	install := script.onlyMessage(MessageInstallSnapshot, 3, sent)
	script.expect("snapshot", []any{install.Snapshot.Index, string(install.Snapshot.Data)}, []any{8, "state"})
	script.expect("messages while the snapshot is in flight", len(script.process()), 0)
	next := script.step(Message{Kind: MessageInstallSnapshotReply, From: 3, Term: 1, Index: 8, Round: install.Round})
	for _, msg := range next {
		script.expect("continues at", msg.Index, 8)
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
	// The appends to it were lost; it replies to the next heartbeat, at an index where all logs agree.
	heartbeat := script.onlyMessage(MessageAppend, 3, script.tickWhenDue())
	script.expect("heartbeat", heartbeat.Index, 0)
	heartbeatReply := Message{Kind: MessageAppendReply, From: 3, Term: 1, Index: 1, Round: heartbeat.Round}
	script.onlyMessage(MessageInstallSnapshot, 3, script.step(heartbeatReply))
}

// TestCreateSnapshotNeedsKnownMembership sends the log from its start to a replica that joined later.
func TestCreateSnapshotNeedsKnownMembership(t *testing.T) {
	script := newScriptedNode(t, PersistentState{})
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
