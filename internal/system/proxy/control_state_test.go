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
type fakeAgent struct{ reports []feed.ProxyReport }

func (a *fakeAgent) Report(r feed.ProxyReport) { a.reports = append(a.reports, r) }

func (a *fakeAgent) last() feed.ProxyReport { return a.reports[len(a.reports)-1] }

// What the control plane says is in force for the next request, and the agent hears at once when that makes the proxy
// ready.
func TestApplyUpdate(t *testing.T) {
	w := newHarness(t)
	agent := &fakeAgent{}
	w.onLoop(func() {
		w.proxy.SetRoutes(nil)
		w.proxy.FollowAgent(agent, map[string]string{"z": "region"})
	})
	runner := w.startRunners("a")[0]
	w.onLoop(func() { w.proxy.runnersKnown = false })
	client := w.connect()
	client.send(requestText("/one/x", "t1", "", ""))
	client.expectResponse(503, "")
	one, two := route("one", configuration.ReadWrite), route("two", configuration.ReadWrite)
	address := netip.MustParseAddrPort(runner.listener.Addr().String())
	runners := []agentclient.Runner{{Runner: discovery.Runner{ID: "a", Service: "s", Address: address, Zone: "z",
		SlowStartRemaining: time.Second},
		ColdUntil: time.Now().Add(time.Hour)}}
	w.onLoop(func() {
		if w.proxy.Ready() || agent.last().Ready {
			t.Error("ready without a configuration")
		}
		w.proxy.ApplyUpdate(agentclient.Update{Version: 3, Routes: []*configuration.Route{one, two},
			Services: &[]*configuration.Service{{Name: "s", MaxConnections: 8}},
			Runners:  &runners, Proxies: 2, Complete: true})
		if !w.proxy.Ready() || !agent.last().Ready || agent.last().Stopping {
			t.Error("not ready with all that is needed")
		}
		known := w.proxy.pool.runners["a"]
		if known.address != address || w.proxy.pool.maxConns(known) != 4 {
			t.Errorf("runner is known as %+v with %d connections", known, w.proxy.pool.maxConns(known))
		}
	})
	client.send(requestText("/one/x", "t2", "", ""))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(successText("t2", "ok"))
	client.expectResponse(200, "ok")
	w.onLoop(func() { w.proxy.ApplyUpdate(agentclient.Update{Version: 4, Removed: []string{"one"}}) })
	client.send(requestText("/one/x", "t3", "", ""))
	client.expectResponse(404, "")
	none := []agentclient.Runner{}
	w.onLoop(func() {
		w.proxy.ApplyUpdate(agentclient.Update{Version: 4, Runners: &none})
		w.proxy.RestoreSnapshot([]byte("learnt before"))
		if string(w.placer.restored) != "learnt before" {
			t.Errorf("recalled %q", w.placer.restored)
		}
	})
	upstream.readToClose() // a runner that is not listed any more keeps no idle connection
	w.onLoop(func() {
		w.proxy.Stop()
		if last := agent.last(); last.Ready || !last.Stopping || string(last.Learnt) != "learnt" {
			t.Errorf("when stopping the agent hears %+v", last)
		}
	})
}
