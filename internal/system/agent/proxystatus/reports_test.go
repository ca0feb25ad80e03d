package proxystatus

import (
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

func ready() *feed.ProxyReport { return &feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"} }

func expect(t *testing.T, m *Machine, want State) {
	t.Helper()
	if m.State() != want {
		t.Fatalf("it is %v, want %v", m.State(), want)
	}
}

func TestServesOnlyWhileReportsCome(t *testing.T) {
	var m Machine
	expect(t, &m, Starting)
	if _, due := m.Next(0); due || m.Reported() {
		t.Error("a report is missed that never came")
	}
	m.Report(time.Second, ready())
	expect(t, &m, Serving)
	if m.Front() != "10.0.0.1:80" || !m.Reported() {
		t.Error("the report is not kept")
	}
	wait, due := m.Next(time.Second)
	if !due || wait != ReadyFor {
		t.Errorf("it looks again after %v (%v), want %v", wait, due, ReadyFor)
	}
	m.Tick(time.Second + ReadyFor - 1)
	expect(t, &m, Serving)
	m.Tick(time.Second + ReadyFor)
	expect(t, &m, Starting)
	m.Report(9*time.Second, ready())
	expect(t, &m, Serving)
	m.Report(9*time.Second, &feed.ProxyReport{})
	expect(t, &m, Starting)
}

func TestStopsAtOnce(t *testing.T) {
	var m Machine
	m.Report(0, ready())
	m.Report(0, &feed.ProxyReport{Ready: true, Stopping: true})
	expect(t, &m, Stopping)
	m.Tick(time.Hour)
	expect(t, &m, Stopping)
	m.Gone()
	expect(t, &m, Starting)
	m.Report(0, ready())
	expect(t, &m, Serving)
}

func TestGoneIsNotServing(t *testing.T) {
	var m Machine
	m.Report(0, ready())
	m.Gone()
	expect(t, &m, Starting)
}

func TestEndStays(t *testing.T) {
	var m Machine
	m.Report(0, ready())
	m.End()
	m.Report(0, ready())
	m.Gone()
	m.Tick(time.Hour)
	expect(t, &m, Ended)
}

func TestLearntGoesToTheNextLife(t *testing.T) {
	var m Machine
	if reply := m.Report(0, &feed.ProxyReport{}); reply.Learnt != nil {
		t.Error("something was learnt before anything was")
	}
	report := ready()
	report.Learnt = []byte("one")
	if reply := m.Report(0, report); reply.Learnt != nil {
		t.Error("a proxy is told what it said itself")
	}
	if reply := m.Report(0, ready()); reply.Learnt != nil {
		t.Error("a proxy that serves is told what it learnt")
	}
	if reply := m.Report(0, &feed.ProxyReport{}); string(reply.Learnt) != "one" {
		t.Errorf("the next life is told %q, want one", reply.Learnt)
	}
}
