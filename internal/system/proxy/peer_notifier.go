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
	noticeBurstSeconds        = 1.0   // the budget may be spent at once for so long
	defaultLinkBytesPerSecond = 125e6 // if the settings give no bandwidth
	datagramHeaderBytes       = 28    // IP and UDP headers
	relaySeedStream           = 0x80  // of the random choice of proxies in other zones
	maxOwnZonePeers           = 256   // notified proxies of the own zone
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
	return &peerNotifier{proxy: p, random: random, otherZones: map[string][]netip.AddrPort{}, refilledAt: p.loop.Now() - noticeBurstSeconds}
}

// listen opens the socket. The proxy serves without it if that fails.
func (s *peerNotifier) listen() {
	address := s.proxy.options.NoticeAddr
	if !address.IsValid() || s.socket != nil {
		return
	}
	socket, err := s.proxy.loop.ListenUDP(address, s.handleDatagram)
	if err != nil {
		s.proxy.log.Warn("other proxies are not heard, check that no other process holds the port", zap.Error(err))
		return
	}
	s.socket = socket
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
	p.control.proxies = 1 + len(peers)
	p.pool.proxies = p.control.proxies
	p.placer.SetPeers(p.now(), xxhash.Sum64String(p.options.Node), keys)
}

// add adds a peer to be notified; one whose zone is unknown gets no notices.
func (s *peerNotifier) add(zone string, machine netip.Addr) {
	if zone == "" || !machine.IsValid() {
		return
	}
	address := netip.AddrPortFrom(machine, s.proxy.options.NoticeAddr.Port())
	switch {
	case zone != s.proxy.options.Zone:
		s.otherZones[zone] = append(s.otherZones[zone], address)
	case len(s.ownZone) < maxOwnZonePeers:
		s.ownZone = append(s.ownZone, address)
	}
}

// notifyPrefill tells the peers which prompt the attempt's runner is prefilling.
func (s *peerNotifier) notifyPrefill(a *placement.Attempt) {
	if notice, worth := a.PrefillNotice(); worth {
		s.broadcast(notice)
	}
}

// notifyResponding tells the peers that the attempt's runner responds again.
func (s *peerNotifier) notifyResponding(a *placement.Attempt) {
	if notice, worth := a.RecoveryNotice(); worth {
		s.broadcast(notice)
	}
}

// broadcast sends a notice to all peers if the bandwidth budget allows it.
func (s *peerNotifier) broadcast(notice placement.Notice) {
	if s.socket == nil {
		return
	}
	s.datagram = appendNotice(s.datagram[:0], notice)
	if !s.spendBudget((len(s.ownZone) + len(s.otherZones)) * (datagramHeaderBytes + len(s.datagram))) {
		return
	}
	s.proxy.Counters.NoticesSent++
	s.send(s.ownZone)
	s.datagram[0] |= noticeRelayFlag
	for _, listeners := range s.otherZones {
		chosen := s.random.IntN(len(listeners))
		s.send(listeners[chosen : chosen+1])
	}
}

// forward sends a notice from another zone to the peers of the own zone.
func (s *peerNotifier) forward(datagram []byte) {
	s.datagram = append(s.datagram[:0], datagram...)
	s.datagram[0] &^= noticeRelayFlag
	if s.spendBudget(len(s.ownZone) * (datagramHeaderBytes + len(datagram))) {
		s.send(s.ownZone)
	}
}

// send sends the current datagram. It stops at the first error: the socket buffer is full or there is no route.
func (s *peerNotifier) send(listeners []netip.AddrPort) {
	for _, listener := range listeners {
		if s.socket.SendTo(listener, s.datagram) != nil {
			return
		}
	}
}

// spendBudget takes size bytes from the bandwidth budget; false if it is used up.
func (s *peerNotifier) spendBudget(size int) bool {
	link := s.proxy.options.LinkBytesPerSecond
	if link <= 0 {
		link = defaultLinkBytesPerSecond
	}
	now, rate := s.proxy.loop.Now(), noticeLinkFraction*link
	s.budgetBytes = min(s.budgetBytes+rate*(now-s.refilledAt), rate*noticeBurstSeconds)
	s.refilledAt = now
	bytes := float64(size)
	if bytes > s.budgetBytes {
		s.proxy.Counters.NoticesSuppressed++
		return false
	}
	s.budgetBytes -= bytes
	return true
}

// handleDatagram processes a datagram; malformed ones are ignored.
func (s *peerNotifier) handleDatagram(datagram []byte) {
	notice, relayed, ok := parseNotice(datagram)
	if !ok {
		return
	}
	if relayed {
		s.forward(datagram)
	}
	s.proxy.Counters.NoticesReceived++
	s.proxy.placer.HandleNotice(s.proxy.now(), notice)
}
