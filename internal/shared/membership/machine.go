package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
)

// Options are what a member starts with.
type Options struct {
	Cluster       string
	Name          string
	Addr          netip.AddrPort // where others reach it
	Seeds         []netip.AddrPort
	ProbeInterval float64 // seconds between two probes
	TicksPerProbe int     // times in a period that deadlines are looked at; 0: five
	DeadTTL       float64 // seconds after which one that is dead is forgotten; 0: an hour
	Generation    uint64  // Unix time of the start, in microseconds
	RandomSeed    uint64
	Metadata      Metadata // its own, without a sequence
	Delegate      Delegate // nil: nobody
	PlainSWIM     bool     // SWIM as first published, without what came since: to be measured beside
}

// Delegate has something to tell along with the view's messages, and hears what the others' has. It is as pure as the machine.
type Delegate interface {
	Payload(now float64, room int) []byte
	// HandlePayload takes what came along, and returns what is to be answered, each in a message of its own.
	HandlePayload(now float64, from string, ride []byte) (answers [][]byte)
	HasUrgent() bool // something should not wait for a message to ride on
	Tick(now float64)
}

// The constants of the protocol, in periods unless said otherwise.
const (
	defaultTicksPerProbe   = 5    // of a period: deadlines are looked at so often, unless the options say otherwise
	indirectProbeDelay     = 0.4  // until others are asked to ask
	probeRetryInterval     = 0.2  // between two questions to one that has not answered, from then on
	indirectProbeCount     = 3    // how many are
	nackDelay              = 0.3  // until one that was asked says that it has no answer either
	maxAwareness           = 8    // the local health multiplier's bound, as in Lifeguard
	suspicionMult          = 4.0  // a suspicion lasts this many periods, times the decimal logarithm of the members
	suspicionMaxMult       = 6.0  // times the least, where nobody else confirms it
	suspicionConfirmations = 3    // witnesses besides the first that bring it down to the least
	retransmitMult         = 4.0  // times that a piece of news is told, times the logarithm
	gossipFanout           = 2    // members that get news alone in each step
	reconnectInterval      = 10.0 // between two questions to one that is dead, and to seeds that nobody known stands at
	syncInterval           = 3.0  // between two exchanges of parts, once this member is counted: most differences are news on their way
	metadataSyncInterval   = 10.0 // between two exchanges of parts where facts alone differ
	maxPagesPerInterval    = 32   // pages that one member answers within a period
	pauseThreshold         = 3.0  // a step that comes so late is a process that slept
	nameClaimAttempts      = 4    // questions to one that claims the own name, before the claim is taken as empty
	nameReclaimInterval    = 20.0 // until one that withdrew looks whether the name is free again
	defaultDeadTTL         = 3600 // seconds
	maxMembers             = 4096 // known at one time: names that somebody makes up must not take the memory
	maxIndirectProbes      = 256  // questions under way in others' place
)

// Packet is a message and where it goes.
type Packet struct {
	To      netip.AddrPort
	Message *Message
}

// Change is a member's change of state, with what caused it.
type Change struct {
	Name        string
	From, To    State
	New         bool // it was not known before
	Incarnation uint64
	Cause       string
}

// Stats are what a member has counted since its start.
type Stats struct {
	Probes, FailedProbes    uint64 // probes, and those that ended without an answer
	Suspicions, Refutations uint64 // of others; and those that were taken back
	SelfRefutations         uint64 // suspicions of oneself that were answered
	Deaths                  uint64
	Duplicates, Stale       uint64 // messages dropped: heard before; of an earlier life
	RejectedNames           uint64 // names not taken in, since too many are known
	OwnMessages             uint64 // messages of oneself that came back
	Syncs, Pages            uint64
	NameClaims, Withdrawals uint64 // of the own name by another process
	Pauses                  uint64
}

// member is what is known of another one.
type member struct {
	Record
	key               uint64
	stateSince        float64 // of the state
	deadSince         float64 // when the first one found it dead
	lastContact       float64
	lastReconnect     float64 // when the one that is dead was last asked
	suspectedBy       []string
	suspectedAt       float64
	suspicionDeadline float64 // of the suspicion
	replay            replayWindow
	agreedViewEpoch   uint64 // the machine's epoch in which it last told the same view
	agreedNamesEpoch  uint64 // and the same names
}

// Node is one member's state.
type Node struct {
	Options
	Stats

	self         member
	members      []*member // the others, by name
	byName       map[string]*member
	rng          *rand.Rand
	outbox       []Packet
	changes      []Change
	messagesSent uint64 // messages in this life
	probeSeq     uint64

	now, nextTick float64
	joinedAt      float64 // joined
	started       bool
	left          bool // has left by word
	contacted     bool
	recognized    bool
	withdrawn     bool // another process has the name
	nameReclaimAt float64

	viewDigest, namesDigest, metadataDigest uint64 // digests
	viewEpoch, namesEpoch                   uint64
	viewAgreements, namesAgreements         int     // members that have told the same since the last change
	lastUpdateAt                            float64 // when there was news last, or other facts were told
	viewDifferedAt, namesDifferedAt         float64 // when another view, or other names, were last told or the own ones changed
	divergedAt                              float64
	alive, suspects, dead                   int // of the others
	converged                               bool

	awareness        int // the local health multiplier, less one
	probeOrder       []string
	probe            probe
	indirectProbes   []indirectProbe
	suspicions       []*member // under suspicion
	broadcasts       []broadcast
	nextSync         float64
	nextMetadataSync float64
	pagesSent        int
	pagesResetAt     float64
	nextReconnect    float64
	nameClaim        nameClaim
	convergenceTimes []float64 // how long each settling took
}

// probe is the question at hand.
type probe struct {
	name                 string
	seq                  uint64
	sentAt, deadline     float64
	retryAt              float64 // when it is asked once more
	indirect, acked      bool
	nacks, expectedNacks int
}

// indirectProbe is a question asked in another one's place.
type indirectProbe struct {
	seq, requesterSeq uint64
	requester         netip.AddrPort
	target            Record
	sentAt            float64
	nacked            bool
}

// broadcast is a piece of news: the record of a member, and how often it was told.
type broadcast struct {
	name      string
	transmits int
}

// New makes a member that knows nobody.
func New(o Options) *Node {
	if o.DeadTTL == 0 {
		o.DeadTTL = defaultDeadTTL
	}
	if o.TicksPerProbe <= 0 {
		o.TicksPerProbe = defaultTicksPerProbe
	}
	o.Metadata.Seq = 1
	m := &Node{Options: o, byName: map[string]*member{}, rng: rand.New(rand.NewPCG(o.RandomSeed, o.Generation)), viewEpoch: 1, namesEpoch: 1}
	facts := o.Metadata
	m.self = member{Record: Record{Name: o.Name, Addr: o.Addr, Generation: o.Generation, Metadata: &facts}, key: Key(o.Name)}
	m.toggleSelfDigest()
	return m
}

// Start begins: seeds are asked at once.
func (m *Node) Start(now float64) {
	m.now, m.joinedAt, m.started = now, now, true
	m.self.stateSince, m.viewDifferedAt, m.divergedAt = now, now, now
	m.nextTick = now + m.tickInterval()*(0.5+m.rng.Float64()) // members that start together do not step together
	m.probe.deadline = now + m.ProbeInterval*m.rng.Float64()
	m.queueBroadcast(m.self.Name)
	m.pingSeeds()
	m.markDiverged()
}

// tickInterval is the time between two looks at the deadlines.
func (m *Node) tickInterval() float64 { return m.ProbeInterval / float64(m.TicksPerProbe) }

// NextTick is when Tick is due.
func (m *Node) NextTick() float64 { return m.nextTick }

// TakePackets takes the messages to be sent.
func (m *Node) TakePackets() []Packet {
	out := m.outbox
	m.outbox = nil
	return out
}

// TakeChanges takes the changes since the last call.
func (m *Node) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// Tick does what is due.
func (m *Node) Tick(now float64) {
	if late := now - m.nextTick; late > pauseThreshold*m.ProbeInterval {
		m.HandlePause(now)
	}
	m.now = now
	if now < m.nextTick || m.left {
		m.nextTick = math.Max(m.nextTick, now+m.tickInterval())
		return
	}
	m.nextTick = now + m.tickInterval()
	if m.withdrawn {
		m.reclaimName()
		return
	}
	m.expireSuspicions()
	m.expireIndirectProbes()
	m.advanceProbe()
	m.probeNameClaim()
	if now >= m.nextReconnect {
		m.pingSeeds()
		m.pingDead()
		m.removeExpired()
	}
	if m.Delegate != nil {
		m.Delegate.Tick(now)
	}
	m.gossip()
	m.updateConvergence()
}

// HandlePause tells that the process has stood still: what it waited for meanwhile says nothing of others, and what it knew
// is to be looked at again before it is relied on.
func (m *Node) HandlePause(now float64) {
	late := math.Max(0, now-m.now)
	m.Stats.Pauses++
	m.now = now
	m.probe = probe{deadline: now}
	m.indirectProbes = m.indirectProbes[:0]
	m.nextTick = now
	if m.left || m.withdrawn {
		return
	}
	for _, d := range m.suspicions {
		d.suspectedAt, d.suspicionDeadline = d.suspectedAt+late, d.suspicionDeadline+late
	}
	m.resetRecognition()
	m.viewChanged()
	m.pingSeeds()
}

// SetMetadata sets the member's own facts.
func (m *Node) SetMetadata(now float64, metadata Metadata) {
	was := *m.self.Metadata
	metadata.Seq = was.Seq
	if metadata == was {
		return
	}
	metadata.Seq++
	m.now = now
	if m.left { // its digest counts nowhere
		m.self.Metadata = &metadata
		return
	}
	m.metadataDigest ^= m.self.digestWithMetadata(m.self.key)
	m.self.Metadata = &metadata
	m.metadataDigest ^= m.self.digestWithMetadata(m.self.key)
	m.queueBroadcast(m.self.Name)
}

// Recognized says whether enough others have told that they count this member.
func (m *Node) Recognized() bool { return m.recognized }

// GossipNow tells what the rider has at once, and not with the next step.
func (m *Node) GossipNow(now float64) {
	if m.started && !m.left && !m.withdrawn {
		m.now = math.Max(m.now, now)
		m.gossip()
	}
}

// Leave says to the others that this member has stopped: its shares are theirs.
func (m *Node) Leave(now float64) {
	if m.left || m.withdrawn || !m.started {
		return
	}
	m.now = now
	m.toggleSelfDigest()
	m.self.State, m.self.stateSince = Left, now
	m.left = true
	m.queueBroadcast(m.self.Name)
	for _, o := range m.randomMembers(retransmitLimit(retransmitMult, len(m.members)), "") {
		m.send(o.Addr, &Message{Kind: Update})
	}
}

// Rejoin takes a Leave back.
func (m *Node) Rejoin(now float64) {
	if !m.left {
		return
	}
	m.left, m.recognized = false, false
	m.self.State, m.self.Incarnation, m.self.stateSince = Alive, m.self.Incarnation+1, now
	m.now, m.joinedAt, m.nextTick, m.probe = now, now, now, probe{deadline: now}
	m.toggleSelfDigest()
	m.queueBroadcast(m.self.Name)
	m.pingSeeds()
}

// DeclareLeft has one that is dead count as one that has left: somebody knows that its process has ended.
func (m *Node) DeclareLeft(now float64, name string) error {
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
	m.replaceRecord(o, r, "declared gone by hand")
	return nil
}

// SetSeeds sets other seeds.
func (m *Node) SetSeeds(now float64, seeds []netip.AddrPort) {
	m.now, m.Seeds = now, seeds
	m.pingSeeds()
}

// ---- messages ----
