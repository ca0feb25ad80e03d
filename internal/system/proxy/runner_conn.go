package proxy

import (
	"errors"
	"io"
	"slices"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/shared/invariant"
	"cinderroad/internal/system/placement"
)

const (
	maxResponseHeadBytes = 32 << 10               // bytes
	discardTimeout       = 400 * time.Millisecond // for the rest of an answer: its client may leave, and the runner be at work
	sharedCloseWindow    = time.Second            // within which the ends of idle connections say that their runner ends
	singleWriteBodyBytes = 32 << 10               // bytes that are sent in one call with the head

	unackedTimeout    = 3 * time.Second // without an acknowledgement of what was sent
	keepAliveInterval = time.Second     // without a byte from the runner's machine
)

// Why a connection to a runner is closed here.
var (
	errConnectTimeout      = errors.New("no connection came up in time")
	errClosedBeforeRequest = errors.New("the runner closed the connection before it had a request")
	errDraining            = errors.New("the runner takes nothing new")
	errUnexpectedBytes     = errors.New("bytes that belong to no request")
	errMismatchedResponse  = errors.New("an answer to another request")
	errDiscardTimeout      = errors.New("the rest of an answer did not come in time")
)

// connState is where a connection to a runner stands.
type connState uint8

const (
	connDialing      connState = iota
	connIdle                   // idle
	connAwaitingHead           // a request has been written, the head of the answer is due
	connReadingBody            // the body of the answer is coming
	connSkippingBody           // the body of an answer to the request before is coming
	connClosed
)

// runnerConn is a connection to a runner. It carries one request at a time.
type runnerConn struct {
	runner             *runner
	socket             *eventloop.Conn
	state              connState
	attempt            *attempt // nil when idle, or when nobody wants the rest of the answer
	method             string
	tryID              string // of the request at hand
	previousTryID      string // of the one before
	skippedPrevious    bool   // an answer to the one before has been read away
	requestEnd         uint64 // bytes written once the request is whole
	responseStarted    bool   // bytes have come since the request at hand began to be written
	bodyReader         httpwire.BodyReader
	framing            httpwire.FramingKind
	closeAfterResponse bool          // closes after the answer
	advertisedIdle     time.Duration // rest that the runner named
	idleSince          time.Duration // when it came to rest
	dialedAt           time.Duration
	timer              *eventloop.Timer
	isProbe            bool          // was opened to find out whether the runner's machine is there
	dataSinceCheck     bool          // bytes have come since the last look
	checkInterval      time.Duration // until the next one
	watchdog           *eventloop.Timer
}

// connTransitions says which states a connection may go to from each one.
var connTransitions = [...][]connState{
	connDialing:      {connAwaitingHead, connIdle, connClosed},
	connIdle:         {connAwaitingHead, connClosed},
	connAwaitingHead: {connReadingBody, connSkippingBody, connClosed},
	connReadingBody:  {connIdle, connClosed},
	connSkippingBody: {connAwaitingHead, connClosed},
	connClosed:       {},
}

// transition is the one place where the state changes.
func (l *runnerConn) transition(next connState) {
	invariant.Check(slices.Contains(connTransitions[l.state], next), "proxy: a connection changes its state as it may")
	l.state = next
}

// requestSent says whether the system has taken all bytes of the request.
func (l *runnerConn) requestSent() bool {
	return l.state != connDialing && l.requestEnd > 0 && l.socket.Written() >= l.requestEnd
}

// mayHaveRun says whether the runner may have run the request: it may once it can have got the last byte, and one that
// answers sooner may have run what it had got by then.
func (l *runnerConn) mayHaveRun() bool {
	return l.requestSent() || l.responseStarted && l.requestEnd > 0
}

// Opened implements transport.Handler.
func (l *runnerConn) Opened(conn *eventloop.Conn) {
	p := l.runner.pool.proxy
	l.timer.Stop()
	l.runner.noteConnected(p.now() - l.dialedAt)
	conn.SetKeepAlive(unackedTimeout, keepAliveInterval)
	conn.ReadBeforeReset()
	l.reportProbe(true)
	a := l.attempt
	if a == nil {
		l.makeIdle()
		return
	}
	switch {
	case !conn.Alive(): // the runner takes no more connections and has reset this one
		l.fail(errClosedBeforeRequest)
	case !l.runner.listed || l.runner.draining: // meanwhile
		l.fail(errDraining)
	default:
		l.sendRequest(a)
	}
}

// reportProbe says whether the runner's machine is there, if the connection was opened to find that out.
func (l *runnerConn) reportProbe(there bool) {
	if l.isProbe {
		l.isProbe = false
		l.runner.finishProbe(there)
	}
}

// sendRequest writes the request of an attempt.
func (l *runnerConn) sendRequest(a *attempt) {
	x := a.exchange
	l.attempt, a.conn = a, l
	l.transition(connAwaitingHead)
	l.skippedPrevious, l.closeAfterResponse, l.responseStarted = false, false, false
	l.previousTryID, l.tryID, l.method = l.tryID, x.tryID, x.head.Method
	a.noteSent()
	head := x.appendRequest(x.proxy.scratch[:0], a.choice)
	l.requestEnd = l.socket.Written() + uint64(len(head)+len(x.body))
	if len(x.body) <= singleWriteBodyBytes {
		head = append(head, x.body...)
		l.socket.Write(head)
	} else {
		l.socket.Write(head)
		l.socket.Write(x.body)
	}
	x.proxy.scratch = head
	if x.stalled {
		l.socket.SetStalled(true)
	}
	l.startWatchdog(ackTimeout)
}

// Data implements transport.Handler.
func (l *runnerConn) Data(conn *eventloop.Conn) {
	l.dataSinceCheck, l.responseStarted = true, true
	l.runner.lastDataAt = l.runner.pool.proxy.now()
	for l.state != connClosed {
		if !l.advance(conn) {
			return
		}
	}
}

// advance takes the next piece of what has come; false when it needs more.
func (l *runnerConn) advance(conn *eventloop.Conn) bool {
	switch l.state {
	case connAwaitingHead:
		return l.readHead(conn)
	case connReadingBody, connSkippingBody:
		return l.readBody(conn)
	}
	l.failProtocol(errUnexpectedBytes)
	return false
}

// readHead takes the head of an answer.
func (l *runnerConn) readHead(conn *eventloop.Conn) bool {
	if len(conn.Bytes()) == 0 {
		return false
	}
	head, n, err := httpwire.ParseResponseHead(conn.Bytes(), l.method, maxResponseHeadBytes)
	if errors.Is(err, httpwire.ErrIncomplete) {
		return false
	}
	if err != nil {
		l.failProtocol(err)
		return false
	}
	conn.Consume(n)
	l.bodyReader.Reset(head.Body)
	l.framing = head.Body.Kind
	l.closeAfterResponse = l.closeAfterResponse || head.Close || !l.requestSent()
	l.advertisedIdle = advertisedIdleTimeout(head.Header)
	switch {
	case l.matchesCurrent(&head):
	case l.matchesPrevious(&head):
		l.transition(connSkippingBody)
		l.skippedPrevious, l.closeAfterResponse = true, true
		return true
	default:
		l.failProtocol(errMismatchedResponse)
		return false
	}
	l.transition(connReadingBody)
	if a := l.attempt; a != nil {
		a.handleHead(&head)
	}
	if l.state == connReadingBody && l.attempt == nil {
		l.discardResponse()
	}
	return l.state != connClosed
}

// matchesCurrent says whether an answer is one to the request at hand, which its id shows. One that only says that nothing ran
// may lack the id on a connection that carried no request before: there it can belong to no other.
func (l *runnerConn) matchesCurrent(head *httpwire.ResponseHead) bool {
	id, once := head.Header.GetUnique(headerTryID)
	if id != "" {
		return once && id == l.tryID
	}
	return l.previousTryID == "" && classify(head).saysNotRun()
}

// matchesPrevious says whether an answer is an extra one to the request before on this connection, which may be read away:
// the answer to the request at hand follows.
func (l *runnerConn) matchesPrevious(head *httpwire.ResponseHead) bool {
	id, once := head.Header.GetUnique(headerTryID)
	return once && !l.skippedPrevious && id != "" && id == l.previousTryID && head.Body.Kind != httpwire.UntilClose
}

// readBody takes a part of the body.
func (l *runnerConn) readBody(conn *eventloop.Conn) bool {
	data, n, done, err := l.bodyReader.Next(conn.Bytes())
	if err != nil {
		l.failProtocol(err)
		return false
	}
	if a := l.attempt; a != nil && l.state == connReadingBody {
		a.relayBody(data)
	}
	conn.Consume(n)
	switch {
	case done && l.state == connSkippingBody:
		l.transition(connAwaitingHead)
		return true
	case done:
		l.finishResponse(conn)
		return false
	}
	return n > 0 && len(conn.Bytes()) > 0
}

// finishResponse lets the connection rest, or closes it, and ends the attempt.
func (l *runnerConn) finishResponse(conn *eventloop.Conn) {
	a := l.attempt
	l.attempt = nil
	if a != nil {
		a.conn = nil
	}
	l.timer.Stop()
	l.watchdog.Stop()
	switch {
	case len(conn.Bytes()) > 0:
		l.runner.pool.proxy.Counters.InvalidResponses++
		l.close()
	case l.closeAfterResponse:
		l.close()
	default:
		l.makeIdle()
	}
	if a != nil {
		a.complete()
	}
}

// discardResponse reads the rest of an answer that nobody wants, so that the connection may serve on.
func (l *runnerConn) discardResponse() {
	if l.closeAfterResponse || l.framing == httpwire.UntilClose {
		l.close()
		return
	}
	p := l.runner.pool.proxy
	l.socket.SetStalled(false)
	l.timer.Stop()
	l.timer = p.runAt(p.now()+discardTimeout, func() { l.fail(errDiscardTimeout) })
}

// makeIdle makes the connection idle for the next request.
func (l *runnerConn) makeIdle() {
	p := l.runner.pool.proxy
	if !l.runner.listed || l.runner.draining || p.shutdown.active && p.openExchanges == 0 {
		l.close()
		return
	}
	l.socket.SetStalled(false)
	l.transition(connIdle)
	l.requestEnd = 0
	l.idleSince = p.now()
	l.runner.idle = append(l.runner.idle, l)
	most := maxIdleTime
	if l.advertisedIdle > 0 {
		most = l.advertisedIdle
	}
	l.timer = p.runAt(l.idleSince+most, l.close)
}

// idleTrustLimit is how long the connection may have rested to be given a request.
func (l *runnerConn) idleTrustLimit() time.Duration {
	if l.advertisedIdle > 0 {
		return l.advertisedIdle
	}
	return l.runner.pool.idleTimeoutOf(l.runner.service).estimate()
}

// Closed implements transport.Handler.
func (l *runnerConn) Closed(_ *eventloop.Conn, err error) {
	if l.state == connIdle && errors.Is(err, io.EOF) {
		l.learnIdleTimeout()
	}
	if l.state == connReadingBody && l.framing == httpwire.UntilClose && errors.Is(err, io.EOF) && !l.attempt.endedMidEvent() {
		l.closeAfterResponse = true
		l.finishResponse(l.socket)
		return
	}
	l.fail(err)
}

// learnIdleTimeout learns from a runner's close of an idle connection, unless others end at the same time: then the runner
// ends.
func (l *runnerConn) learnIdleTimeout() {
	now := l.runner.pool.proxy.now()
	if now-l.runner.lastIdleCloseAt > sharedCloseWindow && l.advertisedIdle == 0 {
		l.runner.pool.idleTimeoutOf(l.runner.service).observe(now - l.idleSince)
	}
	l.runner.lastIdleCloseAt = now
}

// failProtocol closes a connection that brought bytes which belong to no request.
func (l *runnerConn) failProtocol(err error) {
	l.runner.pool.proxy.Counters.InvalidResponses++
	l.fail(err)
}

// fail closes the connection and ends its attempt.
func (l *runnerConn) fail(err error) {
	p := l.runner.pool.proxy
	a, mayHaveRun := l.attempt, l.mayHaveRun()
	if l.state != connIdle {
		p.log.Debug("runner connection lost", zap.String("runner", l.runner.id), zap.Error(err))
	}
	l.attempt = nil
	l.close()
	l.reportProbe(errors.Is(err, eventloop.ErrNoDescriptor)) // the want is here: it says nothing of the runner
	if a != nil {
		a.conn = nil
		a.handleConnFailure(mayHaveRun)
	}
}

// close ends the connection.
func (l *runnerConn) close() {
	if l.state == connClosed {
		return
	}
	l.timer.Stop()
	l.watchdog.Stop()
	l.removeFromIdle()
	l.transition(connClosed)
	if l.requestEnd > 0 && !l.responseStarted && l.socket.Unacknowledged() > 0 {
		l.socket.Reset() // an ordered close would have the system go on sending a request that nobody waits for
	} else {
		l.socket.Close()
	}
	r := l.runner
	r.conns = removeConn(r.conns, l)
	r.pool.removeIfUnused(r)
}

// removeFromIdle takes the connection from the idle ones.
func (l *runnerConn) removeFromIdle() {
	if l.state == connIdle {
		l.runner.idle = removeConn(l.runner.idle, l)
	}
}

// removeConn is a list without one of its links, in the same order.
func removeConn(list []*runnerConn, l *runnerConn) []*runnerConn {
	for i, o := range list {
		if o == l {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// handleConnFailure ends an attempt whose connection has failed.
func (a *attempt) handleConnFailure(mayHaveRun bool) {
	if a.verdict == verdictFailure && a.exchange.response.started { // its own failure was being passed on
		a.end(placement.Failed)
		a.exchange.abort()
		return
	}
	a.handleLost(mayHaveRun)
}
