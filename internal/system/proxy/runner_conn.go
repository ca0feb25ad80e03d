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
	singleWriteBodyBytes = 32 << 10    // bodies up to this size are written in one call with the head
	sharedCloseWindow    = time.Second // closes of idle connections within it mean that the runner stops

	// discardTimeout bounds the wait for the rest of a response whose client may have disconnected while the runner is
	// still working.
	discardTimeout = 400 * time.Millisecond

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
	timer              *eventloop.Timer // by state: connect timeout, idle timeout or discardTimeout; not running otherwise
	isProbe            bool             // opened to find out whether the runner's machine is reachable
	dataSinceCheck     bool             // bytes have arrived since the last check of the watchdog
	checkInterval      time.Duration    // until the watchdog's next check
	watchdog           *eventloop.Timer // of checkProgress, while an attempt is in progress
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
func (c *runnerConn) transition(next connState) {
	invariant.Check(slices.Contains(connTransitions[c.state], next), "proxy: a connection changes its state as it may")
	c.state = next
}

// requestSent reports whether the kernel has accepted all bytes of the request.
func (c *runnerConn) requestSent() bool {
	return c.state != connDialing && c.requestEnd > 0 && c.socket.Written() >= c.requestEnd
}

// mayHaveRun reports whether the runner may have executed the request: once it may have received the last byte, or once
// it has responded, since it may then have executed what it had received.
func (c *runnerConn) mayHaveRun() bool {
	return c.requestSent() || c.responseStarted && c.requestEnd > 0
}

// Opened implements eventloop.Handler.
func (c *runnerConn) Opened(conn *eventloop.Conn) {
	p := c.runner.pool.proxy
	c.timer.Stop()
	c.runner.noteConnected(p.now() - c.dialedAt)
	conn.SetKeepAlive(unackedTimeout, keepAliveInterval)
	conn.ReadBeforeReset()
	c.reportProbe(true)
	a := c.attempt
	if a == nil {
		c.makeIdle()
		return
	}
	switch {
	case !conn.Alive(): // the runner accepts no more connections and has reset this one
		c.fail(errClosedBeforeRequest)
	case !c.runner.listed || c.runner.draining: // changed while connecting
		c.fail(errDraining)
	default:
		c.sendRequest(a)
	}
}

// reportProbe ends the probe of the runner's machine if the connection was opened as one.
func (c *runnerConn) reportProbe(reachable bool) {
	if c.isProbe {
		c.isProbe = false
		c.runner.finishProbe(reachable)
	}
}

// sendRequest writes the request of an attempt.
func (c *runnerConn) sendRequest(attempt *attempt) {
	x := attempt.exchange
	c.attempt = attempt
	attempt.conn = c
	c.transition(connAwaitingHead)
	c.skippedPrevious = false
	c.closeAfterResponse = false
	c.responseStarted = false
	c.previousTryID = c.tryID
	c.tryID = x.tryID
	c.method = x.head.Method
	attempt.noteSent()
	head := x.appendRequest(x.proxy.scratch[:0], attempt.choice)
	c.requestEnd = c.socket.Written() + uint64(len(head)+len(x.body))
	if len(x.body) <= singleWriteBodyBytes {
		head = append(head, x.body...)
		c.socket.Write(head)
	} else {
		c.socket.Write(head)
		c.socket.Write(x.body)
	}
	x.proxy.scratch = head
	if x.stalled {
		c.socket.SetStalled(true)
	}
	c.startWatchdog(ackTimeout)
}

// Closed implements eventloop.Handler.
func (c *runnerConn) Closed(_ *eventloop.Conn, err error) {
	if c.state == connIdle && errors.Is(err, io.EOF) {
		c.learnIdleTimeout()
	}
	endsResponse := c.state == connReadingBody && c.framing == httpwire.UntilClose && errors.Is(err, io.EOF)
	if endsResponse && !c.attempt.endedMidEvent() {
		c.closeAfterResponse = true
		c.finishResponse(c.socket)
		return
	}
	c.fail(err)
}

// failProtocol closes a connection that received bytes which belong to no request.
func (c *runnerConn) failProtocol(err error) {
	c.runner.pool.proxy.Counters.InvalidResponses++
	c.fail(err)
}

// fail closes the connection and ends its attempt.
func (c *runnerConn) fail(err error) {
	p := c.runner.pool.proxy
	a := c.attempt
	mayHaveRun := c.mayHaveRun()
	if c.state != connIdle {
		p.log.Debug("runner connection lost", zap.String("runner", c.runner.id), zap.Error(err))
	}
	c.attempt = nil
	c.close()
	c.reportProbe(errors.Is(err, eventloop.ErrNoDescriptor)) // a lack of descriptors is local and says nothing about the runner
	if a != nil {
		a.conn = nil
		a.handleConnFailure(mayHaveRun)
	}
}

// close closes the connection. Calling it again has no effect.
func (c *runnerConn) close() {
	if c.state == connClosed {
		return
	}
	c.timer.Stop()
	c.watchdog.Stop()
	c.removeFromIdle()
	c.transition(connClosed)
	if c.requestEnd > 0 && !c.responseStarted && c.socket.Unacknowledged() > 0 {
		c.socket.Reset() // an orderly close would keep the kernel sending a request that nobody waits for
	} else {
		c.socket.Close()
	}
	r := c.runner
	r.conns = removeConn(r.conns, c)
	r.pool.removeIfUnused(r)
}

// removeFromIdle removes the connection from the runner's idle ones.
func (c *runnerConn) removeFromIdle() {
	if c.state == connIdle {
		c.runner.idle = removeConn(c.runner.idle, c)
	}
}

// removeConn returns a list without one connection, in the same order.
func removeConn(conns []*runnerConn, conn *runnerConn) []*runnerConn {
	if i := slices.Index(conns, conn); i >= 0 {
		return slices.Delete(conns, i, i+1)
	}
	return conns
}
