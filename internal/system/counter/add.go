package counter

import "time"

// AddID identifies a call of Add that waits.
type AddID uint64

// waiter is a call of Add that is not acknowledged yet.
type waiter struct {
	id    AddID
	index operationIndex
	since time.Duration
}

// Add accepts an operation, or finds that it is known. Ready.Acknowledged returns the AddID once it is sufficiently replicated.
// An operation that a smaller one of the same ID has replaced meanwhile is never acknowledged. The errors are ErrConflict, ErrFull,
// ErrNotReady and *InvalidOperationError; after an error nothing was done.
func (n *Node) Add(added Operation, now time.Duration) (AddID, error) {
	n.advanceClock(now)
	if err := added.validate(); err != nil {
		return 0, err
	}
	index, known := n.operations.find(&added)
	switch {
	case known && (index == 0 || n.outvoted(index)):
		return 0, ErrConflict
	case !known:
		if err := n.admit(); err != nil {
			return 0, err
		}
		index = n.enqueue(n.own, &added)
	}
	n.lastAdd++
	n.waiters = append(n.waiters, waiter{id: n.lastAdd, index: index, since: n.now})
	return n.lastAdd, nil
}

// admit returns why no new operation can be accepted, or nil.
func (n *Node) admit() error {
	stalled := len(n.queue) > 0 && n.now-n.queue[0].queuedAt > diskStallLimit
	switch {
	case stalled, n.now < n.graceEnd && !n.heardFromEnough():
		return ErrNotReady
	case n.logs.entries >= n.options.MaxOperations, n.own.length() >= maxSequence:
		return ErrFull
	}
	return nil
}

// outvoted reports whether another operation of the same ID counts.
func (n *Node) outvoted(index operationIndex) bool {
	counted := n.operations.counted(n.operations.at(index).id)
	return counted != 0 && counted != index && !n.operations.less(index, counted)
}

// Forget ends the wait of a call of Add. The operation stays.
func (n *Node) Forget(id AddID) {
	for i := range n.waiters {
		if n.waiters[i].id == id {
			n.waiters = append(n.waiters[:i], n.waiters[i+1:]...)
			return
		}
	}
}
