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

// hungRunner listens with hardly a backlog, so that it can be made to take no connections without refusing them, as a
// machine that has lost its power does.
func hungRunner(t *testing.T, id string) *testRunner {
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

// hang fills the backlog.
func (r *testRunner) hang() {
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
func TestSilentMachine(t *testing.T) {
	w := newWorld(t)
	second := w.runners("b")[0]
	first := hungRunner(t, "a")
	known := []placement.Runner{
		{ID: "a", Service: "s", Address: netip.MustParseAddrPort(first.listener.Addr().String())},
		{ID: "b", Service: "s", Address: netip.MustParseAddrPort(second.listener.Addr().String())}}
	w.do(func() {
		w.placer.choices = known
		w.proxy.SetRunners(known)
	})
	stays, moves := w.client(), w.client()
	stays.send(ask("/stream/x", "t1", "", ""))
	up := first.accept()
	up.request()
	up.send(streamHead("t1", "s") + chunk(event(1)))
	stays.head()
	moves.send(ask("/resumable/x", "t2", "", ""))
	other := first.accept()
	other.request()
	other.send(streamHead("t2", "s") + chunk(event(1)))
	moves.head()
	first.hang()

	next := second.accept()
	if q, _ := next.request(); q.Header.Get("X-Try-Id") != "t2" || q.Header.Get("Last-Event-Id") != "1" {
		t.Errorf("second runner got %v", q.Header)
	}
	w.ended("a silent")
	next.send(streamHead("t2", "s") + chunk(event(2)) + lastChunk)
	if got := newBody(moves); got != event(1)+event(2) {
		t.Errorf("the client that moved got %q", got)
	}
	w.ended("b served")
	up.send(chunk(event(2)) + lastChunk)
	if got := newBody(stays); !strings.HasSuffix(got, event(2)) {
		t.Errorf("the client that stayed got %q", got)
	}
	w.ended("a served")
	w.do(func() {
		if w.proxy.pool.admits(placement.Choice{Runner: "a"}) && w.proxy.now() < w.proxy.pool.runners["a"].doubtful {
			t.Error("a runner in doubt is given requests")
		}
	})
}

// A runner that is silent but there keeps its request.
func TestSilentRunner(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a", "b")
	w.do(func() { w.routes.routes[0].LatencyTarget = time.Millisecond })
	c := w.client()
	c.send(ask("/reads/x", "t1", "", ""))
	up := r[0].accept()
	up.request()
	r[0].accept() // finds out whether the machine is there
	up.send(served("t1", "late"))
	c.answered(200, "late")
	w.ended("a served")
}
