package upstream

import (
	"net/netip"
	"time"

	"cinderroad/internal/system/feed"
)

// Request is a poll that the caller is to make.
type Request struct {
	Address     netip.AddrPort
	Wait        time.Duration     // how long the replica may hold the call open; 0: it is to reply at once
	Timeout     time.Duration     // for the call, Wait included
	DialTimeout time.Duration     // to connect, if no connection is open
	Current     feed.PartitionSet // partitions with which the replica was up to date; it replies early when one of them becomes stale
}

// Reply is what a replica's reply says about the replica.
type Reply struct {
	Ages       []time.Duration   // by partition: time since the replica was known to be up to date; missing: never
	Lagging    feed.PartitionSet // partitions of which the replica holds less than the follower
	Unusable   bool              // the replica must not be followed (it is another agent)
	RetryAfter time.Duration     // the replica is busy and asks to be polled again after this time; 0: it is not busy
}

// Selector is the state of the choice. Times are of any monotonic clock, the same in all calls.
type Selector struct {
	options         Options
	allPartitions   feed.PartitionSet
	state           State
	candidates      []*candidate    // in order of preference
	followed        *candidate      // not nil exactly while Following
	search          uint64          // number of the current search
	requests        uint64          // number of polls made in searches
	upToDateAt      []time.Duration // by partition: time of the last up-to-date reply; at first that of New
	reconsiderAt    time.Duration
	partialFollows  int               // times in a row that a replica without all partitions was followed
	seekingMore     bool              // the search is for a replica with more partitions than previousCurrent
	previousCurrent feed.PartitionSet // partitions of the replica followed before the search
	staleReplies    int               // stale replies in a row
	nextRequestAt   time.Duration     // a search makes no poll earlier
}

// New returns a selector that starts to search at now.
func New(options Options, now time.Duration) *Selector {
	options.setDefaults()
	selector := &Selector{
		options:       options,
		allPartitions: feed.FirstPartitions(options.Partitions),
		search:        1,
	}
	for range options.Partitions {
		selector.upToDateAt = append(selector.upToDateAt, now)
	}
	return selector
}

// State returns the current state.
func (s *Selector) State() State { return s.state }

// Followed returns the address of the followed replica, and whether there is one.
func (s *Selector) Followed() (netip.AddrPort, bool) {
	if s.followed == nil {
		return netip.AddrPort{}, false
	}
	return s.followed.address, true
}

// Current returns the partitions with which the followed replica was up to date by its last reply.
func (s *Selector) Current() feed.PartitionSet {
	if s.followed == nil {
		return 0
	}
	return s.followed.current
}

// CutOff returns the partitions for which no reply has been up to date for Options.CutOffAfter.
func (s *Selector) CutOff(now time.Duration) feed.PartitionSet {
	var cutOff feed.PartitionSet
	for partition, at := range s.upToDateAt {
		if now-at >= s.options.CutOffAfter {
			cutOff = cutOff.With(feed.Partition(partition))
		}
	}
	return cutOff
}

// Next returns the poll to make now, or the time until the next one is due. The caller reports the outcome of each poll
// to HandleReply or HandleFailure before it calls Next again.
func (s *Selector) Next(now time.Duration) (Request, time.Duration) {
	if s.state == Following && now >= s.reconsiderAt {
		s.reconsider(now)
	}
	if s.state == Following {
		return s.nextLongPoll(now)
	}
	return s.nextOfSearch(now)
}

// nextLongPoll returns the poll of the followed replica, or the time until it is due.
func (s *Selector) nextLongPoll(now time.Duration) (Request, time.Duration) {
	if now < s.followed.retryAt {
		return Request{}, s.followed.retryAt - now
	}
	return s.newRequest(s.followed, s.options.PollWait, s.options.PollWait+s.options.ReplyTimeout), 0
}

// nextOfSearch returns the next poll of a search, or the time until it is due. A search that has polled every candidate
// it can ends by following the best one that was up to date with any partition; the result is then a poll of that one.
func (s *Selector) nextOfSearch(now time.Duration) (Request, time.Duration) {
	s.checkCutOff(now)
	if now < s.nextRequestAt {
		return Request{}, s.nextRequestAt - now
	}
	next, wait := s.nextCandidate(now)
	polledAll := next == nil || next.polledInSearch == s.search // all candidates that can be polled now
	if polledAll {
		if best := s.bestCandidate(); best != nil {
			s.follow(now, best)
			return s.Next(now)
		}
	}
	if next == nil {
		s.seekingMore = false
		return Request{}, wait
	}
	s.countRequest(next)
	next.current = 0
	return s.newRequest(next, 0, s.options.ProbeTimeout), 0
}

// countRequest counts a poll of a candidate as one of the current search.
func (s *Selector) countRequest(polled *candidate) {
	s.requests++
	polled.polledInSearch = s.search
	polled.requestNumber = s.requests
}

// newRequest returns a poll of a candidate. The first connection attempts time out early, since a machine that is
// powered off does not refuse connections.
func (s *Selector) newRequest(to *candidate, wait, timeout time.Duration) Request {
	return Request{
		Address:     to.address,
		Wait:        wait,
		Timeout:     timeout,
		DialTimeout: min(doubled(s.options.DialTimeout, to.failures), s.options.ProbeTimeout),
		Current:     to.current,
	}
}
