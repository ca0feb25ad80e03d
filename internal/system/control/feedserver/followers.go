package feedserver

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cinderroad/internal/system/feed"
)

// Bounds of what is kept of followers.
const (
	followerExpiry      = MaxWait + 2*time.Second // without a call: it follows another machine, or none
	maxTrackedFollowers = 2 * MaxFollowers
)

// Follower is what is known of a member that follows this machine.
type Follower struct {
	Node               string
	ConfigurationIndex uint64        // index up to which it holds the partition of the configuration
	SinceLastCall      time.Duration // since its last call
}

// followerRegistry keeps the latest call of each follower, for operators.
type followerRegistry struct {
	mutex sync.Mutex
	calls map[string]lastCall // by node
}

type lastCall struct {
	at                 time.Duration
	configurationIndex uint64
}

// recordCall keeps a call.
func (r *followerRegistry) recordCall(request *feed.FollowRequest, now time.Duration) {
	if request.Node == "" {
		return
	}
	call := lastCall{at: now}
	for _, position := range request.Positions {
		if position.Partition == feed.ConfigurationPartition {
			call.configurationIndex = position.Index
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.calls == nil {
		r.calls = map[string]lastCall{}
	}
	if _, known := r.calls[request.Node]; !known && len(r.calls) >= maxTrackedFollowers {
		r.expire(now)
		if len(r.calls) >= maxTrackedFollowers {
			return
		}
	}
	r.calls[request.Node] = call
}

// expire drops followers that have not called for long.
func (r *followerRegistry) expire(now time.Duration) {
	for node, call := range r.calls {
		if now-call.at > followerExpiry {
			delete(r.calls, node)
		}
	}
}

// Followers returns who follows this machine, or has until a moment ago, by name.
func (s *Server) Followers() []Follower {
	r, now := &s.registry, s.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	out := make([]Follower, 0, len(r.calls))
	for node, call := range r.calls {
		out = append(out, Follower{Node: node, ConfigurationIndex: call.configurationIndex, SinceLastCall: now - call.at})
	}
	slices.SortFunc(out, func(a, b Follower) int { return cmp.Compare(a.Node, b.Node) })
	return out
}
