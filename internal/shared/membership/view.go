package membership

import (
	"math"
	"net/netip"
	"slices"
)

// This file is how the view is kept equal everywhere: digests, news, and pages of what differs.

// toggleSelfDigest books the own record in the digests, or takes it out.
func (m *Node) toggleSelfDigest() { // both are the same exclusive or
	m.viewDigest ^= m.self.Record.digest(m.self.key)
	m.metadataDigest ^= m.self.digestWithMetadata(m.self.key)
	m.namesDigest ^= m.self.key
	m.viewChanged()
	m.namesChanged()
}

// countMember books another member's record, by 1, or takes it out, by -1.
func (m *Node) countMember(o *member, by int) {
	switch o.State {
	case Alive:
		m.alive += by
	case Suspect:
		m.suspects += by
	case Dead:
		m.dead += by
	default:
		return // one that has left is forgotten at other times elsewhere: no digest may hang on it
	}
	m.viewDigest ^= o.Record.digest(o.key)
	m.metadataDigest ^= o.digestWithMetadata(o.key)
	m.viewChanged()
	if o.State != Dead {
		m.namesDigest ^= o.key
		m.namesChanged()
	}
}

func (m *Node) viewChanged() {
	m.viewEpoch++
	m.viewAgreements = 0
	m.markDiverged()
}

func (m *Node) namesChanged() {
	m.namesEpoch++
	m.namesAgreements, m.namesDifferedAt = 0, m.now
}

func (m *Node) markDiverged() {
	if m.converged {
		m.converged, m.divergedAt = false, m.now
	}
}

// agreementThreshold is how many members have to tell the same before it is taken to be everybody's.
func (m *Node) agreementThreshold() int {
	return min(m.alive, 2+int(math.Ceil(math.Log2(float64(m.alive+1)))))
}

// updateConvergence says whether the view is everybody's: as many as enough have told the same since it last changed, and nobody
// has told another for two periods. Likewise whether everybody counts this member, by the names alone.
func (m *Node) updateConvergence() {
	if 2*(m.alive+1) < m.alive+1+m.suspects+m.dead { // the others may be a fleet that goes on without us
		m.resetRecognition()
	}
	if !m.recognized && m.contacted && m.namesAgreements >= m.agreementThreshold() && m.alive > 0 && m.now-m.namesDifferedAt >= 2*m.ProbeInterval {
		m.recognized = true
	}
	if !m.converged && m.viewAgreements >= m.agreementThreshold() && m.now-m.viewDifferedAt >= 2*m.ProbeInterval {
		m.converged = true
		m.convergenceTimes = append(m.convergenceTimes, m.now-m.divergedAt)
	}
	if m.converged && m.now-m.lastUpdateAt >= 2*m.ProbeInterval { // all hold it: what is left of the news is told to those who know
		m.broadcasts = slices.DeleteFunc(m.broadcasts, func(n broadcast) bool { return n.transmits > 0 })
	}
}

// resetRecognition takes it that others may not count this member: they have to tell so anew.
func (m *Node) resetRecognition() {
	m.recognized = false
	m.namesChanged()
}

// TakeConvergenceTimes takes how long each settling took since the last call, in seconds.
func (m *Node) TakeConvergenceTimes() []float64 {
	s := m.convergenceTimes
	m.convergenceTimes = nil
	return s
}

// compareViews looks whether the sender of a message holds what we hold, and asks for what differs.
func (m *Node) compareViews(o *member, msg *Message) {
	if o.State != Alive || m.byName[o.Name] != o {
		return
	}
	if recordAgreement(&o.agreedNamesEpoch, m.namesEpoch, &m.namesAgreements, msg.NamesDigest == m.namesDigest); msg.NamesDigest != m.namesDigest {
		m.namesDifferedAt = m.now
	}
	same := msg.ViewDigest == m.viewDigest
	recordAgreement(&o.agreedViewEpoch, m.viewEpoch, &m.viewAgreements, same)
	if !same {
		m.viewDifferedAt = m.now
		m.markDiverged()
	}
	if same && msg.MetadataDigest != m.metadataDigest {
		m.lastUpdateAt = m.now
	}
	if msg.Kind == Records || msg.Kind == Digests || same && (msg.MetadataDigest == m.metadataDigest || m.now < m.nextMetadataSync) || m.now < m.nextSync ||
		m.PlainSWIM && m.now > m.self.stateSince+5*m.ProbeInterval {
		return
	}
	m.nextMetadataSync = m.now + metadataSyncInterval*m.ProbeInterval*(0.5+m.rng.Float64())
	pause := syncInterval
	if !m.recognized {
		pause = 1
	}
	m.nextSync = m.now + pause*m.ProbeInterval*(0.5+m.rng.Float64())
	m.Syncs++
	m.send(o.Addr, &Message{Kind: Digests, ShardDigests: m.shardDigests(), WantsDigests: true})
}

func recordAgreement(at *uint64, epoch uint64, count *int, same bool) {
	switch {
	case same && *at != epoch:
		*at = epoch
		*count++
	case !same && *at == epoch:
		*at = 0
		*count--
	}
}

// shardDigests are the digests of the view's parts, with facts.
func (m *Node) shardDigests() []uint64 {
	sums := make([]uint64, shardCount)
	sums[m.self.key%shardCount] ^= m.self.digestWithMetadata(m.self.key)
	for _, o := range m.members {
		if o.State <= Dead {
			sums[o.key%shardCount] ^= o.digestWithMetadata(o.key)
		}
	}
	return sums
}

// handleDigests sends the records of the parts that differ, from a random one on: what finds no room in a period's pages has
// its turn in another.
func (m *Node) handleDigests(msg *Message) {
	if len(msg.ShardDigests) != shardCount {
		return
	}
	mine := m.shardDigests()
	first := uint64(m.rng.IntN(shardCount))
	var records []Record
	by := make([][]*member, shardCount)
	for _, o := range m.members {
		if o.State <= Dead {
			by[o.key%shardCount] = append(by[o.key%shardCount], o)
		}
	}
	for i := range uint64(shardCount) {
		part := (first + i) % shardCount
		if mine[part] == msg.ShardDigests[part] {
			continue
		}
		if m.self.key%shardCount == part {
			records = append(records, m.self.Record)
		}
		for _, o := range by[part] {
			records = append(records, o.outgoingRecord(m.now))
		}
	}
	m.sendRecords(msg.From.Addr, records)
	if msg.WantsDigests {
		m.send(msg.From.Addr, &Message{Kind: Digests, ShardDigests: mine})
	}
}

// sendRecords sends records in as many pages as they need, within the period's bound.
func (m *Node) sendRecords(to netip.AddrPort, records []Record) {
	if m.now >= m.pagesResetAt {
		m.pagesResetAt, m.pagesSent = m.now+m.ProbeInterval, 0
	}
	for len(records) > 0 && m.pagesSent < maxPagesPerInterval {
		n, room := 0, recordsBudget+300
		for n < min(len(records), maxRecords) {
			if room -= records[n].maxEncodedSize(); room < 0 && n > 0 {
				break
			}
			n++
		}
		m.pagesSent++
		m.Pages++
		m.send(to, &Message{Kind: Records, Records: records[:n:n]})
		records = records[n:]
	}
}

// ---- news ----

// queueBroadcast has a member's record told along with messages, from the start.
func (m *Node) queueBroadcast(name string) {
	m.lastUpdateAt = m.now
	for i := range m.broadcasts {
		if m.broadcasts[i].name == name {
			m.broadcasts[i].transmits = 0
			return
		}
	}
	m.broadcasts = append(m.broadcasts, broadcast{name: name})
}

// appendBroadcasts adds what was told least often, as far as there is room.
func (m *Node) appendBroadcasts(msg *Message) {
	if len(m.broadcasts) == 0 || len(msg.Records) > 0 {
		return
	}
	slices.SortStableFunc(m.broadcasts, func(a, b broadcast) int { return a.transmits - b.transmits })
	room := recordsBudget
	if msg.Subject != nil {
		room -= msg.Subject.maxEncodedSize()
	}
	limit := retransmitLimit(retransmitMult, len(m.members))
	for i := range m.broadcasts {
		var r Record
		if n := &m.broadcasts[i]; n.name == m.self.Name {
			r = m.self.Record
		} else if o := m.byName[n.name]; o != nil {
			r = o.outgoingRecord(m.now)
		} else {
			n.transmits = limit
			continue
		}
		if room -= r.maxEncodedSize(); room < 0 || len(msg.Records) == maxRecords {
			break
		}
		msg.Records = append(msg.Records, r)
		m.broadcasts[i].transmits++
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(n broadcast) bool { return n.transmits >= limit })
}

// gossip tells news to a few members without waiting for a question to ride on.
func (m *Node) gossip() {
	has := func() bool { return len(m.broadcasts) > 0 || m.Delegate != nil && m.Delegate.HasUrgent() }
	if m.PlainSWIM || !has() {
		return
	}
	for _, o := range m.randomMembers(gossipFanout, "") {
		if !has() {
			return
		}
		m.send(o.Addr, &Message{Kind: Update})
	}
}

// ---- what is shown ----

// Member is a member as the view has it.
type Member struct {
	Record
	Key         uint64
	Since       float64 // of the state
	LastContact float64 // 0: not directly
	Self        bool
}

// View is what this member holds, by name.
type View struct {
	Members       []Member
	Digest        uint64
	Converged     bool
	Contacted     bool    // somebody else was heard from
	Recognized    bool    // enough others have told that they count this one
	Withdrawn     bool    // another process has the name
	Left          bool    // has left by word
	JoinedAt      float64 // when this member joined
	TimeoutFactor int     // what times are stretched by
}

// View returns the view.
func (m *Node) View() View {
	v := View{Digest: m.viewDigest, Converged: m.converged, Contacted: m.contacted, Recognized: m.recognized, Withdrawn: m.withdrawn, Left: m.left, TimeoutFactor: 1 + m.awareness, JoinedAt: m.joinedAt,
		Members: make([]Member, 0, len(m.members)+1)}
	self := Member{Record: m.self.Record, Key: m.self.key, Since: m.self.stateSince, LastContact: m.now, Self: true}
	i, _ := m.searchMember(m.self.Name)
	for _, o := range m.members[:i] {
		v.Members = append(v.Members, o.snapshot())
	}
	v.Members = append(v.Members, self)
	for _, o := range m.members[i:] {
		v.Members = append(v.Members, o.snapshot())
	}
	return v
}

func (o *member) snapshot() Member {
	return Member{Record: o.Record, Key: o.key, Since: o.stateSince, LastContact: o.lastContact}
}

// Digest is the view's digest alone.
func (m *Node) Digest() uint64 { return m.viewDigest }

// MetadataDigest is the digest of the view with all facts.
func (m *Node) MetadataDigest() uint64 { return m.metadataDigest }

// NamesDigest is the digest of the names that may be sending, whatever else is held of them.
func (m *Node) NamesDigest() uint64 { return m.namesDigest }

// CountByState counts members by state, this one among the living.
func (m *Node) CountByState() (alive, suspect, dead int) { return m.alive + 1, m.suspects, m.dead }

// Contacted says whether anybody else was heard from.
func (m *Node) Contacted() bool { return m.contacted }

// Zone is a member's, as it says; empty: not known.
func (m *Node) Zone(member string) string {
	if o := m.byName[member]; o != nil && o.Metadata != nil {
		return o.Metadata.Zone
	}
	return ""
}
