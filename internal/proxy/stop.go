package proxy

import "time"

const (
	idleSweepAfter = 1500 * time.Millisecond // the directory's answers have moved on by then
	sweepEvery     = 50 * time.Millisecond
	freshGrace     = 300 * time.Millisecond // in which the first request of a new connection may be on its way
	listenShare    = 0.5                    // of the grace period that the listener stays open
	lastMargin     = 500 * time.Millisecond // of the grace period that is left when the process ends
	defaultGrace   = 8 * time.Second
)

// stopPlan says when a proxy that was told to stop does what, counted from then.
type stopPlan struct {
	sweep time.Duration // clients that rest are sent away from then on
	shut  time.Duration // the listener is closed; the process ends once nobody waits for anything
	last  time.Duration // the process ends, whatever it has left
}

// planStop divides the grace period, from the signal to stop until the process is killed.
func planStop(grace time.Duration) stopPlan {
	if grace <= 0 {
		grace = defaultGrace
	}
	return stopPlan{
		sweep: min(idleSweepAfter, grace/4),
		shut:  time.Duration(float64(grace) * listenShare),
		last:  max(grace-lastMargin, grace/2),
	}
}

// stopping is where a proxy that was told to stop stands.
type stopping struct {
	plan stopPlan
	on   bool
	shut bool // the listener is closed
}

// Stop has the proxy serve on what comes, send its clients away and end once all answers are whole, before the grace
// period is over. The loop ends then.
func (p *Proxy) Stop() {
	if p.stopping.on {
		return
	}
	p.stopping.on = true
	p.log.Info("told to stop")
	p.tellAgent(p.placer.Learnt())
	now, plan := p.now(), p.stopping.plan
	p.at(now+plan.sweep, p.sweep)
	p.at(now+plan.shut, p.shut)
	p.at(now+plan.last, p.loop.Stop)
}

// sweep closes sessions that rest, and goes on doing so.
func (p *Proxy) sweep() {
	for s := p.sessions.first; s != nil; {
		next := s.next
		if s.idle() && (s.carried || p.now() > s.entered+freshGrace) && s.conn.Alive() {
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
		p.loop.Later(p.endNow)
	}
}

// endNow ends the loop if all answers have gone out, or has a look again with the next sweep.
func (p *Proxy) endNow() {
	if p.exchanges == 0 && p.pending.session == nil && p.loop.Lingering() == 0 {
		p.loop.Stop()
	}
}
