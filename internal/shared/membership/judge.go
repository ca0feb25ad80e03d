package membership

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// This file is how members are asked, doubted and given up.

// factor is what the own health stretches times by: one that is slow itself does not blame others for it.
func (m *Machine) factor() float64 {
	if m.Plain {
		return 1
	}
	return float64(1 + m.health)
}

func (m *Machine) healthier(by int) { m.health = min(max(m.health+by, 0), mostHealth-1) }

// stepProbe moves the question at hand on, and puts the next one once its time is over.
func (m *Machine) stepProbe() {
	p := &m.probe
	if o := m.byName[p.name]; o != nil && p.asked && !p.acked && !m.Plain && m.now >= p.again {
		p.again = m.now + askAgain*m.Period*m.factor()
		m.ping(o, p.seq) // a datagram or its answer may be lost, and a suspicion costs everybody more than this
	}
	if p.name != "" && !p.acked && !p.asked && m.now >= p.at+askAfter*m.Period*m.factor() {
		p.asked = true
		if o := m.byName[p.name]; o != nil {
			others := slices.DeleteFunc(m.some(askOthers, p.name), func(o *member) bool { return o.Shut() })
			p.owed = len(others)
			for _, via := range others {
				about := o.told(m.now)
				about.FactsOf = nil
				m.send(via.Addr, &Message{Kind: PingReq, Seq: p.seq, About: &about})
			}
		}
		p.again = m.now
	}
	if m.now < p.ends {
		return
	}
	if o := m.byName[p.name]; o != nil && p.name != "" && !p.acked && o.State <= Suspect {
		m.Unanswered++
		// who was asked in our place and says nothing is heard as little as the one in doubt: that may be us
		m.healthier(1 + max(0, p.owed-p.nacks))
		m.learn(m.doubt(o), "") // or one more witness of a suspicion that there is
	} else if p.name != "" && p.acked {
		m.healthier(-1)
	}
	m.nextProbe()
}

// doubt is the record that says that a member did not answer us.
func (m *Machine) doubt(o *member) Record {
	r := o.Record
	r.State, r.By = Suspect, m.me.Name
	return r
}

// nextProbe asks the next member, in a shuffled order in which each has its turn once.
func (m *Machine) nextProbe() {
	m.probe = probe{ends: m.now + m.Period}
	for tries := 0; tries <= len(m.members); tries++ {
		if len(m.order) == 0 {
			for _, o := range m.members {
				m.order = append(m.order, o.Name)
			}
			m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		}
		if len(m.order) == 0 {
			return
		}
		o := m.byName[m.order[len(m.order)-1]]
		m.order = m.order[:len(m.order)-1]
		if o == nil || o.State > Suspect {
			continue
		}
		m.seq++
		m.Probes++
		m.probe = probe{name: o.Name, seq: m.seq, at: m.now, ends: m.now + m.Period*m.factor()}
		m.ping(o, m.seq)
		return
	}
}

func (m *Machine) ping(o *member, seq uint64) {
	about := o.told(m.now)
	about.FactsOf = nil
	if m.Plain {
		about.State, about.By = Alive, ""
	}
	m.send(o.Addr, &Message{Kind: Ping, Seq: seq, About: &about})
}

// acked takes an answer: to our question, or to one that we put in another one's place.
func (m *Machine) acked(msg *Message) {
	if msg.Seq == m.probe.seq && msg.About.Name == m.probe.name {
		m.probe.acked = true
	}
	for i := range m.relays {
		if r := &m.relays[i]; r.seq == msg.Seq && r.about.Name == msg.About.Name {
			m.send(r.to, &Message{Kind: Ack, Seq: r.theirs, About: msg.About})
			m.relays = slices.Delete(m.relays, i, i+1)
			break
		}
	}
	m.learn(*msg.About, msg.From.Name)
	if m.claim.seq != 0 && msg.Seq == m.claim.seq {
		m.claimed(msg.About, msg)
	}
}

// relayed says no where one that was asked in another one's place does not answer.
func (m *Machine) relayed() {
	for i := range m.relays {
		if r := &m.relays[i]; !r.nacked && m.now >= r.at+nackAfter*m.Period {
			r.nacked = true
			if !m.Plain {
				about := r.about // the slice moves, and a message must not change once it is given out
				m.send(r.to, &Message{Kind: Nack, Seq: r.theirs, About: &about})
			}
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return m.now >= r.at+2*m.Period })
}

// learn takes what is told of a member; by is who tells it, empty for ourselves. What is known comes back where it is
// newer than what was told.
func (m *Machine) learn(r Record, by string) *Record {
	if r.Name == m.me.Name {
		m.aboutMe(&r)
		return nil
	}
	o := m.byName[r.Name]
	if o == nil {
		// of one that left, or was given up long ago, nothing is to be known
		if r.State == Left || r.State == Dead && float64(r.Ago) >= 0.9*m.Forget || m.Plain && r.State == Dead {
			return nil
		}
		if len(m.members) >= mostMembers {
			m.NoRoom++
			return nil
		}
		o = m.insert(r)
		m.enter(o, r, "told by "+by, true)
		return nil
	}
	c := r.compare(&o.Record)
	if f := r.FactsOf; f != nil && r.Life == o.Life && (o.FactsOf == nil || f.Seq > o.FactsOf.Seq) {
		m.count(o, -1)
		o.FactsOf = f
		m.count(o, 1)
		if r.State < Dead {
			m.tell(o.Name)
		}
	}
	switch {
	case c > 0:
		cause := "told by " + by
		if by == "" {
			cause = fmt.Sprintf("no answer to question %d (asked by %d others: %d no answer either)", m.probe.seq, m.probe.owed, m.probe.nacks)
		} else if by == r.Name {
			cause = "its own word"
		}
		m.adopt(o, r, cause)
	case c == 0 && r.State == Suspect:
		m.confirm(o, r.By)
	case c < 0:
		known := o.told(m.now)
		return &known
	}
	return nil
}

// adopt has a member be what is newer.
func (m *Machine) adopt(o *member, r Record, cause string) {
	m.count(o, -1)
	if r.FactsOf == nil && r.Life == o.Life {
		r.FactsOf = o.FactsOf
	}
	if r.Life != o.Life {
		o.window = window{}
	}
	m.enter(o, r, cause, false)
}

// enter books a record that is new.
func (m *Machine) enter(o *member, r Record, cause string, unknown bool) {
	was := o.State
	if was == Suspect && r.State == Alive {
		m.Refuted++
	}
	if was == Suspect && r.State != Suspect {
		m.doubts = slices.DeleteFunc(m.doubts, func(d *member) bool { return d == o })
	}
	o.Record = r
	o.Ago = 0
	if was != r.State || unknown {
		// Others' word on how long ago is for forgetting alone: a lease runs from when we know it.
		o.since, o.endedAt = m.now, m.now-float64(r.Ago)
		m.changes = append(m.changes, Change{Name: o.Name, From: was, To: r.State, New: unknown, Inc: r.Inc, Cause: cause})
	}
	if r.State == Suspect {
		if was != Suspect || unknown {
			m.Suspicions++
			m.doubts = append(m.doubts, o)
			o.suspected = m.now
		}
		o.witnesses = append(o.witnesses[:0], r.By)
		o.ends = o.suspected + m.patience(0)
	}
	if r.State == Dead && was != Dead {
		m.Deaths++
	}
	m.count(o, 1)
	m.tell(o.Name)
}

func (m *Machine) insert(r Record) *member {
	o := &member{key: Key(r.Name), changed: m.now}
	i, _ := m.find(r.Name)
	m.members = slices.Insert(m.members, i, o)
	m.byName[r.Name] = o
	// its first turn comes at a random place of the round under way, as in SWIM
	at := m.rng.IntN(len(m.order) + 1)
	m.order = slices.Insert(m.order, at, r.Name)
	return o
}

// logOf is a decimal logarithm of the members, 1 at least.
func logOf(n int) float64 { return math.Max(1, math.Log10(float64(n+1))) }

func spreadTimes(times float64, others int) int { return int(math.Ceil(times * logOf(others))) }

// patience is how long a suspicion lasts that so many others confirm (Lifeguard, section IV.B).
func (m *Machine) patience(confirmed int) float64 {
	least := suspectLeast * logOf(len(m.members)) * m.Period
	wanted := min(confirms, len(m.members)-2) // a third one must exist to confirm anything
	if m.Plain || wanted < 1 {
		return least
	}
	most := suspectMost * least
	return math.Max(least, most-(most-least)*math.Log(float64(confirmed+1))/math.Log(float64(wanted+1)))
}

// LongestSuspicion is how long a suspicion lasts at most, in a fleet of so many, in seconds.
func LongestSuspicion(members int, period float64) float64 {
	return suspectMost * suspectLeast * logOf(members) * period
}

// confirm takes another witness.
func (m *Machine) confirm(o *member, by string) {
	if m.Plain || by == "" || slices.Contains(o.witnesses, by) || len(o.witnesses) > confirms {
		return
	}
	o.witnesses = append(o.witnesses, by)
	o.By = by
	o.ends = o.suspected + m.patience(len(o.witnesses)-1)
	m.tell(o.Name)
}

// judge gives up those whose suspicion is over.
func (m *Machine) judge() {
	for i := len(m.doubts) - 1; i >= 0; i-- {
		o := m.doubts[i]
		if m.now < o.ends {
			continue
		}
		r := o.Record
		r.State = Dead
		m.adopt(o, r, fmt.Sprintf("suspected for %.2f s, witnesses %s", m.now-o.suspected, strings.Join(o.witnesses, ", ")))
	}
}

// aboutMe takes what is told of ourselves.
func (m *Machine) aboutMe(r *Record) {
	switch {
	case r.Life > m.me.Life:
		m.claimed(r, nil)
	case r.Life < m.me.Life:
		m.tell(m.me.Name)
	case r.Inc > m.me.Inc || r.Inc == m.me.Inc && r.State != Alive:
		if r.Inc+1 >= mostInc {
			return
		}
		m.digestSelf()
		m.me.Inc = r.Inc + 1
		m.digestSelf()
		if r.State >= Dead { // those who held us so may have divided our share among themselves
			m.uncount()
		}
		if r.State != Alive {
			m.SelfRefuted++
			if !m.Plain {
				m.healthier(1)
			}
		}
		m.tell(m.me.Name)
	}
}

// askSeeds asks those seeds that no living member is known to stand at.
func (m *Machine) askSeeds() {
	m.seedsAt = m.now + reaskDead*m.Period*(0.75+0.5*m.rng.Float64())
	if len(m.members) == 0 {
		m.seedsAt = m.now + m.Period*(0.75+0.5*m.rng.Float64())
	}
	for _, seed := range m.Seeds {
		if seed != m.me.Addr && !slices.ContainsFunc(m.members, func(o *member) bool { return o.Addr == seed && o.State == Alive }) {
			m.seq++
			m.send(seed, &Message{Kind: Ping, Seq: m.seq})
		}
	}
}

// askDead asks the one that is dead and was asked longest ago, so that halves of a fleet find each other again.
func (m *Machine) askDead() {
	if m.deads == 0 || m.Plain {
		return
	}
	var next *member
	for _, o := range m.members {
		if o.State == Dead && (next == nil || o.changed < next.changed) {
			next = o
		}
	}
	if next != nil {
		next.changed = m.now
		m.seq++
		m.ping(next, m.seq)
	}
}

// forget drops those that are dead or have left for long.
func (m *Machine) forget() {
	m.members = slices.DeleteFunc(m.members, func(o *member) bool {
		old := o.State >= Dead && m.now-o.endedAt > m.Forget
		if old {
			m.count(o, -1)
			delete(m.byName, o.Name)
		}
		return old
	})
}

// ---- two processes under one name ----

// claim is a process that says it has the own name and began later.
type claim struct {
	life  uint64
	addr  netip.AddrPort
	seq   uint64
	tries int
	at    float64
}

// claimed takes word of a process with the own name; msg is that process's own message, or nil where others tell of it.
func (m *Machine) claimed(r *Record, msg *Message) {
	if r.Life < m.me.Life {
		if msg != nil { // it does not know yet, or asks whether we are here
			self := m.bare()
			m.send(r.Addr, &Message{Kind: Ack, Seq: msg.Seq, About: &self})
			m.Claims++
		}
		return
	}
	if r.Life == m.me.Life {
		return
	}
	if r.State >= Dead || r.Addr == m.me.Addr { // its clock was ahead, and it has gone: nobody but us can stand here
		m.outlive(r.Life)
		return
	}
	if msg != nil && msg.Kind == Ack && m.claim.seq != 0 && msg.Seq == m.claim.seq { // it has answered us
		m.withdraw(r)
		return
	}
	if m.claim.life >= r.Life || m.withdrawn {
		return
	}
	m.Claims++
	m.claim = claim{life: r.Life, addr: r.Addr, at: m.now}
	m.pressClaim()
}

// pressClaim asks the one that claims the name: a word may be a lie, or of a clock that was wrong, and is cheap; an answer from
// its address is not.
func (m *Machine) pressClaim() {
	c := &m.claim
	if c.life == 0 || m.now < c.at {
		return
	}
	if c.tries == claimTries {
		m.outlive(c.life)
		return
	}
	m.seq++
	if c.seq == 0 {
		c.seq = m.seq
	}
	c.tries++
	c.at = m.now + m.Period
	m.send(c.addr, &Message{Kind: Ping, Seq: c.seq})
}

// outlive takes a life later than that of a process which has gone, or never was.
func (m *Machine) outlive(life uint64) {
	m.claim = claim{}
	if life+1 == 0 || m.withdrawn {
		return
	}
	m.digestSelf()
	m.me.Life, m.me.Inc = life+1, 0
	m.Life = m.me.Life
	m.digestSelf()
	m.changes = append(m.changes, Change{Name: m.me.Name, Cause: "a later start under this name is known, and nobody stands there: begun anew after it"})
	m.tell(m.me.Name)
}

// withdraw leaves the name to the process that began later.
func (m *Machine) withdraw(r *Record) {
	if m.withdrawn {
		return
	}
	m.withdrawn, m.counted = true, false
	m.Withdrawals++
	m.claim = claim{life: r.Life, addr: r.Addr}
	m.regainAt = m.now + regainAfter*m.Period
	m.changes = append(m.changes, Change{Name: m.me.Name, To: Left,
		Cause: fmt.Sprintf("another process has this name, at %s, and began later: this one takes no part until it has gone", r.Addr)})
}

// regain looks whether the name is free again: the other one is asked, and if it does not answer, outlived.
func (m *Machine) regain() {
	if m.now < m.regainAt {
		return
	}
	m.regainAt = m.now + regainAfter*m.Period
	m.withdrawn = false
	m.me.State = Alive
	m.claim = claim{life: m.claim.life, addr: m.claim.addr, at: m.now}
	m.pressClaim()
}

// Withdrawn says whether another process has the name.
func (m *Machine) Withdrawn() bool { return m.withdrawn }
