package feedserver

import (
	"sync"
	"time"
)

// CoalesceInterval is the shortest time between two wake-ups; changes within it are sent together.
const CoalesceInterval = 10 * time.Millisecond

// Notifier wakes all waiting followers after changes. The first change wakes them at once; further ones within
// CoalesceInterval wake them together at its end. It is safe for concurrent use.
type Notifier struct {
	now       func() time.Duration // monotonic clock
	afterFunc func(time.Duration, func())

	mutex      sync.Mutex
	wake       chan struct{} // closed at the next wake-up
	lastWakeup time.Duration // by now; valid if everWoken
	everWoken  bool
	timerArmed bool // a wake-up is scheduled
}

// NewNotifier returns a Notifier. now is a monotonic clock; after calls a function later, from another goroutine.
func NewNotifier(now func() time.Duration, after func(time.Duration, func())) *Notifier {
	return &Notifier{now: now, afterFunc: after, wake: make(chan struct{})}
}

// Wakeup returns a channel that is closed at the next wake-up. Callers take it before they read the state, or they may
// miss a change.
func (n *Notifier) Wakeup() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.wake
}

// Notify announces a change. It never blocks.
func (n *Notifier) Notify() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.timerArmed {
		return
	}
	since := n.now() - n.lastWakeup
	if !n.everWoken || since >= CoalesceInterval {
		n.broadcast()
		return
	}
	n.timerArmed = true
	n.afterFunc(CoalesceInterval-since, n.fire)
}

// fire is the timer's callback.
func (n *Notifier) fire() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.timerArmed = false
	n.broadcast()
}

// broadcast wakes all waiting followers. The mutex is held.
func (n *Notifier) broadcast() {
	n.everWoken = true
	n.lastWakeup = n.now()
	close(n.wake)
	n.wake = make(chan struct{})
}
