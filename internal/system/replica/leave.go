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

// Leave prepares the end of the process: from now on this host tells the others that it goes, so that the leader of each
// group gives its vote to another member where there is one, and it hands over the groups that it leads. It returns at
// once; Stop waits for the outcome. A process that comes back on the same disk is a member as before, without a vote if
// that was moved.
func (h *Host) Leave() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.leaving {
		return
	}
	h.leaving = true
	h.nextMembershipCheck = 0
	h.releaseLeadership()
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

// awaitVotesMoved returns once no group that has a learner to take this replica's vote counts on it any more.
func (h *Host) awaitVotesMoved(ctx context.Context) {
	for h.hasMovableVote() && waitOrTimeout(ctx, nil, timerGranularity) {
	}
}

func (h *Host) hasMovableVote() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.ContainsFunc(h.groups, func(g *group) bool {
		return g.node != nil && isVoteMovable(g.node.Status(), h.self.ID)
	})
}

// isVoteMovable tells whether a replica has a vote that a learner could take, as far as it knows, or whether that is under
// way.
func isVoteMovable(status consensus.Status, self consensus.ReplicaID) bool {
	votes, learners := false, false
	for _, member := range status.Membership.Members {
		switch {
		case member.ID == self:
			votes = member.HasVote()
		case !member.HasVote():
			learners = true
		}
	}
	if !votes {
		return status.MembershipIndex > status.Commit
	}
	return learners || status.Membership.Joint()
}
