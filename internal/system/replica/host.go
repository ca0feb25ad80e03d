package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/processconfig"
)

// Timing of consensus. A failed leader is replaced within about two election timeouts.
const (
	defaultHeartbeatInterval = 150 * time.Millisecond
	defaultElectionTimeout   = 750 * time.Millisecond
	timerGranularity         = 10 * time.Millisecond  // timers are rounded up to it so that they share wake-ups
	membershipCheckInterval  = 500 * time.Millisecond // unless something happens earlier
	transferTimeout          = 2 * time.Second        // for moving leaderships and votes when the host stops
)

// Limits on append messages.
const (
	maxAppendBytes     = 128 << 10 // of the entries in one message, unless a single entry is larger
	maxInflightAppends = 8         // unacknowledged messages with entries to one replica
)

// Options configure a Host.
type Options struct {
	Settings *processconfig.Settings
	// StateMachines has the state machine of each partition at its index.
	StateMachines []StateMachine
	Log           *zap.Logger
	// OnApplied, if not nil, is called with the index up to which a state machine has applied the log, one call at a time
	// for a partition. It must neither block nor call the host.
	OnApplied func(partition feed.Partition, index uint64)
	// OnFailure, if not nil, is called once if the replicas cannot go on in this process, for example because the store
	// was found corrupt. The process should end; restarted, it joins as a new replica with an empty store.
	OnFailure func(error)
	// HeartbeatInterval is the time between two messages of an idle leader. ElectionTimeout is the time without a leader
	// after which a replica starts an election, at least; shorter ones replace a failed leader sooner, and cause needless
	// elections on slow networks and disks. 0: 150 ms and 750 ms.
	HeartbeatInterval, ElectionTimeout time.Duration
}

// Host runs this machine's replicas of all partitions. It implements Replicas.
type Host struct {
	options Options
	log     *zap.Logger
	address netip.AddrPort // of this machine's control RPC
	started time.Time      // the origin of the clock, see now

	// mutex guards what follows up to stopping, and all groups. The list of groups itself is fixed by New. The locks of a
	// peer, of the disk writer and of a state machine are taken while it is held, never the other way round.
	mutex               sync.Mutex
	self                consensus.Member // its ID is 0 until the groups are started, and fixed from then on
	groups              []*group
	peers               *peerSet
	joinRequests        joinRequests
	departures          departures
	disk                *diskWriter
	knownAddresses      []netip.AddrPort // where other replicas may be, oldest first
	nextMembershipCheck time.Duration
	nextJoin            time.Duration
	nextWakeUp          time.Duration // when run ticks next
	failed              bool          // OnFailure was called
	leaving             bool          // Leave was called
	stopping            bool

	// storeCorrupted tells that an earlier store of this machine was lost or moved aside, so that this replica must not
	// found the groups. It is owned by the goroutine of runDiskWriter.
	storeCorrupted bool

	wake    chan struct{}
	context context.Context
	cancel  context.CancelFunc
	// goroutines counts all goroutines of the host; Stop waits for them.
	goroutines sync.WaitGroup
	// openStore opens a state folder; tests replace it to simulate disk faults.
	openStore func(folder string) (store, error)
}

var _ Replicas = (*Host)(nil)

// New returns a host that is idle until Start. Its handlers may be registered before that; they answer as a replica
// without a leader.
func New(options Options) *Host {
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = defaultHeartbeatInterval
	}
	if options.ElectionTimeout == 0 {
		options.ElectionTimeout = defaultElectionTimeout
	}
	host := &Host{
		options:   options,
		log:       options.Log,
		started:   time.Now(),
		wake:      make(chan struct{}, 1),
		openStore: openStorage,
	}
	if host.log == nil {
		host.log = zap.NewNop()
	}
	settings := options.Settings
	host.address = controlAddress(settings, settings.IP)
	host.self = consensus.Member{Node: settings.Node, Zone: settings.Zone, Address: host.address.String()}
	for i, state := range options.StateMachines {
		host.groups = append(host.groups, newGroup(feed.Partition(i), state))
	}
	for _, seed := range settings.SeedNodes {
		host.addAddress(controlAddress(settings, seed.Addr()))
	}
	host.context, host.cancel = context.WithCancel(context.Background())
	host.peers = newPeerSet(host.context, &host.goroutines)
	host.disk = newDiskWriter(settings.StateDir)
	return host
}

// Start opens the store and runs the replicas in the background. It does not block; opening is retried for as long as
// the disk fails. Stop ends what Start began.
func (h *Host) Start() {
	h.goroutines.Add(2)
	go func() {
		defer h.goroutines.Done()
		h.runDiskWriter()
	}()
	go func() {
		defer h.goroutines.Done()
		h.run()
	}()
}

// startGroups creates the consensus nodes from their persistent state. It returns false, after reportFailure, if a
// state machine rejects its snapshot.
func (h *Host) startGroups(id consensus.ReplicaID, stored []consensus.PersistentState) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for i, g := range h.groups {
		options := nodeOptions(id, randomUint64(), h.options.HeartbeatInterval, h.options.ElectionTimeout)
		if err := g.start(h.now(), options, stored[i]); err != nil {
			h.reportFailure(fmt.Errorf("replica: stored state of partition %d: %w", g.partition, err))
			return false
		}
	}
	h.self.ID = id
	h.nextMembershipCheck = 0
	h.log.Info("replica started", zap.String("replica", id.Hex()))
	h.processReady()
	for _, g := range h.groups {
		if g.appliedIndex > 0 && h.options.OnApplied != nil {
			h.options.OnApplied(g.partition, g.appliedIndex)
		}
	}
	return true
}

// group returns the group of a partition, nil if there is no such partition.
func (h *Host) group(partition feed.Partition) *group {
	if int(partition) >= len(h.groups) {
		return nil
	}
	return h.groups[partition]
}

// now returns the monotonic time since the host was created. It is the clock of all consensus nodes.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// reportFailure calls OnFailure for the first error after which the replicas cannot go on in this process. The host's
// mutex is held.
func (h *Host) reportFailure(err error) {
	if h.failed {
		return
	}
	h.failed = true
	h.log.Error("replica failed", zap.Error(err))
	if h.options.OnFailure != nil {
		go h.options.OnFailure(err)
	}
}

// nodeOptions returns the consensus configuration of a replica of any partition.
func nodeOptions(id consensus.ReplicaID, seed uint64, heartbeat, election time.Duration) consensus.Config {
	return consensus.Config{
		ID:                 id,
		HeartbeatInterval:  heartbeat,
		ElectionTimeout:    election,
		Seed:               seed,
		MaxAppendBytes:     maxAppendBytes,
		MaxInflightAppends: maxInflightAppends,
		// This host decides itself when to make snapshots, see dueSnapshot, and ignores Ready.CompactIndex. The threshold
		// only bounds the entries that Node.Compact retains: a quarter of it.
		SnapshotThreshold: 4 * retainedEntries,
	}
}

// randomUint64 returns a cryptographically random number.
func randomUint64() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
