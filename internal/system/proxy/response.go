package proxy

import (
	"strings"

	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/placement"
)

// response is what goes to the client of a runner's answer.
type response struct {
	started       bool // the head has been given to the session
	framing       httpwire.FramingKind
	isEventStream bool // text/event-stream
	resumable     bool // a stream that may go on from another runner
}

// isDelimited says whether the client can tell an answer that ends early from a whole one.
func (a *response) isDelimited() bool {
	return a.framing == httpwire.ByLength || a.framing == httpwire.Chunked
}

// canContinueWith says whether another runner's answer can continue the one that has begun.
func (a *response) canContinueWith(head *httpwire.ResponseHead) bool {
	return head.Status == 200 && hasEventStream(head)
}

func hasEventStream(head *httpwire.ResponseHead) bool {
	kind, _, _ := strings.Cut(head.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.Trim(kind, " \t"), "text/event-stream")
}

// relayHead begins to pass a runner's answer on. The head of a runner that continues an answer is dropped.
func (x *exchange) relayHead(head *httpwire.ResponseHead) {
	if x.response.started {
		return
	}
	x.transition(exchangeRelaying)
	x.response.started = true
	x.response.isEventStream = hasEventStream(head)
	x.response.resumable = x.response.isEventStream && head.Status == 200 && x.request.Route.Resumable && x.head.Version == "HTTP/1.1"
	x.response.framing = x.framing(head)
	if !x.response.resumable {
		x.releaseBody()
	}
	s := x.session
	s.closeAfterResponse = s.closeAfterResponse || x.response.framing == httpwire.UntilClose || x.proxy.shutdown.active
	b := httpwire.AppendStatusLine(x.proxy.scratch[:0], head.Status, head.Reason)
	for i := range head.Header {
		if field := &head.Header[i]; head.Header.IsEndToEnd(field.Name) {
			b = httpwire.AppendField(b, field.Name, field.Value)
		}
	}
	switch x.response.framing {
	case httpwire.ByLength:
		b = httpwire.AppendIntField(b, "Content-Length", head.Body.Length)
	case httpwire.Chunked:
		b = httpwire.AppendField(b, "Transfer-Encoding", "chunked")
	case httpwire.NoBody:
		if length := head.Header.Get("Content-Length"); length != "" && head.Status != 204 {
			b = httpwire.AppendField(b, "Content-Length", length)
		}
	}
	b = s.appendConnection(b)
	b = append(b, "\r\n"...)
	x.proxy.scratch = b
	s.write(b)
}

// framing is how the body of an answer is framed toward the client.
func (x *exchange) framing(head *httpwire.ResponseHead) httpwire.FramingKind {
	switch {
	case head.Body.Kind == httpwire.NoBody:
		return httpwire.NoBody
	case head.Body.Kind == httpwire.ByLength && !x.response.resumable:
		return httpwire.ByLength
	case x.head.Version == "HTTP/1.1":
		return httpwire.Chunked
	}
	return httpwire.UntilClose
}

// relayBody passes bytes of the runner's body on.
func (a *attempt) relayBody(data []byte) {
	x := a.exchange
	if len(data) == 0 {
		return
	}
	events := 0
	switch {
	case x.response.resumable:
		data, events = x.eventReader.push(x.proxy.eventScratch[:0], data)
		x.proxy.eventScratch = data
	case x.response.isEventStream:
		events = a.eventCounter.count(data)
	case a.progress.TimeToFirstEvent == 0:
		events = 1
	}
	x.writeBody(data)
	a.noteEvents(events)
}

// writeBody gives bytes of the body to the session.
func (x *exchange) writeBody(data []byte) {
	if len(data) == 0 {
		return
	}
	if x.response.framing == httpwire.Chunked {
		b := httpwire.AppendChunk(x.proxy.scratch[:0], data)
		x.proxy.scratch = b
		data = b
	}
	x.session.write(data)
}

// endedMidEvent says whether a stream has ended in the midst of an event. A runner that ends while it answers closes its
// connections in order, so that a stream without a length looks whole then; nil: nobody reads the answer.
func (a *attempt) endedMidEvent() bool {
	if a == nil || !a.exchange.response.isEventStream {
		return false
	}
	if a.exchange.response.resumable {
		return len(a.exchange.eventReader.remainder()) > 0
	}
	return a.eventCounter.inEvent
}

// complete ends an answer that has come whole.
func (a *attempt) complete() {
	x := a.exchange
	if x.response.resumable {
		x.writeBody(x.eventReader.remainder())
	}
	if x.response.framing == httpwire.Chunked {
		x.session.write(httpwire.AppendLastChunk(x.proxy.scratch[:0]))
	}
	outcome := placement.Succeeded
	if a.verdict == verdictFailure {
		outcome = placement.Failed
	}
	a.end(outcome)
	x.proxy.Counters.Served++
	s := x.session
	x.finish()
	s.finishResponse()
}

// setStalled holds the runner back while the client does not take what it is sent.
func (x *exchange) setStalled(stalled bool) {
	x.stalled = stalled
	if a := x.attempt; a != nil && a.conn != nil {
		a.conn.socket.SetStalled(stalled)
	}
}
