package proxy

import (
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cinderroad/internal/system/placement"
)

// newUnresponsiveRunner listens with a minimal backlog, so that it can be made to ignore connections without refusing
// them, as a machine does that has lost power.
func newUnresponsiveRunner(t *testing.T, id string) *testRunner {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &testRunner{t: t, id: id, listener: listener.(*net.TCPListener)}
}

// fillBacklog fills the backlog.
func (r *testRunner) fillBacklog() {
	r.t.Helper()
	for range 100 {
		conn, err := net.DialTimeout("tcp", r.listener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return
		}
		r.t.Cleanup(func() { conn.Close() })
	}
	r.t.Fatal("the backlog is never full")
}

// A resumable stream moves away from a runner that is silent and accepts no connections, while a request that may not
// be executed twice stays.
func TestStreamMovesFromUnresponsiveMachine(t *testing.T) {
	h := newHarness(t)
	second := h.startRunners("b")[0]
	first := newUnresponsiveRunner(t, "a")
	known := []placement.Runner{
		{ID: "a", Service: "s", Address: netip.MustParseAddrPort(first.listener.Addr().String())},
		{ID: "b", Service: "s", Address: netip.MustParseAddrPort(second.listener.Addr().String())}}
	h.onLoop(func() {
		h.placer.runners = known
		h.proxy.SetRunners(known)
	})
	stays, moves := h.connect(), h.connect()
	stays.send(requestText("/stream/x", "t1", "", ""))
	upstream := first.accept()
	upstream.readRequest()
	upstream.send(streamHeadText("t1", "s") + chunkText(eventText(1)))
	stays.readHead()
	moves.send(requestText("/resumable/x", "t2", "", ""))
	other := first.accept()
	other.readRequest()
	other.send(streamHeadText("t2", "s") + chunkText(eventText(1)))
	moves.readHead()
	first.fillBacklog()

	next := second.accept()
	if request, _ := next.readRequest(); request.Header.Get("X-Try-Id") != "t2" || request.Header.Get("Last-Event-Id") != "1" {
		t.Errorf("second runner got %v", request.Header)
	}
	h.expectOutcomes("a silent")
	next.send(streamHeadText("t2", "s") + chunkText(eventText(2)) + lastChunk)
	if got := readChunkedBody(moves); got != eventText(1)+eventText(2) {
		t.Errorf("the client that moved got %q", got)
	}
	h.expectOutcomes("b served")
	upstream.send(chunkText(eventText(2)) + lastChunk)
	if got := readChunkedBody(stays); !strings.HasSuffix(got, eventText(2)) {
		t.Errorf("the client that stayed got %q", got)
	}
	h.expectOutcomes("a served")
	h.onLoop(func() {
		if h.proxy.pool.canAccept(placement.Choice{Runner: "a"}) && h.proxy.now() < h.proxy.pool.runners["a"].suspectUntil {
			t.Error("a suspect runner gets requests")
		}
	})
}

// A silent runner whose machine is reachable keeps its request.
func TestSilentRunnerKeepsItsRequest(t *testing.T) {
	h := newHarness(t)
	r := h.startRunners("a", "b")
	h.onLoop(func() { h.routes.routes[0].LatencyTarget = time.Millisecond })
	c := h.connect()
	c.send(requestText("/reads/x", "t1", "", ""))
	up := r[0].accept()
	up.readRequest()
	r[0].accept() // the probe of the machine
	up.send(successText("t1", "late"))
	c.expectResponse(200, "late")
	h.expectOutcomes("a served")
}
