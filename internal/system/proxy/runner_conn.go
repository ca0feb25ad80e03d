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
	if i := slices.Index(list, l); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
