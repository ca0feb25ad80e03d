package runnersync

import (
	"errors"
	"testing"
	"time"
)

func TestStatusTellsWhoReadsTheListAndHowOldItIs(t *testing.T) {
	w := newWorld()
	if got := w.duty.Status(); got != (Status{}) {
		t.Fatalf("before the first step: %+v", got)
	}
	w.step()
	w.now += 300 * time.Millisecond
	want := Status{Holder: true, Answered: true, ListAge: 300 * time.Millisecond, Calls: 1}
	if got := w.duty.Status(); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	w.listError = errors.New("no answer")
	w.step()
	w.now += time.Second
	want = Status{Holder: true, Answered: true, ListAge: 1300 * time.Millisecond, Calls: 2}
	if got := w.duty.Status(); got != want {
		t.Fatalf("with a silent platform: got %+v, want %+v", got, want)
	}
	w.leads = false
	w.step()
	if got := w.duty.Status(); got.Holder {
		t.Fatalf("without the lease: %+v", got)
	}
	w.leads = true
	w.step()
	if got := w.duty.Status(); !got.Holder || got.Answered {
		t.Fatalf("with the lease again and no answer yet: %+v", got)
	}
}
