package proxy

import (
	"net/http"
	"strings"

	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/placement"
)

// response is the part of a runner's response that determines what the client gets.
type response struct {
	started       bool // the head was written to the session
	framing       httpwire.FramingKind
	isEventStream bool // the content type is text/event-stream
	resumable     bool // another runner may continue the stream
}

// isDelimited reports whether the client can distinguish a truncated response from a complete one.
func (r *response) isDelimited() bool {
	return r.framing == httpwire.ByLength || r.framing == httpwire.Chunked
}

// canContinueWith reports whether another runner's response can continue the one that has begun.
func (r *response) canContinueWith(head *httpwire.ResponseHead) bool {
	return head.Status == http.StatusOK && hasEventStream(head)
}

// hasEventStream reports whether the content type is text/event-stream.
func hasEventStream(head *httpwire.ResponseHead) bool {
	kind, _, _ := strings.Cut(head.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.Trim(kind, " \t"), "text/event-stream")
}

// relayHead starts forwarding a runner's response. The head is dropped if the response continues an earlier one.
func (x *exchange) relayHead(head *httpwire.ResponseHead) {
	if x.response.started {
		return
	}
	x.transition(exchangeRelaying)
	x.response.started = true
	x.response.isEventStream = hasEventStream(head)
	x.response.resumable = x.response.isEventStream &&
		head.Status == http.StatusOK &&
		x.request.Route.Resumable &&
		x.head.Version == "HTTP/1.1"
	x.response.framing = x.framing(head)
	if !x.response.resumable {
		x.releaseBody()
	}
	s := x.session
	s.closeAfterResponse = s.closeAfterResponse || x.response.framing == httpwire.UntilClose || s.closesForShutdown()
	b := x.appendResponseHead(x.proxy.scratch[:0], head)
	x.proxy.scratch = b
	s.write(b)
}

// appendResponseHead encodes the head of a runner's response for the client.
func (x *exchange) appendResponseHead(b []byte, head *httpwire.ResponseHead) []byte {
	b = httpwire.AppendStatusLine(b, head.Status, head.Reason)
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
		if length := head.Header.Get("Content-Length"); length != "" && head.Status != http.StatusNoContent {
			b = httpwire.AppendField(b, "Content-Length", length)
		}
	}
	b = x.session.appendConnection(b)
	return append(b, "\r\n"...)
}

// framing returns how the response body is framed toward the client.
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

// relayBody forwards bytes of the runner's response body.
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

// writeBody writes bytes of the body to the session in the client's framing.
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

// endedMidEvent reports whether an event stream ended within an event. A runner process that exits closes its
// connections in order, so that a stream without a length would look complete. a may be nil: nobody reads the response.
func (a *attempt) endedMidEvent() bool {
	if a == nil || !a.exchange.response.isEventStream {
		return false
	}
	if a.exchange.response.resumable {
		return len(a.exchange.eventReader.remainder()) > 0
	}
	return a.eventCounter.inEvent
}

// complete ends an attempt whose response has arrived completely.
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

// setStalled stops reading from the runner while the client does not read fast enough.
func (x *exchange) setStalled(stalled bool) {
	x.stalled = stalled
	if a := x.attempt; a != nil && a.conn != nil {
		a.conn.socket.SetStalled(stalled)
	}
}
