package proxy

import (
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/placement"
)

const (
	idleSweepInterval = 50 * time.Millisecond
	newConnGrace      = 300 * time.Millisecond // in which the first request of a new connection may be on its way
	maxCutsLogged     = 20
)

// shutdownState is where a proxy that was told to stop stands.
type shutdownState struct {
	plan           shutdownPlan
	active         bool
	signalAt       time.Duration // when the signal came
	listenerClosed bool          // the listener is closed
}

// elapsed is the time since the signal to stop; 0 where none came.
func (s *shutdownState) elapsed(now time.Duration) time.Duration {
	if !s.active {
		return 0
	}
	return now - s.signalAt
}

// Stop has the proxy serve on what comes, send its clients away and end once all answers are whole, before the grace
// period is over. The loop ends then.
func (p *Proxy) Stop() {
	if p.shutdown.active {
		return
	}
	p.shutdown.active, p.shutdown.signalAt = true, p.now()
	p.log.Info("told to stop", zap.Int("exchanges", p.openExchanges), zap.Int("sessions", p.sessions.count),
		zap.Uint64("requests", p.Counters.Requests), zap.Uint64("served", p.Counters.Served),
		zap.Uint64("refused", p.Counters.Rejected), zap.Uint64("failed", p.Counters.Failed))
	p.reportToAgent(p.placer.Snapshot())
	now, plan := p.now(), p.shutdown.plan
	p.runAt(now+plan.sweepIdle, p.sweepIdleSessions)
	p.runAt(now+plan.closeListener, p.closeListener)
	p.runAt(now+plan.lastResponses, p.endUnansweredExchanges)
	p.runAt(now+plan.exit, p.terminate)
}

// outlivesProcess says whether a request that is whole now may need the proxy for longer than it lives.
func (p *Proxy) outlivesProcess(request *placement.Request) bool {
	s := &p.shutdown
	return s.active && !s.plan.accepts(p.now()-s.signalAt, request.Deadline-s.signalAt)
}

// endUnansweredExchanges ends all requests that have no answer yet, just before the process ends. Each is told whether it may have
// run.
func (p *Proxy) endUnansweredExchanges() {
	for s := range p.sessions.all() {
		if x := s.exchange; x != nil && !x.response.started {
			p.logCut(s)
			x.endForShutdown()
		}
	}
}

// countShutdownRequest counts a request whose head has come, if the proxy was told to stop before.
func (p *Proxy) countShutdownRequest(s *session) {
	switch {
	case !p.shutdown.active:
	case s.requestCount == 0:
		p.Counters.ShutdownOnNewConns++
	default:
		p.Counters.ShutdownOnKeptConns++
	}
}

// terminate ends the process, whatever is left.
func (p *Proxy) terminate() {
	for s := range p.sessions.all() {
		if s.exchange != nil {
			p.logCut(s)
		}
	}
	p.flushPending()
	p.logStopped()
	p.loop.Stop()
}

// logCut logs a request that the end of the process breaks off, with what tells why it was taken.
func (p *Proxy) logCut(s *session) {
	x := s.exchange
	if p.Counters.ShutdownCut++; p.Counters.ShutdownCut > maxCutsLogged {
		return
	}
	fields := []zap.Field{zap.String("try", x.tryID), zap.Bool("answered", x.response.started), zap.Bool("may_have_run", x.request.MayHaveRun),
		zap.Duration("came_after_signal", x.request.ArrivedAt-p.shutdown.signalAt), zap.Duration("time_left", x.request.Deadline-p.now()),
		zap.Int("request_of_connection", s.requestCount), zap.Duration("connected_after_signal", s.acceptedAt-p.shutdown.signalAt)}
	if x.request.Route != nil {
		fields = append(fields, zap.String("route", x.request.Route.Name))
	}
	p.log.Warn("request cut by the end of the process", fields...)
}

func (p *Proxy) logStopped() {
	p.log.Info("stopped", zap.Duration("after_signal", p.shutdown.elapsed(p.now())), zap.Uint64("cut", p.Counters.ShutdownCut),
		zap.Uint64("turned_away", p.Counters.ShutdownRejected),
		zap.Uint64("on_new_connections", p.Counters.ShutdownOnNewConns), zap.Uint64("on_kept_connections", p.Counters.ShutdownOnKeptConns))
}

// sweepIdleSessions closes sessions that rest, and goes on doing so.
func (p *Proxy) sweepIdleSessions() {
	for s := range p.sessions.all() {
		if s.isIdle() && (s.requestCount > 0 || p.now() > s.acceptedAt+newConnGrace) && s.socket.Alive() {
			s.close()
		}
	}
	p.exitWhenDrained()
	p.runAt(p.now()+idleSweepInterval, p.sweepIdleSessions)
}

// closeListener closes the listener.
func (p *Proxy) closeListener() {
	p.shutdown.listenerClosed = true
	p.front.Close()
	p.exitWhenDrained()
}

// exitWhenDrained ends the process once nobody waits for anything.
func (p *Proxy) exitWhenDrained() {
	if p.shutdown.listenerClosed && p.openExchanges == 0 && p.sessions.count == 0 {
		p.loop.Defer(p.exitIfDrained)
	}
}

// exitIfDrained ends the loop if all answers have gone out, or has a look again with the next sweep.
func (p *Proxy) exitIfDrained() {
	if p.openExchanges == 0 && p.pending.session == nil && p.loop.Lingering() == 0 {
		p.logStopped()
		p.loop.Stop()
	}
}
