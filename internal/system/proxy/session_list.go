package proxy

import (
	"iter"

	"cinderroad/internal/system/intrusivelist"
)

// sessionList holds the open sessions, longest idle first.
type sessionList struct {
	list  intrusivelist.List[session, *session]
	count int
}

// ListLinks returns the session's neighbours in the session list.
func (s *session) ListLinks() *intrusivelist.Links[session] { return &s.links }

func (l *sessionList) add(s *session) {
	l.count++
	l.list.PushBack(s)
}

func (l *sessionList) remove(s *session) {
	l.list.Remove(s)
	l.count--
}

// moveToBack marks a session as the most recently used.
func (l *sessionList) moveToBack(s *session) { l.list.MoveToBack(s) }

// all yields every session, the one idle longest first. The session that is yielded may be removed meanwhile.
func (l *sessionList) all() iter.Seq[*session] { return l.list.All() }

// oldestIdle returns the session that has been idle longest; nil if none is idle.
func (l *sessionList) oldestIdle() *session {
	for s := range l.all() {
		if s.isIdle() && s.socket.Alive() {
			return s
		}
	}
	return nil
}

// closeIdleConnection frees a descriptor by closing an idle connection, preferably to a runner; false if there is none.
func (p *Proxy) closeIdleConnection() bool {
	if p.pool.closeOldestIdle() {
		return true
	}
	if s := p.sessions.oldestIdle(); s != nil {
		s.close()
		return true
	}
	return false
}
