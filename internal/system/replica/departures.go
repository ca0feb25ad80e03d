package replica

import (
	"context"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// departureTTL is how long an announced departure is believed. A leaving host repeats the announcement every
// leaveInterval.
const departureTTL = time.Second

// departures are the replicas that announced that their processes are about to end.
type departures struct{ notices []departure }

// departure is the latest announcement of one replica.
type departure struct {
	id         consensus.ReplicaID
	receivedAt time.Duration
}

// add records an announcement in place of the replica's earlier one and drops those older than lostTimeout.
func (d *departures) add(id consensus.ReplicaID, now time.Duration) {
	d.notices = slices.DeleteFunc(d.notices, func(notice departure) bool {
		return notice.id == id || now-notice.receivedAt > lostTimeout
	})
	if len(d.notices) < maxMembers {
		d.notices = append(d.notices, departure{id, now})
	}
}

// isLeaving reports whether a replica announced its departure within departureTTL.
func (d *departures) isLeaving(id consensus.ReplicaID, now time.Duration) bool {
	return slices.ContainsFunc(d.notices, func(notice departure) bool {
		return notice.id == id && now-notice.receivedAt <= departureTTL
	})
}

// hasDeparted reports whether a replica announced its departure and has sent nothing since; messages within departureTTL
// of the announcement may still be the last ones of its process. lastReceivedAt is when its last message was received; 0
// means never.
func (d *departures) hasDeparted(id consensus.ReplicaID, lastReceivedAt time.Duration) bool {
	return slices.ContainsFunc(d.notices, func(notice departure) bool {
		return notice.id == id && lastReceivedAt <= notice.receivedAt+departureTTL
	})
}

// announceDeparture notifies all known control machines that this replica is leaving. The host's mutex is held; the
// calls run in the background.
func (h *Host) announceDeparture() {
	h.departures.add(h.self.ID, h.now())
	request := &LeaveRequest{ID: h.self.ID}
	for address := range h.peerAddresses() {
		client := h.peers.get(address).client
		h.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(h.context, joinTimeout)
			defer cancel()
			_, _ = leaveCall.Invoke(ctx, client, request) // repeated until the process ends
		})
	}
}
