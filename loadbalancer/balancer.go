package loadbalancer // The API is in api.go, the settings are in settings.go, the state is in state.go.

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// The constants are ratios; every time and amount derives from the settings or from what is observed.
const (
	initialMargin         = capacity.InitialMargin
	learningRate          = capacity.LearningRate
	clusterLearningRate   = 0.05 // rate of means over all workers, which get more samples
	otherJobsRate         = 0.2  // rate of the other instances' jobs on a worker: reports are late and noisy
	staleAfter            = 8.0  // report periods after which a report weighs half
	crowdShare            = 0.6  // share of a report that many instances make untrue at once by acting on it
	peerFactor            = capacity.PeerFactor
	rejectedEjectionShare = 0.25 // share of the longest deadline: first ejection of a worker that rejects
	slowStartTurnShare    = 0.4  // share of the slow start budget for a turn: a window may see parts of two
	hedgeShare            = 0.10 // hedged requests for each arrival: under overload they feed it
	hedgeStock            = 30   // hedged requests that all instances may save up: all see a fault at once
	lateStartShare        = 0.4  // share of a request's time after which a start is a sign of overload
	probeShare            = 1.0  // probes for each arrival
	sweepTicks            = 2    // the monitoring period is at least this many ticks: cheap enough
	sweepShare            = 0.1  // and this share of the tightest objective: early enough to act
	workersPerPlan        = 64   // workers planned in each period; a larger cluster less often: CPU is scarce
	initialWorkShare      = 0.1  // share of its deadline that a job is assumed to run before any ended
	maxJobSlots           = 256  // slots of a job that count in the mean: one wrong value must not spoil it
	maxWaitShare          = 0.7  // share of the classes' mean slack that a job may wait
	defaultSlack          = 7.0  // objectives of slack of a class whose settings have no Stretch
	shortWaitShare        = 0.2  // share of that wait within which a start elsewhere is worth a send
	tieWidth              = 0.3  // jobs: workers without reports that differ by less are about alike
	minViewWidth          = 6    // workers in view in the own zone, and beyond it, at least
	viewsPerRecovery      = 8    // choices of the view in a recovery time
	failingEjection       = 8    // tightest objectives for which a failing worker is ejected first
	answerTicks           = 2    // ticks before its deadline at which a request is answered
	distanceSteps         = 8    // steps of latency in the tightest objective that tell zones apart
	watchesPerRefresh     = 8    // watches tried within ListRefreshInterval at first
	pruneAfter            = 4.0  // longest deadlines after which a departed worker is dropped
)

// sweepToken is the timer of the sweep; a request's own timer has its id.
const sweepToken = math.MaxUint32

// Start begins; the list comes as a list event of its own. Call it once, before any other event.
func (b *Balancer) Start(now float64) {
	b.watchInterval = b.ListRefreshInterval / watchesPerRefresh
	b.lastWatchAt = now
	if b.ListOnRequest {
		b.actions.Watch(true)
	}
	b.actions.SetTimer(sweepToken, now+b.sweepInterval)
}

// HandleTimer handles a timer that was set: a request's own, or that of the sweep.
func (b *Balancer) HandleTimer(now float64, token uint32) {
	if request := b.requests[RequestID(token)]; request != nil && b.isDue(now, request) {
		b.answerWithoutWorker(now, request)
	}
	clockTolerance := b.Tick / 2 // clocks are rounded
	if token == sweepToken && now >= b.nextSweepAt-clockTolerance {
		b.sweep(now)
	}
}

// isDue reports whether the request must be answered now, to be in time for its deadline.
func (b *Balancer) isDue(now float64, request *requestState) bool {
	return now >= request.Deadline-answerTicks*b.Tick
}

// sweep does the work of a monitoring period: it rebuilds the plan, and handles requests that wait or are
// overdue, hedging, the list and probes.
func (b *Balancer) sweep(now float64) {
	b.nextSweepAt = now + b.sweepInterval
	b.actions.SetTimer(sweepToken, b.nextSweepAt)
	if now >= b.viewChosenAt+b.recoveryTime/viewsPerRecovery {
		b.chooseView(now)
	}
	planInterval := b.sweepInterval * math.Floor(float64(len(b.workers))/workersPerPlan)
	if now >= b.plannedAt+planInterval {
		b.rebuildPlan(now)
	}
	b.sweepUnanswered(now)
	b.renewWatch(now)
	b.sendProbes(now)
}

// sweepUnanswered handles the requests without an answer, from the last one on: handling one may remove it.
func (b *Balancer) sweepUnanswered(now float64) {
	for i := len(b.unanswered) - 1; i >= 0; i-- {
		request := b.unanswered[i]
		switch {
		case b.isDue(now, request):
			b.answerWithoutWorker(now, request)
		case request.inFlight == 0:
			b.attemptNext(now, request)
		case request.inFlight == 1:
			b.hedge(now, request)
		}
	}
}
