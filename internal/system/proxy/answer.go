package proxy

import (
	"strconv"
	"strings"
	"time"

	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/placement"
)

// answer is what goes to the client of a runner's answer.
type answer struct {
	begun     bool // the head has been given to the session
	framing   httpwire.FramingKind
	stream    bool // text/event-stream
	resumable bool // a stream that may go on from another runner
}

// framed says whether the client can tell an answer that ends early from a whole one.
func (a *answer) framed() bool {
	return a.framing == httpwire.ByLength || a.framing == httpwire.Chunked
}

// goesOnWith says whether another runner's answer can continue the one that has begun.
func (a *answer) goesOnWith(h *httpwire.ResponseHead) bool {
	return h.Status == 200 && isStream(h)
}

func isStream(h *httpwire.ResponseHead) bool {
	kind, _, _ := strings.Cut(h.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.Trim(kind, " \t"), "text/event-stream")
}

// relay begins to pass a runner's answer on. The head of a runner that continues an answer is dropped.
func (x *exchange) relay(h *httpwire.ResponseHead) {
	if x.answer.begun {
		return
	}
	x.transition(relaying)
	x.answer.begun = true
	x.answer.stream = isStream(h)
	x.answer.resumable = x.answer.stream && h.Status == 200 && x.request.Route.Resumable && x.head.Version == "HTTP/1.1"
	x.answer.framing = x.framing(h)
	if !x.answer.resumable {
		x.dropBody()
	}
	s := x.session
	s.last = s.last || x.answer.framing == httpwire.UntilClose || x.proxy.stopping.on
	b := httpwire.AppendStatusLine(x.proxy.scratch[:0], h.Status, h.Reason)
	for i := range h.Header {
		if f := &h.Header[i]; h.Header.IsEndToEnd(f.Name) {
			b = httpwire.AppendField(b, f.Name, f.Value)
		}
	}
	switch x.answer.framing {
	case httpwire.ByLength:
		b = httpwire.AppendIntField(b, "Content-Length", h.Body.Length)
	case httpwire.Chunked:
		b = httpwire.AppendField(b, "Transfer-Encoding", "chunked")
	case httpwire.NoBody:
		if length := h.Header.Get("Content-Length"); length != "" && h.Status != 204 {
			b = httpwire.AppendField(b, "Content-Length", length)
		}
	}
	b = s.appendConnection(b)
	b = append(b, "\r\n"...)
	x.proxy.scratch = b
	s.write(b)
}

// framing is how the body of an answer is framed toward the client.
func (x *exchange) framing(h *httpwire.ResponseHead) httpwire.FramingKind {
	switch {
	case h.Body.Kind == httpwire.NoBody:
		return httpwire.NoBody
	case h.Body.Kind == httpwire.ByLength && !x.answer.resumable:
		return httpwire.ByLength
	case x.head.Version == "HTTP/1.1":
		return httpwire.Chunked
	}
	return httpwire.UntilClose
}

// bodyCame passes bytes of the runner's body on.
func (a *attempt) bodyCame(data []byte) {
	x := a.exchange
	if len(data) == 0 {
		return
	}
	events := 0
	switch {
	case x.answer.resumable:
		data, events = x.events.push(x.proxy.eventScratch[:0], data)
		x.proxy.eventScratch = data
	case x.answer.stream:
		events = a.counter.count(data)
	case a.progress.TimeToFirstEvent == 0:
		events = 1
	}
	x.writeBody(data)
	a.shown(events)
}

// writeBody gives bytes of the body to the session.
func (x *exchange) writeBody(data []byte) {
	if len(data) == 0 {
		return
	}
	if x.answer.framing == httpwire.Chunked {
		b := httpwire.AppendChunk(x.proxy.scratch[:0], data)
		x.proxy.scratch = b
		data = b
	}
	x.session.write(data)
}

// cutInEvent says whether a stream has ended in the midst of an event. A runner that ends while it answers closes its
// connections in order, so that a stream without a length looks whole then; nil: nobody reads the answer.
func (a *attempt) cutInEvent() bool {
	if a == nil || !a.exchange.answer.stream {
		return false
	}
	if a.exchange.answer.resumable {
		return len(a.exchange.events.rest()) > 0
	}
	return a.counter.inEvent
}

// whole ends an answer that has come whole.
func (a *attempt) whole() {
	x := a.exchange
	if x.answer.resumable {
		x.writeBody(x.events.rest())
	}
	if x.answer.framing == httpwire.Chunked {
		x.session.write(httpwire.AppendLastChunk(x.proxy.scratch[:0]))
	}
	outcome := placement.Succeeded
	if a.verdict == failure {
		outcome = placement.Failed
	}
	a.end(outcome)
	x.proxy.Figures.Served++
	s := x.session
	x.finish()
	s.answered()
}

// stall holds the runner back while the client does not take what it is sent.
func (x *exchange) stall(on bool) {
	x.stalled = on
	if a := x.attempt; a != nil && a.link != nil {
		a.link.conn.SetStalled(on)
	}
}

// seconds reads a time in seconds; 0 when it makes no sense.
func seconds(value string) time.Duration {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || !(s > 0) || s > mostWait.Seconds() {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
