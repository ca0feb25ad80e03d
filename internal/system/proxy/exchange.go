package proxy

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

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

// place has a runner named and sends the request there, or gives up.
func (x *exchange) place() {
	choice, refusal := x.chooseRunner()
	if refusal != nil {
		x.giveUp(refusal.RetryAfter)
		return
	}
	x.startAttempt(choice)
}

// logRefusal logs why no runner was named.
func (x *exchange) logRefusal(refusal *placement.Rejection) {
	if e := x.proxy.log.Check(zap.DebugLevel, "refused"); e != nil {
		e.Write(zap.String("try", x.tryID), zap.String("route", x.request.Route.Name), zap.String("reason", refusal.Reason),
			zap.Duration("retry_after", refusal.RetryAfter), zap.Strings("tried", x.request.TriedRunners))
	}
}

// chooseRunner has a runner named that has a connection to spare.
func (x *exchange) chooseRunner() (placement.Choice, *placement.Rejection) {
	tried := x.request.TriedRunners
	defer func() { x.request.TriedRunners = tried }()
	x.request.TriedRunners = tried[:len(tried):len(tried)]
	for range maxPlacementTries {
		choice, refusal := x.proxy.placer.Place(x.proxy.now(), &x.request)
		if refusal != nil {
			x.logRefusal(refusal)
			return choice, refusal
		}
		if x.proxy.pool.canAccept(choice) {
			return choice, nil
		}
		x.request.TriedRunners = append(x.request.TriedRunners, choice.Runner)
	}
	return placement.Choice{}, &placement.Rejection{RetryAfter: shortRetryAfter, Reason: "no connection to spare"}
}

// startAttempt begins an attempt.
func (x *exchange) startAttempt(choice placement.Choice) {
	if x.state != exchangeRelaying {
		x.transition(exchangeConnecting)
	}
	x.proxy.Counters.Attempts++
	a := &attempt{exchange: x, choice: choice}
	a.tracked = x.proxy.placer.StartAttempt(x.proxy.now(), &x.request, choice)
	x.attempt = a
	x.proxy.peers.notifyPrefill(a.tracked)
	x.proxy.pool.send(a)
}

// mayRetry says whether the request may be sent to another runner. What must hold is checked here too: the placer
// knows of budgets, this knows of promises.
func (x *exchange) mayRetry() bool {
	if x.request.MayHaveRun && !x.request.Route.IsIdempotent() {
		return false
	}
	if x.response.started && !x.canContinue() {
		return false
	}
	now := x.proxy.now()
	if len(x.request.TriedRunners)-x.unreached >= max(1, x.request.Route.MaxAttempts) || now >= x.request.Deadline {
		return false
	}
	return x.proxy.placer.MayRetry(now, &x.request)
}

// canContinue says whether an answer that has begun may go on from another runner.
func (x *exchange) canContinue() bool {
	return x.response.resumable && x.eventReader.canResume()
}

// retry sends the request to another runner, if that may be and one can take it.
func (x *exchange) retry() (sent bool, pause time.Duration) {
	if !x.mayRetry() {
		return false, 0
	}
	choice, refusal := x.chooseRunner()
	if refusal != nil {
		return false, refusal.RetryAfter
	}
	if x.response.started {
		x.eventReader.resume()
		x.proxy.Counters.Resumed++
	}
	x.startAttempt(choice)
	return true, 0
}

// noteTried notes the runner of an attempt.
func (x *exchange) noteTried(a *attempt, mayHaveRun bool) {
	x.request.TriedRunners = append(x.request.TriedRunners, a.choice.Runner)
	x.request.MayHaveRun = x.request.MayHaveRun || mayHaveRun
}

// cancel ends the request without a runner's answer. pause is after which the client may come back; 0: not known.
func (x *exchange) giveUp(pause time.Duration) {
	switch {
	case x.response.started:
		x.abort()
	case x.request.MayHaveRun:
		x.proxy.Counters.Failed++
		x.respond(localResponse{status: 502, body: "runner failed"})
	default:
		if pause <= 0 {
			pause = defaultRetryAfter
		}
		x.proxy.Counters.Rejected++
		x.respond(localResponse{status: 503, retryAfter: pause, body: "no room"})
	}
}

// handleDeadline ends the request at its deadline. An answer under way has a moment more: its runner stops by itself, and what
// it sent last may be on its way. The client must have the end within 0.25 s of the route's time, of which deadlineGrace leaves
// 0.1 s for the way of the request and of the answer and for a late turn of the loop.
func (x *exchange) handleDeadline() {
	switch {
	case x.state == exchangeReceiving:
		x.finish()
		x.session.rejectWith(408, "request not whole in time")
	case x.response.started:
		x.deadlineTimer = x.proxy.runAt(x.proxy.now()+deadlineGrace, x.abort)
	case x.request.MayHaveRun || x.attempt != nil && x.attempt.connected: // with a part of it, the runner may have begun
		x.cancelAttempt(x.deadlineOutcome())
		x.proxy.Counters.Failed++
		x.respond(localResponse{status: 504, body: "no answer in time"})
	default:
		x.cancelAttempt(placement.Cancelled)
		x.proxy.Counters.Rejected++
		x.respond(localResponse{status: 503, retryAfter: shortRetryAfter, body: "no runner reached in time"})
	}
}

// endForShutdown ends a request whose answer has not begun, since the process ends.
func (x *exchange) endForShutdown() {
	if x.state == exchangeReceiving {
		x.finish()
		x.session.rejectWith(503, "the proxy ends")
		return
	}
	x.request.MayHaveRun = x.request.MayHaveRun || x.attempt != nil && x.attempt.connected // with a part of it, the runner may have begun
	x.cancelAttempt(placement.Cancelled)
	x.giveUp(shortRetryAfter)
}

// deadlineOutcome is what the deadline says of the runner: little, unless it had the time that an answer should take.
func (x *exchange) deadlineOutcome() placement.Outcome {
	a := x.attempt
	if a != nil && a.requestSent() && x.proxy.now()-a.sentAt >= x.request.Route.LatencyTarget {
		return placement.TimedOut
	}
	return placement.Cancelled
}

// cancelAttempt breaks the attempt under way off, if there is one.
func (x *exchange) cancelAttempt(outcome placement.Outcome) {
	if a := x.attempt; a != nil {
		a.cancel()
		a.end(outcome)
	}
}

// handleClientGone ends an exchange whose client has left; its session is closed already.
func (x *exchange) handleClientGone() {
	x.cancelAttempt(placement.Cancelled)
	x.proxy.Counters.Aborted++
	x.finish()
}

// abort breaks off an answer that cannot be completed.
func (x *exchange) abort() {
	x.cancelAttempt(placement.Cancelled)
	x.proxy.Counters.Aborted++
	s, framed := x.session, x.response.isDelimited()
	x.finish()
	s.abort(framed)
}

// respond ends the request with an answer of the proxy itself.
func (x *exchange) respond(response localResponse) {
	response.tryID = x.tryID
	response.noBody = x.head.Method == "HEAD"
	s := x.session
	x.finish()
	s.respond(response)
}

// finish lets go of what the exchange holds.
func (x *exchange) finish() {
	if x.state == exchangeFinished {
		return
	}
	x.transition(exchangeFinished)
	x.deadlineTimer.Stop()
	x.releaseBody()
	x.proxy.openExchanges--
	if x.session.exchange == x {
		x.session.exchange = nil
	}
	x.proxy.exitWhenDrained()
}
