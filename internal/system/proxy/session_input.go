package proxy

import (
	"errors"
	"net/http"

	"cinderroad/internal/shared/httpwire"
)

// processInput reads the next request as far as it has arrived.
func (s *session) processInput() {
	for s.socket.Open() {
		switch x := s.exchange; {
		case x != nil && x.state != exchangeReceiving:
			return
		case x != nil:
			if !s.readBody(x) {
				return
			}
		case !s.readHead():
			return
		}
	}
}

// readHead reads the head of a request; false if it waits for more or the session has ended.
func (s *session) readHead() bool {
	s.socket.SetPaused(false)
	if len(s.socket.Bytes()) == 0 {
		return false
	}
	head, n, err := httpwire.ParseRequestHead(s.socket.Bytes(), s.proxy.limits.MaxHeaderBytes)
	if errors.Is(err, httpwire.ErrIncomplete) {
		s.limitHeadWait()
		return false
	}
	if err != nil {
		s.reject(err)
		return false
	}
	s.socket.Consume(n)
	s.timer.Stop()
	s.nextRequestStarted = false
	s.closeAfterResponse = head.Close || head.Version == "HTTP/1.0"
	s.proxy.countShutdownRequest(s)
	s.requestCount++
	x := newExchange(s, head)
	s.exchange = x
	x.admit()
	return s.exchange != nil || len(s.socket.Bytes()) > 0
}

// limitHeadWait bounds how long a head may take from its first byte.
func (s *session) limitHeadWait() {
	if s.proxy.memoryExhausted() {
		s.rejectForMemory()
		return
	}
	if !s.headTimerStarted {
		s.headTimerStarted = true
		s.setTimeout(s.proxy.limits.HeaderTimeout, s.rejectIncomplete)
	}
}

// readBody reads a part of the body; false if it waits for more or the session has ended.
func (s *session) readBody(exchange *exchange) bool {
	data, n, done, err := exchange.bodyReader.Next(s.socket.Bytes())
	if err != nil {
		exchange.finish()
		s.reject(err)
		return false
	}
	exchange.appendBody(data)
	s.socket.Consume(n)
	switch {
	case len(exchange.body) > s.proxy.limits.MaxBodyBytes:
		exchange.finish()
		s.rejectWith(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case done && s.socket.HungUp(): // the disconnect is reported next; nothing is sent for a client that has disconnected
		return false
	case done:
		s.timer.Stop()
		s.noteNextRequest()
		exchange.handleComplete()
		return s.exchange != nil
	case s.proxy.memoryExhausted():
		exchange.finish()
		s.rejectForMemory()
		return false
	case n > 0 && len(s.socket.Bytes()) > 0:
		return true
	}
	s.setTimeout(s.proxy.limits.IdleTimeout, func() {
		exchange.finish()
		s.rejectIncomplete()
	})
	return false
}

// skipBody discards what has arrived of a body; true if that was all of it.
func (s *session) skipBody(exchange *exchange) bool {
	for {
		_, n, done, err := exchange.bodyReader.Next(s.socket.Bytes())
		if err != nil || n == 0 && !done {
			return false
		}
		s.socket.Consume(n)
		if done {
			s.noteNextRequest()
			return true
		}
	}
}

// sendContinue sends the interim response 100 to a client that waits for it before the body.
func (s *session) sendContinue(x *exchange) {
	if x.head.ExpectsContinue && len(s.socket.Bytes()) == 0 {
		s.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// resumeInput reads a pipelined request.
func (s *session) resumeInput() {
	if s.socket.Open() && s.exchange == nil {
		s.processInput()
	}
}
