package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// testTimeout bounds every wait of a test; none is meant to last.
const testTimeout = 30 * time.Second

// harness is a proxy on loopback with scripted runners; tests play its clients and runners over blocking sockets.
type harness struct {
	t         *testing.T
	loop      *eventloop.Loop
	proxy     *Proxy
	placer    *fakePlacer
	routes    *fakeRoutes
	done      chan struct{}
	frontAddr string // address
}

// fakeRoutes routes by the prefix of the path alone.
type fakeRoutes struct{ routes []*configuration.Route }

func (f *fakeRoutes) Lookup(host, path string) *configuration.Route {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range f.routes {
		if host == r.Host && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

func route(name string, kind configuration.RouteType) *configuration.Route {
	return &configuration.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Type: kind,
		Timeout:       20 * time.Second,
		LatencyTarget: time.Second, MaxAttempts: 3, Shares: []configuration.Share{{Service: "s", Weight: 1}}}
}

func newHarness(t *testing.T, change ...func(*Options)) *harness {
	t.Helper()
	loop, err := eventloop.NewLoop(1000)
	if err != nil {
		t.Fatal(err)
	}
	loop.ZeroCopyReads = true
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	options := Options{FrontAddr: loopback, ReadyAddr: loopback, GracePeriod: 8 * time.Second, Seed: 1}
	for _, c := range change {
		c(&options)
	}
	resumable := route("resumable", configuration.Streaming)
	resumable.Resumable = true
	w := &harness{t: t, loop: loop, placer: &fakePlacer{outcomes: make(chan string, 100), sent: make(chan string, 100)},
		done: make(chan struct{})}
	w.routes = &fakeRoutes{[]*configuration.Route{route("reads", configuration.ReadOnly), route("writes",
		configuration.ReadWrite),
		route("stream", configuration.Streaming), resumable}}
	w.proxy = New(loop, zap.NewNop(), w.placer, options)
	w.proxy.SetRoutes(w.routes)
	w.proxy.SetServices([]*configuration.Service{{Name: "s", MaxConnections: 100}})
	if err := w.proxy.Listen(); err != nil {
		t.Fatal(err)
	}
	w.frontAddr = w.proxy.FrontAddr().String()
	go func() {
		defer close(w.done)
		_ = loop.Run()
	}()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		<-w.done
	})
	return w
}

// onLoop runs a change on the loop and waits for it.
func (w *harness) onLoop(change func()) {
	w.t.Helper()
	done := make(chan struct{})
	w.loop.Post(func() { change(); close(done) })
	select {
	case <-done:
	case <-time.After(testTimeout):
		w.t.Fatal("the loop does not answer")
	}
}

// waitFor waits until a state holds on the loop.
func (w *harness) waitFor(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		ok := false
		w.onLoop(func() { ok = holds() })
		if ok {
			return
		}
	}
	w.t.Fatal("never came: " + what)
}

// startRunners starts scripted runners and has the proxy know them; the fake placer prefers them in this order.
func (w *harness) startRunners(names ...string) []*testRunner {
	w.t.Helper()
	var all []*testRunner
	var known []placement.Runner
	for _, name := range names {
		r := &testRunner{t: w.t, id: name}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.t.Fatal(err)
		}
		r.listener = listener.(*net.TCPListener)
		w.t.Cleanup(func() { listener.Close() })
		all = append(all, r)
		known = append(known, placement.Runner{ID: name, Service: "s",
			Address: netip.MustParseAddrPort(listener.Addr().String())})
	}
	w.onLoop(func() {
		w.placer.runners = known
		w.proxy.SetRunners(known)
	})
	return all
}

func (w *harness) connect() *testConn {
	w.t.Helper()
	return dial(w.t, w.frontAddr)
}

func (w *harness) expectOutcomes(want ...string) {
	w.t.Helper()
	for _, each := range want {
		select {
		case got := <-w.placer.outcomes:
			if got != each {
				w.t.Fatalf("attempt ended as %q, want %q", got, each)
			}
		case <-time.After(testTimeout):
			w.t.Fatalf("no attempt ended as %q", each)
		}
	}
}

// testRunner is a scripted runner.
type testRunner struct {
	t        *testing.T
	id       string
	listener *net.TCPListener
}

func (r *testRunner) accept() *testConn {
	r.t.Helper()
	_ = r.listener.SetDeadline(time.Now().Add(testTimeout))
	conn, err := r.listener.Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	return newTestConn(r.t, conn)
}

// testConn is the test's end of a connection.
type testConn struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

func newTestConn(t *testing.T, conn net.Conn) *testConn {
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return &testConn{t: t, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func dial(t *testing.T, addr string) *testConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newTestConn(t, conn)
}

func (p *testConn) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p.conn, text); err != nil {
		p.t.Fatal(err)
	}
}

// readRequest reads a request, with its body.
func (p *testConn) readRequest() (*http.Request, string) {
	p.t.Helper()
	q, err := http.ReadRequest(p.reader)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return q, string(body)
}

// readResponse reads a whole response.
func (p *testConn) readResponse() (*http.Response, string) {
	p.t.Helper()
	r, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		p.t.Fatalf("body after %q: %v", body, err)
	}
	return r, string(body)
}

// expect reads exactly the text.
func (p *testConn) expect(text string) {
	p.t.Helper()
	got := make([]byte, len(text))
	if n, err := io.ReadFull(p.reader, got); err != nil || string(got) != text {
		p.t.Fatalf("got %q (%v), want %q", got[:n], err, text)
	}
}

// readHead reads the head of a message.
func (p *testConn) readHead() string {
	p.t.Helper()
	var head strings.Builder
	for {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			p.t.Fatalf("head %q: %v", head.String(), err)
		}
		if head.WriteString(line); line == "\r\n" {
			return head.String()
		}
	}
}

// readToClose waits until the other side has closed and returns what came before.
func (p *testConn) readToClose() string {
	p.t.Helper()
	rest, err := io.ReadAll(p.reader)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		p.t.Fatal("the connection stays open")
	}
	return string(rest)
}

// reset closes the connection by a reset.
func (p *testConn) reset() {
	_ = p.conn.SetLinger(0)
	p.conn.Close()
}

// requestText is the text of a request.
func requestText(path, id, extra, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: 10000\r\n%sContent-Length: %d\r\n\r\n%s",
		path, id, extra, len(body), body)
}

// successText is the text of a success with a length.
func successText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id,
		id, len(body), body)
}

// streamHeadText is the head of a stream.
func streamHeadText(id, seal string) string {
	return "HTTP/1.1 200 OK\r\nX-Try-Id: " + id + "\r\nX-Server-Seal: " + seal +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunkText(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

const lastChunk = "0\r\n\r\n"

// fakePlacer names the first runner that was not tried. It belongs to the loop's goroutine.
type fakePlacer struct {
	runners     []placement.Runner
	refusal     *placement.Rejection
	noRetry     bool
	spread      bool // takes runners in turn
	priority    int
	events      int
	lastRequest placement.Request
	restored    []byte

	outcomes chan string // nil: nobody listens
	sent     chan string
}

func notify(to chan string, what string) {
	if to != nil {
		to <- what
	}
}

func (f *fakePlacer) SetServices(time.Duration, []*configuration.Service) {}
func (f *fakePlacer) SetRunners(time.Duration, []placement.Runner)        {}
func (f *fakePlacer) SetEvacuatedZones(time.Duration, map[string]bool)    {}
func (f *fakePlacer) SetProxyCount(time.Duration, int)                    {}
func (f *fakePlacer) SetPeers(time.Duration, uint64, []uint64)            {}
func (f *fakePlacer) HandleNotice(time.Duration, placement.Notice)        {}
func (f *fakePlacer) Place(_ time.Duration, request *placement.Request) (placement.Choice, *placement.Rejection) {
	f.lastRequest = *request
	if f.refusal != nil {
		return placement.Choice{}, f.refusal
	}
	for _, candidate := range f.runners {
		if !slices.Contains(request.TriedRunners, candidate.ID) {
			if f.spread {
				f.runners = append(f.runners[1:len(f.runners):len(f.runners)], f.runners[0])
			}
			return placement.Choice{Runner: candidate.ID, Address: candidate.Address, Priority: f.priority - 1}, nil
		}
	}
	return placement.Choice{}, &placement.Rejection{RetryAfter: 1500 * time.Millisecond, Reason: "all tried"}
}
func (f *fakePlacer) StartAttempt(_ time.Duration, r *placement.Request, c placement.Choice) *placement.Attempt {
	notify(f.sent, c.Runner)
	return &placement.Attempt{Runner: c.Runner, Request: r}
}
func (f *fakePlacer) HandleFirstEvent(time.Duration, *placement.Attempt) { f.events++ }
func (f *fakePlacer) HandleEvent(time.Duration, *placement.Attempt)      { f.events++ }
func (f *fakePlacer) EndAttempt(_ time.Duration, a *placement.Attempt, o placement.Outcome, _ placement.Progress) {
	names := []string{"served", "not run", "wrong runner", "failed", "broken", "silent", "unreached", "abandoned"}
	notify(f.outcomes, a.Runner+" "+names[o])
}
func (f *fakePlacer) MayRetry(time.Duration, *placement.Request) bool { return !f.noRetry }
func (f *fakePlacer) Tick(now time.Duration) time.Duration            { return now + time.Hour }
func (f *fakePlacer) Snapshot() []byte                                { return []byte("learnt") }
func (f *fakePlacer) Restore(_ time.Duration, b []byte) error         { f.restored = b; return nil }
