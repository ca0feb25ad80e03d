package consensus

import "testing"

func TestAppend(t *testing.T) {
	for _, test := range []struct {
		name           string
		log            []uint64 // its terms
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
		{"heartbeat before the end", []uint64{1, 2, 2}, 0, 2, 2, nil, 9, false, 2, []uint64{1, 2, 2}, 2},
		{"at the end", []uint64{1, 2}, 1, 2, 2, entries(3, 4), 3, false, 3, []uint64{1, 2, 4}, 3},
		{"known entries", []uint64{1, 2, 2}, 0, 1, 1, entries(2, 2), 2, false, 2, []uint64{1, 2, 2}, 2},
		{"conflict", []uint64{1, 2, 2}, 1, 1, 1, entries(2, 4), 1, false, 2, []uint64{1, 4}, 1},
		{"conflict later on", []uint64{1, 2, 2, 2}, 1, 1, 1, entries(2, 2, 4), 1, false, 3, []uint64{1, 2, 4}, 1},
		{"gap", []uint64{1, 2}, 0, 5, 4, entries(6, 4), 6, true, 2, []uint64{1, 2}, 0},
		{"other term", []uint64{1, 3, 3, 3}, 1, 4, 2, entries(5, 4), 5, true, 1, []uint64{1, 3, 3, 3}, 1},
		{"below commit", []uint64{1, 2, 2}, 2, 0, 0, entries(1, 1), 1, false, 2, []uint64{1, 2, 2}, 2},
		{"over commit", []uint64{1, 2, 2}, 2, 0, 0, entries(1, 1, 2, 4), 3, false, 3, []uint64{1, 2, 4}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			stored := foundingState(1, 2, 3)
			stored.HardState = HardState{Term: 4, Commit: test.commit}
			stored.Entries = entries(1, test.log...)
			script := newScriptedNode(t, stored)
			got := script.step(Message{
				Kind:    MessageAppend,
				From:    2,
				Term:    4,
				Index:   test.index,
				LogTerm: test.logTerm,
				Entries: test.entries,
				Commit:  test.leaderCommit,
				Round:   77,
			})
			reply := script.onlyMessage(MessageAppendReply, 2, got)
			script.expect("rejected", reply.Reject, test.reject)
			script.expect("round", reply.Round, 77)
			if test.reject {
				script.expect("hint", reply.RejectHint, test.reply)
			} else {
				script.expect("index", reply.Index, test.reply)
			}
			script.expect("log", termsOf(script.log), test.after)
			script.expect("commit", script.node.log.commit, test.committed)
		})
	}
}

func TestStaleLeaderLearnsNewerTerm(t *testing.T) {
	stored := foundingState(1, 2, 3)
	stored.HardState = HardState{Term: 4}
	script := newScriptedNode(t, stored)
	reply := script.onlyMessage(MessageAppendReply, 2, script.step(Message{Kind: MessageAppend, From: 2, Term: 3, Round: 1}))
	script.expect("term", reply.Term, 4)
	script.expect("rejected", reply.Reject, true)
	script.expect("leader", script.node.leaderID, 0)
}

func TestOwnEntriesCountOncePersisted(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2, 3))
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
		script := newScriptedNode(t, foundingState(1, 2, 3))
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
	script := newScriptedNode(t, stored)
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
	script := newScriptedNode(t, stored)
	probe := script.onlyMessage(MessageAppend, 2, script.becomeLeader())
	script.expect("first probe", probe.Index, 9)
	// The peer's log has terms 1 1 1 4 4 4 4: the hint skips all of term 4.
	next := script.step(Message{Kind: MessageAppendReply, From: 2, Term: 7, Index: 9, Reject: true, RejectHint: 7, LogTerm: 4})
	second := script.onlyMessage(MessageAppend, 2, next)
	script.expect("second probe", second.Index, 3)
	script.expect("entries", termsOf(second.Entries), []uint64{5, 5, 5, 6, 6, 6, 7})
	script.step(acknowledge(second))
	script.expect("commit", script.node.log.commit, 10)
}

func TestMaxInflightAppends(t *testing.T) {
	script := newScriptedNode(t, foundingState(1, 2))
	script.step(acknowledge(script.onlyMessage(MessageAppend, 2, script.becomeLeader())))
	for range 5 {
		if _, _, err := script.node.Propose(script.now, make([]byte, 40)); err != nil { // one per message
			t.Fatal(err)
		}
	}
	sent := script.process()
	script.expect("sent", len(sent), 2)
	script.expect("sent after a reply", len(messagesWithEntries(script.step(acknowledge(sent[0])))), 1)
	// The others are lost, which the next heartbeat reveals.
	heartbeat := script.onlyMessage(MessageAppend, 2, script.tickWhenDue())
	script.expect("heartbeat", []uint64{heartbeat.Index, uint64(len(heartbeat.Entries))}, []uint64{4, 0})
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
	script := newScriptedNode(t, foundingState(1, 2, 3))
	for _, msg := range script.becomeLeader() {
		script.step(acknowledge(msg))
	}
	start := script.now
	sent := 0
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
