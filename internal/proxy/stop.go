package proxy

import (
	"time"

	"cinderroad/internal/transport"
)

const (
	idleSweepAfter = 1500 * time.Millisecond // the directory's answers have moved on by then
	sweepEvery     = 50 * time.Millisecond
	listenShare    = 0.5                    // of the grace period that the listener stays open
	lastMargin     = 500 * time.Millisecond // of the grace period that is left when the process ends
	defaultGrace   = 8 * time.Second
)

// stopping is what a proxy that was told to stop does in turn.
type stopping struct {
	on       bool
	began    time.Duration
	shut     bool // the listener is closed
	deadline *transport.Deadline
}

// Stop has the proxy serve on what comes, send its clients away and end once all answers are whole, before the grace
// period is over. The loop ends then.
func (p *Proxy) Stop() {
	if p.stopping.on {
		return
	}
	p.stopping.on = true
	p.stopping.began = p.now()
	p.log.Info("told to stop")
	p.tellAgent(p.placer.Learnt())
	grace := p.options.GracePeriod
	if grace <= 0 {
		grace = defaultGrace
	}
	p.at(p.now()+min(idleSweepAfter, grace/4), p.sweep)
	p.at(p.now()+time.Duration(float64(grace)*listenShare), p.shut)
	p.stopping.deadline = p.at(p.now()+max(grace-lastMargin, grace/2), p.loop.Stop)
}

// sweep closes sessions that rest, and goes on doing so.
func (p *Proxy) sweep() {
	for s := p.sessions.first; s != nil; {
		next := s.next
		if s.idle() && s.conn.Alive() {
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

func (p *Proxy) exchangeEnded() { p.endWhenDone() }
func (p *Proxy) sessionLeft()   {}

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
