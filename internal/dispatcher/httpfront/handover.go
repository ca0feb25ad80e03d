package httpfront

import (
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/slotmap"
)

// SessionState is what a client session has shown, for the process that takes it over.
type SessionState struct {
	HasRequested bool    `json:"asked,omitempty"`
	HasSent      bool    `json:"whole,omitempty"`
	HasCallback  bool    `json:"told,omitempty"`
	AcceptedAt   float64 `json:"entered"`
}

// SetSuccessor has the successor take each session as it comes to rest, with what has come and was not read; a session that it
// does not take stays for now. Without a successor (nil) they stay for good.
func (f *Front) SetSuccessor(successor func(SessionState, *eventloop.Conn) bool) {
	if f.successor = successor; successor != nil {
		f.OfferSessions()
	}
}

// OfferSessions offers the sessions that rest to the successor.
func (f *Front) OfferSessions() {
	f.sessions.Each(func(_ slotmap.Handle, s *session) { s.offerToSuccessor() })
}

// SessionCount is how many sessions are still here.
func (f *Front) SessionCount() int { return f.sessions.Len() }

// offerToSuccessor gives the session to the successor, if it rests and there is one that takes it.
func (s *session) offerToSuccessor() bool {
	if s.front.successor == nil || s.callID != "" || s.awaitingForward || s.conn.Unsent() > 0 || !s.conn.Open() {
		return false
	}
	if !s.front.successor(SessionState{s.hasRequested, s.hasSent, s.hasCallback, s.acceptedAt}, s.conn) {
		return false
	}
	s.unregister()
	return true
}

// Adopt owns a session of the process before this one.
func (f *Front) Adopt(state SessionState, conn *eventloop.Conn) eventloop.Handler {
	s := &session{front: f, conn: conn, source: conn.Peer().Addr().Unmap(), acceptedAt: state.AcceptedAt, hasRequested: state.HasRequested,
		hasSent: state.HasSent, hasCallback: state.HasCallback}
	s.fromBackend = f.pool.hasBackendAt(s.source)
	s.handle = f.sessions.Insert(s)
	f.limiter.Register(s.source)
	if s.hasRequested {
		f.requestingSessions++
	}
	s.awaitRequest()
	return s
}
