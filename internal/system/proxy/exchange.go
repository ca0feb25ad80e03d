package proxy

import (
	"slices"
	"strings"
	"time"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/shared/invariant"
	"cinderroad/internal/system/placement"
)

const (
	maxUnreached      = 4                      // runners that were never reached, for one request
	maxPlacementTries = 8                      // runners without a connection to spare, in one choice
	deadlineGrace     = 150 * time.Millisecond // past the deadline, for the end of an answer that is under way; see expire
	shortRetryAfter   = 100 * time.Millisecond // after which a refused client may come back: another runner or proxy has room
)

// exchangeState is where an exchange stands.
type exchangeState uint8

const (
	exchangeReceiving  exchangeState = iota // the body of the request is coming
	exchangePlacing                         // whole; no runner has it
	exchangeConnecting                      // a connection to the chosen runner is coming up
	exchangeAwaiting                        // given to a runner, which has not answered
	exchangeRelaying                        // the head of the answer has gone to the client
	exchangeFinished
)

// exchange is a request of a client and its answer.
type exchange struct {
	proxy         *Proxy
	session       *session
	state         exchangeState
	head          httpwire.RequestHead
	bodyReader    httpwire.BodyReader
	body          []byte
	tryID         string
	request       placement.Request
	attempt       *attempt // under way; nil between attempts
	unreached     int      // attempts of which no connection came up
	response      response
	eventReader   eventReader // of a stream that may be continued at another runner
	stalled       bool        // the client does not take what it is sent
	deadlineTimer *eventloop.Timer
}

// newExchange makes the exchange of a request whose head has come.
func newExchange(s *session, head httpwire.RequestHead) *exchange {
	x := &exchange{proxy: s.proxy, session: s, head: head}
	x.bodyReader.Reset(head.Body)
	x.proxy.openExchanges++
	x.proxy.Counters.Requests++
	return x
}

// admit looks at the head: a request that cannot be served is answered at once.
func (x *exchange) admit() {
	header := x.head.Header
	tryID, once := header.GetUnique(headerTryID)
	host, oneHost := header.GetUnique("Host")
	x.tryID = tryID
	x.request.ArrivedAt = x.session.nextStartedAt
	switch {
	case !once || tryID == "" || len(tryID) > maxTryIDBytes || !httpwire.IsVisibleASCII(tryID):
		x.decline(localResponse{status: 400, body: "X-Try-Id missing or bad"})
		return
	case !oneHost || host == "" || strings.ContainsAny(host, " \t/,"):
		x.decline(localResponse{status: 400, body: "Host missing or bad"})
		return
	case x.proxy.routes == nil:
		x.decline(localResponse{status: 503, retryAfter: startupRetryAfter, body: "configuration not known yet"})
		return
	}
	route := x.proxy.routes.Lookup(host, x.head.Target)
	if route == nil {
		x.decline(localResponse{status: 404, body: "no route"})
		return
	}
	if x.head.Body.Length > int64(x.proxy.limits.MaxBodyBytes) {
		x.decline(localResponse{status: 413, body: "body too large"})
		return
	}
	x.request.Route = route
	x.request.Service = x.proxy.splitter.nextService(route)
	x.request.Model = header.Get(headerModel)
	x.request.InputTokens, x.request.MaxOutputTokens = parseTokenCounts(header.Get(headerTokenCounts))
	x.request.Chunks = parsePromptChunks(header.Get(headerPromptStart))
	x.request.Deadline = x.request.ArrivedAt + parseTimeLeft(header, route.Timeout)
	if x.request.Deadline <= x.proxy.now() {
		x.decline(localResponse{status: 503, retryAfter: shortRetryAfter, body: "no time left"})
		return
	}
	x.eventReader.reset(header.Get(headerLastEventID))
	x.deadlineTimer = x.proxy.runAt(x.request.Deadline, x.handleDeadline)
	x.session.sendContinue(x)
}

// decline answers a request without a use for its body; if that has not come whole the connection ends.
func (x *exchange) decline(response localResponse) {
	if !x.session.skipBody(x) {
		x.session.closeAfterResponse = true
	}
	x.respond(response)
}

// appendBody adds a part of the body.
func (x *exchange) appendBody(data []byte) {
	if len(data) == 0 {
		return
	}
	if x.body == nil && x.head.Body.Length > 0 {
		x.body = make([]byte, 0, min(x.head.Body.Length, int64(len(data))*2))
	}
	x.body = append(x.body, data...)
	x.proxy.bufferedBodyBytes += len(data)
}

// releaseBody lets go of the body once it cannot be sent again.
func (x *exchange) releaseBody() {
	x.proxy.bufferedBodyBytes -= len(x.body)
	x.body = nil
}

// exchangeTransitions says which states an exchange may go to from each one. A request that was not sent, or that may run again, is
// connected anew; an answer that has begun stays relaying, also while another runner continues it.
var exchangeTransitions = [...][]exchangeState{
	exchangeReceiving:  {exchangePlacing, exchangeFinished},
	exchangePlacing:    {exchangeConnecting, exchangeFinished},
	exchangeConnecting: {exchangeConnecting, exchangeAwaiting, exchangeFinished},
	exchangeAwaiting:   {exchangeConnecting, exchangeAwaiting, exchangeRelaying, exchangeFinished},
	exchangeRelaying:   {exchangeFinished},
	exchangeFinished:   {},
}

// transition is the one place where the state changes.
func (x *exchange) transition(next exchangeState) {
	invariant.Check(slices.Contains(exchangeTransitions[x.state], next), "proxy: an exchange changes its state as it may")
	x.state = next
}

// handleComplete goes on once the request is whole.
func (x *exchange) handleComplete() {
	x.transition(exchangePlacing)
	x.request.BodyBytes = len(x.body)
	if x.proxy.outlivesProcess(&x.request) {
		x.proxy.Counters.ShutdownRejected++
		x.giveUp(shortRetryAfter)
		return
	}
	x.place()
}
