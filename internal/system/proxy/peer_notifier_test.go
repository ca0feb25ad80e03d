package proxy

import (
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/placement"
	"cinderroad/internal/system/proxy/agentclient"
	"cinderroad/internal/system/routetable"
)

// recordingPlacer records the notices it gets.
type recordingPlacer struct {
	fakePlacer
	notices []placement.Notice
	peers   []uint64

	setProxiesCalls int // calls of SetProxyCount
}

func (h *recordingPlacer) HandleNotice(_ time.Duration, notice placement.Notice) {
	h.notices = append(h.notices, notice)
}

func (h *recordingPlacer) SetProxyCount(time.Duration, int) { h.setProxiesCalls++ }

func (h *recordingPlacer) SetPeers(_ time.Duration, _ uint64, peers []uint64) { h.peers = peers }

// newNotifiedProxy returns a proxy on loopback that receives notices at a free port.
func newNotifiedProxy(t *testing.T, link float64) (*Proxy, *recordingPlacer) {
	t.Helper()
	loop, err := eventloop.NewLoop(64)
	if err != nil {
		t.Fatal(err)
	}
	placer := &recordingPlacer{}
	proxy := New(loop, zap.NewNop(), placer, Options{NoticeAddr: netip.MustParseAddrPort("127.0.0.1:0"), LinkBytesPerSecond: link})
	proxy.peers.listen()
	if proxy.peers.socket == nil {
		t.Fatal("no socket")
	}
	t.Cleanup(proxy.peers.socket.Close)
	return proxy, placer
}

// runUntil runs a proxy's loop until the condition holds.
func (h *recordingPlacer) runUntil(t *testing.T, proxy *Proxy, until func() bool) {
	t.Helper()
	var look func()
	limit := proxy.now() + 10*time.Second
	look = func() {
		if until() || proxy.now() > limit {
			proxy.loop.Stop()
			return
		}
		proxy.runAt(proxy.now()+time.Millisecond, look)
	}
	look()
	if err := proxy.loop.Run(); err != nil {
		t.Fatal(err)
	}
	if !until() {
		t.Fatal("timeout")
	}
}

// Peers in the own zone get every notice; one of each other zone gets it and forwards it in its zone.
func TestNoticeForwardedInOtherZones(t *testing.T) {
	teller, _ := newNotifiedProxy(t, 0)
	relay, relayPlacer := newNotifiedProxy(t, 0)
	last, lastPlacer := newNotifiedProxy(t, 0)
	machine := netip.MustParseAddr("127.0.0.1")
	teller.options.Zone = "a"
	teller.options.NoticeAddr = relay.peers.socket.Addr() // all proxies use the same port
	teller.applyPeers([]feed.Peer{{Node: "one", Address: machine, Zone: "c"}, {Node: "two", Address: machine, Zone: "c"},
		{Node: "three", Address: machine}, {Node: "four", Zone: "a"}})
	relay.options.Zone = "c"
	relay.options.NoticeAddr = last.peers.socket.Addr()
	relay.applyPeers([]feed.Peer{{Node: "five", Address: machine, Zone: "c"}})
	if known := teller.placer.(*recordingPlacer).peers; len(known) != 4 {
		t.Errorf("the placer got %d peers", len(known))
	}
	if p := teller.peers; len(p.ownZone) != 0 || len(p.otherZones) != 1 || len(p.otherZones["c"]) != 2 {
		t.Errorf("peers are %v, %v", p.ownZone, p.otherZones)
	}
	notice := placement.Notice{Kind: placement.NoticePrefill, RunnerKey: 7, Tokens: 3000}
	teller.peers.broadcast(notice)
	relayPlacer.runUntil(t, relay, func() bool { return len(relayPlacer.notices) == 1 })
	lastPlacer.runUntil(t, last, func() bool { return len(lastPlacer.notices) == 1 })
	if relayPlacer.notices[0] != notice || lastPlacer.notices[0] != notice {
		t.Errorf("received %+v, %+v", relayPlacer.notices, lastPlacer.notices)
	}
	last.peers.handleDatagram([]byte("nonsense"))
	if len(lastPlacer.notices) != 1 {
		t.Errorf("a malformed datagram was accepted as %+v", lastPlacer.notices[1:])
	}
}

// Notices take no more than their share of the bandwidth.
func TestNoticeBudget(t *testing.T) {
	const link = 100e3
	p, _ := newNotifiedProxy(t, link)
	p.peers.refilledAt -= 10
	size := 10 * (datagramHeaderBytes + len(appendNotice(nil, placement.Notice{Kind: placement.NoticePrefill, Tokens: 3000})))
	sent := 0
	for p.peers.spendBudget(size) {
		sent++
	}
	if want := int(noticeLinkFraction * link * noticeBurstSeconds / float64(size)); sent != want {
		t.Errorf("%d notices were sent at once, want %d", sent, want)
	}
}

// A proxy count that arrives just before or after the peer list does not discard the list: with many proxies, only
// those that know the others' names may use a runner in slow start.
func TestPeersOutliveProxyCount(t *testing.T) {
	p, placer := newNotifiedProxy(t, 0)
	p.control.table = routetable.New()
	peers := []feed.Peer{{Node: "one", Zone: "a"}, {Node: "two", Zone: "a"}}
	p.ApplyUpdate(agentclient.Update{ProxyCount: 4, Peers: &peers})
	p.ApplyUpdate(agentclient.Update{ProxyCount: 3})
	if placer.setProxiesCalls != 0 {
		t.Errorf("SetProxyCount was called %d times", placer.setProxiesCalls)
	}
	if p.pool.proxyCount != 3 || p.control.proxyCount != 3 {
		t.Errorf("connections are shared among %d, metrics say %d; want 3", p.pool.proxyCount, p.control.proxyCount)
	}
}
