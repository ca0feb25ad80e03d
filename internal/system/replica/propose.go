package replica

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
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

var _ Replicas = (*Host)(nil)

// UnknownOutcomeError says that a command may or may not have been agreed on, or may yet be.
type UnknownOutcomeError struct {
	Partition feed.Partition
	Cause     error
}

// Error says what happened and what to do.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("replica: it is not known whether partition %d took the command (%v); read the state, "+
		"or propose it again if that does no harm", e.Partition, e.Cause)
}

// Unwrap is the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnknownPartitionError says that there is no such partition.
type UnknownPartitionError struct{ Partition feed.Partition }

// Error says what happened.
func (e *UnknownPartitionError) Error() string {
	return fmt.Sprintf("replica: there is no partition %d", e.Partition)
}

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

// replicaAddress is where a replica is, by the group's membership or by what this machine was told.
func (h *Host) replicaAddress(g *group, id consensus.ReplicaID) (netip.AddrPort, bool) {
	if id == 0 {
		return netip.AddrPort{}, false
	}
	for _, member := range g.node.Membership().Members {
		if member.ID == id {
			address, err := netip.ParseAddrPort(member.Address)
			return address, err == nil
		}
	}
	return h.peers.learnedAddress(id)
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

// Barrier returns once the local state machine holds all that was acknowledged before; see Replicas.
func (h *Host) Barrier(ctx context.Context, partition feed.Partition) error {
	g := h.group(partition)
	if g == nil {
		return &UnknownPartitionError{partition}
	}
	for {
		leader, here, changed := h.locateLeader(g)
		index, confirmed := uint64(0), false
		switch {
		case here:
			index, confirmed = h.readIndexLocal(ctx, partition)
		case leader != nil:
			call, cancel := withLeaderChange(ctx, changed)
			index, confirmed = readIndexRemote(call, leader, partition)
			cancel()
		}
		if confirmed {
			return h.awaitApplied(ctx, g, index)
		}
		if !waitOrTimeout(ctx, changed, retryDelay) {
			return &UnavailableError{partition}
		}
	}
}

// readIndexLocal asks this machine's replica for the index that a reader has to have applied.
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

// awaitApplied returns once the state machine holds the log up to an index.
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

// LeaderLease says whether this machine surely leads the partition, and for how long; see Replicas.
func (h *Host) LeaderLease(partition feed.Partition) (time.Duration, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g := h.group(partition)
	if g == nil || g.node == nil || g.node.Role() != consensus.Leader {
		return 0, false
	}
	left := g.node.LeaseExpiry() - h.now()
	return max(left, 0), left > 0
}

// Staleness is how long ago this replica last held all that its leader had committed; see Replicas.
func (h *Host) Staleness(partition feed.Partition) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g := h.group(partition)
	if g == nil {
		return neverCurrent
	}
	if g.node == nil {
		return neverCurrent
	}
	return elapsedSince(g.node.Status().CaughtUpAt, h.now())
}

// elapsedSince is how long ago something was; at 0 it never was.
func elapsedSince(at, now time.Duration) time.Duration {
	if at == 0 {
		return neverCurrent
	}
	return max(now-at, 0)
}

// Status describes each partition's replica; see Replicas.
func (h *Host) Status() []PartitionStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var all []PartitionStatus
	for _, g := range h.groups {
		if g.node != nil {
			all = append(all, PartitionStatus{Partition: g.partition, Status: g.node.Status()})
		}
	}
	return all
}
