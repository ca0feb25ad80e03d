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
	limit := retransmitLimit(retransmitMultiplier, len(n.members))
	for i := range n.broadcasts {
		var record Record
		if b := &n.broadcasts[i]; b.name == n.self.Name {
			record = n.self.Record
		} else if peer := n.byName[b.name]; peer != nil {
			record = peer.outgoingRecord(n.now)
		} else {
			b.transmits = limit
			continue
		}
		if remaining -= record.maxEncodedSize(); remaining < 0 || len(msg.Records) == maxRecords {
			break
		}
		msg.Records = append(msg.Records, record)
		n.broadcasts[i].transmits++
	}
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(b broadcast) bool { return b.transmits >= limit })
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

// Announce sends the broadcasts at once to all alive and suspect members for which to returns true.
func (n *Node) Announce(now float64, to func(*Record) bool) {
	if !n.started || n.left || n.withdrawn {
		return
	}
	n.now = math.Max(n.now, now)
	for _, peer := range n.members {
		if peer.State <= Suspect && to(&peer.Record) {
			n.send(peer.Addr, &Message{Kind: Update})
		}
	}
}

// retransmitLimit returns how often a broadcast is sent.
func retransmitLimit(times float64, others int) int { return int(math.Ceil(times * logScale(others))) }
