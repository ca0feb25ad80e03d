package feedserver

import (
	"testing"
	"time"
)

func TestWakeupsAreCoalesced(t *testing.T) {
	c := &fakeClock{time: time.Hour}
	n := NewNotifier(c.now, c.after)
	woken := func(wake <-chan struct{}) bool {
		select {
		case <-wake:
			return true
		default:
			return false
		}
	}
	wake := n.Wakeup()
	n.Notify()
	if !woken(wake) {
		t.Error("the first change does not wake at once")
	}
	wake = n.Wakeup()
	for range 9 {
		c.advance(CoalesceInterval / 10)
		n.Notify()
	}
	if woken(wake) {
		t.Error("a burst wakes too often")
	}
	c.advance(CoalesceInterval / 10)
	if !woken(wake) {
		t.Error("changes within a burst do not wake at its end")
	}
	wake = n.Wakeup()
	c.advance(CoalesceInterval)
	if woken(wake) {
		t.Error("woken without a change")
	}
	n.Notify()
	if !woken(wake) {
		t.Error("a change after a burst does not wake at once")
	}
}
