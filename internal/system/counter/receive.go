package counter

import (
	"net/netip"
	"time"
)

// pendingRequest is a request whose reply waits until its entries are durable.
type pendingRequest struct {
	id        RequestID
	from      netip.AddrPort
	durableAt uint64        // value of Node.persisted from which on its entries are
	pull      bool          // the reply contains what the requester lacks
	vector    VersionVector // of the requester
}

// HandleRequest takes the request of a peer. Its reply, under the returned ID, comes with a later Ready.
func (n *Node) HandleRequest(request *ExchangeRequest, now time.Duration) RequestID {
	n.advanceClock(now)
	n.lastRequest++
	id := n.lastRequest
	vector, ranges, err := decodeExchange(&request.From, request.Vector, request.Ranges)
	if err != nil {
		n.replies = append(n.replies, Reply{ID: id, Err: err})
		return id
	}
	n.learn(&request.From, vector)
	n.applyRanges(ranges)
	pending := pendingRequest{id: id, pull: request.Pull, vector: vector}
	pending.from, _ = netip.ParseAddrPort(request.From.Address) // the zero address is nobody's
	if len(ranges) > 0 {
		pending.durableAt = n.queuedTotal
	}
	n.requests = append(n.requests, pending)
	return id
}

// decodeExchange decodes the fields of a request or a reply. The error is a *DecodeError.
func decodeExchange(from *Sender, vectorData, rangeData []byte) (VersionVector, []entryRange, error) {
	if from.Origin == 0 {
		return nil, nil, &DecodeError{Field: "origin of the sender"}
	}
	vector, err := decodeVector(from, vectorData)
	if err != nil {
		return nil, nil, err
	}
	ranges, err := decodeRanges(from, rangeData)
	if err != nil {
		return nil, nil, err
	}
	return vector, ranges, nil
}

// HandleReply takes the reply of a peer to the exchange in flight.
func (n *Node) HandleReply(address netip.AddrPort, reply *ExchangeReply, now time.Duration) {
	n.advanceClock(now)
	known := n.byAddress[address]
	if known == nil {
		return
	}
	vector, ranges, err := decodeExchange(&reply.From, reply.Vector, reply.Ranges)
	if err != nil || reply.From.Address != address.String() {
		n.endExchange(known, false)
		return
	}
	known.reinstate(reply.From.Origin)
	if !n.learn(&reply.From, vector) {
		n.endExchange(known, false)
		return
	}
	if known.failed {
		n.logs.pullAtOnce(n.now)
	}
	if n.applyRanges(ranges) {
		known.noPullUntil = n.now
	}
	n.endExchange(known, true)
}

// HandleFailure tells that the exchange in flight with a peer has failed, or that its reply is not waited for any longer.
func (n *Node) HandleFailure(address netip.AddrPort, now time.Duration) {
	n.advanceClock(now)
	if known := n.byAddress[address]; known != nil {
		n.endExchange(known, false)
	}
}

// roundTripWeight is the weight of the earlier mean, against 1 of the last exchange.
const roundTripWeight = 3

// endExchange records the outcome of an exchange.
func (n *Node) endExchange(known *peer, succeeded bool) {
	if n.pulling == known {
		n.pulling = nil
	}
	wasInFlight := known.inFlight
	known.inFlight = false
	known.failed = !succeeded
	if !succeeded {
		return
	}
	known.unanswered = false
	known.lastReply = n.now
	if !known.replied {
		known.replied = true
		known.catchUpTarget = known.vector.Clone()
	}
	if wasInFlight {
		known.answeredSentAt = known.sentAt
		took := max(n.now-known.sentAt, 1)
		if known.roundTrip == 0 {
			known.roundTrip = took
		}
		known.roundTrip = (roundTripWeight*known.roundTrip + took) / (roundTripWeight + 1)
	}
}

// applyRanges appends what is new to the logs. A range that begins beyond the next sequence number is dropped: the
// vectors bring it again. The log of the own origin grows by Add alone. It reports whether anything was new.
func (n *Node) applyRanges(ranges []entryRange) (appended bool) {
	for i := range ranges {
		received := &ranges[i]
		length := n.logs.lengthOf(received.origin)
		isGap := received.first > length+1
		isKnown := received.last() <= length
		if isGap || isKnown || received.origin == n.own.origin || received.last() > maxSequence {
			continue
		}
		log := n.logs.get(received.origin)
		for _, operation := range received.operations[length+1-received.first:] {
			n.enqueue(log, &operation)
		}
		appended = true
	}
	return appended
}
