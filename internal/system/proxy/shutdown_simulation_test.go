package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
	"cinderroad/internal/system/shutdown"
)

// The platform's guarantee for a shutdown (LOST): a forwarded request is answered completely. Only responses still in
// progress in the last part of the grace period, to requests sent soon after the signal, may be cut off.
const (
	cutAllowedIfSentWithin = 3 * time.Second // after the signal
	cutAllowedFrom         = 5.0 / 6         // of the grace period
	lostSlack              = 200 * time.Millisecond
)

const (
	shutdownSeeds        = 25
	shutdownClients      = 40
	minComplete          = 100             // complete responses, over all seeds
	longestLookupCache   = 6 * time.Second // three times the lifetime that the directory states
	shutdownRouteTimeout = 15 * time.Second
	shutdownLatency      = 3 * time.Millisecond
	eventInterval        = 100 * time.Millisecond
	signalAt             = 2 * time.Second
	longestAnswer        = 12 * time.Second
	streamLengthQuery    = "?for="                 // in the target: how long the runner streams
	longestBody          = 1500 * time.Millisecond // from the first to the last byte of a request with a slow body
	slowBodyOneIn        = 4                       // requests, on average, until one has a slow body
	exitJitter           = 100 * time.Millisecond  // by which the exit may be late because iterations are long
)

// shutdownSimulation is a proxy that gets the shutdown signal under load, in virtual time.
type shutdownSimulation struct {
	random       *rand.Rand
	network      *simulatedNetwork
	proxy        *Proxy
	logs         *observer.ObservedLogs // of level info or higher
	grace        time.Duration
	handledAfter time.Duration // the process handles the signal so much later than the platform sends it
	requestCount int
	complete     int
	rejected     int
	cut          int // as the guarantee allows
	forwarded    map[string]bool
	violations   []string
}

// shutdownRequest is a request of a shutdownClient.
type shutdownRequest struct {
	id       string
	sentAt   time.Duration // the last byte
	deadline time.Duration
}

// shutdownClient sends one request after the other, on the same connection as long as it stays open. It stops when it
// learns that the proxy shuts down.
type shutdownClient struct {
	simulation *shutdownSimulation
	peer       *simulatedPeer
	end        *remoteEnd
	request    *shutdownRequest
	received   string
	learnsAt   time.Duration
}

// Whatever clients send after the shutdown signal, however slowly their requests arrive, however long the responses take,
// and though the process handles the signal late, no response is lost.
func TestShutdownUnderTraffic(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		var requests, complete, rejected, cut int
		for seed := range uint64(shutdownSeeds) {
			sim := newShutdownSimulation(seed, grace)
			if err := sim.run(); err != nil {
				t.Fatal(err)
			}
			if len(sim.violations) > 0 {
				t.Errorf("grace period %v, seed %d:\n%s", grace, seed, strings.Join(sim.violations, "\n"))
			}
			requests += sim.requestCount
			complete += sim.complete
			rejected += sim.rejected
			cut += sim.cut
		}
		t.Logf("grace period %v: %d requests, %d complete, %d rejected, %d cut off as allowed", grace, requests, complete, rejected, cut)
		if complete < minComplete {
			t.Errorf("grace period %v: %d of %d responses complete, which shows nothing", grace, complete, requests)
		}
	}
}

func newShutdownSimulation(seed uint64, grace time.Duration) *shutdownSimulation {
	random := rand.New(rand.NewPCG(seed, uint64(grace)))
	sim := &shutdownSimulation{
		random:    random,
		network:   newSimulatedNetwork(random),
		grace:     grace,
		forwarded: map[string]bool{},
	}
	sim.handledAfter = sim.randomDuration(grace - shutdown.Plan(grace).LastResponses)
	loop := eventloop.NewLoopWithSystem(sim.network, 1000)
	loop.ZeroCopyReads = true
	placer := &fakePlacer{spread: true}
	core, logs := observer.New(zapcore.InfoLevel)
	sim.logs = logs
	sim.proxy = New(loop, zap.New(core), placer, Options{FrontAddr: simulationFront, GracePeriod: grace, Seed: seed})
	stream := route("stream", configuration.Streaming)
	stream.Timeout = shutdownRouteTimeout
	sim.proxy.SetRoutes(&fakeRoutes{[]*configuration.Route{stream}})
	sim.proxy.SetServices([]*configuration.Service{{Name: "s", MaxConnections: 1000}})
	address := netip.MustParseAddrPort("10.0.1.1:80")
	sim.network.peers[address] = &simulatedPeer{latency: shutdownLatency, accept: sim.acceptAtRunner}
	known := []placement.Runner{{ID: "r", Service: "s", Address: address}}
	placer.runners = known
	sim.proxy.SetRunners(known)
	return sim
}

// run runs the proxy until it exits or is killed at the end of the grace period.
func (sim *shutdownSimulation) run() error {
	if err := sim.proxy.Listen(); err != nil {
		return err
	}
	for range shutdownClients {
		c := &shutdownClient{
			simulation: sim,
			peer:       &simulatedPeer{latency: shutdownLatency},
			learnsAt:   signalAt + sim.randomDuration(longestLookupCache),
		}
		sim.network.after(sim.randomDuration(signalAt), c.sendNext)
	}
	sim.network.at(signalAt+sim.handledAfter, sim.proxy.Stop)
	sim.network.at(signalAt+sim.handledAfter+sim.randomDuration(sim.grace), sim.proxy.Stop) // a further signal
	ended := false
	sim.network.at(signalAt+sim.grace, func() {
		if ended {
			return
		}
		if planned := sim.handledAfter + sim.proxy.shutdown.plan.ProxyEnd + exitJitter; planned < sim.grace {
			sim.violation("the process has not exited by the end of the grace period")
		}
		sim.proxy.loop.Stop()
	})
	if err := sim.proxy.loop.Run(); err != nil {
		return err
	}
	ended = true
	if ends := sim.logs.FilterMessage("stopped").Len(); ends > 1 {
		sim.violation("the end is logged %d times", ends)
	}
	sim.network.advance(50 * time.Millisecond)
	return nil
}

func (sim *shutdownSimulation) violation(format string, args ...any) {
	at := fmt.Sprintf("%.3f s after the signal: ", (sim.network.now - signalAt).Seconds())
	sim.violations = append(sim.violations, at+fmt.Sprintf(format, args...))
}

func (sim *shutdownSimulation) randomDuration(most time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(most)))
}

// sendNext sends the next request unless the client knows that the proxy shuts down.
func (c *shutdownClient) sendNext() {
	sim := c.simulation
	if c.request != nil || sim.network.now > c.learnsAt {
		return
	}
	if c.end == nil || c.end.localClosed {
		c.connect()
	}
	sim.requestCount++
	left := 500*time.Millisecond + sim.randomDuration(shutdownRouteTimeout)
	request := &shutdownRequest{id: fmt.Sprintf("q%d", sim.requestCount), sentAt: sim.network.now, deadline: sim.network.now + left}
	c.request = request
	body := ""
	if sim.random.IntN(slowBodyOneIn) == 0 {
		body = "{}"
		request.sentAt += sim.randomDuration(longestBody)
	}
	c.end.send(fmt.Sprintf("POST /stream/x%s%s HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n", streamLengthQuery, sim.randomDuration(longestAnswer), request.id, left/time.Millisecond, len(body)))
	end := c.end
	sim.network.at(request.sentAt, func() {
		if c.request == request {
			end.send(body)
		}
	})
}

func (c *shutdownClient) connect() {
	end := c.simulation.network.dial(simulationFront, c.peer)
	c.end = end
	c.received = ""
	end.onData = func(b []byte) {
		if c.end == end {
			c.handleData(string(b))
		}
	}
	end.onEnd = func(bool) {
		if c.end == end {
			c.handleEnd()
		}
	}
}

// handleData processes bytes of the proxy's response.
func (c *shutdownClient) handleData(b string) {
	c.received += b
	response, whole, valid := parseResponse(c.received, false)
	if !valid {
		c.simulation.violation("not a response: %.60q", c.received)
	}
	if !whole || c.request == nil {
		return
	}
	c.received = c.received[response.bytes:]
	c.handleResponse(response)
	if response.closes {
		c.end.close()
		c.end = nil
	}
	pause := time.Duration(0)
	if c.simulation.random.IntN(2) == 0 {
		pause = c.simulation.randomDuration(300 * time.Millisecond)
	}
	c.simulation.network.after(pause, c.sendNext)
}

// handleResponse checks a complete response.
func (c *shutdownClient) handleResponse(response *parsedResponse) {
	request, sim := c.request, c.simulation
	c.request = nil
	switch {
	case response.status == 200:
		sim.complete++
	case response.status == 503:
		sim.rejected++
		if sim.forwarded[request.id] {
			sim.violation("%s was forwarded and is rejected", request.id)
		}
		if response.head.header.Get(headerRetryAfter) == "" {
			sim.violation("%s is rejected without Retry-After", request.id)
		}
	case response.status == 502 && sim.mayBeCut(request):
		sim.cut++
	case sim.network.now+timeSlack < request.deadline:
		sim.violation("%s gets %d %v before its deadline", request.id, response.status, request.deadline-sim.network.now)
	}
}

// handleEnd processes the close of the client's connection by the proxy.
func (c *shutdownClient) handleEnd() {
	request, sim := c.request, c.simulation
	c.end.close()
	c.end, c.request = nil, nil
	sim.network.after(sim.randomDuration(100*time.Millisecond), c.sendNext)
	if request == nil || sim.network.now+timeSlack >= request.deadline {
		return
	}
	switch sent := request.sentAt - signalAt; {
	case sim.forwarded[request.id] && len(c.received) == 0:
		sim.violation("%s, sent %v after the signal and forwarded, gets no response", request.id, sent)
	case sim.forwarded[request.id] && sim.mayBeCut(request):
		sim.cut++
	case sim.forwarded[request.id]:
		sim.violation("%s, sent %v after the signal and forwarded, is cut off", request.id, sent)
	case sim.network.now-request.sentAt > lostSlack && len(c.received) > 0:
		sim.violation("%s, sent %v after the signal, is dropped without a response", request.id, sent)
	}
}

// mayBeCut reports whether the platform allows that the shutdown ends the request now.
func (sim *shutdownSimulation) mayBeCut(request *shutdownRequest) bool {
	allowed := signalAt + time.Duration(cutAllowedFrom*float64(sim.grace))
	return request.sentAt <= signalAt+cutAllowedIfSentWithin && sim.network.now >= allowed
}

// acceptAtRunner lets the runner respond to each request with a stream of the length that the target states.
func (sim *shutdownSimulation) acceptAtRunner(end *remoteEnd) {
	received := ""
	end.onEnd = func(bool) { end.close() }
	end.onData = func(b []byte) {
		received += string(b)
		head := parseHead(received)
		if head == nil {
			return
		}
		bodyBytes, _ := strconv.Atoi(head.header.Get("Content-Length"))
		if len(received) < head.bytes+bodyBytes {
			return
		}
		received = received[head.bytes+bodyBytes:]
		id := head.header.Get(headerTryID)
		sim.forwarded[id] = true
		_, length, _ := strings.Cut(strings.TrimSuffix(head.line, " HTTP/1.1"), streamLengthQuery)
		span, err := time.ParseDuration(length)
		if err != nil {
			sim.violation("the runner gets %q", head.line)
		}
		until := sim.network.now + span
		silent := time.Duration(0)
		if sim.random.IntN(4) == 0 {
			silent = sim.randomDuration(max(span, 1))
		}
		sim.network.after(silent, func() {
			end.send(streamHeadText(id, "seal-"+id))
			sim.stream(end, 1, until)
		})
	}
}

// stream sends an event periodically, and the end of the response when its time has come.
func (sim *shutdownSimulation) stream(end *remoteEnd, number int, until time.Duration) {
	if sim.network.now >= until {
		end.send(lastChunk)
		return
	}
	end.send(chunkText(eventText(number)))
	sim.network.after(eventInterval, func() { sim.stream(end, number+1, until) })
}
