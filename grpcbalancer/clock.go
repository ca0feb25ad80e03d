package grpcbalancer

import (
	"time"

	"cinderroad/internal/dispatcher/dispatch"
)

// Now implements dispatch.Clock: seconds since 1970, by a clock that never goes back.
func (d *Dispatcher) Now() float64 { return d.startSeconds + time.Since(d.startedAt).Seconds() }

// timer is a timer of the core; its fields are guarded by the dispatcher's lock.
type timer struct {
	dispatcher *Dispatcher
	timer      *time.Timer
	stopped    bool
}

// Stop implements dispatch.Timer; the lock is held.
func (t *timer) Stop() {
	t.stopped = true
	t.timer.Stop()
	delete(t.dispatcher.timers, t)
}

// At implements dispatch.Clock; the lock is held.
func (d *Dispatcher) At(at float64, do func()) dispatch.Timer {
	t := &timer{dispatcher: d}
	if d.closed {
		t.timer = time.NewTimer(time.Hour) // stopped at once: Stop needs a timer, and this one never fires
		t.timer.Stop()
		return t
	}
	d.timers[t] = true
	t.timer = time.AfterFunc(time.Duration((at-d.Now())*float64(time.Second)), func() {
		d.withLock(func() {
			if !t.stopped && !d.closed {
				delete(d.timers, t)
				t.stopped = true
				do()
			}
		})
	})
	return t
}
