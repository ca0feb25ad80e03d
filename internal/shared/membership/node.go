package membership

import (
	"fmt"
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

// HandlePause records that the process was paused. Deadlines that passed meanwhile say nothing of the other members,
// and the view must be confirmed again before it is relied on.
func (n *Node) HandlePause(now float64) {
	late := math.Max(0, now-n.now)
	n.Stats.Pauses++
	n.now = now
	n.probe = probe{deadline: now}
	n.indirectProbes = n.indirectProbes[:0]
	n.nextTick = now
	if n.left || n.withdrawn {
		return
	}
	for _, suspect := range n.suspicions {
		suspect.suspectedAt += late
		suspect.suspicionDeadline += late
	}
	n.resetRecognition()
	n.viewChanged()
	n.pingSeeds()
}

// SetMetadata sets the member's own metadata, except Seq, and broadcasts it.
func (n *Node) SetMetadata(now float64, metadata Metadata) {
	before := *n.self.Metadata
	metadata.Seq = before.Seq
	if metadata == before {
		return
	}
	metadata.Seq++
	n.now = now
	if n.left { // a member that has left is in no digest
		n.self.Metadata = &metadata
		return
	}
	n.metadataDigest ^= n.self.digestWithMetadata(n.self.key)
	n.self.Metadata = &metadata
	n.metadataDigest ^= n.self.digestWithMetadata(n.self.key)
	n.queueBroadcast(n.self.Name)
}

// Recognized reports whether enough other members have confirmed that they have this one in their view.
func (n *Node) Recognized() bool { return n.recognized }

// Leave announces that this member stops, so that the others need not detect it.
func (n *Node) Leave(now float64) {
	if n.left || n.withdrawn || !n.started {
		return
	}
	n.now = now
	n.toggleSelfDigest()
	n.self.State = Left
	n.self.stateSince = now
	n.left = true
	n.queueBroadcast(n.self.Name)
	for _, peer := range n.randomMembers(retransmitLimit(len(n.members)), "") {
		n.send(peer.Addr, &Message{Kind: Update})
	}
}

// Rejoin undoes Leave.
func (n *Node) Rejoin(now float64) {
	if !n.left {
		return
	}
	n.left = false
	n.recognized = false
	n.self.State = Alive
	n.self.Incarnation++
	n.self.stateSince = now
	n.now = now
	n.joinedAt = now
	n.nextTick = now
	n.probe = probe{deadline: now}
	n.toggleSelfDigest()
	n.queueBroadcast(n.self.Name)
	n.pingSeeds()
}

// DeclareLeft marks a dead member as left. The caller must know that its process has ended. It fails for a member in
// any other state.
func (n *Node) DeclareLeft(now float64, name string) error {
	peer := n.byName[name]
	switch {
	case peer == nil:
		return fmt.Errorf("membership: nobody has the name %s", name)
	case peer.State == Left:
		return nil
	case peer.State != Dead:
		return fmt.Errorf("membership: %s is %s: only one that is dead can be declared gone", name, peer.State)
	}
	n.now = now
	record := peer.Record
	record.State = Left
	n.replaceRecord(peer, record, "declared gone by hand")
	return nil
}

// SetSeeds replaces the seeds and pings them.
func (n *Node) SetSeeds(now float64, seeds []netip.AddrPort) {
	n.now = now
	n.Seeds = seeds
	n.pingSeeds()
}
