package replica

import (
	"context"
	"errors"
	"math"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

const (
	retryDelay       = 100 * time.Millisecond // before another try, unless there is another leader sooner
	proposeTimeout   = 5 * time.Second        // for a leader elsewhere, where the caller sets no bound
	readIndexTimeout = time.Second            // for one try of a barrier
	neverCurrent     = time.Duration(math.MaxInt64)
	minCallTimeout   = 2 * handlerMargin // time that is worth asking another machine for
)

// Propose has a command agreed and applied; see Replicas.
func (h *Host) Propose(ctx context.Context, partition feed.Partition, command []byte) ([]byte, error) {
	g := h.group(partition)
	if g == nil {
		return nil, &UnknownPartitionError{partition}
	}
	for {
		leader, here, changed := h.locateLeader(g)
		reply := ProposeReply{Outcome: OutcomeDropped}
		var err error
		switch {
		case here:
			reply.Outcome, reply.Result = h.proposeLocal(ctx, partition, command)
			err = ctx.Err()
		case leader != nil:
			call, cancel := withLeaderChange(ctx, changed)
			reply, err = proposeRemote(call, leader, partition, command)
			cancel()
		}
		switch reply.Outcome {
		case OutcomeCommitted:
			return reply.Result, nil
		case OutcomeUnknown:
			return nil, &UnknownOutcomeError{partition, err}
		}
		if !waitOrTimeout(ctx, changed, retryDelay) {
			return nil, &UnavailableError{partition}
		}
	}
}

// locateLeader returns the client of the machine that leads a group, nil where that is not known, or that it is this one;
// and a channel that is closed once there is another leader.
func (h *Host) locateLeader(g *group) (leader *rpc.Client, here bool, changed <-chan struct{}) {
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

// withLeaderChange is a context for a call to a leader: it ends as soon as this replica no longer follows that one, so that
// nobody waits for a machine that is cut off. What a proposal came to is then unknown.
func withLeaderChange(ctx context.Context, changed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// proposeLocal proposes to this machine's replica and waits for the command to be applied or lost.
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

// startProposal proposes; nil: nothing was proposed, as the time is up, this machine does not lead, or its disk is in trouble.
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

// proposeRemote proposes through the machine that leads.
func proposeRemote(ctx context.Context, leader *rpc.Client, partition feed.Partition,
	command []byte) (ProposeReply, error) {
	wait := remainingTime(ctx, proposeTimeout)
	if wait < minCallTimeout {
		return ProposeReply{Outcome: OutcomeDropped}, nil
	}
	if len(command) >= bulkThresholdBytes { // what this machine answers its leader does not wait behind it
		leader = rpc.NewClient(leader.Address(), peerOptions)
		defer leader.Close()
	}
	request := ProposeRequest{Partition: partition, Command: command, Wait: wait}
	reply, err := proposeCall.LongPoll(ctx, leader, wait, &request)
	if err == nil {
		return *reply, context.DeadlineExceeded
	}
	var unreachable *rpc.UnreachableError
	if errors.As(err, &unreachable) {
		return ProposeReply{Outcome: OutcomeDropped}, err
	}
	return ProposeReply{Outcome: OutcomeUnknown}, err
}

// remainingTime is the time to the context's end, or a bound.
func remainingTime(ctx context.Context, bound time.Duration) time.Duration {
	deadline, is := ctx.Deadline()
	if !is {
		return bound
	}
	return min(time.Until(deadline), bound)
}
