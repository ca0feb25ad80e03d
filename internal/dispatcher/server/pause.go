package server

import (
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/shared/lease"
)

const (
	minResumeDelay = 0.05 // seconds after waking for which what comes may have waited in a buffer since before the sleep
	maxResumeWait  = 1.0  // and after which jobs are refused rather than have wait, until somebody speaks
)

// handlePause has a process that stood still send nothing by what it knew before: director, then peers, then sends.
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
		if s.cluster == nil || !s.cluster.Contacted() { // nobody will
			s.resumeSending()
			return
		}
		s.resumeTimedOut = true
		s.updateAdmission()
		// Whoever slept alone is heard from by then: if not, the lease has the say.
		s.resumeTimer = s.loop.At(s.resumingSince+s.cluster.LeaseTerm(), s.resumeSending)
	})
}

// updateAdmission has nothing new sent while this dispatcher looks again or is out of its lease, and new jobs refused where that
// takes longer than jobs may wait. What is out ends as it would.
func (s *Server) updateAdmission() {
	s.dispatcher.SetPaused(s.resumingSince > 0 || s.leaseExpired())
	reject := s.resumeTimedOut || s.leaseExpired()
	s.front.SetRejecting(reject)
	if s.gearman != nil {
		s.gearman.SetRejecting(reject)
	}
}

// leaseExpired says whether this dispatcher is out of its lease.
func (s *Server) leaseExpired() bool {
	return s.versionTable != nil && s.versionTable.Lease.State() == lease.Out
}

// handleLeaseChange has new jobs refused while this dispatcher is out of its lease.
func (s *Server) handleLeaseChange(out bool, why string) {
	s.log.Warn("program: lease", zap.Bool("out", out), zap.String("why", why))
	s.recordAudit(auditlog.Entry{Kind: auditlog.LeaseChanged, Out: out, Reason: why})
	s.updateAdmission()
}

// handleContact tells that the director or a peer has spoken. What it says is in force before anything is sent.
func (s *Server) handleContact() {
	if s.resumingSince > 0 && s.loop.Now() >= s.resumingSince+minResumeDelay {
		s.loop.Defer(s.resumeSending)
	}
}

// resumeSending has a process that slept send again.
func (s *Server) resumeSending() {
	if s.resumingSince > 0 {
		s.resumeTimer.Stop()
		s.log.Info("program: looked again after a sleep", zap.Float64("after_s", s.loop.Now()-s.resumingSince))
		s.resumingSince, s.resumeTimedOut = 0, false
		s.recordAudit(auditlog.Entry{Kind: auditlog.Resumed})
		s.updateAdmission()
	}
}
