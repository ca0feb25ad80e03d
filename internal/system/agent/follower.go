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
	mostReplyBytes = 32 << 20               // of a control replica's answer
	answerSilence  = 700 * time.Millisecond // in the middle of an answer
	mostAnswerTime = 15 * time.Second
)

// follower keeps the store up to date from one replica at a time.
type follower struct {
	node       string
	log        *zap.Logger
	now        func() time.Duration
	store      *store
	machine    *upstream.Machine
	candidates func() []netip.AddrPort
	isPeer     func(netip.AddrPort) bool      // another agent stands there, which is asked but not followed
	stepped    func(cutOff feed.PartitionSet) // called after each question

	client  *rpc.Client // of the replica that was asked last
	state   upstream.State
	current feed.PartitionSet // with which the followed replica was up to date
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	defer f.disconnect()
	for ctx.Err() == nil {
		f.machine.Offer(f.candidates())
		question, wait := f.machine.Next(f.now())
		if wait > 0 {
			f.tell()
			retry.Pause(ctx, wait)
			continue
		}
		f.ask(ctx, question)
		f.tell()
	}
}

func (f *follower) ask(ctx context.Context, question upstream.Question) {
	patience := rpc.Patience{First: question.Timeout, Between: answerSilence, Most: mostAnswerTime}
	request := &feed.FollowRequest{Node: f.node, Positions: f.store.positions(), Wait: question.Wait, Packed: true,
		Current: question.Current}
	reply, err := feedserver.FollowMethod.InvokeWhileReceiving(ctx, f.connect(question), patience, request)
	if err == nil {
		err = unpack(reply)
	}
	if err != nil {
		f.log.Debug("control replica gave no answer", zap.Stringer("address", question.Address), zap.Error(err))
		f.disconnect()
		f.machine.Failed(f.now(), question.Address)
		return
	}
	answer := upstream.Answer{Ages: reply.Ages, Lagging: f.store.take(reply), Busy: reply.Busy,
		NotToUse: f.isPeer(question.Address)}
	f.machine.Answered(f.now(), question.Address, answer)
}

// unpack puts the items of all batches back.
func unpack(reply *feed.FollowReply) error {
	for i := range reply.Batches {
		if err := reply.Batches[i].Unpack(); err != nil {
			return err
		}
	}
	return nil
}

// connect returns the client of a replica; that of another one is closed.
func (f *follower) connect(question upstream.Question) *rpc.Client {
	if f.client != nil && f.client.Address() == question.Address {
		return f.client
	}
	f.disconnect()
	f.client = rpc.NewClient(question.Address, rpc.Options{Dial: question.Dial, MessageBytes: mostReplyBytes})
	return f.client
}

func (f *follower) disconnect() {
	if f.client != nil {
		f.client.Close()
		f.client = nil
	}
}

// tell logs a change of the state, and passes on from which partitions the agent is cut off.
func (f *follower) tell() {
	state, current := f.machine.State(), f.machine.Current()
	if state != f.state || current != f.current {
		f.state, f.current = state, current
		f.logState()
	}
	f.stepped(f.machine.CutOff(f.now()))
}

func (f *follower) logState() {
	if address, follows := f.machine.Followed(); follows {
		f.log.Info("feed followed", zap.Stringer("from", address), zap.Stringer("partitions", f.current))
		return
	}
	if f.state == upstream.CutOff {
		f.log.Warn("no control replica is up to date; all that is known is served on")
		return
	}
	f.log.Info("feed lost, looking for another control replica")
}
