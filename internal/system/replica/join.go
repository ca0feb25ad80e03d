package replica

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

const (
	joinRequestTTL  = 3 * time.Second // after which a request to join has to be repeated
	maxJoinRequests = 32
)

// joinRequests are the replicas that ask to be taken in.
type joinRequests struct{ requests []joinRequest }

type joinRequest struct {
	member     consensus.Member
	receivedAt time.Duration
}

// add takes a request, in place of an earlier one of the same replica or from the same place.
func (j *joinRequests) add(member consensus.Member, now time.Duration) {
	j.requests = slices.DeleteFunc(j.requests, func(r joinRequest) bool {
		return r.member.ID == member.ID || sameMachine(&r.member, &member) || now-r.receivedAt > joinRequestTTL
	})
	if len(j.requests) < maxJoinRequests && member.ID != 0 && member.Address != "" {
		j.requests = append(j.requests, joinRequest{member, now})
	}
}

// active are those that asked of late.
func (j *joinRequests) active(now time.Duration) (members []consensus.Member) {
	for i := range j.requests {
		if now-j.requests[i].receivedAt <= joinRequestTTL {
			members = append(members, j.requests[i].member)
		}
	}
	return members
}

// needsJoin tells whether some group lacks this replica, or does not let it hear of a leader, or has a leader that this
// replica can't answer: it joined the group after all that this replica knows, and the answer to a request to be taken in
// tells its address.
func (h *Host) needsJoin(now time.Duration) bool {
	for _, g := range h.groups {
		if !h.isMember(g) || elapsedSince(g.node.Status().LastLeaderContact, now) > leaderlessTimeout || !h.knowsLeaderAddress(g) {
			return true
		}
	}
	return false
}

// knowsLeaderAddress tells whether the address of a group's leader is known, if there is one.
func (h *Host) knowsLeaderAddress(g *group) bool {
	leader := g.node.Leader()
	if leader == 0 || leader == h.self.ID {
		return true
	}
	_, known := h.replicaAddress(g, leader)
	return known
}

// isMember tells whether a group has this replica, under its particulars.
func (h *Host) isMember(g *group) bool {
	return slices.ContainsFunc(g.node.Membership().Members, func(m consensus.Member) bool {
		return m.ID == h.self.ID && !attributesDiffer(&m, &h.self)
	})
}

// requestJoin asks all machines that may have replicas to take this one in.
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

// requestJoinAt asks one machine, and notes which others it knows.
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
