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
	f       *Front
	h       slotmap.Handle
	conn    *eventloop.Conn
	req     dispatch.RequestID
	call    string // id of the open req, if any
	held    int    // bytes of the open req
	last    bool   // closes after the answer
	asked   bool   // has carried a client's request
	whole   bool   // has carried any request
	told    bool   // has carried call-backs
	waits   bool   // its call-back is asked about elsewhere
	since   uint64 // its place in the order in which sessions came to rest; times tie within a turn
	from    netip.Addr
	backend bool // comes from where a listed backend stands
	entered float64
	began   float64 // when the first bytes came of the request that is not whole yet; 0 is none
	timeout *eventloop.Timer
}

func (s *session) idle() bool {
	return s.call == "" && !s.waits && len(s.conn.Bytes()) == 0 && s.conn.Unsent() == 0
}

// How well a session can be spared; 0 is not at all.
const (
	resting = iota + 1 // carried call-backs, rests
	rested             // carried requests, rests
	half               // its first request is not whole
	fresh              // has sent nothing
)

func (s *session) rank() int {
	switch begun := len(s.conn.Bytes()) > 0; {
	case s.call != "" || s.waits || s.conn.Unsent() > 0 || s.whole && begun:
		return 0
	case !s.whole && s.backend: // brings a call-back, which may be all that frees a session
		return 0
	case !s.whole && begun:
		return half
	case !s.whole:
		return fresh
	case s.asked:
		return rested
	}
	return resting
}

// rest waits for the next request. A connection that has not shown what it wants is closed early.
func (s *session) rest() {
	s.f.rests++
	s.since = s.f.rests
	if h := s.h; s.f.successor != nil {
		s.f.loop.Defer(func() {
			if _, open := s.f.sessions.Get(h); open {
				s.offer()
			}
		})
	}
	if s.whole {
		s.expect(s.f.loop.Now()+idleTimeout, s.end)
		if s.asked && s.f.asking > s.f.door.IdleThreshold() {
			s.f.shed(func(o *session) bool { return o.asked && o != s })
		}
		return
	}
	s.expect(s.entered+admission.FirstMessageTimeout, func() {
		s.f.TimedOut++
		s.turn("no request came in time")
	})
}

// turn closes a session that has not handed in a whole request. It may be a usual client's, whose first request is
// on its way: that must not meet a silent close but a word that it is harmless to repeat.
func (s *session) turn(reason string) {
	s.last = true
	s.reply(503, s.f.comeBack, []byte(reason+"\n"))
}

func (s *session) expect(at float64, do func()) {
	s.timeout.Stop()
	s.timeout = s.f.loop.At(at, do)
}

func (s *session) end() {
	s.leave()
	s.conn.Close()
}

func (s *session) leave() {
	s.timeout.Stop()
	if s.f.sessions.Remove(s.h) {
		s.f.door.Unregister(s.from)
		if s.asked {
			s.f.asking--
		}
	}
	s.free()
}

// free ends the session's call.
func (s *session) free() {
	if s.call != "" {
		delete(s.f.calls, s.call)
		s.f.door.ReleaseJob(s.held)
		s.call = ""
	}
}

// Opened implements eventloop.Handler.
func (s *session) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler: the client has gone away.
func (s *session) Closed(*eventloop.Conn, error) {
	open := s.call != ""
	s.leave()
	if open {
		s.f.core.HandleDisconnect(s.req)
	}
}

// Data implements eventloop.Handler.
func (s *session) Data(c *eventloop.Conn) {
	s.f.lastNews = s.f.loop.Now()
	if s.call == "" && !s.waits && s.offer() { // the successor reads it
		return
	}
	if s.call != "" || s.waits { // the next request, sent early, waits for its turn
		if len(c.Bytes()) > mostAhead {
			c.SetPaused(true)
		}
		return
	}
	s.read()
}

// read takes requests until one is open or no whole one is left.
func (s *session) read() {
	for s.call == "" && !s.waits {
		s.conn.SetPaused(false)
		if len(s.conn.Bytes()) == 0 {
			return
		}
		q, n, err := ParseRequest(s.conn.Bytes())
		switch {
		case errors.Is(err, ErrIncomplete) && s.f.door.BuffersFull():
			s.reject(503, "no memory to wait for the rest")
			return
		case errors.Is(err, ErrIncomplete):
			s.wait()
			return
		case err != nil:
			status := 400
			var syntax *SyntaxError
			if errors.As(err, &syntax) && syntax.Status < 500 {
				status = syntax.Status
			}
			s.reject(status, err.Error())
			return
		}
		s.conn.Consume(n)
		s.timeout.Stop()
		s.last, s.whole, s.began = q.Close, true, 0
		h := s.h
		s.serve(&q)
		if _, open := s.f.sessions.Get(h); !open {
			return
		}
	}
}

// wait bounds how long the rest of a request may take, from its first byte: bytes that come now and then must
// not hold the session for ever.
func (s *session) wait() {
	if ExpectsContinue(s.conn.Bytes()) {
		s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if s.began > 0 {
		return
	}
	s.began = s.f.loop.Now()
	ends := s.began + admission.MessageTimeout
	if !s.whole {
		ends = min(ends, s.entered+admission.FirstMessageTimeout)
	}
	s.expect(ends, func() {
		s.f.TimedOut++
		s.reject(408, "request not whole in time")
	})
}

// reject answers what is no request and closes.
func (s *session) reject(status int, reason string) {
	s.f.Malformed++
	if s.f.rare("malformed") {
		s.f.log.Warn("client session: malformed request", zap.String("reason", reason), zap.Uint64("so_far", s.f.Malformed))
	}
	s.last = true
	s.reply(status, "", []byte(reason+"\n"))
}

// reply writes an answer and waits for the next request, or closes.
func (s *session) reply(status int, extra string, body []byte) {
	last := s.last || s.f.closing && s.asked || s.f.emptying && !s.told
	s.conn.Write(AppendResponse(nil, status, extra, body, last))
	if last {
		s.leave()
		s.conn.CloseAfterFlush()
		return
	}
	s.rest()
}

func (s *session) serve(q *Request) {
	path, _, _ := strings.Cut(q.Target, "?")
	switch {
	case path == "/_health" && q.Method == "GET":
		if s.f.leaving > 0 {
			s.reply(503, "", []byte("evacuated\n"))
			return
		}
		if s.f.shut {
			s.reply(503, "", []byte("out of lease\n"))
			return
		}
		s.reply(200, "", []byte("ok\n"))
	case path == "/_jobs/news":
		s.news(q)
	case q.Method != "POST":
		s.reject(405, "POST only")
	default:
		s.take(q)
	}
}

// news takes a call-back; whatever it says it has been heard, so that the runner does not try again. One that is not
// known here may be of a fetch of the other process: it has been heard once that has it, or nobody does.
func (s *session) news(q *Request) {
	n, err := ParseCallback(q.Body)
	if err != nil || q.Method != "POST" {
		s.f.BadCallbacks++
		if s.f.rare("news") {
			s.f.log.Warn("backend: bad call-back", zap.Error(err), zap.Uint64("so_far", s.f.BadCallbacks))
		}
		s.reply(400, "", nil)
		return
	}
	s.told = true
	if h := s.h; s.f.ForwardCallback != nil && !s.f.pool.Knows(&n) && s.f.ForwardCallback(q.Body, func() {
		if _, open := s.f.sessions.Get(h); open && s.waits {
			s.waits = false
			s.reply(204, "", nil)
			s.next()
		}
	}) {
		s.waits = true
		s.expect(s.f.loop.Now()+elsewhereTime, func() { // it will come again
			s.waits, s.last = false, true
			s.reply(503, "", nil)
		})
		return
	}
	s.reply(204, "", nil)
	s.f.pool.HandleCallback(n)
}

// take hands a client's job to the core.
func (s *session) take(q *Request) {
	if !s.asked {
		s.asked = true
		s.f.asking++
	}
	call, budget, reason := s.f.call(q)
	class, known := s.f.classes[call.Class]
	info := parseInfo(q.Header.Get("X-Call-Info"))
	pick := func(names ...string) float64 {
		for _, name := range names {
			if v, ok := info[name]; ok {
				return v
			}
		}
		return 0
	}
	switch {
	case reason != "":
		s.reject(400, reason)
		return
	case !known: // what a repeat of it may do is not known either: never served
		s.reject(404, "unknown class")
		return
	case s.f.calls[call.ID]: // its call-backs could not be told apart
		s.reject(409, "call id in use")
		return
	case pick("coresNeeded", "slots") > mostSlots:
		s.reject(400, "more slots than any machine has")
		return
	case s.f.leaving > 0 && s.f.loop.Now() >= s.f.leaving+lastTake:
		s.last = true
		s.refuse(&call, class, dispatch.ReasonEvacuated, "evacuated\n")
		return
	case s.f.shut:
		s.refuse(&call, class, dispatch.ReasonLeaseExpired, "out of lease\n")
		return
	case !s.f.door.ReserveJob(len(call.Body)):
		s.refuse(&call, class, dispatch.ReasonNoMemory, "")
		return
	}
	hint, _ := strconv.ParseFloat(q.Header.Get("X-Call-Cost"), 64)
	if hint = hint / 1000; !(hint > 0 && hint <= class.deadline) {
		hint = 0 // one senseless hint must not spoil the mean of its class
	}
	s.call, s.held = call.ID, len(call.Body)
	s.f.calls[call.ID] = true
	s.req = s.f.core.Submit(dispatch.Job{Class: class.place, Slots: pick("coresNeeded", "slots"), Memory: pick("memory"), Work: hint,
		Deadline: s.f.loop.Now() + min(budget, class.deadline) - budgetMargin, Payload: &call, ID: call.ID, Front: frontName},
		&asker{s: s, call: call.ID})
}

// refuse turns a call away without the core, which notes it all the same.
func (s *session) refuse(call *Call, class class, reason dispatch.Reason, body string) {
	s.f.core.RecordAnswer(dispatch.Job{ID: call.ID, Front: frontName, Class: class.place}, dispatch.Rejected, reason, s.f.comeBackIn)
	s.reply(503, s.f.comeBack, []byte(body))
}

func retryAfter(wait float64) string { return fmt.Sprintf("Retry-After: %.3f\r\n", wait) }

// asker answers one req; a session that has ended, or gone on, is not touched.
type asker struct {
	s    *session
	call string
}

// Answer implements dispatch.Requester.
func (a *asker) Answer(answer dispatch.Answer) {
	s := a.s
	if _, open := s.f.sessions.Get(s.h); !open || s.call != a.call {
		return
	}
	s.free()
	h := s.h
	switch answer.Verdict {
	case dispatch.Served:
		s.reply(200, "", answer.Body)
	case dispatch.Rejected:
		extra := ""
		if answer.RetryAfter > 0 {
			extra = retryAfter(answer.RetryAfter)
		}
		s.reply(503, extra, nil)
	default:
		s.reply(500, "", nil)
	}
	if _, open := s.f.sessions.Get(h); open {
		s.next()
	}
}

// next has a request that was sent early have its turn.
func (s *session) next() {
	h := s.h
	s.f.loop.Defer(func() {
		if _, open := s.f.sessions.Get(h); open && s.call == "" && !s.waits {
			s.read()
		}
	})
}
