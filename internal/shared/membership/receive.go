package membership

import (
	"math"
	"net/netip"
)

// HandleMessage handles a message that Decode returned. It does not change the message.
func (n *Node) HandleMessage(now float64, msg *Message) {
	n.now = math.Max(n.now, now)
	if n.left || !n.started {
		return
	}
	if msg.From.Name == n.self.Name {
		n.handleOwnName(msg)
		return
	}
	if n.withdrawn {
		return
	}
	peer := n.acceptSender(now, msg)
	if peer == nil {
		return
	}
	newer := n.mergeRecords(now, peer, msg)
	n.handleRequest(peer, msg)
	if len(newer) > 0 {
		n.sendRecords(msg.From.Addr, newer)
	}
	n.compareViews(peer, msg)
	if n.Delegate != nil && len(msg.Payload) > 0 {
		for _, reply := range n.Delegate.HandlePayload(n.now, peer.Name, msg.Payload) {
			n.send(msg.From.Addr, &Message{Kind: Update, Payload: reply})
		}
	}
}

// handleOwnName handles a message of this node itself, or of another process with its name.
func (n *Node) handleOwnName(msg *Message) {
	if msg.From.Generation == n.self.Generation {
		n.OwnMessages++
		return
	}
	n.handleNameClaim(&msg.From, msg)
}

// acceptSender merges the record of a message's sender and returns the member. It returns nil if the message is to be
// ignored: it was received before, is of an earlier generation, or its sender is not added to the view.
func (n *Node) acceptSender(now float64, msg *Message) *member {
	from := &msg.From
	peer := n.byName[from.Name]
	if peer != nil && from.Generation < peer.Generation {
		n.Stale++
		// lets the sender learn of the later generation
		n.send(from.Addr, &Message{Kind: Update, Records: []Record{peer.outgoingRecord(now)}})
		return nil
	}
	if peer != nil && !peer.replay.accept(from.Generation, msg.Number) {
		n.Duplicates++
		return nil
	}
	n.merge(*from, from.Name)
	peer = n.byName[from.Name]
	if peer == nil {
		return nil
	}
	if peer.replay.generation != from.Generation { // the merge has reset the window, or added the member
		peer.replay.accept(from.Generation, msg.Number)
	}
	peer.lastContact = now
	n.contacted = true
	return peer
}

// mergeRecords merges the records of a message, and returns those that this node has newer and that the sender should
// learn of.
func (n *Node) mergeRecords(now float64, peer *member, msg *Message) (newer []Record) {
	for i := range msg.Records {
		if known := n.merge(msg.Records[i], msg.From.Name); known != nil && msg.Kind == Records {
			newer = append(newer, *known)
		}
	}
	if peer.State != Alive && msg.From.State == Alive && msg.From.compare(&peer.Record) < 0 {
		newer = append(newer, peer.outgoingRecord(now)) // lets the sender refute its suspicion or death early
	}
	return newer
}

// handleRequest handles what is specific to the kind of a message.
func (n *Node) handleRequest(peer *member, msg *Message) {
	switch msg.Kind {
	case Ping:
		if msg.Subject != nil && msg.Subject.Name != n.self.Name {
			return // the ping is for another member that had this address
		}
		if msg.Subject != nil && msg.Subject.State != Alive {
			n.merge(*msg.Subject, peer.Name) // refutes a suspicion early
		}
		self := n.selfRecord()
		n.send(msg.From.Addr, &Message{Kind: Ack, Seq: msg.Seq, Subject: &self})
	case IndirectPing:
		if len(n.indirectProbes) == maxIndirectProbes {
			return
		}
		n.probeSeq++
		n.indirectProbes = append(n.indirectProbes, indirectProbe{
			seq:          n.probeSeq,
			requesterSeq: msg.Seq,
			requester:    msg.From.Addr,
			target:       *msg.Subject,
			sentAt:       n.now,
		})
		n.send(msg.Subject.Addr, &Message{Kind: Ping, Seq: n.probeSeq, Subject: msg.Subject})
	case Ack:
		n.handleAck(msg)
	case Nack:
		if msg.Seq == n.probe.seq && !n.probe.acked {
			n.probe.nacks++
		}
	case Digests:
		n.handleDigests(msg)
	}
}

// send completes a message, with broadcasts and payload as far as they fit, and queues it.
func (n *Node) send(to netip.AddrPort, msg *Message) {
	if to == n.self.Addr {
		return
	}
	n.messagesSent++
	msg.Cluster = n.Cluster
	msg.Number = n.messagesSent
	msg.From = n.selfRecord()
	msg.ViewDigest = n.viewDigest
	msg.NamesDigest = n.namesDigest
	msg.MetadataDigest = n.metadataDigest
	if msg.Kind != Records && msg.Kind != Digests && msg.Payload == nil {
		n.appendBroadcasts(msg)
		if n.Delegate != nil {
			msg.Payload = n.Delegate.Payload(n.now, payloadBudget)
		}
	}
	n.outbox = append(n.outbox, Packet{to, msg})
}
