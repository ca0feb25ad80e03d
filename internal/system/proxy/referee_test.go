package proxy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	goneWithin  = 500 * time.Millisecond // after which nothing may go on for a client that has left
	finalWithin = 250 * time.Millisecond // after a route's time, in which its requests have their final answer
	timeSlack   = 100 * time.Millisecond // that a runner may be given more than is left: ways and long turns
)

// referee knows what every client asked and what every runner did, and says what breaks the rules. It has no part in
// either.
type referee struct {
	network  *simulatedNetwork
	requests map[string]*askedRequest
	runs     map[string]*run // by their seal
	broken   []string
	doubts   []doubt // that hold unless the request met trouble
	served   int
	refused  int
	resumed  int
	late     int
}

// askedRequest is what a client has asked.
type askedRequest struct {
	id, target  string
	method      string
	version     string // of HTTP
	kind        string // of its route
	body        string
	sentAt      time.Duration
	deadline    time.Duration // of the client
	routeEnd    time.Duration // of the route's time
	leftAt      time.Duration // when the client left; 0: it did not
	arrivals    int
	runs        []*run
	troubled    bool // a runner or its line gave reason to break its answer off
	final       bool // the client has its answer, or has seen its end
	promised    bool
	slow        bool // the client did not send or read as fast as it could
	lastArrival time.Duration
}

// repeatable says whether the request may run more than once.
func (q *askedRequest) repeatable() bool { return q.kind == "reads" || q.kind == "resumable" }

// run is a runner's work on a request.
type run struct {
	request *askedRequest
	runner  string
	seal    string
	status  int
	body    string // of a whole answer
}

func newReferee(n *simulatedNetwork) *referee {
	return &referee{network: n, requests: map[string]*askedRequest{}, runs: map[string]*run{}}
}

// breaks notes a broken rule.
func (r *referee) breaks(rule, format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf("%8.4f %s: %s", r.network.now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

// doubt is a rule that is broken unless a runner or its line gave reason for it, which may show later.
type doubt struct {
	request *askedRequest
	rule    string
	text    string
}

// doubts notes a rule that is broken unless the request turns out to have met trouble.
func (r *referee) doubt(q *askedRequest, rule, text string) {
	r.doubts = append(r.doubts, doubt{q, rule, fmt.Sprintf("at %.4f: %s", r.network.now.Seconds(), text)})
}

// settle decides what was in doubt.
func (r *referee) settle() {
	for _, d := range r.doubts {
		if !d.request.troubled {
			r.breaks(d.rule, "%s %s", d.request.id, d.text)
		}
	}
}

// arrived takes a request's head that has come to a runner; nil: nobody asked it.
func (r *referee) arrived(conn *modelConn, got *parsedHead) *askedRequest {
	runner := conn.runner
	q := r.requests[got.header.Get(fieldTryID)]
	if q == nil {
		r.breaks("UNASKED", "runner %s gets %q", runner.id, got.line)
		return nil
	}
	q.arrivals++
	q.lastArrival = r.network.now
	if want := q.method + " " + q.target + " HTTP/1.1"; got.line != want {
		r.breaks("UNASKED", "%s arrives as %q, want %q", q.id, got.line, want)
	}
	if got.header.Get(fieldModel) != "m-"+q.id || got.header.Get("Host") != "h.example" {
		r.breaks("UNASKED", "%s arrives with other fields: %v", q.id, got.header)
	}
	if wanted := got.header.Get(fieldWanted); wanted != runner.id {
		r.breaks("ROUTE", "%s for %s arrives at %s", q.id, wanted, runner.id)
	}
	q.troubled = q.troubled || conn.heldUp()
	r.checkTimeLeft(conn, q, got.header.Get(fieldTimeLeft))
	if q.leftAt > 0 && r.network.now > q.leftAt+goneWithin {
		r.breaks("GONE", "%s arrives at %s %v after its client left", q.id, runner.id, r.network.now-q.leftAt)
	}
	return q
}

// checkTimeLeft looks at how long a runner is told to have, unless the way there held the request up.
func (r *referee) checkTimeLeft(conn *modelConn, q *askedRequest, value string) {
	left, err := strconv.ParseInt(value, 10, 64)
	if err != nil || left <= 0 {
		r.breaks("BUDGET", "%s is told %q to be left", q.id, value)
		return
	}
	if conn.heldUp() {
		return
	}
	end := r.network.now + time.Duration(left)*time.Millisecond
	if end > min(q.deadline, q.routeEnd)+timeSlack {
		r.breaks("BUDGET", "%s is given %v beyond its client's time", q.id, end-min(q.deadline, q.routeEnd))
	}
}

// ran takes the begin of a runner's work.
func (r *referee) ran(q *askedRequest, runner string) *run {
	made := &run{request: q, runner: runner, seal: fmt.Sprintf("%s.%s.%d", runner, q.id, len(r.runs))}
	r.runs[made.seal] = made
	q.runs = append(q.runs, made)
	if len(q.runs) > 1 && !q.repeatable() {
		r.breaks("TWICE", "%s runs for the %d. time, at %s", q.id, len(q.runs), runner)
	}
	if q.promised {
		r.breaks("REFUSED", "%s runs at %s after it was refused", q.id, runner)
	}
	if len(q.runs) > modelTries {
		r.breaks("BUDGET", "%s runs on %d runners", q.id, len(q.runs))
	}
	return made
}

// left takes that a client has left; nothing may go on for it.
func (r *referee) left(q *askedRequest) {
	if q.final || q.leftAt > 0 {
		return
	}
	q.leftAt = r.network.now
}

// ended takes the end of a request's connection before its answer was whole; some says that a part had come.
func (r *referee) ended(q *askedRequest, some bool) {
	q.final = true
	over := r.network.now+timeSlack >= min(q.deadline, q.routeEnd)
	if !over {
		r.doubt(q, "LOST", fmt.Sprintf("sees its connection end without a complete answer; some of it: %v", some))
	}
}

// answered takes an answer that is whole as far as the client can tell.
func (r *referee) answered(q *askedRequest, a *parsedAnswer) {
	q.final = true
	seal := a.head.header.Get(fieldSeal)
	id := a.head.header.Get(fieldTryID)
	if id != "" && id != q.id {
		r.breaks("MIXED", "%s gets the answer to %s", q.id, id)
	}
	if seal == "" {
		r.ownAnswer(q, a)
		return
	}
	made := r.runs[seal]
	if made == nil || made.request != q {
		r.breaks("MIXED", "%s gets an answer with the stamp %q", q.id, seal)
		return
	}
	if promises(a.status) {
		r.breaks("REFUSED", "%s gets the %d of %s, which ran it", q.id, a.status, made.runner)
	}
	if a.status != made.status {
		r.breaks("MIXED", "%s gets %d where the runner answered %d", q.id, a.status, made.status)
	}
	want := made.body
	if a.status == 200 && q.kind == "resumable" {
		want = wholeStream(q.id)
	}
	if a.body != want {
		r.breaks("MIXED", "%s gets %d bytes %.600q, want %d bytes %.60q", q.id, len(a.body), a.body, len(want), want)
	}
	if a.status == 200 {
		r.served++
		if len(q.runs) > 1 && q.kind == "resumable" {
			r.resumed++
		}
	}
}

// promises says whether a status tells that the request has not run and never will.
func promises(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// ownAnswer takes an answer without a stamp, which is the proxy's own.
func (r *referee) ownAnswer(q *askedRequest, a *parsedAnswer) {
	over := r.network.now+timeSlack >= min(q.deadline, q.routeEnd)
	switch {
	case promises(a.status):
		r.refused++
		q.promised = true
		if len(q.runs) > 0 {
			r.breaks("REFUSED", "%s gets %d and has run at %s", q.id, a.status, q.runs[0].runner)
		}
		if a.head.header.Get(fieldRetryAfter) == "" {
			r.breaks("REFUSED", "%s gets %d without Retry-After", q.id, a.status)
		}
	case a.status == 504:
		r.late++
		if !over {
			r.breaks("LOST", "%s gets a 504 %v before its time is over", q.id, min(q.deadline, q.routeEnd)-r.network.now)
		}
	case a.status == 502:
		r.doubt(q, "LOST", "gets a 502 though no runner failed it")
	default:
		r.breaks("MIXED", "%s gets %d without a stamp: %v", q.id, a.status, a.head.header)
	}
}

// checkFinal is called finalWithin after a route's time.
func (r *referee) checkFinal(q *askedRequest) {
	if !q.final && q.leftAt == 0 && !q.slow {
		r.breaks("CONFIG", "%s has no final answer %v after its route's time", q.id, finalWithin)
	}
}

// checkGone is called goneWithin after a client has left.
func (r *referee) checkGone(q *askedRequest, runners []*modelRunner) {
	for _, runner := range runners {
		if runner.peer.lastCut > 0 && runner.peer.lastCut+longCut >= q.leftAt {
			continue
		}
		if slices.ContainsFunc(runner.conns, func(c *modelConn) bool { return c.request == q && c.running && !c.end.gone }) {
			r.breaks("GONE", "%s is still worked on at %s", q.id, runner.id)
		}
	}
}

// parsedHead is the head of a message as the model's peers read it: with a parser of their own.
type parsedHead struct {
	line   string
	header parsedHeader
	bytes  int
}

type parsedHeader map[string]string

// Get is the value of a field.
func (h parsedHeader) Get(name string) string { return h[strings.ToLower(name)] }

// parseHead reads a head; nil: it is not whole. A second field of a name is kept under another one.
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

// parsedAnswer is an answer as a client reads it.
type parsedAnswer struct {
	head   *parsedHead
	status int
	body   string
	bytes  int
	closes bool
}

// parseAnswer reads an answer; whole says whether it is, ended that the connection was closed in order, valid that it is
// an answer so far.
func parseAnswer(text string, ended bool) (a *parsedAnswer, whole, valid bool) {
	head := parseHead(text)
	if head == nil {
		return nil, false, strings.HasPrefix("HTTP/1.1 ", text[:min(len(text), 9)])
	}
	a = &parsedAnswer{head: head, closes: head.header.Get("Connection") == "close"}
	code, _, _ := strings.Cut(strings.TrimPrefix(head.line, "HTTP/1.1 "), " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(head.line, "HTTP/1.1 ") {
		return nil, false, false
	}
	a.status = status
	rest := text[head.bytes:]
	if head.header.Get("Transfer-Encoding") == "chunked" {
		body, n, done, ok := parseChunks(rest)
		a.body, a.bytes = body, head.bytes+n
		return a, done, ok
	}
	if length := head.header.Get("Content-Length"); length != "" {
		size, err := strconv.Atoi(length)
		if err != nil {
			return nil, false, false
		}
		a.bytes = head.bytes + min(size, len(rest))
		a.body = rest[:min(size, len(rest))]
		return a, len(rest) >= size, true
	}
	a.body, a.bytes, a.closes = rest, len(text), true
	return a, ended, true
}

// parseChunks reads a chunked body.
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
