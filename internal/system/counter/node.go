package counter

import (
	"math"
	"net/netip"
	"time"
)

const (
	// excuseAfter is how long no exchange with a peer succeeds before acknowledgements do without it.
	excuseAfter = 600 * time.Millisecond
	// startGrace is how long after the start of the process no peer is excused: the first machine to return after the loss of all
	// must not acknowledge alone.
	startGrace = 3 * time.Second
	// pauseThreshold is the gap between two calls above which the process is taken to have been paused.
	pauseThreshold = 250 * time.Millisecond
	// maxTickInterval is the longest time until the next tick that Ready asks for, well below pauseThreshold.
	maxTickInterval = 100 * time.Millisecond
	// diskStallLimit is how long the oldest write may take before further operations are rejected.
	diskStallLimit = 300 * time.Millisecond
	// maxSequence bounds sequence numbers: positions in memory have 32 bits.
	maxSequence = math.MaxUint32
)

// Peer is another replica.
type Peer struct {
	Address netip.AddrPort
	Zone    string
}

// Durability is on how many machines, and in how many zones, an operation must be durable before it is acknowledged, as far
// as so many can be reached.
type Durability struct{ Machines, Zones int }

// Options configure a Node.
type Options struct {
	Origin     Origin // of this disk's log
	Address    netip.AddrPort
	Zone       string
	Durability Durability
	// MaxOperations bounds the entries of all logs; beyond it no operation is accepted. Those of peers are.
	MaxOperations int
	// CatchUpFirst is for a new disk on a machine of a system that runs already: nothing is read before it has caught up once.
	CatchUpFirst bool
	// NewOrigin draws a random origin, for a disk that went back in time.
	NewOrigin func() Origin
}

// Node is one replica of all counters. It is not safe for concurrent use. Times are those of a monotonic clock; the
// clocks of replicas need not agree.
type Node struct {
	options Options
	self    Sender
	now     time.Duration // the latest time passed in
	ready   bool          // reads are answered, see Options.CatchUpFirst

	graceEnd time.Duration // until then no peer is excused

	logs       logSet
	own        *operationLog
	ownStart   uint64 // its length at the start of the process, or when the origin was begun
	operations operationSet
	newOrigin  Origin // begun since the last Ready
	resets     int    // number of origins begun after the disk went back in time

	queue         []queuedEntry // not yet durable, in order
	handedOut     int           // of queue
	queuedTotal   uint64        // number of entries ever queued
	persisted     uint64        // of these, durable
	encodedVector []byte        // nil: to be encoded again

	peers       []*peer // by address
	byAddress   map[netip.AddrPort]*peer
	pulling     *peer // the peer of the pull in flight
	waiters     []waiter
	lastAdd     AddID
	requests    []pendingRequest
	lastRequest RequestID

	exchanges []Exchange
	replies   []Reply
}

// queuedEntry is an entry on its way to the disk.
type queuedEntry struct {
	log      *operationLog
	sequence uint64
	index    operationIndex
	queuedAt time.Duration
}

// NewNode returns a replica that continues from the entries on its disk: in any order of origins, ascending in
// each. All must be synced. The error is an *InvalidLogError.
func NewNode(options Options, persisted []Entry, now time.Duration) (*Node, error) {
	node := &Node{
		options:    options,
		self:       Sender{Address: options.Address.String(), Zone: options.Zone, Origin: options.Origin},
		now:        now,
		ready:      !options.CatchUpFirst,
		graceEnd:   now + startGrace,
		logs:       logSet{byOrigin: map[Origin]*operationLog{}},
		operations: newOperationSet(),
		byAddress:  map[netip.AddrPort]*peer{},
	}
	if options.Origin == 0 {
		return nil, &InvalidLogError{Reason: "the origin of the disk is 0"}
	}
	node.own = node.logs.get(options.Origin)
	for i := range persisted {
		if err := node.restore(&persisted[i]); err != nil {
			return nil, err
		}
	}
	node.ownStart = node.own.length()
	return node, nil
}

// restore applies an entry from the disk.
func (n *Node) restore(entry *Entry) error {
	if entry.Origin == 0 {
		return &InvalidLogError{Origin: entry.Origin, Sequence: entry.Sequence, Reason: "the origin is 0"}
	}
	log := n.logs.get(entry.Origin)
	if entry.Sequence != log.length()+1 || entry.Sequence > maxSequence {
		return &InvalidLogError{Origin: entry.Origin, Sequence: entry.Sequence, Reason: "it does not follow the one before"}
	}
	if err := entry.Operation.validate(); err != nil {
		return &InvalidLogError{Origin: entry.Origin, Sequence: entry.Sequence, Reason: err.Error()}
	}
	index := n.operations.insert(&entry.Operation, position{log, entry.Sequence})
	log.entries = append(log.entries, index)
	log.durable = entry.Sequence
	n.logs.entries++
	n.operations.markDurable(index)
	return nil
}

// advanceClock sets the time. After a pause of this process no peer is to blame for it: all limits move by the gap.
func (n *Node) advanceClock(now time.Duration) {
	if gap := now - n.now; gap > pauseThreshold {
		n.shiftLimits(gap)
	}
	n.now = max(n.now, now)
}

// shiftLimits moves all time limits.
func (n *Node) shiftLimits(gap time.Duration) {
	if n.graceEnd > n.now {
		n.graceEnd += gap
	}
	for _, peer := range n.peers {
		peer.shiftLimits(gap)
	}
	for i := range n.waiters {
		n.waiters[i].since += gap
	}
	for _, log := range n.logs.behind {
		log.targetSince += gap
	}
	for i := range n.queue {
		n.queue[i].queuedAt += gap
	}
}

// Tick does what is due at a time.
func (n *Node) Tick(now time.Duration) { n.advanceClock(now) }

// Total returns the value of a counter over all operations that are durable here, 0 for a counter that nothing was added to.
// The error is ErrNotReady before the replica has caught up.
func (n *Node) Total(counter string) (Total, error) {
	if !n.ready {
		return Total{}, ErrNotReady
	}
	return n.operations.total(counter), nil
}

// enqueue appends an operation to a log and to the queue of the disk.
func (n *Node) enqueue(log *operationLog, added *Operation) operationIndex {
	index := n.operations.insert(added, position{log, log.length() + 1})
	n.appendToLog(log, index)
	return index
}

// appendToLog appends an operation of the set to a log and to the queue of the disk.
func (n *Node) appendToLog(log *operationLog, index operationIndex) {
	log.entries = append(log.entries, index)
	n.logs.entries++
	n.queue = append(n.queue, queuedEntry{log: log, sequence: log.length(), index: index, queuedAt: n.now})
	n.queuedTotal++
}

// HandlePersisted tells that the first count entries which Ready handed out, and for which it was not called yet, are durable.
func (n *Node) HandlePersisted(count int, now time.Duration) {
	n.advanceClock(now)
	count = min(count, n.handedOut)
	for _, entry := range n.queue[:count] {
		entry.log.durable = max(entry.log.durable, entry.sequence)
		n.operations.markDurable(entry.index)
	}
	if count > 0 {
		n.encodedVector = nil
	}
	n.queue = n.queue[count:]
	if len(n.queue) == 0 {
		n.queue = nil // release the memory of a long catch-up
	}
	n.handedOut -= count
	n.persisted += uint64(count)
}

// vector returns the encoding of the version vector.
func (n *Node) vector() []byte {
	if n.encodedVector == nil {
		n.encodedVector = encodeVector(&n.self, n.logs.sorted)
	}
	return n.encodedVector
}
