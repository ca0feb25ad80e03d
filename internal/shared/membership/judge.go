package membership

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// This file is how members are asked, doubted and given up.

// timeoutFactor is what the own health stretches times by: one that is slow itself does not blame others for it.
func (m *Node) timeoutFactor() float64 {
	if m.PlainSWIM {
		return 1
	}
	return float64(1 + m.awareness)
}

func (m *Node) adjustAwareness(by int) { m.awareness = min(max(m.awareness+by, 0), maxAwareness-1) }

// advanceProbe moves the question at hand on, and puts the next one once its time is over.
func (m *Node) advanceProbe() {
	p := &m.probe
	if o := m.byName[p.name]; o != nil && p.indirect && !p.acked && !m.PlainSWIM && m.now >= p.retryAt {
		p.retryAt = m.now + probeRetryInterval*m.ProbeInterval*m.timeoutFactor()
		m.sendPing(o, p.seq) // a datagram or its answer may be lost, and a suspicion costs everybody more than this
	}
	if p.name != "" && !p.acked && !p.indirect && m.now >= p.sentAt+indirectProbeDelay*m.ProbeInterval*m.timeoutFactor() {
		p.indirect = true
		if o := m.byName[p.name]; o != nil {
			others := slices.DeleteFunc(m.randomMembers(indirectProbeCount, p.name), func(o *member) bool { return o.OutOfService() })
			p.expectedNacks = len(others)
			for _, via := range others {
				about := o.outgoingRecord(m.now)
				about.Metadata = nil
				m.send(via.Addr, &Message{Kind: IndirectPing, Seq: p.seq, Subject: &about})
			}
		}
		p.retryAt = m.now
	}
	if m.now < p.deadline {
		return
	}
	if o := m.byName[p.name]; o != nil && p.name != "" && !p.acked && o.State <= Suspect {
		m.FailedProbes++
		// who was asked in our place and says nothing is heard as little as the one in doubt: that may be us
		m.adjustAwareness(1 + max(0, p.expectedNacks-p.nacks))
		m.merge(m.suspectRecord(o), "") // or one more witness of a suspicion that there is
	} else if p.name != "" && p.acked {
		m.adjustAwareness(-1)
	}
	m.startProbe()
}

// suspectRecord is the record that says that a member did not answer us.
func (m *Node) suspectRecord(o *member) Record {
	r := o.Record
	r.State, r.SuspectedBy = Suspect, m.self.Name
	return r
}

// startProbe asks the next member, in a shuffled order in which each has its turn once.
func (m *Node) startProbe() {
	m.probe = probe{deadline: m.now + m.ProbeInterval}
	for tries := 0; tries <= len(m.members); tries++ {
		if len(m.probeOrder) == 0 {
			for _, o := range m.members {
				m.probeOrder = append(m.probeOrder, o.Name)
			}
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		}
		if len(m.probeOrder) == 0 {
			return
		}
		o := m.byName[m.probeOrder[len(m.probeOrder)-1]]
		m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
		if o == nil || o.State > Suspect {
			continue
		}
		m.probeSeq++
		m.Probes++
		m.probe = probe{name: o.Name, seq: m.probeSeq, sentAt: m.now, deadline: m.now + m.ProbeInterval*m.timeoutFactor()}
		m.sendPing(o, m.probeSeq)
		return
	}
}

func (m *Node) sendPing(o *member, seq uint64) {
	about := o.outgoingRecord(m.now)
	about.Metadata = nil
	if m.PlainSWIM {
		about.State, about.SuspectedBy = Alive, ""
	}
	m.send(o.Addr, &Message{Kind: Ping, Seq: seq, Subject: &about})
}

// handleAck takes an answer: to our question, or to one that we put in another one's place.
func (m *Node) handleAck(msg *Message) {
	if msg.Seq == m.probe.seq && msg.Subject.Name == m.probe.name {
		m.probe.acked = true
	}
	for i := range m.indirectProbes {
		if r := &m.indirectProbes[i]; r.seq == msg.Seq && r.target.Name == msg.Subject.Name {
			m.send(r.requester, &Message{Kind: Ack, Seq: r.requesterSeq, Subject: msg.Subject})
			m.indirectProbes = slices.Delete(m.indirectProbes, i, i+1)
			break
		}
	}
	m.merge(*msg.Subject, msg.From.Name)
	if m.nameClaim.seq != 0 && msg.Seq == m.nameClaim.seq {
		m.handleNameClaim(msg.Subject, msg)
	}
}

// expireIndirectProbes says no where one that was asked in another one's place does not answer.
func (m *Node) expireIndirectProbes() {
	for i := range m.indirectProbes {
		if r := &m.indirectProbes[i]; !r.nacked && m.now >= r.sentAt+nackDelay*m.ProbeInterval {
			r.nacked = true
			if !m.PlainSWIM {
				about := r.target // the slice moves, and a message must not change once it is given out
				m.send(r.requester, &Message{Kind: Nack, Seq: r.requesterSeq, Subject: &about})
			}
		}
	}
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(r indirectProbe) bool { return m.now >= r.sentAt+2*m.ProbeInterval })
}

// merge takes what is told of a member; by is who tells it, empty for ourselves. What is known comes back where it is
// newer than what was told.
func (m *Node) merge(r Record, by string) *Record {
	if r.Name == m.self.Name {
		m.mergeSelf(&r)
		return nil
	}
	o := m.byName[r.Name]
	if o == nil {
		// of one that left, or was given up long ago, nothing is to be known
		if r.State == Left || r.State == Dead && float64(r.DeadFor) >= 0.9*m.DeadTTL || m.PlainSWIM && r.State == Dead {
			return nil
		}
		if len(m.members) >= maxMembers {
			m.RejectedNames++
			return nil
		}
		o = m.addMember(r)
		m.setRecord(o, r, "told by "+by, true)
		return nil
	}
	c := r.compare(&o.Record)
	if f := r.Metadata; f != nil && r.Generation == o.Generation && (o.Metadata == nil || f.Seq > o.Metadata.Seq) {
		m.countMember(o, -1)
		o.Metadata = f
		m.countMember(o, 1)
		if r.State < Dead {
			m.queueBroadcast(o.Name)
		}
	}
	switch {
	case c > 0:
		cause := "told by " + by
		if by == "" {
			cause = fmt.Sprintf("no answer to question %d (asked by %d others: %d no answer either)", m.probe.seq, m.probe.expectedNacks, m.probe.nacks)
		} else if by == r.Name {
			cause = "its own word"
		}
		m.replaceRecord(o, r, cause)
	case c == 0 && r.State == Suspect:
		m.confirmSuspicion(o, r.SuspectedBy)
	case c < 0:
		known := o.outgoingRecord(m.now)
		return &known
	}
	return nil
}

// replaceRecord has a member be what is newer.
func (m *Node) replaceRecord(o *member, r Record, cause string) {
	m.countMember(o, -1)
	if r.Metadata == nil && r.Generation == o.Generation {
		r.Metadata = o.Metadata
	}
	if r.Generation != o.Generation {
		o.replay = replayWindow{}
	}
	m.setRecord(o, r, cause, false)
}

// setRecord books a record that is new.
func (m *Node) setRecord(o *member, r Record, cause string, unknown bool) {
	was := o.State
	if was == Suspect && r.State == Alive {
		m.Refutations++
	}
	if was == Suspect && r.State != Suspect {
		m.suspicions = slices.DeleteFunc(m.suspicions, func(d *member) bool { return d == o })
	}
	o.Record = r
	o.DeadFor = 0
	if was != r.State || unknown {
		// Others' word on how long ago is for forgetting alone: a lease runs from when we know it.
		o.stateSince, o.deadSince = m.now, m.now-float64(r.DeadFor)
		m.changes = append(m.changes, Change{Name: o.Name, From: was, To: r.State, New: unknown, Incarnation: r.Incarnation, Cause: cause})
	}
	if r.State == Suspect {
		if was != Suspect || unknown {
			m.Suspicions++
			m.suspicions = append(m.suspicions, o)
			o.suspectedAt = m.now
		}
		o.suspectedBy = append(o.suspectedBy[:0], r.SuspectedBy)
		o.suspicionDeadline = o.suspectedAt + m.suspicionTimeout(0)
	}
	if r.State == Dead && was != Dead {
		m.Deaths++
	}
	m.countMember(o, 1)
	m.queueBroadcast(o.Name)
}

func (m *Node) addMember(r Record) *member {
	o := &member{key: Key(r.Name), lastReconnect: m.now}
	i, _ := m.searchMember(r.Name)
	m.members = slices.Insert(m.members, i, o)
	m.byName[r.Name] = o
	// its first turn comes at a random place of the round under way, as in SWIM
	at := m.rng.IntN(len(m.probeOrder) + 1)
	m.probeOrder = slices.Insert(m.probeOrder, at, r.Name)
	return o
}

// logScale is a decimal logarithm of the members, 1 at least.
func logScale(n int) float64 { return math.Max(1, math.Log10(float64(n+1))) }

func retransmitLimit(times float64, others int) int { return int(math.Ceil(times * logScale(others))) }

// suspicionTimeout is how long a suspicion lasts that so many others confirm (Lifeguard, section IV.B).
func (m *Node) suspicionTimeout(confirmed int) float64 {
	least := suspicionMult * logScale(len(m.members)) * m.ProbeInterval
	wanted := min(suspicionConfirmations, len(m.members)-2) // a third one must exist to confirm anything
	if m.PlainSWIM || wanted < 1 {
		return least
	}
	most := suspicionMaxMult * least
	return math.Max(least, most-(most-least)*math.Log(float64(confirmed+1))/math.Log(float64(wanted+1)))
}

// MaxSuspicionTimeout is how long a suspicion lasts at most, in a fleet of so many, in seconds.
func MaxSuspicionTimeout(members int, period float64) float64 {
	return suspicionMaxMult * suspicionMult * logScale(members) * period
}

// confirmSuspicion takes another witness.
func (m *Node) confirmSuspicion(o *member, by string) {
	if m.PlainSWIM || by == "" || slices.Contains(o.suspectedBy, by) || len(o.suspectedBy) > suspicionConfirmations {
		return
	}
	o.suspectedBy = append(o.suspectedBy, by)
	o.SuspectedBy = by
	o.suspicionDeadline = o.suspectedAt + m.suspicionTimeout(len(o.suspectedBy)-1)
	m.queueBroadcast(o.Name)
}

// expireSuspicions gives up those whose suspicion is over.
func (m *Node) expireSuspicions() {
	for i := len(m.suspicions) - 1; i >= 0; i-- {
		o := m.suspicions[i]
		if m.now < o.suspicionDeadline {
			continue
		}
		r := o.Record
		r.State = Dead
		m.replaceRecord(o, r, fmt.Sprintf("suspected for %.2f s, witnesses %s", m.now-o.suspectedAt, strings.Join(o.suspectedBy, ", ")))
	}
}

// mergeSelf takes what is told of ourselves.
func (m *Node) mergeSelf(r *Record) {
	switch {
	case r.Generation > m.self.Generation:
		m.handleNameClaim(r, nil)
	case r.Generation < m.self.Generation:
		m.queueBroadcast(m.self.Name)
	case r.Incarnation > m.self.Incarnation || r.Incarnation == m.self.Incarnation && r.State != Alive:
		if r.Incarnation+1 >= maxIncarnation {
			return
		}
		m.toggleSelfDigest()
		m.self.Incarnation = r.Incarnation + 1
		m.toggleSelfDigest()
		if r.State >= Dead { // those who held us so may have divided our share among themselves
			m.resetRecognition()
		}
		if r.State != Alive {
			m.SelfRefutations++
			if !m.PlainSWIM {
				m.adjustAwareness(1)
			}
		}
		m.queueBroadcast(m.self.Name)
	}
}

// pingSeeds asks those seeds that no living member is known to stand at.
func (m *Node) pingSeeds() {
	m.nextReconnect = m.now + reconnectInterval*m.ProbeInterval*(0.75+0.5*m.rng.Float64())
	if len(m.members) == 0 {
		m.nextReconnect = m.now + m.ProbeInterval*(0.75+0.5*m.rng.Float64())
	}
	for _, seed := range m.Seeds {
		if seed != m.self.Addr && !slices.ContainsFunc(m.members, func(o *member) bool { return o.Addr == seed && o.State == Alive }) {
			m.probeSeq++
			m.send(seed, &Message{Kind: Ping, Seq: m.probeSeq})
		}
	}
}

// pingDead asks the one that is dead and was asked longest ago, so that halves of a fleet find each other again.
func (m *Node) pingDead() {
	if m.dead == 0 || m.PlainSWIM {
		return
	}
	var next *member
	for _, o := range m.members {
		if o.State == Dead && (next == nil || o.lastReconnect < next.lastReconnect) {
			next = o
		}
	}
	if next != nil {
		next.lastReconnect = m.now
		m.probeSeq++
		m.sendPing(next, m.probeSeq)
	}
}

// removeExpired drops those that are dead or have left for long.
func (m *Node) removeExpired() {
	m.members = slices.DeleteFunc(m.members, func(o *member) bool {
		old := o.State >= Dead && m.now-o.deadSince > m.DeadTTL
		if old {
			m.countMember(o, -1)
			delete(m.byName, o.Name)
		}
		return old
	})
}

// ---- two processes under one name ----

// nameClaim is a process that says it has the own name and began later.
type nameClaim struct {
	generation uint64
	addr       netip.AddrPort
	seq        uint64
	attempts   int
	retryAt    float64
}

// handleNameClaim takes word of a process with the own name; msg is that process's own message, or nil where others tell of it.
func (m *Node) handleNameClaim(r *Record, msg *Message) {
	if r.Generation < m.self.Generation {
		if msg != nil { // it does not know yet, or asks whether we are here
			self := m.selfRecord()
			m.send(r.Addr, &Message{Kind: Ack, Seq: msg.Seq, Subject: &self})
			m.NameClaims++
		}
		return
	}
	if r.Generation == m.self.Generation {
		return
	}
	if r.State >= Dead || r.Addr == m.self.Addr { // its clock was ahead, and it has gone: nobody but us can stand here
		m.advanceGeneration(r.Generation)
		return
	}
	if msg != nil && msg.Kind == Ack && m.nameClaim.seq != 0 && msg.Seq == m.nameClaim.seq { // it has answered us
		m.withdraw(r)
		return
	}
	if m.nameClaim.generation >= r.Generation || m.withdrawn {
		return
	}
	m.NameClaims++
	m.nameClaim = nameClaim{generation: r.Generation, addr: r.Addr, retryAt: m.now}
	m.probeNameClaim()
}

// probeNameClaim asks the one that claims the name: a word may be a lie, or of a clock that was wrong, and is cheap; an answer from
// its address is not.
func (m *Node) probeNameClaim() {
	c := &m.nameClaim
	if c.generation == 0 || m.now < c.retryAt {
		return
	}
	if c.attempts == nameClaimAttempts {
		m.advanceGeneration(c.generation)
		return
	}
	m.probeSeq++
	if c.seq == 0 {
		c.seq = m.probeSeq
	}
	c.attempts++
	c.retryAt = m.now + m.ProbeInterval
	m.send(c.addr, &Message{Kind: Ping, Seq: c.seq})
}

// advanceGeneration takes a life later than that of a process which has gone, or never was.
func (m *Node) advanceGeneration(generation uint64) {
	m.nameClaim = nameClaim{}
	if generation+1 == 0 || m.withdrawn {
		return
	}
	m.toggleSelfDigest()
	m.self.Generation, m.self.Incarnation = generation+1, 0
	m.Generation = m.self.Generation
	m.toggleSelfDigest()
	m.changes = append(m.changes, Change{Name: m.self.Name, Cause: "a later start under this name is known, and nobody stands there: begun anew after it"})
	m.queueBroadcast(m.self.Name)
}

// withdraw leaves the name to the process that began later.
func (m *Node) withdraw(r *Record) {
	if m.withdrawn {
		return
	}
	m.withdrawn, m.recognized = true, false
	m.Withdrawals++
	m.nameClaim = nameClaim{generation: r.Generation, addr: r.Addr}
	m.nameReclaimAt = m.now + nameReclaimInterval*m.ProbeInterval
	m.changes = append(m.changes, Change{Name: m.self.Name, To: Left,
		Cause: fmt.Sprintf("another process has this name, at %s, and began later: this one takes no part until it has gone", r.Addr)})
}

// reclaimName looks whether the name is free again: the other one is asked, and if it does not answer, outlived.
func (m *Node) reclaimName() {
	if m.now < m.nameReclaimAt {
		return
	}
	m.nameReclaimAt = m.now + nameReclaimInterval*m.ProbeInterval
	m.withdrawn = false
	m.self.State = Alive
	m.nameClaim = nameClaim{generation: m.nameClaim.generation, addr: m.nameClaim.addr, retryAt: m.now}
	m.probeNameClaim()
}

// Withdrawn says whether another process has the name.
func (m *Node) Withdrawn() bool { return m.withdrawn }
