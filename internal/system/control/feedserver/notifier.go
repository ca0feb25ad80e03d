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
	now   func() time.Duration // steady
	after func(time.Duration, func())

	mu      sync.Mutex
	wake    chan struct{} // closed at the next wake-up
	wokenAt time.Duration
	woken   bool // ever
	armed   bool // a wake-up is due
}

// NewNotifier returns a notifier on the steady clock given; after runs a function later.
func NewNotifier(now func() time.Duration, after func(time.Duration, func())) *Notifier {
	return &Notifier{now: now, after: after, wake: make(chan struct{})}
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
	if n.armed {
		return
	}
	since := n.now() - n.wokenAt
	if !n.woken || since >= CoalesceInterval {
		n.broadcast()
		return
	}
	n.armed = true
	n.after(CoalesceInterval-since, n.fire)
}

func (n *Notifier) fire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.armed = false
	n.broadcast()
}

func (n *Notifier) broadcast() {
	n.woken = true
	n.wokenAt = n.now()
	close(n.wake)
	n.wake = make(chan struct{})
}
