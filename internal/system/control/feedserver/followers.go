package feedserver

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cinderroad/internal/system/feed"
)

const (
	// followerExpiry is the time after its last call when a follower counts as departed: it follows another machine.
	followerExpiry = MaxWait + 2*time.Second
	// maxTrackedFollowers bounds the memory of the registry.
	maxTrackedFollowers = 2 * MaxFollowers
)

// Follower describes a member that follows this machine, for operators.
type Follower struct {
	Node               string
	ConfigurationIndex uint64        // index that it holds of the configuration partition
	SinceLastCall      time.Duration // time since its last call began
}

// followerRegistry holds the last call of each follower.
type followerRegistry struct {
	mutex sync.Mutex
	calls map[string]lastCall // by node
}

type lastCall struct {
	at                 time.Duration // by Options.Now
	configurationIndex uint64
}

// recordCall stores a call. Anonymous followers are ignored, and new ones while the registry is full.
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

// expire removes followers whose last call began more than followerExpiry ago. The mutex is held.
func (r *followerRegistry) expire(now time.Duration) {
	for node, call := range r.calls {
		if now-call.at > followerExpiry {
			delete(r.calls, node)
		}
	}
}

// Followers returns the followers that have not expired, ordered by node.
func (s *Server) Followers() []Follower {
	registry := &s.registry
	now := s.options.Now()
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.expire(now)
	followers := make([]Follower, 0, len(registry.calls))
	for node, call := range registry.calls {
		followers = append(followers, Follower{
			Node:               node,
			ConfigurationIndex: call.configurationIndex,
			SinceLastCall:      now - call.at,
		})
	}
	slices.SortFunc(followers, func(a, b Follower) int { return cmp.Compare(a.Node, b.Node) })
	return followers
}
