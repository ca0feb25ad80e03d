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
	mostUnreached = 4                      // runners that were never reached, for one request
	mostFull      = 8                      // runners without a connection to spare, in one choice
	endGrace      = 150 * time.Millisecond // past the deadline, for the end of an answer that is under way; see expire
	soon          = 100 * time.Millisecond // after which a refused client may come back: another runner or proxy has room
)

// state is where an exchange stands.
type state uint8

const (
	receiving  state = iota // the body of the request is coming
	placing                 // whole; no runner has it
	connecting              // a connection to the chosen runner is coming up
	awaiting                // given to a runner, which has not answered
	relaying                // the head of the answer has gone to the client
	finished
)

// exchange is a request of a client and its answer.
type exchange struct {
	proxy     *Proxy
	session   *session
	state     state
	head      httpwire.RequestHead
	reader    httpwire.BodyReader
	body      []byte
	tryID     string
	request   placement.Request
	attempt   *attempt // under way; nil between attempts
	unreached int      // attempts of which no connection came up
	answer    answer
	events    eventReader // of a stream that may be continued at another runner
	stalled   bool        // the client does not take what it is sent
	expiry    *eventloop.Timer
}

// newExchange makes the exchange of a request whose head has come.
func newExchange(s *session, head httpwire.RequestHead) *exchange {
	x := &exchange{proxy: s.proxy, session: s, head: head}
	x.reader.Reset(head.Body)
	x.proxy.exchanges++
	x.proxy.Figures.Requests++
	return x
}

// admit looks at the head: a request that cannot be served is answered at once.
func (x *exchange) admit() {
	header := x.head.Header
	tryID, once := header.GetUnique(fieldTryID)
	host, oneHost := header.GetUnique("Host")
	x.tryID = tryID
	x.request.ArrivedAt = x.session.comingAt
	switch {
	case !once || tryID == "" || len(tryID) > mostTryID || !httpwire.IsVisibleASCII(tryID):
		x.decline(ownAnswer{status: 400, body: "X-Try-Id missing or bad"})
		return
	case !oneHost || host == "" || strings.ContainsAny(host, " \t/,"):
		x.decline(ownAnswer{status: 400, body: "Host missing or bad"})
		return
	case x.proxy.routes == nil:
		x.decline(ownAnswer{status: 503, retryAfter: startPause, body: "configuration not known yet"})
		return
	}
	route := x.proxy.routes.Lookup(host, x.head.Target)
	if route == nil {
		x.decline(ownAnswer{status: 404, body: "no route"})
		return
	}
	if x.head.Body.Length > int64(x.proxy.limits.MaxBodyBytes) {
		x.decline(ownAnswer{status: 413, body: "body too large"})
		return
	}
	x.request.Route = route
	x.request.Service = x.proxy.shares.service(route)
	x.request.Model = header.Get(fieldModel)
	x.request.InputTokens, x.request.MaxOutputTokens = tokenCounts(header.Get(fieldTokenCounts))
	x.request.Chunks = promptParts(header.Get(fieldPromptStart))
	x.request.Deadline = x.request.ArrivedAt + timeLeft(header, route.Timeout)
	if x.request.Deadline <= x.proxy.now() {
		x.decline(ownAnswer{status: 503, retryAfter: soon, body: "no time left"})
		return
	}
	x.events.start(header.Get(fieldLastEvent))
	x.expiry = x.proxy.at(x.request.Deadline, x.expire)
	x.session.awaitsBody(x)
}

// decline answers a request without a use for its body; if that has not come whole the connection ends.
func (x *exchange) decline(a ownAnswer) {
	if !x.session.skipBody(x) {
		x.session.last = true
	}
	x.reply(a)
}

// take adds a part of the body.
func (x *exchange) take(data []byte) {
	if len(data) == 0 {
		return
	}
	if x.body == nil && x.head.Body.Length > 0 {
		x.body = make([]byte, 0, min(x.head.Body.Length, int64(len(data))*2))
	}
	x.body = append(x.body, data...)
	x.proxy.buffered += len(data)
}

// dropBody lets go of the body once it cannot be sent again.
func (x *exchange) dropBody() {
	x.proxy.buffered -= len(x.body)
	x.body = nil
}

// follows says which states an exchange may go to from each one. A request that was not sent, or that may run again, is
// connected anew; an answer that has begun stays relaying, also while another runner continues it.
var follows = [...][]state{
	receiving:  {placing, finished},
	placing:    {connecting, finished},
	connecting: {connecting, awaiting, finished},
	awaiting:   {connecting, awaiting, relaying, finished},
	relaying:   {finished},
	finished:   {},
}

// transition is the one place where the state changes.
func (x *exchange) transition(to state) {
	invariant.Check(slices.Contains(follows[x.state], to), "proxy: an exchange changes its state as it may")
	x.state = to
}

// received goes on once the request is whole.
func (x *exchange) received() {
	x.transition(placing)
	x.request.BodyBytes = len(x.body)
	if x.proxy.outlastsProxy(&x.request) {
		x.proxy.Figures.StoppingRefused++
		x.giveUp(soon)
		return
	}
	x.place()
}

// place has a runner named and sends the request there, or gives up.
func (x *exchange) place() {
	choice, refusal := x.choose()
	if refusal != nil {
		x.giveUp(refusal.RetryAfter)
		return
	}
	x.send(choice)
}

// note logs why no runner was named.
func (x *exchange) note(refusal *placement.Rejection) {
	if e := x.proxy.log.Check(zap.DebugLevel, "refused"); e != nil {
		e.Write(zap.String("try", x.tryID), zap.String("route", x.request.Route.Name), zap.String("reason", refusal.Reason),
			zap.Duration("retry_after", refusal.RetryAfter), zap.Strings("tried", x.request.TriedRunners))
	}
}

// choose has a runner named that has a connection to spare.
func (x *exchange) choose() (placement.Choice, *placement.Rejection) {
	tried := x.request.TriedRunners
	defer func() { x.request.TriedRunners = tried }()
	x.request.TriedRunners = tried[:len(tried):len(tried)]
	for range mostFull {
		choice, refusal := x.proxy.placer.Place(x.proxy.now(), &x.request)
		if refusal != nil {
			x.note(refusal)
			return choice, refusal
		}
		if x.proxy.pool.admits(choice) {
			return choice, nil
		}
		x.request.TriedRunners = append(x.request.TriedRunners, choice.Runner)
	}
	return placement.Choice{}, &placement.Rejection{RetryAfter: soon, Reason: "no connection to spare"}
}

// send begins an attempt.
func (x *exchange) send(c placement.Choice) {
	if x.state != relaying {
		x.transition(connecting)
	}
	x.proxy.Figures.Attempts++
	a := &attempt{exchange: x, choice: c}
	a.booked = x.proxy.placer.StartAttempt(x.proxy.now(), &x.request, c)
	x.attempt = a
	x.proxy.peers.tellReading(a.booked)
	x.proxy.pool.carry(a)
}

// mayRetry says whether the request may be sent to another runner. What must hold is checked here too: the placer
// knows of budgets, this knows of promises.
func (x *exchange) mayRetry() bool {
	if x.request.MayHaveRun && !x.request.Route.IsIdempotent() {
		return false
	}
	if x.answer.begun && !x.continues() {
		return false
	}
	now := x.proxy.now()
	if len(x.request.TriedRunners)-x.unreached >= max(1, x.request.Route.MaxAttempts) || now >= x.request.Deadline {
		return false
	}
	return x.proxy.placer.MayRetry(now, &x.request)
}

// continues says whether an answer that has begun may go on from another runner.
func (x *exchange) continues() bool {
	return x.answer.resumable && x.events.mayRestart()
}

// again sends the request to another runner, if that may be and one can take it.
func (x *exchange) again() (sent bool, pause time.Duration) {
	if !x.mayRetry() {
		return false, 0
	}
	choice, refusal := x.choose()
	if refusal != nil {
		return false, refusal.RetryAfter
	}
	if x.answer.begun {
		x.events.restart()
		x.proxy.Figures.Resumed++
	}
	x.send(choice)
	return true, 0
}

// tried notes the runner of an attempt.
func (x *exchange) tried(a *attempt, mayHaveRun bool) {
	x.request.TriedRunners = append(x.request.TriedRunners, a.choice.Runner)
	x.request.MayHaveRun = x.request.MayHaveRun || mayHaveRun
}

// giveUp ends the request without a runner's answer. pause is after which the client may come back; 0: not known.
func (x *exchange) giveUp(pause time.Duration) {
	switch {
	case x.answer.begun:
		x.abort()
	case x.request.MayHaveRun:
		x.proxy.Figures.Failed++
		x.reply(ownAnswer{status: 502, body: "runner failed"})
	default:
		if pause <= 0 {
			pause = refusalPause
		}
		x.proxy.Figures.Refused++
		x.reply(ownAnswer{status: 503, retryAfter: pause, body: "no room"})
	}
}

// expire ends the request at its deadline. An answer under way has a moment more: its runner stops by itself, and what
// it sent last may be on its way. The client must have the end within 0.25 s of the route's time, of which endGrace leaves
// 0.1 s for the way of the request and of the answer and for a late turn of the loop.
func (x *exchange) expire() {
	switch {
	case x.state == receiving:
		x.finish()
		x.session.rejectWith(408, "request not whole in time")
	case x.answer.begun:
		x.expiry = x.proxy.at(x.proxy.now()+endGrace, x.abort)
	case x.request.MayHaveRun || x.attempt != nil && x.attempt.up: // with a part of it, the runner may have begun
		x.endAttempt(x.lateOutcome())
		x.proxy.Figures.Failed++
		x.reply(ownAnswer{status: 504, body: "no answer in time"})
	default:
		x.endAttempt(placement.Cancelled)
		x.proxy.Figures.Refused++
		x.reply(ownAnswer{status: 503, retryAfter: soon, body: "no runner reached in time"})
	}
}

// endUnanswered ends a request whose answer has not begun, since the process ends.
func (x *exchange) endUnanswered() {
	if x.state == receiving {
		x.finish()
		x.session.rejectWith(503, "the proxy ends")
		return
	}
	x.request.MayHaveRun = x.request.MayHaveRun || x.attempt != nil && x.attempt.up // with a part of it, the runner may have begun
	x.endAttempt(placement.Cancelled)
	x.giveUp(soon)
}

// lateOutcome is what the deadline says of the runner: little, unless it had the time that an answer should take.
func (x *exchange) lateOutcome() placement.Outcome {
	a := x.attempt
	if a != nil && a.sentWhole() && x.proxy.now()-a.sentAt >= x.request.Route.LatencyTarget {
		return placement.TimedOut
	}
	return placement.Cancelled
}

// endAttempt breaks the attempt under way off, if there is one.
func (x *exchange) endAttempt(o placement.Outcome) {
	if a := x.attempt; a != nil {
		a.cancel()
		a.end(o)
	}
}

// clientGone ends an exchange whose client has left; its session is closed already.
func (x *exchange) clientGone() {
	x.endAttempt(placement.Cancelled)
	x.proxy.Figures.Aborted++
	x.finish()
}

// abort breaks off an answer that cannot be completed.
func (x *exchange) abort() {
	x.endAttempt(placement.Cancelled)
	x.proxy.Figures.Aborted++
	s, framed := x.session, x.answer.framed()
	x.finish()
	s.abort(framed)
}

// reply ends the request with an answer of the proxy itself.
func (x *exchange) reply(a ownAnswer) {
	a.tryID = x.tryID
	a.noBody = x.head.Method == "HEAD"
	s := x.session
	x.finish()
	s.reply(a)
}

// finish lets go of what the exchange holds.
func (x *exchange) finish() {
	if x.state == finished {
		return
	}
	x.transition(finished)
	x.expiry.Stop()
	x.dropBody()
	x.proxy.exchanges--
	if x.session.exchange == x {
		x.session.exchange = nil
	}
	x.proxy.endWhenDone()
}
