package membership

import (
	"math"
	"net/netip"
	"slices"
	"strings"
)

// Announce sends the news at once to all members that are not known to be gone and for which to holds.
func (m *Machine) Announce(now float64, to func(*Record) bool) {
	if !m.started || m.gone || m.withdrawn {
		return
	}
	m.now = math.Max(m.now, now)
	for _, o := range m.members {
		if o.State <= Suspect && to(&o.Record) {
			m.send(o.Addr, &Message{Kind: News})
		}
	}
}

// send finishes a message: who it is from, what is held, and what is new.
func (m *Machine) send(to netip.AddrPort, msg *Message) {
	if to == m.me.Addr {
		return
	}
	m.sent++
	msg.Fleet, msg.N = m.Fleet, m.sent
	msg.From = m.me.Record
	msg.From.FactsOf = nil
	msg.View, msg.Names, msg.Facts = m.view, m.names, m.facts
	if msg.Kind != Page && msg.Kind != Parts && msg.Ride == nil {
		m.addNews(msg)
		if m.Rider != nil {
			msg.Ride = m.Rider.Ride(m.now, roomToRide)
		}
	}
	m.out = append(m.out, Packet{to, msg})
}

// bare is the own record without what rides along.
func (m *Machine) bare() Record {
	r := m.me.Record
	r.FactsOf = nil
	return r
}

// told is a record as it goes out.
func (o *member) told(now float64) Record {
	r := o.Record
	if r.State == Dead {
		r.Ago = float32(math.Max(0, now-o.endedAt))
	}
	if r.State != Suspect {
		r.By = ""
	}
	return r
}

func (m *Machine) find(name string) (int, bool) {
	return slices.BinarySearchFunc(m.members, name, func(o *member, name string) int { return strings.Compare(o.Name, name) })
}

// some draws members that are alive, at most n, without the one named.
func (m *Machine) some(n int, but string) (picked []*member) {
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
