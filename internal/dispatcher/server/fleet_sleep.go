package server

import (
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/shared/lease"
)

const (
	wakeLeast = 0.05 // seconds after waking for which what comes may have waited in a buffer since before the sleep
	wakeMost  = 1.0  // and after which jobs are refused rather than have wait, until somebody speaks
)

// slept has a process that stood still send nothing by what it knew before: director, then peers, then sends.
func (p *Server) slept(late float64) {
	if !p.serving {
		return
	}
	p.woke = p.loop.Now()
	p.record(auditlog.Entry{Kind: auditlog.Paused, LateSeconds: late})
	p.board.ExpireUpdates(p.woke)
	p.pause()
	p.waking.Stop()
	p.waking = p.loop.At(p.woke+wakeMost, func() {
		if p.fleet == nil || !p.fleet.Contacted() { // nobody will
			p.wake()
			return
		}
		p.wakeTimedOut = true
		p.pause()
		// Whoever slept alone is heard from by then: if not, the lease has the say.
		p.waking = p.loop.At(p.woke+p.fleet.LeaseTerm(), p.wake)
	})
}

// pause has nothing new sent while this dispatcher looks again or is out of its lease, and new jobs refused where that
// takes longer than jobs may wait. What is out ends as it would.
func (p *Server) pause() {
	p.core.SetPaused(p.woke > 0 || p.unleased())
	shut := p.wakeTimedOut || p.unleased()
	p.front.SetRejecting(shut)
	if p.gearman != nil {
		p.gearman.SetRejecting(shut)
	}
}

// unleased says whether this dispatcher is out of its lease.
func (p *Server) unleased() bool { return p.board != nil && p.board.Lease.State() == lease.Out }

// leased has new jobs refused while this dispatcher is out of its lease.
func (p *Server) leased(out bool, why string) {
	p.log.Warn("program: lease", zap.Bool("out", out), zap.String("why", why))
	p.record(auditlog.Entry{Kind: auditlog.LeaseChanged, Out: out, Reason: why})
	p.pause()
}

// looked tells that the director or a peer has spoken. What it says is in force before anything is sent.
func (p *Server) looked() {
	if p.woke > 0 && p.loop.Now() >= p.woke+wakeLeast {
		p.loop.Defer(p.wake)
	}
}

// wake has a process that slept send again.
func (p *Server) wake() {
	if p.woke > 0 {
		p.waking.Stop()
		p.log.Info("program: looked again after a sleep", zap.Float64("after_s", p.loop.Now()-p.woke))
		p.woke, p.wakeTimedOut = 0, false
		p.record(auditlog.Entry{Kind: auditlog.Resumed})
		p.pause()
	}
}
