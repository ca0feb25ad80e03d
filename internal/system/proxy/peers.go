package proxy

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/placement"
)

const (
	noticeShare   = 0.04  // of the machine's link, for what other proxies are told
	noticeSpan    = 1.0   // seconds of that share that may be spent at once
	unknownLink   = 125e6 // bytes a second, where the settings name no bound
	datagramHead  = 28    // bytes of a datagram's headers
	mostListeners = 256   // proxies of the own zone that are told
)

// peers are the other proxies. Each is told by datagram which prompts runners are given to read, and which runners answer
// again. The proxies of the own zone are told by this one; one proxy of each other zone, drawn anew
// each time, is told to pass it on in its zone, since bytes between zones are dear. A datagram that is lost costs a worse
// choice and nothing else.
type peers struct {
	proxy    *Proxy
	random   *rand.Rand
	socket   *eventloop.UDPSocket
	named    bool                        // the agent has told who the others are
	own      []netip.AddrPort            // in the own zone
	zones    map[string][]netip.AddrPort // in the others
	budget   float64                     // bytes that may be sent now
	earnedAt float64                     // seconds of the loop's clock
	datagram []byte
}

func newPeers(p *Proxy) *peers {
	random := rand.New(rand.NewPCG(p.options.Seed, noticeRelayed))
	return &peers{proxy: p, random: random, zones: map[string][]netip.AddrPort{}, earnedAt: p.loop.Now() - noticeSpan}
}

// listen opens the socket. The proxy does its work without it, too.
func (s *peers) listen() {
	address := s.proxy.options.Peers
	if !address.IsValid() || s.socket != nil {
		return
	}
	socket, err := s.proxy.loop.ListenUDP(address, s.take)
	if err != nil {
		s.proxy.log.Warn("other proxies are not heard, check that no other process holds the port", zap.Error(err))
		return
	}
	s.socket = socket
}

// takePeers replaces the other proxies.
func (p *Proxy) takePeers(told []feed.Peer) {
	keys := make([]uint64, 0, len(told))
	p.peers.own = nil
	clear(p.peers.zones)
	for i := range told {
		keys = append(keys, xxhash.Sum64String(told[i].Node))
		p.peers.add(told[i].Zone, told[i].Address)
	}
	p.peers.named = true
	p.control.proxies = 1 + len(told)
	p.pool.proxies = p.control.proxies
	p.placer.SetPeers(p.now(), xxhash.Sum64String(p.options.Node), keys)
}

// add names a proxy that is to be told; one whose zone is not known is told nothing.
func (s *peers) add(zone string, machine netip.Addr) {
	if zone == "" || !machine.IsValid() {
		return
	}
	address := netip.AddrPortFrom(machine, s.proxy.options.Peers.Port())
	switch {
	case zone != s.proxy.options.Zone:
		s.zones[zone] = append(s.zones[zone], address)
	case len(s.own) < mostListeners:
		s.own = append(s.own, address)
	}
}

// tellReading tells the others which prompt an attempt has its runner read.
func (s *peers) tellReading(a *placement.Attempt) {
	if notice, worth := a.PrefillNotice(); worth {
		s.tell(notice)
	}
}

// tellAnswers tells the others that the runner of an attempt answers again.
func (s *peers) tellAnswers(a *placement.Attempt) {
	if notice, worth := a.RecoveryNotice(); worth {
		s.tell(notice)
	}
}

// tell tells all others, if the share of the link bears it.
func (s *peers) tell(notice placement.Notice) {
	if s.socket == nil {
		return
	}
	s.datagram = appendNotice(s.datagram[:0], notice)
	if !s.spend((len(s.own) + len(s.zones)) * (datagramHead + len(s.datagram))) {
		return
	}
	s.proxy.Figures.NoticesTold++
	s.send(s.own)
	s.datagram[0] |= noticeRelayed
	for _, listeners := range s.zones {
		at := s.random.IntN(len(listeners))
		s.send(listeners[at : at+1])
	}
}

// passOn tells the own zone what a proxy of another one has told.
func (s *peers) passOn(datagram []byte) {
	s.datagram = append(s.datagram[:0], datagram...)
	s.datagram[0] &^= noticeRelayed
	if s.spend(len(s.own) * (datagramHead + len(datagram))) {
		s.send(s.own)
	}
}

// send sends the datagram at hand. An error ends it: the system has no room, or there is no way.
func (s *peers) send(listeners []netip.AddrPort) {
	for _, listener := range listeners {
		if s.socket.SendTo(listener, s.datagram) != nil {
			return
		}
	}
}

// spend takes bytes from the share of the link; false: it is used up.
func (s *peers) spend(size int) bool {
	link := s.proxy.options.LinkBytesPerS
	if link <= 0 {
		link = unknownLink
	}
	now, rate := s.proxy.loop.Now(), noticeShare*link
	s.budget = min(s.budget+rate*(now-s.earnedAt), rate*noticeSpan)
	s.earnedAt = now
	bytes := float64(size)
	if bytes > s.budget {
		s.proxy.Figures.NoticesWithheld++
		return false
	}
	s.budget -= bytes
	return true
}

// take takes a datagram; one that makes no sense is passed over.
func (s *peers) take(datagram []byte) {
	notice, relayed, ok := readNotice(datagram)
	if !ok {
		return
	}
	if relayed {
		s.passOn(datagram)
	}
	s.proxy.Figures.NoticesHeard++
	s.proxy.placer.HandleNotice(s.proxy.now(), notice)
}

// A datagram is a notice's kind in one byte, the runner's key, and of a prompt its tokens.
const (
	noticeRelayed = 0x80      // bit of the kind: whoever gets it passes it on in its zone, without the bit
	noticeHead    = 1 + 8     // bytes
	mostTold      = 1<<24 - 1 // tokens of a prompt
)

func appendNotice(b []byte, notice placement.Notice) []byte {
	b = append(b, byte(notice.Kind))
	b = binary.LittleEndian.AppendUint64(b, notice.RunnerKey)
	if notice.Kind != placement.NoticePrefill {
		return b
	}
	return binary.AppendUvarint(b, uint64(min(notice.Tokens, mostTold)))
}

func readNotice(b []byte) (notice placement.Notice, relayed, ok bool) {
	if len(b) < noticeHead {
		return notice, false, false
	}
	relayed = b[0]&noticeRelayed != 0
	notice.Kind = placement.NoticeKind(b[0] &^ noticeRelayed)
	notice.RunnerKey = binary.LittleEndian.Uint64(b[1:])
	rest := b[noticeHead:]
	switch notice.Kind {
	case placement.NoticeRecovery:
		return notice, relayed, len(rest) == 0
	case placement.NoticePrefill:
		tokens, n := binary.Uvarint(rest)
		notice.Tokens = int(min(tokens, mostTold))
		return notice, relayed, n > 0 && n == len(rest) && tokens <= mostTold
	}
	return notice, relayed, false
}
