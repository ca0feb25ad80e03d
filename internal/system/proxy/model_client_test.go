package proxy

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// modelClient asks one request after the other.
type modelClient struct {
	model     *model
	name      int
	peer      *simulatedPeer
	end       *simulatedEnd
	asked     int
	request   *askedRequest // that has no answer yet
	slowUntil time.Duration // it may not read before
	in        string
}

// next asks the next request.
func (c *modelClient) next() {
	m := c.model
	if c.asked == modelRequests || m.stopped > 0 && m.network.now > m.stopped+knownWithin {
		c.leave()
		m.done()
		return
	}
	c.asked++
	if c.end == nil {
		c.connect()
	}
	q := c.draw()
	c.request = q
	c.send(q)
	m.network.at(q.deadline, func() { c.giveUp(q) })
	if q.deadline > q.routeEnd+finalWithin {
		m.network.at(q.routeEnd+finalWithin, func() { m.referee.checkFinal(q) })
	}
	if m.chance(8) {
		m.network.after(m.upTo(500*time.Millisecond), func() { c.giveUp(q) })
	}
	if m.chance(12) {
		q.slow = true
		end, begin := c.end, m.upTo(100*time.Millisecond)
		span := m.upTo(500 * time.Millisecond)
		c.slowUntil = m.network.now + begin + span
		m.network.after(begin, func() { end.stall(true) })
		m.network.after(begin+span, func() { end.stall(false) })
	}
	q.slow = q.slow || m.network.now < c.slowUntil
}

func (c *modelClient) connect() {
	end := c.model.network.dial(modelFront, c.peer)
	c.end, c.in = end, ""
	end.data = func(b []byte) {
		if c.end == end {
			c.data(b)
		}
	}
	end.ended = func(reset bool) {
		if c.end == end {
			c.ended(reset)
		}
	}
}

// draw makes a request.
func (c *modelClient) draw() *askedRequest {
	m := c.model
	now := m.network.now
	kind := []string{"reads", "writes", "stream", "resumable"}[m.random.IntN(4)]
	q := &askedRequest{id: fmt.Sprintf("c%d-%d", c.name, c.asked), method: "POST", kind: kind, sentAt: now,
		target: "/" + kind + "/x?q=" + strconv.Itoa(c.asked), routeEnd: now + modelTimeout,
		version: "HTTP/1.1", deadline: now + 250*time.Millisecond + m.upTo(3*time.Second)}
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
	m.made++
	m.referee.requests[q.id] = q
	return q
}

// send sends a request, whole or in pieces.
func (c *modelClient) send(q *askedRequest) {
	m := c.model
	text := fmt.Sprintf("%s %s %s\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Model: m-%s\r\nX-Time-Left-Ms: %d\r\n",
		q.method, q.target, q.version, q.id, q.id, (q.deadline-q.sentAt)/time.Millisecond)
	if q.body != "" && q.version == "HTTP/1.1" && m.chance(3) {
		text += "Transfer-Encoding: chunked\r\n\r\n" + chunk(q.body[:1]) + chunk(q.body[1:]) + lastChunk
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
	m.network.after(m.upTo(300*time.Millisecond), func() { end.send(text[cut:]) })
}

// giveUp has the client leave, if it still waits for the answer.
func (c *modelClient) giveUp(q *askedRequest) {
	m := c.model
	if c.request != q {
		return
	}
	m.referee.left(q)
	m.network.after(goneWithin, func() { m.referee.checkGone(q, m.runners) })
	c.leave()
	c.settle()
}

// leave ends the client's connection.
func (c *modelClient) leave() {
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

// settle ends the request at hand, and has the client ask the next one.
func (c *modelClient) settle() {
	c.request = nil
	c.model.network.after(c.model.upTo(150*time.Millisecond), c.next)
}

// data takes bytes of the proxy.
func (c *modelClient) data(b []byte) {
	c.in += string(b)
	c.look(false)
}

// look looks whether the answer is whole.
func (c *modelClient) look(ended bool) {
	referee := c.model.referee
	if c.request == nil {
		if c.in != "" {
			referee.breaks("MIXED", "client %d gets %.60q without a question", c.name, c.in)
		}
		return
	}
	a, whole, valid := parseAnswer(c.in, ended)
	switch {
	case !valid:
		referee.breaks("MIXED", "%s gets %.60q", c.request.id, c.in)
		c.leave()
		c.settle()
	case whole:
		c.in = c.in[a.bytes:]
		referee.answered(c.request, a)
		if a.closes {
			c.leave()
		}
		c.settle()
		if c.in != "" {
			c.look(false)
		}
	}
}

// ended takes the proxy's close.
func (c *modelClient) ended(reset bool) {
	q, unread := c.request, c.end.unread
	if q != nil && !reset {
		c.look(true)
	}
	if c.end != nil {
		c.end.close()
		c.end = nil
	}
	if q != nil && c.request == q {
		q.troubled = q.troubled || unread // it may be sent again elsewhere
		c.model.referee.ended(q, c.in != "")
		c.settle()
	}
}
