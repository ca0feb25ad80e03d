package membership

import (
	"math"
	"net/netip"
	"slices"
	"strings"
)

// Announce sends the news at once to all members that are not known to be gone and for which to holds.
func (m *Node) Announce(now float64, to func(*Record) bool) {
	if !m.started || m.left || m.withdrawn {
		return
	}
	m.now = math.Max(m.now, now)
	for _, o := range m.members {
		if o.State <= Suspect && to(&o.Record) {
			m.send(o.Addr, &Message{Kind: Update})
		}
	}
}

// send finishes a message: who it is from, what is held, and what is new.
func (m *Node) send(to netip.AddrPort, msg *Message) {
	if to == m.self.Addr {
		return
	}
	m.messagesSent++
	msg.Cluster, msg.Number = m.Cluster, m.messagesSent
	msg.From = m.self.Record
	msg.From.Metadata = nil
	msg.ViewDigest, msg.NamesDigest, msg.MetadataDigest = m.viewDigest, m.namesDigest, m.metadataDigest
	if msg.Kind != Records && msg.Kind != Digests && msg.Payload == nil {
		m.appendBroadcasts(msg)
		if m.Delegate != nil {
			msg.Payload = m.Delegate.Payload(m.now, payloadBudget)
		}
	}
	m.outbox = append(m.outbox, Packet{to, msg})
}

// selfRecord is the own record without what rides along.
func (m *Node) selfRecord() Record {
	r := m.self.Record
	r.Metadata = nil
	return r
}

// outgoingRecord is a record as it goes out.
func (o *member) outgoingRecord(now float64) Record {
	r := o.Record
	if r.State == Dead {
		r.DeadFor = float32(math.Max(0, now-o.deadSince))
	}
	if r.State != Suspect {
		r.SuspectedBy = ""
	}
	return r
}

func (m *Node) searchMember(name string) (int, bool) {
	return slices.BinarySearchFunc(m.members, name, func(o *member, name string) int { return strings.Compare(o.Name, name) })
}

// randomMembers draws members that are alive, at most n, without the one named.
func (m *Node) randomMembers(n int, but string) (picked []*member) {
	if len(m.members) == 0 {
		return nil
	}
	for range 3 * n { // a draw may meet one that is not alive, or was drawn
		o := m.members[m.rng.IntN(len(m.members))]
		if o.State == Alive && o.Name != but && !slices.Contains(picked, o) {
			if picked = append(picked, o); len(picked) == n {
				break
			}
		}
	}
	return picked
}
