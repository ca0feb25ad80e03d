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

// newUnresponsiveRunner listens with hardly a backlog, so that it can be made to take no connections without refusing them, as a
// machine that has lost its power does.
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

// A stream that may be continued leaves a runner that has fallen silent and takes no connections either, while one that
// may not run twice stays.
func TestStreamMovesFromUnresponsiveMachine(t *testing.T) {
	w := newHarness(t)
	second := w.startRunners("b")[0]
	first := newUnresponsiveRunner(t, "a")
	known := []placement.Runner{
		{ID: "a", Service: "s", Address: netip.MustParseAddrPort(first.listener.Addr().String())},
		{ID: "b", Service: "s", Address: netip.MustParseAddrPort(second.listener.Addr().String())}}
	w.onLoop(func() {
		w.placer.runners = known
		w.proxy.SetRunners(known)
	})
	stays, moves := w.connect(), w.connect()
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
	w.expectOutcomes("a silent")
	next.send(streamHeadText("t2", "s") + chunkText(eventText(2)) + lastChunk)
	if got := readChunkedBody(moves); got != eventText(1)+eventText(2) {
		t.Errorf("the client that moved got %q", got)
	}
	w.expectOutcomes("b served")
	upstream.send(chunkText(eventText(2)) + lastChunk)
	if got := readChunkedBody(stays); !strings.HasSuffix(got, eventText(2)) {
		t.Errorf("the client that stayed got %q", got)
	}
	w.expectOutcomes("a served")
	w.onLoop(func() {
		if w.proxy.pool.canAccept(placement.Choice{Runner: "a"}) && w.proxy.now() < w.proxy.pool.runners["a"].suspectUntil {
			t.Error("a runner in doubt is given requests")
		}
	})
}

// A runner that is silent but there keeps its request.
func TestSilentRunnerKeepsItsRequest(t *testing.T) {
	w := newHarness(t)
	r := w.startRunners("a", "b")
	w.onLoop(func() { w.routes.routes[0].LatencyTarget = time.Millisecond })
	c := w.connect()
	c.send(requestText("/reads/x", "t1", "", ""))
	up := r[0].accept()
	up.readRequest()
	r[0].accept() // finds out whether the machine is there
	up.send(successText("t1", "late"))
	c.expectResponse(200, "late")
	w.expectOutcomes("a served")
}
