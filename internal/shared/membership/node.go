package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
)

// Packet is a message and its destination.
type Packet struct {
	To      netip.AddrPort
	Message *Message
}

// Change is a change of a member's state.
type Change struct {
	Name        string
	From, To    State
	New         bool // the member was not known before
	Incarnation uint64
	Cause       string // for operators
}

// Stats count events since the node was created.
type Stats struct {
	Probes          uint64 // probes started
	FailedProbes    uint64 // probes that ended without an ack
	Suspicions      uint64 // of other members
	Refutations     uint64 // suspicions of other members that were refuted
	SelfRefutations uint64 // suspicions of this node that it refuted
	Deaths          uint64 // other members declared dead
	Duplicates      uint64 // messages dropped because they were received before
	Stale           uint64 // messages dropped because they were of an earlier generation
	RejectedNames   uint64 // new members ignored because of maxMembers
	OwnMessages     uint64 // messages of this node that came back to it
	Syncs           uint64 // exchanges of digests that this node started
	Pages           uint64 // messages of records sent
	NameClaims      uint64 // claims of this node's name by other processes
	Withdrawals     uint64 // withdrawals because of them
	Pauses          uint64 // of the process
}

// Node is a member's state machine.
type Node struct {
	Options
	Stats

	self         member
	members      []*member // the other members, ordered by name
	byName       map[string]*member
	rng          *rand.Rand
	outbox       []Packet
	changes      []Change
	messagesSent uint64 // messages sent by this generation
	probeSeq     uint64

	now           float64 // time of the last call
	nextTick      float64 // see NextTick
	joinedAt      float64
	started       bool
	left          bool    // Leave was called
	contacted     bool    // a message of another member has come
	recognized    bool    // enough other members have this one in their view; see updateConvergence
	withdrawn     bool    // another process has the name; this node is passive
	nameReclaimAt float64 // while withdrawn: time of the next check whether the name is free

	alive, suspects, dead int // the other members by state

	// Digests of the view, which all members must agree on; of the names of alive and suspect members; and of the view
	// with the versions of all metadata.
	viewDigest, namesDigest, metadataDigest uint64
	// Each change of the view, or of the names, begins an epoch. The agreements are the members that have sent the same
	// digest in the current one.
	viewEpoch, namesEpoch           uint64
	viewAgreements, namesAgreements int
	viewDifferedAt, namesDifferedAt float64 // time of the last message with another digest
	lastUpdateAt                    float64 // time of the last broadcast queued, or of a message with other metadata
	converged                       bool
	divergedAt                      float64 // time when converged became false

	awareness        int      // local health multiplier less one: 0 is healthy
	probeOrder       []string // names still to be probed in this round, the next one last
	probe            probe
	indirectProbes   []indirectProbe
	suspicions       []*member // members in state Suspect
	broadcasts       []broadcast
	nextSync         float64 // time from which digests are exchanged again
	nextMetadataSync float64 // the same if only metadata differs
	pagesSent        int     // since pagesResetAt less one probe interval
	pagesResetAt     float64 // time from which pages are counted anew
	nextReconnect    float64 // time of the next pings of seeds and of a dead member
	nameClaim        nameClaim
	convergenceTimes []float64 // seconds that each convergence took; see TakeConvergenceTimes
}

// New returns a node that knows no other member.
func New(options Options) *Node {
	if options.DeadTTL == 0 {
		options.DeadTTL = defaultDeadTTL
	}
	if options.TicksPerProbe <= 0 {
		options.TicksPerProbe = defaultTicksPerProbe
	}
	options.Metadata.Seq = 1
	node := &Node{
		Options:    options,
		byName:     map[string]*member{},
		viewEpoch:  1,
		namesEpoch: 1,
		rng:        rand.New(rand.NewPCG(options.RandomSeed, options.Generation)),
	}
	metadata := options.Metadata
	node.self = member{
		key: Key(options.Name),
		Record: Record{
			Name:       options.Name,
			Addr:       options.Addr,
			Generation: options.Generation,
			Metadata:   &metadata,
		},
	}
	node.toggleSelfDigest()
	return node
}

// Start joins: it pings the seeds.
func (n *Node) Start(now float64) {
	n.started = true
	n.now = now
	n.joinedAt = now
	n.self.stateSince = now
	n.viewDifferedAt = now
	n.divergedAt = now
	n.nextTick = now + n.tickInterval()*(0.5+n.rng.Float64()) // members that start together must not tick together
	n.probe.deadline = now + n.ProbeInterval*n.rng.Float64()
	n.queueBroadcast(n.self.Name)
	n.pingSeeds()
	n.markDiverged()
}

// tickInterval returns the time between two ticks.
func (n *Node) tickInterval() float64 { return n.ProbeInterval / float64(n.TicksPerProbe) }

// NextTick returns when Tick is due.
func (n *Node) NextTick() float64 { return n.nextTick }

// TakePackets returns the packets to send, and removes them.
func (n *Node) TakePackets() []Packet {
	out := n.outbox
	n.outbox = nil
	return out
}

// TakeChanges returns the changes since the last call.
func (n *Node) TakeChanges() []Change {
	changes := n.changes
	n.changes = nil
	return changes
}

// Tick acts on all deadlines that have passed. A call before NextTick only postpones the next tick.
func (n *Node) Tick(now float64) {
	if late := now - n.nextTick; late > pauseThreshold*n.ProbeInterval {
		n.HandlePause(now)
	}
	n.now = now
	if now < n.nextTick || n.left {
		n.nextTick = math.Max(n.nextTick, now+n.tickInterval())
		return
	}
	n.nextTick = now + n.tickInterval()
	if n.withdrawn {
		n.reclaimName()
		return
	}
	n.expireSuspicions()
	n.expireIndirectProbes()
	n.advanceProbe()
	n.probeNameClaim()
	if now >= n.nextReconnect {
		n.pingSeeds()
		n.pingDead()
		n.removeExpired()
	}
	if n.Delegate != nil {
		n.Delegate.Tick(now)
	}
	n.gossip()
	n.updateConvergence()
}
