package counter

import "time"

// Ready is work for the driver; each output is handed out once.
type Ready struct {
	// Entries are to be made durable in this order, in one transaction; HandlePersisted tells that they are.
	Entries []Entry
	// NewOrigin, unless 0, is the origin of this disk from now on, and to be stored as such with Entries: another replica
	// holds more of the log of the one before than this disk, which went back in time.
	NewOrigin    Origin
	Exchanges    []Exchange // to be sent; HandleReply or HandleFailure follows for each, exactly once
	Replies      []Reply
	Acknowledged []AddID       // calls of Add whose operations are sufficiently replicated
	NextTick     time.Duration // when to call Tick at the latest
}

// Ready returns the work that has come up since the last call.
func (n *Node) Ready(now time.Duration) Ready {
	n.advanceClock(now)
	n.checkCaughtUp()
	ready := Ready{
		Entries:      n.takeEntries(),
		NewOrigin:    n.newOrigin,
		Acknowledged: n.takeAcknowledged(),
		Replies:      n.takeReplies(),
	}
	n.newOrigin = 0
	ready.NextTick = n.planExchanges()
	ready.Exchanges = n.exchanges
	n.exchanges = nil
	return ready
}

// takeEntries returns the queued entries that were not handed out yet.
func (n *Node) takeEntries() []Entry {
	if n.handedOut == len(n.queue) {
		return nil
	}
	entries := make([]Entry, 0, len(n.queue)-n.handedOut)
	for _, queued := range n.queue[n.handedOut:] {
		entries = append(entries, Entry{
			Origin:    queued.log.origin,
			Sequence:  queued.sequence,
			Operation: n.operations.operationAt(queued.index),
		})
	}
	n.handedOut = len(n.queue)
	return entries
}

// checkCaughtUp notes when a new disk holds what each peer held when it was first heard. Peers that are excused don't count.
func (n *Node) checkCaughtUp() {
	if n.ready || len(n.peers) == 0 && n.now < n.graceEnd {
		return
	}
	held := n.logs.vector()
	for _, known := range n.peers {
		if !known.excused(n) && (!known.replied || !held.Covers(known.catchUpTarget)) {
			return
		}
	}
	n.ready = true
}
