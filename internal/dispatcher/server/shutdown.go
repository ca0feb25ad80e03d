package server

import (
	"go.uber.org/zap"
)

const (
	lingerSeconds      = 0.5  // new clients are still served for this long after a signal, until they are routed elsewhere
	drainCheckInterval = 0.01 // seconds between checks whether all accepted work has ended
)

// fail ends the process with an error, without draining.
func (s *Server) fail(err error) {
	s.exitErr = err
	s.loop.Stop()
}

// stop begins a graceful shutdown: the server accepts work for lingerSeconds more, then closes idle connections and exits
// once every accepted job is answered. The listener stays open to the end, because workers' callbacks arrive through it.
func (s *Server) stop(signal string) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.log.Info("server: shutting down", zap.String("signal", signal), zap.Int("open", s.dispatcher.Counts().OpenRequests))
	if s.upgrade.successorServes() { // which gets the new clients, and the sessions as they become idle
		s.exitWhenDone()
		return
	}
	s.loop.At(s.loop.Now()+lingerSeconds, s.drainClients)
}

// drainClients stops accepting work, unless the successor has taken the clients over anyway.
func (s *Server) drainClients() {
	if !s.upgrade.successorServes() {
		s.front.Drain()
		if s.gearman != nil {
			s.gearman.Drain()
		}
	}
	s.exitWhenDone()
}

// exitWhenDone ends the loop once no job, call, session or report is pending, and checks again after drainCheckInterval
// until then.
func (s *Server) exitWhenDone() {
	if s.done() {
		s.leaveCluster()
		s.loop.Stop()
		return
	}
	s.loop.At(s.loop.Now()+drainCheckInterval, s.exitWhenDone)
}

// done reports whether no job, call, session or report is pending. The reporting is asked last, since it closes the last
// period then.
func (s *Server) done() bool {
	if s.dispatcher.Counts().OpenRequests != 0 || !s.front.Idle() {
		return false
	}
	if s.gearman != nil && !s.gearman.Idle() {
		return false
	}
	if !s.upgrade.done() {
		return false
	}
	if s.admin != nil && s.admin.OpenCalls() != 0 {
		return false
	}
	return s.reporting.finished()
}
