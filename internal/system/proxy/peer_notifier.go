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
	noticeLinkFraction        = 0.04  // of the machine's link, for what other proxies are told
	noticeBurstSeconds        = 1.0   // seconds of that share that may be spent at once
	defaultLinkBytesPerSecond = 125e6 // bytes a second, where the settings name no bound
	datagramHeaderBytes       = 28    // bytes of a datagram's headers
	relaySeedStream           = 0x80  // of the random choice of proxies in other zones
	maxOwnZonePeers           = 256   // proxies of the own zone that are told
)

// peerNotifier are the other proxies. Each is told by datagram which prompts runners are given to read, and which runners answer
// again. The proxies of the own zone are told by this one; one proxy of each other zone, drawn anew
// each time, is told to pass it on in its zone, since bytes between zones are dear. A datagram that is lost costs a worse
// choice and nothing else.
type peerNotifier struct {
	proxy       *Proxy
	random      *rand.Rand
	socket      *eventloop.UDPSocket
	peersKnown  bool                        // the agent has told who the others are
	ownZone     []netip.AddrPort            // in the own zone
	otherZones  map[string][]netip.AddrPort // in the others
	budgetBytes float64                     // bytes that may be sent now
	refilledAt  float64                     // seconds of the loop's clock
	datagram    []byte
}

func newPeerNotifier(p *Proxy) *peerNotifier {
	random := rand.New(rand.NewPCG(p.options.Seed, relaySeedStream))
	return &peerNotifier{proxy: p, random: random, otherZones: map[string][]netip.AddrPort{}, refilledAt: p.loop.Now() - noticeBurstSeconds}
}

// listen opens the socket. The proxy does its work without it, too.
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

// applyPeers replaces the other proxies.
func (p *Proxy) applyPeers(told []feed.Peer) {
	keys := make([]uint64, 0, len(told))
	p.peers.ownZone = nil
	clear(p.peers.otherZones)
	for i := range told {
		keys = append(keys, xxhash.Sum64String(told[i].Node))
		p.peers.add(told[i].Zone, told[i].Address)
	}
	p.peers.peersKnown = true
	p.control.proxies = 1 + len(told)
	p.pool.proxies = p.control.proxies
	p.placer.SetPeers(p.now(), xxhash.Sum64String(p.options.Node), keys)
}

// add names a proxy that is to be told; one whose zone is not known is told nothing.
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

// notifyPrefill tells the others which prompt an attempt has its runner read.
func (s *peerNotifier) notifyPrefill(a *placement.Attempt) {
	if notice, worth := a.PrefillNotice(); worth {
		s.broadcast(notice)
	}
}

// notifyResponding tells the others that the runner of an attempt answers again.
func (s *peerNotifier) notifyResponding(a *placement.Attempt) {
	if notice, worth := a.RecoveryNotice(); worth {
		s.broadcast(notice)
	}
}

// broadcast tells all others, if the share of the link bears it.
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

// verdictRelay tells the own zone what a proxy of another one has told.
func (s *peerNotifier) forward(datagram []byte) {
	s.datagram = append(s.datagram[:0], datagram...)
	s.datagram[0] &^= noticeRelayFlag
	if s.spendBudget(len(s.ownZone) * (datagramHeaderBytes + len(datagram))) {
		s.send(s.ownZone)
	}
}

// send sends the datagram at hand. An error ends it: the system has no room, or there is no way.
func (s *peerNotifier) send(listeners []netip.AddrPort) {
	for _, listener := range listeners {
		if s.socket.SendTo(listener, s.datagram) != nil {
			return
		}
	}
}

// spendBudget takes bytes from the share of the link; false: it is used up.
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

// handleDatagram takes a datagram; one that makes no sense is passed over.
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
