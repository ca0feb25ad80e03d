package proxy

import (
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/placement"
)

const (
	idleSweepInterval = 50 * time.Millisecond
	newConnGrace      = 300 * time.Millisecond // in which the first request of a new connection may be in flight
	maxCutsLogged     = 20                     // requests cut off by the exit that are logged one by one
)

// shutdownState is the progress of a shutdown.
type shutdownState struct {
	plan           shutdownPlan
	active         bool
	signalAt       time.Duration // when the shutdown signal arrived
	listenerClosed bool
	ended          bool // the loop was told to stop
}

// elapsed returns the time since the shutdown signal; 0 if there was none.
func (s *shutdownState) elapsed(now time.Duration) time.Duration {
	if !s.active {
		return 0
	}
	return now - s.signalAt
}

// Stop starts a graceful shutdown: the proxy keeps serving, closes idle sessions, and stops the loop once all responses
// are complete, at the latest before the grace period ends. Calling it again has no effect.
func (p *Proxy) Stop() {
	if p.shutdown.active {
		return
	}
	p.shutdown.active = true
	p.shutdown.signalAt = p.now()
	p.log.Info("received stop signal, shutting down",
		zap.Int("open_requests", p.openExchanges),
		zap.Int("client_connections", p.sessions.count),
		zap.Uint64("requests", p.Counters.Requests),
		zap.Uint64("served", p.Counters.Served),
		zap.Uint64("rejected", p.Counters.Rejected),
		zap.Uint64("failed", p.Counters.Failed))
	p.reportToAgent(p.placer.Snapshot())
	now := p.now()
	plan := p.shutdown.plan
	p.runAt(now+plan.sweepIdle, p.sweepIdleSessions)
	p.runAt(now+plan.closeListener, p.closeListener)
	p.runAt(now+plan.LastResponses, p.endUnansweredExchanges)
	p.runAt(now+plan.ProxyEnd, p.terminate)
}

// outlivesProcess reports whether a request that is complete now may still be in progress when the process exits.
func (p *Proxy) outlivesProcess(request *placement.Request) bool {
	s := &p.shutdown
	return s.active && !s.plan.accepts(p.now()-s.signalAt, request.Deadline-s.signalAt)
}

// endUnansweredExchanges ends all requests without a response shortly before the process exits. The response says
// whether the request may have been executed.
func (p *Proxy) endUnansweredExchanges() {
	for s := range p.sessions.all() {
		if x := s.exchange; x != nil && !x.response.started {
			p.logCut(s)
			x.endForShutdown()
		}
	}
}

// countShutdownRequest counts a request whose head was read after the shutdown signal.
func (p *Proxy) countShutdownRequest(s *session) {
	switch {
	case !p.shutdown.active:
	case s.requestCount == 0:
		p.Counters.ShutdownOnNewConns++
	default:
		p.Counters.ShutdownOnReusedConns++
	}
}

// terminate stops the loop with whatever is in progress. The loop closes all connections in order, which would make a
// response that only the close ends look complete.
func (p *Proxy) terminate() {
	p.flushPending()
	for s := range p.sessions.all() {
		x := s.exchange
		if x == nil {
			continue
		}
		p.logCut(s)
		if x.response.started && !x.response.isDelimited() {
			s.socket.Reset()
		}
	}
	p.end()
}

// end stops the loop.
func (p *Proxy) end() {
	p.shutdown.ended = true
	p.logStopped()
	p.loop.Stop()
}

// logCut logs a request that the exit of the process cuts off, with the data that shows why it was accepted.
func (p *Proxy) logCut(session *session) {
	x := session.exchange
	p.Counters.ShutdownCut++
	if p.Counters.ShutdownCut > maxCutsLogged {
		return
	}
	signalAt := p.shutdown.signalAt
	fields := []zap.Field{
		zap.String("try", x.tryID),
		zap.Bool("answered", x.response.started),
		zap.Bool("may_have_run", x.request.MayHaveRun),
		zap.Duration("arrived_after_signal", x.request.ArrivedAt-signalAt),
		zap.Duration("time_to_deadline", x.request.Deadline-p.now()),
		zap.Int("request_number_on_connection", session.requestCount),
		zap.Duration("connected_after_signal", session.acceptedAt-signalAt),
	}
	if x.request.Route != nil {
		fields = append(fields, zap.String("route", x.request.Route.Name))
	}
	p.log.Warn("request aborted at exit", fields...)
}

func (p *Proxy) logStopped() {
	p.log.Info("stopped",
		zap.Duration("after_signal", p.shutdown.elapsed(p.now())),
		zap.Uint64("aborted", p.Counters.ShutdownCut),
		zap.Uint64("rejected", p.Counters.ShutdownRejected),
		zap.Uint64("on_new_connections", p.Counters.ShutdownOnNewConns),
		zap.Uint64("on_reused_connections", p.Counters.ShutdownOnReusedConns))
}

// sweepIdleSessions closes idle sessions, repeatedly.
func (p *Proxy) sweepIdleSessions() {
	for s := range p.sessions.all() {
		if p.maySweep(s) {
			s.close()
		}
	}
	p.exitWhenDrained()
	p.runAt(p.now()+idleSweepInterval, p.sweepIdleSessions)
}

// maySweep reports whether a session can be closed without the loss of a request: it is idle, its first request is not
// about to arrive, and nothing has arrived that was not read.
func (p *Proxy) maySweep(s *session) bool {
	awaitsFirstRequest := s.requestCount == 0 && p.now() <= s.acceptedAt+newConnGrace
	return s.isIdle() && !awaitsFirstRequest && s.socket.Alive()
}

// closesForShutdown reports whether the response that begins now is the last one of its session because the proxy shuts
// down. A pipelined request that was read already is still answered.
func (s *session) closesForShutdown() bool {
	return s.proxy.shutdown.active && len(s.socket.Bytes()) == 0
}

// closeListener closes the listener for clients.
func (p *Proxy) closeListener() {
	p.shutdown.listenerClosed = true
	p.front.Close()
	p.exitWhenDrained()
}

// exitWhenDrained has the loop stopped after the current event if nothing is in progress. It is called whenever something
// has ended.
func (p *Proxy) exitWhenDrained() {
	if p.shutdown.listenerClosed && p.openExchanges == 0 && p.sessions.count == 0 {
		p.loop.Defer(p.exitIfDrained)
	}
}

// exitIfDrained stops the loop if all responses were sent; otherwise the next sweep tries again. It may be due several times
// in one iteration.
func (p *Proxy) exitIfDrained() {
	isDrained := p.openExchanges == 0 && p.pending.session == nil && p.loop.Lingering() == 0
	if isDrained && !p.shutdown.ended {
		p.end()
	}
}
