package proxy

import (
	"net/netip"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/proxy/agentclient"
)

// fakeAgent keeps what it is told. It belongs to the loop's goroutine.
type fakeAgent struct{ told []feed.ProxyReport }

func (a *fakeAgent) Report(r feed.ProxyReport) { a.told = append(a.told, r) }

func (a *fakeAgent) last() feed.ProxyReport { return a.told[len(a.told)-1] }

// What the control plane says is in force for the next request, and the agent hears at once when that makes the proxy
// ready.
func TestTake(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{}
	w.do(func() {
		w.proxy.SetRoutes(nil)
		w.proxy.Follow(a, map[string]string{"z": "region"})
	})
	r := w.runners("a")[0]
	w.do(func() { w.proxy.runnersIn = false })
	c := w.client()
	c.send(ask("/one/x", "t1", "", ""))
	c.answered(503, "")
	one, two := route("one", configuration.ReadWrite), route("two", configuration.ReadWrite)
	address := netip.MustParseAddrPort(r.listener.Addr().String())
	runners := []agentclient.Runner{{Runner: discovery.Runner{ID: "a", Service: "s", Address: address, Zone: "z",
		SlowStartRemaining: time.Second},
		ColdUntil: time.Now().Add(time.Hour)}}
	w.do(func() {
		if w.proxy.Ready() || a.last().Ready {
			t.Error("ready without a configuration")
		}
		w.proxy.Take(agentclient.Update{Version: 3, Routes: []*configuration.Route{one, two},
			Services: &[]*configuration.Service{{Name: "s", MaxConnections: 8}},
			Runners:  &runners, Proxies: 2, Complete: true})
		if !w.proxy.Ready() || !a.last().Ready || a.last().Stopping {
			t.Error("not ready with all that is needed")
		}
		known := w.proxy.pool.runners["a"]
		if known.address != address || w.proxy.pool.mostConns(known) != 4 {
			t.Errorf("runner is known as %+v with %d connections", known, w.proxy.pool.mostConns(known))
		}
	})
	c.send(ask("/one/x", "t2", "", ""))
	up := r.accept()
	up.request()
	up.send(served("t2", "ok"))
	c.answered(200, "ok")
	w.do(func() { w.proxy.Take(agentclient.Update{Version: 4, Removed: []string{"one"}}) })
	c.send(ask("/one/x", "t3", "", ""))
	c.answered(404, "")
	none := []agentclient.Runner{}
	w.do(func() {
		w.proxy.Take(agentclient.Update{Version: 4, Runners: &none})
		w.proxy.Recall([]byte("learnt before"))
		if string(w.placer.recalled) != "learnt before" {
			t.Errorf("recalled %q", w.placer.recalled)
		}
	})
	up.gone() // a runner that is not listed any more keeps no idle connection
	w.do(func() {
		w.proxy.Stop()
		if last := a.last(); last.Ready || !last.Stopping || string(last.Learnt) != "learnt" {
			t.Errorf("when stopping the agent hears %+v", last)
		}
	})
}
