package proxy

import "iter"

// sessionList holds the open sessions, longest idle first. It is intrusive, so that moving a session allocates nothing.
type sessionList struct {
	first, last *session
	count       int
}

func (l *sessionList) add(s *session) {
	l.count++
	l.pushBack(s)
}

func (l *sessionList) pushBack(s *session) {
	s.previous = l.last
	s.next = nil
	if l.last != nil {
		l.last.next = s
	} else {
		l.first = s
	}
	l.last = s
}

func (l *sessionList) unlink(s *session) {
	if s.previous != nil {
		s.previous.next = s.next
	} else {
		l.first = s.next
	}
	if s.next != nil {
		s.next.previous = s.previous
	} else {
		l.last = s.previous
	}
	s.previous, s.next = nil, nil
}

// moveToBack marks a session as the most recently used.
func (l *sessionList) moveToBack(s *session) {
	l.unlink(s)
	l.pushBack(s)
}

func (l *sessionList) remove(s *session) {
	l.unlink(s)
	l.count--
}

// all yields every session, the one idle longest first. The session that is yielded may be removed meanwhile.
func (l *sessionList) all() iter.Seq[*session] {
	return func(yield func(*session) bool) {
		for s := l.first; s != nil; {
			next := s.next
			if !yield(s) {
				return
			}
			s = next
		}
	}
}

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
