package proxy

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// testTimeout bounds every wait of a test; none should take that long.
const testTimeout = 30 * time.Second

// harness is a proxy on loopback with scripted runners. Tests play its clients and runners over blocking sockets. The proxy,
// the placer and the routes belong to the loop's goroutine while it runs: a test reaches them by onLoop and waitFor.
type harness struct {
	t         *testing.T
	loop      *eventloop.Loop
	proxy     *Proxy
	placer    *fakePlacer
	routes    *fakeRoutes
	done      chan struct{} // closed when the loop has ended
	frontAddr string
}

// newHarness starts a proxy, which change may give other options. It is stopped when the test ends.
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
	h := &harness{
		t:      t,
		loop:   loop,
		placer: &fakePlacer{outcomes: make(chan string, 100), sent: make(chan string, 100)},
		done:   make(chan struct{}),
	}
	h.routes = &fakeRoutes{[]*configuration.Route{
		route("reads", configuration.ReadOnly),
		route("writes", configuration.ReadWrite),
		route("stream", configuration.Streaming),
		resumable,
	}}
	h.proxy = New(loop, zap.NewNop(), h.placer, options)
	h.proxy.SetRoutes(h.routes)
	h.proxy.SetServices([]*configuration.Service{{Name: "s", MaxConnections: 100}})
	if err := h.proxy.Listen(); err != nil {
		t.Fatal(err)
	}
	h.frontAddr = h.proxy.FrontAddr().String()
	go func() {
		defer close(h.done)
		_ = loop.Run()
	}()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		<-h.done
	})
	return h
}

// onLoop runs a function on the loop and waits for it.
func (h *harness) onLoop(change func()) {
	h.t.Helper()
	done := make(chan struct{})
	h.loop.Post(func() { change(); close(done) })
	select {
	case <-done:
	case <-time.After(testTimeout):
		h.t.Fatal("the loop does not respond")
	}
}

// waitFor waits until a condition holds on the loop.
func (h *harness) waitFor(what string, holds func() bool) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		ok := false
		h.onLoop(func() { ok = holds() })
		if ok {
			return
		}
	}
	h.t.Fatal("timeout waiting for: " + what)
}

// startRunners starts scripted runners and announces them to the proxy; the fake placer prefers them in this order.
func (h *harness) startRunners(names ...string) []*testRunner {
	h.t.Helper()
	var all []*testRunner
	var listed []placement.Runner
	for _, name := range names {
		r := &testRunner{t: h.t, id: name}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			h.t.Fatal(err)
		}
		r.listener = listener.(*net.TCPListener)
		h.t.Cleanup(func() { listener.Close() })
		all = append(all, r)
		listed = append(listed, placement.Runner{
			ID:      name,
			Service: "s",
			Address: netip.MustParseAddrPort(listener.Addr().String()),
		})
	}
	h.onLoop(func() {
		h.placer.runners = listed
		h.proxy.SetRunners(listed)
	})
	return all
}

func (h *harness) connect() *testConn {
	h.t.Helper()
	return dial(h.t, h.frontAddr)
}

// expectOutcomes waits for attempts to end, each as "RUNNER OUTCOME" (see fakePlacer.EndAttempt), in this order.
func (h *harness) expectOutcomes(want ...string) {
	h.t.Helper()
	for _, each := range want {
		select {
		case got := <-h.placer.outcomes:
			if got != each {
				h.t.Fatalf("attempt ended as %q, want %q", got, each)
			}
		case <-time.After(testTimeout):
			h.t.Fatalf("no attempt ended as %q", each)
		}
	}
}
