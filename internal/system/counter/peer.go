package counter

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// never is a time before all others.
const never = time.Duration(-1 << 62)

// peer is what this replica knows of another one.
type peer struct {
	Peer
	announcedZone string // by its last message; empty: none yet

	origin  Origin   // of its disk; 0: not known
	retired []Origin // of its lost disks: messages from before the loss are ignored
	// retiredAt is when the last one was added: replies to exchanges sent later come from the present disk.
	retiredAt time.Duration
	vector    VersionVector // what it holds durably

	inFlight        bool
	sentAt          time.Duration // of the exchange in flight, or of the last one
	failed          bool          // the last exchange failed
	unanswered      bool          // since unansweredSince no exchange has succeeded, and one was attempted
	unansweredSince time.Duration
	replied         bool          // at least once to this process
	lastReply       time.Duration // if replied
	answeredSentAt  time.Duration // when the last exchange that succeeded was sent
	roundTrip       time.Duration // smoothed duration of its exchanges; 0: not known
	catchUpTarget   VersionVector // what it held at its first reply
	offeredAt       time.Duration // when a reply carried entries of the own origin to it
	noPullUntil     time.Duration // its last reply to a pull brought nothing
}

// zone returns the zone that the peer announces, or that it is listed with until it was heard: a list may be older than the
// machine, or not name its zone yet.
func (p *peer) zone() string { return cmp.Or(p.announcedZone, p.Zone) }

// shiftLimits moves all time limits after a pause of this process.
func (p *peer) shiftLimits(gap time.Duration) { p.unansweredSince += gap }

// excused reports whether acknowledgements do without the peer.
func (p *peer) excused(n *Node) bool { return n.now >= p.excusedFrom(n) }

// excusedFrom returns when the peer is excused if it doesn't reply before.
func (p *peer) excusedFrom(n *Node) time.Duration {
	if !p.unanswered {
		return forever
	}
	return max(p.unansweredSince+excuseAfter, n.graceEnd)
}

// responsive reports whether the peer is expected to reply to the next exchange.
func (p *peer) responsive(n *Node) bool {
	silent := p.unanswered && n.now-p.unansweredSince >= excuseAfter
	return p.replied && !p.failed && !silent
}

// SetPeers sets the other replicas. What is known of those that stay is kept; this replica's own address is ignored.
func (n *Node) SetPeers(peers []Peer, now time.Duration) {
	n.advanceClock(now)
	byAddress := make(map[netip.AddrPort]*peer, len(peers))
	var sorted []*peer
	for _, wanted := range peers {
		if wanted.Address == n.options.Address || byAddress[wanted.Address] != nil {
			continue
		}
		known := n.byAddress[wanted.Address]
		if known == nil {
			known = &peer{sentAt: never, answeredSentAt: never, offeredAt: never, vector: VersionVector{}}
		}
		known.Peer = wanted
		byAddress[wanted.Address] = known
		sorted = append(sorted, known)
	}
	slices.SortFunc(sorted, func(a, b *peer) int { return a.Address.Compare(b.Address) })
	n.peers = sorted
	n.byAddress = byAddress
	if n.pulling != nil && byAddress[n.pulling.Address] == nil {
		n.pulling = nil
	}
}

// reinstate takes the origin of a reply for that of the present disk if the exchange was sent after the last loss of a disk was
// noted: that may have been the other way round, by a late message of the lost disk.
func (p *peer) reinstate(origin Origin) {
	if p.inFlight && p.sentAt > p.retiredAt {
		p.retired = slices.DeleteFunc(p.retired, func(o Origin) bool { return o == origin })
	}
}

// byRoundTrip orders peers by the duration of their exchanges; unknown ones come last.
func byRoundTrip(a, b *peer) int {
	if unknown := cmp.Compare(boolRank(a.roundTrip == 0), boolRank(b.roundTrip == 0)); unknown != 0 {
		return unknown
	}
	return cmp.Or(cmp.Compare(a.roundTrip, b.roundTrip), a.Address.Compare(b.Address))
}

func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// learn records the vector that a replica sent. It returns false if the message is from before the loss of its disk.
func (n *Node) learn(from *Sender, vector VersionVector) bool {
	if vector[n.own.origin] > n.own.durable {
		n.beginNewOrigin() // this disk went back in time
	}
	address, err := netip.ParseAddrPort(from.Address)
	known := n.byAddress[address]
	if err != nil || known == nil {
		return true
	}
	if slices.Contains(known.retired, from.Origin) {
		return false
	}
	if known.origin != from.Origin {
		if known.origin != 0 {
			known.retired = append(known.retired, known.origin)
			known.retiredAt = n.now
		}
		known.origin = from.Origin
		known.vector = VersionVector{}
		known.replied = false // what its lost disk held is no longer to be caught up with
	}
	known.announcedZone = from.Zone
	known.vector.merge(vector)
	n.logs.noteSeen(vector, n.own.origin)
	return true
}
