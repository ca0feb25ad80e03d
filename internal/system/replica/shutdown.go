package replica

import (
	"context"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// Leave announces that the process is about to end. The leaders of the groups then move this replica's votes to
// learners where there are any, and this host transfers the leaderships it has. Leave returns at once and may be
// called more than once; Stop waits for the result. A process that restarts on the same disk is a member as before,
// as a learner if its vote was moved.
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

// Stop shuts the host down: it calls Leave, waits up to transferTimeout until leaderships and votes have moved,
// completes the writes in flight and closes the store. The handlers must be served until it returns. The context
// bounds all of this: Stop does not wait for a disk that hangs.
func (h *Host) Stop(ctx context.Context) {
	h.Leave()
	transferContext, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	h.awaitLeadershipTransferred(transferContext)
	h.awaitVotesMoved(transferContext)
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

// awaitLeadershipTransferred returns once this host leads no group, or when the context ends.
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

// awaitVotesMoved returns once this replica has no vote that a learner could take, or when the context ends.
func (h *Host) awaitVotesMoved(ctx context.Context) {
	for h.hasMovableVote() && waitOrTimeout(ctx, nil, timerGranularity) {
	}
}

// hasMovableVote reports whether isVoteMovable holds for any group.
func (h *Host) hasMovableVote() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.ContainsFunc(h.groups, func(g *group) bool {
		return g.node != nil && isVoteMovable(g.node.Status(), h.self.ID)
	})
}

// isVoteMovable reports whether a replica, as far as it knows, has a vote that a learner could take, or whether a
// change that takes its vote is not committed yet.
func isVoteMovable(status consensus.Status, self consensus.ReplicaID) bool {
	votes := false
	learners := false
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

// releaseLeadership steps down in all groups and keeps this host from becoming leader for a few election timeouts.
// The host's mutex is held.
func (h *Host) releaseLeadership() {
	now := h.now()
	for _, g := range h.groups {
		if g.node != nil {
			g.node.StepDown(now)
		}
	}
	h.processReady()
}

// waitOrTimeout returns true once the channel is closed or the timeout has passed, false if the context ends first.
func waitOrTimeout(ctx context.Context, done <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
