package counter

import "net/netip"

// Sender identifies the replica that sent a message.
type Sender struct {
	Address string // of its control machine
	Zone    string
	Origin  Origin
}

// ExchangeRequest is sent to a peer; its reply is an ExchangeReply.
type ExchangeRequest struct {
	From   Sender
	Vector []byte // encoded version vector of what is durable at the sender
	Ranges []byte // encoded entries that the receiver may lack; empty: none
	Pull   bool   // the reply is to contain entries that the sender lacks
}

// ExchangeReply is sent once the entries of the request are durable at the replying replica.
type ExchangeReply struct {
	From   Sender
	Vector []byte // encoded version vector of what is durable at the replying replica
	// Ranges are encoded entries that the requester lacks: all, if it asked for them, else those of the sender's origin; empty: none
	Ranges []byte
}

// RequestID identifies a request that was passed to HandleRequest until its reply.
type RequestID uint64

// Exchange is a request to a peer.
type Exchange struct {
	Peer    netip.AddrPort
	Request *ExchangeRequest
}

// Reply answers a request.
type Reply struct {
	ID    RequestID
	Reply *ExchangeReply // nil: the request was malformed, see Err
	Err   error          // a *DecodeError; the caller's exchange has failed
}
