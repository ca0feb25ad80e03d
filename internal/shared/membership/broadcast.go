package membership

import (
	"math"
	"slices"
)

// broadcast is a member whose record is to be disseminated.
type broadcast struct {
	name      string
	transmits int // times that it was sent
}

// GossipNow sends broadcasts and the delegate's payload at once, not at the next tick.
func (n *Node) GossipNow(now float64) {
	if n.started && !n.left && !n.withdrawn {
		n.now = math.Max(n.now, now)
		n.gossip()
	}
}

// queueBroadcast starts to disseminate a member's record, anew if it was queued before.
func (n *Node) queueBroadcast(name string) {
	n.lastUpdateAt = n.now
	for i := range n.broadcasts {
		if n.broadcasts[i].name == name {
			n.broadcasts[i].transmits = 0
			return
		}
	}
	n.broadcasts = append(n.broadcasts, broadcast{name: name})
}

// appendBroadcasts adds the records that were sent least often, as far as they fit.
func (n *Node) appendBroadcasts(msg *Message) {
	if len(n.broadcasts) == 0 || len(msg.Records) > 0 {
		return
	}
	slices.SortStableFunc(n.broadcasts, func(a, b broadcast) int { return a.transmits - b.transmits })
	remaining := recordsBudget
	if msg.Subject != nil {
		remaining -= msg.Subject.maxEncodedSize()
	}
	limit := retransmitLimit(len(n.members))
	for i := range n.broadcasts {
		b := &n.broadcasts[i]
		record, known := n.recordOf(b.name)
		if !known { // removed meanwhile
			b.transmits = limit
			continue
		}
		remaining -= record.maxEncodedSize()
		if remaining < 0 || len(msg.Records) == maxRecords {
			break
		}
		msg.Records = append(msg.Records, record)
		b.transmits++
	}
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(b broadcast) bool { return b.transmits >= limit })
}

// recordOf returns the record of a member, which may be this one, as it is sent.
func (n *Node) recordOf(name string) (record Record, known bool) {
	if name == n.self.Name {
		return n.self.Record, true
	}
	if peer := n.byName[name]; peer != nil {
		return peer.outgoingRecord(n.now), true
	}
	return Record{}, false
}

// gossip sends broadcasts and urgent payloads to random members.
func (n *Node) gossip() {
	if n.PlainSWIM || !n.hasUrgent() {
		return
	}
	for _, peer := range n.randomMembers(gossipFanout, "") {
		if !n.hasUrgent() { // the message before may have taken all
			return
		}
		n.send(peer.Addr, &Message{Kind: Update})
	}
}

// hasUrgent reports whether there is anything that should be sent without waiting for a message to go along with.
func (n *Node) hasUrgent() bool {
	return len(n.broadcasts) > 0 || n.Delegate != nil && n.Delegate.HasUrgent()
}

// Announce sends the broadcasts at once to all alive and suspect members that are selected by their record.
func (n *Node) Announce(now float64, selects func(*Record) bool) {
	if !n.started || n.left || n.withdrawn {
		return
	}
	n.now = math.Max(n.now, now)
	for _, peer := range n.members {
		if peer.State <= Suspect && selects(&peer.Record) {
			n.send(peer.Addr, &Message{Kind: Update})
		}
	}
}

// retransmitLimit returns how often a broadcast is sent in a cluster with the given number of other members.
func retransmitLimit(others int) int { return int(math.Ceil(retransmitMultiplier * logScale(others))) }
