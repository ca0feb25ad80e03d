package proxy

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/shared/invariant"
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

const (
	maxConnectFailures = 4                      // runners to which no connection came up, per request
	maxPlacementTries  = 8                      // choices of a runner without a spare connection, per placement
	deadlineGrace      = 150 * time.Millisecond // beyond the deadline, for the end of a response in progress; see handleDeadline
	shortRetryAfter    = 100 * time.Millisecond // sent to a rejected client when another runner or proxy may have capacity
)

// exchangeState is the state of an exchange.
type exchangeState uint8

const (
	exchangeReceiving  exchangeState = iota // the request body is arriving
	exchangePlacing                         // the request is complete and assigned to no runner
	exchangeConnecting                      // a connection to the chosen runner is being established
	exchangeAwaiting                        // the request was sent and no response head has arrived
	exchangeRelaying                        // the response head was forwarded to the client
	exchangeFinished
)

// exchange is one request of a client and its response.
type exchange struct {
	proxy         *Proxy
	session       *session
	state         exchangeState
	head          httpwire.RequestHead
	bodyReader    httpwire.BodyReader
	body          []byte
	tryID         string // the client's X-Try-Id, by which a runner's response is matched to its request
	request       placement.Request
	attempt       *attempt // in progress; nil between attempts
	response      response
	eventReader   eventReader // of a stream that another runner may continue
	stalled       bool        // the client does not read fast enough
	deadlineTimer *eventloop.Timer
}

// newExchange creates the exchange for a request whose head was read.
func newExchange(s *session, head httpwire.RequestHead) *exchange {
	x := &exchange{proxy: s.proxy, session: s, head: head}
	x.bodyReader.Reset(head.Body)
	x.proxy.openExchanges++
	x.proxy.Counters.Requests++
	return x
}

// admit validates the head, fills in what the placer is to know of the request, and starts its deadline. A request that
// cannot be served is answered immediately.
func (x *exchange) admit() {
	route, rejection := x.findRoute()
	if rejection != nil {
		x.decline(*rejection)
		return
	}
	header := x.head.Header
	x.request.Route = route
	x.request.Service = x.proxy.splitter.nextService(route)
	x.request.Model = header.Get(headerModel)
	x.request.InputTokens, x.request.MaxOutputTokens = parseTokenCounts(header.Get(headerTokenCounts))
	x.request.Chunks = parsePromptChunks(header.Get(headerPromptStart))
	x.request.Deadline = x.request.ArrivedAt + parseTimeLeft(header, route.Timeout)
	if x.request.Deadline <= x.proxy.now() {
		x.decline(localResponse{
			status:     http.StatusServiceUnavailable,
			retryAfter: shortRetryAfter,
			body:       "no time left",
		})
		return
	}
	x.eventReader.reset(header.Get(headerLastEventID))
	x.deadlineTimer = x.proxy.runAt(x.request.Deadline, x.handleDeadline)
	x.session.sendContinue(x)
}

// findRoute records when the request began and its id, and returns its route, or the response to one that cannot be
// served.
func (x *exchange) findRoute() (*configuration.Route, *localResponse) {
	tryID, hasOneID := x.head.Header.GetUnique(headerTryID)
	host, hasOneHost := x.head.Header.GetUnique("Host")
	x.tryID = tryID
	x.request.ArrivedAt = x.session.nextRequestStartedAt
	switch {
	case !hasOneID || tryID == "" || len(tryID) > maxTryIDBytes || !httpwire.IsVisibleASCII(tryID):
		return nil, &localResponse{status: http.StatusBadRequest, body: "X-Try-Id missing or bad"}
	case !hasOneHost || host == "" || strings.ContainsAny(host, " \t/,"):
		return nil, &localResponse{status: http.StatusBadRequest, body: "Host missing or bad"}
	case x.proxy.routes == nil:
		return nil, &localResponse{
			status:     http.StatusServiceUnavailable,
			retryAfter: startupRetryAfter,
			body:       "configuration not known yet",
		}
	}
	route := x.proxy.routes.Lookup(host, x.head.Target)
	switch {
	case route == nil:
		return nil, &localResponse{status: http.StatusNotFound, body: "no route"}
	case x.head.Body.Length > int64(x.proxy.limits.MaxBodyBytes):
		return nil, &localResponse{status: http.StatusRequestEntityTooLarge, body: "body too large"}
	}
	return route, nil
}

// decline responds without using the request body. If the body has not arrived completely, the connection is closed
// after the response.
func (x *exchange) decline(response localResponse) {
	if !x.session.skipBody(x) {
		x.session.closeAfterResponse = true
	}
	x.respond(response)
}

// appendBody stores bytes of the body.
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

// releaseBody frees the body once the request cannot be sent again.
func (x *exchange) releaseBody() {
	x.proxy.bufferedBodyBytes -= len(x.body)
	x.body = nil
}

// exchangeTransitions lists the valid successors of each state. A request that was not sent or may be executed again
// returns to exchangeConnecting; a response that has begun stays in exchangeRelaying even while another runner
// continues it.
var exchangeTransitions = [...][]exchangeState{
	exchangeReceiving:  {exchangePlacing, exchangeFinished},
	exchangePlacing:    {exchangeConnecting, exchangeFinished},
	exchangeConnecting: {exchangeConnecting, exchangeAwaiting, exchangeFinished},
	exchangeAwaiting:   {exchangeConnecting, exchangeAwaiting, exchangeRelaying, exchangeFinished},
	exchangeRelaying:   {exchangeFinished},
	exchangeFinished:   {},
}

// transition is the only place that changes the state.
func (x *exchange) transition(next exchangeState) {
	invariant.Check(slices.Contains(exchangeTransitions[x.state], next), "proxy: an exchange changes its state as it may")
	x.state = next
}

// handleComplete continues once the request has arrived completely.
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
