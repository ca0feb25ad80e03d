package replica

import (
	"context"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

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

// Stop hands leadership over, and votes where another member can take them, which takes transferTimeout at most; then it
// writes what is under way and closes the store. The handlers are to be served until it returns. The context bounds all
// of it: a disk that hangs is not waited for.
func (h *Host) Stop(ctx context.Context) {
	h.Leave()
	handOver, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	h.awaitLeadershipTransferred(handOver)
	h.awaitVotesMoved(handOver)
	h.mutex.Lock()
	h.stopping = true
	h.releaseLeadership()
	h.mutex.Unlock()
	h.cancel()
	h.disk.stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.goroutines.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// awaitLeadershipTransferred returns once this host leads no group.
func (h *Host) awaitLeadershipTransferred(ctx context.Context) {
	for _, g := range h.groups {
		for {
			h.mutex.Lock()
			changed := g.leaderChanged
			leads := g.node != nil && g.node.Role() == consensus.Leader
			h.mutex.Unlock()
			if !leads {
				break
			}
			if !waitOrTimeout(ctx, changed, timerGranularity) {
				return
			}
		}
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

// releaseLeadership gives leadership of all groups up and keeps this host from leading for a few election times.
func (h *Host) releaseLeadership() {
	now := h.now()
	for _, g := range h.groups {
		if g.node != nil {
			g.node.StepDown(now)
		}
	}
	h.processReady()
}

// waitOrTimeout returns once the channel is closed or the time has passed; false: the context ended.
func waitOrTimeout(ctx context.Context, changed <-chan struct{}, atMost time.Duration) bool {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
