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
	maxResponseHeadBytes = 32 << 10
	discardTimeout       = 400 * time.Millisecond // for the rest of a response whose client may have disconnected while the runner is still working
	sharedCloseWindow    = time.Second            // closes of idle connections within it mean that the runner stops
	singleWriteBodyBytes = 32 << 10               // bodies up to this size are written in one call with the head

	unackedTimeout    = 3 * time.Second // sent bytes may stay unacknowledged for so long
	keepAliveInterval = time.Second     // without a byte from the runner's machine
)

// Reasons for closing a connection to a runner.
var (
	errConnectTimeout      = errors.New("connect timeout")
	errClosedBeforeRequest = errors.New("the runner closed the connection before the request was sent")
	errDraining            = errors.New("the runner accepts no new requests")
	errUnexpectedBytes     = errors.New("bytes that belong to no request")
	errMismatchedResponse  = errors.New("a response to another request")
	errDiscardTimeout      = errors.New("timeout while discarding the rest of a response")
)

// connState is the state of a connection to a runner.
type connState uint8

const (
	connDialing connState = iota
	connIdle
	connAwaitingHead // a request was written and the response head is awaited
	connReadingBody  // the response body is arriving
	connSkippingBody // the body of a response to the previous request is being discarded
	connClosed
)

// runnerConn is a connection to a runner. It carries one request at a time.
type runnerConn struct {
	runner             *runner
	socket             *eventloop.Conn
	state              connState
	attempt            *attempt // nil when idle, or when the rest of the response is discarded
	method             string
	tryID              string // of the current request
	previousTryID      string // of the request before it
	skippedPrevious    bool   // a response to the previous request was discarded
	requestEnd         uint64 // bytes written on the connection when the request is complete; 0 when idle
	responseStarted    bool   // bytes have arrived since the current request was written
	bodyReader         httpwire.BodyReader
	framing            httpwire.FramingKind
	closeAfterResponse bool
	advertisedIdle     time.Duration // idle timeout announced by the runner; 0: none
	idleSince          time.Duration
	dialedAt           time.Duration
	timer              *eventloop.Timer
	isProbe            bool          // opened to find out whether the runner's machine is reachable
	dataSinceCheck     bool          // bytes have arrived since the last check of the watchdog
	checkInterval      time.Duration // until the watchdog's next check
	watchdog           *eventloop.Timer
}

// connTransitions lists the valid successors of each state.
var connTransitions = [...][]connState{
	connDialing:      {connAwaitingHead, connIdle, connClosed},
	connIdle:         {connAwaitingHead, connClosed},
	connAwaitingHead: {connReadingBody, connSkippingBody, connClosed},
	connReadingBody:  {connIdle, connClosed},
	connSkippingBody: {connAwaitingHead, connClosed},
	connClosed:       {},
}

// transition is the only place that changes the state.
func (l *runnerConn) transition(next connState) {
	invariant.Check(slices.Contains(connTransitions[l.state], next), "proxy: a connection changes its state as it may")
	l.state = next
}

// requestSent reports whether the kernel has accepted all bytes of the request.
func (l *runnerConn) requestSent() bool {
	return l.state != connDialing && l.requestEnd > 0 && l.socket.Written() >= l.requestEnd
}

// mayHaveRun reports whether the runner may have executed the request: once it may have received the last byte, or once
// it has responded, since it may then have executed what it had received.
func (l *runnerConn) mayHaveRun() bool {
	return l.requestSent() || l.responseStarted && l.requestEnd > 0
}

// Opened implements eventloop.Handler.
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
	case !conn.Alive(): // the runner accepts no more connections and has reset this one
		l.fail(errClosedBeforeRequest)
	case !l.runner.listed || l.runner.draining: // changed while connecting
		l.fail(errDraining)
	default:
		l.sendRequest(a)
	}
}

// reportProbe ends the probe of the runner's machine if the connection was opened as one.
func (l *runnerConn) reportProbe(there bool) {
	if l.isProbe {
		l.isProbe = false
		l.runner.finishProbe(there)
	}
}

// sendRequest writes the request of an attempt.
func (l *runnerConn) sendRequest(attempt *attempt) {
	x := attempt.exchange
	l.attempt, attempt.conn = attempt, l
	l.transition(connAwaitingHead)
	l.skippedPrevious, l.closeAfterResponse, l.responseStarted = false, false, false
	l.previousTryID, l.tryID, l.method = l.tryID, x.tryID, x.head.Method
	attempt.noteSent()
	head := x.appendRequest(x.proxy.scratch[:0], attempt.choice)
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

// Closed implements eventloop.Handler.
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

// failProtocol closes a connection that received bytes which belong to no request.
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
	l.reportProbe(errors.Is(err, eventloop.ErrNoDescriptor)) // a lack of descriptors is local and says nothing about the runner
	if a != nil {
		a.conn = nil
		a.handleConnFailure(mayHaveRun)
	}
}

// close closes the connection. Calling it again has no effect.
func (l *runnerConn) close() {
	if l.state == connClosed {
		return
	}
	l.timer.Stop()
	l.watchdog.Stop()
	l.removeFromIdle()
	l.transition(connClosed)
	if l.requestEnd > 0 && !l.responseStarted && l.socket.Unacknowledged() > 0 {
		l.socket.Reset() // an orderly close would keep the kernel sending a request that nobody waits for
	} else {
		l.socket.Close()
	}
	r := l.runner
	r.conns = removeConn(r.conns, l)
	r.pool.removeIfUnused(r)
}

// removeFromIdle removes the connection from the runner's idle ones.
func (l *runnerConn) removeFromIdle() {
	if l.state == connIdle {
		l.runner.idle = removeConn(l.runner.idle, l)
	}
}

// removeConn returns a list without one connection, in the same order.
func removeConn(list []*runnerConn, l *runnerConn) []*runnerConn {
	if i := slices.Index(list, l); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
