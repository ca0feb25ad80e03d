package runnersync

import (
	"errors"
	"testing"
	"time"
)

func TestStatus(t *testing.T) {
	cluster := newFakeCluster()
	if got := cluster.syncer.Status(); got != (Status{}) {
		t.Fatalf("before the first step: %+v", got)
	}
	cluster.step()
	cluster.now += 300 * time.Millisecond
	want := Status{Holder: true, ListReceived: true, ListAge: 300 * time.Millisecond, CallCount: 1}
	if got := cluster.syncer.Status(); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	cluster.listError = errors.New("no response")
	cluster.step()
	cluster.now += time.Second
	want = Status{Holder: true, ListReceived: true, ListAge: 1300 * time.Millisecond, CallCount: 2}
	if got := cluster.syncer.Status(); got != want {
		t.Fatalf("with a platform that does not respond: got %+v, want %+v", got, want)
	}
	cluster.leads = false
	cluster.step()
	if got := cluster.syncer.Status(); got.Holder {
		t.Fatalf("without the lease: %+v", got)
	}
	cluster.leads = true
	cluster.step()
	if got := cluster.syncer.Status(); !got.Holder || got.ListReceived {
		t.Fatalf("with the lease again and no response yet: %+v", got)
	}
}
