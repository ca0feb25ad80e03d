package runnersync

import (
	"errors"
	"testing"
	"time"
)

func TestStatus(t *testing.T) {
	c := newFakeCluster()
	if got := c.syncer.Status(); got != (Status{}) {
		t.Fatalf("before the first step: %+v", got)
	}
	c.step()
	c.now += 300 * time.Millisecond
	want := Status{Holder: true, ListReceived: true, ListAge: 300 * time.Millisecond, CallCount: 1}
	if got := c.syncer.Status(); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	c.listError = errors.New("no response")
	c.step()
	c.now += time.Second
	want = Status{Holder: true, ListReceived: true, ListAge: 1300 * time.Millisecond, CallCount: 2}
	if got := c.syncer.Status(); got != want {
		t.Fatalf("with a platform that does not respond: got %+v, want %+v", got, want)
	}
	c.leads = false
	c.step()
	if got := c.syncer.Status(); got.Holder {
		t.Fatalf("without the lease: %+v", got)
	}
	c.leads = true
	c.step()
	if got := c.syncer.Status(); !got.Holder || got.ListReceived {
		t.Fatalf("with the lease again and no response yet: %+v", got)
	}
}
