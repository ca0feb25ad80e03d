package membership

import "math"

// HandleMessage takes a message.
func (m *Node) HandleMessage(now float64, msg *Message) {
	m.now = math.Max(m.now, now)
	if m.left || !m.started {
		return
	}
	from := &msg.From
	if from.Name == m.self.Name {
		if from.Generation == m.self.Generation {
			m.OwnMessages++
			return
		}
		m.handleNameClaim(from, msg)
		return
	}
	if m.withdrawn {
		return
	}
	o := m.byName[from.Name]
	if o != nil && from.Generation < o.Generation {
		m.Stale++
		m.send(from.Addr, &Message{Kind: Update, Records: []Record{o.outgoingRecord(now)}}) // it has a namesake that began later
		return
	}
	if o != nil && !o.replay.accept(from.Generation, msg.Number) {
		m.Duplicates++
		return
	}
	m.merge(*from, from.Name)
	if o = m.byName[from.Name]; o == nil {
		return
	}
	if o.replay.generation != from.Generation {
		o.replay.accept(from.Generation, msg.Number)
	}
	o.lastContact = now
	m.contacted = true
	var stale []Record
	for i := range msg.Records {
		if known := m.merge(msg.Records[i], from.Name); known != nil && msg.Kind == Records {
			stale = append(stale, *known)
		}
	}
	if o.State != Alive && from.State == Alive && from.compare(&o.Record) < 0 {
		stale = append(stale, o.outgoingRecord(now)) // told early that it is suspected, or held to be dead
	}
	m.handleRequest(o, msg)
	if len(stale) > 0 {
		m.sendRecords(from.Addr, stale)
	}
	m.compareViews(o, msg)
	if m.Delegate != nil && len(msg.Payload) > 0 {
		for _, ride := range m.Delegate.HandlePayload(m.now, o.Name, msg.Payload) {
			m.send(from.Addr, &Message{Kind: Update, Payload: ride})
		}
	}
}

// handleRequest does what a message asks for.
func (m *Node) handleRequest(o *member, msg *Message) {
	switch msg.Kind {
	case Ping:
		if msg.Subject != nil && msg.Subject.Name != m.self.Name {
			return // whoever was here before
		}
		if msg.Subject != nil && msg.Subject.State != Alive {
			m.merge(*msg.Subject, o.Name) // told early
		}
		self := m.selfRecord()
		m.send(msg.From.Addr, &Message{Kind: Ack, Seq: msg.Seq, Subject: &self})
	case IndirectPing:
		if len(m.indirectProbes) == maxIndirectProbes {
			return
		}
		m.probeSeq++
		m.indirectProbes = append(m.indirectProbes, indirectProbe{seq: m.probeSeq, requesterSeq: msg.Seq, requester: msg.From.Addr, target: *msg.Subject, sentAt: m.now})
		m.send(msg.Subject.Addr, &Message{Kind: Ping, Seq: m.probeSeq, Subject: msg.Subject})
	case Ack:
		m.handleAck(msg)
	case Nack:
		if msg.Seq == m.probe.seq && !m.probe.acked {
			m.probe.nacks++
		}
	case Digests:
		m.handleDigests(msg)
	}
}
