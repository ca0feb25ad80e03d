package httpfront

import (
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/slotmap"
)

// SessionState is what a client session has shown so far, for the process that takes it over.
type SessionState struct {
	HasRequested bool    `json:"asked,omitempty"` // a client's request
	HasSent      bool    `json:"whole,omitempty"` // any complete request
	HasCallback  bool    `json:"told,omitempty"`  // a callback
	AcceptedAt   float64 `json:"entered"`
}

// SetSuccessor has each session passed to successor once it is idle, with its unread bytes. A session that successor
// refuses is kept for now. nil ends this.
func (f *Front) SetSuccessor(successor func(SessionState, *eventloop.Conn) bool) {
	f.successor = successor
	if successor != nil {
		f.OfferSessions()
	}
}

// OfferSessions offers the idle sessions to the successor.
func (f *Front) OfferSessions() {
	f.sessions.Each(func(_ slotmap.Handle, s *session) { s.offerToSuccessor() })
}

// SessionCount returns the number of open sessions.
func (f *Front) SessionCount() int { return f.sessions.Len() }

// offerToSuccessor passes the session on if it is idle; false if it stays.
func (s *session) offerToSuccessor() bool {
	isBusy := s.callID != "" || s.awaitingForward || s.conn.Unsent() > 0
	if s.front.successor == nil || isBusy || !s.conn.Open() {
		return false
	}
	state := SessionState{
		HasRequested: s.hasRequested,
		HasSent:      s.hasSent,
		HasCallback:  s.hasCallback,
		AcceptedAt:   s.acceptedAt,
	}
	if !s.front.successor(state, s.conn) {
		return false
	}
	s.unregister()
	return true
}

// Adopt returns the handler of a session that another process passed on.
func (f *Front) Adopt(state SessionState, conn *eventloop.Conn) eventloop.Handler {
	s := &session{
		front:        f,
		conn:         conn,
		source:       conn.Peer().Addr().Unmap(),
		acceptedAt:   state.AcceptedAt,
		hasRequested: state.HasRequested,
		hasSent:      state.HasSent,
		hasCallback:  state.HasCallback,
	}
	s.fromBackend = f.pool.hasBackendAt(s.source)
	s.handle = f.sessions.Insert(s)
	f.limiter.Register(s.source)
	if s.hasRequested {
		f.requestingSessions++
	}
	s.awaitRequest()
	return s
}
