package runner

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/engine"
)

// execution is a request that the engine works on.
type execution struct {
	runner     *Runner
	attemptID  string
	id         string // unique
	request    *engine.Request
	task       *engine.Task
	fault      faultKind
	writer     http.ResponseWriter
	conn       *conn
	eventsSent int

	mutex  sync.Mutex
	events []engine.Event
	signal chan struct{}
}

func newExecution(r *Runner, attemptID string, request *engine.Request) *execution {
	return &execution{
		runner:    r,
		attemptID: attemptID,
		id:        fmt.Sprintf("%s-%08x", r.options.ID, r.random.Uint32()),
		request:   request,
		signal:    make(chan struct{}, 1),
	}
}

// addEvent queues an event of the engine; it never blocks.
func (o *execution) addEvent(event engine.Event) {
	o.mutex.Lock()
	o.events = append(o.events, event)
	o.mutex.Unlock()
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// takeEvents removes and returns all queued events.
func (o *execution) takeEvents() []engine.Event {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	events := o.events
	o.events = nil
	return events
}

// sendAnswer sends the answer as the engine produces it, until its end or until the caller disconnects.
func (r *Runner) sendAnswer(execution *execution, request *http.Request) {
	for {
		select {
		case <-execution.signal:
		case <-request.Context().Done():
			r.cancel(execution)
			return
		}
		for _, event := range execution.takeEvents() {
			if ended := r.handleEngineEvent(execution, request, event); ended {
				return
			}
		}
	}
}

// cancel ends the engine's task after the caller has disconnected.
func (r *Runner) cancel(execution *execution) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if execution.task == nil {
		return
	}
	r.options.Engine.Cancel(r.now(), execution.task)
	delete(r.executions, execution.task)
	r.wakeUp()
}

// handleEngineEvent acts on an event and reports whether the answer has ended.
func (r *Runner) handleEngineEvent(execution *execution, request *http.Request, event engine.Event) bool {
	switch event.Kind {
	case engine.Emitted:
		return r.injectFault(execution, request) || r.sendEvent(execution, event.Index)
	case engine.Finished:
		if execution.eventsSent == 0 {
			return r.injectFault(execution, request) || r.sendBody(execution)
		}
		return r.finishAnswer(execution)
	case engine.Expired:
		r.sendNotExecuted(execution.writer, http.StatusServiceUnavailable)
		return true
	case engine.TimedOut:
		if execution.eventsSent > 0 {
			panic(http.ErrAbortHandler)
		}
		execution.writer.WriteHeader(http.StatusGatewayTimeout)
		return true
	case engine.Lost:
		if r.isHung() {
			r.awaitEnd(request)
			return true
		}
		reset(execution.conn.Conn)
		return true
	}
	return false
}

// totalEvents returns the number of events of the complete stream.
func (o *execution) totalEvents() int {
	stride := max(1, o.runner.options.EventTokens)
	return (o.request.OutputTokens + stride - 1) / stride
}

func (r *Runner) sendEvent(execution *execution, index int) bool {
	if execution.eventsSent == 0 {
		seal := answer.Seal{
			Stream:      true,
			Size:        execution.totalEvents(),
			AttemptID:   execution.attemptID,
			ExecutionID: execution.id,
		}
		execution.writer.Header().Set(answer.HeaderSeal, seal.String())
		execution.writer.Header().Set("Content-Type", "text/event-stream")
		execution.writer.WriteHeader(http.StatusOK)
	}
	execution.eventsSent++
	event := answer.Event{Index: index, Total: execution.totalEvents(), ExecutionID: execution.id}
	fmt.Fprintf(execution.writer, "id: %d\ndata: %s\n\n", index, event.Data())
	return http.NewResponseController(execution.writer).Flush() != nil
}

func (r *Runner) makeBody(execution *execution) []byte {
	text := []byte(execution.id + " ")
	body := make([]byte, 0, r.options.BodyBytes+len(text))
	for len(body) < max(1, r.options.BodyBytes) {
		body = append(body, text...)
	}
	return body
}

func (r *Runner) sendBody(execution *execution) bool {
	body := r.makeBody(execution)
	r.writeBodyHeader(execution, body)
	execution.writer.Write(body)
	return r.finishAnswer(execution)
}

// sendHalf sends the first half of a body.
func (r *Runner) sendHalf(execution *execution) {
	body := r.makeBody(execution)
	r.writeBodyHeader(execution, body)
	execution.writer.Write(body[:len(body)/2])
	http.NewResponseController(execution.writer).Flush()
}

func (r *Runner) writeBodyHeader(execution *execution, body []byte) {
	seal := answer.Seal{
		Size:        len(body),
		Checksum:    answer.Checksum(body),
		AttemptID:   execution.attemptID,
		ExecutionID: execution.id,
	}
	execution.writer.Header().Set(answer.HeaderSeal, seal.String())
	execution.writer.Header().Set("Content-Type", "application/octet-stream")
	execution.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	execution.writer.WriteHeader(http.StatusOK)
}

// finishAnswer ends a complete answer, and prepares the extra bytes behind it if that is the fault.
func (r *Runner) finishAnswer(execution *execution) bool {
	r.updateStats(func(s *Stats) { s.Finished++ })
	switch execution.fault {
	case faultExtraBytes:
		execution.conn.afterAnswer = unsolicitedAnswer(execution.attemptID)
		r.countFault()
	case faultStaleAnswer:
		execution.conn.beforeNext = unsolicitedAnswer(execution.attemptID)
		r.countFault()
	}
	return true
}
