package placement

import (
	"slices"
	"time"
)

// peer is a proxy, this one included, by its key.
type peer struct {
	key       uint64
	expiresAt time.Duration // it was left out of what was told last, and counts no longer from then on; 0: it was named
}

// SetProxyCount sets the number of proxies that may be sending, this one among them; shared budgets are divided by it. A
// lower number counts only after proxyRemovalDelay: a proxy that seems gone may have sends under way.
func (p *Placer) SetProxyCount(now time.Duration, n int) {
	p.recordCall(now)
	p.peers = nil
	p.setProxyCount(now, n)
}

// SetPeers sets the keys of all proxies that may be sending, which implies their number. Only with keys can slow start be
// shared among more proxies than a runner bears requests in a second. A proxy that is no longer named counts until
// proxyRemovalDelay has passed.
func (p *Placer) SetPeers(now time.Duration, self uint64, peers []uint64) {
	p.recordCall(now)
	p.selfKey = self
	for i := range p.peers {
		if peer := &p.peers[i]; peer.expiresAt == 0 && !slices.Contains(peers, peer.key) {
			peer.expiresAt = now + proxyRemovalDelay
		}
	}
	p.addPeer(self)
	for _, key := range peers {
		p.addPeer(key)
	}
	p.proxyCount, p.pendingProxyCount = len(p.peers), 0
}

// addPeer counts a proxy from now on.
func (p *Placer) addPeer(key uint64) {
	for i := range p.peers {
		if p.peers[i].key == key {
			p.peers[i].expiresAt = 0
			return
		}
	}
	p.peers = append(p.peers, peer{key: key})
}

// setProxyCount applies a higher number at once and keeps a lower one pending.
func (p *Placer) setProxyCount(now time.Duration, n int) {
	n = max(n, 0)
	if n >= p.proxyCount {
		p.proxyCount, p.pendingProxyCount = n, 0
		return
	}
	if p.pendingProxyCount == 0 {
		p.pendingProxyCountAt = now + proxyRemovalDelay
	}
	p.pendingProxyCount = max(n, 1)
}

// applyProxyCount applies a lower number of proxies once it has been pending for long enough.
func (p *Placer) applyProxyCount(now time.Duration) {
	if p.pendingProxyCount > 0 && now >= p.pendingProxyCountAt {
		p.proxyCount, p.pendingProxyCount = p.pendingProxyCount, 0
	}
	if len(p.peers) > 0 {
		p.peers = slices.DeleteFunc(p.peers, func(peer peer) bool { return peer.expiresAt > 0 && now >= peer.expiresAt })
		p.proxyCount = len(p.peers)
	}
}

// otherProxies is the number of other proxies, as far as it is known.
func (p *Placer) otherProxies() float64 { return float64(max(p.proxyCount, 1) - 1) }
