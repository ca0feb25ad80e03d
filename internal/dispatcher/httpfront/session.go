package httpfront

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admission"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/slotmap"
)

// session is a client session.
type session struct {
	front           *Front
	handle          slotmap.Handle
	conn            *eventloop.Conn
	request         dispatch.RequestID
	callID          string // id of the open req, if any
	reservedBytes   int    // bytes of the open req
	closeAfterReply bool   // closes after the answer
	hasRequested    bool   // has carried a client's request
	hasSent         bool   // has carried any request
	hasCallback     bool   // has carried call-backs
	awaitingForward bool   // its call-back is asked about elsewhere
	idleOrder       uint64 // its place in the order in which sessions came to rest; times tie within a turn
	source          netip.Addr
	fromBackend     bool // comes from where a listed backend stands
	acceptedAt      float64
	requestStart    float64 // when the first bytes came of the request that is not whole yet; 0 is none
	timeout         *eventloop.Timer
}

func (s *session) idle() bool {
	return s.callID == "" && !s.awaitingForward && len(s.conn.Bytes()) == 0 && s.conn.Unsent() == 0
}

// How well a session can be spared; 0 is not at all.
const (
	rankCallbacks  = iota + 1 // carried call-backs, rests
	rankIdle                  // carried requests, rests
	rankIncomplete            // its first request is not whole
	rankSilent                // has sent nothing
)

func (s *session) evictionRank() int {
	switch begun := len(s.conn.Bytes()) > 0; {
	case s.callID != "" || s.awaitingForward || s.conn.Unsent() > 0 || s.hasSent && begun:
		return 0
	case !s.hasSent && s.fromBackend: // brings a call-back, which may be all that frees a session
		return 0
	case !s.hasSent && begun:
		return rankIncomplete
	case !s.hasSent:
		return rankSilent
	case s.hasRequested:
		return rankIdle
	}
	return rankCallbacks
}

// awaitRequest waits for the next request. A connection that has not shown what it wants is closed early.
func (s *session) awaitRequest() {
	s.front.idleCounter++
	s.idleOrder = s.front.idleCounter
	if handle := s.handle; s.front.successor != nil {
		s.front.loop.Defer(func() {
			if _, ok := s.front.sessions.Get(handle); ok {
				s.offerToSuccessor()
			}
		})
	}
	if s.hasSent {
		s.setTimeout(s.front.loop.Now()+idleTimeout, s.end)
		if s.hasRequested && s.front.requestingSessions > s.front.limiter.IdleThreshold() {
			s.front.evict(func(other *session) bool { return other.hasRequested && other != s })
		}
		return
	}
	s.setTimeout(s.acceptedAt+admission.FirstMessageTimeout, func() {
		s.front.TimedOut++
		s.turnAway("no request came in time")
	})
}

// turnAway closes a session that has not handed in a whole request. It may be a usual client's, whose first request is
// on its way: that must not meet a silent close but a word that it is harmless to repeat.
func (s *session) turnAway(reason string) {
	s.closeAfterReply = true
	s.reply(503, s.front.retryAfterHeader, []byte(reason+"\n"))
}

func (s *session) setTimeout(at float64, callback func()) {
	s.timeout.Stop()
	s.timeout = s.front.loop.At(at, callback)
}

func (s *session) end() {
	s.unregister()
	s.conn.Close()
}

func (s *session) unregister() {
	s.timeout.Stop()
	if s.front.sessions.Remove(s.handle) {
		s.front.limiter.Unregister(s.source)
		if s.hasRequested {
			s.front.requestingSessions--
		}
	}
	s.endCall()
}

// endCall ends the session's call.
func (s *session) endCall() {
	if s.callID != "" {
		delete(s.front.openCalls, s.callID)
		s.front.limiter.ReleaseJob(s.reservedBytes)
		s.callID = ""
	}
}

// Opened implements eventloop.Handler.
func (s *session) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler: the client has gone away.
func (s *session) Closed(*eventloop.Conn, error) {
	open := s.callID != ""
	s.unregister()
	if open {
		s.front.dispatcher.HandleDisconnect(s.request)
	}
}

// Data implements eventloop.Handler.
func (s *session) Data(conn *eventloop.Conn) {
	s.front.lastInput = s.front.loop.Now()
	if s.callID == "" && !s.awaitingForward && s.offerToSuccessor() { // the successor reads it
		return
	}
	if s.callID != "" || s.awaitingForward { // the next request, sent early, waits for its turn
		if len(conn.Bytes()) > maxPipelined {
			conn.SetPaused(true)
		}
		return
	}
	s.readRequests()
}

// readRequests takes requests until one is open or no whole one is left.
func (s *session) readRequests() {
	for s.callID == "" && !s.awaitingForward {
		s.conn.SetPaused(false)
		if len(s.conn.Bytes()) == 0 {
			return
		}
		request, size, err := ParseRequest(s.conn.Bytes())
		switch {
		case errors.Is(err, ErrIncomplete) && s.front.limiter.BuffersFull():
			s.rejectMalformed(503, "no memory to wait for the rest")
			return
		case errors.Is(err, ErrIncomplete):
			s.awaitRest()
			return
		case err != nil:
			status := 400
			var syntax *SyntaxError
			if errors.As(err, &syntax) && syntax.Status < 500 {
				status = syntax.Status
			}
			s.rejectMalformed(status, err.Error())
			return
		}
		s.conn.Consume(size)
		s.timeout.Stop()
		s.closeAfterReply, s.hasSent, s.requestStart = request.Close, true, 0
		handle := s.handle
		s.serve(&request)
		if _, open := s.front.sessions.Get(handle); !open {
			return
		}
	}
}

// awaitRest bounds how long the rest of a request may take, from its first byte: bytes that come now and then must
// not hold the session for ever.
func (s *session) awaitRest() {
	if ExpectsContinue(s.conn.Bytes()) {
		s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if s.requestStart > 0 {
		return
	}
	s.requestStart = s.front.loop.Now()
	deadline := s.requestStart + admission.MessageTimeout
	if !s.hasSent {
		deadline = min(deadline, s.acceptedAt+admission.FirstMessageTimeout)
	}
	s.setTimeout(deadline, func() {
		s.front.TimedOut++
		s.rejectMalformed(408, "request not whole in time")
	})
}

// rejectMalformed answers what is no request and closes.
func (s *session) rejectMalformed(status int, reason string) {
	s.front.Malformed++
	if s.front.mayLog("malformed") {
		s.front.log.Warn("client session: malformed request", zap.String("reason", reason), zap.Uint64("so_far", s.front.Malformed))
	}
	s.closeAfterReply = true
	s.reply(status, "", []byte(reason+"\n"))
}

// reply writes an answer and waits for the next request, or closes.
func (s *session) reply(status int, extra string, body []byte) {
	closeNow := s.closeAfterReply || s.front.draining && s.hasRequested || s.front.closingIdle && !s.hasCallback
	s.conn.Write(AppendResponse(nil, status, extra, body, closeNow))
	if closeNow {
		s.unregister()
		s.conn.CloseAfterFlush()
		return
	}
	s.awaitRequest()
}

func (s *session) serve(request *Request) {
	path, _, _ := strings.Cut(request.Target, "?")
	switch {
	case path == "/_health" && request.Method == "GET":
		if s.front.evacuatedSince > 0 {
			s.reply(503, "", []byte("evacuated\n"))
			return
		}
		if s.front.rejecting {
			s.reply(503, "", []byte("out of lease\n"))
			return
		}
		s.reply(200, "", []byte("ok\n"))
	case path == "/_jobs/news":
		s.serveCallback(request)
	case request.Method != "POST":
		s.rejectMalformed(405, "POST only")
	default:
		s.submit(request)
	}
}

// serveCallback takes a call-back; whatever it says it has been heard, so that the runner does not try again. One that is not
// known here may be of a fetch of the other process: it has been heard once that has it, or nobody does.
func (s *session) serveCallback(request *Request) {
	callback, err := ParseCallback(request.Body)
	if err != nil || request.Method != "POST" {
		s.front.BadCallbacks++
		if s.front.mayLog("news") {
			s.front.log.Warn("backend: bad call-back", zap.Error(err), zap.Uint64("so_far", s.front.BadCallbacks))
		}
		s.reply(400, "", nil)
		return
	}
	s.hasCallback = true
	if handle := s.handle; s.front.ForwardCallback != nil && !s.front.pool.Knows(&callback) && s.front.ForwardCallback(request.Body, func() {
		if _, open := s.front.sessions.Get(handle); open && s.awaitingForward {
			s.awaitingForward = false
			s.reply(204, "", nil)
			s.resume()
		}
	}) {
		s.awaitingForward = true
		s.setTimeout(s.front.loop.Now()+forwardTimeout, func() { // it will come again
			s.awaitingForward, s.closeAfterReply = false, true
			s.reply(503, "", nil)
		})
		return
	}
	s.reply(204, "", nil)
	s.front.pool.HandleCallback(callback)
}

// submit hands a client's job to the core.
func (s *session) submit(request *Request) {
	if !s.hasRequested {
		s.hasRequested = true
		s.front.requestingSessions++
	}
	call, budget, reason := s.front.parseCall(request)
	class, known := s.front.classes[call.Class]
	info := parseCallInfo(request.Header.Get("X-Call-Info"))
	firstValue := func(names ...string) float64 {
		for _, name := range names {
			if value, ok := info[name]; ok {
				return value
			}
		}
		return 0
	}
	switch {
	case reason != "":
		s.rejectMalformed(400, reason)
		return
	case !known: // what a repeat of it may do is not known either: never served
		s.rejectMalformed(404, "unknown class")
		return
	case s.front.openCalls[call.ID]: // its call-backs could not be told apart
		s.rejectMalformed(409, "call id in use")
		return
	case firstValue("coresNeeded", "slots") > maxSlots:
		s.rejectMalformed(400, "more slots than any machine has")
		return
	case s.front.evacuatedSince > 0 && s.front.loop.Now() >= s.front.evacuatedSince+evacuationCutoff:
		s.closeAfterReply = true
		s.rejectCall(&call, class, dispatch.ReasonEvacuated, "evacuated\n")
		return
	case s.front.rejecting:
		s.rejectCall(&call, class, dispatch.ReasonLeaseExpired, "out of lease\n")
		return
	case !s.front.limiter.ReserveJob(len(call.Body)):
		s.rejectCall(&call, class, dispatch.ReasonNoMemory, "")
		return
	}
	hint, _ := strconv.ParseFloat(request.Header.Get("X-Call-Cost"), 64)
	if hint = hint / 1000; !(hint > 0 && hint <= class.deadline) {
		hint = 0 // one senseless hint must not spoil the mean of its class
	}
	s.callID, s.reservedBytes = call.ID, len(call.Body)
	s.front.openCalls[call.ID] = true
	s.request = s.front.dispatcher.Submit(dispatch.Job{Class: class.index, Slots: firstValue("coresNeeded", "slots"), Memory: firstValue("memory"), Work: hint,
		Deadline: s.front.loop.Now() + min(budget, class.deadline) - budgetMargin, Payload: &call, ID: call.ID, Front: frontName},
		&requester{session: s, callID: call.ID})
}

// rejectCall turns a call away without the core, which notes it all the same.
func (s *session) rejectCall(call *Call, class class, reason dispatch.Reason, body string) {
	s.front.dispatcher.RecordAnswer(dispatch.Job{ID: call.ID, Front: frontName, Class: class.index}, dispatch.Rejected, reason, s.front.retryAfter)
	s.reply(503, s.front.retryAfterHeader, []byte(body))
}

func appendRetryAfter(wait float64) string { return fmt.Sprintf("Retry-After: %.3f\r\n", wait) }

// requester answers one req; a session that has ended, or gone on, is not touched.
type requester struct {
	session *session
	callID  string
}

// Answer implements dispatch.Requester.
func (r *requester) Answer(answer dispatch.Answer) {
	session := r.session
	if _, open := session.front.sessions.Get(session.handle); !open || session.callID != r.callID {
		return
	}
	session.endCall()
	handle := session.handle
	switch answer.Verdict {
	case dispatch.Served:
		session.reply(200, "", answer.Body)
	case dispatch.Rejected:
		extra := ""
		if answer.RetryAfter > 0 {
			extra = appendRetryAfter(answer.RetryAfter)
		}
		session.reply(503, extra, nil)
	default:
		session.reply(500, "", nil)
	}
	if _, open := session.front.sessions.Get(handle); open {
		session.resume()
	}
}

// resume has a request that was sent early have its turn.
func (s *session) resume() {
	handle := s.handle
	s.front.loop.Defer(func() {
		if _, open := s.front.sessions.Get(handle); open && s.callID == "" && !s.awaitingForward {
			s.readRequests()
		}
	})
}
