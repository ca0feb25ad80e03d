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

// Times of the agreement. A lost leader is replaced within about two election times.
const (
	defaultHeartbeatInterval = 150 * time.Millisecond
	defaultElectionTimeout   = 750 * time.Millisecond
	timerGranularity         = 10 * time.Millisecond // to which timers are put off, so that several share a wake-up
	membershipCheckInterval  = 500 * time.Millisecond
	transferTimeout          = 2 * time.Second // when the host stops
)

// Bounds of what is sent.
const (
	maxAppendBytes     = 128 << 10 // of entries in one message, or one entry
	maxInflightAppends = 8         // unanswered messages with entries to one replica
)

// Options are a host's.
type Options struct {
	Settings *processconfig.Settings
	// StateMachines are the state machines of the partitions, from 0 on.
	StateMachines []StateMachine
	Log           *zap.Logger
	// OnApplied is told, one call at a time for a partition, up to which index a state machine now holds the log. It must
	// neither block nor call the host.
	OnApplied func(partition feed.Partition, index uint64)
	// OnFailure is told, once, that this replica cannot go on in this process, as when its file was found corrupt while it
	// ran: the process should end, and starts as a replica without a disk.
	OnFailure func(error)
	// HeartbeatInterval and Election are the times of the agreement; 0: the defaults.
	HeartbeatInterval, ElectionTimeout time.Duration
}

// Host runs this machine's replicas of all partitions. It implements Replicas.
type Host struct {
	options Options
	log     *zap.Logger
	self    consensus.Member // ID 0 before the store is open
	address netip.AddrPort   // of self
	started time.Time

	mutex        sync.Mutex
	groups       []*group
	peers        *peerSet
	joinRequests joinRequests
	// departures are replicas whose processes are about to end, as they said.
	departures          departures
	disk                *diskWriter
	knownAddresses      []netip.AddrPort // hints of other replicas' addresses
	nextMembershipCheck time.Duration
	nextJoin            time.Duration
	storeCorrupted      bool          // the store that this process found was moved aside
	nextWakeUp          time.Duration // when the loop wakes next
	failed              bool
	leaving             bool // Leave was called
	stopping            bool

	wake       chan struct{}
	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// openStore opens a state folder; tests put a failing disk in its place.
	openStore func(folder string) (store, error)
}

var _ Replicas = (*Host)(nil)

// New returns a host that does nothing before Start. Its handlers may be registered at once.
func New(options Options) *Host {
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = defaultHeartbeatInterval
	}
	if options.ElectionTimeout == 0 {
		options.ElectionTimeout = defaultElectionTimeout
	}
	host := &Host{options: options, log: options.Log, started: time.Now(), wake: make(chan struct{}, 1),
		openStore: openStorage}
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

// Start opens the store, which it tries again for as long as the disk fails, and runs the replicas. It does not wait.
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

// run ticks the machines when they are due.
func (h *Host) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-h.wake:
		case <-h.context.Done():
			return
		}
		timer.Reset(h.tick())
	}
}

func (h *Host) wakeLoop() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// tick does what is due and returns when to come back.
func (h *Host) tick() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	h.checkDisk(now)
	for _, g := range h.groups {
		if g.node != nil && g.node.NextTick() <= now {
			g.node.Tick(now)
		}
	}
	if now >= h.nextMembershipCheck {
		h.nextMembershipCheck = now + membershipCheckInterval
		h.checkMemberships(now)
	}
	h.processReady()
	h.nextWakeUp = h.nextDeadline()
	return max(h.nextWakeUp-h.now(), 0)
}

// nextDeadline is when something is to be done next, put off to the grid.
func (h *Host) nextDeadline() time.Duration {
	due := h.nextMembershipCheck
	for _, g := range h.groups {
		if g.node != nil {
			due = min(due, g.node.NextTick())
		}
	}
	return (due + timerGranularity - 1) / timerGranularity * timerGranularity
}

// stepMessage passes a message to its replica.
func (h *Host) stepMessage(now time.Duration, partition feed.Partition, message consensus.Message) {
	g := h.group(partition)
	if g == nil || g.node == nil {
		return
	}
	membership := g.node.Membership()
	g.contacts.record(message.From, &membership, now)
	if h.disk.overloaded() && (len(message.Entries) > 0 || message.Snapshot != nil) {
		return // it is sent again once the disk has caught up
	}
	g.node.Step(now, message)
}

// processReady does what the machines want done. Whoever has called a machine calls it before it lets go of the mutex.
func (h *Host) processReady() {
	for _, g := range h.groups {
		if g.node != nil {
			h.processGroup(g)
		}
	}
	h.peers.flush()
	if h.nextDeadline() < h.nextWakeUp {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

func (h *Host) processGroup(g *group) {
	applied, led := g.appliedIndex, g.isLeader
	if err := g.processReady(h); err != nil {
		h.reportFailure(fmt.Errorf("replica: snapshot of partition %d: %w", g.partition, err))
	}
	if g.appliedIndex != applied && h.options.OnApplied != nil {
		h.options.OnApplied(g.partition, g.appliedIndex)
	}
	if g.isLeader != led {
		g.leadershipSince = h.now()
		h.log.Info("leadership changed", zap.Uint16("partition", uint16(g.partition)), zap.Bool("leads", g.isLeader),
			zap.Uint64("term", g.node.Status().Term))
	}
}

// send puts messages on their way; see outlet.
func (h *Host) send(g *group, messages []consensus.Message) {
	for i := range messages {
		message := &messages[i]
		address, known := h.destination(g, message.To)
		if !known {
			continue
		}
		if message.Kind == consensus.MessageInstallSnapshot {
			h.peers.sendSnapshot(address, g, message)
			continue
		}
		h.peers.send(address, g.partition, message)
	}
}

// destination is where a message goes; false: nowhere, its receiver is not known or an earlier life of this machine.
func (h *Host) destination(g *group, to consensus.ReplicaID) (netip.AddrPort, bool) {
	address, known := h.replicaAddress(g, to)
	return address, known && address != h.address
}

// enqueueWrite has a job carried out; see outlet.
func (h *Host) enqueueWrite(j writeJob) { h.disk.enqueue(j) }

// startGroups makes the machines of what is stored; false: the state machines do not take it.
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
	h.log.Info("replica started", zap.String("replica", formatReplicaID(id)))
	h.processReady()
	for _, g := range h.groups {
		if g.appliedIndex > 0 && h.options.OnApplied != nil {
			h.options.OnApplied(g.partition, g.appliedIndex)
		}
	}
	return true
}

func (h *Host) group(partition feed.Partition) *group {
	if int(partition) >= len(h.groups) {
		return nil
	}
	return h.groups[partition]
}

// now is the steady time since the host was made.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// reportFailure reports that this process's replicas cannot go on.
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

// nodeOptions are those of a replica of any partition.
func nodeOptions(id consensus.ReplicaID, seed uint64, heartbeat, election time.Duration) consensus.Config {
	return consensus.Config{ID: id, HeartbeatInterval: heartbeat, ElectionTimeout: election, Seed: seed, MaxAppendBytes: maxAppendBytes,
		MaxInflightAppends: maxInflightAppends, SnapshotThreshold: 4 * retainedEntries}
}

func randomUint64() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func formatReplicaID(id consensus.ReplicaID) string { return fmt.Sprintf("%016x", uint64(id)) }
