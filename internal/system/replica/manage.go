package replica

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
)

const (
	manageAgain = 50 * time.Millisecond // after a change of membership, or a word of a replica that comes or goes
	lonelyFor   = 2 * time.Second       // without a leader after which a replica asks to be taken in again
	joinWithin  = time.Second
	mostKnown   = 64                     // addresses of other replicas
	behindFor   = 300 * time.Millisecond // for which a learner that may not vote yet is passed over
	leaveEvery  = 200 * time.Millisecond // between two words of a host that it leaves
	closeBehind = 16                     // entries by which a learner may be behind as it becomes a voter
)

// AddPeerAddresses adds addresses at which control replicas may be found, as membership gossip tells them.
func (h *Host) AddPeerAddresses(addresses ...netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, address := range addresses {
		h.hint(address)
	}
}

func (h *Host) hint(address netip.AddrPort) {
	if !address.IsValid() || address == h.address {
		return
	}
	if i := slices.Index(h.known, address); i >= 0 {
		h.known = slices.Delete(h.known, i, i+1)
	}
	h.known = append(h.known, address)
	if len(h.known) > mostKnown {
		h.known = slices.Delete(h.known, 0, 1)
	}
}

// Members are the members of all groups, each replica once, as this replica knows them.
func (h *Host) Members() []consensus.Member {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.members()
}

func (h *Host) members() (members []consensus.Member) {
	for _, g := range h.groups {
		if g.machine == nil {
			continue
		}
		for _, member := range g.machine.Membership().Members {
			if !slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == member.ID }) {
				members = append(members, member)
			}
		}
	}
	return members
}

// manage looks after the memberships: this replica's own, and those of the groups that it leads.
func (h *Host) manage(now time.Duration) {
	if h.self.ID == 0 || h.stopping {
		return
	}
	if h.leaving {
		h.announceLeaving()
		h.manageDue = now + leaveEvery
	}
	for _, g := range h.groups {
		if g.machine.Role() == consensus.Leader && h.manageGroup(now, g) {
			h.manageDue = now + manageAgain
		}
	}
	if h.wantsIn(now) {
		h.joins.note(h.self, now)
		h.join(now)
	}
	h.peers.retain(h.addresses())
}

// manageSoon has the memberships looked after soon. Several words that come together are one occasion.
func (h *Host) manageSoon() {
	h.manageDue = min(h.manageDue, h.now()+manageAgain)
	h.settle()
}

// manageGroup makes the next change of a membership, if there is one, and tells whether another may be due soon.
func (h *Host) manageGroup(now time.Duration, g *group) bool {
	status := g.machine.Status()
	if status.Transferring {
		return false
	}
	if status.MembershipIndex > status.Commit {
		return true
	}
	s := h.situation(now, g, &status)
	next, is := planChange(s)
	if !is {
		return s.catchingUp()
	}
	if next.handOver != 0 {
		g.machine.TransferLeadership(now, next.handOver)
		return true
	}
	if err := g.machine.ChangeMembership(now, next.to); err != nil {
		g.noteBehind(now, err)
		h.log.Debug("membership not changed", zap.Uint16("partition", uint16(g.partition)), zap.Error(err))
		return true
	}
	h.log.Info("membership changes", zap.Uint16("partition", uint16(g.partition)),
		zap.Stringer("from", memberList(status.Membership.Members)), zap.Stringer("to", memberList(next.to.Members)))
	return true
}

// noteBehind keeps a learner that may not vote yet from being chosen again for a while, so that others are.
func (g *group) noteBehind(now time.Duration, err error) {
	var behind *consensus.LearnerBehindError
	if !errors.As(err, &behind) {
		return
	}
	if g.behind == nil || len(g.behind) > mostMembers {
		g.behind = make(map[consensus.ReplicaID]time.Duration)
	}
	g.behind[behind.ID] = now + behindFor
}

func (h *Host) situation(now time.Duration, g *group, status *consensus.Status) *situation {
	settings := h.options.Settings
	s := &situation{self: h.self.ID, ledFor: now - g.ledSince, patience: patienceOf(settings.Timing.CatchUp, h.options.ElectionTimeout),
		joining: h.joins.members(now), regions: settings.Zones, aim: max(leastVoters, 2*settings.SurvivableLosses.Machines+1), byRegion: settings.SurvivableLosses.Regions > 0}
	for _, member := range status.Membership.Members {
		m := standing{Member: member, caughtUp: status.Match[member.ID]+closeBehind >= status.Commit}
		m.caughtUp = m.caughtUp && now >= g.behind[member.ID]
		m.leaving = h.departures.leaving(member.ID, now)
		m.left = h.departures.left(member.ID, g.contacts.heard[member.ID])
		if answered, is := status.LastContact[member.ID]; is {
			m.silent = now - answered
		}
		s.members = append(s.members, m)
	}
	return s
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

// wantsIn tells whether some group lacks this replica, or does not let it hear of a leader, or has a leader that this
// replica can't answer: it joined the group after all that this replica knows, and the answer to a request to be taken in
// tells its address.
func (h *Host) wantsIn(now time.Duration) bool {
	for _, g := range h.groups {
		if !h.takenIn(g) || since(g.machine.Status().LastLeaderContact, now) > lonelyFor || !h.reachesLeader(g) {
			return true
		}
	}
	return false
}

// reachesLeader tells whether the address of a group's leader is known, if there is one.
func (h *Host) reachesLeader(g *group) bool {
	leader := g.machine.Leader()
	if leader == 0 || leader == h.self.ID {
		return true
	}
	_, known := h.addressOf(g, leader)
	return known
}

// takenIn tells whether a group has this replica, under its particulars.
func (h *Host) takenIn(g *group) bool {
	return slices.ContainsFunc(g.machine.Membership().Members, func(m consensus.Member) bool {
		return m.ID == h.self.ID && !particularsDiffer(&m, &h.self)
	})
}

// join asks all machines that may have replicas to take this one in.
func (h *Host) join(now time.Duration) {
	if now < h.joinDue {
		return
	}
	h.joinDue = now + joinWithin/2
	for address := range h.addresses() {
		p := h.peers.at(address)
		if p.joining.Swap(true) {
			continue
		}
		h.running.Add(1)
		go func() {
			defer h.running.Done()
			defer p.joining.Store(false)
			h.joinAt(p)
		}()
	}
}

// joinAt asks one machine, and notes which others it knows.
func (h *Host) joinAt(p *peer) {
	ctx, cancel := context.WithTimeout(h.context, joinWithin)
	defer cancel()
	reply, err := joinCall.Invoke(ctx, p.client, &JoinRequest{Member: h.self})
	if err != nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, member := range reply.Members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			h.hint(address)
			h.peers.learn(member.ID, address)
		}
	}
}

// addresses are all others at which there may be replicas.
func (h *Host) addresses() map[netip.AddrPort]bool {
	addresses := make(map[netip.AddrPort]bool)
	for _, address := range h.known {
		addresses[address] = true
	}
	for _, member := range h.members() {
		address, err := netip.ParseAddrPort(member.Address)
		if err == nil && address != h.address {
			addresses[address] = true
		}
	}
	return addresses
}
