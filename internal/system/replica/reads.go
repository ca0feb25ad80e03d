package replica

import (
	"context"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// Barrier implements Replicas. It obtains a read index from the leader and waits until this replica has applied it.
func (h *Host) Barrier(ctx context.Context, partition feed.Partition) error {
	g := h.group(partition)
	if g == nil {
		return &UnknownPartitionError{partition}
	}
	for {
		leader, local, leaderChanged := h.locateLeader(g)
		index := uint64(0)
		confirmed := false
		switch {
		case local:
			index, confirmed = h.readIndexLocal(ctx, partition)
		case leader != nil:
			callContext, cancel := withLeaderChange(ctx, leaderChanged)
			index, confirmed = readIndexRemote(callContext, leader, partition)
			cancel()
		}
		if confirmed {
			return h.awaitApplied(ctx, g, index)
		}
		if !waitOrTimeout(ctx, leaderChanged, retryDelay) {
			return &UnavailableError{partition}
		}
	}
}

// readIndexLocal obtains a read index from this machine's replica; false if it does not lead, or not until the
// context ended.
func (h *Host) readIndexLocal(ctx context.Context, partition feed.Partition) (uint64, bool) {
	g := h.group(partition)
	h.mutex.Lock()
	if g == nil || g.node == nil {
		h.mutex.Unlock()
		return 0, false
	}
	token, done := g.startReadIndex(h.now())
	h.processReady()
	h.mutex.Unlock()
	select {
	case state := <-done:
		return state.Index, state.Err == nil
	case <-ctx.Done():
	}
	h.mutex.Lock()
	delete(g.pendingReads, token)
	h.mutex.Unlock()
	return 0, false
}

// readIndexRemote obtains a read index from the machine that leads; false if that one did not confirm it in time.
func readIndexRemote(ctx context.Context, leader *rpc.Client, partition feed.Partition) (uint64, bool) {
	wait := remainingTime(ctx, readIndexTimeout)
	if wait < minCallTimeout {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, err := readIndexCall.Invoke(ctx, leader, &ReadIndexRequest{Partition: partition, Wait: wait})
	if err != nil {
		return 0, false
	}
	return reply.Index, reply.Outcome == OutcomeCommitted
}

// awaitApplied returns once the state machine has applied the log up to an index.
func (h *Host) awaitApplied(ctx context.Context, g *group, index uint64) error {
	h.mutex.Lock()
	if g.appliedIndex >= index {
		h.mutex.Unlock()
		return nil
	}
	wait := appliedWaiter{index: index, done: make(chan struct{})}
	g.appliedWaiters = append(g.appliedWaiters, wait)
	h.mutex.Unlock()
	select {
	case <-wait.done:
		return nil
	case <-ctx.Done():
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g.removeAppliedWaiter(wait.done)
	return &UnavailableError{g.partition}
}

// appliedWaiter has its channel closed once the index is applied.
type appliedWaiter struct {
	index uint64
	done  chan struct{}
}

// startReadIndex asks the consensus node for a read index. The channel receives the answer; a caller that no longer
// waits must delete the token from pendingReads.
func (g *group) startReadIndex(now time.Duration) (token uint64, done <-chan consensus.ReadState) {
	g.lastReadToken++
	answer := make(chan consensus.ReadState, 1)
	g.pendingReads[g.lastReadToken] = answer
	g.node.ReadIndex(now, g.lastReadToken)
	return g.lastReadToken, answer
}

// resolveReads delivers read indexes to those who asked for them.
func (g *group) resolveReads(states []consensus.ReadState) {
	for _, state := range states {
		if done := g.pendingReads[state.Token]; done != nil {
			delete(g.pendingReads, state.Token)
			done <- state
		}
	}
}

// notifyApplied closes the channels of the waiters whose index is applied.
func (g *group) notifyApplied() {
	waiting := g.appliedWaiters[:0]
	for _, waiter := range g.appliedWaiters {
		if waiter.index <= g.appliedIndex {
			close(waiter.done)
		} else {
			waiting = append(waiting, waiter)
		}
	}
	clear(g.appliedWaiters[len(waiting):])
	g.appliedWaiters = waiting
}

// removeAppliedWaiter removes a waiter whose caller no longer waits.
func (g *group) removeAppliedWaiter(done chan struct{}) {
	g.appliedWaiters = slices.DeleteFunc(g.appliedWaiters, func(waiter appliedWaiter) bool { return waiter.done == done })
}
