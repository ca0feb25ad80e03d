package runner

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/engine"
)

// order is a request at work.
type order struct {
	runner  *Runner
	try     string
	run     string // a name for this run
	request *engine.Request
	task    *engine.Task
	fault   fault
	w       http.ResponseWriter
	conn    *conn
	sent    int // events

	mutex  sync.Mutex
	events []engine.Event
	signal chan struct{}
}

func newOrder(r *Runner, try string, request *engine.Request) *order {
	return &order{runner: r, try: try, request: request, run: fmt.Sprintf("%s-%08x", r.options.ID, r.random.Uint32()),
		signal: make(chan struct{}, 1)}
}

// push adds an event of the machine; it never blocks.
func (o *order) push(event engine.Event) {
	o.mutex.Lock()
	o.events = append(o.events, event)
	o.mutex.Unlock()
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// take takes all events that have come.
func (o *order) take() []engine.Event {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	events := o.events
	o.events = nil
	return events
}

// request reads what a caller asks for.
func (r *Runner) request(q *http.Request) (*engine.Request, error) {
	request := &engine.Request{Model: q.Header.Get(answer.HeaderModel), Priority: engine.DefaultPriority}
	if n, err := strconv.Atoi(q.Header.Get(answer.HeaderPriority)); err == nil && n >= 0 && n <= engine.LowestPriority {
		request.Priority = n
	}
	if r.options.EventTokens == 0 {
		return request, nil
	}
	var err error
	if request.Chunks, err = parseParts(q.Header.Get(answer.HeaderPromptChunks)); err != nil {
		return nil, err
	}
	most := 1
	if _, out, found := strings.Cut(q.Header.Get(answer.HeaderTokenCounts), ","); found {
		most, _ = strconv.Atoi(out)
	}
	request.OutputTokens = outOf(request.Chunks, most)
	if last := q.Header.Get(answer.HeaderLastEventID); last != "" {
		done, err := strconv.Atoi(last)
		if err != nil || done < 0 {
			return nil, fmt.Errorf("%s %q is not a number", answer.HeaderLastEventID, last)
		}
		request.ResumedTokens = min(done*r.options.EventTokens, request.OutputTokens-1)
	}
	return request, nil
}

// parseParts reads the parts of a prompt.
func parseParts(text string) (parts []engine.Chunk, err error) {
	if text == "" {
		return nil, nil
	}
	for field := range strings.SplitSeq(text, ",") {
		id, tokens, found := strings.Cut(field, ":")
		if !found {
			return nil, fmt.Errorf("part %q of a prompt has no size", field)
		}
		var part engine.Chunk
		if part.ID, err = strconv.ParseUint(id, 16, 64); err != nil {
			return nil, fmt.Errorf("part %q of a prompt: %w", field, err)
		}
		if part.Tokens, err = strconv.Atoi(tokens); err != nil || part.Tokens < 0 {
			return nil, fmt.Errorf("part %q of a prompt has no size", field)
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// outOf is how many tokens a prompt is answered with: the same at every runner, and between a quarter of the most and
// all.
func outOf(parts []engine.Chunk, most int) int {
	most = max(1, most)
	if len(parts) == 0 {
		return most
	}
	hash := fnv.New32a()
	fmt.Fprint(hash, parts[len(parts)-1].ID)
	const steps = 1000
	return max(1, most/4+most*3/4*int(hash.Sum32()%steps)/(steps-1))
}

// follow passes on to the caller what the machine does for its request.
func (r *Runner) follow(o *order, q *http.Request) {
	for {
		select {
		case <-o.signal:
		case <-q.Context().Done():
			r.cancel(o)
			return
		}
		if slices.ContainsFunc(o.take(), func(event engine.Event) bool { return r.answer(o, q, event) }) {
			return
		}
	}
}

// cancel ends the work for a caller that has left.
func (r *Runner) cancel(o *order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o.task == nil {
		return
	}
	r.options.Engine.Cancel(r.now(), o.task)
	delete(r.orders, o.task)
	r.poke()
}

// answer does what an event asks for; it says whether the answer has ended.
func (r *Runner) answer(o *order, q *http.Request, event engine.Event) bool {
	switch event.Kind {
	case engine.Emitted:
		return r.spoil(o, q) || r.sendEvent(o, event.Index)
	case engine.Finished:
		if o.sent == 0 {
			return r.spoil(o, q) || r.sendBody(o)
		}
		return r.finish(o)
	case engine.Expired:
		r.turnAway(o.w, http.StatusServiceUnavailable)
		return true
	case engine.TimedOut:
		if o.sent > 0 {
			panic(http.ErrAbortHandler)
		}
		o.w.WriteHeader(http.StatusGatewayTimeout)
		return true
	case engine.Lost:
		if r.isDark() {
			<-q.Context().Done()
			return true
		}
		reset(o.conn.Conn)
		return true
	}
	return false
}

// spoil plays a fault in place of an answer, or of the next piece of one; it says whether that was the end.
func (r *Runner) spoil(o *order, q *http.Request) bool {
	switch o.fault {
	case faultGarbage:
		o.conn.Conn.Write([]byte("\x00\x01 not an answer\r\n\r\n"))
		reset(o.conn.Conn)
	case faultSilent:
		<-q.Context().Done()
	case faultReset:
		reset(o.conn.Conn)
	case faultBreakOff:
		if o.request.OutputTokens > 0 && o.sent < 1 {
			return false // not before the first event
		}
		if o.request.OutputTokens == 0 {
			r.sendHalf(o)
		}
		r.played()
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	r.played()
	return true
}

func (r *Runner) played() { r.count(func(s *Stats) { s.FaultsInjected++ }) }

// total is how many events the whole stream has.
func (o *order) total() int {
	stride := max(1, o.runner.options.EventTokens)
	return (o.request.OutputTokens + stride - 1) / stride
}

func (r *Runner) sendEvent(o *order, index int) bool {
	if o.sent == 0 {
		seal := answer.Seal{Stream: true, Size: o.total(), AttemptID: o.try, ExecutionID: o.run}
		o.w.Header().Set(answer.HeaderSeal, seal.String())
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.WriteHeader(http.StatusOK)
	}
	o.sent++
	event := answer.Event{Index: index, Total: o.total(), ExecutionID: o.run}
	fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", index, event.Data())
	return http.NewResponseController(o.w).Flush() != nil
}

func (r *Runner) body(o *order) []byte {
	text := []byte(o.run + " ")
	body := make([]byte, 0, r.options.BodyBytes+len(text))
	for len(body) < max(1, r.options.BodyBytes) {
		body = append(body, text...)
	}
	return body
}

func (r *Runner) sendBody(o *order) bool {
	body := r.body(o)
	r.bodyHead(o, body)
	o.w.Write(body)
	return r.finish(o)
}

// sendHalf sends half of a body.
func (r *Runner) sendHalf(o *order) {
	body := r.body(o)
	r.bodyHead(o, body)
	o.w.Write(body[:len(body)/2])
	http.NewResponseController(o.w).Flush()
}

func (r *Runner) bodyHead(o *order, body []byte) {
	seal := answer.Seal{Size: len(body), Checksum: answer.Checksum(body), AttemptID: o.try, ExecutionID: o.run}
	o.w.Header().Set(answer.HeaderSeal, seal.String())
	o.w.Header().Set("Content-Type", "application/octet-stream")
	o.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	o.w.WriteHeader(http.StatusOK)
}

// finish ends a whole answer, and has extra bytes follow it if that is its fault.
func (r *Runner) finish(o *order) bool {
	r.count(func(s *Stats) { s.Finished++ })
	switch o.fault {
	case faultExtra:
		o.conn.extra = spare(o.try)
		r.played()
	case faultExtraLate:
		o.conn.late = spare(o.try)
		r.played()
	}
	return true
}
