package server

import (
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/shared/lease"
)

const (
	minResumeDelay = 0.05 // seconds after a pause during which a message may be one that was buffered before it
	maxResumeWait  = 1.0  // seconds after a pause for which jobs wait for contact; then they are rejected instead
)

// handlePause follows a pause of the whole process, late seconds long. What it knew may be outdated by then, so it sends
// nothing until it has heard from discovery or a peer.
func (s *Server) handlePause(late float64) {
	if !s.serving {
		return
	}
	s.resumingSince = s.loop.Now()
	s.recordAudit(auditlog.Entry{Kind: auditlog.Paused, LateSeconds: late})
	s.versionTable.ExpireUpdates(s.resumingSince)
	s.updateAdmission()
	s.resumeTimer.Stop()
	s.resumeTimer = s.loop.At(s.resumingSince+maxResumeWait, func() {
		if s.cluster == nil || !s.cluster.Contacted() { // there is nobody to hear from
			s.resumeSending()
			return
		}
		s.resumeTimedOut = true
		s.updateAdmission()
		// A process that was paused alone has heard from a peer by then. If it has not, the lease decides.
		s.resumeTimer = s.loop.At(s.resumingSince+s.cluster.LeaseTerm(), s.resumeSending)
	})
}

// updateAdmission stops new attempts while this dispatcher resumes after a pause or is out of its lease, and rejects new jobs
// where that takes longer than jobs may wait. Attempts that are in flight go on.
func (s *Server) updateAdmission() {
	s.dispatcher.SetPaused(s.resumingSince > 0 || s.leaseExpired())
	reject := s.resumeTimedOut || s.leaseExpired()
	s.front.SetRejecting(reject)
	if s.gearman != nil {
		s.gearman.SetRejecting(reject)
	}
}

// leaseExpired reports whether this dispatcher is out of its lease.
func (s *Server) leaseExpired() bool {
	return s.versionTable != nil && s.versionTable.Lease.State() == lease.Out
}

// handleLeaseChange rejects new jobs while this dispatcher is out of its lease.
func (s *Server) handleLeaseChange(out bool, why string) {
	s.log.Warn("server: lease changed", zap.Bool("out", out), zap.String("reason", why))
	s.recordAudit(auditlog.Entry{Kind: auditlog.LeaseChanged, Out: out, Reason: why})
	s.updateAdmission()
}

// handleContact ends the wait after a pause: discovery or a peer was heard. The deferral lets the rest of what it sent be
// applied before anything is sent to workers.
func (s *Server) handleContact() {
	if s.resumingSince > 0 && s.loop.Now() >= s.resumingSince+minResumeDelay {
		s.loop.Defer(s.resumeSending)
	}
}

// resumeSending lets a process that was paused send again.
func (s *Server) resumeSending() {
	if s.resumingSince > 0 {
		s.resumeTimer.Stop()
		s.log.Info("server: resumed after process pause", zap.Float64("after_s", s.loop.Now()-s.resumingSince))
		s.resumingSince = 0
		s.resumeTimedOut = false
		s.recordAudit(auditlog.Entry{Kind: auditlog.Resumed})
		s.updateAdmission()
	}
}
