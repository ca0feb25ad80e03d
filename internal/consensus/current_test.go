package consensus

import "testing"

// A replica that hears its leader but lacks what the leader has committed is not current: whoever reads from it must be
// able to tell.
func TestReplicaThatCatchesUpIsNotCurrent(t *testing.T) {
	x := newScript(t, founded(1, 2, 3))
	x.step(Message{Kind: Append, From: 2, Term: 1, Entries: entries(1, 1), Commit: 1, Round: 1})
	current := x.now
	x.want("current with all that is committed", x.m.Status().CurrentAt, current)

	x.now += testHeartbeat
	x.step(Message{Kind: Append, From: 2, Term: 1, Index: 1, LogTerm: 1, Commit: 3, Round: 2})
	x.want("heard", x.m.Status().LeaderHeard, x.now)
	x.want("not current while entries are missing", x.m.Status().CurrentAt, current)

	x.now += testHeartbeat
	x.step(Message{Kind: Append, From: 2, Term: 1, Index: 9, LogTerm: 1, Commit: 3, Round: 3})
	x.want("not current after a rejected append", x.m.Status().CurrentAt, current)

	x.now += testHeartbeat
	x.step(Message{Kind: Append, From: 2, Term: 1, Index: 1, LogTerm: 1, Entries: entries(2, 1, 1), Commit: 3, Round: 4})
	x.want("current again", x.m.Status().CurrentAt, x.now)
}
