package httpfront

import "cinderroad/internal/shared/slotmap"

// Drain closes idle client sessions and has the others closed by their next answer. Sessions that carry callbacks stay:
// running attempts can end by them only.
func (f *Front) Drain() {
	f.draining = true
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		if s.idle() && s.hasRequested && s.conn.Alive() { // else unread input has come
			s.end()
		}
	})
}

// Evacuate sends the clients away, or accepts them again. Unlike Drain it can be undone, and it leaves no idle session:
// those that never made a request and those accepted later are closed, too. Callbacks and open jobs go on. since is when
// the evacuation began, which may be before this process started.
func (f *Front) Evacuate(evacuated bool, since float64) {
	switch {
	case !evacuated:
		f.evacuatedSince = 0
		f.closingIdle = false
		f.sweepTimer.Stop()
	case f.evacuatedSince == 0:
		f.evacuatedSince = since
		f.sweepTimer = f.loop.At(f.evacuatedSince+evacuationGrace, f.closeIdleSessions)
	}
}

// EvacuatedSince returns when the evacuation began; 0: the front is not evacuated.
func (f *Front) EvacuatedSince() float64 { return f.evacuatedSince }

// closeIdleSessions closes what has become idle, again and again.
func (f *Front) closeIdleSessions() {
	f.closingIdle = true
	now := f.loop.Now()
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		if !s.idle() || s.hasCallback {
			return
		}
		mayBring := s.fromBackend || now < s.acceptedAt+firstRequestGrace // a callback, or its first request
		if !s.hasSent && mayBring {
			return
		}
		if s.conn.Alive() { // else unread input has come
			s.end()
		}
	})
	f.sweepTimer = f.loop.At(now+sweepInterval, f.closeIdleSessions)
}
