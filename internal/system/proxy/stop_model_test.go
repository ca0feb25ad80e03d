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
	cutAllowedSentWithin = 3 * time.Second // after the signal
	cutAllowedFrom       = 5.0 / 6         // of the grace period
	lostSlack            = 200 * time.Millisecond
)

const (
	stopSeeds       = 25
	stopClients     = 40
	leastWhole      = 100             // answers, over all seeds
	stopLookupHeld  = 6 * time.Second // three times as long as the directory says
	stopRouteTime   = 15 * time.Second
	stopLatency     = 3 * time.Millisecond
	eventEvery      = 100 * time.Millisecond
	signalAt        = 2 * time.Second
	longestAnswer   = 12 * time.Second
	streamAnswerFor = "?for=" // in the target: how long the runner streams
)

// stopRun is a proxy that is told to stop under traffic, in virtual time.
type stopRun struct {
	random  *rand.Rand
	network *simulatedNetwork
	proxy   *Proxy
	grace   time.Duration
	made    int
	whole   int
	refused int
	cut     int // that the promise allows
	passed  map[string]bool
	broken  []string
}

// stopRequest is a request of a stopClient.
type stopRequest struct {
	id       string
	sent     time.Duration
	deadline time.Duration
}

// stopClient asks one request after the other, each on the connection of the one before while that is kept. It stops
// asking when it knows that the proxy stops.
type stopClient struct {
	run     *stopRun
	peer    *simulatedPeer
	end     *simulatedEnd
	request *stopRequest
	in      string
	knowsAt time.Duration
}

// Whatever clients ask after the signal to stop, and however long their answers take, no answer is lost.
func TestStopUnderTraffic(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		var made, whole, refused, cut int
		for seed := range uint64(stopSeeds) {
			r := newStopRun(seed, grace)
			if err := r.play(); err != nil {
				t.Fatal(err)
			}
			if len(r.broken) > 0 {
				t.Errorf("grace period %v, seed %d:\n%s", grace, seed, strings.Join(r.broken, "\n"))
			}
			made, whole, refused, cut = made+r.made, whole+r.whole, refused+r.refused, cut+r.cut
		}
		t.Logf("grace period %v: %d requests, %d whole, %d refused, %d cut as allowed", grace, made, whole, refused, cut)
		if whole < leastWhole {
			t.Errorf("grace period %v: %d of %d requests answered whole, which shows nothing", grace, whole, made)
		}
	}
}

func newStopRun(seed uint64, grace time.Duration) *stopRun {
	random := rand.New(rand.NewPCG(seed, uint64(grace)))
	r := &stopRun{random: random, network: newSimulatedNetwork(random), grace: grace, passed: map[string]bool{}}
	loop := eventloop.NewLoopWithSystem(r.network, 1000)
	loop.ZeroCopyReads = true
	placer := &fakePlacer{spread: true}
	r.proxy = New(loop, zap.NewNop(), placer, Options{Front: modelFront, GracePeriod: grace, Seed: seed})
	stream := route("stream", configuration.Streaming)
	stream.Timeout = stopRouteTime
	r.proxy.SetRoutes(&fakeRoutes{[]*configuration.Route{stream}})
	r.proxy.SetServices([]*configuration.Service{{Name: "s", MaxConnections: 1000}})
	address := netip.MustParseAddrPort("10.0.1.1:80")
	r.network.peers[address] = &simulatedPeer{latency: stopLatency, accept: r.acceptAtRunner}
	known := []placement.Runner{{ID: "r", Service: "s", Address: address}}
	placer.choices = known
	r.proxy.SetRunners(known)
	return r
}

// play runs the proxy until it ends by itself, or is killed at the end of the grace period.
func (r *stopRun) play() error {
	if err := r.proxy.Listen(); err != nil {
		return err
	}
	for range stopClients {
		c := &stopClient{run: r, peer: &simulatedPeer{latency: stopLatency},
			knowsAt: signalAt + r.upTo(stopLookupHeld)}
		r.network.after(r.upTo(signalAt), c.next)
	}
	r.network.at(signalAt, r.proxy.Stop)
	ended := false
	r.network.at(signalAt+r.grace, func() {
		if !ended {
			r.breaks("the process has not ended by the end of the grace period")
			r.proxy.loop.Stop()
		}
	})
	if err := r.proxy.loop.Run(); err != nil {
		return err
	}
	ended = true
	r.network.pass(50 * time.Millisecond)
	return nil
}

func (r *stopRun) breaks(format string, args ...any) {
	at := fmt.Sprintf("%.3f s after the signal: ", (r.network.now - signalAt).Seconds())
	r.broken = append(r.broken, at+fmt.Sprintf(format, args...))
}

func (r *stopRun) upTo(most time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(most)))
}

// next asks the next request, unless the client knows that the proxy stops.
func (c *stopClient) next() {
	r := c.run
	if c.request != nil || r.network.now > c.knowsAt {
		return
	}
	if c.end == nil || c.end.gone {
		c.connect()
	}
	r.made++
	left := 500*time.Millisecond + r.upTo(stopRouteTime)
	c.request = &stopRequest{id: fmt.Sprintf("q%d", r.made), sent: r.network.now, deadline: r.network.now + left}
	c.end.send(fmt.Sprintf("POST /stream/x%s%s HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"Content-Length: 0\r\n\r\n", streamAnswerFor, r.upTo(longestAnswer), c.request.id, left/time.Millisecond))
}

func (c *stopClient) connect() {
	end := c.run.network.dial(modelFront, c.peer)
	c.end, c.in = end, ""
	end.data = func(b []byte) {
		if c.end == end {
			c.data(string(b))
		}
	}
	end.ended = func(bool) {
		if c.end == end {
			c.ended()
		}
	}
}

// data takes bytes of the proxy's answer.
func (c *stopClient) data(b string) {
	c.in += b
	a, whole, valid := parseAnswer(c.in, false)
	if !valid {
		c.run.breaks("bytes that are no answer: %.60q", c.in)
	}
	if !whole || c.request == nil {
		return
	}
	c.in = c.in[a.bytes:]
	c.answered(a)
	if a.closes {
		c.end.close()
		c.end = nil
	}
	pause := time.Duration(0)
	if c.run.random.IntN(2) == 0 {
		pause = c.run.upTo(300 * time.Millisecond)
	}
	c.run.network.after(pause, c.next)
}

// answered judges a whole answer.
func (c *stopClient) answered(a *parsedAnswer) {
	q, r := c.request, c.run
	c.request = nil
	switch {
	case a.status == 200:
		r.whole++
	case a.status == 503:
		r.refused++
		if r.passed[q.id] {
			r.breaks("%s was passed on and is refused", q.id)
		}
		if a.head.header.Get(fieldRetryAfter) == "" {
			r.breaks("%s is refused without Retry-After", q.id)
		}
	case a.status == 502 && r.mayBeCut(q):
		r.cut++
	case r.network.now+timeSlack < q.deadline:
		r.breaks("%s gets %d %v before its deadline", q.id, a.status, q.deadline-r.network.now)
	}
}

// ended takes the proxy's close of the client's connection.
func (c *stopClient) ended() {
	q, r := c.request, c.run
	c.end.close()
	c.end, c.request = nil, nil
	r.network.after(r.upTo(100*time.Millisecond), c.next)
	if q == nil || r.network.now+timeSlack >= q.deadline {
		return
	}
	switch sent := q.sent - signalAt; {
	case r.passed[q.id] && len(c.in) == 0:
		r.breaks("%s, sent %v after the signal and passed on, gets no word", q.id, sent)
	case r.passed[q.id] && r.mayBeCut(q):
		r.cut++
	case r.passed[q.id]:
		r.breaks("%s, sent %v after the signal and passed on, is cut", q.id, sent)
	case r.network.now-q.sent > lostSlack && len(c.in) > 0:
		r.breaks("%s, sent %v after the signal, is dropped without an answer", q.id, sent)
	}
}

// mayBeCut says whether the platform allows that the stop ends the request now.
func (r *stopRun) mayBeCut(q *stopRequest) bool {
	allowed := signalAt + time.Duration(cutAllowedFrom*float64(r.grace))
	return q.sent <= signalAt+cutAllowedSentWithin && r.network.now >= allowed
}

// acceptAtRunner has the runner answer each request by a stream of the length that its target names.
func (r *stopRun) acceptAtRunner(end *simulatedEnd) {
	in := ""
	end.ended = func(bool) { end.close() }
	end.data = func(b []byte) {
		in += string(b)
		head := parseHead(in)
		if head == nil {
			return
		}
		in = in[head.bytes:]
		id := head.header.Get(fieldTryID)
		r.passed[id] = true
		_, length, _ := strings.Cut(strings.TrimSuffix(head.line, " HTTP/1.1"), streamAnswerFor)
		span, err := time.ParseDuration(length)
		if err != nil {
			r.breaks("the runner gets %q", head.line)
		}
		until := r.network.now + span
		silent := time.Duration(0)
		if r.random.IntN(4) == 0 {
			silent = r.upTo(max(span, 1))
		}
		r.network.after(silent, func() {
			end.send(streamHead(id, "seal-"+id))
			r.stream(end, 1, until)
		})
	}
}

// stream sends an event now and again, and the end of the answer at its time.
func (r *stopRun) stream(end *simulatedEnd, number int, until time.Duration) {
	if r.network.now >= until {
		end.send(lastChunk)
		return
	}
	end.send(chunk(event(number)))
	r.network.after(eventEvery, func() { r.stream(end, number+1, until) })
}
