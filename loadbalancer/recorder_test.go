package loadbalancer

import (
	"fmt"
)

// recordedSend is one send as the recorder saw it.
type recordedSend struct {
	id     RequestID
	worker WorkerID
	sentAt float64
}

// recorder carries out no action: it records them and checks the rules that bind each send.
type recorder struct {
	t        reporter
	settings Settings
	balancer *Balancer
	now      float64
	sends    []recordedSend
	rejected map[RequestID]bool
	waits    map[RequestID]float64
	failed   map[RequestID]bool
	cancels  int
	watches  []float64
	timers   []timer
	trace    []string
	requests map[RequestID]*Request
	attempts map[RequestID][]recordedAttempt
	answered map[RequestID]bool
	workers  map[WorkerID]Worker
}

type timer struct {
	token uint32
	at    float64
}

type recordedAttempt struct {
	worker   WorkerID
	sentAt   float64
	result   Result
	inFlight bool
	started  bool
}

func (a recordedAttempt) mayHaveRun() bool {
	return a.inFlight || a.result != Rejected && a.result != ConnectFailed && a.result != Withdrawn
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "read", Objective: 0.1, Stretch: 2, Deadline: 5, Value: 1, RetrySafety: RetrySafe, Kind: -1},
			{
				Name:        "keyed",
				Objective:   0.6,
				Stretch:     2,
				Deadline:    10,
				Value:       5,
				RetrySafety: RetryDeduplicated,
				DedupScope:  DedupCell,
				DedupWindow: 4,
				Kind:        -1,
			},
			{Name: "once", Objective: 0.3, Stretch: 2, Deadline: 5, Value: 5, RetrySafety: RetryUnsafe, Kind: -1},
			{
				Name:        "keyed-all",
				Objective:   0.6,
				Stretch:     2,
				Deadline:    10,
				Value:       5,
				RetrySafety: RetryDeduplicated,
				DedupScope:  DedupAll,
				DedupWindow: 4,
				Kind:        -1,
			},
			{
				Name:        "keyed-zone",
				Objective:   0.6,
				Stretch:     2,
				Deadline:    10,
				Value:       5,
				RetrySafety: RetryDeduplicated,
				DedupScope:  DedupZone,
				DedupWindow: 4,
				Kind:        -1,
			},
			{Name: "special", Objective: 0.6, Stretch: 2, Deadline: 10, Value: 5, RetrySafety: RetrySafe, Kind: 1},
		},
		Zones:                 2,
		Zone:                  0,
		Instances:             2,
		ReportFields:          []ReportField{FieldInFlight, FieldUtilization, FieldFreeSlots},
		MayCancel:             true,
		ParallelAttempts:      true,
		MaxAttempts:           4,
		ReportsStart:          true,
		Tick:                  0.005,
		AnswerSlack:           0.02,
		ListRefreshInterval:   10,
		SlowStartDuration:     20,
		SlowStartInitialShare: 0.2,
		OverloadMultiple:      3,
		OverloadWindow:        1.5,
		OverQuotaValue:        0.1,
	}
}

// reporter is what the recorder needs of a test: testing.TB and rapid.T have it.
type reporter interface {
	Helper()
	Error(arguments ...any)
	Errorf(format string, arguments ...any)
	Fatal(arguments ...any)
}

func newRecorder(t reporter, s Settings, seed uint64) *recorder {
	t.Helper()
	r := &recorder{
		t:        t,
		settings: s,
		now:      1000,
		rejected: map[RequestID]bool{},
		waits:    map[RequestID]float64{},
		failed:   map[RequestID]bool{},
		requests: map[RequestID]*Request{},
		attempts: map[RequestID][]recordedAttempt{},
		answered: map[RequestID]bool{},
		workers:  map[WorkerID]Worker{},
	}
	b, err := New(s, seed, r)
	if err != nil {
		t.Fatal(err)
	}
	r.balancer = b
	b.Start(r.now)
	return r
}

func (r *recorder) Send(id RequestID, worker WorkerID, timeout float64) {
	request := r.requests[id]
	if request == nil || r.answered[id] {
		r.t.Errorf("at %.3f: send of request %d, which is not open", r.now, id)
		return
	}
	if r.now >= request.Deadline {
		r.t.Errorf("at %.3f: send of request %d after its deadline", r.now, id)
	}
	if r.workers[worker].State != Ready {
		r.t.Errorf("at %.3f: send to worker %d in state %d", r.now, worker, r.workers[worker].State)
	}
	class := r.settings.Classes[request.Class]
	if class.Kind >= 0 && r.workers[worker].Kind != class.Kind {
		r.t.Errorf("request %d sent to a worker of kind %d", id, r.workers[worker].Kind)
	}
	for _, attempt := range r.attempts[id] {
		if attempt.inFlight && !r.settings.ParallelAttempts {
			r.t.Errorf("request %d: second attempt in flight", id)
		}
		if attempt.mayHaveRun() && !r.retryAllowed(class, attempt, worker) {
			r.t.Errorf("at %.3f: request %d of class %s may have run and was sent again", r.now, id, class.Name)
		}
	}
	if len(r.attempts[id]) >= r.settings.MaxAttempts {
		r.t.Errorf("request %d: attempt beyond the cap", id)
	}
	r.attempts[id] = append(r.attempts[id], recordedAttempt{worker: worker, sentAt: r.now, inFlight: true})
	r.sends = append(r.sends, recordedSend{id, worker, r.now})
	r.trace = append(r.trace, fmt.Sprintf("send %d %d", id, worker))
}

func (r *recorder) retryAllowed(class Class, attempt recordedAttempt, worker WorkerID) bool {
	if class.RetrySafety == RetrySafe {
		return true
	}
	if class.RetrySafety == RetryUnsafe || r.now >= attempt.sentAt+class.DedupWindow {
		return false
	}
	previous, next := r.workers[attempt.worker], r.workers[worker]
	return class.DedupScope == DedupAll || class.DedupScope == DedupZone && previous.Zone == next.Zone ||
		class.DedupScope == DedupCell && previous.Cell == next.Cell
}

func (r *recorder) final(id RequestID, kind string) {
	if r.answered[id] {
		r.t.Errorf("request %d answered twice", id)
	}
	if request := r.requests[id]; request == nil {
		r.t.Errorf("answer to unknown request %d", id)
	} else if r.now > request.Deadline+r.settings.AnswerSlack {
		r.t.Errorf("request %d answered %.3f s late", id, r.now-request.Deadline)
	}
	r.answered[id] = true
	r.trace = append(r.trace, fmt.Sprintf("%s %d", kind, id))
}

func (r *recorder) Reject(id RequestID, wait float64) {
	r.waits[id] = wait
	r.final(id, "refuse")
	r.rejected[id] = true
	class := r.settings.Classes[r.requests[id].Class]
	mayRunTwice := class.RetrySafety == RetrySafe || class.RetrySafety == RetryDeduplicated && class.DedupScope == DedupAll
	for _, attempt := range r.attempts[id] {
		if attempt.mayHaveRun() && !mayRunTwice {
			r.t.Errorf("request %d of class %s may have run and was rejected", id, class.Name)
		}
	}
}

func (r *recorder) Fail(id RequestID) {
	if request := r.requests[id]; request != nil && (request.Class < 0 || request.Class >= len(r.settings.Classes)) {
		r.answered[id] = true
		return
	}
	r.final(id, "fail")
	r.failed[id] = true
}

func (r *recorder) Cancel(id RequestID, attempt int) {
	if attempt >= len(r.attempts[id]) {
		r.t.Errorf("cancel of attempt %d of request %d, which was never made", attempt, id)
	}
	if !r.settings.MayCancel {
		r.t.Error("cancel where none is allowed")
	}
	r.cancels++
	r.trace = append(r.trace, fmt.Sprintf("cancel %d %d", id, attempt))
}

func (r *recorder) Probe(worker WorkerID) {
	if !r.settings.MayProbe {
		r.t.Error("probe where none is allowed")
	}
	r.trace = append(r.trace, fmt.Sprintf("probe %d", worker))
}

func (r *recorder) SetTimer(token uint32, at float64) { r.timers = append(r.timers, timer{token, at}) }

func (r *recorder) Watch(on bool) { r.watches = append(r.watches, r.now) }

func (r *recorder) Fetch() {}

func (r *recorder) Log(line string) { r.trace = append(r.trace, line) }

// runTo moves the clock and fires the timers that fall due, one tick at a time.
func (r *recorder) runTo(until float64) {
	for r.now < until {
		r.now = min(r.now+r.settings.Tick, until)
		due := r.timers
		r.timers = nil
		for _, t := range due {
			if t.at <= r.now {
				r.balancer.HandleTimer(r.now, t.token)
			} else {
				r.timers = append(r.timers, t)
			}
		}
	}
}

func (r *recorder) list(kind ListKind, entries ...Worker) {
	if kind != ListDelta && kind != ListFailed {
		for id, w := range r.workers {
			w.State = Departed
			r.workers[id] = w
		}
	}
	for _, entry := range entries {
		r.workers[entry.ID] = entry
	}
	r.balancer.UpdateWorkers(r.now, kind, entries)
}

func (r *recorder) request(id RequestID, class int, work float64) {
	deadline := 5.0
	if class >= 0 && class < len(r.settings.Classes) {
		deadline = r.settings.Classes[class].Deadline
	}
	request := Request{ID: id, Class: class, Slots: 1, Work: work, Deadline: r.now + deadline}
	r.requests[id] = &request
	r.balancer.HandleRequest(r.now, &request)
}

// outcome ends attempt n; an OK closes the request.
func (r *recorder) outcome(id RequestID, n int, result Result, report ...float32) {
	a := &r.attempts[id][n]
	a.inFlight = false
	a.result = result
	closed := r.answered[id] || result == OK
	if result == OK {
		r.answered[id] = true
	}
	r.balancer.HandleOutcome(r.now, &Outcome{
		Request:        id,
		Attempt:        n,
		Worker:         a.worker,
		Result:         result,
		ClientAnswered: closed,
		Report:         report,
	})
}

func (r *recorder) start(id RequestID, n int) {
	r.attempts[id][n].started = true
	r.balancer.HandleProgress(r.now, &ProgressUpdate{Request: id, Attempt: n, Started: true})
}

// reportFree reports no load and four free slots of workers 1 to n.
func (r *recorder) reportFree(n int) {
	for i := 1; i <= n; i++ {
		r.balancer.learnReport(r.now, r.balancer.workersByID[WorkerID(i)], []float32{0, 0, 4})
	}
}

// ready is a list of n warm workers in one cell and the own zone.
func ready(n int) []Worker {
	var workers []Worker
	for i := 1; i <= n; i++ {
		workers = append(workers, Worker{ID: WorkerID(i), State: Ready, Weight: 1})
	}
	return workers
}
