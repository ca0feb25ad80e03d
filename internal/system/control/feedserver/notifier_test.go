package feedserver

import (
	"testing"
	"time"
)

func TestWakeupsAreCoalesced(t *testing.T) {
	clock := &fakeClock{time: time.Hour}
	notifier := NewNotifier(clock.now, clock.after)
	woken := func(wake <-chan struct{}) bool {
		select {
		case <-wake:
			return true
		default:
			return false
		}
	}
	wake := notifier.Wakeup()
	notifier.Notify()
	if !woken(wake) {
		t.Error("the first change does not wake at once")
	}
	wake = notifier.Wakeup()
	for range 9 {
		clock.advance(CoalesceInterval / 10)
		notifier.Notify()
	}
	if woken(wake) {
		t.Error("a burst wakes too often")
	}
	clock.advance(CoalesceInterval / 10)
	if !woken(wake) {
		t.Error("changes within a burst do not wake at its end")
	}
	wake = notifier.Wakeup()
	clock.advance(CoalesceInterval)
	if woken(wake) {
		t.Error("woken without a change")
	}
	notifier.Notify()
	if !woken(wake) {
		t.Error("a change after a burst does not wake at once")
	}
}
