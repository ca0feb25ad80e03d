package proxy

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// simulatedClient asks one request after the other.
type simulatedClient struct {
	model        *simulation
	index        int
	peer         *simulatedPeer
	end          *remoteEnd
	requestCount int
	request      *simulatedRequest // that has no answer yet
	slowUntil    time.Duration     // it may not read before
	received     string
}

// sendNext asks the next request.
func (c *simulatedClient) sendNext() {
	m := c.model
	if c.requestCount == requestsPerClient || m.shutdownAt > 0 && m.network.now > m.shutdownAt+shutdownVisibleWithin {
		c.disconnect()
		m.clientDone()
		return
	}
	c.requestCount++
	if c.end == nil {
		c.connect()
	}
	q := c.drawRequest()
	c.request = q
	c.send(q)
	m.network.at(q.deadline, func() { c.cancel(q) })
	if q.deadline > q.routeEnd+completeWithin {
		m.network.at(q.routeEnd+completeWithin, func() { m.checker.checkCompleted(q) })
	}
	if m.chance(8) {
		m.network.after(m.randomDuration(500*time.Millisecond), func() { c.cancel(q) })
	}
	if m.chance(12) {
		q.slow = true
		end, begin := c.end, m.randomDuration(100*time.Millisecond)
		span := m.randomDuration(500 * time.Millisecond)
		c.slowUntil = m.network.now + begin + span
		m.network.after(begin, func() { end.setStalled(true) })
		m.network.after(begin+span, func() { end.setStalled(false) })
	}
	q.slow = q.slow || m.network.now < c.slowUntil
}

func (c *simulatedClient) connect() {
	end := c.model.network.dial(simulationFront, c.peer)
	c.end, c.received = end, ""
	end.onData = func(b []byte) {
		if c.end == end {
			c.handleData(b)
		}
	}
	end.onEnd = func(reset bool) {
		if c.end == end {
			c.handleEnd(reset)
		}
	}
}

// drawRequest makes a request.
func (c *simulatedClient) drawRequest() *simulatedRequest {
	m := c.model
	now := m.network.now
	kind := []string{"reads", "writes", "stream", "resumable"}[m.random.IntN(4)]
	q := &simulatedRequest{id: fmt.Sprintf("c%d-%d", c.index, c.requestCount), method: "POST", kind: kind, sentAt: now,
		target: "/" + kind + "/x?q=" + strconv.Itoa(c.requestCount), routeEnd: now + simulationRouteTimeout,
		version: "HTTP/1.1", deadline: now + 250*time.Millisecond + m.randomDuration(3*time.Second)}
	switch m.random.IntN(6) {
	case 0:
		q.body = strings.Repeat(q.id+";", 150<<10/(len(q.id)+1))
	case 1:
		q.body = strings.Repeat(q.id+";", 2000)
	case 2, 3:
		q.body = "body of " + q.id
	}
	if m.chance(10) {
		q.version = "HTTP/1.0"
	}
	m.requestCount++
	m.checker.requests[q.id] = q
	return q
}

// send sends a request, whole or in pieces.
func (c *simulatedClient) send(q *simulatedRequest) {
	m := c.model
	text := fmt.Sprintf("%s %s %s\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Model: m-%s\r\nX-Time-Left-Ms: %d\r\n",
		q.method, q.target, q.version, q.id, q.id, (q.deadline-q.sentAt)/time.Millisecond)
	if q.body != "" && q.version == "HTTP/1.1" && m.chance(3) {
		text += "Transfer-Encoding: chunked\r\n\r\n" + chunkText(q.body[:1]) + chunkText(q.body[1:]) + lastChunk
	} else {
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	}
	if !m.chance(10) {
		c.end.send(text)
		return
	}
	q.slow = true
	cut := 1 + m.random.IntN(len(text)-1)
	end := c.end
	end.send(text[:cut])
	m.network.after(m.randomDuration(300*time.Millisecond), func() { end.send(text[cut:]) })
}

// cancel has the client leave, if it still waits for the answer.
func (c *simulatedClient) cancel(q *simulatedRequest) {
	m := c.model
	if c.request != q {
		return
	}
	m.checker.clientLeft(q)
	m.network.after(cancelWithin, func() { m.checker.checkCancelled(q, m.runners) })
	c.disconnect()
	c.finishRequest()
}

// disconnect ends the client's connection.
func (c *simulatedClient) disconnect() {
	if c.end == nil {
		return
	}
	if c.model.chance(3) {
		c.end.abort()
	} else {
		c.end.close()
	}
	c.end = nil
}

// finishRequest ends the request at hand, and has the client ask the next one.
func (c *simulatedClient) finishRequest() {
	c.request = nil
	c.model.network.after(c.model.randomDuration(150*time.Millisecond), c.sendNext)
}

// handleData takes bytes of the proxy.
func (c *simulatedClient) handleData(b []byte) {
	c.received += string(b)
	c.checkResponse(false)
}

// checkResponse looks whether the answer is whole.
func (c *simulatedClient) checkResponse(ended bool) {
	referee := c.model.checker
	if c.request == nil {
		if c.received != "" {
			referee.violation("MIXED", "client %d gets %.60q without a question", c.index, c.received)
		}
		return
	}
	a, whole, valid := parseResponse(c.received, ended)
	switch {
	case !valid:
		referee.violation("MIXED", "%s gets %.60q", c.request.id, c.received)
		c.disconnect()
		c.finishRequest()
	case whole:
		c.received = c.received[a.bytes:]
		referee.responseComplete(c.request, a)
		if a.closes {
			c.disconnect()
		}
		c.finishRequest()
		if c.received != "" {
			c.checkResponse(false)
		}
	}
}

// handleEnd takes the proxy's close.
func (c *simulatedClient) handleEnd(reset bool) {
	q, unread := c.request, c.end.unread
	if q != nil && !reset {
		c.checkResponse(true)
	}
	if c.end != nil {
		c.end.close()
		c.end = nil
	}
	if q != nil && c.request == q {
		q.faulted = q.faulted || unread // it may be sent again elsewhere
		c.model.checker.connectionEnded(q, c.received != "")
		c.finishRequest()
	}
}
