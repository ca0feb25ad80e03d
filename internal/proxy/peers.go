package proxy

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cinderroad/internal/feed"
	"cinderroad/internal/placement"
	"cinderroad/internal/transport"
)

const (
	noticeShare   = 0.02  // of the machine's link, for what other proxies are told
	noticeSpan    = 1.0   // seconds of that share that may be spent at once
	unknownLink   = 125e6 // bytes a second, where the settings name no bound
	datagramHead  = 28    // bytes of a datagram's headers
	mostListeners = 256   // proxies of a region that are told
)

// peers are the other proxies. Each is told by datagram which prompts the runners of its region are given to read, and
// which runners answer again. A datagram that is lost costs a worse choice and nothing else.
type peers struct {
	proxy    *Proxy
	socket   *transport.Socket
	byRegion map[string][]netip.AddrPort
	budget   float64 // bytes that may be sent now
	earnedAt float64 // seconds of the loop's clock
	datagram []byte
}

func newPeers(p *Proxy) *peers {
	return &peers{proxy: p, byRegion: map[string][]netip.AddrPort{}, earnedAt: p.loop.Now() - noticeSpan}
}

// listen opens the socket. The proxy does its work without it, too.
func (s *peers) listen() {
	address := s.proxy.options.Peers
	if !address.IsValid() || s.socket != nil {
		return
	}
	socket, err := s.proxy.loop.ListenDatagrams(address, s.take)
	if err != nil {
		s.proxy.log.Warn("other proxies are not heard, check that no other process holds the port", zap.Error(err))
		return
	}
	s.socket = socket
}

// takePeers replaces the other proxies.
func (p *Proxy) takePeers(told []feed.Peer) {
	keys := make([]uint64, 0, len(told))
	clear(p.peers.byRegion)
	for i := range told {
		keys = append(keys, xxhash.Sum64String(told[i].Node))
		p.peers.add(p.control.zones[told[i].Zone], told[i].Address)
	}
	p.placer.SetPeers(p.now(), xxhash.Sum64String(p.options.Node), keys)
}

// add names a proxy that is to be told; without a region it is told nothing.
func (s *peers) add(region string, machine netip.Addr) {
	listeners := s.byRegion[region]
	if region == "" || !machine.IsValid() || len(listeners) >= mostListeners {
		return
	}
	s.byRegion[region] = append(listeners, netip.AddrPortFrom(machine, s.proxy.options.Peers.Port()))
}

// tellReading tells the proxies of the runner's region which prompt an attempt has the runner read.
func (s *peers) tellReading(a *placement.Attempt) {
	if notice, worth := a.ReadingNotice(); worth {
		s.tell(s.byRegion[a.Region()], notice)
	}
}

// tellAnswers tells all proxies that the runner of an attempt answers again.
func (s *peers) tellAnswers(a *placement.Attempt) {
	notice, worth := a.AnswersNotice()
	if !worth {
		return
	}
	for _, listeners := range s.byRegion {
		s.tell(listeners, notice)
	}
}

// tell sends a notice, if the share of the link bears it.
func (s *peers) tell(listeners []netip.AddrPort, notice placement.Notice) {
	if s.socket == nil {
		return
	}
	s.datagram = appendNotice(s.datagram[:0], notice)
	if !s.spend(float64(len(listeners) * (datagramHead + len(s.datagram)))) {
		return
	}
	for _, listener := range listeners {
		if s.socket.SendTo(listener, s.datagram) != nil {
			return // the system has no room, or there is no way: the others learn of it by what they wait
		}
	}
}

// spend takes bytes from the share of the link; false: it is used up.
func (s *peers) spend(bytes float64) bool {
	link := s.proxy.options.LinkBytesPerS
	if link <= 0 {
		link = unknownLink
	}
	now, rate := s.proxy.loop.Now(), noticeShare*link
	s.budget = min(s.budget+rate*(now-s.earnedAt), rate*noticeSpan)
	s.earnedAt = now
	if bytes > s.budget {
		return false
	}
	s.budget -= bytes
	return true
}

// take takes a datagram; one that makes no sense is passed over.
func (s *peers) take(datagram []byte) {
	if notice, ok := readNotice(datagram); ok {
		s.proxy.placer.Heard(s.proxy.now(), notice)
	}
}

// The kinds of notices, by the first byte of a datagram. The runner's key follows, and of a prompt its tokens.
const (
	noticeReading = 1
	noticeAnswers = 2
	noticeHead    = 1 + 8     // bytes
	mostTold      = 1<<24 - 1 // tokens of a prompt
)

func appendNotice(b []byte, notice placement.Notice) []byte {
	kind := byte(noticeReading)
	if notice.Answers {
		kind = noticeAnswers
	}
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint64(b, notice.Runner)
	if notice.Answers {
		return b
	}
	return binary.AppendUvarint(b, uint64(min(notice.Tokens, mostTold)))
}

func readNotice(b []byte) (notice placement.Notice, ok bool) {
	if len(b) < noticeHead {
		return notice, false
	}
	notice.Runner = binary.LittleEndian.Uint64(b[1:])
	rest := b[noticeHead:]
	switch b[0] {
	case noticeAnswers:
		notice.Answers = true
		return notice, len(rest) == 0
	case noticeReading:
		tokens, n := binary.Uvarint(rest)
		if n <= 0 || n != len(rest) || tokens > mostTold {
			return placement.Notice{}, false
		}
		notice.Tokens = int(tokens)
		return notice, true
	}
	return placement.Notice{}, false
}
