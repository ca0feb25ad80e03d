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
