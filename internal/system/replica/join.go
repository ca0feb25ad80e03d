package replica

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// Limits of pending join requests.
const (
	joinRequestTTL  = 3 * time.Second // replicas repeat their requests more often
	maxJoinRequests = 32
)

// joinRequests are the replicas that recently asked to join, or whose attributes changed.
type joinRequests struct{ requests []joinRequest }

// joinRequest is the latest request of one replica.
type joinRequest struct {
	member     consensus.Member
	receivedAt time.Duration
}

// add records a request in place of earlier ones from the same replica or machine, and drops expired ones.
func (j *joinRequests) add(member consensus.Member, now time.Duration) {
	j.requests = slices.DeleteFunc(j.requests, func(r joinRequest) bool {
		return r.member.ID == member.ID || sameMachine(&r.member, &member) || now-r.receivedAt > joinRequestTTL
	})
	if len(j.requests) < maxJoinRequests && member.ID != 0 && member.Address != "" {
		j.requests = append(j.requests, joinRequest{member, now})
	}
}

// active returns the replicas whose requests have not expired.
func (j *joinRequests) active(now time.Duration) (members []consensus.Member) {
	for i := range j.requests {
		if now-j.requests[i].receivedAt <= joinRequestTTL {
			members = append(members, j.requests[i].member)
		}
	}
	return members
}

// needsJoin reports whether this replica has to ask to join: a group lacks it or has other attributes of it, there was
// no contact with a leader for leaderlessTimeout, or the leader's address is unknown. The last happens if the leader joined
// after everything that this replica knows; the reply to a join request has the address.
func (h *Host) needsJoin(now time.Duration) bool {
	for _, g := range h.groups {
		leaderless := elapsedSince(g.node.Status().LastLeaderContact, now) > leaderlessTimeout
		if leaderless || !h.isMember(g) || !h.knowsLeaderAddress(g) {
			return true
		}
	}
	return false
}

// knowsLeaderAddress reports whether this replica can reply to the group's leader. It holds if there is no leader.
func (h *Host) knowsLeaderAddress(g *group) bool {
	leader := g.node.Leader()
	if leader == 0 || leader == h.self.ID {
		return true
	}
	_, known := h.replicaAddress(g, leader)
	return known
}

// isMember reports whether a group has this replica as a member with its present attributes.
func (h *Host) isMember(g *group) bool {
	return slices.ContainsFunc(g.node.Membership().Members, func(m consensus.Member) bool {
		return m.ID == h.self.ID && !attributesDiffer(&m, &h.self)
	})
}

// requestJoin asks all known control machines to add this replica to the groups. The host's mutex is held; the calls
// run in the background, one at a time for each peer.
func (h *Host) requestJoin(now time.Duration) {
	if now < h.nextJoin {
		return
	}
	h.nextJoin = now + joinTimeout/2
	for address := range h.peerAddresses() {
		remote := h.peers.get(address)
		if remote.joining.Swap(true) {
			continue
		}
		h.goroutines.Add(1)
		go func() {
			defer h.goroutines.Done()
			defer remote.joining.Store(false)
			h.requestJoinAt(remote)
		}()
	}
}

// requestJoinAt asks one machine and learns the addresses of the members it knows.
func (h *Host) requestJoinAt(p *peer) {
	ctx, cancel := context.WithTimeout(h.context, joinTimeout)
	defer cancel()
	reply, err := joinCall.Invoke(ctx, p.client, &JoinRequest{Member: h.self})
	if err != nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, member := range reply.Members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			h.addAddress(address)
			h.peers.learnAddress(member.ID, address)
		}
	}
}
