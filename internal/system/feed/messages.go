package feed

import (
	"math"
	"net/netip"
	"time"
)

// AgeNever is the age of an event that has not happened, such as a sender that never was up to date.
const AgeNever = time.Duration(math.MaxInt64)

// StaleAfter is the age of a sender's state from which a follower should no longer rely on it. It is about two election
// timeouts, within which a lost leader is replaced.
const StaleAfter = 1500 * time.Millisecond

// Batch brings a follower from the index that it named to the index To. A snapshot replaces everything that the follower
// holds of the partition.
type Batch struct {
	Partition Partition
	Snapshot  bool
	From      uint64 // index at which a delta starts; a follower below it cannot apply the batch
	To        uint64 // index that the follower holds after it has applied the batch
	Items     []Item
	Packed    []byte        // the items in compressed form, in place of Items: see Pack
	PackedAge time.Duration // since the items were packed; Unpack adds it to their ages
}

// Position says up to which index a follower holds a partition; index 0 means that it holds nothing.
type Position struct {
	Partition Partition
	Index     uint64
}

// FollowRequest asks for the changes since the given positions. The sender replies as soon as there are any, and after
// Wait at the latest. Control replicas and agents serve it as the method Feed.Follow.
type FollowRequest struct {
	Node      string        // name of the follower's machine
	Positions []Position    // partitions that are not named are sent from the start
	Wait      time.Duration // longest time until the reply
	Packed    bool          // the follower understands packed batches
	// Current are the partitions in which the follower takes the sender to be up to date: the sender replies early once
	// it is stale in one of them.
	Current PartitionSet
	Peers   uint64 // FollowReply.PeersDigest of the peers that a proxy received last; 0: none
}

// FollowReply holds the changes that were asked for, and the state of the sender.
type FollowReply struct {
	Batches []Batch
	// Ages hold for each partition the time since the sender knew that it held everything committed. Agents forward the
	// ages that they received, plus the time since. A partition beyond the end has the age AgeNever: see Age.
	Ages    []time.Duration
	Proxies int // number of proxies that may be serving, at least 1; an overestimate in doubt; 0: unknown
	// Peers are the other proxies that may be sending requests. Only an agent fills them in, for its proxy, and only if
	// their digest differs from the one in the request.
	Peers       []Peer
	PeersDigest uint64 // 0: the reply holds no peers
	// Busy is set if the sender has more to send than it can at present: the follower should ask another sender, or this
	// one again after that time.
	Busy time.Duration
}

// Age returns the time since the sender was up to date in a partition, AgeNever if it never was.
func (r *FollowReply) Age(partition Partition) time.Duration {
	if int(partition) >= len(r.Ages) {
		return AgeNever
	}
	return max(0, r.Ages[partition])
}

// Peer is a proxy that may be sending requests, as an agent describes it to its own proxy.
type Peer struct {
	Node    string     // name of the peer's machine
	Address netip.Addr // address of the peer's machine
	Zone    string     // empty: not known yet
}

// ProxyReport is the state that a proxy reports to the agent of its machine, as the method Proxy.Report: every second,
// and at once when the state changes.
type ProxyReport struct {
	Ready    bool   // the proxy accepts requests
	Stopping bool   // the proxy ends soon: no client should be directed to it
	Front    string // address at which the proxy serves clients
	Learnt   []byte // snapshot of what the proxy knows of the runners, kept for its next incarnation; empty: unchanged
}

// ProxyReportReply holds the snapshot of the proxy's earlier incarnation. It is filled in only if the report holds no
// snapshot itself and says that the proxy is not ready, as the first report of a proxy does.
type ProxyReportReply struct {
	Learnt []byte
}
