package runnersync

import (
	"errors"
	"testing"
	"time"
)

func TestStatus(t *testing.T) {
	w := newFakeCluster()
	if got := w.syncer.Status(); got != (Status{}) {
		t.Fatalf("before the first step: %+v", got)
	}
	w.step()
	w.now += 300 * time.Millisecond
	want := Status{Holder: true, ListReceived: true, ListAge: 300 * time.Millisecond, CallCount: 1}
	if got := w.syncer.Status(); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	w.listError = errors.New("no answer")
	w.step()
	w.now += time.Second
	want = Status{Holder: true, ListReceived: true, ListAge: 1300 * time.Millisecond, CallCount: 2}
	if got := w.syncer.Status(); got != want {
		t.Fatalf("with a silent platform: got %+v, want %+v", got, want)
	}
	w.leads = false
	w.step()
	if got := w.syncer.Status(); got.Holder {
		t.Fatalf("without the lease: %+v", got)
	}
	w.leads = true
	w.step()
	if got := w.syncer.Status(); !got.Holder || got.ListReceived {
		t.Fatalf("with the lease again and no answer yet: %+v", got)
	}
}
