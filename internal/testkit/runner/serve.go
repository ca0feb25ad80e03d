package runner

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/engine"
)

// serve handles one HTTP request.
func (r *Runner) serve(w http.ResponseWriter, request *http.Request) {
	connection := request.Context().Value(connKey{}).(*conn)
	r.sendStale(connection)
	if r.isHung() {
		r.updateStats(func(s *Stats) { s.Unanswered++ })
		r.awaitEnd(request)
		return
	}
	r.setCommonHeaders(w)
	switch {
	case request.Method == http.MethodGet && request.URL.Path == reportPath:
		r.serveReport(w)
	case request.Method == http.MethodGet && request.URL.Path == r.options.HealthPath:
		r.serveHealth(w)
	default:
		r.serveRequest(w, request, connection)
	}
}

// awaitEnd waits until the caller disconnects or the runner ends. The server does not notice that a caller disconnects whose
// request has not been read.
func (r *Runner) awaitEnd(request *http.Request) {
	select {
	case <-request.Context().Done():
	case <-r.done:
	}
}

func (r *Runner) isHung() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.hung
}

// setCommonHeaders sets the headers of every answer.
func (r *Runner) setCommonHeaders(w http.ResponseWriter) {
	r.mutex.Lock()
	closes := r.draining || r.random.Float64() < r.options.CloseShare
	r.mutex.Unlock()
	for _, model := range r.options.Models {
		w.Header().Set(answer.HeaderVersions, strconv.Itoa(model.Version))
	}
	if closes {
		w.Header().Set("Connection", "close")
		return
	}
	if r.options.IdleTimeout > 0 {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(r.options.IdleTimeout/time.Second)))
	}
}

// sendNotExecuted answers that a request wasn't executed.
func (r *Runner) sendNotExecuted(w http.ResponseWriter, status int) {
	w.Header().Set(answer.HeaderNotRun, "1")
	w.WriteHeader(status)
}

func (r *Runner) serveRequest(writer http.ResponseWriter, request *http.Request, connection *conn) {
	attemptID := request.Header.Get(answer.HeaderAttemptID)
	if attemptID != "" {
		writer.Header().Set(answer.HeaderAttemptID, attemptID)
	}
	wanted := request.Header.Get(answer.HeaderWantedServer)
	if wanted != "" && wanted != r.options.ID || !r.hasVersion(request) {
		r.updateStats(func(s *Stats) { s.Misdirected++ })
		writer.Header().Set(answer.HeaderServerID, r.options.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the caller disconnected
	}
	if attemptID == "" {
		r.sendNotExecuted(writer, http.StatusBadRequest)
		return
	}
	if r.options.Checker != nil {
		r.options.Checker.RequestReceived(checker.ReceivedRequest{
			Runner: &r.options.Runner,
			ID:     attemptID,
			Method: request.Method,
			Host:   request.Host,
			URI:    request.RequestURI,
			Body:   checker.Hash(body),
		})
	}
	execution, ok := r.submit(request, attemptID)
	if !ok {
		r.sendNotExecuted(writer, http.StatusServiceUnavailable)
		return
	}
	if execution == nil { // overloaded
		reset(connection.Conn)
		return
	}
	execution.writer = writer
	execution.conn = connection
	r.sendAnswer(execution, request)
}

func (r *Runner) hasVersion(request *http.Request) bool {
	expected := request.Header.Get(answer.HeaderExpectVersion)
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

func (r *Runner) updateStats(alter func(*Stats)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	alter(&r.stats)
}

// submit queues a request at the engine; false if the engine rejects it. A nil execution means that the runner
// crashed.
func (r *Runner) submit(request *http.Request, attemptID string) (*execution, bool) {
	engineRequest, err := r.parseRequest(request)
	if err != nil {
		return nil, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	if r.options.SlowStart.RecordArrival(now) {
		r.stats.Overloaded = true
		r.reportEnded()
		go r.Crash()
		return nil, true
	}
	execution := newExecution(r, attemptID, engineRequest)
	execution.fault = r.drawFault()
	if execution.fault != faultNone {
		r.reportBrokenOff(execution)
	}
	if execution.fault == faultClose {
		execution.addEvent(engine.Event{Kind: engine.Lost})
		return execution, true
	}
	if engineRequest.Work == 0 && r.options.ServiceTime != nil {
		engineRequest.Work = r.options.ServiceTime(r.random)
	}
	if left, err := strconv.Atoi(request.Header.Get(answer.HeaderTimeLeft)); err == nil {
		engineRequest.Deadline = now + time.Duration(left)*time.Millisecond
	}
	task, taken := r.options.Engine.Submit(now, engineRequest)
	if !taken {
		r.stats.Rejected++
		return nil, false
	}
	r.stats.Requests++
	execution.task = task
	r.executions[task] = execution
	r.wakeUp()
	return execution, true
}
