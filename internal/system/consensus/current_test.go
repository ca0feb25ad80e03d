package consensus

import (
	"testing"
	"time"
)

// A replica that hears its leader but lacks what the leader has committed is not current: whoever reads from it must be
// able to tell.
func TestReplicaThatCatchesUpIsNotCurrent(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Entries: entries(1, 1), Commit: 1, Round: 1})
	current := x.now
	x.want("current with all that is committed", x.m.Status().CaughtUpAt, current)

	x.now += testHeartbeat
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Index: 1, LogTerm: 1, Commit: 3, Round: 2})
	x.want("heard", x.m.Status().LastLeaderContact, x.now)
	x.want("not current while entries are missing", x.m.Status().CaughtUpAt, current)

	x.now += testHeartbeat
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Index: 9, LogTerm: 1, Commit: 3, Round: 3})
	x.want("not current after a rejected append", x.m.Status().CaughtUpAt, current)

	x.now += testHeartbeat
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Index: 1, LogTerm: 1, Entries: entries(2, 1, 1), Commit: 3, Round: 4})
	x.want("current again", x.m.Status().CaughtUpAt, x.now)
}

// TestLeaderIsCurrentOnceItHasCommittedInItsTerm: before, entries may be committed that it does not know to be.
func TestLeaderIsCurrentOnceItHasCommittedInItsTerm(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	first := x.lead()[0]
	x.now += time.Millisecond
	x.step(Message{Kind: MessageAppendReply, From: 2, Term: first.Term, Reject: true, Index: first.Index, Round: first.Round})
	x.want("not current before", x.m.Status().CaughtUpAt, time.Duration(0))
	x.step(ack(first))
	current := x.m.Status().CaughtUpAt
	x.want("current since a confirmed round", current, x.m.Status().LastLeaderContact)
	if current == 0 {
		t.Error("not current although an entry of the term is committed")
	}
	x.now += time.Second
	x.step(Message{Kind: MessageAppend, From: 3, Term: first.Term + 1, Commit: 9, Round: 1})
	x.want("what it knew while it led counts on", x.m.Status().CaughtUpAt, current)
}

// TestFollowerOfALeaderThatHasCommittedNothingIsNotCurrent: such a leader does not know how far the log is committed.
func TestFollowerOfALeaderThatHasCommittedNothingIsNotCurrent(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.step(Message{Kind: MessageAppend, From: 2, Term: 2, Entries: entries(1, 1), Commit: 1, Round: 1})
	x.want("not current by an entry of an earlier term", x.m.Status().CaughtUpAt, time.Duration(0))
	x.step(Message{Kind: MessageAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Entries: entries(2, 2), Commit: 2, Round: 2})
	x.want("current by one of its term", x.m.Status().CaughtUpAt, x.now)
}

// TestWhatWaitedForAProcessThatStoodStillIsOld: messages wait in the socket meanwhile.
func TestWhatWaitedForAProcessThatStoodStillIsOld(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	beat := Message{Kind: MessageAppend, From: 2, Term: 1, Index: 1, LogTerm: 1, Commit: 1, Round: 2}
	x.step(Message{Kind: MessageAppend, From: 2, Term: 1, Entries: entries(1, 1), Commit: 1, Round: 1})
	current := x.now
	x.now += 20 * time.Second
	x.step(beat)
	x.want("not current by what waited", x.m.Status().CaughtUpAt, current)
	x.now += staleInputHeartbeats * testHeartbeat
	x.step(beat)
	x.want("current by what came after", x.m.Status().CaughtUpAt, x.now)
}
