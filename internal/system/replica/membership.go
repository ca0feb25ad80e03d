package replica

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
)

// Timing and limits of membership changes.
const (
	membershipRecheckDelay = 50 * time.Millisecond // until the next check after a change or a request to join or leave
	leaderlessTimeout      = 2 * time.Second       // without a leader, after which a replica asks to join again
	joinTimeout            = time.Second
	maxKnownAddresses      = 64
	promotionBackoff       = 300 * time.Millisecond // before a learner that was too far behind is considered again
	leaveInterval          = 200 * time.Millisecond // between two announcements of a leaving host
	maxPromotionLag        = 16                     // entries that a learner may lack when it becomes a voter
)

// checkMemberships maintains this replica's own membership and, where this replica leads, those of the groups. The
// host's mutex is held.
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

// checkMembershipsSoon schedules checkMemberships after membershipRecheckDelay, so that several requests are handled
// together.
func (h *Host) checkMembershipsSoon() {
	h.nextMembershipCheck = min(h.nextMembershipCheck, h.now()+membershipRecheckDelay)
	h.processReady()
}

// changeMembership starts the next membership change of a group that this replica leads, if one is planned, and
// reports whether another check is needed soon.
func (h *Host) changeMembership(now time.Duration, g *group) bool {
	status := g.node.Status()
	if status.Transferring {
		return false
	}
	if status.MembershipIndex > status.Commit {
		return true
	}
	view := h.membershipView(now, g, &status)
	next, ok := planChange(view)
	if !ok {
		return view.hasCatchingUpLearner()
	}
	if next.transferTo != 0 {
		g.node.TransferLeadership(now, next.transferTo)
		return true
	}
	if err := g.node.ChangeMembership(now, next.membership); err != nil {
		g.delayPromotion(now, err)
		h.log.Debug("membership change postponed", zap.Uint16("partition", uint16(g.partition)), zap.Error(err))
		return true
	}
	h.log.Info("membership change proposed", zap.Uint16("partition", uint16(g.partition)),
		zap.Stringer("from", memberList(status.Membership.Members)), zap.Stringer("to", memberList(next.membership.Members)))
	return true
}

// delayPromotion excludes a learner that was too far behind to become a voter for promotionBackoff, so that others
// are considered.
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

// membershipView collects what planChange decides on.
func (h *Host) membershipView(now time.Duration, g *group, status *consensus.Status) *membershipView {
	settings := h.options.Settings
	view := &membershipView{
		self:              h.self.ID,
		leaderFor:         now - g.leadershipSince,
		limits:            newAbsenceLimits(settings.Timing.CatchUp, h.options.ElectionTimeout),
		joining:           h.joinRequests.active(now),
		zoneRegions:       settings.Zones,
		targetVoters:      max(preferredVoters, 2*settings.SurvivableLosses.Machines+1),
		surviveRegionLoss: settings.SurvivableLosses.Regions > 0,
	}
	for _, member := range status.Membership.Members {
		state := memberState{Member: member, caughtUp: status.Match[member.ID]+maxPromotionLag >= status.Commit}
		state.caughtUp = state.caughtUp && now >= g.promotionRetryAt[member.ID]
		state.leaving = h.departures.isLeaving(member.ID, now)
		state.departed = h.departures.hasDeparted(member.ID, g.contacts.lastReceivedAt[member.ID])
		if answered, ok := status.LastContact[member.ID]; ok {
			state.sinceResponse = now - answered
		}
		view.members = append(view.members, state)
	}
	return view
}

// memberList formats the members of a group for logs, learners in parentheses.
type memberList []consensus.Member

// String lists the members by address.
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
