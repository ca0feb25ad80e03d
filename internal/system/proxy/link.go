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
	mostAnswerHead = 32 << 10               // bytes
	readAwayTime   = 400 * time.Millisecond // for the rest of an answer: its client may leave, and the runner be at work
	endsTogether   = time.Second            // within which the ends of idle connections say that their runner ends
	smallBody      = 32 << 10               // bytes that are sent in one call with the head

	userTimeout = 3 * time.Second // without an acknowledgement of what was sent
	silentProbe = time.Second     // without a byte from the runner's machine
)

// Why a connection to a runner is closed here.
var (
	errConnectTimeout = errors.New("no connection came up in time")
	errRefused        = errors.New("the runner closed the connection before it had a request")
	errDraining       = errors.New("the runner takes nothing new")
	errUnasked        = errors.New("bytes that belong to no request")
	errOtherAnswer    = errors.New("an answer to another request")
	errReadAway       = errors.New("the rest of an answer did not come in time")
)

// linkState is where a connection to a runner stands.
type linkState uint8

const (
	dialing  linkState = iota
	resting            // idle
	waiting            // a request has been written, the head of the answer is due
	reading            // the body of the answer is coming
	skipping           // the body of an answer to the request before is coming
	closed
)

// link is a connection to a runner. It carries one request at a time.
type link struct {
	runner   *runner
	conn     *eventloop.Conn
	state    linkState
	attempt  *attempt // nil when idle, or when nobody wants the rest of the answer
	method   string
	tryID    string // of the request at hand
	previous string // of the one before
	skipped  bool   // an answer to the one before has been read away
	goal     uint64 // bytes written once the request is whole
	answered bool   // bytes have come since the request at hand began to be written
	reader   httpwire.BodyReader
	kind     httpwire.FramingKind
	ends     bool          // closes after the answer
	told     time.Duration // rest that the runner named
	since    time.Duration // when it came to rest
	dialed   time.Duration
	timeout  *eventloop.Timer
	asks     bool          // was opened to find out whether the runner's machine is there
	heard    bool          // bytes have come since the last look
	patience time.Duration // until the next one
	watchdog *eventloop.Timer
}

// linkFollows says which states a connection may go to from each one.
var linkFollows = [...][]linkState{
	dialing:  {waiting, resting, closed},
	resting:  {waiting, closed},
	waiting:  {reading, skipping, closed},
	reading:  {resting, closed},
	skipping: {waiting, closed},
	closed:   {},
}

// transition is the one place where the state changes.
func (l *link) transition(to linkState) {
	invariant.Check(slices.Contains(linkFollows[l.state], to), "proxy: a connection changes its state as it may")
	l.state = to
}

// sentWhole says whether the system has taken all bytes of the request.
func (l *link) sentWhole() bool {
	return l.state != dialing && l.goal > 0 && l.conn.Written() >= l.goal
}

// mayHaveRun says whether the runner may have run the request: it may once it can have got the last byte, and one that
// answers sooner may have run what it had got by then.
func (l *link) mayHaveRun() bool {
	return l.sentWhole() || l.answered && l.goal > 0
}

// Opened implements transport.Handler.
func (l *link) Opened(c *eventloop.Conn) {
	p := l.runner.pool.proxy
	l.timeout.Stop()
	l.runner.connected(p.now() - l.dialed)
	c.SetKeepAlive(userTimeout, silentProbe)
	c.ReadBeforeReset()
	l.answerAsked(true)
	a := l.attempt
	if a == nil {
		l.rest()
		return
	}
	switch {
	case !c.Alive(): // the runner takes no more connections and has reset this one
		l.fail(errRefused)
	case !l.runner.listed || l.runner.draining: // meanwhile
		l.fail(errDraining)
	default:
		l.begin(a)
	}
}

// answerAsked says whether the runner's machine is there, if the connection was opened to find that out.
func (l *link) answerAsked(there bool) {
	if l.asks {
		l.asks = false
		l.runner.asked(there)
	}
}

// begin writes the request of an attempt.
func (l *link) begin(a *attempt) {
	x := a.exchange
	l.attempt, a.link = a, l
	l.transition(waiting)
	l.skipped, l.ends, l.answered = false, false, false
	l.previous, l.tryID, l.method = l.tryID, x.tryID, x.head.Method
	a.began()
	head := x.appendRequest(x.proxy.scratch[:0], a.choice)
	l.goal = l.conn.Written() + uint64(len(head)+len(x.body))
	if len(x.body) <= smallBody {
		head = append(head, x.body...)
		l.conn.Write(head)
	} else {
		l.conn.Write(head)
		l.conn.Write(x.body)
	}
	x.proxy.scratch = head
	if x.stalled {
		l.conn.SetStalled(true)
	}
	l.watch(takenWithin)
}

// Data implements transport.Handler.
func (l *link) Data(c *eventloop.Conn) {
	l.heard, l.answered = true, true
	l.runner.heard = l.runner.pool.proxy.now()
	for l.state != closed {
		if !l.step(c) {
			return
		}
	}
}

// step takes the next piece of what has come; false when it needs more.
func (l *link) step(c *eventloop.Conn) bool {
	switch l.state {
	case waiting:
		return l.readHead(c)
	case reading, skipping:
		return l.readBody(c)
	}
	l.spoil(errUnasked)
	return false
}

// readHead takes the head of an answer.
func (l *link) readHead(c *eventloop.Conn) bool {
	if len(c.Bytes()) == 0 {
		return false
	}
	h, n, err := httpwire.ParseResponseHead(c.Bytes(), l.method, mostAnswerHead)
	if errors.Is(err, httpwire.ErrIncomplete) {
		return false
	}
	if err != nil {
		l.spoil(err)
		return false
	}
	c.Consume(n)
	l.reader.Reset(h.Body)
	l.kind = h.Body.Kind
	l.ends = l.ends || h.Close || !l.sentWhole()
	l.told = toldRest(h.Header)
	switch {
	case l.isOurs(&h):
	case l.isPrevious(&h):
		l.transition(skipping)
		l.skipped, l.ends = true, true
		return true
	default:
		l.spoil(errOtherAnswer)
		return false
	}
	l.transition(reading)
	if a := l.attempt; a != nil {
		a.headCame(&h)
	}
	if l.state == reading && l.attempt == nil {
		l.readAway()
	}
	return l.state != closed
}

// isOurs says whether an answer is one to the request at hand, which its id shows. One that only says that nothing ran
// may lack the id on a connection that carried no request before: there it can belong to no other.
func (l *link) isOurs(h *httpwire.ResponseHead) bool {
	id, once := h.Header.GetUnique(fieldTryID)
	if id != "" {
		return once && id == l.tryID
	}
	return l.previous == "" && judge(h).saysNotRun()
}

// isPrevious says whether an answer is an extra one to the request before on this connection, which may be read away:
// the answer to the request at hand follows.
func (l *link) isPrevious(h *httpwire.ResponseHead) bool {
	id, once := h.Header.GetUnique(fieldTryID)
	return once && !l.skipped && id != "" && id == l.previous && h.Body.Kind != httpwire.UntilClose
}

// readBody takes a part of the body.
func (l *link) readBody(c *eventloop.Conn) bool {
	data, n, done, err := l.reader.Next(c.Bytes())
	if err != nil {
		l.spoil(err)
		return false
	}
	if a := l.attempt; a != nil && l.state == reading {
		a.bodyCame(data)
	}
	c.Consume(n)
	switch {
	case done && l.state == skipping:
		l.transition(waiting)
		return true
	case done:
		l.answerEnded(c)
		return false
	}
	return n > 0 && len(c.Bytes()) > 0
}

// answerEnded lets the connection rest, or closes it, and ends the attempt.
func (l *link) answerEnded(c *eventloop.Conn) {
	a := l.attempt
	l.attempt = nil
	if a != nil {
		a.link = nil
	}
	l.timeout.Stop()
	l.watchdog.Stop()
	switch {
	case len(c.Bytes()) > 0:
		l.runner.pool.proxy.Figures.Spoilt++
		l.close()
	case l.ends:
		l.close()
	default:
		l.rest()
	}
	if a != nil {
		a.whole()
	}
}

// readAway reads the rest of an answer that nobody wants, so that the connection may serve on.
func (l *link) readAway() {
	if l.ends || l.kind == httpwire.UntilClose {
		l.close()
		return
	}
	p := l.runner.pool.proxy
	l.conn.SetStalled(false)
	l.timeout.Stop()
	l.timeout = p.at(p.now()+readAwayTime, func() { l.fail(errReadAway) })
}

// rest makes the connection idle for the next request.
func (l *link) rest() {
	p := l.runner.pool.proxy
	if !l.runner.listed || l.runner.draining || p.stopping.on && p.exchanges == 0 {
		l.close()
		return
	}
	l.conn.SetStalled(false)
	l.transition(resting)
	l.goal = 0
	l.since = p.now()
	l.runner.idle = append(l.runner.idle, l)
	most := mostRest
	if l.told > 0 {
		most = l.told
	}
	l.timeout = p.at(l.since+most, l.close)
}

// restLimit is how long the connection may have rested to be given a request.
func (l *link) restLimit() time.Duration {
	if l.told > 0 {
		return l.told
	}
	return l.runner.pool.restBook(l.runner.service).limit()
}

// Closed implements transport.Handler.
func (l *link) Closed(_ *eventloop.Conn, err error) {
	if l.state == resting && errors.Is(err, io.EOF) {
		l.endedIdle()
	}
	if l.state == reading && l.kind == httpwire.UntilClose && errors.Is(err, io.EOF) && !l.attempt.cutInEvent() {
		l.ends = true
		l.answerEnded(l.conn)
		return
	}
	l.fail(err)
}

// endedIdle learns from a runner's close of an idle connection, unless others end at the same time: then the runner
// ends.
func (l *link) endedIdle() {
	now := l.runner.pool.proxy.now()
	if now-l.runner.lastEnd > endsTogether && l.told == 0 {
		l.runner.pool.restBook(l.runner.service).ended(now - l.since)
	}
	l.runner.lastEnd = now
}

// spoil closes a connection that brought bytes which belong to no request.
func (l *link) spoil(err error) {
	l.runner.pool.proxy.Figures.Spoilt++
	l.fail(err)
}

// fail closes the connection and ends its attempt.
func (l *link) fail(err error) {
	p := l.runner.pool.proxy
	a, mayHaveRun := l.attempt, l.mayHaveRun()
	if l.state != resting {
		p.log.Debug("runner connection lost", zap.String("runner", l.runner.id), zap.Error(err))
	}
	l.attempt = nil
	l.close()
	l.answerAsked(errors.Is(err, eventloop.ErrNoDescriptor)) // the want is here: it says nothing of the runner
	if a != nil {
		a.link = nil
		a.failedWith(mayHaveRun)
	}
}

// close ends the connection.
func (l *link) close() {
	if l.state == closed {
		return
	}
	l.timeout.Stop()
	l.watchdog.Stop()
	l.unlist()
	l.transition(closed)
	if l.goal > 0 && !l.answered && l.conn.Unacknowledged() > 0 {
		l.conn.Reset() // an ordered close would have the system go on sending a request that nobody waits for
	} else {
		l.conn.Close()
	}
	r := l.runner
	r.links = without(r.links, l)
	r.pool.forget(r)
}

// unlist takes the connection from the idle ones.
func (l *link) unlist() {
	if l.state == resting {
		l.runner.idle = without(l.runner.idle, l)
	}
}

// without is a list without one of its links, in the same order.
func without(list []*link, l *link) []*link {
	for i, o := range list {
		if o == l {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// failedWith ends an attempt whose connection has failed.
func (a *attempt) failedWith(mayHaveRun bool) {
	if a.verdict == failure && a.exchange.answer.begun { // its own failure was being passed on
		a.end(placement.Failed)
		a.exchange.abort()
		return
	}
	a.lost(mayHaveRun)
}
