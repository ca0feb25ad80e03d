package agent

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/agent/upstream"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/system/rpc"
)

const (
	maxReplyBytes    = 32 << 20               // of a reply
	replyReadTimeout = 700 * time.Millisecond // for the next bytes of a reply that has begun
	maxReplyTime     = 15 * time.Second
)

// follower keeps the store up to date from one replica at a time. All its fields belong to the goroutine of run.
type follower struct {
	node       string
	log        *zap.Logger
	now        func() time.Duration
	store      *store
	selector   *upstream.Selector
	candidates func() []netip.AddrPort
	isPeer     func(netip.AddrPort) bool      // the address is another agent's, which is polled but not followed
	onStep     func(cutOff feed.PartitionSet) // called after each poll and wait

	client  *rpc.Client // of the replica polled last; nil: none
	state   upstream.State
	current feed.PartitionSet // partitions with which the followed replica was up to date
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	defer f.disconnect()
	for ctx.Err() == nil {
		f.selector.SetCandidates(f.candidates())
		request, wait := f.selector.Next(f.now())
		if wait > 0 {
			f.reportState()
			retry.Sleep(ctx, wait)
			continue
		}
		f.poll(ctx, request)
		f.reportState()
	}
}

// poll makes a call and reports its outcome to the selector.
func (f *follower) poll(ctx context.Context, request upstream.Request) {
	timeouts := rpc.ReceiveTimeouts{FirstByte: request.Timeout, Idle: replyReadTimeout, Total: maxReplyTime}
	followRequest := &feed.FollowRequest{
		Node:      f.node,
		Positions: f.store.positions(),
		Wait:      request.Wait,
		Packed:    true,
		Current:   request.Current,
	}
	reply, err := feedserver.FollowMethod.InvokeWhileReceiving(ctx, f.connect(request), timeouts, followRequest)
	if err == nil {
		err = unpackBatches(reply)
	}
	if err != nil {
		f.log.Debug("feed request to control replica failed", zap.Stringer("address", request.Address), zap.Error(err))
		f.disconnect()
		f.selector.HandleFailure(f.now(), request.Address)
		return
	}
	outcome := upstream.Reply{
		Ages:       reply.Ages,
		Lagging:    f.store.applyReply(reply),
		RetryAfter: reply.Busy,
		Unusable:   f.isPeer(request.Address),
	}
	f.selector.HandleReply(f.now(), request.Address, outcome)
}

// unpackBatches restores the items of all batches.
func unpackBatches(reply *feed.FollowReply) error {
	for i := range reply.Batches {
		if err := reply.Batches[i].Unpack(); err != nil {
			return err
		}
	}
	return nil
}

// connect returns the client of the replica to poll, and closes that of another one.
func (f *follower) connect(request upstream.Request) *rpc.Client {
	if f.client != nil && f.client.Address() == request.Address {
		return f.client
	}
	f.disconnect()
	f.client = rpc.NewClient(request.Address, rpc.ClientOptions{DialTimeout: request.DialTimeout, MaxReplyBytes: maxReplyBytes})
	return f.client
}

// disconnect closes the client of the replica polled last, if any.
func (f *follower) disconnect() {
	if f.client != nil {
		f.client.Close()
		f.client = nil
	}
}

// reportState logs a change of the selector's state, and passes on from which partitions the agent is cut off.
func (f *follower) reportState() {
	state, current := f.selector.State(), f.selector.Current()
	if state != f.state || current != f.current {
		f.state = state
		f.current = current
		f.logState()
	}
	f.onStep(f.selector.CutOff(f.now()))
}

func (f *follower) logState() {
	if address, follows := f.selector.Followed(); follows {
		f.log.Info("following feed of control replica", zap.Stringer("address", address), zap.Stringer("partitions", f.current))
		return
	}
	if f.state == upstream.CutOff {
		f.log.Warn("no control replica is up to date, serving last known state")
		return
	}
	f.log.Info("feed lost, selecting another control replica")
}
