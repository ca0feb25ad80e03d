package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// executionLog counts the executions of each request by its id and checks the final counts.
type executionLog struct {
	sync.Mutex
	count      map[string]int
	atMostOnce []string // requests that may be executed at most once
	rejected   []string // requests that were rejected and must not be executed
	served     int
}

// check verifies the final state.
func (log *executionLog) check(t *testing.T) {
	log.Lock()
	defer log.Unlock()
	for _, id := range log.atMostOnce {
		if log.count[id] > 1 {
			t.Errorf("%s ran %d times", id, log.count[id])
		}
	}
	for _, id := range log.rejected {
		if log.count[id] > 0 {
			t.Errorf("%s was rejected and ran %d times", id, log.count[id])
		}
	}
	if log.served == 0 || len(log.rejected) == 0 {
		t.Errorf("%d served, %d rejected: the test shows nothing", log.served, len(log.rejected))
	}
	t.Logf("%d served, %d rejected", log.served, len(log.rejected))
}

func (log *executionLog) add(id string) {
	log.Lock()
	defer log.Unlock()
	log.count[id]++
}

// bodyOf returns the only correct response body of a request.
func bodyOf(id string) string { return strings.Repeat(id+"|", 40) }

// serveWithFaults serves a connection as a faulty runner.
func (log *executionLog) serveWithFaults(conn net.Conn, random *rand.Rand) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for previous := ""; ; {
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if random.IntN(40) == 0 { // the connection is lost within a request
			_, _ = in.Peek(1 + random.IntN(100))
			return
		}
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(headerTryID)
		answer, keep := log.drawResponse(random, &chaosRequest{
			id:          id,
			previous:    previous,
			isStream:    strings.HasPrefix(request.URL.Path, "/resumable/"),
			lastEventID: request.Header.Get(headerLastEventID),
		})
		for len(answer) > 0 {
			n := min(1+random.IntN(200), len(answer))
			if _, err := io.WriteString(conn, answer[:n]); err != nil {
				return
			}
			answer = answer[n:]
		}
		if !keep {
			if random.IntN(2) == 0 {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		previous = id
	}
}

// chaosRequest is a request that a faulty runner has read.
type chaosRequest struct {
	id          string
	previous    string // id of the request before on the connection; empty: it is the first
	isStream    bool
	lastEventID string // of a stream to continue
}

// drawResponse chooses what a runner does with a request; keep says whether it keeps the connection.
func (log *executionLog) drawResponse(random *rand.Rand, request *chaosRequest) (text string, keep bool) {
	if rejection := drawRejection(random, request.id); rejection != "" {
		return rejection, true
	}
	log.add(request.id)
	return drawExecutedResponse(random, request)
}

// drawRejection chooses a response that says that the request was not executed; empty: the runner executes it.
// Rejections in a row exhaust some requests' attempts: about thirty requests of a run end as rejected.
func drawRejection(random *rand.Rand, id string) string {
	switch random.IntN(28) {
	case 0, 1, 2, 3:
		return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Try-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	case 4, 5:
		return "HTTP/1.1 429 Busy\r\nX-Not-Run: 1\r\nX-Try-Id: " + id + "\r\nContent-Length: 3\r\n\r\nabc"
	case 6, 7:
		return "HTTP/1.1 421 No\r\nX-Server-Id: x\r\nX-Try-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	case 8, 9: // without an id, the response can only be matched to a connection's first request
		return notRunWithoutID
	}
	return ""
}

// drawExecutedResponse chooses a response to a request that was executed, most often the correct one.
func drawExecutedResponse(random *rand.Rand, request *chaosRequest) (text string, keep bool) {
	id := request.id
	whole := successText(id, bodyOf(id))
	if request.isStream {
		whole = eventStreamAfter(id, request.lastEventID)
	}
	switch random.IntN(16) {
	case 0:
		return "", false
	case 1:
		return "HTTP/1.1 500 Oops\r\nX-Try-Id: " + id + "\r\nContent-Length: 3\r\n\r\nabc", true
	case 2:
		return "HTTP/1.1 503 Oops\r\nX-Try-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", true
	case 3:
		return "\x01\x02 no answer", false
	case 4:
		return whole[:random.IntN(len(whole))], false
	case 5:
		return whole + successText(id, "unasked"), true
	case 6:
		return whole + "garbage", true
	case 7:
		if request.previous != "" {
			return successText(request.previous, "late") + whole, true
		}
	case 8:
		return successText("other", bodyOf("other")), true
	case 9:
		return strings.Replace(whole, "\r\n", "\r\nConnection: close\r\n", 1), false
	case 10:
		return "HTTP/1.1 100 Continue\r\n\r\n" + whole, true
	}
	return whole, true
}

const chaosEvents = 12

// eventStreamAfter returns a stream that continues after an event.
func eventStreamAfter(id, last string) string {
	from := 0
	_, _ = fmt.Sscan(last, &from)
	var text strings.Builder
	text.WriteString(streamHeadText(id, "s"))
	for i := from + 1; i <= chaosEvents; i++ {
		text.WriteString(chunkText(fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)))
	}
	return text.String() + lastChunk
}

// completeStream returns what a client must have received of a stream that ended as complete.
func completeStream(id string) string {
	var text strings.Builder
	for i := 1; i <= chaosEvents; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, id)
	}
	return text.String()
}

// Whatever runners do, no write is executed twice, a rejected request is never executed, and a client that gets a
// complete success gets the runner's whole body.
func TestChaos(t *testing.T) {
	const seeds, clients, requests = 3, 8, 120
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := newHarness(t)
			ran := &executionLog{count: map[string]int{}}
			for i, r := range h.startRunners("a", "b", "c", "d") {
				go ran.serve(r, rand.New(rand.NewPCG(seed, uint64(i))))
			}
			h.onLoop(func() {
				h.placer.outcomes = nil
				h.placer.sent = nil
				h.placer.spread = true
			})
			var all sync.WaitGroup
			for i := range clients {
				all.Go(func() {
					c := &chaosClient{
						t:       t,
						harness: h,
						ran:     ran,
						random:  rand.New(rand.NewPCG(seed, uint64(100+i))),
					}
					for n := range requests {
						c.sendRandom(fmt.Sprintf("%d-%d", i, n))
					}
					c.disconnect()
				})
			}
			all.Wait()
			h.waitFor("all resources released", func() bool {
				return h.proxy.openExchanges == 0 && h.proxy.bufferedBodyBytes == 0 && h.proxy.sessions.count == 0
			})
			ran.check(t)
		})
	}
}

func (log *executionLog) serve(runner *testRunner, random *rand.Rand) {
	for {
		conn, err := runner.listener.Accept()
		if err != nil {
			return
		}
		go log.serveWithFaults(conn, rand.New(rand.NewPCG(random.Uint64(), 0)))
	}
}

// chaosClient sends one request after the other and checks the responses.
type chaosClient struct {
	t       *testing.T
	harness *harness
	ran     *executionLog
	random  *rand.Rand
	conn    *testConn
}

func (c *chaosClient) disconnect() {
	if c.conn != nil {
		c.conn.conn.Close()
		c.conn = nil
	}
}

func (c *chaosClient) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.Dial("tcp", c.harness.frontAddr)
	if err != nil {
		c.t.Error(err)
		return false
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	c.conn = &testConn{t: c.t, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
	return true
}

func (c *chaosClient) sendRandom(id string) {
	path := []string{"/reads/x", "/writes/x", "/stream/x", "/resumable/x"}[c.random.IntN(4)]
	if path == "/writes/x" || path == "/stream/x" {
		c.ran.Lock()
		c.ran.atMostOnce = append(c.ran.atMostOnce, id)
		c.ran.Unlock()
	}
	if !c.connect() {
		return
	}
	if _, err := io.WriteString(c.conn.conn, requestText(path, id, "", "body of "+id)); err != nil {
		c.disconnect()
		return
	}
	if c.random.IntN(30) == 0 { // the client gives up
		c.disconnect()
		return
	}
	got, err := http.ReadResponse(c.conn.reader, nil)
	if err != nil {
		c.disconnect()
		return
	}
	body, err := io.ReadAll(got.Body)
	c.check(path, id, got, string(body), err)
	if err != nil || got.Close {
		c.disconnect()
	}
}

// check verifies a response; err says that it was cut off.
func (c *chaosClient) check(path, id string, got *http.Response, body string, err error) {
	c.ran.Lock()
	defer c.ran.Unlock()
	switch status := got.StatusCode; {
	case status == 503 || status == 429 || status == 408 || status == 421:
		c.ran.rejected = append(c.ran.rejected, id)
		if got.Header.Get("Retry-After") == "" {
			c.t.Errorf("%s %s got %d without Retry-After", path, id, status)
		}
	case status == 200 && err == nil:
		c.ran.served++
		want := bodyOf(id)
		if path == "/resumable/x" {
			want = completeStream(id)
		}
		if body != want || got.Header.Get(headerTryID) != id || got.Header.Get(headerSeal) == "" {
			c.t.Errorf("%s %s got %v %q, want %q", path, id, got.Header, body, want)
		}
	case status == 200 || status == 500 || status == 502:
	default:
		c.t.Errorf("%s %s got %d", path, id, status)
	}
}
