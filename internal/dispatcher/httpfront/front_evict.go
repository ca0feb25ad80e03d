package httpfront

import "cinderroad/internal/shared/slotmap"

// Eviction ranks: the session with the highest one is closed first. Rank 0 is never closed.
const (
	rankCallbacks  = iota + 1 // idle, has carried callbacks
	rankIdle                  // idle, has carried requests
	rankIncomplete            // its first request is incomplete
	rankSilent                // has sent nothing
)

// EvictIdle closes the client session that can best be spared; false if there is none.
func (f *Front) EvictIdle() bool { return f.evict(func(*session) bool { return true }) }

// evict closes one of the sessions for which mayEvict is true: the one of the highest eviction rank, and of these the one
// that has been idle longest. A flood of silent connections must not push out the clients that work here.
func (f *Front) evict(mayEvict func(*session) bool) bool {
	var best *session
	bestRank := 0
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		rank := s.evictionRank()
		if rank == 0 || !mayEvict(s) {
			return
		}
		if best != nil && (rank < bestRank || rank == bestRank && s.idleOrder > best.idleOrder) {
			return
		}
		if rank == rankIncomplete || s.conn.Alive() { // else unread input has come, or the peer has disconnected
			best = s
			bestRank = rank
		}
	})
	switch {
	case best == nil:
		return false
	case bestRank == rankIncomplete: // its request has begun: the answer says that a retry is harmless
		best.turnAway("no room to wait for the rest")
	default:
		// Nothing has come. An answer written now would be taken for the answer to the first request of a client that
		// opened the connection ahead, while a close makes it open another one.
		best.end()
	}
	return true
}

func (s *session) evictionRank() int {
	switch begun := len(s.conn.Bytes()) > 0; {
	case s.callID != "" || s.awaitingForward || s.conn.Unsent() > 0 || s.hasSent && begun:
		return 0
	case !s.hasSent && s.fromBackend: // brings a callback, which may be all that ends a running attempt
		return 0
	case !s.hasSent && begun:
		return rankIncomplete
	case !s.hasSent:
		return rankSilent
	case s.hasRequested:
		return rankIdle
	}
	return rankCallbacks
}
