package replica

import (
	"context"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// departureTTL is how long the word that a process is about to end holds; it is repeated each leaveInterval until then.
const departureTTL = time.Second

// departures are replicas whose processes are about to end, or have ended, as they said.
type departures struct{ notices []departure }

type departure struct {
	id         consensus.ReplicaID
	receivedAt time.Duration
}

// add takes the word of a replica.
func (d *departures) add(id consensus.ReplicaID, now time.Duration) {
	d.notices = slices.DeleteFunc(d.notices, func(n departure) bool { return n.id == id || now-n.receivedAt > lostTimeout })
	if len(d.notices) < maxMembers {
		d.notices = append(d.notices, departure{id, now})
	}
}

// isLeaving tells whether a replica said of late that its process is about to end.
func (d *departures) isLeaving(id consensus.ReplicaID, now time.Duration) bool {
	return slices.ContainsFunc(d.notices, func(n departure) bool { return n.id == id && now-n.receivedAt <= departureTTL })
}

// hasDeparted tells whether a replica said that its process was about to end and has not been heard since. It was heard last at
// heard, 0: never.
func (d *departures) hasDeparted(id consensus.ReplicaID, heard time.Duration) bool {
	return slices.ContainsFunc(d.notices, func(n departure) bool { return n.id == id && heard <= n.receivedAt+departureTTL })
}

// announceDeparture tells all machines that may have replicas.
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
