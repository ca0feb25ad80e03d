package server

import (
	"net"
	"testing"

	"cinderroad/internal/dispatcher/handover"
)

// giveOrder gives an order as operators are told to: while the disk, or during an upgrade the other process, has not taken it in
// time, the order is sent again.
func (h *harness) giveOrder(path, body string) {
	h.t.Helper()
	h.eventually("the order is confirmed: "+path, func() bool {
		status, reason := h.operator("PUT", path, body)
		if status == 503 && (reason == errOrderUnconfirmed.Error() || reason == errOrderNotWritten.Error()) {
			return false
		}
		if status != 200 {
			h.t.Errorf("PUT %s %s: %d %q, want 200", path, body, status, reason)
		}
		return true
	})
}

// connectSuccessor connects to a process as its successor, which has not taken the clients.
func connectSuccessor(t *testing.T, o options) net.Conn {
	t.Helper()
	conn, err := net.Dial("unix", upgradePath(o))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write(handover.AppendFrame(nil, handover.Hello, []byte("{}"))); err != nil {
		t.Fatal(err)
	}
	readFrame(t, conn, handover.State)
	return conn
}

// TestOrderDuringUpgradeNeedsBothProcesses guards against an order that is answered 200 although the dispatcher's other
// process could not carry it out, or has not said so.
func TestOrderDuringUpgradeNeedsBothProcesses(t *testing.T) {
	const queryIDBytes = 8
	yes := func(conn net.Conn, query []byte) {
		conn.Write(handover.AppendFrame(nil, handover.Answer, append(query[:queryIDBytes:queryIDBytes], 1)))
	}
	no := func(conn net.Conn, query []byte) {
		conn.Write(handover.AppendFrame(nil, handover.Answer, query[:queryIDBytes:queryIDBytes]))
	}
	for _, tc := range []struct {
		name   string
		answer func(conn net.Conn, query []byte)
		want   int
	}{
		{"confirmed", yes, 200},
		{"failed", no, 500},
		{"not answered", func(net.Conn, []byte) {}, 503},
		{"ended", func(conn net.Conn, _ []byte) { conn.Close() }, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := options{console: true, tempDir: t.TempDir()}
			o.listen, o.inherit = inheritedListener(t)
			process := startHarness(t, o)
			successor := connectSuccessor(t, o)
			answered := make(chan bool)
			go func() {
				defer close(answered)
				process.callAdmin(tc.want, "PUT", "/api/evacuate", "")
			}()
			tc.answer(successor, readFrame(t, successor, handover.Order))
			<-answered
		})
	}
}

// TestOrderIsConfirmedByAllProcesses guards against an order that a process confirms before the third one has: each outcome
// needs the answers of all.
func TestOrderIsConfirmedByAllProcesses(t *testing.T) {
	const yes, no, ended = handover.AnsweredYes, handover.AnsweredNo, handover.LinkEnded
	for _, tc := range []struct {
		name    string
		results []handover.QueryResult
		want    []error // outcomes after each result
	}{
		{"all confirm", []handover.QueryResult{yes, yes}, []error{nil}},
		{"the last one fails", []handover.QueryResult{yes, no}, []error{errOrderFailed}},
		{"the first one fails", []handover.QueryResult{no, yes}, []error{errOrderFailed}},
		{"one ends", []handover.QueryResult{ended, yes}, []error{nil}},
		{"both end", []handover.QueryResult{ended, ended}, []error{nil}},
		{"one is missing", []handover.QueryResult{yes}, nil},
	} {
		var outcomes []error
		confirmation := &orderConfirmation{pending: 2, done: func(err error) { outcomes = append(outcomes, err) }}
		for _, result := range tc.results {
			confirmation.handleResult(result)
		}
		if len(outcomes) != len(tc.want) || len(outcomes) > 0 && outcomes[0] != tc.want[0] {
			t.Errorf("%s: outcomes %v, want %v", tc.name, outcomes, tc.want)
		}
	}
}
