package proxy

import (
	"math/rand/v2"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/placement"
)

const (
	noticeLinkFraction        = 0.04  // of the machine's link, for notices to other proxies
	noticeBurstSeconds        = 1.0   // unspent budget accumulates for at most so long
	defaultLinkBytesPerSecond = 125e6 // if the settings give no bandwidth
	datagramHeaderBytes       = 28    // IP and UDP headers
	relaySeedStream           = 0x80  // of the random choice of proxies in other zones
	maxOwnZonePeers           = 256   // notified proxies of the own zone; further ones get no notices
)

// peerNotifier tells the other proxies which prompts runners are prefilling and which runners respond again, one
// datagram a notice. It notifies every proxy of its own zone and one of each other zone, drawn anew each time, which
// forwards the notice in its zone because traffic between zones is expensive. A lost datagram costs a worse choice of
// runner and nothing else.
type peerNotifier struct {
	proxy       *Proxy
	random      *rand.Rand
	socket      *eventloop.UDPSocket
	peersKnown  bool                        // the agent has announced the peer list
	ownZone     []netip.AddrPort            // peers in the own zone
	otherZones  map[string][]netip.AddrPort // peers in the other zones, by zone
	budgetBytes float64                     // may be sent now
	refilledAt  float64                     // when budgetBytes was last refilled, in seconds of the loop's clock
	datagram    []byte
}

func newPeerNotifier(p *Proxy) *peerNotifier {
	random := rand.New(rand.NewPCG(p.options.Seed, relaySeedStream))
	return &peerNotifier{
		proxy:      p,
		random:     random,
		otherZones: map[string][]netip.AddrPort{},
		refilledAt: p.loop.Now() - noticeBurstSeconds, // the budget is full at the start
	}
}

// listen opens the socket. The proxy serves without it if that fails.
func (n *peerNotifier) listen() {
	address := n.proxy.options.NoticeAddr
	if !address.IsValid() || n.socket != nil {
		return
	}
	socket, err := n.proxy.loop.ListenUDP(address, n.handleDatagram)
	if err != nil {
		n.proxy.log.Warn("cannot listen for notices of other proxies; check that no other process holds the port", zap.Error(err))
		return
	}
	n.socket = socket
}

// applyPeers replaces the peer list.
func (p *Proxy) applyPeers(peers []feed.Peer) {
	keys := make([]uint64, 0, len(peers))
	p.peers.ownZone = nil
	clear(p.peers.otherZones)
	for i := range peers {
		keys = append(keys, xxhash.Sum64String(peers[i].Node))
		p.peers.add(peers[i].Zone, peers[i].Address)
	}
	p.peers.peersKnown = true
	p.control.proxyCount = 1 + len(peers)
	p.pool.proxyCount = p.control.proxyCount
	p.placer.SetPeers(p.now(), xxhash.Sum64String(p.options.Node), keys)
}

// add adds a peer to be notified; one whose zone is unknown gets no notices.
func (n *peerNotifier) add(zone string, machine netip.Addr) {
	if zone == "" || !machine.IsValid() {
		return
	}
	address := netip.AddrPortFrom(machine, n.proxy.options.NoticeAddr.Port())
	switch {
	case zone != n.proxy.options.Zone:
		n.otherZones[zone] = append(n.otherZones[zone], address)
	case len(n.ownZone) < maxOwnZonePeers:
		n.ownZone = append(n.ownZone, address)
	}
}

// notifyPrefill tells the peers which prompt the attempt's runner is prefilling.
func (n *peerNotifier) notifyPrefill(attempt *placement.Attempt) {
	if notice, useful := attempt.PrefillNotice(); useful {
		n.broadcast(notice)
	}
}

// notifyResponding tells the peers that the attempt's runner responds again.
func (n *peerNotifier) notifyResponding(attempt *placement.Attempt) {
	if notice, useful := attempt.RecoveryNotice(); useful {
		n.broadcast(notice)
	}
}

// broadcast sends a notice to all peers if the bandwidth budget allows it.
func (n *peerNotifier) broadcast(notice placement.Notice) {
	if n.socket == nil {
		return
	}
	n.datagram = appendNotice(n.datagram[:0], notice)
	if !n.spendBudget((len(n.ownZone) + len(n.otherZones)) * (datagramHeaderBytes + len(n.datagram))) {
		return
	}
	n.proxy.Counters.NoticesSent++
	n.send(n.ownZone)
	n.datagram[0] |= noticeRelayFlag
	for _, peers := range n.otherZones {
		chosen := n.random.IntN(len(peers))
		n.send(peers[chosen : chosen+1])
	}
}

// forward sends a notice from another zone to the peers of the own zone.
func (n *peerNotifier) forward(datagram []byte) {
	n.datagram = append(n.datagram[:0], datagram...)
	n.datagram[0] &^= noticeRelayFlag
	if n.spendBudget(len(n.ownZone) * (datagramHeaderBytes + len(datagram))) {
		n.send(n.ownZone)
	}
}

// send sends the current datagram. It stops at the first error: the socket buffer is full or there is no route.
func (n *peerNotifier) send(peers []netip.AddrPort) {
	for _, peer := range peers {
		if n.socket.SendTo(peer, n.datagram) != nil {
			return
		}
	}
}

// spendBudget takes size bytes from the bandwidth budget; false if it is used up.
func (n *peerNotifier) spendBudget(size int) bool {
	bandwidth := n.proxy.options.LinkBytesPerSecond
	if bandwidth <= 0 {
		bandwidth = defaultLinkBytesPerSecond
	}
	now := n.proxy.loop.Now()
	rate := noticeLinkFraction * bandwidth
	n.budgetBytes = min(n.budgetBytes+rate*(now-n.refilledAt), rate*noticeBurstSeconds)
	n.refilledAt = now
	cost := float64(size)
	if cost > n.budgetBytes {
		n.proxy.Counters.NoticesSuppressed++
		return false
	}
	n.budgetBytes -= cost
	return true
}

// handleDatagram processes a datagram; malformed ones are ignored.
func (n *peerNotifier) handleDatagram(datagram []byte) {
	notice, relayed, ok := parseNotice(datagram)
	if !ok {
		return
	}
	if relayed {
		n.forward(datagram)
	}
	n.proxy.Counters.NoticesReceived++
	n.proxy.placer.HandleNotice(n.proxy.now(), notice)
}
