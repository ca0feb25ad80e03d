package upstream

import (
	"net/netip"
	"time"

	"cinderroad/internal/system/feed"
)

// HandleReply records a reply. A reply of an address that is not a candidate is ignored.
func (s *Selector) HandleReply(now time.Duration, from netip.AddrPort, reply Reply) {
	known := s.find(from)
	if known == nil {
		return
	}
	previous := known.current
	known.current = s.currentPartitions(&reply)
	for partition := range known.current.All() {
		s.upToDateAt[partition] = now
	}
	if known.current.IsEmpty() {
		s.slowSearch(now)
		s.recordFailure(now, known)
		known.deferBy(now, min(reply.RetryAfter, s.options.MaxBackoff))
		return
	}
	known.failures, known.retryAt = 0, 0
	known.deferBy(now, min(reply.RetryAfter, s.options.MaxBackoff))
	s.staleReplies = 0
	switch {
	case s.state == Following && s.followed == known:
		s.continueFollowing(now, previous)
	case known.current == s.allPartitions && reply.RetryAfter <= 0:
		s.follow(now, known)
	}
}

// currentPartitions returns the partitions with which a replica is up to date by its reply.
func (s *Selector) currentPartitions(reply *Reply) feed.PartitionSet {
	var current feed.PartitionSet
	if reply.Unusable {
		return current
	}
	for partition, age := range reply.Ages {
		if partition < s.options.Partitions && age <= s.options.StaleAfter {
			current = current.With(feed.Partition(partition))
		}
	}
	return current.Without(reply.Lagging)
}

// continueFollowing keeps the followed replica unless it lost a partition, with which another one may be up to date.
func (s *Selector) continueFollowing(now time.Duration, previous feed.PartitionSet) {
	followed := s.followed
	switch {
	case !followed.current.ContainsAll(previous):
		s.startSearch()
		s.countRequest(followed) // its reply counts as one of the new search
	case followed.current == s.allPartitions && previous != s.allPartitions:
		s.follow(now, followed)
	}
}

// HandleFailure records that a poll failed or timed out.
func (s *Selector) HandleFailure(now time.Duration, from netip.AddrPort) {
	if known := s.find(from); known != nil {
		s.recordFailure(now, known)
	}
}

// recordFailure defers the next poll of a candidate that failed or was stale, and ends its being followed.
func (s *Selector) recordFailure(now time.Duration, failed *candidate) {
	pause := min(doubled(s.options.Backoff, failed.failures), s.options.MaxBackoff)
	failed.failures++
	failed.failedAt = now
	failed.retryAt = now + pause
	failed.current = 0
	if s.state == Following && s.followed == failed {
		s.startSearch()
	}
	if s.state == Searching {
		s.checkCutOff(now)
	}
}
