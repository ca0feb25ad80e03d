package loadbalancer // The interface of this module is api.go; what it remembers is kept in state.go.

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// The constants are ratios; every time and amount derives from the settings or from what is seen.
const (
	seedMargin = capacity.InitialMargin
	learnRate  = capacity.LearningRate
	fleetRate  = 0.05 // the same for means over all workers, which get more samples
	othersRate = 0.2  // the same for the other balancers' jobs on a worker: reports are late and noisy
	staleAfter = 8.0  // report periods after which a report weighs half
	crowdShare = 0.6  // share of a report that many instances make untrue at once by acting on it
	peerFactor = capacity.PeerFactor
	fullShare  = 0.25 // share of the longest deadline that a worker which takes nothing is set aside at first
	coldTurn   = 0.4  // share of the cold budget for one turn: parts of two may fall into one fall time
	copyShare  = 0.10 // second copies for each first try: under overload copies feed the jam
	copyStock  = 30   // copies that all together may save up for one worker that stands: all see it at once
	waitShare  = 0.4  // part of a request's time that may pass before its start without a warning
	probeShare = 1.0  // probes for each first try
	sweepTicks = 2    // the monitoring period is at least this many ticks: cheap enough
	sweepShare = 0.1  // and this share of the tightest objective: early enough to act
	planReach  = 64   // workers planned for each period; a larger fleet as much less often: CPU is scarce
	firstGuess = 0.1  // share of its deadline that a job is taken to run before any has been seen
	widestJob  = 256  // slots of a job that count in the mean: one senseless value must not spoil it
	longWait   = 0.7  // share of the classes' mean slack that a job may wait; more where a late answer earns
	plainSlack = 7.0  // objectives of slack where settings do not tell how a class's aim grows with its work
	shortWait  = 0.2  // share of that within which a start elsewhere is worth going to
	tieWidth   = 0.3  // jobs: workers that tell nothing and differ by less are about alike
	viewLeast  = 6    // workers in the own zone, and beyond it, that are in sight at least: can be kept fresh
	pruneAfter = 4.0  // longest deadlines after which a worker that has left is forgotten
)

// sweepToken is the timer of the sweep; a request's own timer bears its id.
const sweepToken = math.MaxUint32

// Start begins a life; the list comes as a list event of its own.
func (b *Balancer) Start(now float64) {
	b.askEvery, b.lastAsk = b.ListRefreshInterval/8, now
	if b.ListOnRequest {
		b.act.Watch(true)
	}
	b.act.SetTimer(sweepToken, now+b.sweep)
}

// HandleTimer runs the sweep: the plan of the period, held and overdue requests, copies, the list, probes.
func (b *Balancer) HandleTimer(now float64, token uint32) {
	if r := b.requests[RequestID(token)]; r != nil && now >= r.Deadline-2*b.Tick {
		b.answer(now, r)
	}
	if token != sweepToken || now < b.sweepAt-b.Tick/2 { // clocks are rounded
		return
	}
	b.sweepAt = now + b.sweep
	b.act.SetTimer(sweepToken, b.sweepAt)
	if now >= b.viewAt+b.recover/8 {
		b.view(now)
	}
	if now >= b.planAt+b.sweep*math.Floor(float64(len(b.workers))/planReach) {
		b.rebuild(now)
	}
	for i := len(b.open) - 1; i >= 0; i-- {
		r := b.open[i]
		switch {
		case now >= r.Deadline-2*b.Tick:
			b.answer(now, r)
		case r.flying == 0:
			b.try(now, r)
		case r.flying == 1:
			b.hedge(now, r)
		}
	}
	b.keepList(now)
	b.probe(now)
}
