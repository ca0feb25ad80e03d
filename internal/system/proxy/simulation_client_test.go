package proxy

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// simulatedClient sends one request after the other.
type simulatedClient struct {
	sim          *simulation
	index        int
	peer         *simulatedPeer
	end          *remoteEnd
	requestCount int
	request      *simulatedRequest // without a response so far
	slowUntil    time.Duration     // the client does not read before
	received     string
}

// sendNext sends the next request.
func (c *simulatedClient) sendNext() {
	sim := c.sim
	if c.requestCount == requestsPerClient || sim.shutdownAt > 0 && sim.network.now > sim.shutdownAt+shutdownVisibleWithin {
		c.disconnect()
		sim.clientDone()
		return
	}
	c.requestCount++
	if c.end == nil {
		c.connect()
	}
	request := c.drawRequest()
	c.request = request
	c.send(request)
	sim.network.at(request.deadline, func() { c.cancel(request) })
	if request.deadline > request.routeEnd+completeWithin {
		sim.network.at(request.routeEnd+completeWithin, func() { sim.checker.checkCompleted(request) })
	}
	if sim.chance(8) {
		sim.network.after(sim.randomDuration(500*time.Millisecond), func() { c.cancel(request) })
	}
	if sim.chance(12) {
		request.slow = true
		end, begin := c.end, sim.randomDuration(100*time.Millisecond)
		span := sim.randomDuration(500 * time.Millisecond)
		c.slowUntil = sim.network.now + begin + span
		sim.network.after(begin, func() { end.setStalled(true) })
		sim.network.after(begin+span, func() { end.setStalled(false) })
	}
	request.slow = request.slow || sim.network.now < c.slowUntil
}

func (c *simulatedClient) connect() {
	end := c.sim.network.dial(simulationFront, c.peer)
	c.end = end
	c.received = ""
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

// drawRequest creates a random request.
func (c *simulatedClient) drawRequest() *simulatedRequest {
	sim := c.sim
	now := sim.network.now
	kind := []string{"reads", "writes", "stream", "resumable"}[sim.random.IntN(4)]
	request := &simulatedRequest{
		id:       fmt.Sprintf("c%d-%d", c.index, c.requestCount),
		method:   "POST",
		kind:     kind,
		sentAt:   now,
		target:   "/" + kind + "/x?q=" + strconv.Itoa(c.requestCount),
		routeEnd: now + simulationRouteTimeout,
		version:  "HTTP/1.1",
		deadline: now + 250*time.Millisecond + sim.randomDuration(3*time.Second),
	}
	switch sim.random.IntN(6) {
	case 0:
		request.body = strings.Repeat(request.id+";", 150<<10/(len(request.id)+1))
	case 1:
		request.body = strings.Repeat(request.id+";", 2000)
	case 2, 3:
		request.body = "body of " + request.id
	}
	if sim.chance(10) {
		request.version = "HTTP/1.0"
	}
	sim.requestCount++
	sim.checker.requests[request.id] = request
	return request
}

// send sends a request in one write or several.
func (c *simulatedClient) send(request *simulatedRequest) {
	sim := c.sim
	text := fmt.Sprintf("%s %s %s\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Model: m-%s\r\nX-Time-Left-Ms: %d\r\n",
		request.method, request.target, request.version, request.id, request.id, (request.deadline-request.sentAt)/time.Millisecond)
	if request.body != "" && request.version == "HTTP/1.1" && sim.chance(3) {
		text += "Transfer-Encoding: chunked\r\n\r\n" + chunkText(request.body[:1]) + chunkText(request.body[1:]) + lastChunk
	} else {
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(request.body), request.body)
	}
	if !sim.chance(10) {
		c.end.send(text)
		return
	}
	request.slow = true
	cut := 1 + sim.random.IntN(len(text)-1)
	end := c.end
	end.send(text[:cut])
	sim.network.after(sim.randomDuration(300*time.Millisecond), func() { end.send(text[cut:]) })
}

// cancel disconnects the client if it still waits for the response.
func (c *simulatedClient) cancel(request *simulatedRequest) {
	sim := c.sim
	if c.request != request {
		return
	}
	sim.checker.clientLeft(request)
	sim.network.after(cancelWithin, func() { sim.checker.checkCancelled(request, sim.runners) })
	c.disconnect()
	c.finishRequest()
}

// disconnect closes the client's connection.
func (c *simulatedClient) disconnect() {
	if c.end == nil {
		return
	}
	if c.sim.chance(3) {
		c.end.abort()
	} else {
		c.end.close()
	}
	c.end = nil
}

// finishRequest ends the current request and schedules the next one.
func (c *simulatedClient) finishRequest() {
	c.request = nil
	c.sim.network.after(c.sim.randomDuration(150*time.Millisecond), c.sendNext)
}

// handleData processes bytes from the proxy.
func (c *simulatedClient) handleData(b []byte) {
	c.received += string(b)
	c.checkResponse(false)
}

// checkResponse checks whether the response is complete.
func (c *simulatedClient) checkResponse(ended bool) {
	checker := c.sim.checker
	if c.request == nil {
		if c.received != "" {
			checker.violation(misdeliveredResponse, "client %d gets %.60q without a request", c.index, c.received)
		}
		return
	}
	response, whole, valid := parseResponse(c.received, ended)
	switch {
	case !valid:
		checker.violation(misdeliveredResponse, "%s gets %.60q", c.request.id, c.received)
		c.disconnect()
		c.finishRequest()
	case whole:
		c.received = c.received[response.bytes:]
		checker.responseComplete(c.request, response)
		if response.closes {
			c.disconnect()
		}
		c.finishRequest()
		if c.received != "" {
			c.checkResponse(false)
		}
	}
}

// handleEnd processes the close of the connection by the proxy.
func (c *simulatedClient) handleEnd(reset bool) {
	request, unread := c.request, c.end.unread
	if request != nil && !reset {
		c.checkResponse(true)
	}
	if c.end != nil {
		c.end.close()
		c.end = nil
	}
	if request != nil && c.request == request {
		request.faulted = request.faulted || unread // it may be sent again elsewhere
		c.sim.checker.connectionEnded(request, c.received != "")
		c.finishRequest()
	}
}
