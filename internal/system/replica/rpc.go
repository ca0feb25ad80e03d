package replica

import (
	"context"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// The calls between control replicas. Each is answered by the method of Host that stands after it.
var (
	deliverCall   = rpc.Declare[DeliverRequest, DeliverReply]("Replica.Deliver")
	proposeCall   = rpc.Declare[ProposeRequest, ProposeReply]("Replica.Propose")
	readIndexCall = rpc.Declare[ReadIndexRequest, ReadIndexReply]("Replica.ReadIndex")
	joinCall      = rpc.Declare[JoinRequest, JoinReply]("Replica.Join")
	leaveCall     = rpc.Declare[LeaveRequest, LeaveReply]("Replica.Leave")
)

// handlerMargin is by how much a handler ends before its caller stops waiting.
const handlerMargin = 50 * time.Millisecond

// Register has the registry answer the calls of other replicas.
func (h *Host) Register(registry *rpc.Registry) {
	deliverCall.Handle(registry, h.handleDeliver)
	proposeCall.Handle(registry, h.handlePropose)
	readIndexCall.Handle(registry, h.handleReadIndex)
	joinCall.Handle(registry, h.handleJoin)
	leaveCall.Handle(registry, h.handleLeave)
}

// DeliverRequest brings messages of the agreement, of any partitions, in the form of appendMessage.
type DeliverRequest struct {
	Messages []byte
	Packed   []byte // the messages, deflated, behind their length; then there are none in Messages
}

// DeliverReply says that the messages came.
type DeliverReply struct{}

// handleDeliver passes messages to the replicas they are for. What cannot be read is left out with what follows it.
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

// ProposeRequest asks a leader to have a command agreed on within Wait.
type ProposeRequest struct {
	Partition feed.Partition
	Command   []byte
	Wait      time.Duration
}

// ProposeReply says what became of a command.
type ProposeReply struct {
	Outcome Outcome
	Result  []byte // of OutcomeCommitted: what Apply returned
}

// Outcome is what became of a command or a read.
type Outcome uint8

// The outcomes.
const (
	OutcomeUnknown   Outcome = iota // it may be agreed on, now or later
	OutcomeCommitted                // it was agreed on and applied
	OutcomeDropped                  // it was not proposed, or surely never will be agreed on
)

// handlePropose proposes to this machine's replica only; the caller looks for another leader itself.
func (h *Host) handlePropose(ctx context.Context, request *ProposeRequest) (*ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait-handlerMargin)
	defer cancel()
	outcome, result := h.proposeLocal(ctx, request.Partition, request.Command)
	return &ProposeReply{Outcome: outcome, Result: result}, nil
}

// ReadIndexRequest asks a leader up to which index a reader has to have applied to see all that was acknowledged.
type ReadIndexRequest struct {
	Partition feed.Partition
	Wait      time.Duration
}

// ReadIndexReply holds the index where the outcome is OutcomeCommitted.
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

// JoinRequest asks to be a member of each partition's group, under the particulars given. It is repeated until that is
// so.
type JoinRequest struct{ Member consensus.Member }

// JoinReply says who the members are, for whoever does not know them.
type JoinReply struct{ Members []consensus.Member }

// handleJoin notes who asks; the leaders of groups act on it as they next look at their members.
func (h *Host) handleJoin(_ context.Context, request *JoinRequest) (*JoinReply, error) {
	h.mutex.Lock()
	h.joinRequests.add(request.Member, h.now())
	h.checkMembershipsSoon()
	h.mutex.Unlock()
	return &JoinReply{Members: h.Members()}, nil
}

// LeaveRequest says that a replica's process is about to end. It is repeated until then.
type LeaveRequest struct{ ID consensus.ReplicaID }

// LeaveReply says that the word came.
type LeaveReply struct{}

// handleLeave notes who leaves; the leaders of groups give its vote to another member where there is one.
func (h *Host) handleLeave(_ context.Context, request *LeaveRequest) (*LeaveReply, error) {
	h.mutex.Lock()
	h.departures.add(request.ID, h.now())
	h.checkMembershipsSoon()
	h.mutex.Unlock()
	return &LeaveReply{}, nil
}
