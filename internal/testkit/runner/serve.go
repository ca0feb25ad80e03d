package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/engine"
)

// reportPath is where a runner tells its state.
const reportPath = "/-/report"

// report is the state that a runner tells, some time ago.
type report struct {
	at                    time.Duration
	queued, running       int
	memoryUsed, memoryAll int
}

// reportBody is a report on the wire.
type reportBody struct {
	Phase       string        `json:"phase"`
	Models      []reportModel `json:"models"`
	IsBusy      bool          `json:"is_busy"`
	CallCount   int           `json:"call_count"`
	Queued      int           `json:"queued"`
	Running     int           `json:"running"`
	CacheUsed   int           `json:"cache_used"`
	CacheSize   int           `json:"cache_size"`
	OpenHandles int           `json:"open_handles"`
}

type reportModel struct {
	Model
	Adapters []string `json:"adapters"`
}

// noteReport keeps the state, for reports that come late.
func (r *Runner) noteReport() {
	const most = 64
	s := r.options.Engine.State()
	now := r.now()
	r.reports = append(r.reports, report{at: now, queued: s.Queued, running: s.Running, memoryUsed: s.MemoryPinned,
		memoryAll: s.MemorySize})
	for len(r.reports) > 1 && r.reports[1].at <= now-r.options.ReportDelay || len(r.reports) > most {
		r.reports = r.reports[1:]
	}
}

// serve answers one request.
func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	c := q.Context().Value(connKey{}).(*conn)
	r.sendLate(c)
	if r.isDark() {
		r.count(func(s *Stats) { s.Unanswered++ })
		<-q.Context().Done()
		return
	}
	r.head(w)
	switch {
	case q.Method == http.MethodGet && q.URL.Path == reportPath:
		r.serveReport(w)
	case q.Method == http.MethodGet && q.URL.Path == r.options.HealthPath:
		r.serveHealth(w)
	default:
		r.serveRequest(w, q, c)
	}
}

func (r *Runner) isDark() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dark
}

// head sets the headers that every answer has.
func (r *Runner) head(w http.ResponseWriter) {
	r.mutex.Lock()
	ends := r.draining || r.random.Float64() < r.options.CloseShare
	r.mutex.Unlock()
	for _, model := range r.options.Models {
		w.Header().Set(answer.HeaderVersions, strconv.Itoa(model.Version))
	}
	if ends {
		w.Header().Set("Connection", "close")
		return
	}
	if r.options.IdleTimeout > 0 {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(r.options.IdleTimeout/time.Second)))
	}
}

func (r *Runner) serveReport(w http.ResponseWriter) {
	r.mutex.Lock()
	r.stats.HealthChecks++
	r.noteReport()
	old := r.reports[0]
	body := reportBody{Phase: "both", Models: []reportModel{}, Queued: old.queued, Running: old.running,
		CacheUsed: old.memoryUsed, CacheSize: old.memoryAll}
	r.mutex.Unlock()
	for _, model := range r.options.Models {
		body.Models = append(body.Models, reportModel{Model: model, Adapters: []string{}})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}

func (r *Runner) serveHealth(w http.ResponseWriter) {
	r.mutex.Lock()
	r.stats.HealthChecks++
	s := r.options.Engine.State()
	full := s.Queued > 0 && s.Running+s.Queued >= r.options.MaxConns && r.options.MaxConns > 0
	cold := r.options.SlowStart.Remaining(r.now())
	draining := r.draining
	r.mutex.Unlock()
	w.Header().Set(answer.HeaderServerID, r.options.ID)
	if cold > 0 {
		w.Header().Set(answer.HeaderSlowStart, strconv.FormatInt(cold.Milliseconds(), 10))
	}
	switch {
	case draining:
		w.WriteHeader(http.StatusServiceUnavailable)
	case full:
		r.turnAway(w, http.StatusServiceUnavailable)
	}
}

// turnAway says that a request has not run.
func (r *Runner) turnAway(w http.ResponseWriter, status int) {
	w.Header().Set(answer.HeaderNotRun, "1")
	w.WriteHeader(status)
}

func (r *Runner) serveRequest(w http.ResponseWriter, q *http.Request, c *conn) {
	try := q.Header.Get(answer.HeaderAttemptID)
	if try != "" {
		w.Header().Set(answer.HeaderAttemptID, try)
	}
	if wanted := q.Header.Get(answer.HeaderWantedServer); wanted != "" && wanted != r.options.ID || !r.hasVersion(q) {
		r.count(func(s *Stats) { s.Misdirected++ })
		w.Header().Set(answer.HeaderServerID, r.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return // the caller broke off
	}
	if try == "" {
		r.turnAway(w, http.StatusBadRequest)
		return
	}
	if r.options.Checker != nil {
		r.options.Checker.RequestReceived(checker.ReceivedRequest{Runner: &r.options.Runner, ID: try, Method: q.Method, Host: q.Host,
			URI: q.RequestURI, Body: checker.Hash(body)})
	}
	o, ok := r.submit(q, try)
	if !ok {
		r.turnAway(w, http.StatusServiceUnavailable)
		return
	}
	if o == nil { // it fell over
		reset(c.Conn)
		return
	}
	o.w, o.conn = w, c
	r.follow(o, q)
}

func (r *Runner) hasVersion(q *http.Request) bool {
	expected := q.Header.Get(answer.HeaderExpectVersion)
	if expected == "" {
		return true
	}
	for _, model := range r.options.Models {
		if strconv.Itoa(model.Version) == expected {
			return true
		}
	}
	return false
}

func (r *Runner) count(alter func(*Stats)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	alter(&r.stats)
}

// submit hands a request to the machine; false: it is full. No order: the runner has fallen over.
func (r *Runner) submit(q *http.Request, try string) (*order, bool) {
	request, err := r.request(q)
	if err != nil {
		return nil, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	if r.options.SlowStart.RecordArrival(now) {
		r.stats.Overloaded = true
		go r.Crash()
		return nil, true
	}
	o := newOrder(r, try, request)
	o.fault = r.drawFault()
	if o.fault == faultClose {
		o.push(engine.Event{Kind: engine.Lost})
		return o, true
	}
	if request.Work == 0 && r.options.ServiceTime != nil {
		request.Work = r.options.ServiceTime(r.random)
	}
	if left, err := strconv.Atoi(q.Header.Get(answer.HeaderTimeLeft)); err == nil {
		request.Deadline = now + time.Duration(left)*time.Millisecond
	}
	task, taken := r.options.Engine.Submit(now, request)
	if !taken {
		r.stats.Rejected++
		return nil, false
	}
	r.stats.Requests++
	o.task = task
	r.orders[task] = o
	r.poke()
	return o, true
}

// drawFault draws what happens to a request, as the script says.
func (r *Runner) drawFault() fault {
	if r.faults.MaxFaults > 0 && r.spoilt >= r.faults.MaxFaults {
		return faultNone
	}
	drawn := r.faults.draw(r.random)
	if drawn != faultNone {
		r.spoilt++
	}
	return drawn
}

// sendLate sends an extra answer that was held back for the next request of a connection.
func (r *Runner) sendLate(c *conn) {
	if c.late != nil {
		c.Conn.Write(c.late)
		c.late = nil
	}
}

// connState sends extra bytes when a connection has sent a whole answer.
func (r *Runner) connState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if c, is := c.(*conn); is && c.extra != nil {
		c.Conn.Write(c.extra)
		c.extra = nil
	}
}

// spare is an answer that nobody asked for.
func spare(try string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: b.0.00000000.%s.spare\r\nContent-Length: 0\r\n\r\n",
		answer.HeaderAttemptID, try, answer.HeaderSeal, try)
}
