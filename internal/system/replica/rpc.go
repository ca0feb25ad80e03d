package replica

import (
	"context"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// The RPCs between control replicas. Each is served by a handler of Host, see Register.
var (
	deliverCall   = rpc.Declare[DeliverRequest, DeliverReply]("Replica.Deliver")
	proposeCall   = rpc.Declare[ProposeRequest, ProposeReply]("Replica.Propose")
	readIndexCall = rpc.Declare[ReadIndexRequest, ReadIndexReply]("Replica.ReadIndex")
	joinCall      = rpc.Declare[JoinRequest, JoinReply]("Replica.Join")
	leaveCall     = rpc.Declare[LeaveRequest, LeaveReply]("Replica.Leave")
)

// handlerMargin is how much earlier than its caller's timeout a handler gives up, so that the reply still arrives in
// time.
const handlerMargin = 50 * time.Millisecond

// Register registers the handlers of the RPCs between control replicas.
func (h *Host) Register(registry *rpc.Registry) {
	deliverCall.Handle(registry, h.handleDeliver)
	proposeCall.Handle(registry, h.handlePropose)
	readIndexCall.Handle(registry, h.handleReadIndex)
	joinCall.Handle(registry, h.handleJoin)
	leaveCall.Handle(registry, h.handleLeave)
}

// DeliverRequest carries consensus messages of any partitions, encoded by appendMessage. Its names are part of the
// wire format.
type DeliverRequest struct {
	Messages []byte
	Packed   []byte // if not empty: the messages in the form of package deflate; Messages is empty
}

// DeliverReply acknowledges the receipt of messages, not their effect.
type DeliverReply struct{}

// handleDeliver passes messages to the groups. Decoding stops at the first malformed message; those before it take
// effect.
func (h *Host) handleDeliver(_ context.Context, request *DeliverRequest) (*DeliverReply, error) {
	messages, err := request.decompress()
	if err != nil {
		return nil, err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	defer h.processReady()
	now := h.now()
	for rest := messages; len(rest) > 0; {
		partition, message, after, err := readMessage(rest)
		if err != nil {
			return nil, err
		}
		rest = after
		h.stepMessage(now, partition, message)
	}
	return &DeliverReply{}, nil
}

// ProposeRequest asks a leader to commit a command within Wait.
type ProposeRequest struct {
	Partition feed.Partition
	Command   []byte
	Wait      time.Duration
}

// ProposeReply is the outcome of a proposal.
type ProposeReply struct {
	Outcome Outcome
	Result  []byte // what Apply returned, if Outcome is OutcomeCommitted
}

// Outcome is what became of a proposal or a read index request. Its values are part of the wire format.
type Outcome uint8

// The outcomes.
const (
	OutcomeUnknown   Outcome = iota // it may have been committed, or be committed later
	OutcomeCommitted                // it was committed and applied; a read index was confirmed
	OutcomeDropped                  // it was not proposed or was overwritten, so it never commits; no read index was confirmed
)

// handlePropose proposes to this machine's replica only; the caller has to find another leader itself.
func (h *Host) handlePropose(ctx context.Context, request *ProposeRequest) (*ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait-handlerMargin)
	defer cancel()
	outcome, result := h.proposeLocal(ctx, request.Partition, request.Command)
	return &ProposeReply{Outcome: outcome, Result: result}, nil
}

// ReadIndexRequest asks a leader for the index that a linearizable read has to wait for.
type ReadIndexRequest struct {
	Partition feed.Partition
	Wait      time.Duration
}

// ReadIndexReply has the read index if the outcome is OutcomeCommitted.
type ReadIndexReply struct {
	Outcome Outcome
	Index   uint64
}

// handleReadIndex asks this machine's replica only.
func (h *Host) handleReadIndex(ctx context.Context, request *ReadIndexRequest) (*ReadIndexReply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait-handlerMargin)
	defer cancel()
	index, confirmed := h.readIndexLocal(ctx, request.Partition)
	if !confirmed {
		return &ReadIndexReply{Outcome: OutcomeDropped}, nil
	}
	return &ReadIndexReply{Outcome: OutcomeCommitted, Index: index}, nil
}

// JoinRequest asks the leaders of all groups to add a replica, or to change its attributes. It is repeated until they
// have.
type JoinRequest struct{ Member consensus.Member }

// JoinReply lists the known members, so that the caller learns their addresses.
type JoinReply struct{ Members []consensus.Member }

// handleJoin records the request; the leaders of groups act on it at their next membership check.
func (h *Host) handleJoin(_ context.Context, request *JoinRequest) (*JoinReply, error) {
	h.mutex.Lock()
	h.joinRequests.add(request.Member, h.now())
	h.checkMembershipsSoon()
	h.mutex.Unlock()
	return &JoinReply{Members: h.Members()}, nil
}

// LeaveRequest announces that a replica's process is about to end. It is repeated until then.
type LeaveRequest struct{ ID consensus.ReplicaID }

// LeaveReply acknowledges the announcement.
type LeaveReply struct{}

// handleLeave records the announcement; the leaders of groups move the replica's vote to a learner if there is one.
func (h *Host) handleLeave(_ context.Context, request *LeaveRequest) (*LeaveReply, error) {
	h.mutex.Lock()
	h.departures.add(request.ID, h.now())
	h.checkMembershipsSoon()
	h.mutex.Unlock()
	return &LeaveReply{}, nil
}
