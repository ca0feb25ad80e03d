package httpfront

import (
	"fmt"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
)

// serve dispatches a request by its path.
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

// serveCallback handles a callback. The runner gets 204 whatever it reports, so that it does not repeat it. A callback that
// is not known here may be for a call of the other process: it is answered once that has it, or nobody does.
func (s *session) serveCallback(request *Request) {
	callback, err := ParseCallback(request.Body)
	if err != nil || request.Method != "POST" {
		s.front.BadCallbacks++
		if s.front.mayLog("news") {
			s.front.log.Warn("backend: invalid callback", zap.Error(err), zap.Uint64("total", s.front.BadCallbacks))
		}
		s.reply(400, "", nil)
		return
	}
	s.hasCallback = true
	if !s.front.pool.Knows(&callback) && s.forwardCallback(request.Body) {
		return
	}
	s.reply(204, "", nil)
	s.front.pool.HandleCallback(callback)
}

// forwardCallback passes a callback to the other process, whose answer replies to the runner. It reports whether there is
// one to take it.
func (s *session) forwardCallback(body []byte) bool {
	if s.front.ForwardCallback == nil {
		return false
	}
	handle := s.handle
	forwarded := s.front.ForwardCallback(body, func() {
		if _, open := s.front.sessions.Get(handle); open && s.awaitingForward {
			s.awaitingForward = false
			s.reply(204, "", nil)
			s.resume()
		}
	})
	if !forwarded {
		return false
	}
	s.awaitingForward = true
	s.setTimeout(s.front.loop.Now()+forwardTimeout, func() { // the runner will retry
		s.awaitingForward = false
		s.closeAfterReply = true
		s.reply(503, "", nil)
	})
	return true
}

// submit submits a client's job, or rejects it.
func (s *session) submit(request *Request) {
	if !s.hasRequested {
		s.hasRequested = true
		s.front.requestingSessions++
	}
	call, budget, reason := s.front.parseCall(request)
	class, known := s.front.classes[call.Class]
	info := parseCallInfo(request.Header.Get("X-Call-Info"))
	slots := firstValue(info, "coresNeeded", "slots")
	switch {
	case reason != "":
		s.rejectMalformed(400, reason)
		return
	case !known: // whether a retry is safe is not known: never served
		s.rejectMalformed(404, "unknown class")
		return
	case s.front.openCalls[call.ID]: // the callbacks of two calls could not be told apart
		s.rejectMalformed(409, "call id in use")
		return
	case slots > maxSlots:
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
	s.callID = call.ID
	s.reservedBytes = len(call.Body)
	s.front.openCalls[call.ID] = true
	job := dispatch.Job{
		Class:    class.index,
		Slots:    slots,
		Memory:   firstValue(info, "memory"),
		Work:     hintedWork(request, class),
		Deadline: s.front.loop.Now() + min(budget, class.deadline) - budgetMargin,
		Payload:  &call,
		ID:       call.ID,
		Front:    frontName,
	}
	s.request = s.front.dispatcher.Submit(job, &requester{session: s, callID: call.ID})
}

// firstValue returns the first of the named values that a call gives; 0: none.
func firstValue(info map[string]float64, names ...string) float64 {
	for _, name := range names {
		if value, ok := info[name]; ok {
			return value
		}
	}
	return 0
}

// hintedWork returns the work in seconds that a request's header hints; 0: none that makes sense. One bad hint must not
// distort the mean of its class.
func hintedWork(request *Request, class class) float64 {
	hintMS, _ := strconv.ParseFloat(request.Header.Get("X-Call-Cost"), 64)
	hint := hintMS / 1000
	if !(hint > 0 && hint <= class.deadline) {
		return 0
	}
	return hint
}

// rejectCall rejects a call without submitting it; it is recorded all the same.
func (s *session) rejectCall(call *Call, class class, reason dispatch.Reason, body string) {
	job := dispatch.Job{ID: call.ID, Front: frontName, Class: class.index}
	s.front.dispatcher.RecordAnswer(job, dispatch.Rejected, reason, s.front.retryAfter)
	s.reply(503, s.front.retryAfterHeader, []byte(body))
}

func retryAfterLine(wait float64) string { return fmt.Sprintf("Retry-After: %.3f\r\n", wait) }

// requester passes the answer of one call to its session, unless the session has ended or serves another call.
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
			extra = retryAfterLine(answer.RetryAfter)
		}
		session.reply(503, extra, nil)
	default:
		session.reply(500, "", nil)
	}
	if _, open := session.front.sessions.Get(handle); open {
		session.resume()
	}
}
