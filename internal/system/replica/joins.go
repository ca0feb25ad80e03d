package replica

import (
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
