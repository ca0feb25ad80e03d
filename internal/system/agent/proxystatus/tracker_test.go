package proxystatus

import (
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

func readyReport() *feed.ProxyReport { return &feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"} }

func expectState(t *testing.T, tracker *Tracker, want State) {
	t.Helper()
	if tracker.State() != want {
		t.Fatalf("it is %v, want %v", tracker.State(), want)
	}
}

func TestServingExpiresWithoutReports(t *testing.T) {
	var tracker Tracker
	expectState(t, &tracker, Starting)
	if _, due := tracker.NextTick(0); due || tracker.Reported() {
		t.Error("a report is missed that never came")
	}
	tracker.HandleReport(time.Second, readyReport())
	expectState(t, &tracker, Serving)
	if tracker.Front() != "10.0.0.1:80" || !tracker.Reported() {
		t.Error("the report is not kept")
	}
	wait, due := tracker.NextTick(time.Second)
	if !due || wait != ReadyTimeout {
		t.Errorf("it looks again after %v (%v), want %v", wait, due, ReadyTimeout)
	}
	tracker.Tick(time.Second + ReadyTimeout - 1)
	expectState(t, &tracker, Serving)
	tracker.Tick(time.Second + ReadyTimeout)
	expectState(t, &tracker, Starting)
	tracker.HandleReport(9*time.Second, readyReport())
	expectState(t, &tracker, Serving)
	tracker.HandleReport(9*time.Second, &feed.ProxyReport{})
	expectState(t, &tracker, Starting)
}

func TestStoppingReport(t *testing.T) {
	var tracker Tracker
	tracker.HandleReport(0, readyReport())
	tracker.HandleReport(0, &feed.ProxyReport{Ready: true, Stopping: true})
	expectState(t, &tracker, Stopping)
	tracker.Tick(time.Hour)
	expectState(t, &tracker, Stopping)
	tracker.HandleDisconnect()
	expectState(t, &tracker, Starting)
	tracker.HandleReport(0, readyReport())
	expectState(t, &tracker, Serving)
}

func TestDisconnectEndsServing(t *testing.T) {
	var tracker Tracker
	tracker.HandleReport(0, readyReport())
	tracker.HandleDisconnect()
	expectState(t, &tracker, Starting)
}

func TestEndedIsFinal(t *testing.T) {
	var tracker Tracker
	tracker.HandleReport(0, readyReport())
	tracker.MarkEnded()
	tracker.HandleReport(0, readyReport())
	tracker.HandleDisconnect()
	tracker.Tick(time.Hour)
	expectState(t, &tracker, Ended)
}

func TestSnapshotIsReturnedToRestartedProxy(t *testing.T) {
	var tracker Tracker
	if reply := tracker.HandleReport(0, &feed.ProxyReport{}); reply.Learnt != nil {
		t.Error("something was learnt before anything was")
	}
	report := readyReport()
	report.Learnt = []byte("one")
	if reply := tracker.HandleReport(0, report); reply.Learnt != nil {
		t.Error("a proxy gets back the snapshot that it just reported")
	}
	if reply := tracker.HandleReport(0, readyReport()); reply.Learnt != nil {
		t.Error("a proxy that serves gets a snapshot")
	}
	if reply := tracker.HandleReport(0, &feed.ProxyReport{}); string(reply.Learnt) != "one" {
		t.Errorf("the next incarnation gets %q, want one", reply.Learnt)
	}
}
