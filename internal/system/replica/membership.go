package replica

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
)

const (
	membershipRecheckDelay = 50 * time.Millisecond // after a change of membership, or a word of a replica that comes or goes
	leaderlessTimeout      = 2 * time.Second       // without a leader after which a replica asks to be taken in again
	joinTimeout            = time.Second
	maxKnownAddresses      = 64                     // addresses of other replicas
	promotionBackoff       = 300 * time.Millisecond // for which a learner that may not vote yet is passed over
	leaveInterval          = 200 * time.Millisecond // between two words of a host that it leaves
	maxPromotionLag        = 16                     // entries by which a learner may be behind as it becomes a voter
)

// checkMemberships looks after the memberships: this replica's own, and those of the groups that it leads.
func (h *Host) checkMemberships(now time.Duration) {
	if h.self.ID == 0 || h.stopping {
		return
	}
	if h.leaving {
		h.announceDeparture()
		h.nextMembershipCheck = now + leaveInterval
	}
	for _, g := range h.groups {
		if g.node.Role() == consensus.Leader && h.changeMembership(now, g) {
			h.nextMembershipCheck = now + membershipRecheckDelay
		}
	}
	if h.needsJoin(now) {
		h.joinRequests.add(h.self, now)
		h.requestJoin(now)
	}
	h.peers.retain(h.peerAddresses())
}

// checkMembershipsSoon has the memberships looked after soon. Several words that come together are one occasion.
func (h *Host) checkMembershipsSoon() {
	h.nextMembershipCheck = min(h.nextMembershipCheck, h.now()+membershipRecheckDelay)
	h.processReady()
}

// changeMembership makes the next change of a membership, if there is one, and tells whether another may be due soon.
func (h *Host) changeMembership(now time.Duration, g *group) bool {
	status := g.node.Status()
	if status.Transferring {
		return false
	}
	if status.MembershipIndex > status.Commit {
		return true
	}
	view := h.membershipView(now, g, &status)
	next, is := planChange(view)
	if !is {
		return view.hasCatchingUpLearner()
	}
	if next.transferTo != 0 {
		g.node.TransferLeadership(now, next.transferTo)
		return true
	}
	if err := g.node.ChangeMembership(now, next.membership); err != nil {
		g.delayPromotion(now, err)
		h.log.Debug("membership not changed", zap.Uint16("partition", uint16(g.partition)), zap.Error(err))
		return true
	}
	h.log.Info("membership changes", zap.Uint16("partition", uint16(g.partition)),
		zap.Stringer("from", memberList(status.Membership.Members)), zap.Stringer("to", memberList(next.membership.Members)))
	return true
}

// delayPromotion keeps a learner that may not vote yet from being chosen again for a while, so that others are.
func (g *group) delayPromotion(now time.Duration, err error) {
	var behind *consensus.LearnerBehindError
	if !errors.As(err, &behind) {
		return
	}
	if g.promotionRetryAt == nil || len(g.promotionRetryAt) > maxMembers {
		g.promotionRetryAt = make(map[consensus.ReplicaID]time.Duration)
	}
	g.promotionRetryAt[behind.ID] = now + promotionBackoff
}

func (h *Host) membershipView(now time.Duration, g *group, status *consensus.Status) *membershipView {
	settings := h.options.Settings
	view := &membershipView{self: h.self.ID, leaderFor: now - g.leadershipSince, limits: newAbsenceLimits(settings.Timing.CatchUp, h.options.ElectionTimeout),
		joining: h.joinRequests.active(now), zoneRegions: settings.Zones, targetVoters: max(preferredVoters, 2*settings.SurvivableLosses.Machines+1), surviveRegionLoss: settings.SurvivableLosses.Regions > 0}
	for _, member := range status.Membership.Members {
		state := memberState{Member: member, caughtUp: status.Match[member.ID]+maxPromotionLag >= status.Commit}
		state.caughtUp = state.caughtUp && now >= g.promotionRetryAt[member.ID]
		state.leaving = h.departures.isLeaving(member.ID, now)
		state.departed = h.departures.hasDeparted(member.ID, g.contacts.lastHeard[member.ID])
		if answered, is := status.LastContact[member.ID]; is {
			state.silence = now - answered
		}
		view.members = append(view.members, state)
	}
	return view
}

// memberList is how memberships stand in the log: learners in parentheses.
type memberList []consensus.Member

// String lists the members by their addresses.
func (l memberList) String() string {
	names := make([]string, 0, len(l))
	for i := range l {
		name := l[i].Address
		if !l[i].Voter {
			name = fmt.Sprintf("(%s)", name)
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}
