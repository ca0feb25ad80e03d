// Package upstream chooses the control replica from which an agent follows the feed.
//
// It is a pure state machine: the caller passes in the time and the outcome of each call, and Selector.Next returns the
// next call to make. There is at most one call in flight. Selector performs no I/O, starts no goroutine and is not safe
// for concurrent use.
//
// A replica that replies and is up to date is followed by long polls. A replica that times out, fails or is stale (it
// has been out of touch with a majority for longer than Options.StaleAfter) is replaced by the next candidate and
// retried with exponential backoff. Every Options.ReconsiderInterval the selector tries the candidates that precede the
// followed one, since those are nearer.
//
// Freshness is tracked separately for each partition. If no replica is up to date with all partitions, the selector
// asks all candidates, follows the best of them (see weight) and searches again after Options.PartialInterval.
package upstream

import (
	"net/netip"
	"slices"
	"time"

	"cinderroad/internal/system/feed"
)

// State is the phase of a Selector.
type State uint8

// The states of a Selector.
const (
	Searching State = iota // polls the candidates in turn, without a wait
	Following              // long-polls one replica that is up to date with at least one partition
	CutOff                 // searches on; no reply was up to date with any partition for Options.CutOffAfter
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

// Options are the timeouts and intervals of a Selector. A zero field takes its default.
type Options struct {
	PollWait           time.Duration // how long a followed replica may hold a poll open; default 1 s
	ReplyTimeout       time.Duration // allowed beyond PollWait for the reply of a followed replica; default 1.2 s
	ProbeTimeout       time.Duration // for the reply to a poll without a wait; default 700 ms
	DialTimeout        time.Duration // to connect; doubles with each failure, up to ProbeTimeout; default 250 ms
	Partitions         int           // number of partitions followed; default 1
	StaleAfter         time.Duration // age from which a replica is stale in a partition; default feed.StaleAfter
	CutOffAfter        time.Duration // time without an up-to-date reply until a partition counts as cut off; default 2.5 s
	Backoff            time.Duration // before a candidate is retried; doubles with each failure; default 250 ms
	MaxBackoff         time.Duration // upper bound of Backoff and of Reply.RetryAfter; default 1 s
	StaleReplyDelay    time.Duration // added to the delay of a search by each stale reply, up to maxStaleReplies times; default 50 ms
	ReconsiderInterval time.Duration // between searches for a preceding candidate; default 10 s
	// PartialInterval is how long a replica that lacks partitions is followed before the other candidates are polled
	// again. It doubles each time, up to ReconsiderInterval; default 2 s.
	PartialInterval time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.PollWait, time.Second)
	setDefault(&o.ReplyTimeout, 1200*time.Millisecond)
	setDefault(&o.ProbeTimeout, 700*time.Millisecond)
	setDefault(&o.DialTimeout, 250*time.Millisecond)
	setDefault(&o.StaleAfter, feed.StaleAfter)
	setDefault(&o.CutOffAfter, 2500*time.Millisecond)
	setDefault(&o.Backoff, 250*time.Millisecond)
	setDefault(&o.MaxBackoff, time.Second)
	setDefault(&o.StaleReplyDelay, 50*time.Millisecond)
	setDefault(&o.ReconsiderInterval, 10*time.Second)
	setDefault(&o.PartialInterval, 2*time.Second)
	if o.Partitions == 0 {
		o.Partitions = 1
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// maxDoublings bounds the growth of a backoff.
const maxDoublings = 8

// maxStaleReplies bounds the growth of the delay between the polls of a search.
const maxStaleReplies = 4

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

// candidate is a replica that may be followed.
type candidate struct {
	address       netip.AddrPort
	failures      int               // polls in a row that failed
	failedAt      time.Duration     // time of the last failure
	retryAt       time.Duration     // it is not polled earlier
	askedInSearch uint64            // number of the last search that polled it
	requestNumber uint64            // number of its last poll in a search
	current       feed.PartitionSet // partitions with which it was up to date by its last reply
}

// Selector is the state of the choice. Times are of any monotonic clock, the same in all calls.
type Selector struct {
	options         Options
	all             feed.PartitionSet
	state           State
	candidates      []*candidate    // in order of preference
	followed        *candidate      // not nil exactly while Following
	search          uint64          // number of the current search
	requests        uint64          // number of polls made in searches
	upToDateAt      []time.Duration // by partition: time of the last up-to-date reply
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
	selector := &Selector{options: options, all: feed.FirstPartitions(options.Partitions), search: 1}
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

func (s *Selector) hasCandidates(addresses []netip.AddrPort) bool {
	return slices.EqualFunc(s.candidates, addresses, func(known *candidate, address netip.AddrPort) bool { return known.address == address })
}

func (s *Selector) find(address netip.AddrPort) *candidate {
	for _, known := range s.candidates {
		if known.address == address {
			return known
		}
	}
	return nil
}

// Next returns the poll to make now, or the time until the next one is due. The caller reports the outcome of each poll
// to HandleReply or HandleFailure before it calls Next again.
func (s *Selector) Next(now time.Duration) (Request, time.Duration) {
	if s.state == Following && now >= s.reconsiderAt {
		s.reconsider(now)
	}
	if s.state == Following && now < s.followed.retryAt {
		return Request{}, s.followed.retryAt - now
	}
	if s.state == Following {
		return s.newRequest(s.followed, s.options.PollWait, s.options.PollWait+s.options.ReplyTimeout), 0
	}
	s.checkCutOff(now)
	if now < s.nextRequestAt {
		return Request{}, s.nextRequestAt - now
	}
	next, wait := s.nextCandidate(now)
	if next == nil || next.askedInSearch == s.search { // every candidate that can be polled has been, in this search
		if best := s.bestCandidate(); best != nil {
			s.follow(now, best)
			return s.Next(now)
		}
	}
	if next == nil {
		s.seekingMore = false
		return Request{}, wait
	}
	s.requests++
	next.askedInSearch = s.search
	next.requestNumber = s.requests
	next.current = 0
	return s.newRequest(next, 0, s.options.ProbeTimeout), 0
}

// newRequest returns a poll of a candidate. The first connection attempts time out early, since a machine that is
// powered off does not refuse connections.
func (s *Selector) newRequest(to *candidate, wait, timeout time.Duration) Request {
	dial := min(s.options.DialTimeout<<min(to.failures, maxDoublings), s.options.ProbeTimeout)
	return Request{Address: to.address, Wait: wait, Timeout: timeout, DialTimeout: dial, Current: to.current}
}

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
		return failed.failedAt + s.options.ReconsiderInterval<<min(failed.failures, maxDoublings)
	}
	return failed.failedAt + s.options.ReconsiderInterval
}

// lastRequest returns the number of the candidate's last poll in the current search, 0 if there was none.
func (s *Selector) lastRequest(candidate *candidate) uint64 {
	if candidate.askedInSearch != s.search {
		return 0
	}
	return candidate.requestNumber
}

// bestCandidate returns the candidate with the greatest weight in the current search, the first of equals, or nil if
// none was up to date with any partition.
func (s *Selector) bestCandidate() *candidate {
	var best *candidate
	for _, candidate := range s.candidates {
		if candidate.askedInSearch != s.search || candidate.current.IsEmpty() {
			continue
		}
		if best == nil || weight(candidate.current) > weight(best.current) {
			best = candidate
		}
	}
	return best
}

// configurationWeight exceeds the weight of all partitions of runners together.
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

// HandleReply records a reply. A reply of an address that is not a candidate is ignored.
func (s *Selector) HandleReply(now time.Duration, from netip.AddrPort, reply Reply) {
	known := s.find(from)
	if known == nil {
		return
	}
	before := known.current
	known.current = s.currentPartitions(&reply)
	for partition := range known.current.All() {
		s.upToDateAt[partition] = now
	}
	if known.current.IsEmpty() {
		s.slowSearch(now)
		s.recordFailure(now, known)
		known.deferUntil(now, min(reply.RetryAfter, s.options.MaxBackoff))
		return
	}
	known.failures, known.retryAt = 0, 0
	known.deferUntil(now, min(reply.RetryAfter, s.options.MaxBackoff))
	s.staleReplies = 0
	switch {
	case s.state == Following && s.followed == known:
		s.continueFollowing(now, before)
	case known.current == s.all && reply.RetryAfter <= 0:
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
func (s *Selector) continueFollowing(now time.Duration, before feed.PartitionSet) {
	followed := s.followed
	switch {
	case !followed.current.ContainsAll(before):
		s.startSearch()
		s.requests++
		followed.askedInSearch = s.search
		followed.requestNumber = s.requests // its reply counts as one of the new search
	case followed.current == s.all && before != s.all:
		s.follow(now, followed)
	}
}

// deferUntil postpones the next poll of a busy candidate. Being busy is no failure.
func (c *candidate) deferUntil(now, pause time.Duration) {
	if pause > 0 {
		c.failures = 0
		c.retryAt = now + pause
	}
}

// slowSearch delays the next poll of a search after a stale reply. If a partition has no leader, all replicas are stale
// and all followers search at once. The delay is 0 after the first stale reply.
func (s *Selector) slowSearch(now time.Duration) {
	s.nextRequestAt = now + time.Duration(min(s.staleReplies, maxStaleReplies))*s.options.StaleReplyDelay
	s.staleReplies++
}

// HandleFailure records that a poll failed or timed out.
func (s *Selector) HandleFailure(now time.Duration, from netip.AddrPort) {
	if known := s.find(from); known != nil {
		s.recordFailure(now, known)
	}
}

func (s *Selector) recordFailure(now time.Duration, failed *candidate) {
	pause := min(s.options.Backoff<<min(failed.failures, maxDoublings), s.options.MaxBackoff)
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

// follow starts to follow a candidate.
func (s *Selector) follow(now time.Duration, next *candidate) {
	s.state = Following
	s.followed = next
	s.nextRequestAt = now
	s.seekingMore = false
	if next.current == s.all {
		s.partialFollows = 0
		s.reconsiderAt = now + s.options.ReconsiderInterval
		return
	}
	s.reconsiderAt = now + min(s.options.PartialInterval<<min(s.partialFollows, maxDoublings), s.options.ReconsiderInterval)
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
	if s.followed.current != s.all {
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
	if s.state == Searching && s.CutOff(now) == s.all {
		s.state = CutOff
	}
}
