package upstream

import (
	"net/netip"
	"slices"
	"time"

	"cinderroad/internal/system/feed"
)

// candidate is a replica that may be followed.
type candidate struct {
	address        netip.AddrPort
	failures       int               // polls in a row that failed
	failedAt       time.Duration     // time of the last failure
	retryAt        time.Duration     // it is not polled earlier
	polledInSearch uint64            // number of the last search that polled it
	requestNumber  uint64            // number of its last poll in a search
	current        feed.PartitionSet // partitions with which it was up to date by its last reply
}

// deferBy postpones the next poll of a candidate that asked for a pause since it is busy; 0: it did not. Being busy is no
// failure.
func (c *candidate) deferBy(now, pause time.Duration) {
	if pause > 0 {
		c.failures = 0
		c.retryAt = now + pause
	}
}

// SetCandidates sets the candidates in order of preference. The state of those that stay is retained. A followed
// replica that is no longer listed stays a candidate until it fails.
func (s *Selector) SetCandidates(addresses []netip.AddrPort) {
	if s.hasCandidates(addresses) {
		return
	}
	candidates := make([]*candidate, 0, len(addresses)+1)
	for _, address := range addresses {
		known := s.find(address)
		if known == nil {
			known = &candidate{address: address}
		}
		candidates = append(candidates, known)
	}
	if s.followed != nil && !slices.Contains(candidates, s.followed) {
		candidates = append(candidates, s.followed)
	}
	s.candidates = candidates
}

// hasCandidates reports whether the candidates are these addresses, in this order.
func (s *Selector) hasCandidates(addresses []netip.AddrPort) bool {
	return slices.EqualFunc(s.candidates, addresses, func(known *candidate, address netip.AddrPort) bool {
		return known.address == address
	})
}

// find returns the candidate with an address, nil if there is none.
func (s *Selector) find(address netip.AddrPort) *candidate {
	for _, known := range s.candidates {
		if known.address == address {
			return known
		}
	}
	return nil
}
