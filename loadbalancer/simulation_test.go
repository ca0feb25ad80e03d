package loadbalancer

import (
	"math"
	"math/rand/v2"

	"cinderroad/internal/testkit/eventqueue"
)

// simulation plays a small cluster over virtual time: clients, instances that share nothing, workers with cores and a queue. It omits
// what a deployment's settings omit, so that the same decisions can be measured on all deployments beside a simple baseline.
type simulation struct {
	plan      simulationPlan
	now       float64
	events    eventqueue.Queue
	random    *rand.Rand
	workers   []*simWorker
	instances []*simInstance
	nextID    RequestID
	value     []float64 // asked for, by class
	earned    []float64
	rejected  int
	failed    int
	late      int
	requests  int
	breach    []string
}

// simulationPlan describes a deployment; times are in seconds.
type simulationPlan struct {
	settings  Settings
	load      float64 // jobs' work asked for, as a share of what the workers can do when warm
	swing     float64 // the load rises and falls by this share, over the day
	surge     float64 // and is so many times as much from a third to a half of the day
	work      []float64
	cv        []float64
	share     []float64
	hints     bool
	kinds     []simKind
	workers   int
	instances int
	length    float64
	uneven    bool    // every sixth instance gets five times as much as the others
	skew      float64 // share of all traffic that zone 0 has beyond its part
	same      float64 // one way within a zone
	cross     float64
	reportAge float64
	weights   bool
	retries   float64 // mean retries of a client after a refusal
	slow      float64 // from a third of the day on, one worker in six runs so many times slower
	replace   bool    // a third of the workers start anew at half of the day
}

type simKind struct {
	share, speed float64
	cores, queue int
}

// simWorker runs as many jobs as it has cores, in order, and rejects what its queue does not hold.
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
	over     bool // its outcome has been told
	started  bool
}

// simRequest is one request of a client.
type simRequest struct {
	id       RequestID
	class    int
	work     float64
	firstAt  float64 // when the client asked for the first time
	deadline float64
	retries  float64 // retries the client has left
	attempts []*simAttempt
	done     bool
	out      int
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
	sim := &simulation{plan: plan, now: 1000, random: rand.New(rand.NewPCG(seed, 7)), value: make([]float64, classes), earned: make([]float64, classes)}
	day := rand.New(rand.NewPCG(seed, 1))
	power := 0.0
	for i := range plan.workers {
		machine := plan.kinds[0]
		kind := 0
		for mark, sum := (float64(i)+0.5)/float64(plan.workers), 0.0; kind < len(plan.kinds); kind++ {
			if machine = plan.kinds[kind]; mark < sum+machine.share {
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
	for me := range plan.instances {
		instance := &simInstance{sim: sim, number: me, requests: map[RequestID]*simRequest{}, settings: plan.settings}
		instance.settings.Instances, instance.settings.Instance, instance.settings.Zone = plan.instances, me, me%plan.settings.Zones
		instance.decider = decide(instance.settings, uint64(me)+100*seed, instance)
		sim.instances = append(sim.instances, instance)
		sim.at(sim.now, func() {
			instance.decider.Start(sim.now)
			instance.decider.UpdateWorkers(sim.now, ListFull, sim.list())
		})
	}
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
		if cv := plan.cv[c]; cv > 0 {
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
	if plan.slow > 0 {
		sim.at(start+plan.length/3, func() {
			for i := 0; i < len(sim.workers); i += 6 {
				sim.workers[i].speed /= plan.slow
			}
		})
	}
	if plan.replace {
		sim.at(start+plan.length/2, func() {
			for i := 0; i < len(sim.workers); i += 3 {
				sim.workers[i].StartedAt = sim.now
				for _, x := range append(append([]*simAttempt(nil), sim.workers[i].running...), sim.workers[i].waiting...) {
					sim.end(x, Reset, nil)
				}
				sim.workers[i].running, sim.workers[i].waiting = nil, nil
			}
			for _, instance := range sim.instances {
				instance.decider.UpdateWorkers(sim.now, ListFull, sim.list())
			}
		})
	}
	return sim
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
		sim.value[class] += c.Value * work
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
		return sim.plan.same
	}
	return sim.plan.cross
}

func (instance *simInstance) Send(id RequestID, worker WorkerID, timeout float64) {
	w, q := instance.sim, instance.requests[id]
	if q == nil || q.done {
		w.breach = append(w.breach, "sent what is answered")
		return
	}
	m := w.workers[worker-1]
	x := &simAttempt{instance: instance, request: q, attempt: len(q.attempts), worker: m}
	c := &w.plan.settings.Classes[q.class]
	for _, y := range q.attempts {
		if !y.over && !instance.settings.ParallelAttempts || y.started && c.RetrySafety == RetryUnsafe {
			w.breach = append(w.breach, "a second attempt that is not allowed")
		}
	}
	q.attempts = append(q.attempts, x)
	q.out++
	w.at(w.now+w.latency(instance, m), func() { w.take(x) })
	w.at(q.deadline, func() { w.end(x, Timeout, nil) })
}

func (sim *simulation) take(attempt *simAttempt) {
	worker := attempt.worker
	switch {
	case attempt.over:
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
		if worker.StartedAt > 0 && sim.now < worker.StartedAt+sim.plan.settings.SlowStartDuration {
			warm = sim.plan.settings.SlowStartInitialShare + (1-sim.plan.settings.SlowStartInitialShare)*(sim.now-worker.StartedAt)/sim.plan.settings.SlowStartDuration
		}
		since := worker.StartedAt
		sim.at(sim.now+attempt.request.work/(worker.speed*warm), func() {
			if worker.StartedAt != since {
				return
			}
			for i, y := range worker.running {
				if y == attempt {
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
				if !attempt.over {
					attempt.instance.decider.HandleProgress(sim.now, &ProgressUpdate{Request: attempt.request.id, Attempt: attempt.attempt, Started: true})
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
	if attempt.over {
		return
	}
	attempt.over = true
	attempt.request.out--
	for i, y := range attempt.worker.waiting { // a client that has gone leaves the queue
		if y == attempt {
			attempt.worker.waiting = append(attempt.worker.waiting[:i:i], attempt.worker.waiting[i+1:]...)
			break
		}
	}
	request := attempt.request
	if result == OK && !request.done {
		request.done = true
		c := &sim.plan.settings.Classes[request.class]
		switch took := sim.now - request.firstAt; {
		case took <= math.Min(c.Objective+c.Stretch*request.work, c.Deadline):
			sim.earned[request.class] += c.Value * request.work
		case took <= c.Deadline:
			sim.earned[request.class] += c.Value * request.work * c.LateValueShare
			sim.late++
		}
	}
	attempt.instance.decider.HandleOutcome(sim.now, &Outcome{Request: request.id, Attempt: attempt.attempt, Worker: attempt.worker.ID, Result: result, ClientAnswered: request.done, Report: report})
}

// again has the client retry, if it has time left.
func (instance *simInstance) again(q *simRequest, wait float64) {
	w := instance.sim
	pause := math.Max(0.05, math.Min(wait, 2)*float64(w.random.IntN(2)))
	if q.retries >= 1 && w.now+pause < q.deadline {
		at := w.instances[w.random.IntN(len(w.instances))]
		w.at(w.now+pause, func() { w.arrive(at, q.class, q.work, q.firstAt, q.retries-1, false) })
	}
}

func (instance *simInstance) Reject(id RequestID, wait float64) {
	if q := instance.requests[id]; q != nil && !q.done {
		q.done = true
		instance.sim.rejected++
		instance.again(q, wait)
	}
}

func (instance *simInstance) Fail(id RequestID) {
	if q := instance.requests[id]; q != nil && !q.done {
		q.done = true
		instance.sim.failed++
		if instance.sim.plan.settings.Classes[q.class].RetrySafety == RetrySafe {
			instance.again(q, 0)
		}
	}
}

func (instance *simInstance) Cancel(id RequestID, attempt int) {
	x := instance.requests[id].attempts[attempt]
	instance.sim.at(instance.sim.now, func() { instance.sim.end(x, Cancelled, nil) })
}

func (instance *simInstance) Probe(worker WorkerID) {
	w, m := instance.sim, instance.sim.workers[worker-1]
	w.at(w.now+2*w.latency(instance, m), func() { instance.decider.HandleProbeResult(w.now, worker, OK, w.aged(m)) })
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
		at, do, is := sim.events.PopUntil(1000 + sim.plan.length + 60)
		if !is {
			break
		}
		sim.now = at
		do()
	}
	asked, earned := 0.0, 0.0
	for c := range sim.value {
		asked, earned = asked+sim.value[c], earned+sim.earned[c]
		byClass = append(byClass, sim.earned[c]/math.Max(sim.value[c], math.SmallestNonzeroFloat32))
	}
	return earned / asked, byClass
}

// baseline sends to the worker with the fewest own jobs in the nearest zone, and elsewhere if it is rejected.
type baseline struct {
	s    Settings
	act  Actions
	rng  *rand.Rand
	list map[WorkerID]Worker
	ids  []WorkerID
	out  map[WorkerID]int
	open map[RequestID]*baselineRequest
}

type baselineRequest struct {
	Request
	tried []WorkerID
}

func newBaseline(s Settings, seed uint64, act Actions) decider {
	return &baseline{s: s, act: act, rng: rand.New(rand.NewPCG(seed, 3)), list: map[WorkerID]Worker{}, out: map[WorkerID]int{}, open: map[RequestID]*baselineRequest{}}
}

func (p *baseline) Start(now float64) {
	if p.s.ListOnRequest {
		p.act.Watch(true)
	}
}
func (p *baseline) HandleTimer(now float64, token uint32)                            {}
func (p *baseline) HandleProgress(now float64, n *ProgressUpdate)                    {}
func (p *baseline) HandleProbeResult(now float64, _ WorkerID, _ Result, _ []float32) {}
func (p *baseline) HandleDisconnect(now float64, id RequestID)                       { delete(p.open, id) }
func (p *baseline) UpdateWorkers(now float64, kind ListKind, entries []Worker) {
	if kind != ListDelta {
		p.ids = p.ids[:0]
	}
	for _, e := range entries {
		p.ids = append(p.ids, e.ID)
		p.list[e.ID] = e
	}
}

func (p *baseline) HandleRequest(now float64, q *Request) {
	r := &baselineRequest{Request: *q}
	p.open[q.ID] = r
	p.try(r)
}

func (p *baseline) try(r *baselineRequest) {
	class := &p.s.Classes[r.Class]
	var best *Worker
	score, ties := 0.0, 0
	for _, id := range p.ids {
		e := p.list[id]
		if e.State != Ready || class.Kind >= 0 && e.Kind != class.Kind {
			continue
		}
		cost := float64(p.out[id])
		if e.Zone != p.s.Zone {
			cost += 1e3
		}
		for _, was := range r.tried {
			if was == id {
				cost += 1e6
			}
		}
		if best == nil || cost < score {
			best, score, ties = &e, cost, 1
		} else if cost == score {
			if ties++; p.rng.IntN(ties) == 0 {
				best = &e
			}
		}
	}
	if best == nil || len(r.tried) >= p.s.MaxAttempts {
		p.act.Reject(r.ID, 0)
		delete(p.open, r.ID)
		return
	}
	r.tried = append(r.tried, best.ID)
	p.out[best.ID]++
	p.act.Send(r.ID, best.ID, 0)
}

func (p *baseline) HandleOutcome(now float64, o *Outcome) {
	p.out[o.Worker]--
	r := p.open[o.Request]
	if r == nil || o.ClientAnswered {
		delete(p.open, o.Request)
		return
	}
	if never := o.Result == Rejected || o.Result == ConnectFailed; now < r.Deadline && (never || p.s.Classes[r.Class].RetrySafety == RetrySafe) {
		p.try(r)
		return
	}
	p.act.Fail(o.Request)
	delete(p.open, o.Request)
}
