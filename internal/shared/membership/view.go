package membership

import (
	"math"
	"net/netip"
	"slices"
)

// This file is how the view is kept equal everywhere: digests, news, and pages of what differs.

// digestSelf books the own record in the digests, or takes it out.
func (m *Machine) digestSelf() { // both are the same exclusive or
	m.view ^= m.me.Record.digest(m.me.key)
	m.facts ^= m.me.factsDigest(m.me.key)
	m.names ^= m.me.key
	m.viewChanged()
	m.namesChanged()
}

// count books another member's record, by 1, or takes it out, by -1.
func (m *Machine) count(o *member, by int) {
	switch o.State {
	case Alive:
		m.alive += by
	case Suspect:
		m.suspects += by
	case Dead:
		m.deads += by
	default:
		return // one that has left is forgotten at other times elsewhere: no digest may hang on it
	}
	m.view ^= o.Record.digest(o.key)
	m.facts ^= o.factsDigest(o.key)
	m.viewChanged()
	if o.State != Dead {
		m.names ^= o.key
		m.namesChanged()
	}
}

func (m *Machine) viewChanged() {
	m.viewEpoch++
	m.viewAgree = 0
	m.unsettle()
}

func (m *Machine) namesChanged() {
	m.namesEpoch++
	m.namesAgree, m.namesAt = 0, m.now
}

func (m *Machine) unsettle() {
	if m.settled {
		m.settled, m.unsettledAt = false, m.now
	}
}

// enough is how many members have to tell the same before it is taken to be everybody's.
func (m *Machine) enough() int {
	return min(m.alive, 2+int(math.Ceil(math.Log2(float64(m.alive+1)))))
}

// settle says whether the view is everybody's: as many as enough have told the same since it last changed, and nobody
// has told another for two periods. Likewise whether everybody counts this member, by the names alone.
func (m *Machine) settle() {
	if 2*(m.alive+1) < m.alive+1+m.suspects+m.deads { // the others may be a fleet that goes on without us
		m.uncount()
	}
	if !m.counted && m.met && m.namesAgree >= m.enough() && m.alive > 0 && m.now-m.namesAt >= 2*m.Period {
		m.counted = true
	}
	if !m.settled && m.viewAgree >= m.enough() && m.now-m.differAt >= 2*m.Period {
		m.settled = true
		m.settling = append(m.settling, m.now-m.unsettledAt)
	}
	if m.settled && m.now-m.newsAt >= 2*m.Period { // all hold it: what is left of the news is told to those who know
		m.news = slices.DeleteFunc(m.news, func(n item) bool { return n.told > 0 })
	}
}

// uncount takes it that others may not count this member: they have to tell so anew.
func (m *Machine) uncount() {
	m.counted = false
	m.namesChanged()
}

// Settlings takes how long each settling took since the last call, in seconds.
func (m *Machine) Settlings() []float64 {
	s := m.settling
	m.settling = nil
	return s
}

// compareViews looks whether the sender of a message holds what we hold, and asks for what differs.
func (m *Machine) compareViews(o *member, msg *Message) {
	if o.State != Alive || m.byName[o.Name] != o {
		return
	}
	if agree(&o.sameNames, m.namesEpoch, &m.namesAgree, msg.Names == m.names); msg.Names != m.names {
		m.namesAt = m.now
	}
	same := msg.View == m.view
	agree(&o.agreed, m.viewEpoch, &m.viewAgree, same)
	if !same {
		m.differAt = m.now
		m.unsettle()
	}
	if same && msg.Facts != m.facts {
		m.newsAt = m.now
	}
	if msg.Kind == Page || msg.Kind == Parts || same && (msg.Facts == m.facts || m.now < m.factsAt) || m.now < m.syncAt ||
		m.Plain && m.now > m.me.since+5*m.Period {
		return
	}
	m.factsAt = m.now + factsEvery*m.Period*(0.5+m.rng.Float64())
	pause := syncEvery
	if !m.counted {
		pause = 1
	}
	m.syncAt = m.now + pause*m.Period*(0.5+m.rng.Float64())
	m.Syncs++
	m.send(o.Addr, &Message{Kind: Parts, Parts: m.parts(), Return: true})
}

func agree(at *uint64, epoch uint64, count *int, same bool) {
	switch {
	case same && *at != epoch:
		*at = epoch
		*count++
	case !same && *at == epoch:
		*at = 0
		*count--
	}
}

// parts are the digests of the view's parts, with facts.
func (m *Machine) parts() []uint64 {
	sums := make([]uint64, partCount)
	sums[m.me.key%partCount] ^= m.me.factsDigest(m.me.key)
	for _, o := range m.members {
		if o.State <= Dead {
			sums[o.key%partCount] ^= o.factsDigest(o.key)
		}
	}
	return sums
}

// differing sends the records of the parts that differ, from a random one on: what finds no room in a period's pages has
// its turn in another.
func (m *Machine) differing(msg *Message) {
	if len(msg.Parts) != partCount {
		return
	}
	mine := m.parts()
	first := uint64(m.rng.IntN(partCount))
	var records []Record
	by := make([][]*member, partCount)
	for _, o := range m.members {
		if o.State <= Dead {
			by[o.key%partCount] = append(by[o.key%partCount], o)
		}
	}
	for i := range uint64(partCount) {
		part := (first + i) % partCount
		if mine[part] == msg.Parts[part] {
			continue
		}
		if m.me.key%partCount == part {
			records = append(records, m.me.Record)
		}
		for _, o := range by[part] {
			records = append(records, o.told(m.now))
		}
	}
	m.page(msg.From.Addr, records)
	if msg.Return {
		m.send(msg.From.Addr, &Message{Kind: Parts, Parts: mine})
	}
}

// page sends records in as many pages as they need, within the period's bound.
func (m *Machine) page(to netip.AddrPort, records []Record) {
	if m.now >= m.pagesAt {
		m.pagesAt, m.pages = m.now+m.Period, 0
	}
	for len(records) > 0 && m.pages < pagesEvery {
		n, room := 0, roomToTell+300
		for n < min(len(records), mostTold) {
			if room -= records[n].room(); room < 0 && n > 0 {
				break
			}
			n++
		}
		m.pages++
		m.Pages++
		m.send(to, &Message{Kind: Page, Tell: records[:n:n]})
		records = records[n:]
	}
}

// ---- news ----

// tell has a member's record told along with messages, from the start.
func (m *Machine) tell(name string) {
	m.newsAt = m.now
	for i := range m.news {
		if m.news[i].name == name {
			m.news[i].told = 0
			return
		}
	}
	m.news = append(m.news, item{name: name})
}

// addNews adds what was told least often, as far as there is room.
func (m *Machine) addNews(msg *Message) {
	if len(m.news) == 0 || len(msg.Tell) > 0 {
		return
	}
	slices.SortStableFunc(m.news, func(a, b item) int { return a.told - b.told })
	room := roomToTell
	if msg.About != nil {
		room -= msg.About.room()
	}
	limit := spreadTimes(spread, len(m.members))
	for i := range m.news {
		var r Record
		if n := &m.news[i]; n.name == m.me.Name {
			r = m.me.Record
		} else if o := m.byName[n.name]; o != nil {
			r = o.told(m.now)
		} else {
			n.told = limit
			continue
		}
		if room -= r.room(); room < 0 || len(msg.Tell) == mostTold {
			break
		}
		msg.Tell = append(msg.Tell, r)
		m.news[i].told++
	}
	m.news = slices.DeleteFunc(m.news, func(n item) bool { return n.told >= limit })
}

// gossip tells news to a few members without waiting for a question to ride on.
func (m *Machine) gossip() {
	has := func() bool { return len(m.news) > 0 || m.Rider != nil && m.Rider.Eager() }
	if m.Plain || !has() {
		return
	}
	for _, o := range m.some(fanout, "") {
		if !has() {
			return
		}
		m.send(o.Addr, &Message{Kind: News})
	}
}

// ---- what is shown ----

// Seen is a member as the view has it.
type Seen struct {
	Record
	Key     uint64
	Since   float64 // of the state
	HeardAt float64 // 0: not directly
	Me      bool
}

// View is what this member holds, by name.
type View struct {
	Members   []Seen
	Digest    uint64
	Settled   bool
	Met       bool    // somebody else was heard from
	Counted   bool    // enough others have told that they count this one
	Withdrawn bool    // another process has the name
	Gone      bool    // has left by word
	Began     float64 // when this member joined
	Health    int     // what times are stretched by
}

// View returns the view.
func (m *Machine) View() View {
	v := View{Digest: m.view, Settled: m.settled, Met: m.met, Counted: m.counted, Withdrawn: m.withdrawn, Gone: m.gone, Health: 1 + m.health, Began: m.began,
		Members: make([]Seen, 0, len(m.members)+1)}
	self := Seen{Record: m.me.Record, Key: m.me.key, Since: m.me.since, HeardAt: m.now, Me: true}
	i, _ := m.find(m.me.Name)
	for _, o := range m.members[:i] {
		v.Members = append(v.Members, o.seen())
	}
	v.Members = append(v.Members, self)
	for _, o := range m.members[i:] {
		v.Members = append(v.Members, o.seen())
	}
	return v
}

func (o *member) seen() Seen {
	return Seen{Record: o.Record, Key: o.key, Since: o.since, HeardAt: o.heardAt}
}

// Digest is the view's digest alone.
func (m *Machine) Digest() uint64 { return m.view }

// FactsDigest is the digest of the view with all facts.
func (m *Machine) FactsDigest() uint64 { return m.facts }

// Names is the digest of the names that may be sending, whatever else is held of them.
func (m *Machine) Names() uint64 { return m.names }

// Census counts members by state, this one among the living.
func (m *Machine) Census() (alive, suspect, dead int) { return m.alive + 1, m.suspects, m.deads }

// Met says whether anybody else was heard from.
func (m *Machine) Met() bool { return m.met }

// Zone is a member's, as it says; empty: not known.
func (m *Machine) Zone(member string) string {
	if o := m.byName[member]; o != nil && o.FactsOf != nil {
		return o.FactsOf.Zone
	}
	return ""
}
