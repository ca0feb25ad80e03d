package proxy

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// simulatedRunner is a scripted runner.
type simulatedRunner struct {
	sim     *simulation
	id      string
	address netip.AddrPort
	peer    *simulatedPeer
	conns   []*simulatedRunnerConn
}

func newSimulatedRunner(sim *simulation, i int) *simulatedRunner {
	r := &simulatedRunner{sim: sim, id: fmt.Sprint("r", i)}
	r.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
	r.peer = &simulatedPeer{latency: time.Duration(1+sim.random.IntN(12)) * time.Millisecond, accept: r.accept}
	sim.network.peers[r.address] = r.peer
	return r
}

// partition blocks the runner's network for a while.
func (r *simulatedRunner) partition(span time.Duration) {
	now := r.sim.network.now
	r.peer.partitionedUntil = max(r.peer.partitionedUntil, now+span)
	r.peer.lastPartitionEnd = r.peer.partitionedUntil
	r.markFaults()
}

// markFaults records that requests at the runner may fail without a fault of the proxy.
func (r *simulatedRunner) markFaults() {
	for _, q := range r.sim.checker.requests {
		if !q.completed {
			q.faulted = true // it may be on its way to this runner
		}
	}
}

// crash resets all connections of the runner, which refuses new ones for a while.
func (r *simulatedRunner) crash(span time.Duration) {
	r.markFaults()
	for _, c := range r.conns {
		c.markFault()
		c.end.abort()
	}
	r.conns = nil
	r.peer.accept = nil
	r.sim.network.after(span, func() { r.peer.accept = r.accept })
}

func (r *simulatedRunner) accept(end *remoteEnd) {
	c := &simulatedRunnerConn{runner: r, end: end}
	r.conns = append(r.conns, c)
	end.onData = c.handleData
	end.onEnd = c.handleClose
	end.onLost = c.handleLostBytes
	if r.sim.chance(40) { // it accepts no more connections
		c.closeWith(end.abort)
	}
}

// simulatedRunnerConn is a connection at a runner.
type simulatedRunnerConn struct {
	runner        *simulatedRunner
	end           *remoteEnd
	received      string
	request       *simulatedRequest // being executed, or its body is arriving
	previousID    string            // of the request before, whose response a script may repeat
	pendingBody   string            // bytes of the body that have not arrived
	running       bool              // the request is being executed
	replying      bool              // a part of a response was sent
	mayBeStale    bool              // an extra response may arrive
	answeredEarly bool              // the request was answered before its body was complete
	onBody        func()            // runs when the body is complete
	generation    int               // of the script: a new one invalidates the steps of the earlier ones
}

// markFault records that the current request fails because of the runner.
func (c *simulatedRunnerConn) markFault() {
	if c.request != nil {
		c.request.faulted = true
	}
}

// wasDelayed reports whether what arrives now was delayed by the network or because the runner did not read.
func (c *simulatedRunnerConn) wasDelayed() bool {
	now, peer := c.runner.sim.network.now, c.runner.peer
	return now <= max(peer.lastPartitionEnd+peer.latency, c.end.stalledUntil)+longIteration
}

// closeWith ends the connection.
func (c *simulatedRunnerConn) closeWith(how func()) {
	c.markFault()
	how()
	c.remove()
}

func (c *simulatedRunnerConn) closeConn() { c.closeWith(c.end.close) }

func (c *simulatedRunnerConn) resetConn() { c.closeWith(c.end.abort) }

func (c *simulatedRunnerConn) remove() {
	c.generation++
	c.request = nil
	c.runner.conns = slices.DeleteFunc(c.runner.conns, func(o *simulatedRunnerConn) bool { return o == c })
}

// handleClose processes the close by the proxy: the work is dropped.
func (c *simulatedRunnerConn) handleClose(bool) {
	c.remove()
	c.end.close()
}

// handleData processes bytes from the proxy.
func (c *simulatedRunnerConn) handleData(b []byte) {
	c.received += string(b)
	for c.received != "" && !c.end.closed {
		switch {
		case c.pendingBody != "":
			n := min(len(c.pendingBody), len(c.received))
			if c.received[:n] != c.pendingBody[:n] {
				c.runner.sim.checker.violation(unexpectedRequest, "%s gets %.40q where %.40q of %s is expected",
					c.runner.id, c.received, c.pendingBody, c.request.id)
				c.resetConn()
				return
			}
			c.received = c.received[n:]
			c.pendingBody = c.pendingBody[n:]
			if c.pendingBody == "" {
				c.handleBody()
			}
		case c.request != nil:
			c.runner.sim.checker.violation(unexpectedRequest, "%s gets %.60q while it executes %s", c.runner.id, c.received, c.request.id)
			c.resetConn()
		default:
			if !c.readHead() {
				return
			}
		}
	}
}

// readHead reads the head of a request; false if it is incomplete.
func (c *simulatedRunnerConn) readHead() bool {
	got := parseHead(c.received)
	if got == nil {
		return false
	}
	sim := c.runner.sim
	c.received = c.received[got.bytes:]
	request := sim.checker.requestArrived(c, got)
	if request == nil {
		c.resetConn()
		return true
	}
	length, _ := strconv.Atoi(got.header.Get("Content-Length"))
	if length != len(request.body) {
		sim.checker.violation(unexpectedRequest, "%s arrives with %d bytes of %d", request.id, length, len(request.body))
	}
	c.request = request
	c.pendingBody = request.body
	c.answeredEarly = false
	request.faulted = request.faulted || c.mayBeStale
	if c.pendingBody == "" {
		c.execute(got)
		return true
	}
	if sim.chance(4) {
		c.answerEarly(got)
		return true
	}
	if sim.chance(40) {
		c.resetConn() // before the request is complete
		return true
	}
	head := *got
	c.whenBodyComplete(func() { c.execute(&head) })
	return true
}

// whenBodyComplete sets what is done when the body has arrived.
func (c *simulatedRunnerConn) whenBodyComplete(do func()) { c.onBody = do }

// handleBody continues once the body is complete.
func (c *simulatedRunnerConn) handleBody() {
	if c.answeredEarly {
		c.makeIdle()
		return
	}
	if do := c.onBody; do != nil {
		c.onBody = nil
		do()
	}
}

// makeIdle makes the connection available for the next request.
func (c *simulatedRunnerConn) makeIdle() {
	c.previousID = c.request.id
	c.request = nil
	c.answeredEarly = false
	c.replying = false
	c.running = false
	if c.runner.sim.chance(15) {
		step := c.generation
		c.runner.sim.network.after(c.runner.sim.randomDuration(400*time.Millisecond), func() {
			if c.generation == step && c.request == nil {
				c.closeConn()
			}
		})
	}
}

// answerEarly responds before the body has arrived, and keeps the connection or ends it.
func (c *simulatedRunnerConn) answerEarly(got *parsedHead) {
	sim := c.runner.sim
	text := notRunResponse(c.request.id, 503)
	if sim.network.now >= c.runner.peer.partitionedUntil && !sim.chance(3) { // a runner that has started sends its response head at once
		run := sim.checker.executionStarted(c.request, c.runner.id)
		run.status = 200
		run.body = bodyOf(c.request.id)
		text = sealedResponse(run, "", lengthDelimited(run))
		if c.request.kind == "resumable" || c.request.kind == "stream" {
			text = c.stream(run, got)
		}
	}
	switch sim.random.IntN(5) {
	case 0:
		c.end.send(text)
		c.resetConn()
	case 1:
		c.request.faulted = true
		c.end.send("\x00\x01 spoilt")
		c.answeredEarly = true
	default:
		c.answeredEarly = true
		c.end.send(text)
		if sim.chance(2) { // it reads on later
			c.end.setStalled(true)
			sim.network.after(sim.randomDuration(200*time.Millisecond), func() { c.end.setStalled(false) })
		}
	}
}

// notRunResponse is a response that says that nothing was executed.
func notRunResponse(id string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d No\r\nX-Not-Run: 1\r\nX-Try-Id: %s\r\nContent-Length: 3\r\n\r\nabc", status, id)
}

// sealedResponse is the response of an execution; rest is its framing and body.
func sealedResponse(run *execution, fields, rest string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Try-Id: %s\r\nX-Server-Seal: %s\r\n%s%s", run.status, run.request.id, run.seal,
		fields, rest)
}

func lengthDelimited(run *execution) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(run.body), run.body)
}

// stream is the response with a stream from the event that is wanted.
func (c *simulatedRunnerConn) stream(run *execution, got *parsedHead) string {
	from := 0
	if c.request.kind == "resumable" {
		_, _ = fmt.Sscan(got.header.Get(headerLastEventID), &from)
	}
	run.status = 200
	run.body = completeStream(c.request.id)
	var text strings.Builder
	for i := from + 1; i <= chaosEvents; i++ {
		text.WriteString(chunkText(fmt.Sprintf("id: %d\ndata: %s\n\n", i, c.request.id)))
	}
	return sealedResponse(run, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", text.String()+lastChunk)
}

// execute executes the request or rejects it.
func (c *simulatedRunnerConn) execute(got *parsedHead) {
	sim, request := c.runner.sim, c.request
	switch sim.random.IntN(20) {
	case 0, 1:
		c.sendPieces(notRunResponse(request.id, 503), c.makeIdle)
		return
	case 2:
		c.sendPieces(notRunResponse(request.id, 429), c.makeIdle)
		return
	case 3: // another incarnation has the address
		c.sendPieces("HTTP/1.1 421 No\r\nX-Try-Id: "+request.id+"\r\nContent-Length: 0\r\n\r\nbytes after it", c.makeIdle)
		return
	case 4:
		request.faulted = true // without an id, the response cannot always be matched
		c.sendPieces(notRunWithoutID, c.makeIdle)
		return
	}
	run := sim.checker.executionStarted(request, c.runner.id)
	c.running = true
	c.onBody = func() { c.drawResponse(run, got) }
	c.after(c.drawWorkTime(got), func() {
		do := c.onBody
		c.onBody = nil
		do()
	})
}

// drawWorkTime chooses how long a request takes; sometimes until just after its time has run out.
func (c *simulatedRunnerConn) drawWorkTime(got *parsedHead) time.Duration {
	sim := c.runner.sim
	left, _ := strconv.Atoi(got.header.Get(headerTimeLeft))
	switch sim.random.IntN(10) {
	case 0:
		return time.Duration(left)*time.Millisecond - 20*time.Millisecond + sim.randomDuration(30*time.Millisecond)
	case 1:
		return time.Hour // the runner hangs
	case 2:
		return sim.randomDuration(2 * time.Second)
	}
	return sim.randomDuration(200 * time.Millisecond)
}

// after schedules an action unless the connection has gone on to something else by then.
func (c *simulatedRunnerConn) after(wait time.Duration, do func()) {
	c.generation++
	step := c.generation
	c.runner.sim.network.after(max(wait, 0), func() {
		if c.generation == step && !c.end.closed {
			do()
		}
	})
}

// sendPieces sends a text in pieces, with pauses, and continues with then.
func (c *simulatedRunnerConn) sendPieces(text string, then func()) {
	sim := c.runner.sim
	c.replying = true
	n, pause := len(text), time.Duration(0)
	if n > 1 && sim.chance(2) {
		n, pause = min(1+sim.random.IntN(len(text)), len(text)), sim.randomDuration(30*time.Millisecond)
	}
	if sim.chance(30) {
		pause = sim.randomDuration(time.Second)
	}
	c.end.send(text[:n])
	if n == len(text) {
		then()
		return
	}
	c.after(pause, func() { c.sendPieces(text[n:], then) })
}

// sendWithExtraBytes sends a complete response and bytes that belong to no request.
func (c *simulatedRunnerConn) sendWithExtraBytes(text, more string) {
	c.sendPieces(text, func() {
		c.makeIdle()
		c.mayBeStale = true // the bytes may meet the next request
		c.end.send(more)
	})
}

// drawResponse chooses a response to what was executed.
func (c *simulatedRunnerConn) drawResponse(run *execution, got *parsedHead) {
	request := c.request
	run.status = 200
	run.body = bodyOf(request.id)
	text := sealedResponse(run, "", lengthDelimited(run))
	if request.kind == "stream" || request.kind == "resumable" {
		text = c.stream(run, got)
	}
	switch c.runner.sim.random.IntN(22) {
	case 0:
		c.resetConn()
	case 1:
		c.closeConn()
	case 2:
		c.sendFailure(run, 500, "oops")
	case 3:
		c.sendFailure(run, 503, "oops")
	case 4:
		request.faulted = true
		c.sendPieces("\x01\x02 no answer", c.makeIdle)
	case 5:
		c.sendCutShort(text, c.resetConn)
	case 6:
		c.sendCutShort(text, c.closeConn)
	case 7:
		c.sendWithExtraBytes(text, successText(request.id, "unasked"))
	case 8:
		c.sendWithExtraBytes(text, "garbage")
	case 9:
		c.sendAfterLateResponse(text)
	case 10:
		request.faulted = true
		c.sendPieces(successText("other", "answer"), c.makeIdle)
	case 11:
		c.sendPieces(strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1), c.closeConn)
	case 12:
		c.sendPieces("HTTP/1.1 100 Continue\r\n\r\n"+text, c.makeIdle)
	case 13:
		c.sendDelimitedByClose(run, text)
	case 14:
		c.sendWithLateExtra(text)
	case 15:
		c.sendFailure(run, 504, "late")
	default:
		c.sendPieces(text, c.makeIdle)
	}
}

// sendFailure sends a complete response of a runner that failed.
func (c *simulatedRunnerConn) sendFailure(run *execution, status int, body string) {
	run.status = status
	run.body = body
	c.request.faulted = true
	c.sendPieces(sealedResponse(run, "", lengthDelimited(run)), c.makeIdle)
}

// sendCutShort sends a random part of a response and continues with then.
func (c *simulatedRunnerConn) sendCutShort(text string, then func()) {
	c.sendPieces(text[:c.runner.sim.random.IntN(len(text))], then)
}

// sendAfterLateResponse sends a response behind a further one to the previous request, if there was one.
func (c *simulatedRunnerConn) sendAfterLateResponse(text string) {
	if c.previousID != "" {
		text = successText(c.previousID, "late") + text
	}
	c.sendPieces(text, c.makeIdle)
}

// sendDelimitedByClose sends a response that ends with the connection; one without a stream may be lost on its way.
func (c *simulatedRunnerConn) sendDelimitedByClose(run *execution, text string) {
	if c.request.kind == "reads" || c.request.kind == "writes" {
		text = sealedResponse(run, "", "\r\n"+run.body)
		if c.runner.sim.chance(2) {
			c.sendCutShort(text, c.resetConn)
			return
		}
	}
	c.sendPieces(text, c.closeConn)
}

// sendWithLateExtra sends a response and, some time later, a further one unless the runner is replying again.
func (c *simulatedRunnerConn) sendWithLateExtra(text string) {
	sim, request := c.runner.sim, c.request
	c.sendPieces(text, func() {
		c.makeIdle()
		c.mayBeStale = true // the extra response may meet any later request
		sim.network.after(sim.randomDuration(200*time.Millisecond), func() {
			if !c.replying {
				c.end.send(c.drawLateExtra(request))
			}
		})
	})
}

// drawLateExtra chooses a response that arrives after the one that counts.
func (c *simulatedRunnerConn) drawLateExtra(request *simulatedRequest) string {
	switch c.runner.sim.random.IntN(4) {
	case 0:
		return notRunWithoutID
	case 1:
		return notRunResponse(request.id, 503)
	}
	return successText(request.id, "late")
}

// handleLostBytes processes bytes that arrive on a connection which the runner has closed.
func (c *simulatedRunnerConn) handleLostBytes(b []byte) {
	if head := parseHead(string(b)); head != nil {
		if q := c.runner.sim.checker.requests[head.header.Get(headerTryID)]; q != nil {
			q.faulted = true
		}
	}
}
