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
	forgetFollowerAfter = MaxWait + 2*time.Second // without a call: it follows another machine, or none
	mostFollowersKept   = 2 * MaxFollowers
)

// Follower is what is known of a member that follows this machine.
type Follower struct {
	Node               string
	ConfigurationIndex uint64        // index up to which it holds the partition of the configuration
	SinceLastCall      time.Duration // since its last call
}

// roll keeps the latest call of each follower, for operators.
type roll struct {
	mutex sync.Mutex
	calls map[string]lastCall // by node
}

type lastCall struct {
	at            time.Duration
	configuration uint64
}

// note keeps a call.
func (r *roll) note(request *feed.FollowRequest, now time.Duration) {
	if request.Node == "" {
		return
	}
	call := lastCall{at: now}
	for _, position := range request.Positions {
		if position.Partition == feed.ConfigurationPartition {
			call.configuration = position.Index
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.calls == nil {
		r.calls = map[string]lastCall{}
	}
	if _, known := r.calls[request.Node]; !known && len(r.calls) >= mostFollowersKept {
		r.forget(now)
		if len(r.calls) >= mostFollowersKept {
			return
		}
	}
	r.calls[request.Node] = call
}

// forget drops followers that have not called for long.
func (r *roll) forget(now time.Duration) {
	for node, call := range r.calls {
		if now-call.at > forgetFollowerAfter {
			delete(r.calls, node)
		}
	}
}

// Followers returns who follows this machine, or has until a moment ago, by name.
func (s *Server) Followers() []Follower {
	r, now := &s.roll, s.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forget(now)
	out := make([]Follower, 0, len(r.calls))
	for node, call := range r.calls {
		out = append(out, Follower{Node: node, ConfigurationIndex: call.configuration, SinceLastCall: now - call.at})
	}
	slices.SortFunc(out, func(a, b Follower) int { return cmp.Compare(a.Node, b.Node) })
	return out
}
