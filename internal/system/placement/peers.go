package placement

import (
	"slices"
	"time"
)

// Delays after which a change of the proxies counts. joinDelay and proxyRemovalDelay must be longer than it takes until all
// proxies know of a change: before that, shared budgets could be divided by too low a number.
const (
	joinDelay         = 2 * time.Second // after a start or a pause, until all other proxies count this one
	sleepThreshold    = time.Second     // without a call after which the process must have been frozen
	proxyRemovalDelay = 2 * time.Second // until a lower number of proxies applies
)

// peer is a proxy, this one included, by its key.
type peer struct {
	key       uint64
	expiresAt time.Duration // from then on it no longer counts, since SetPeers no longer names it; 0: it does
}

// SetProxyCount sets the number of proxies that may be sending, this one among them; shared budgets are divided by it. A
// lower number counts only after proxyRemovalDelay: a proxy that seems to have departed may have sends in flight.
func (p *Placer) SetProxyCount(now time.Duration, count int) {
	p.recordCall(now)
	p.peers = nil
	p.setProxyCount(now, count)
}

// SetPeers sets the keys of all proxies that may be sending, which implies their number. Only with keys can slow start be
// shared among more proxies than a runner in slow start may get requests in a second. A proxy that is no longer named
// counts until proxyRemovalDelay has passed.
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
	p.proxyCount = len(p.peers)
	p.pendingProxyCount = 0
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
func (p *Placer) setProxyCount(now time.Duration, count int) {
	count = max(count, 0)
	if count >= p.proxyCount {
		p.proxyCount = count
		p.pendingProxyCount = 0
		return
	}
	if p.pendingProxyCount == 0 {
		p.pendingProxyCountAt = now + proxyRemovalDelay
	}
	p.pendingProxyCount = max(count, 1)
}

// applyProxyCount applies a lower number of proxies once proxyRemovalDelay has passed.
func (p *Placer) applyProxyCount(now time.Duration) {
	if p.pendingProxyCount > 0 && now >= p.pendingProxyCountAt {
		p.proxyCount = p.pendingProxyCount
		p.pendingProxyCount = 0
	}
	if len(p.peers) > 0 {
		p.peers = slices.DeleteFunc(p.peers, func(peer peer) bool { return peer.expiresAt > 0 && now >= peer.expiresAt })
		p.proxyCount = len(p.peers)
	}
}

// AssumedProxies is the number of proxies among which the connections that a runner accepts are divided while their number
// is not known. Shared budgets give nothing until it is.
const AssumedProxies = 16

// connectionSharers is the number of proxies among which the connections of runners are divided.
func (p *Placer) connectionSharers() int {
	if p.proxyCount == 0 {
		return AssumedProxies
	}
	return p.proxyCount
}

// otherProxies is the number of other proxies, as far as it is known.
func (p *Placer) otherProxies() float64 { return float64(max(p.proxyCount, 1) - 1) }
