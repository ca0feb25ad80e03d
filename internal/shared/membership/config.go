package membership

import (
	"net/netip"
)

// Options configure a node. The fields without a default are required.
type Options struct {
	Cluster       string           // name of the cluster; messages of others are rejected
	Name          string           // of the member, unique in the cluster
	Addr          netip.AddrPort   // UDP address at which other members reach this one
	Seeds         []netip.AddrPort // addresses through which to join
	ProbeInterval float64          // seconds between probes; shorter detects failures sooner at more traffic
	TicksPerProbe int              // ticks in a probe interval; more ticks act on deadlines and updates sooner; 0: five
	DeadTTL       float64          // seconds until a dead member is removed; 0: an hour
	Generation    uint64           // number of this run of the process, higher than of all earlier runs: the Unix time in microseconds
	RandomSeed    uint64           // of the random numbers
	Metadata      Metadata         // the member's own; Seq is ignored
	Delegate      Delegate         // nil: none
	PlainSWIM     bool             // SWIM as first published, without the additions; for measurements only
}

// Delegate sends data of its own along with the node's messages. Like Node it must be pure and must not block.
type Delegate interface {
	// Payload returns data of at most limit bytes to send with the next message; nil: none.
	Payload(now float64, limit int) []byte
	// HandlePayload handles data that came with a message of another member. It returns replies, each of which is sent
	// in a message of its own.
	HandlePayload(now float64, from string, payload []byte) (replies [][]byte)
	// HasUrgent reports whether data should be sent without waiting for a message to go along with.
	HasUrgent() bool
	// Tick is called at each tick of the node.
	Tick(now float64)
}

// The constants of the protocol. Times are in probe intervals unless stated otherwise.
const (
	defaultTicksPerProbe   = 5    // ticks in a probe interval
	indirectProbeDelay     = 0.4  // after a ping without an ack, until other members are asked to ping
	probeRetryInterval     = 0.2  // between further pings of the member, from then on
	indirectProbeCount     = 3    // members that are asked to ping
	nackDelay              = 0.3  // until a member that was asked to ping sends a nack
	maxAwareness           = 8    // bound of the local health multiplier, as in Lifeguard
	suspicionMultiplier    = 4.0  // least suspicion timeout, times the decimal logarithm of the cluster size
	suspicionMaxMultiplier = 6.0  // suspicion timeout without confirmations, in least suspicion timeouts
	suspicionConfirmations = 3    // confirmations besides the first that shorten the timeout to the least
	retransmitMultiplier   = 4.0  // transmissions of a broadcast, times the decimal logarithm of the cluster size
	gossipFanout           = 2    // members that get the broadcasts at each tick
	reconnectInterval      = 10.0 // between pings of dead members, and of seeds that are no known member's address
	syncInterval           = 3.0  // between exchanges of digests once recognized: most differences are broadcasts on their way
	joiningSyncInterval    = 1.0  // between exchanges of digests until then
	metadataSyncInterval   = 10.0 // between exchanges of digests if only metadata differs
	maxPagesPerInterval    = 32   // messages of records sent in a probe interval
	agreementDelay         = 2.0  // without another digest or update, until members that agree count as all members
	indirectProbeTTL       = 2.0  // until a ping on behalf of another member is forgotten
	pauseThreshold         = 3.0  // delay of a tick from which the process counts as paused
	nameClaimAttempts      = 4    // pings of a process that claims the own name, before the claim is dismissed
	nameReclaimInterval    = 20.0 // until a withdrawn node checks whether the name is free again
	defaultDeadTTL         = 3600 // seconds
	maxMembers             = 4096 // other members known at a time; bounds the memory that forged names can use
	maxIndirectProbes      = 256  // pings in flight for other members
)
