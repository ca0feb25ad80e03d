package replica

import (
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// This file drives the groups: time, received messages, and what their nodes have ready.

// run ticks the groups when their timers are due, until the host stops.
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

// wakeLoop makes run tick at once.
func (h *Host) wakeLoop() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// tick does what is due on the disk, in the consensus nodes and in the memberships, and returns after how long to call it again.
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

// nextDeadline returns the time of the next tick, rounded up to timerGranularity.
func (h *Host) nextDeadline() time.Duration {
	due := h.nextMembershipCheck
	for _, g := range h.groups {
		if g.node != nil {
			due = min(due, g.node.NextTick())
		}
	}
	return (due + timerGranularity - 1) / timerGranularity * timerGranularity
}

// stepMessage passes a message to the partition's consensus node. Entries and snapshots are dropped while the disk
// writer is overloaded; their sender retransmits them. The host's mutex is held.
func (h *Host) stepMessage(now time.Duration, partition feed.Partition, message consensus.Message) {
	g := h.group(partition)
	if g == nil || g.node == nil {
		return
	}
	membership := g.node.Membership()
	g.contacts.record(message.From, &membership, now)
	if h.disk.overloaded() && (len(message.Entries) > 0 || message.Snapshot != nil) {
		return // the leader retransmits it
	}
	g.node.Step(now, message)
}

// processReady handles the pending output of all consensus nodes. Whoever has called a node must call it before
// releasing the mutex.
func (h *Host) processReady() {
	for _, g := range h.groups {
		if g.node != nil {
			h.processGroup(g)
		}
	}
	h.peers.flush()
	if h.nextDeadline() < h.nextWakeUp {
		h.wakeLoop()
	}
}

// processGroup handles the output of one group and reports changes of its applied index and of its leadership.
func (h *Host) processGroup(g *group) {
	appliedBefore := g.appliedIndex
	ledBefore := g.isLeader
	if err := g.processReady(h); err != nil {
		h.reportFailure(fmt.Errorf("replica: snapshot of partition %d: %w", g.partition, err))
	}
	if g.appliedIndex != appliedBefore && h.options.OnApplied != nil {
		h.options.OnApplied(g.partition, g.appliedIndex)
	}
	if g.isLeader != ledBefore {
		g.leadershipSince = h.now()
		h.log.Info("leadership changed", zap.Uint16("partition", uint16(g.partition)), zap.Bool("leader", g.isLeader),
			zap.Uint64("term", g.node.Status().Term))
	}
}

// send implements groupOutput.
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

// destination returns the address of a replica; false if the address is unknown or this machine's own, which an
// earlier replica of this machine had.
func (h *Host) destination(g *group, to consensus.ReplicaID) (netip.AddrPort, bool) {
	address, known := h.replicaAddress(g, to)
	return address, known && address != h.address
}

// enqueueWrite implements groupOutput.
func (h *Host) enqueueWrite(j writeJob) { h.disk.enqueue(j) }
