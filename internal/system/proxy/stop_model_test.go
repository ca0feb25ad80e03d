package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// What the platform promises about a stop (LOST): a request that was passed on is answered whole. The only answers that
// may be cut are those still under way in the last part of the grace period, of requests sent soon after the signal.
const (
	cutAllowedIfSentWithin = 3 * time.Second // after the signal
	cutAllowedFrom         = 5.0 / 6         // of the grace period
	lostSlack              = 200 * time.Millisecond
)

const (
	shutdownSeeds        = 25
	shutdownClients      = 40
	minComplete          = 100             // answers, over all seeds
	longestLookupCache   = 6 * time.Second // three times as long as the directory says
	shutdownRouteTimeout = 15 * time.Second
	shutdownLatency      = 3 * time.Millisecond
	eventInterval        = 100 * time.Millisecond
	signalAt             = 2 * time.Second
	longestAnswer        = 12 * time.Second
	streamLengthQuery    = "?for=" // in the target: how long the runner streams
)

// shutdownSimulation is a proxy that is told to stop under traffic, in virtual time.
type shutdownSimulation struct {
	random       *rand.Rand
	network      *simulatedNetwork
	proxy        *Proxy
	grace        time.Duration
	requestCount int
	complete     int
	refused      int
	cut          int // that the promise allows
	forwarded    map[string]bool
	violations   []string
}

// shutdownRequest is a request of a shutdownClient.
type shutdownRequest struct {
	id       string
	sentAt   time.Duration
	deadline time.Duration
}

// shutdownClient asks one request after the other, each on the connection of the one before while that is kept. It stops
// asking when it knows that the proxy stops.
type shutdownClient struct {
	simulation *shutdownSimulation
	peer       *simulatedPeer
	end        *remoteEnd
	request    *shutdownRequest
	received   string
	learnsAt   time.Duration
}

// Whatever clients ask after the signal to stop, and however long their answers take, no answer is lost.
func TestShutdownUnderTraffic(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		var made, whole, refused, cut int
		for seed := range uint64(shutdownSeeds) {
			r := newShutdownSimulation(seed, grace)
			if err := r.run(); err != nil {
				t.Fatal(err)
			}
			if len(r.violations) > 0 {
				t.Errorf("grace period %v, seed %d:\n%s", grace, seed, strings.Join(r.violations, "\n"))
			}
			made, whole, refused, cut = made+r.requestCount, whole+r.complete, refused+r.refused, cut+r.cut
		}
		t.Logf("grace period %v: %d requests, %d whole, %d refused, %d cut as allowed", grace, made, whole, refused, cut)
		if whole < minComplete {
			t.Errorf("grace period %v: %d of %d requests answered whole, which shows nothing", grace, whole, made)
		}
	}
}

func newShutdownSimulation(seed uint64, grace time.Duration) *shutdownSimulation {
	random := rand.New(rand.NewPCG(seed, uint64(grace)))
	r := &shutdownSimulation{random: random, network: newSimulatedNetwork(random), grace: grace, forwarded: map[string]bool{}}
	loop := eventloop.NewLoopWithSystem(r.network, 1000)
	loop.ZeroCopyReads = true
	placer := &fakePlacer{spread: true}
	r.proxy = New(loop, zap.NewNop(), placer, Options{FrontAddr: simulationFront, GracePeriod: grace, Seed: seed})
	stream := route("stream", configuration.Streaming)
	stream.Timeout = shutdownRouteTimeout
	r.proxy.SetRoutes(&fakeRoutes{[]*configuration.Route{stream}})
	r.proxy.SetServices([]*configuration.Service{{Name: "s", MaxConnections: 1000}})
	address := netip.MustParseAddrPort("10.0.1.1:80")
	r.network.peers[address] = &simulatedPeer{latency: shutdownLatency, accept: r.acceptAtRunner}
	known := []placement.Runner{{ID: "r", Service: "s", Address: address}}
	placer.runners = known
	r.proxy.SetRunners(known)
	return r
}

// run runs the proxy until it ends by itself, or is killed at the end of the grace period.
func (r *shutdownSimulation) run() error {
	if err := r.proxy.Listen(); err != nil {
		return err
	}
	for range shutdownClients {
		c := &shutdownClient{simulation: r, peer: &simulatedPeer{latency: shutdownLatency},
			learnsAt: signalAt + r.randomDuration(longestLookupCache)}
		r.network.after(r.randomDuration(signalAt), c.sendNext)
	}
	r.network.at(signalAt, r.proxy.Stop)
	ended := false
	r.network.at(signalAt+r.grace, func() {
		if !ended {
			r.violation("the process has not ended by the end of the grace period")
			r.proxy.loop.Stop()
		}
	})
	if err := r.proxy.loop.Run(); err != nil {
		return err
	}
	ended = true
	r.network.advance(50 * time.Millisecond)
	return nil
}

func (r *shutdownSimulation) violation(format string, args ...any) {
	at := fmt.Sprintf("%.3f s after the signal: ", (r.network.now - signalAt).Seconds())
	r.violations = append(r.violations, at+fmt.Sprintf(format, args...))
}

func (r *shutdownSimulation) randomDuration(most time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(most)))
}

// sendNext asks the next request, unless the client knows that the proxy stops.
func (c *shutdownClient) sendNext() {
	r := c.simulation
	if c.request != nil || r.network.now > c.learnsAt {
		return
	}
	if c.end == nil || c.end.localClosed {
		c.connect()
	}
	r.requestCount++
	left := 500*time.Millisecond + r.randomDuration(shutdownRouteTimeout)
	c.request = &shutdownRequest{id: fmt.Sprintf("q%d", r.requestCount), sentAt: r.network.now, deadline: r.network.now + left}
	c.end.send(fmt.Sprintf("POST /stream/x%s%s HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"Content-Length: 0\r\n\r\n", streamLengthQuery, r.randomDuration(longestAnswer), c.request.id, left/time.Millisecond))
}

func (c *shutdownClient) connect() {
	end := c.simulation.network.dial(simulationFront, c.peer)
	c.end, c.received = end, ""
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

// handleData takes bytes of the proxy's answer.
func (c *shutdownClient) handleData(b string) {
	c.received += b
	a, whole, valid := parseResponse(c.received, false)
	if !valid {
		c.simulation.violation("bytes that are no answer: %.60q", c.received)
	}
	if !whole || c.request == nil {
		return
	}
	c.received = c.received[a.bytes:]
	c.handleResponse(a)
	if a.closes {
		c.end.close()
		c.end = nil
	}
	pause := time.Duration(0)
	if c.simulation.random.IntN(2) == 0 {
		pause = c.simulation.randomDuration(300 * time.Millisecond)
	}
	c.simulation.network.after(pause, c.sendNext)
}

// handleResponse judges a whole answer.
func (c *shutdownClient) handleResponse(a *parsedResponse) {
	q, r := c.request, c.simulation
	c.request = nil
	switch {
	case a.status == 200:
		r.complete++
	case a.status == 503:
		r.refused++
		if r.forwarded[q.id] {
			r.violation("%s was passed on and is refused", q.id)
		}
		if a.head.header.Get(headerRetryAfter) == "" {
			r.violation("%s is refused without Retry-After", q.id)
		}
	case a.status == 502 && r.mayBeCut(q):
		r.cut++
	case r.network.now+timeSlack < q.deadline:
		r.violation("%s gets %d %v before its deadline", q.id, a.status, q.deadline-r.network.now)
	}
}

// handleEnd takes the proxy's close of the client's connection.
func (c *shutdownClient) handleEnd() {
	q, r := c.request, c.simulation
	c.end.close()
	c.end, c.request = nil, nil
	r.network.after(r.randomDuration(100*time.Millisecond), c.sendNext)
	if q == nil || r.network.now+timeSlack >= q.deadline {
		return
	}
	switch sent := q.sentAt - signalAt; {
	case r.forwarded[q.id] && len(c.received) == 0:
		r.violation("%s, sent %v after the signal and passed on, gets no word", q.id, sent)
	case r.forwarded[q.id] && r.mayBeCut(q):
		r.cut++
	case r.forwarded[q.id]:
		r.violation("%s, sent %v after the signal and passed on, is cut", q.id, sent)
	case r.network.now-q.sentAt > lostSlack && len(c.received) > 0:
		r.violation("%s, sent %v after the signal, is dropped without an answer", q.id, sent)
	}
}

// mayBeCut says whether the platform allows that the stop ends the request now.
func (r *shutdownSimulation) mayBeCut(q *shutdownRequest) bool {
	allowed := signalAt + time.Duration(cutAllowedFrom*float64(r.grace))
	return q.sentAt <= signalAt+cutAllowedIfSentWithin && r.network.now >= allowed
}

// acceptAtRunner has the runner answer each request by a stream of the length that its target names.
func (r *shutdownSimulation) acceptAtRunner(end *remoteEnd) {
	in := ""
	end.onEnd = func(bool) { end.close() }
	end.onData = func(b []byte) {
		in += string(b)
		head := parseHead(in)
		if head == nil {
			return
		}
		in = in[head.bytes:]
		id := head.header.Get(headerTryID)
		r.forwarded[id] = true
		_, length, _ := strings.Cut(strings.TrimSuffix(head.line, " HTTP/1.1"), streamLengthQuery)
		span, err := time.ParseDuration(length)
		if err != nil {
			r.violation("the runner gets %q", head.line)
		}
		until := r.network.now + span
		silent := time.Duration(0)
		if r.random.IntN(4) == 0 {
			silent = r.randomDuration(max(span, 1))
		}
		r.network.after(silent, func() {
			end.send(streamHeadText(id, "seal-"+id))
			r.stream(end, 1, until)
		})
	}
}

// stream sends an event now and again, and the end of the answer at its time.
func (r *shutdownSimulation) stream(end *remoteEnd, number int, until time.Duration) {
	if r.network.now >= until {
		end.send(lastChunk)
		return
	}
	end.send(chunkText(eventText(number)))
	r.network.after(eventInterval, func() { r.stream(end, number+1, until) })
}
