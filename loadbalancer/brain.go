package loadbalancer // The interface of this module is api.go; what it remembers is kept in state.go.

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// The constants are ratios; every time and amount derives from the settings or from what is seen.
const (
	initialMargin         = capacity.InitialMargin
	learningRate          = capacity.LearningRate
	fleetLearningRate     = 0.05 // the same for means over all workers, which get more samples
	otherJobsRate         = 0.2  // the same for the other balancers' jobs on a worker: reports are late and noisy
	staleAfter            = 8.0  // report periods after which a report weighs half
	crowdShare            = 0.6  // share of a report that many instances make untrue at once by acting on it
	peerFactor            = capacity.PeerFactor
	rejectedEjectionShare = 0.25 // share of the longest deadline that a worker which takes nothing is set aside at first
	slowStartTurnShare    = 0.4  // share of the cold budget for one turn: parts of two may fall into one fall time
	hedgeShare            = 0.10 // second copies for each first try: under overload copies feed the jam
	hedgeStock            = 30   // copies that all together may save up for one worker that stands: all see it at once
	lateStartShare        = 0.4  // part of a request's time that may pass before its start without a warning
	probeShare            = 1.0  // probes for each first try
	sweepTicks            = 2    // the monitoring period is at least this many ticks: cheap enough
	sweepShare            = 0.1  // and this share of the tightest objective: early enough to act
	workersPerPlan        = 64   // workers planned for each period; a larger fleet as much less often: CPU is scarce
	initialWorkShare      = 0.1  // share of its deadline that a job is taken to run before any has been seen
	maxJobSlots           = 256  // slots of a job that count in the mean: one senseless value must not spoil it
	maxWaitShare          = 0.7  // share of the classes' mean slack that a job may wait; more where a late answer earns
	defaultSlack          = 7.0  // objectives of slack where settings do not tell how a class's aim grows with its work
	shortWaitShare        = 0.2  // share of that within which a start elsewhere is worth going to
	tieWidth              = 0.3  // jobs: workers that tell nothing and differ by less are about alike
	minViewWidth          = 6    // workers in the own zone, and beyond it, that are in sight at least: can be kept fresh
	pruneAfter            = 4.0  // longest deadlines after which a worker that has left is forgotten
)

// sweepToken is the timer of the sweep; a request's own timer bears its id.
const sweepToken = math.MaxUint32

// Start begins a life; the list comes as a list event of its own.
func (b *Balancer) Start(now float64) {
	b.watchInterval, b.lastWatchAt = b.ListRefreshInterval/8, now
	if b.ListOnRequest {
		b.actions.Watch(true)
	}
	b.actions.SetTimer(sweepToken, now+b.sweepInterval)
}

// HandleTimer runs the sweep: the plan of the period, held and overdue requests, copies, the list, probes.
func (b *Balancer) HandleTimer(now float64, token uint32) {
	if request := b.requests[RequestID(token)]; request != nil && now >= request.Deadline-2*b.Tick {
		b.answerWithoutWorker(now, request)
	}
	if token != sweepToken || now < b.nextSweepAt-b.Tick/2 { // clocks are rounded
		return
	}
	b.nextSweepAt = now + b.sweepInterval
	b.actions.SetTimer(sweepToken, b.nextSweepAt)
	if now >= b.viewChosenAt+b.recoveryTime/8 {
		b.chooseView(now)
	}
	if now >= b.plannedAt+b.sweepInterval*math.Floor(float64(len(b.workers))/workersPerPlan) {
		b.rebuildPlan(now)
	}
	for i := len(b.unanswered) - 1; i >= 0; i-- {
		request := b.unanswered[i]
		switch {
		case now >= request.Deadline-2*b.Tick:
			b.answerWithoutWorker(now, request)
		case request.inFlight == 0:
			b.attemptNext(now, request)
		case request.inFlight == 1:
			b.hedge(now, request)
		}
	}
	b.renewWatch(now)
	b.sendProbes(now)
}
