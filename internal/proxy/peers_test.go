package proxy

import (
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/feed"
	"cinderroad/internal/placement"
	"cinderroad/internal/transport"
)

func TestNoticesAreReadAsTheyWereWritten(t *testing.T) {
	for _, notice := range []placement.Notice{{Runner: 1, Tokens: 1}, {Runner: 1<<64 - 1, Tokens: mostTold}, {Runner: 5},
		{Runner: 9, Answers: true}} {
		if got, ok := readNotice(appendNotice(nil, notice)); !ok || got != notice {
			t.Errorf("%+v was read as %+v, %v", notice, got, ok)
		}
	}
}

// FuzzReadNotice reads whatever comes: what is taken is what would have been written.
func FuzzReadNotice(f *testing.F) {
	f.Add(appendNotice(nil, placement.Notice{Runner: 3, Tokens: 4000}))
	f.Add(appendNotice(nil, placement.Notice{Runner: 3, Answers: true}))
	f.Add([]byte{noticeReading, 0, 0, 0, 0, 0, 0, 0, 0, 0x80})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		notice, ok := readNotice(b)
		if !ok {
			return
		}
		again, ok := readNotice(appendNotice(nil, notice))
		if !ok || again != notice || notice.Tokens < 0 || notice.Tokens > mostTold {
			t.Errorf("%x was read as %+v, then as %+v", b, notice, again)
		}
	})
}

// hearingPlacer keeps the notices that it hears.
type hearingPlacer struct {
	fakePlacer
	heard []placement.Notice
	peers []uint64
}

func (h *hearingPlacer) Heard(_ time.Duration, notice placement.Notice) {
	h.heard = append(h.heard, notice)
}

func (h *hearingPlacer) SetPeers(_ time.Duration, _ uint64, peers []uint64) { h.peers = peers }

// hearingProxy is a proxy on a loopback address of its own that hears notices at a free port.
func hearingProxy(t *testing.T, link float64) (*Proxy, *hearingPlacer) {
	t.Helper()
	loop, err := transport.NewLoop(64)
	if err != nil {
		t.Fatal(err)
	}
	placer := &hearingPlacer{}
	p := New(loop, zap.NewNop(), placer, Options{Peers: netip.MustParseAddrPort("127.0.0.1:0"), LinkBytesPerS: link})
	p.control.zones = map[string]string{"a": "east", "b": "east", "c": "west"}
	p.peers.listen()
	if p.peers.socket == nil {
		t.Fatal("no socket")
	}
	t.Cleanup(p.peers.socket.Close)
	return p, placer
}

// run lets a proxy's loop turn until the condition holds; a second is far more than loopback takes.
func (h *hearingPlacer) run(t *testing.T, p *Proxy, until func() bool) {
	t.Helper()
	var look func()
	limit := p.now() + 10*time.Second
	look = func() {
		if until() || p.now() > limit {
			p.loop.Stop()
			return
		}
		p.at(p.now()+time.Millisecond, look)
	}
	look()
	if err := p.loop.Run(); err != nil {
		t.Fatal(err)
	}
	if !until() {
		t.Fatal("nothing came")
	}
}

// The proxies of the region are told, and no others.
func TestProxiesOfTheRegionAreTold(t *testing.T) {
	teller, _ := hearingProxy(t, 0)
	listener, placer := hearingProxy(t, 0)
	teller.options.Peers = listener.peers.socket.Addr() // all proxies have one port
	machine := listener.peers.socket.Addr().Addr()
	teller.takePeers([]feed.Peer{{Node: "one", Address: machine, Zone: "a"}, {Node: "two", Address: machine, Zone: "c"},
		{Node: "three", Address: machine}, {Node: "four", Zone: "a"}})
	if known := teller.placer.(*hearingPlacer).peers; len(known) != 4 {
		t.Errorf("the placer was told of %d proxies", len(known))
	}
	notice := placement.Notice{Runner: 7, Tokens: 3000}
	for region, want := range map[string]int{"east": 1, "west": 1, "north": 0, "": 0} {
		if got := len(teller.peers.byRegion[region]); got != want {
			t.Errorf("%d proxies of %q are told, want %d", got, region, want)
		}
	}
	teller.peers.tell(teller.peers.byRegion["east"], notice)
	placer.run(t, listener, func() bool { return len(placer.heard) == 1 })
	if placer.heard[0] != notice {
		t.Errorf("heard %+v", placer.heard[0])
	}
	listener.peers.take([]byte("nonsense"))
	if len(placer.heard) != 1 {
		t.Errorf("nonsense was taken for %+v", placer.heard[1:])
	}
}

// What is told takes no more than its share of the link.
func TestNoticesKeepToTheirShareOfTheLink(t *testing.T) {
	const link = 100e3
	p, _ := hearingProxy(t, link)
	listeners := make([]netip.AddrPort, 10)
	for i := range listeners {
		listeners[i] = p.peers.socket.Addr()
	}
	p.peers.earnedAt -= 10 // long ago
	size := float64(len(listeners) * (datagramHead + len(appendNotice(nil, placement.Notice{Tokens: 3000}))))
	told := 0
	for p.peers.spend(size) {
		told++
	}
	if most := int(noticeShare * link * noticeSpan / size); told != most {
		t.Errorf("%d notices were sent at once, want %d", told, most)
	}
}
