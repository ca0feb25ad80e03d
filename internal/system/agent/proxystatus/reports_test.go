package proxystatus

import (
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

func readyReport() *feed.ProxyReport { return &feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"} }

func expectState(t *testing.T, m *Tracker, want State) {
	t.Helper()
	if m.State() != want {
		t.Fatalf("it is %v, want %v", m.State(), want)
	}
}

func TestServingExpiresWithoutReports(t *testing.T) {
	var m Tracker
	expectState(t, &m, Starting)
	if _, due := m.NextTick(0); due || m.Reported() {
		t.Error("a report is missed that never came")
	}
	m.HandleReport(time.Second, readyReport())
	expectState(t, &m, Serving)
	if m.Front() != "10.0.0.1:80" || !m.Reported() {
		t.Error("the report is not kept")
	}
	wait, due := m.NextTick(time.Second)
	if !due || wait != ReadyTimeout {
		t.Errorf("it looks again after %v (%v), want %v", wait, due, ReadyTimeout)
	}
	m.Tick(time.Second + ReadyTimeout - 1)
	expectState(t, &m, Serving)
	m.Tick(time.Second + ReadyTimeout)
	expectState(t, &m, Starting)
	m.HandleReport(9*time.Second, readyReport())
	expectState(t, &m, Serving)
	m.HandleReport(9*time.Second, &feed.ProxyReport{})
	expectState(t, &m, Starting)
}

func TestStoppingReport(t *testing.T) {
	var m Tracker
	m.HandleReport(0, readyReport())
	m.HandleReport(0, &feed.ProxyReport{Ready: true, Stopping: true})
	expectState(t, &m, Stopping)
	m.Tick(time.Hour)
	expectState(t, &m, Stopping)
	m.HandleDisconnect()
	expectState(t, &m, Starting)
	m.HandleReport(0, readyReport())
	expectState(t, &m, Serving)
}

func TestDisconnectEndsServing(t *testing.T) {
	var m Tracker
	m.HandleReport(0, readyReport())
	m.HandleDisconnect()
	expectState(t, &m, Starting)
}

func TestEndedIsFinal(t *testing.T) {
	var m Tracker
	m.HandleReport(0, readyReport())
	m.MarkEnded()
	m.HandleReport(0, readyReport())
	m.HandleDisconnect()
	m.Tick(time.Hour)
	expectState(t, &m, Ended)
}

func TestSnapshotIsReturnedToRestartedProxy(t *testing.T) {
	var m Tracker
	if reply := m.HandleReport(0, &feed.ProxyReport{}); reply.Learnt != nil {
		t.Error("something was learnt before anything was")
	}
	report := readyReport()
	report.Learnt = []byte("one")
	if reply := m.HandleReport(0, report); reply.Learnt != nil {
		t.Error("a proxy is told what it said itself")
	}
	if reply := m.HandleReport(0, readyReport()); reply.Learnt != nil {
		t.Error("a proxy that serves is told what it learnt")
	}
	if reply := m.HandleReport(0, &feed.ProxyReport{}); string(reply.Learnt) != "one" {
		t.Errorf("the next life is told %q, want one", reply.Learnt)
	}
}
