package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
)

// Options are what a member starts with.
type Options struct {
	Fleet  string
	Name   string
	Addr   netip.AddrPort // where others reach it
	Seeds  []netip.AddrPort
	Period float64 // seconds between two probes
	Steps  int     // times in a period that deadlines are looked at; 0: five
	Forget float64 // seconds after which one that is dead is forgotten; 0: an hour
	Life   uint64  // Unix time of the start, in microseconds
	Seed   uint64
	Facts  Facts // its own, without a sequence
	Rider  Rider // nil: nobody
	Plain  bool  // SWIM as first published, without what came since: to be measured beside
}

// Rider has something to tell along with the view's messages, and hears what the others' has. It is as pure as the machine.
type Rider interface {
	Ride(now float64, room int) []byte
	// Hear takes what came along, and returns what is to be answered, each in a message of its own.
	Hear(now float64, from string, ride []byte) (answers [][]byte)
	Eager() bool // something should not wait for a message to ride on
	Tick(now float64)
}

// The constants of the protocol, in periods unless said otherwise.
const (
	defaultSteps = 5    // of a period: deadlines are looked at so often, unless the options say otherwise
	askAfter     = 0.4  // until others are asked to ask
	askAgain     = 0.2  // between two questions to one that has not answered, from then on
	askOthers    = 3    // how many are
	nackAfter    = 0.3  // until one that was asked says that it has no answer either
	mostHealth   = 8    // the local health multiplier's bound, as in Lifeguard
	suspectLeast = 4.0  // a suspicion lasts this many periods, times the decimal logarithm of the members
	suspectMost  = 6.0  // times the least, where nobody else confirms it
	confirms     = 3    // witnesses besides the first that bring it down to the least
	spread       = 4.0  // times that a piece of news is told, times the logarithm
	fanout       = 2    // members that get news alone in each step
	reaskDead    = 10.0 // between two questions to one that is dead, and to seeds that nobody known stands at
	syncEvery    = 3.0  // between two exchanges of parts, once this member is counted: most differences are news on their way
	factsEvery   = 10.0 // between two exchanges of parts where facts alone differ
	pagesEvery   = 32   // pages that one member answers within a period
	sleptAfter   = 3.0  // a step that comes so late is a process that slept
	claimTries   = 4    // questions to one that claims the own name, before the claim is taken as empty
	regainAfter  = 20.0 // until one that withdrew looks whether the name is free again
	forgetAfter  = 3600 // seconds
	mostMembers  = 4096 // known at one time: names that somebody makes up must not take the memory
	mostRelays   = 256  // questions under way in others' place
)

// Packet is a message and where it goes.
type Packet struct {
	To  netip.AddrPort
	Msg *Message
}

// Change is a member's change of state, with what caused it.
type Change struct {
	Name     string
	From, To State
	New      bool // it was not known before
	Inc      uint64
	Cause    string
}

// Counts are what a member has counted since its start.
type Counts struct {
	Probes, Unanswered  uint64 // probes, and those that ended without an answer
	Suspicions, Refuted uint64 // of others; and those that were taken back
	SelfRefuted         uint64 // suspicions of oneself that were answered
	Deaths              uint64
	Repeated, Stale     uint64 // messages dropped: heard before; of an earlier life
	NoRoom              uint64 // names not taken in, since too many are known
	Own                 uint64 // messages of oneself that came back
	Syncs, Pages        uint64
	Claims, Withdrawals uint64 // of the own name by another process
	Slept               uint64
}

// member is what is known of another one.
type member struct {
	Record
	key       uint64
	since     float64 // of the state
	endedAt   float64 // when the first one found it dead
	heardAt   float64
	changed   float64 // when the one that is dead was last asked
	witnesses []string
	suspected float64
	ends      float64 // of the suspicion
	window    window
	agreed    uint64 // the machine's epoch in which it last told the same view
	sameNames uint64 // and the same names
}

// Machine is one member's state.
type Machine struct {
	Options
	Counts

	me      member
	members []*member // the others, by name
	byName  map[string]*member
	rng     *rand.Rand
	out     []Packet
	changes []Change
	sent    uint64 // messages in this life
	seq     uint64

	now, stepAt float64
	began       float64 // joined
	started     bool
	gone        bool // has left by word
	met         bool
	counted     bool
	withdrawn   bool // another process has the name
	regainAt    float64

	view, names, facts     uint64 // digests
	viewEpoch, namesEpoch  uint64
	viewAgree, namesAgree  int     // members that have told the same since the last change
	newsAt                 float64 // when there was news last, or other facts were told
	differAt, namesAt      float64 // when another view, or other names, were last told or the own ones changed
	unsettledAt            float64
	alive, suspects, deads int // of the others
	settled                bool

	health   int // the local health multiplier, less one
	order    []string
	probe    probe
	relays   []relay
	doubts   []*member // under suspicion
	news     []item
	syncAt   float64
	factsAt  float64
	pages    int
	pagesAt  float64
	seedsAt  float64
	claim    claim
	settling []float64 // how long each settling took
}

// probe is the question at hand.
type probe struct {
	name         string
	seq          uint64
	at, ends     float64
	again        float64 // when it is asked once more
	asked, acked bool
	nacks, owed  int
}

// relay is a question asked in another one's place.
type relay struct {
	seq, theirs uint64
	to          netip.AddrPort
	about       Record
	at          float64
	nacked      bool
}

// item is a piece of news: the record of a member, and how often it was told.
type item struct {
	name string
	told int
}

// New makes a member that knows nobody.
func New(o Options) *Machine {
	if o.Forget == 0 {
		o.Forget = forgetAfter
	}
	if o.Steps <= 0 {
		o.Steps = defaultSteps
	}
	o.Facts.Seq = 1
	m := &Machine{Options: o, byName: map[string]*member{}, rng: rand.New(rand.NewPCG(o.Seed, o.Life)), viewEpoch: 1, namesEpoch: 1}
	facts := o.Facts
	m.me = member{Record: Record{Name: o.Name, Addr: o.Addr, Life: o.Life, FactsOf: &facts}, key: Key(o.Name)}
	m.digestSelf()
	return m
}

// Start begins: seeds are asked at once.
func (m *Machine) Start(now float64) {
	m.now, m.began, m.started = now, now, true
	m.me.since, m.differAt, m.unsettledAt = now, now, now
	m.stepAt = now + m.step()*(0.5+m.rng.Float64()) // members that start together do not step together
	m.probe.ends = now + m.Period*m.rng.Float64()
	m.tell(m.me.Name)
	m.askSeeds()
	m.unsettle()
}

// step is the time between two looks at the deadlines.
func (m *Machine) step() float64 { return m.Period / float64(m.Steps) }

// Next is when Tick is due.
func (m *Machine) Next() float64 { return m.stepAt }

// Out takes the messages to be sent.
func (m *Machine) Out() []Packet {
	out := m.out
	m.out = nil
	return out
}

// Changes takes the changes since the last call.
func (m *Machine) Changes() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// Tick does what is due.
func (m *Machine) Tick(now float64) {
	if late := now - m.stepAt; late > sleptAfter*m.Period {
		m.Slept(now)
	}
	m.now = now
	if now < m.stepAt || m.gone {
		m.stepAt = math.Max(m.stepAt, now+m.step())
		return
	}
	m.stepAt = now + m.step()
	if m.withdrawn {
		m.regain()
		return
	}
	m.judge()
	m.relayed()
	m.stepProbe()
	m.pressClaim()
	if now >= m.seedsAt {
		m.askSeeds()
		m.askDead()
		m.forget()
	}
	if m.Rider != nil {
		m.Rider.Tick(now)
	}
	m.gossip()
	m.settle()
}

// Slept tells that the process has stood still: what it waited for meanwhile says nothing of others, and what it knew
// is to be looked at again before it is relied on.
func (m *Machine) Slept(now float64) {
	late := math.Max(0, now-m.now)
	m.Counts.Slept++
	m.now = now
	m.probe = probe{ends: now}
	m.relays = m.relays[:0]
	m.stepAt = now
	if m.gone || m.withdrawn {
		return
	}
	for _, d := range m.doubts {
		d.suspected, d.ends = d.suspected+late, d.ends+late
	}
	m.uncount()
	m.viewChanged()
	m.askSeeds()
}

// SetFacts sets the member's own facts.
func (m *Machine) SetFacts(now float64, f Facts) {
	was := *m.me.FactsOf
	f.Seq = was.Seq
	if f == was {
		return
	}
	f.Seq++
	m.now = now
	if m.gone { // its digest counts nowhere
		m.me.FactsOf = &f
		return
	}
	m.facts ^= m.me.factsDigest(m.me.key)
	m.me.FactsOf = &f
	m.facts ^= m.me.factsDigest(m.me.key)
	m.tell(m.me.Name)
}

// Counted says whether enough others have told that they count this member.
func (m *Machine) Counted() bool { return m.counted }

// Urge tells what the rider has at once, and not with the next step.
func (m *Machine) Urge(now float64) {
	if m.started && !m.gone && !m.withdrawn {
		m.now = math.Max(m.now, now)
		m.gossip()
	}
}

// Leave says to the others that this member has stopped: its shares are theirs.
func (m *Machine) Leave(now float64) {
	if m.gone || m.withdrawn || !m.started {
		return
	}
	m.now = now
	m.digestSelf()
	m.me.State, m.me.since = Left, now
	m.gone = true
	m.tell(m.me.Name)
	for _, o := range m.some(spreadTimes(spread, len(m.members)), "") {
		m.send(o.Addr, &Message{Kind: News})
	}
}

// Rejoin takes a Leave back.
func (m *Machine) Rejoin(now float64) {
	if !m.gone {
		return
	}
	m.gone, m.counted = false, false
	m.me.State, m.me.Inc, m.me.since = Alive, m.me.Inc+1, now
	m.now, m.began, m.stepAt, m.probe = now, now, now, probe{ends: now}
	m.digestSelf()
	m.tell(m.me.Name)
	m.askSeeds()
}

// Declare has one that is dead count as one that has left: somebody knows that its process has ended.
func (m *Machine) Declare(now float64, name string) error {
	o := m.byName[name]
	switch {
	case o == nil:
		return fmt.Errorf("membership: nobody has the name %s", name)
	case o.State == Left:
		return nil
	case o.State != Dead:
		return fmt.Errorf("membership: %s is %s: only one that is dead can be declared gone", name, o.State)
	}
	m.now = now
	r := o.Record
	r.State = Left
	m.adopt(o, r, "declared gone by hand")
	return nil
}

// Seek sets other seeds.
func (m *Machine) Seek(now float64, seeds []netip.AddrPort) {
	m.now, m.Seeds = now, seeds
	m.askSeeds()
}

// ---- messages ----
