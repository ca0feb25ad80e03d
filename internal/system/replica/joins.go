package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

const (
	joinLasts = 3 * time.Second // after which a request to join has to be repeated
	mostJoins = 32
)

// joins are the replicas that ask to be taken in.
type joins struct{ requests []joinRequest }

type joinRequest struct {
	member consensus.Member
	at     time.Duration
}

// note takes a request, in place of an earlier one of the same replica or from the same place.
func (j *joins) note(member consensus.Member, now time.Duration) {
	j.requests = slices.DeleteFunc(j.requests, func(r joinRequest) bool {
		return r.member.ID == member.ID || samePlace(&r.member, &member) || now-r.at > joinLasts
	})
	if len(j.requests) < mostJoins && member.ID != 0 && member.Address != "" {
		j.requests = append(j.requests, joinRequest{member, now})
	}
}

// members are those that asked of late.
func (j *joins) members(now time.Duration) (members []consensus.Member) {
	for i := range j.requests {
		if now-j.requests[i].at <= joinLasts {
			members = append(members, j.requests[i].member)
		}
	}
	return members
}
