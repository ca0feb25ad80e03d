package feedserver

import (
	"sync"
	"time"
)

// CoalesceInterval is the shortest time between two wake-ups of all followers: what changes within it travels together.
const CoalesceInterval = 10 * time.Millisecond

// Notifier wakes followers after changes. The first change wakes at once, further ones within CoalesceInterval wake together
// at its end.
type Notifier struct {
	now       func() time.Duration // steady
	afterFunc func(time.Duration, func())

	mu         sync.Mutex
	wake       chan struct{} // closed at the next wake-up
	lastWakeup time.Duration
	everWoken  bool // ever
	timerArmed bool // a wake-up is due
}

// NewNotifier returns a notifier on the steady clock given; after runs a function later.
func NewNotifier(now func() time.Duration, after func(time.Duration, func())) *Notifier {
	return &Notifier{now: now, afterFunc: after, wake: make(chan struct{})}
}

// Wakeup returns a channel that is closed at the next wake-up. Take it before looking at the state.
func (n *Notifier) Wakeup() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wake
}

// Notify says that there is something new. It never blocks.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
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

func (n *Notifier) fire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timerArmed = false
	n.broadcast()
}

func (n *Notifier) broadcast() {
	n.everWoken = true
	n.lastWakeup = n.now()
	close(n.wake)
	n.wake = make(chan struct{})
}
