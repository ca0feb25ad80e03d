// Package feed holds keyed items with numbered changes, and the messages by which followers are kept up to date.
// A partition numbers its changes; an item carries the number of its last change. Whoever follows says up to which
// number it holds a partition and gets every item that changed since, each once and at its newest, or a snapshot.
package feed

import (
	"math"
	"net/netip"
	"time"
)

// Partition numbers a part of the control state that is agreed on by itself.
type Partition uint16

// ConfigurationPartition holds the operator's configuration and the evacuations; the others hold runners, by the hash
// of their service's name (see PartitionOf).
const ConfigurationPartition Partition = 0

// Keys of items. In the configuration partition: KeyVersion (decimal), KeyLimits (JSON), KeyPrefixRoute+name, KeyPrefixService+name
// (8 bytes big-endian ordinal, then the JSON as the operator sent it), KeyPrefixExtra+field (JSON), KeyPrefixEvacuation+zone (empty
// value). In the other partitions: KeyPrefixRunner+id (discovery.Encode). Values are not to be changed once stored.
const (
	KeyVersion          = "version"
	KeyLimits           = "limits"
	KeyPrefixRoute      = "route/"
	KeyPrefixService    = "service/"
	KeyPrefixExtra      = "extra/"
	KeyPrefixEvacuation = "evacuation/"
	KeyPrefixRunner     = "runner/"
)

// Item is a key's state.
type Item struct {
	Key     string
	Index   uint64 // of the change that made it so
	Value   []byte
	Deleted bool
	Age     time.Duration // since the change, as far as the sender knows; steady clock
}

// Batch brings a follower from the index it named to To. A snapshot replaces all that the follower holds of the
// partition.
type Batch struct {
	Partition Partition
	Snapshot  bool
	From      uint64 // of a delta: the index that it starts from; a follower that is below it cannot use it
	To        uint64
	Items     []Item
	Packed    []byte        // the items in compressed form, instead of Items: see Pack
	PackedAge time.Duration // since they were packed; Unpack adds it to the items' ages
}

// Position is how far a follower holds a partition; 0: nothing.
type Position struct {
	Partition Partition
	Index     uint64
}

// FollowRequest asks for what changed since the positions. The answer comes at once if there is anything, and after
// Wait at the latest. It is served as Feed.Follow by control replicas and by agents.
type FollowRequest struct {
	Node      string
	Positions []Position // partitions that are not named are wanted from the start
	Wait      time.Duration
	Packed    bool // the follower takes packed batches
	// Current are the partitions with which the follower takes the sender for up to date: the answer comes once one is stale.
	Current PartitionSet
	Peers   uint64 // digest of the peers that a proxy was told last; 0: none
}

// Peer is a proxy that may be sending, as the agent of another proxy knows it.
type Peer struct {
	Node    string
	Address netip.Addr // of its machine
	Zone    string     // empty: not known yet
}

// AgeNever is the age of what never was.
const AgeNever = time.Duration(math.MaxInt64)

// StaleAfter is the age from which a sender's word on a partition is too old to be followed: about two election times, in
// which a leader that is lost is replaced.
const StaleAfter = 1500 * time.Millisecond

// FollowReply holds the changes.
type FollowReply struct {
	Batches []Batch
	// Ages say by partition how long ago the sender knew itself to hold all that a majority had agreed on; agents pass
	// on what they were told, with the time since. Partitions beyond its end never were up to date: see Age.
	Ages    []time.Duration
	Proxies int // proxies that may be serving, at least 1; an upper estimate where the sender is not sure; 0: not known
	// Peers are the other proxies that may be sending, told by an agent to its proxy where their digest is not the one that
	// the request named.
	Peers       []Peer
	PeersDigest uint64 // 0: nothing is told
	// Busy: there is more than can be sent now; the follower is to ask another sender, or this one after that time.
	Busy time.Duration
}

// Age is how long ago the sender was up to date with a partition, Never at most.
func (r *FollowReply) Age(partition Partition) time.Duration {
	if int(partition) >= len(r.Ages) {
		return AgeNever
	}
	return max(0, r.Ages[partition])
}
