package httpfront

import (
	"errors"
	"net/netip"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admission"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/slotmap"
)

// session is a client session. It implements eventloop.Handler.
type session struct {
	front           *Front
	handle          slotmap.Handle
	conn            *eventloop.Conn
	request         dispatch.RequestID
	callID          string // of the open request; empty: none is open
	reservedBytes   int    // of the open request
	closeAfterReply bool
	hasRequested    bool   // has carried a client's request
	hasSent         bool   // has carried a complete request of any kind
	hasCallback     bool   // has carried callbacks
	awaitingForward bool   // the other process is being asked about its callback
	idleOrder       uint64 // number of its last transition to idle; times are equal within an iteration of the loop
	source          netip.Addr
	fromBackend     bool // the source is a listed backend's
	acceptedAt      float64
	requestStart    float64 // when the first byte of the incomplete request came; 0: there is none
	timeout         *eventloop.Timer
}

func (s *session) idle() bool {
	return s.callID == "" && !s.awaitingForward && len(s.conn.Bytes()) == 0 && s.conn.Unsent() == 0
}

// awaitRequest makes the session idle. A new connection that sends no request is closed early.
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

// turnAway closes a session that has not sent a complete request. It may be a client whose first request is on its way:
// that must meet a rejection, after which a retry is harmless, and not a silent close.
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

// unregister ends the session's bookkeeping; its connection is closed by the caller.
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

// endCall ends the open call.
func (s *session) endCall() {
	if s.callID != "" {
		delete(s.front.openCalls, s.callID)
		s.front.limiter.ReleaseJob(s.reservedBytes)
		s.callID = ""
	}
}

// Opened implements eventloop.Handler.
func (s *session) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler: the client has disconnected.
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
	if s.callID != "" || s.awaitingForward { // a pipelined request waits
		if len(conn.Bytes()) > maxPipelined {
			conn.SetPaused(true)
		}
		return
	}
	s.readRequests()
}

// readRequests reads requests until one is open or none is complete.
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
		s.closeAfterReply = request.Close
		s.hasSent = true
		s.requestStart = 0
		handle := s.handle
		s.serve(&request)
		if _, open := s.front.sessions.Get(handle); !open {
			return
		}
	}
}

// awaitRest bounds the time to the rest of a request, from its first byte: a slow trickle must not hold the session open.
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

// resume has a pipelined request served.
func (s *session) resume() {
	handle := s.handle
	s.front.loop.Defer(func() {
		if _, open := s.front.sessions.Get(handle); open && s.callID == "" && !s.awaitingForward {
			s.readRequests()
		}
	})
}

// rejectMalformed answers a bad request and closes.
func (s *session) rejectMalformed(status int, reason string) {
	s.front.Malformed++
	if s.front.mayLog("malformed") {
		s.front.log.Warn("client session: malformed request", zap.String("reason", reason), zap.Uint64("total", s.front.Malformed))
	}
	s.closeAfterReply = true
	s.reply(status, "", []byte(reason+"\n"))
}

// reply writes an answer and waits for the next request, or closes. extra is further header lines, each with its line end.
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
