package proxy

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/proxy/agentclient"
)

// fakeAgent records the reports it gets. It belongs to the loop's goroutine.
type fakeAgent struct{ reports []feed.ProxyReport }

func (a *fakeAgent) Report(r feed.ProxyReport) { a.reports = append(a.reports, r) }

func (a *fakeAgent) last() feed.ProxyReport { return a.reports[len(a.reports)-1] }

// completeUpdate returns an update with all that a proxy needs to be ready: two routes to a service, and its runner.
func completeUpdate(runnerAddress netip.AddrPort) agentclient.Update {
	runner := discovery.Runner{
		ID:                 "a",
		Service:            "s",
		Address:            runnerAddress,
		Zone:               "z",
		SlowStartRemaining: time.Second,
	}
	return agentclient.Update{
		Version:    3,
		Routes:     []*configuration.Route{route("one", configuration.ReadWrite), route("two", configuration.ReadWrite)},
		Services:   &[]*configuration.Service{{Name: "s", MaxConnections: 8}},
		Runners:    &[]agentclient.Runner{{Runner: runner, SlowStartUntil: time.Now().Add(time.Hour)}},
		ProxyCount: 2,
		Complete:   true,
	}
}

// An update is in force for the next request, and the agent is notified at once when it makes the proxy ready.
func TestApplyUpdate(t *testing.T) {
	h := newHarness(t)
	agent := &fakeAgent{}
	h.onLoop(func() {
		h.proxy.SetRoutes(nil)
		h.proxy.FollowAgent(agent, map[string]string{"z": "region"})
	})
	runner := h.startRunners("a")[0]
	h.onLoop(func() { h.proxy.runnersKnown = false })
	client := h.connect()
	client.send(requestText("/one/x", "t1", "", ""))
	client.expectResponse(503, "")
	address := netip.MustParseAddrPort(runner.listener.Addr().String())
	h.onLoop(func() {
		if h.proxy.Ready() || agent.last().Ready {
			t.Error("ready without a configuration")
		}
		h.proxy.ApplyUpdate(completeUpdate(address))
		if !h.proxy.Ready() || !agent.last().Ready || agent.last().Stopping {
			t.Error("not ready with all that is needed")
		}
		if got := strings.Join(h.placer.routeUpdates, " "); got != "one two" {
			t.Errorf("the placer was told of routes %q", got)
		}
		known := h.proxy.pool.runners["a"]
		if known.address != address || h.proxy.pool.maxConns(known) != 4 {
			t.Errorf("runner is known as %+v with %d connections", known, h.proxy.pool.maxConns(known))
		}
	})
	client.send(requestText("/one/x", "t2", "", ""))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(successText("t2", "ok"))
	client.expectResponse(200, "ok")
	h.onLoop(func() { h.proxy.ApplyUpdate(agentclient.Update{Version: 4, RemovedRoutes: []string{"one"}}) })
	client.send(requestText("/one/x", "t3", "", ""))
	client.expectResponse(404, "")
	none := []agentclient.Runner{}
	h.onLoop(func() {
		h.proxy.ApplyUpdate(agentclient.Update{Version: 4, Runners: &none})
		h.proxy.RestoreSnapshot([]byte("learnt before"))
		if string(h.placer.restored) != "learnt before" {
			t.Errorf("restored %q", h.placer.restored)
		}
	})
	upstream.readToClose() // idle connections to a runner that is no longer listed are closed
	h.onLoop(func() {
		h.proxy.Stop()
		if last := agent.last(); last.Ready || !last.Stopping || string(last.Learnt) != "learnt" {
			t.Errorf("during shutdown the agent gets %+v", last)
		}
	})
}
