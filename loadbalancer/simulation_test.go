package loadbalancer

import (
	"math"
	"math/rand/v2"

	"cinderroad/internal/testkit/eventqueue"
)

// simulation plays a small fleet over virtual time: clients, instances that share nothing, workers with cores and a queue. What a deployment's
// settings leave out is left out here, so that the same decisions can be measured on all of them beside a policy without any thought.
type simulation struct {
	plan    simulationPlan
	now     float64
	agenda  eventqueue.Queue
	rng     *rand.Rand
	workers []*simWorker
	nodes   []*simInstance
	nextID  RequestID
	worth   []float64 // asked for, by class
	earned  []float64
	refused int
	failed  int
	late    int
	asked   int
	breach  []string
}

// simulationPlan is what a deployment is like; times are in seconds.
type simulationPlan struct {
	s         Settings
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

// simWorker is a worker: it runs as many jobs as it has cores, in order, and turns away what its queue does not hold.
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
	n       *simInstance
	q       *simRequest
	attempt int
	m       *simWorker
	over    bool // its outcome has been told
	started bool
}

// simRequest is one try of a client.
type simRequest struct {
	id       RequestID
	class    int
	work     float64
	first    float64 // when the client asked for the first time
	deadline float64
	again    float64 // retries the client has left
	attempts []*simAttempt
	done     bool
	out      int
}

// simInstance is one dispatcher.
type simInstance struct {
	w      *simulation
	me     int
	policy decider
	asks   map[RequestID]*simRequest
	s      Settings
}

// decider is what decides: a Balancer, or what it is measured against.
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

func (w *simulation) at(at float64, do func()) { w.agenda.Schedule(max(at, w.now), do) }

// newSimulation draws a day. The same plan and seed draw the same day whoever decides: decisions have no part in these numbers.
func newSimulation(plan simulationPlan, seed uint64, decide func(s Settings, seed uint64, act Actions) decider) *simulation {
	classes := len(plan.s.Classes)
	w := &simulation{plan: plan, now: 1000, rng: rand.New(rand.NewPCG(seed, 7)), worth: make([]float64, classes), earned: make([]float64, classes)}
	day := rand.New(rand.NewPCG(seed, 1))
	power := 0.0
	for i := range plan.workers {
		k := plan.kinds[0]
		kind := 0
		for mark, sum := (float64(i)+0.5)/float64(plan.workers), 0.0; kind < len(plan.kinds); kind++ {
			if k = plan.kinds[kind]; mark < sum+k.share {
				break
			}
			sum += k.share
		}
		m := &simWorker{speed: k.speed * math.Exp(0.12*day.NormFloat64()), cores: k.cores, queue: k.queue}
		m.Worker = Worker{ID: WorkerID(1 + i), Zone: i % plan.s.Zones, Kind: kind, Cell: i / 6, State: Ready, Weight: 1}
		if plan.weights {
			m.Weight = m.speed * float64(m.cores) * math.Exp(0.2*day.NormFloat64())
		}
		power += m.speed * float64(m.cores)
		w.workers = append(w.workers, m)
	}
	for me := range plan.instances {
		n := &simInstance{w: w, me: me, asks: map[RequestID]*simRequest{}, s: plan.s}
		n.s.Instances, n.s.Instance, n.s.Zone = plan.instances, me, me%plan.s.Zones
		n.policy = decide(n.s, uint64(me)+100*seed, n)
		w.nodes = append(w.nodes, n)
		w.at(w.now, func() {
			n.policy.Start(w.now)
			n.policy.UpdateWorkers(w.now, ListFull, w.list())
		})
	}
	mean := 0.0
	for c, share := range plan.share {
		mean += share * plan.work[c]
	}
	rate := plan.load * power / mean
	start := w.now
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
		w.at(t, func() { w.arrive(w.nodes[me], c, work, w.now, again, true) })
	}
	if plan.slow > 0 {
		w.at(start+plan.length/3, func() {
			for i := 0; i < len(w.workers); i += 6 {
				w.workers[i].speed /= plan.slow
			}
		})
	}
	if plan.replace {
		w.at(start+plan.length/2, func() {
			for i := 0; i < len(w.workers); i += 3 {
				w.workers[i].StartedAt = w.now
				for _, x := range append(append([]*simAttempt(nil), w.workers[i].running...), w.workers[i].waiting...) {
					w.end(x, Reset, nil)
				}
				w.workers[i].running, w.workers[i].waiting = nil, nil
			}
			for _, n := range w.nodes {
				n.policy.UpdateWorkers(w.now, ListFull, w.list())
			}
		})
	}
	return w
}

func (w *simulation) list() (entries []Worker) {
	for _, m := range w.workers {
		entries = append(entries, m.Worker)
	}
	return entries
}

func (w *simulation) arrive(n *simInstance, class int, work, first, again float64, fresh bool) {
	c := &w.plan.s.Classes[class]
	w.nextID++
	q := &simRequest{id: w.nextID, class: class, work: work, first: first, deadline: first + c.Deadline, again: again}
	if fresh {
		w.worth[class] += c.Value * work
		w.asked++
	}
	n.asks[q.id] = q
	r := &Request{ID: q.id, Class: class, Slots: 1, Deadline: q.deadline}
	if w.plan.hints {
		r.Work = work * math.Exp(0.2*w.rng.NormFloat64())
	}
	n.policy.HandleRequest(w.now, r)
}

// way is one way between a node and a worker.
func (w *simulation) way(n *simInstance, m *simWorker) float64 {
	if n.s.Zone == m.Zone {
		return w.plan.same
	}
	return w.plan.cross
}

func (n *simInstance) Send(id RequestID, worker WorkerID, timeout float64) {
	w, q := n.w, n.asks[id]
	if q == nil || q.done {
		w.breach = append(w.breach, "sent what is answered")
		return
	}
	m := w.workers[worker-1]
	x := &simAttempt{n: n, q: q, attempt: len(q.attempts), m: m}
	c := &w.plan.s.Classes[q.class]
	for _, y := range q.attempts {
		if !y.over && !n.s.ParallelAttempts || y.started && c.RetrySafety == RetryUnsafe {
			w.breach = append(w.breach, "a second attempt that is not allowed")
		}
	}
	q.attempts = append(q.attempts, x)
	q.out++
	w.at(w.now+w.way(n, m), func() { w.take(x) })
	w.at(q.deadline, func() { w.end(x, Timeout, nil) })
}

func (w *simulation) take(x *simAttempt) {
	m := x.m
	switch {
	case x.over:
	case m.State != Ready || len(m.waiting) >= m.queue:
		w.end(x, Rejected, w.report(m))
	default:
		m.waiting = append(m.waiting, x)
		w.serve(m)
	}
}

func (w *simulation) serve(m *simWorker) {
	for len(m.running) < m.cores && len(m.waiting) > 0 {
		x := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.running = append(m.running, x)
		x.started = true
		warm := 1.0
		if m.StartedAt > 0 && w.now < m.StartedAt+w.plan.s.SlowStartDuration {
			warm = w.plan.s.SlowStartInitialShare + (1-w.plan.s.SlowStartInitialShare)*(w.now-m.StartedAt)/w.plan.s.SlowStartDuration
		}
		since := m.StartedAt
		w.at(w.now+x.q.work/(m.speed*warm), func() {
			if m.StartedAt != since {
				return
			}
			for i, y := range m.running {
				if y == x {
					m.running = append(m.running[:i], m.running[i+1:]...)
					break
				}
			}
			report := w.report(m)
			w.at(w.now+w.way(x.n, m), func() { w.end(x, OK, report) })
			w.serve(m)
		})
		if x.n.s.ReportsStart {
			w.at(w.now+w.way(x.n, m), func() {
				if !x.over {
					x.n.policy.HandleProgress(w.now, &ProgressUpdate{Request: x.q.id, Attempt: x.attempt, Started: true})
				}
			})
		}
	}
	m.reports = append(m.reports, timedReport{w.now, w.fields(m)})
}

func (w *simulation) fields(m *simWorker) (fields []float32) {
	for _, f := range w.plan.s.ReportFields {
		v := 0.0
		switch f {
		case FieldInFlight:
			v = float64(len(m.running) + len(m.waiting))
		case FieldUtilization:
			v = float64(len(m.running)) / float64(m.cores)
		case FieldQueued:
			v = float64(len(m.waiting))
		case FieldFreeSlots:
			v = float64(m.cores - len(m.running))
		}
		fields = append(fields, float32(v))
	}
	return fields
}

// report is what the worker told of itself a while ago.
func (w *simulation) report(m *simWorker) (fields []float32) {
	if len(w.plan.s.ReportFields) == 0 || w.plan.s.ReportsByProbe {
		return nil
	}
	return w.aged(m)
}

func (w *simulation) aged(m *simWorker) (fields []float32) {
	for i, r := range m.reports {
		if r.at > w.now-w.plan.reportAge {
			m.reports = m.reports[max(i-1, 0):]
			break
		}
		fields = r.fields
	}
	return fields
}

// end tells the outcome of an attempt, once.
func (w *simulation) end(x *simAttempt, result Result, report []float32) {
	if x.over {
		return
	}
	x.over = true
	x.q.out--
	for i, y := range x.m.waiting { // a client that has gone leaves the queue
		if y == x {
			x.m.waiting = append(x.m.waiting[:i:i], x.m.waiting[i+1:]...)
			break
		}
	}
	q := x.q
	if result == OK && !q.done {
		q.done = true
		c := &w.plan.s.Classes[q.class]
		switch took := w.now - q.first; {
		case took <= math.Min(c.Objective+c.Stretch*q.work, c.Deadline):
			w.earned[q.class] += c.Value * q.work
		case took <= c.Deadline:
			w.earned[q.class] += c.Value * q.work * c.LateValueShare
			w.late++
		}
	}
	x.n.policy.HandleOutcome(w.now, &Outcome{Request: q.id, Attempt: x.attempt, Worker: x.m.ID, Result: result, ClientAnswered: q.done, Report: report})
}

// again has the client come back, if it has not used up its patience.
func (n *simInstance) again(q *simRequest, wait float64) {
	w := n.w
	pause := math.Max(0.05, math.Min(wait, 2)*float64(w.rng.IntN(2)))
	if q.again >= 1 && w.now+pause < q.deadline {
		at := w.nodes[w.rng.IntN(len(w.nodes))]
		w.at(w.now+pause, func() { w.arrive(at, q.class, q.work, q.first, q.again-1, false) })
	}
}

func (n *simInstance) Reject(id RequestID, wait float64) {
	if q := n.asks[id]; q != nil && !q.done {
		q.done = true
		n.w.refused++
		n.again(q, wait)
	}
}

func (n *simInstance) Fail(id RequestID) {
	if q := n.asks[id]; q != nil && !q.done {
		q.done = true
		n.w.failed++
		if n.w.plan.s.Classes[q.class].RetrySafety == RetrySafe {
			n.again(q, 0)
		}
	}
}

func (n *simInstance) Cancel(id RequestID, attempt int) {
	x := n.asks[id].attempts[attempt]
	n.w.at(n.w.now, func() { n.w.end(x, Cancelled, nil) })
}

func (n *simInstance) Probe(worker WorkerID) {
	w, m := n.w, n.w.workers[worker-1]
	w.at(w.now+2*w.way(n, m), func() { n.policy.HandleProbeResult(w.now, worker, OK, w.aged(m)) })
}

func (n *simInstance) SetTimer(token uint32, at float64) {
	n.w.at(math.Max(at, n.w.now+n.s.Tick), func() { n.policy.HandleTimer(n.w.now, token) })
}
func (n *simInstance) Watch(on bool) {
	if on {
		n.w.at(n.w.now+0.01, func() { n.policy.UpdateWorkers(n.w.now, ListFull, n.w.list()) })
	}
}
func (n *simInstance) Fetch()     { n.Watch(true) }
func (n *simInstance) Log(string) {}

// run plays the day out and tells the share of the worth that was earned, in all and by class.
func (w *simulation) run() (share float64, byClass []float64) {
	for {
		at, do, is := w.agenda.PopUntil(1000 + w.plan.length + 60)
		if !is {
			break
		}
		w.now = at
		do()
	}
	asked, earned := 0.0, 0.0
	for c := range w.worth {
		asked, earned = asked+w.worth[c], earned+w.earned[c]
		byClass = append(byClass, w.earned[c]/math.Max(w.worth[c], math.SmallestNonzeroFloat32))
	}
	return earned / asked, byClass
}

// baseline sends to the worker with fewest own jobs out in the nearest zone, and elsewhere where it is turned away.
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
