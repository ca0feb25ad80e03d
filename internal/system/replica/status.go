package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// LeaderLease implements Replicas.
func (h *Host) LeaderLease(partition feed.Partition) (time.Duration, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g := h.group(partition)
	if g == nil || g.node == nil || g.node.Role() != consensus.Leader {
		return 0, false
	}
	remaining := g.node.LeaseExpiry() - h.now()
	return max(remaining, 0), remaining > 0
}

// Staleness implements Replicas.
func (h *Host) Staleness(partition feed.Partition) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	g := h.group(partition)
	if g == nil || g.node == nil {
		return neverCurrent
	}
	return elapsedSince(g.node.Status().CaughtUpAt, h.now())
}

// neverCurrent is the Staleness before the first contact to a leader. The feed passes it on as the age of a partition.
const neverCurrent = feed.AgeNever

// elapsedSince returns the time since an event, neverCurrent if since is 0 because there was none.
func elapsedSince(since, now time.Duration) time.Duration {
	if since == 0 {
		return neverCurrent
	}
	return max(now-since, 0)
}

// Status implements Replicas.
func (h *Host) Status() []PartitionStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var all []PartitionStatus
	for _, g := range h.groups {
		if g.node != nil {
			all = append(all, PartitionStatus{Partition: g.partition, Status: g.node.Status()})
		}
	}
	return all
}
