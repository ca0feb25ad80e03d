package membership

import (
	"net/netip"
	"slices"
)

// probe is the probe of one member within a probe interval. name is empty if there is nobody to probe.
type probe struct {
	name                 string
	seq                  uint64
	sentAt               float64 // time of the first ping
	deadline             float64 // time when the probe ends
	indirect             bool    // other members were asked to ping
	retryAt              float64 // time of the next ping, once indirect
	acked                bool
	nacks, expectedNacks int // while indirect
}

// indirectProbe is a ping sent on behalf of another member.
type indirectProbe struct {
	seq          uint64 // of this node's ping
	requesterSeq uint64 // of the requester's probe
	requester    netip.AddrPort
	target       Record
	sentAt       float64
	nacked       bool // a nack was sent to the requester
}

// timeoutFactor lengthens timeouts: a node that is slow itself must not suspect others for it.
func (n *Node) timeoutFactor() float64 {
	if n.PlainSWIM {
		return 1
	}
	return float64(1 + n.awareness)
}

// adjustAwareness changes the local health multiplier of Lifeguard within its bounds.
func (n *Node) adjustAwareness(by int) { n.awareness = min(max(n.awareness+by, 0), maxAwareness-1) }

// advanceProbe acts on the deadlines of the current probe, and starts the next one when its time is over.
func (n *Node) advanceProbe() {
	current := &n.probe
	peer := n.byName[current.name] // nil if there is nobody to probe, or the member was removed
	if peer != nil && current.indirect && !current.acked && !n.PlainSWIM && n.now >= current.retryAt {
		current.retryAt = n.now + probeRetryInterval*n.ProbeInterval*n.timeoutFactor()
		n.sendPing(peer, current.seq) // a datagram may be lost, and a ping costs less than a suspicion does
	}
	isDirect := current.name != "" && !current.acked && !current.indirect
	if isDirect && n.now >= current.sentAt+indirectProbeDelay*n.ProbeInterval*n.timeoutFactor() {
		n.probeIndirectly()
	}
	if n.now < current.deadline {
		return
	}
	if peer != nil && !current.acked && peer.State <= Suspect {
		n.FailedProbes++
		// missing nacks as well as a missing ack point to this node
		n.adjustAwareness(1 + max(0, current.expectedNacks-current.nacks))
		n.merge(n.suspectRecord(peer), "") // starts a suspicion, or confirms one
	} else if current.name != "" && current.acked {
		n.adjustAwareness(-1)
	}
	n.startProbe()
}

// probeIndirectly asks a few other members to ping the member that is being probed.
func (n *Node) probeIndirectly() {
	current := &n.probe
	current.indirect = true
	current.retryAt = n.now
	peer := n.byName[current.name]
	if peer == nil {
		return
	}
	helpers := n.randomMembers(indirectProbeCount, current.name)
	helpers = slices.DeleteFunc(helpers, func(helper *member) bool { return helper.OutOfService() })
	current.expectedNacks = len(helpers)
	for _, helper := range helpers {
		subject := peer.outgoingRecord(n.now)
		subject.Metadata = nil
		n.send(helper.Addr, &Message{Kind: IndirectPing, Seq: current.seq, Subject: &subject})
	}
}

// startProbe probes the next member of a shuffled order in which each has one turn.
func (n *Node) startProbe() {
	n.probe = probe{deadline: n.now + n.ProbeInterval}
	for tries := 0; tries <= len(n.members); tries++ {
		if len(n.probeOrder) == 0 {
			for _, peer := range n.members {
				n.probeOrder = append(n.probeOrder, peer.Name)
			}
			n.rng.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
		}
		if len(n.probeOrder) == 0 {
			return
		}
		peer := n.byName[n.probeOrder[len(n.probeOrder)-1]]
		n.probeOrder = n.probeOrder[:len(n.probeOrder)-1]
		if peer == nil || peer.State > Suspect {
			continue
		}
		n.probeSeq++
		n.Probes++
		n.probe = probe{
			name:     peer.Name,
			seq:      n.probeSeq,
			sentAt:   n.now,
			deadline: n.now + n.ProbeInterval*n.timeoutFactor(),
		}
		n.sendPing(peer, n.probeSeq)
		return
	}
}

// sendPing pings a member, and tells it what this node holds of it, so that it can refute a suspicion.
func (n *Node) sendPing(peer *member, seq uint64) {
	subject := peer.outgoingRecord(n.now)
	subject.Metadata = nil
	if n.PlainSWIM {
		subject.State, subject.SuspectedBy = Alive, ""
	}
	n.send(peer.Addr, &Message{Kind: Ping, Seq: seq, Subject: &subject})
}

// handleAck handles an ack of this node's own ping, or of one that it sent for another member, to which it forwards the
// ack.
func (n *Node) handleAck(msg *Message) {
	if msg.Seq == n.probe.seq && msg.Subject.Name == n.probe.name {
		n.probe.acked = true
	}
	for i := range n.indirectProbes {
		if p := &n.indirectProbes[i]; p.seq == msg.Seq && p.target.Name == msg.Subject.Name {
			n.send(p.requester, &Message{Kind: Ack, Seq: p.requesterSeq, Subject: msg.Subject})
			n.indirectProbes = slices.Delete(n.indirectProbes, i, i+1)
			break
		}
	}
	n.merge(*msg.Subject, msg.From.Name)
	if n.nameClaim.seq != 0 && msg.Seq == n.nameClaim.seq {
		n.handleNameClaim(msg.Subject, msg)
	}
}

// expireIndirectProbes sends a nack for each ping on behalf of another member that has not been acknowledged in time.
func (n *Node) expireIndirectProbes() {
	for i := range n.indirectProbes {
		if p := &n.indirectProbes[i]; !p.nacked && n.now >= p.sentAt+nackDelay*n.ProbeInterval {
			p.nacked = true
			if !n.PlainSWIM {
				target := p.target // a message must not change after it is handed out, and the slice moves
				n.send(p.requester, &Message{Kind: Nack, Seq: p.requesterSeq, Subject: &target})
			}
		}
	}
	n.indirectProbes = slices.DeleteFunc(n.indirectProbes, func(p indirectProbe) bool {
		return n.now >= p.sentAt+indirectProbeTTL*n.ProbeInterval
	})
}
