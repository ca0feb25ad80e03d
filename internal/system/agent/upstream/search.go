package upstream

import (
	"time"

	"cinderroad/internal/system/feed"
)

// nextCandidate returns the candidate to poll: the first that this search has not polled, or else the one polled
// longest ago. It returns nil and the time to wait if all are backing off.
func (s *Selector) nextCandidate(now time.Duration) (*candidate, time.Duration) {
	if len(s.candidates) == 0 {
		return nil, s.options.Backoff
	}
	wait := s.options.MaxBackoff
	var next *candidate
	for _, candidate := range s.candidates {
		if now < candidate.retryAt {
			wait = min(wait, candidate.retryAt-now)
			continue
		}
		if s.seekingMore && now < s.retryFailedAt(candidate) {
			continue
		}
		if next == nil || s.lastRequest(candidate) < s.lastRequest(next) {
			next = candidate
		}
	}
	return next, wait
}

// retryFailedAt returns when a failed candidate may be polled in a search for more partitions. Such a search pauses the
// polls of the followed replica for the candidate's whole timeout, so it is rare, and ever rarer if the followed
// replica has the configuration.
func (s *Selector) retryFailedAt(failed *candidate) time.Duration {
	if failed.failures == 0 {
		return 0
	}
	if s.previousCurrent.Contains(feed.ConfigurationPartition) {
		return failed.failedAt + doubled(s.options.ReconsiderInterval, failed.failures)
	}
	return failed.failedAt + s.options.ReconsiderInterval
}

// lastRequest returns the number of the candidate's last poll in the current search, 0 if there was none.
func (s *Selector) lastRequest(candidate *candidate) uint64 {
	if candidate.polledInSearch != s.search {
		return 0
	}
	return candidate.requestNumber
}

// bestCandidate returns the candidate with the greatest weight in the current search, the first of equals, or nil if
// none was up to date with any partition.
func (s *Selector) bestCandidate() *candidate {
	var best *candidate
	for _, candidate := range s.candidates {
		if candidate.polledInSearch != s.search || candidate.current.IsEmpty() {
			continue
		}
		if best == nil || weight(candidate.current) > weight(best.current) {
			best = candidate
		}
	}
	return best
}

// configurationWeight exceeds the weight of all partitions of runners together: a feed.PartitionSet holds 63 at most besides
// the configuration.
const configurationWeight = 64

// weight returns the value of a replica that is up to date with the given partitions: the configuration counts more
// than all partitions of runners, which count 1 each.
func weight(current feed.PartitionSet) int {
	weight := current.Len()
	if current.Contains(feed.ConfigurationPartition) {
		weight += configurationWeight
	}
	return weight
}

// maxStaleReplies bounds the growth of the delay between the polls of a search.
const maxStaleReplies = 4

// slowSearch delays the next poll of a search after a stale reply. If a partition has no leader, all replicas are stale
// and all followers search at once. The delay is 0 after the first stale reply.
func (s *Selector) slowSearch(now time.Duration) {
	delays := min(s.staleReplies, maxStaleReplies)
	s.nextRequestAt = now + time.Duration(delays)*s.options.StaleReplyDelay
	s.staleReplies++
}
