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
	f.sessions.Each(func(_ slotmap.Handle, s *session) { s.offer() })
}

// SessionCount is how many sessions are still here.
func (f *Front) SessionCount() int { return f.sessions.Len() }

// offer gives the session to the successor, if it rests and there is one that takes it.
func (s *session) offer() bool {
	if s.f.successor == nil || s.call != "" || s.waits || s.conn.Unsent() > 0 || !s.conn.Open() {
		return false
	}
	if !s.f.successor(SessionState{s.asked, s.whole, s.told, s.entered}, s.conn) {
		return false
	}
	s.leave()
	return true
}

// Adopt owns a session of the process before this one.
func (f *Front) Adopt(state SessionState, c *eventloop.Conn) eventloop.Handler {
	s := &session{f: f, conn: c, from: c.Peer().Addr().Unmap(), entered: state.AcceptedAt, asked: state.HasRequested,
		whole: state.HasSent, told: state.HasCallback}
	s.backend = f.pool.at(s.from)
	s.h = f.sessions.Insert(s)
	f.door.Register(s.from)
	if s.asked {
		f.asking++
	}
	s.rest()
	return s
}
