package replica

import (
	"context"
	"errors"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// Timeouts of proposals and reads that are forwarded to the leader.
const (
	retryDelay       = 100 * time.Millisecond // before a retry, unless the leader changes earlier
	proposeTimeout   = 5 * time.Second        // for a remote leader, unless the context ends earlier
	readIndexTimeout = time.Second            // for one attempt of Barrier
	minCallTimeout   = 2 * handlerMargin      // with less time left, no remote call is made
)

// Propose implements Replicas. It proposes on the leader, wherever that is, and retries while nothing was proposed.
func (h *Host) Propose(ctx context.Context, partition feed.Partition, command []byte) ([]byte, error) {
	g := h.group(partition)
	if g == nil {
		return nil, &UnknownPartitionError{partition}
	}
	for {
		leader, local, leaderChanged := h.locateLeader(g)
		reply := ProposeReply{Outcome: OutcomeDropped}
		var err error
		switch {
		case local:
			reply.Outcome, reply.Result = h.proposeLocal(ctx, partition, command)
			err = ctx.Err()
		case leader != nil:
			callContext, cancel := withLeaderChange(ctx, leaderChanged)
			reply, err = proposeRemote(callContext, leader, partition, command)
			cancel()
		}
		switch reply.Outcome {
		case OutcomeCommitted:
			return reply.Result, nil
		case OutcomeUnknown:
			return nil, &UnknownOutcomeError{partition, err}
		}
		if !waitOrTimeout(ctx, leaderChanged, retryDelay) {
			return nil, &UnavailableError{partition}
		}
	}
}

// locateLeader returns the client of the machine that leads a group, or local if this machine does; neither if the
// leader is unknown or this machine is transferring its leadership. leaderChanged is closed once the group has another
// leader.
func (h *Host) locateLeader(g *group) (leader *rpc.Client, local bool, leaderChanged <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if g.node == nil {
		return nil, false, g.leaderChanged
	}
	if g.node.Role() == consensus.Leader {
		return nil, !g.node.Transferring(), g.leaderChanged
	}
	address, known := h.replicaAddress(g, g.node.Leader())
	if !known || address == h.address {
		return nil, false, g.leaderChanged
	}
	return h.peers.get(address).client, false, g.leaderChanged
}

// withLeaderChange returns a context for a call to the leader that is cancelled as soon as this replica follows
// another one, so that no caller waits for a machine that is partitioned. The outcome of a proposal is then unknown.
// The caller must call the cancel function, which ends the goroutine.
func withLeaderChange(ctx context.Context, leaderChanged <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-leaderChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// proposeLocal proposes to this machine's replica and waits until the command is applied or overwritten.
func (h *Host) proposeLocal(ctx context.Context, partition feed.Partition, command []byte) (Outcome, []byte) {
	g := h.group(partition)
	pending := h.startProposal(ctx, g, command)
	if pending == nil {
		return OutcomeDropped, nil
	}
	select {
	case reply := <-pending.done:
		return reply.Outcome, reply.Result
	case <-ctx.Done():
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g.abandonProposal(pending)
	return OutcomeUnknown, nil
}

// startProposal proposes; it returns nil if nothing was proposed because the context ended, this machine does not
// lead, or its disk is faulty or overloaded.
func (h *Host) startProposal(ctx context.Context, g *group, command []byte) *proposal {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if g == nil || g.node == nil || ctx.Err() != nil || h.disk.leadershipReleased || h.disk.overloaded() {
		return nil
	}
	p := g.propose(h.now(), command)
	if p != nil {
		h.processReady()
	}
	return p
}

// proposeRemote proposes through the machine that leads. The reply is valid whether or not there is an error: that is
// only the reason to give for an outcome other than OutcomeCommitted.
func proposeRemote(ctx context.Context, leader *rpc.Client, partition feed.Partition,
	command []byte) (ProposeReply, error) {
	wait := remainingTime(ctx, proposeTimeout)
	if wait < minCallTimeout {
		return ProposeReply{Outcome: OutcomeDropped}, nil
	}
	if len(command) >= bulkThresholdBytes { // on a connection of its own, so that replies to the leader do not wait behind it
		leader = rpc.NewClient(leader.Address(), peerOptions)
		defer leader.Close()
	}
	request := ProposeRequest{Partition: partition, Command: command, Wait: wait}
	reply, err := proposeCall.LongPoll(ctx, leader, wait, &request)
	if err == nil {
		return *reply, context.DeadlineExceeded // the reason if the leader could not tell the outcome within wait
	}
	var unreachable *rpc.UnreachableError
	if errors.As(err, &unreachable) {
		return ProposeReply{Outcome: OutcomeDropped}, err
	}
	return ProposeReply{Outcome: OutcomeUnknown}, err
}

// remainingTime returns the time until the context's deadline, at most limit.
func remainingTime(ctx context.Context, limit time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return min(time.Until(deadline), limit)
}
