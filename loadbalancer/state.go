package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// Balancer holds the decisions of one dispatcher.
type Balancer struct {
	Settings
	actions Actions
	random  capacity.Random

	sweepInterval     float64 // monitoring period
	nextSweepAt       float64
	plannedAt         float64 // when the plan was last rebuilt
	tightestObjective float64 // of all classes
	recoveryTime      float64 // time constant in which limits recover: the longest deadline
	maxWait           float64 // a job that would wait longer is rejected

	workers      []*workerState
	workersByID  map[WorkerID]*workerState
	kinds        map[int]*machineKind
	requests     map[RequestID]*requestState
	unanswered   []*requestState              // in no particular order
	freeRequests []*requestState              // for reuse
	restored     map[WorkerID]*WorkerSnapshot // by a snapshot, until the list names the worker

	meanWork       []float64 // by class: hinted work, or running time without hints
	zoneLatencies  []float64 // by zone: shortest time to a job's start seen; 0: none yet
	meanPace       float64   // of the workers
	meanRunTime    float64   // of jobs
	meanErrorRate  float64   // of the ready workers whose attempts have ended
	meanWeight     float64   // of the workers in the list
	minSlots       float64   // fewest slots of any worker
	meanSlots      float64   // of the workers
	totalSlots     float64   // of all ready workers, as far as they are warm
	slotsPerJob    float64   // mean
	reportPeriod   float64   // mean time between new reports of a worker
	meanOwnSlots   float64   // slots of own jobs in flight, mean over recoveryTime
	recentOwnSlots float64   // the same, mean over meanRunTime

	hedgeBudget    float64 // hedged requests that may still be sent
	maxHedgeBudget float64
	probeBudget    float64 // probes that may still be sent
	arrivals       float64 // since viewChosenAt
	viewChosenAt   float64

	watching      bool    // the watch of the worker list is established
	watchInterval float64 // between two attempts to watch
	lastWatchAt   float64

	budgetShare         float64  // share of slow start budgets that this instance may use
	instanceKeys        []uint64 // of all instances; nil: Instance and Instances alone order them
	instanceKeysVersion uint64   // counts the changes of instanceKeys
}

// New checks the settings and returns a Balancer that knows nothing yet. The seed decides how ties are
// broken.
func New(settings Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		Settings:          settings,
		actions:           actions,
		random:            capacity.Random(seed),
		workersByID:       map[WorkerID]*workerState{},
		kinds:             map[int]*machineKind{},
		requests:          map[RequestID]*requestState{},
		meanWork:          make([]float64, len(settings.Classes)),
		zoneLatencies:     make([]float64, settings.Zones),
		tightestObjective: math.Inf(1),
		meanPace:          1,
		slotsPerJob:       1,
		minSlots:          1,
		meanSlots:         1,
		maxHedgeBudget:    maxHedges(settings.Instances),
		budgetShare:       1,
	}
	b.hedgeBudget = b.maxHedgeBudget / 2
	for i := range settings.Classes {
		b.tightestObjective = math.Min(b.tightestObjective, settings.Classes[i].Objective)
		b.recoveryTime = math.Max(b.recoveryTime, settings.Classes[i].Deadline)
		b.meanWork[i] = initialWorkShare * settings.Classes[i].Deadline
	}
	b.sweepInterval = math.Max(sweepTicks*settings.Tick, b.tightestObjective*sweepShare)
	b.reportPeriod = 2 * b.tightestObjective // until reports show the real one
	return b, nil
}
