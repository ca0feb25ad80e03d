package proxy

import (
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/placement"
)

const (
	sweepEvery     = 50 * time.Millisecond
	freshGrace     = 300 * time.Millisecond // in which the first request of a new connection may be on its way
	mostCutsLogged = 20
)

// stopping is where a proxy that was told to stop stands.
type stopping struct {
	plan stopPlan
	on   bool
	at   time.Duration // when the signal came
	shut bool          // the listener is closed
}

// elapsed is the time since the signal to stop; 0 where none came.
func (s *stopping) elapsed(now time.Duration) time.Duration {
	if !s.on {
		return 0
	}
	return now - s.at
}

// Stop has the proxy serve on what comes, send its clients away and end once all answers are whole, before the grace
// period is over. The loop ends then.
func (p *Proxy) Stop() {
	if p.stopping.on {
		return
	}
	p.stopping.on, p.stopping.at = true, p.now()
	p.log.Info("told to stop", zap.Int("exchanges", p.exchanges), zap.Int("sessions", p.sessions.open),
		zap.Uint64("requests", p.Figures.Requests), zap.Uint64("served", p.Figures.Served),
		zap.Uint64("refused", p.Figures.Refused), zap.Uint64("failed", p.Figures.Failed))
	p.tellAgent(p.placer.Snapshot())
	now, plan := p.now(), p.stopping.plan
	p.at(now+plan.sweep, p.sweep)
	p.at(now+plan.shut, p.shut)
	p.at(now+plan.last, p.answerAll)
	p.at(now+plan.end, p.cutOff)
}

// outlastsProxy says whether a request that is whole now may need the proxy for longer than it lives.
func (p *Proxy) outlastsProxy(r *placement.Request) bool {
	s := &p.stopping
	return s.on && !s.plan.takes(p.now()-s.at, r.Deadline-s.at)
}

// answerAll ends all requests that have no answer yet, just before the process ends. Each is told whether it may have
// run.
func (p *Proxy) answerAll() {
	for s := p.sessions.first; s != nil; {
		next := s.next
		if x := s.exchange; x != nil && !x.answer.begun {
			p.noteCut(s)
			x.endUnanswered()
		}
		s = next
	}
}

// noteWhileStopping counts a request whose head has come, if the proxy was told to stop before.
func (p *Proxy) noteWhileStopping(s *session) {
	switch {
	case !p.stopping.on:
	case s.requests == 0:
		p.Figures.StoppingNew++
	default:
		p.Figures.StoppingKept++
	}
}

// cutOff ends the process, whatever is left.
func (p *Proxy) cutOff() {
	for s := p.sessions.first; s != nil; s = s.next {
		if s.exchange != nil {
			p.noteCut(s)
		}
	}
	p.flushPending()
	p.logStopped()
	p.loop.Stop()
}

// noteCut logs a request that the end of the process breaks off, with what tells why it was taken.
func (p *Proxy) noteCut(s *session) {
	x := s.exchange
	if p.Figures.StoppingCut++; p.Figures.StoppingCut > mostCutsLogged {
		return
	}
	fields := []zap.Field{zap.String("try", x.tryID), zap.Bool("answered", x.answer.begun), zap.Bool("may_have_run", x.request.MayHaveRun),
		zap.Duration("came_after_signal", x.request.ArrivedAt-p.stopping.at), zap.Duration("time_left", x.request.Deadline-p.now()),
		zap.Int("request_of_connection", s.requests), zap.Duration("connected_after_signal", s.entered-p.stopping.at)}
	if x.request.Route != nil {
		fields = append(fields, zap.String("route", x.request.Route.Name))
	}
	p.log.Warn("request cut by the end of the process", fields...)
}

func (p *Proxy) logStopped() {
	p.log.Info("stopped", zap.Duration("after_signal", p.stopping.elapsed(p.now())), zap.Uint64("cut", p.Figures.StoppingCut),
		zap.Uint64("turned_away", p.Figures.StoppingRefused),
		zap.Uint64("on_new_connections", p.Figures.StoppingNew), zap.Uint64("on_kept_connections", p.Figures.StoppingKept))
}

// sweep closes sessions that rest, and goes on doing so.
func (p *Proxy) sweep() {
	for s := p.sessions.first; s != nil; {
		next := s.next
		if s.idle() && (s.requests > 0 || p.now() > s.entered+freshGrace) && s.conn.Alive() {
			s.end()
		}
		s = next
	}
	p.endWhenDone()
	p.at(p.now()+sweepEvery, p.sweep)
}

// shut closes the listener.
func (p *Proxy) shut() {
	p.stopping.shut = true
	p.front.Close()
	p.endWhenDone()
}

// endWhenDone ends the process once nobody waits for anything.
func (p *Proxy) endWhenDone() {
	if p.stopping.shut && p.exchanges == 0 && p.sessions.open == 0 {
		p.loop.Defer(p.endNow)
	}
}

// endNow ends the loop if all answers have gone out, or has a look again with the next sweep.
func (p *Proxy) endNow() {
	if p.exchanges == 0 && p.pending.session == nil && p.loop.Lingering() == 0 {
		p.logStopped()
		p.loop.Stop()
	}
}
