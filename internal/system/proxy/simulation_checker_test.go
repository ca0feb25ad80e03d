package proxy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	cancelWithin   = 500 * time.Millisecond // after the client's disconnect, no work may continue
	completeWithin = 250 * time.Millisecond // after a route's timeout, its requests must have ended
	timeSlack      = 100 * time.Millisecond // by which a runner may be given more than the remaining time: network and late loop iterations
)

// rule is a rule for requests that the simulation checks; its value stands in the reports. Package checker of the test
// kit has similar rules; its ROUTE, BUDGET and CONFIG are other ones.
type rule string

const (
	misdeliveredResponse   rule = "MIXED"   // a client received something other than the response to its own request
	unexpectedRequest      rule = "UNASKED" // a runner received something that no client sent, or an altered request
	wrongRunner            rule = "ROUTE"   // a request reached another runner than the one that it names
	duplicateExecution     rule = "TWICE"   // a request that is not idempotent was executed more than once
	executedAfterRejection rule = "REFUSED" // a request was executed though its client was told that it was not and will not be
	budgetExceeded         rule = "BUDGET"  // a runner was given more time than there was, or too many runners got a request
	workAfterCancel        rule = "GONE"    // a request was sent or executed though its client had disconnected
	lostResponse           rule = "LOST"    // a client got no response in time though no runner or network gave reason for it
	routeTimeoutExceeded   rule = "CONFIG"  // a request went on beyond the timeout that its route is configured with
	resourcesNotReleased   rule = "BOUND"   // the proxy holds exchanges, bytes or sessions when all clients are done
)

// checker knows every request of a client and everything the runners did, and reports violations of the rules. It
// influences neither.
type checker struct {
	network             *simulatedNetwork
	requests            map[string]*simulatedRequest
	executions          map[string]*execution // by seal
	violations          []string
	suspectedViolations []suspectedViolation // count unless the request met a fault
	served              int
	rejected            int
	resumed             int
	timedOut            int
}

// simulatedRequest is a request of a client with its executions and its response.
type simulatedRequest struct {
	id          string // its X-Try-Id, which is unique in the run
	target      string
	method      string
	version     string
	kind        string // name of its route
	body        string
	sentAt      time.Duration
	deadline    time.Duration // of the client, in virtual time as all times here
	routeEnd    time.Duration // when the route's timeout ends
	cancelledAt time.Duration // when the client disconnected; 0: it did not
	arrivals    int           // at runners
	executions  []*execution
	faulted     bool // a runner or its network gave reason to cut off its response
	completed   bool // the client has its response or has seen its end
	rejected    bool
	slow        bool // the client did not send or read as fast as it could
	lastArrival time.Duration
}

// idempotent reports whether the request may be executed more than once.
func (q *simulatedRequest) idempotent() bool { return q.kind == "reads" || q.kind == "resumable" }

// execution is a runner's work on a request.
type execution struct {
	request *simulatedRequest
	runner  string
	seal    string // identifies the execution, in the header X-Server-Seal of its response
	status  int
	body    string // of a complete response
}

func newChecker(n *simulatedNetwork) *checker {
	return &checker{network: n, requests: map[string]*simulatedRequest{}, executions: map[string]*execution{}}
}

// violation records a broken rule.
func (r *checker) violation(broken rule, format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("%8.4f %s: %s", r.network.now.Seconds(), broken, fmt.Sprintf(format, args...)))
}

// suspectedViolation is a violation unless a runner or its network gave reason for it, which may turn out later.
type suspectedViolation struct {
	request *simulatedRequest
	rule    rule
	text    string
}

// suspect records a violation that counts unless the request turns out to have met a fault.
func (r *checker) suspect(request *simulatedRequest, broken rule, text string) {
	r.suspectedViolations = append(r.suspectedViolations, suspectedViolation{
		request: request,
		rule:    broken,
		text:    fmt.Sprintf("at %.4f: %s", r.network.now.Seconds(), text),
	})
}

// finish decides on the suspected violations.
func (r *checker) finish() {
	for _, d := range r.suspectedViolations {
		if !d.request.faulted {
			r.violation(d.rule, "%s %s", d.request.id, d.text)
		}
	}
}

// requestArrived processes the head of a request at a runner; nil: no client sent it.
func (r *checker) requestArrived(conn *simulatedRunnerConn, got *parsedHead) *simulatedRequest {
	runner := conn.runner
	request := r.requests[got.header.Get(headerTryID)]
	if request == nil {
		r.violation(unexpectedRequest, "runner %s gets %q", runner.id, got.line)
		return nil
	}
	request.arrivals++
	request.lastArrival = r.network.now
	if want := request.method + " " + request.target + " HTTP/1.1"; got.line != want {
		r.violation(unexpectedRequest, "%s arrives as %q, want %q", request.id, got.line, want)
	}
	if got.header.Get(headerModel) != "m-"+request.id || got.header.Get("Host") != "h.example" {
		r.violation(unexpectedRequest, "%s arrives with other fields: %v", request.id, got.header)
	}
	if wanted := got.header.Get(headerWantedServer); wanted != runner.id {
		r.violation(wrongRunner, "%s for %s arrives at %s", request.id, wanted, runner.id)
	}
	request.faulted = request.faulted || conn.wasDelayed()
	r.checkTimeLeft(conn, request, got.header.Get(headerTimeLeft))
	if request.cancelledAt > 0 && r.network.now > request.cancelledAt+cancelWithin {
		r.violation(workAfterCancel, "%s arrives at %s %v after its client disconnected", request.id, runner.id,
			r.network.now-request.cancelledAt)
	}
	return request
}

// checkTimeLeft checks the time that a runner is given, unless the request was delayed on its way.
func (r *checker) checkTimeLeft(conn *simulatedRunnerConn, request *simulatedRequest, value string) {
	left, err := strconv.ParseInt(value, 10, 64)
	if err != nil || left <= 0 {
		r.violation(budgetExceeded, "%s has a time left of %q", request.id, value)
		return
	}
	if conn.wasDelayed() {
		return
	}
	end := r.network.now + time.Duration(left)*time.Millisecond
	if end > min(request.deadline, request.routeEnd)+timeSlack {
		r.violation(budgetExceeded, "%s gets %v more than its client has", request.id, end-min(request.deadline, request.routeEnd))
	}
}

// executionStarted records that a runner starts to work on a request.
func (r *checker) executionStarted(request *simulatedRequest, runner string) *execution {
	run := &execution{request: request, runner: runner, seal: fmt.Sprintf("%s.%s.%d", runner, request.id, len(r.executions))}
	r.executions[run.seal] = run
	request.executions = append(request.executions, run)
	if len(request.executions) > 1 && !request.idempotent() {
		r.violation(duplicateExecution, "%s runs for the %d. time, at %s", request.id, len(request.executions), runner)
	}
	if request.rejected {
		r.violation(executedAfterRejection, "%s runs at %s after it was rejected", request.id, runner)
	}
	if len(request.executions) > simulationAttempts {
		r.violation(budgetExceeded, "%s runs on %d runners", request.id, len(request.executions))
	}
	return run
}

// clientLeft records that a client has disconnected; no work may continue for it.
func (r *checker) clientLeft(request *simulatedRequest) {
	if request.completed || request.cancelledAt > 0 {
		return
	}
	request.cancelledAt = r.network.now
}

// connectionEnded processes the end of a connection before the response was complete; partial means that a part of it had
// arrived.
func (r *checker) connectionEnded(request *simulatedRequest, partial bool) {
	request.completed = true
	over := r.network.now+timeSlack >= min(request.deadline, request.routeEnd)
	if !over {
		r.suspect(request, lostResponse, fmt.Sprintf("sees its connection end without a complete response; a part of it: %v", partial))
	}
}

// responseComplete checks a response that is complete as far as the client can tell.
func (r *checker) responseComplete(request *simulatedRequest, response *parsedResponse) {
	request.completed = true
	seal := response.head.header.Get(headerSeal)
	id := response.head.header.Get(headerTryID)
	if id != "" && id != request.id {
		r.violation(misdeliveredResponse, "%s gets the response to %s", request.id, id)
	}
	if seal == "" {
		r.checkLocalResponse(request, response)
		return
	}
	run := r.executions[seal]
	if run == nil || run.request != request {
		r.violation(misdeliveredResponse, "%s gets a response with the seal %q", request.id, seal)
		return
	}
	if meansNotRun(response.status) {
		r.violation(executedAfterRejection, "%s gets the %d of %s, which ran it", request.id, response.status, run.runner)
	}
	if response.status != run.status {
		r.violation(misdeliveredResponse, "%s gets %d where the runner responded %d", request.id, response.status, run.status)
	}
	want := run.body
	if response.status == 200 && request.kind == "resumable" {
		want = completeStream(request.id)
	}
	if response.body != want {
		r.violation(misdeliveredResponse, "%s gets %d bytes %.600q, want %d bytes %.60q",
			request.id, len(response.body), response.body, len(want), want)
	}
	if response.status == 200 {
		r.served++
		if len(request.executions) > 1 && request.kind == "resumable" {
			r.resumed++
		}
	}
}

// meansNotRun reports whether a status guarantees that the request was not and will not be executed.
func meansNotRun(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// checkLocalResponse checks a response without a seal, which comes from the proxy itself.
func (r *checker) checkLocalResponse(request *simulatedRequest, response *parsedResponse) {
	over := r.network.now+timeSlack >= min(request.deadline, request.routeEnd)
	switch {
	case meansNotRun(response.status):
		r.rejected++
		request.rejected = true
		if len(request.executions) > 0 {
			r.violation(executedAfterRejection, "%s gets %d and has run at %s", request.id, response.status, request.executions[0].runner)
		}
		if response.head.header.Get(headerRetryAfter) == "" {
			r.violation(executedAfterRejection, "%s gets %d without Retry-After", request.id, response.status)
		}
	case response.status == 504:
		r.timedOut++
		if !over {
			r.violation(lostResponse, "%s gets a 504 %v before its deadline", request.id,
				min(request.deadline, request.routeEnd)-r.network.now)
		}
	case response.status == 502:
		r.suspect(request, lostResponse, "gets a 502 though no runner failed it")
	default:
		r.violation(misdeliveredResponse, "%s gets %d without a seal: %v", request.id, response.status, response.head.header)
	}
}

// checkCompleted is called completeWithin after a route's timeout.
func (r *checker) checkCompleted(request *simulatedRequest) {
	if !request.completed && request.cancelledAt == 0 && !request.slow {
		r.violation(routeTimeoutExceeded, "%s has no complete response %v after its route's timeout", request.id, completeWithin)
	}
}

// checkCancelled is called cancelWithin after a client has disconnected.
func (r *checker) checkCancelled(request *simulatedRequest, runners []*simulatedRunner) {
	for _, runner := range runners {
		if runner.peer.lastPartitionEnd > 0 && runner.peer.lastPartitionEnd+longestPartition >= request.cancelledAt {
			continue
		}
		if slices.ContainsFunc(runner.conns, func(conn *simulatedRunnerConn) bool {
			return conn.request == request && conn.running && !conn.end.localClosed
		}) {
			r.violation(workAfterCancel, "%s is still being executed at %s", request.id, runner.id)
		}
	}
}

// parsedHead is the head of a message as the simulation's peers parse it, with a parser of their own.
type parsedHead struct {
	line   string
	header parsedHeader
	bytes  int
}

type parsedHeader map[string]string

// Get returns the value of a field.
func (h parsedHeader) Get(name string) string { return h[strings.ToLower(name)] }

// parseHead parses a head; nil if it is incomplete. A second field of the same name is stored under another one.
func parseHead(text string) *parsedHead {
	end := strings.Index(text, "\r\n\r\n")
	if end < 0 {
		return nil
	}
	lines := strings.Split(text[:end], "\r\n")
	head := &parsedHead{line: lines[0], header: parsedHeader{}, bytes: end + 4}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		name = strings.ToLower(name)
		if _, twice := head.header[name]; twice {
			name += " again"
		}
		head.header[name] = strings.Trim(value, " \t")
	}
	return head
}

// parsedResponse is a response as a client parses it.
type parsedResponse struct {
	head   *parsedHead
	status int
	body   string
	bytes  int
	closes bool
}

// parseResponse parses a response. ended means that the connection was closed in order; whole that the response is
// complete; valid that it is a response so far.
func parseResponse(text string, ended bool) (response *parsedResponse, whole, valid bool) {
	head := parseHead(text)
	if head == nil {
		return nil, false, strings.HasPrefix("HTTP/1.1 ", text[:min(len(text), 9)])
	}
	response = &parsedResponse{head: head, closes: head.header.Get("Connection") == "close"}
	code, _, _ := strings.Cut(strings.TrimPrefix(head.line, "HTTP/1.1 "), " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(head.line, "HTTP/1.1 ") {
		return nil, false, false
	}
	response.status = status
	rest := text[head.bytes:]
	if head.header.Get("Transfer-Encoding") == "chunked" {
		body, n, done, ok := parseChunks(rest)
		response.body = body
		response.bytes = head.bytes + n
		return response, done, ok
	}
	if length := head.header.Get("Content-Length"); length != "" {
		size, err := strconv.Atoi(length)
		if err != nil {
			return nil, false, false
		}
		response.bytes = head.bytes + min(size, len(rest))
		response.body = rest[:min(size, len(rest))]
		return response, len(rest) >= size, true
	}
	response.body = rest
	response.bytes = len(text)
	response.closes = true
	return response, ended, true
}

// parseChunks parses a chunked body.
func parseChunks(text string) (body string, n int, whole, valid bool) {
	var out strings.Builder
	for {
		line, _, found := strings.Cut(text[n:], "\r\n")
		if !found {
			return out.String(), n, false, true
		}
		size, err := strconv.ParseInt(line, 16, 32)
		if err != nil {
			return out.String(), n, false, false
		}
		begin := n + len(line) + 2
		if len(text) < begin+int(size)+2 {
			return out.String(), n, false, true
		}
		out.WriteString(text[begin : begin+int(size)])
		n = begin + int(size) + 2
		if size == 0 {
			return out.String(), n, true, true
		}
	}
}
