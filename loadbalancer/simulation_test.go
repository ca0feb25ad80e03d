package loadbalancer

import (
	"math"
	"math/rand/v2"

	"cinderroad/internal/testkit/eventqueue"
)

// simulation runs a small cluster in virtual time: clients, instances that share nothing, workers with cores and a queue. It omits
// what a deployment's settings omit, so that the same decisions can be measured on all deployments beside a simple baseline.
type simulation struct {
	plan         simulationPlan
	now          float64
	events       eventqueue.Queue
	random       *rand.Rand
	workers      []*simWorker
	instances    []*simInstance
	nextID       RequestID
	offeredValue []float64 // of all requests, by class
	earnedValue  []float64
	rejected     int
	failed       int
	late         int
	requests     int
	breach       []string
}

// simulationPlan describes a deployment; times are in seconds.
type simulationPlan struct {
	settings     Settings
	load         float64 // work of the arriving jobs, as a share of what the workers can do when warm
	swing        float64 // the load rises and falls by this share, over the day
	surge        float64 // and is so many times as much from a third to a half of the day
	work         []float64
	variation    []float64
	share        []float64
	hints        bool
	kinds        []simKind
	workers      int
	instances    int
	length       float64
	uneven       bool    // every sixth instance gets five times as much as the others
	skew         float64 // share of all traffic that zone 0 has beyond its part
	zoneLatency  float64 // one way within a zone
	crossLatency float64
	reportAge    float64
	weights      bool
	retries      float64 // mean retries of a client after a rejection
	slowdown     float64 // from a third of the day on, one worker in six runs so many times slower
	restarts     bool    // a third of the workers restart at half of the day
}

type simKind struct {
	share, speed float64
	cores, queue int
}

// simWorker runs as many jobs as it has cores, in order, and rejects jobs beyond its queue's length.
type simWorker struct {
	Worker
	speed   float64
	cores   int
	queue   int
	running []*simAttempt
	waiting []*simAttempt
	reports []timedReport
}

type timedReport struct {
	at     float64
	fields []float32
}

type simAttempt struct {
	instance *simInstance
	request  *simRequest
	attempt  int
	worker   *simWorker
	ended    bool // its outcome has been delivered
	started  bool
}

// simRequest is one request of a client.
type simRequest struct {
	id       RequestID
	class    int
	work     float64
	firstAt  float64 // when the client sent it for the first time
	deadline float64
	retries  float64 // retries that the client may still make
	attempts []*simAttempt
	answered bool
	inFlight int
}

// simInstance is one dispatcher.
type simInstance struct {
	sim      *simulation
	number   int
	decider  decider
	requests map[RequestID]*simRequest
	settings Settings
}

// decider is a Balancer, or the baseline that it is measured against.
type decider interface {
	Start(now float64)
	HandleTimer(now float64, token uint32)
	HandleRequest(now float64, q *Request)
	HandleProgress(now float64, n *ProgressUpdate)
	HandleOutcome(now float64, o *Outcome)
	UpdateWorkers(now float64, kind ListKind, entries []Worker)
	HandleProbeResult(now float64, id WorkerID, result Result, report []float32)
	HandleDisconnect(now float64, id RequestID)
}

func (sim *simulation) at(at float64, do func()) { sim.events.Schedule(max(at, sim.now), do) }

// newSimulation draws the arrivals and workers. The same plan and seed draw the same ones for any decider.
func newSimulation(plan simulationPlan, seed uint64, decide func(s Settings, seed uint64, act Actions) decider) *simulation {
	classes := len(plan.settings.Classes)
	sim := &simulation{
		plan:         plan,
		now:          1000,
		random:       rand.New(rand.NewPCG(seed, 7)),
		offeredValue: make([]float64, classes),
		earnedValue:  make([]float64, classes),
	}
	day := rand.New(rand.NewPCG(seed, 1))
	power := sim.drawWorkers(day)
	sim.startInstances(seed, decide)
	sim.drawArrivals(day, power)
	sim.scheduleFaults()
	return sim
}

// drawWorkers draws the workers and returns how much work all of them do in a second.
func (sim *simulation) drawWorkers(day *rand.Rand) (power float64) {
	plan := &sim.plan
	for i := range plan.workers {
		machine := plan.kinds[0]
		kind := 0
		for mark, sum := (float64(i)+0.5)/float64(plan.workers), 0.0; kind < len(plan.kinds); kind++ {
			machine = plan.kinds[kind]
			if mark < sum+machine.share {
				break
			}
			sum += machine.share
		}
		worker := &simWorker{speed: machine.speed * math.Exp(0.12*day.NormFloat64()), cores: machine.cores, queue: machine.queue}
		worker.Worker = Worker{ID: WorkerID(1 + i), Zone: i % plan.settings.Zones, Kind: kind, Cell: i / 6, State: Ready, Weight: 1}
		if plan.weights {
			worker.Weight = worker.speed * float64(worker.cores) * math.Exp(0.2*day.NormFloat64())
		}
		power += worker.speed * float64(worker.cores)
		sim.workers = append(sim.workers, worker)
	}
	return power
}

// startInstances makes the instances and schedules their start.
func (sim *simulation) startInstances(seed uint64, decide func(s Settings, seed uint64, act Actions) decider) {
	plan := &sim.plan
	for me := range plan.instances {
		instance := &simInstance{sim: sim, number: me, requests: map[RequestID]*simRequest{}, settings: plan.settings}
		instance.settings.Instances = plan.instances
		instance.settings.Instance = me
		instance.settings.Zone = me % plan.settings.Zones
		instance.decider = decide(instance.settings, uint64(me)+100*seed, instance)
		sim.instances = append(sim.instances, instance)
		sim.at(sim.now, func() {
			instance.decider.Start(sim.now)
			instance.decider.UpdateWorkers(sim.now, ListFull, sim.list())
		})
	}
}

// drawArrivals draws and schedules all arrivals, for workers of a power.
func (sim *simulation) drawArrivals(day *rand.Rand, power float64) {
	plan, classes := &sim.plan, len(sim.plan.settings.Classes)
	mean := 0.0
	for c, share := range plan.share {
		mean += share * plan.work[c]
	}
	rate := plan.load * power / mean
	start := sim.now
	for t := start; ; {
		t += day.ExpFloat64() / (rate * (1 + plan.swing) * max(plan.surge, 1))
		if t > start+plan.length {
			break
		}
		part := (t - start) / plan.length
		now := 1 + plan.swing*math.Sin(2*math.Pi*part)
		if plan.surge > 0 && part > 0.33 && part < 0.5 {
			now *= plan.surge
		}
		if day.Float64() > now/((1+plan.swing)*max(plan.surge, 1)) {
			continue
		}
		c, pick := 0, day.Float64()
		for ; c < classes-1 && pick > plan.share[c]; c++ {
			pick -= plan.share[c]
		}
		work := plan.work[c]
		if cv := plan.variation[c]; cv > 0 {
			sigma := math.Sqrt(math.Log(1 + cv*cv))
			work *= math.Exp(sigma*day.NormFloat64() - sigma*sigma/2)
		}
		me := day.IntN(plan.instances)
		if plan.uneven && day.Float64() < 0.4 {
			me -= me % 6
		}
		if day.Float64() < plan.skew {
			me = 0
		}
		again := 0.0
		if day.Float64() < plan.retries {
			again = 1
		}
		sim.at(t, func() { sim.arrive(sim.instances[me], c, work, sim.now, again, true) })
	}
}

// scheduleFaults schedules slow workers and restarts.
func (sim *simulation) scheduleFaults() {
	plan, start := &sim.plan, sim.now
	if plan.slowdown > 0 {
		sim.at(start+plan.length/3, func() {
			for i := 0; i < len(sim.workers); i += 6 {
				sim.workers[i].speed /= plan.slowdown
			}
		})
	}
	if plan.restarts {
		sim.at(start+plan.length/2, func() {
			for i := 0; i < len(sim.workers); i += 3 {
				sim.workers[i].StartedAt = sim.now
				for _, x := range append(append([]*simAttempt(nil), sim.workers[i].running...), sim.workers[i].waiting...) {
					sim.end(x, Reset, nil)
				}
				sim.workers[i].running = nil
				sim.workers[i].waiting = nil
			}
			for _, instance := range sim.instances {
				instance.decider.UpdateWorkers(sim.now, ListFull, sim.list())
			}
		})
	}
}

func (sim *simulation) list() (entries []Worker) {
	for _, worker := range sim.workers {
		entries = append(entries, worker.Worker)
	}
	return entries
}

func (sim *simulation) arrive(instance *simInstance, class int, work, first, again float64, fresh bool) {
	c := &sim.plan.settings.Classes[class]
	sim.nextID++
	request := &simRequest{id: sim.nextID, class: class, work: work, firstAt: first, deadline: first + c.Deadline, retries: again}
	if fresh {
		sim.offeredValue[class] += c.Value * work
		sim.requests++
	}
	instance.requests[request.id] = request
	r := &Request{ID: request.id, Class: class, Slots: 1, Deadline: request.deadline}
	if sim.plan.hints {
		r.Work = work * math.Exp(0.2*sim.random.NormFloat64())
	}
	instance.decider.HandleRequest(sim.now, r)
}

// latency is the one-way latency between an instance and a worker.
func (sim *simulation) latency(instance *simInstance, worker *simWorker) float64 {
	if instance.settings.Zone == worker.Zone {
		return sim.plan.zoneLatency
	}
	return sim.plan.crossLatency
}

func (instance *simInstance) Send(id RequestID, worker WorkerID, timeout float64) {
	sim, request := instance.sim, instance.requests[id]
	if request == nil || request.answered {
		sim.breach = append(sim.breach, "sent what is answered")
		return
	}
	target := sim.workers[worker-1]
	pending := &simAttempt{instance: instance, request: request, attempt: len(request.attempts), worker: target}
	c := &sim.plan.settings.Classes[request.class]
	for _, y := range request.attempts {
		if !y.ended && !instance.settings.ParallelAttempts || y.started && c.RetrySafety == RetryUnsafe {
			sim.breach = append(sim.breach, "a second attempt that is not allowed")
		}
	}
	request.attempts = append(request.attempts, pending)
	request.inFlight++
	sim.at(sim.now+sim.latency(instance, target), func() { sim.take(pending) })
	sim.at(request.deadline, func() { sim.end(pending, Timeout, nil) })
}

func (sim *simulation) take(attempt *simAttempt) {
	worker := attempt.worker
	switch {
	case attempt.ended:
	case worker.State != Ready || len(worker.waiting) >= worker.queue:
		sim.end(attempt, Rejected, sim.report(worker))
	default:
		worker.waiting = append(worker.waiting, attempt)
		sim.serve(worker)
	}
}

func (sim *simulation) serve(worker *simWorker) {
	for len(worker.running) < worker.cores && len(worker.waiting) > 0 {
		attempt := worker.waiting[0]
		worker.waiting = worker.waiting[1:]
		worker.running = append(worker.running, attempt)
		attempt.started = true
		warm := 1.0
		settings := &sim.plan.settings
		if worker.StartedAt > 0 && sim.now < worker.StartedAt+settings.SlowStartDuration {
			initial := settings.SlowStartInitialShare
			warm = initial + (1-initial)*(sim.now-worker.StartedAt)/settings.SlowStartDuration
		}
		startedAt := worker.StartedAt
		sim.at(sim.now+attempt.request.work/(worker.speed*warm), func() {
			if worker.StartedAt != startedAt {
				return
			}
			for i, other := range worker.running {
				if other == attempt {
					worker.running = append(worker.running[:i], worker.running[i+1:]...)
					break
				}
			}
			report := sim.report(worker)
			sim.at(sim.now+sim.latency(attempt.instance, worker), func() { sim.end(attempt, OK, report) })
			sim.serve(worker)
		})
		if attempt.instance.settings.ReportsStart {
			sim.at(sim.now+sim.latency(attempt.instance, worker), func() {
				if !attempt.ended {
					attempt.instance.decider.HandleProgress(sim.now, &ProgressUpdate{
						Request: attempt.request.id,
						Attempt: attempt.attempt,
						Started: true,
					})
				}
			})
		}
	}
	worker.reports = append(worker.reports, timedReport{sim.now, sim.fields(worker)})
}

func (sim *simulation) fields(worker *simWorker) (fields []float32) {
	for _, f := range sim.plan.settings.ReportFields {
		v := 0.0
		switch f {
		case FieldInFlight:
			v = float64(len(worker.running) + len(worker.waiting))
		case FieldUtilization:
			v = float64(len(worker.running)) / float64(worker.cores)
		case FieldQueued:
			v = float64(len(worker.waiting))
		case FieldFreeSlots:
			v = float64(worker.cores - len(worker.running))
		}
		fields = append(fields, float32(v))
	}
	return fields
}

// report is the delayed load report of the worker.
func (sim *simulation) report(worker *simWorker) (fields []float32) {
	if len(sim.plan.settings.ReportFields) == 0 || sim.plan.settings.ReportsByProbe {
		return nil
	}
	return sim.aged(worker)
}

func (sim *simulation) aged(worker *simWorker) (fields []float32) {
	for i, r := range worker.reports {
		if r.at > sim.now-sim.plan.reportAge {
			worker.reports = worker.reports[max(i-1, 0):]
			break
		}
		fields = r.fields
	}
	return fields
}

// end delivers the outcome of an attempt, once.
func (sim *simulation) end(attempt *simAttempt, result Result, report []float32) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.request.inFlight--
	for i, other := range attempt.worker.waiting { // a client that disconnects leaves the queue
		if other == attempt {
			attempt.worker.waiting = append(attempt.worker.waiting[:i:i], attempt.worker.waiting[i+1:]...)
			break
		}
	}
	request := attempt.request
	if result == OK && !request.answered {
		request.answered = true
		class := &sim.plan.settings.Classes[request.class]
		switch took := sim.now - request.firstAt; {
		case took <= math.Min(class.Objective+class.Stretch*request.work, class.Deadline):
			sim.earnedValue[request.class] += class.Value * request.work
		case took <= class.Deadline:
			sim.earnedValue[request.class] += class.Value * request.work * class.LateValueShare
			sim.late++
		}
	}
	attempt.instance.decider.HandleOutcome(sim.now, &Outcome{
		Request:        request.id,
		Attempt:        attempt.attempt,
		Worker:         attempt.worker.ID,
		Result:         result,
		ClientAnswered: request.answered,
		Report:         report,
	})
}

// retry has the client retry, if it has time left.
func (instance *simInstance) retry(request *simRequest, wait float64) {
	sim := instance.sim
	pause := math.Max(0.05, math.Min(wait, 2)*float64(sim.random.IntN(2)))
	if request.retries >= 1 && sim.now+pause < request.deadline {
		at := sim.instances[sim.random.IntN(len(sim.instances))]
		sim.at(sim.now+pause, func() { sim.arrive(at, request.class, request.work, request.firstAt, request.retries-1, false) })
	}
}

func (instance *simInstance) Reject(id RequestID, wait float64) {
	if request := instance.requests[id]; request != nil && !request.answered {
		request.answered = true
		instance.sim.rejected++
		instance.retry(request, wait)
	}
}

func (instance *simInstance) Fail(id RequestID) {
	if request := instance.requests[id]; request != nil && !request.answered {
		request.answered = true
		instance.sim.failed++
		if instance.sim.plan.settings.Classes[request.class].RetrySafety == RetrySafe {
			instance.retry(request, 0)
		}
	}
}

func (instance *simInstance) Cancel(id RequestID, attempt int) {
	pending := instance.requests[id].attempts[attempt]
	instance.sim.at(instance.sim.now, func() { instance.sim.end(pending, Cancelled, nil) })
}

func (instance *simInstance) Probe(worker WorkerID) {
	sim, target := instance.sim, instance.sim.workers[worker-1]
	sim.at(sim.now+2*sim.latency(instance, target), func() { instance.decider.HandleProbeResult(sim.now, worker, OK, sim.aged(target)) })
}

func (instance *simInstance) SetTimer(token uint32, at float64) {
	instance.sim.at(math.Max(at, instance.sim.now+instance.settings.Tick), func() { instance.decider.HandleTimer(instance.sim.now, token) })
}
func (instance *simInstance) Watch(on bool) {
	if on {
		instance.sim.at(instance.sim.now+0.01, func() { instance.decider.UpdateWorkers(instance.sim.now, ListFull, instance.sim.list()) })
	}
}
func (instance *simInstance) Fetch()     { instance.Watch(true) }
func (instance *simInstance) Log(string) {}

// run plays all events and returns the share of the value that was earned, in all and by class.
func (sim *simulation) run() (share float64, byClass []float64) {
	for {
		at, do, pending := sim.events.PopUntil(1000 + sim.plan.length + 60)
		if !pending {
			break
		}
		sim.now = at
		do()
	}
	offered, earned := 0.0, 0.0
	for c := range sim.offeredValue {
		offered += sim.offeredValue[c]
		earned += sim.earnedValue[c]
		byClass = append(byClass, sim.earnedValue[c]/math.Max(sim.offeredValue[c], math.SmallestNonzeroFloat32))
	}
	return earned / offered, byClass
}

// baseline sends to the worker with the fewest own jobs in the nearest zone, and elsewhere if it is rejected.
type baseline struct {
	settings Settings
	actions  Actions
	random   *rand.Rand
	workers  map[WorkerID]Worker
	ids      []WorkerID
	jobs     map[WorkerID]int
	requests map[RequestID]*baselineRequest
}

type baselineRequest struct {
	Request
	tried []WorkerID
}

func newBaseline(s Settings, seed uint64, act Actions) decider {
	return &baseline{
		settings: s,
		actions:  act,
		random:   rand.New(rand.NewPCG(seed, 3)),
		workers:  map[WorkerID]Worker{},
		jobs:     map[WorkerID]int{},
		requests: map[RequestID]*baselineRequest{},
	}
}

func (b *baseline) Start(now float64) {
	if b.settings.ListOnRequest {
		b.actions.Watch(true)
	}
}
func (b *baseline) HandleTimer(now float64, token uint32)                            {}
func (b *baseline) HandleProgress(now float64, n *ProgressUpdate)                    {}
func (b *baseline) HandleProbeResult(now float64, _ WorkerID, _ Result, _ []float32) {}
func (b *baseline) HandleDisconnect(now float64, id RequestID)                       { delete(b.requests, id) }
func (b *baseline) UpdateWorkers(now float64, kind ListKind, entries []Worker) {
	if kind != ListDelta {
		b.ids = b.ids[:0]
	}
	for _, entry := range entries {
		b.ids = append(b.ids, entry.ID)
		b.workers[entry.ID] = entry
	}
}

func (b *baseline) HandleRequest(now float64, arrival *Request) {
	request := &baselineRequest{Request: *arrival}
	b.requests[arrival.ID] = request
	b.attempt(request)
}

func (b *baseline) attempt(request *baselineRequest) {
	class := &b.settings.Classes[request.Class]
	var best *Worker
	score, ties := 0.0, 0
	for _, id := range b.ids {
		worker := b.workers[id]
		if worker.State != Ready || class.Kind >= 0 && worker.Kind != class.Kind {
			continue
		}
		cost := float64(b.jobs[id])
		if worker.Zone != b.settings.Zone {
			cost += 1e3
		}
		for _, tried := range request.tried {
			if tried == id {
				cost += 1e6
			}
		}
		if best == nil || cost < score {
			best = &worker
			score = cost
			ties = 1
		} else if cost == score {
			ties++
			if b.random.IntN(ties) == 0 {
				best = &worker
			}
		}
	}
	if best == nil || len(request.tried) >= b.settings.MaxAttempts {
		b.actions.Reject(request.ID, 0)
		delete(b.requests, request.ID)
		return
	}
	request.tried = append(request.tried, best.ID)
	b.jobs[best.ID]++
	b.actions.Send(request.ID, best.ID, 0)
}

func (b *baseline) HandleOutcome(now float64, outcome *Outcome) {
	b.jobs[outcome.Worker]--
	request := b.requests[outcome.Request]
	if request == nil || outcome.ClientAnswered {
		delete(b.requests, outcome.Request)
		return
	}
	neverRan := outcome.Result == Rejected || outcome.Result == ConnectFailed
	mayRetry := neverRan || b.settings.Classes[request.Class].RetrySafety == RetrySafe
	if now < request.Deadline && mayRetry {
		b.attempt(request)
		return
	}
	b.actions.Fail(outcome.Request)
	delete(b.requests, outcome.Request)
}
