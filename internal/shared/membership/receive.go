package membership

import "math"

// Receive takes a message.
func (m *Machine) Receive(now float64, msg *Message) {
	m.now = math.Max(m.now, now)
	if m.gone || !m.started {
		return
	}
	from := &msg.From
	if from.Name == m.me.Name {
		if from.Life == m.me.Life {
			m.Own++
			return
		}
		m.claimed(from, msg)
		return
	}
	if m.withdrawn {
		return
	}
	o := m.byName[from.Name]
	if o != nil && from.Life < o.Life {
		m.Stale++
		m.send(from.Addr, &Message{Kind: News, Tell: []Record{o.told(now)}}) // it has a namesake that began later
		return
	}
	if o != nil && !o.window.fresh(from.Life, msg.N) {
		m.Repeated++
		return
	}
	m.learn(*from, from.Name)
	if o = m.byName[from.Name]; o == nil {
		return
	}
	if o.window.life != from.Life {
		o.window.fresh(from.Life, msg.N)
	}
	o.heardAt = now
	m.met = true
	var stale []Record
	for i := range msg.Tell {
		if known := m.learn(msg.Tell[i], from.Name); known != nil && msg.Kind == Page {
			stale = append(stale, *known)
		}
	}
	if o.State != Alive && from.State == Alive && from.compare(&o.Record) < 0 {
		stale = append(stale, o.told(now)) // told early that it is suspected, or held to be dead
	}
	m.answer(o, msg)
	if len(stale) > 0 {
		m.page(from.Addr, stale)
	}
	m.compareViews(o, msg)
	if m.Rider != nil && len(msg.Ride) > 0 {
		for _, ride := range m.Rider.Hear(m.now, o.Name, msg.Ride) {
			m.send(from.Addr, &Message{Kind: News, Ride: ride})
		}
	}
}

// answer does what a message asks for.
func (m *Machine) answer(o *member, msg *Message) {
	switch msg.Kind {
	case Ping:
		if msg.About != nil && msg.About.Name != m.me.Name {
			return // whoever was here before
		}
		if msg.About != nil && msg.About.State != Alive {
			m.learn(*msg.About, o.Name) // told early
		}
		self := m.bare()
		m.send(msg.From.Addr, &Message{Kind: Ack, Seq: msg.Seq, About: &self})
	case PingReq:
		if len(m.relays) == mostRelays {
			return
		}
		m.seq++
		m.relays = append(m.relays, relay{seq: m.seq, theirs: msg.Seq, to: msg.From.Addr, about: *msg.About, at: m.now})
		m.send(msg.About.Addr, &Message{Kind: Ping, Seq: m.seq, About: msg.About})
	case Ack:
		m.acked(msg)
	case Nack:
		if msg.Seq == m.probe.seq && !m.probe.acked {
			m.probe.nacks++
		}
	case Parts:
		m.differing(msg)
	}
}
