package upstream

import "time"

// State is the phase of a Selector.
type State uint8

// The states of a Selector.
const (
	Searching State = iota // polls the candidates in turn, without a wait
	Following              // long-polls one replica that is up to date with at least one partition
	CutOff                 // searches on; no reply was up to date with any partition for Options.CutOffAfter; by partition: Selector.CutOff
)

// String returns the name of the state, as logged.
func (s State) String() string {
	switch s {
	case Searching:
		return "searching"
	case Following:
		return "following"
	case CutOff:
		return "cut off"
	}
	return "unknown"
}

// follow starts to follow a candidate.
func (s *Selector) follow(now time.Duration, next *candidate) {
	s.state = Following
	s.followed = next
	s.nextRequestAt = now
	s.seekingMore = false
	if next.current == s.allPartitions {
		s.partialFollows = 0
		s.reconsiderAt = now + s.options.ReconsiderInterval
		return
	}
	s.reconsiderAt = now + min(doubled(s.options.PartialInterval, s.partialFollows), s.options.ReconsiderInterval)
	s.partialFollows++
}

// startSearch stops following and starts a search.
func (s *Selector) startSearch() {
	s.state = Searching
	s.followed = nil
	s.search++
	s.staleReplies = 0
}

// reconsider starts a search if the followed replica lacks partitions or a candidate before it can be polled.
func (s *Selector) reconsider(now time.Duration) {
	s.reconsiderAt = now + s.options.ReconsiderInterval
	if s.followed.current != s.allPartitions {
		s.previousCurrent = s.followed.current
		s.startSearch()
		s.seekingMore = true
		return
	}
	for _, candidate := range s.candidates {
		if candidate == s.followed {
			return
		}
		if now >= candidate.retryAt {
			s.startSearch()
			return
		}
	}
}

// checkCutOff moves a search to CutOff once all partitions are cut off.
func (s *Selector) checkCutOff(now time.Duration) {
	if s.state == Searching && s.CutOff(now) == s.allPartitions {
		s.state = CutOff
	}
}
