// Package source decides which control replica the feed is followed from. It is pure: times, addresses and outcomes go in,
// questions come out. There is one question at a time.
//
// A replica that answers and is up to date is followed by long polls. One that is silent, refuses or says that it has
// not heard a majority for long is left for the next; each is given a pause that grows. Once in a while a replica that
// now comes first in the list, a nearer one say, is tried in place of the one that is followed.
//
// Partitions count each by itself. Where no replica is up to date with all of them, the one that is with most is followed
// after all have been asked, and the others are asked again after a while.
package upstream

import (
	"net/netip"
	"slices"
	"time"

	"cinderroad/internal/system/feed"
)

// State is how the follower stands to the replicas.
type State uint8

// The states.
const (
	Searching State = iota // asks replicas in turn, each for an answer at once
	Following              // long-polls one that answered and is up to date with some partition at least
	CutOff                 // none has answered and been up to date with any for long; still asks them in turn
)

// String names the state.
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

// Options are the bounds by which a replica is left. Fields that are 0 have the defaults.
type Options struct {
	PollWait           time.Duration // of a long poll; default 1 s
	ReplyTimeout       time.Duration // beyond the wait, after which a followed replica is left; default 1.2 s
	ProbeTimeout       time.Duration // that a replica has to answer at once; default 700 ms
	DialTimeout        time.Duration // that a connection may take; doubled with each failure, up to Probe; default 250 ms
	Partitions         int           // that are followed; default 1
	StaleAfter         time.Duration // age of a replica's last word from a partition's majority that is too old; default feed.StaleAfter
	CutOffAfter        time.Duration // without a good answer until the follower is cut off from a partition; default 2.5 s
	Backoff            time.Duration // after the first failure of a replica; doubled with each; default 250 ms
	MaxBackoff         time.Duration // default 1 s
	StaleReplyDelay    time.Duration // by which the pause after answers of no use grows with each, up to four times; default 50 ms
	ReconsiderInterval time.Duration // between two looks for a replica that comes before the followed one; default 10 s
	// PartialInterval is how long a replica that is up to date with some partitions only is followed before the others are
	// asked again; doubled with each time, up to Reconsider; default 2 s.
	PartialInterval time.Duration
}

func (options *Options) setDefaults() {
	setDefault(&options.PollWait, time.Second)
	setDefault(&options.ReplyTimeout, 1200*time.Millisecond)
	setDefault(&options.ProbeTimeout, 700*time.Millisecond)
	setDefault(&options.DialTimeout, 250*time.Millisecond)
	setDefault(&options.StaleAfter, feed.StaleAfter)
	setDefault(&options.CutOffAfter, 2500*time.Millisecond)
	setDefault(&options.Backoff, 250*time.Millisecond)
	setDefault(&options.MaxBackoff, time.Second)
	setDefault(&options.StaleReplyDelay, 50*time.Millisecond)
	setDefault(&options.ReconsiderInterval, 10*time.Second)
	setDefault(&options.PartialInterval, 2*time.Second)
	if options.Partitions == 0 {
		options.Partitions = 1
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// maxStaleReplies is after how many answers of no use the pause after them grows no longer.
const maxStaleReplies = 4

// Request is a call to make.
type Request struct {
	Address     netip.AddrPort
	Wait        time.Duration     // that the replica may hold the call open
	Timeout     time.Duration     // after which it counts as failed
	DialTimeout time.Duration     // after which it counts as failed where no connection stands
	Current     feed.PartitionSet // with which the replica is followed; it is to answer once one of them is stale
}

// Reply is what a replica's answer says of the replica.
type Reply struct {
	Ages       []time.Duration   // by partition: how long ago it knew itself to be up to date; not named: never
	Lagging    feed.PartitionSet // it holds less of these than the follower
	Unusable   bool              // it is not to be followed, whatever it holds
	RetryAfter time.Duration     // it has more to send than it can now; it is to be asked again after that
}

// candidate is what is remembered of a candidate.
type candidate struct {
	address       netip.AddrPort
	failures      int
	failedAt      time.Duration
	retryAt       time.Duration     // it is not asked before
	askedInSearch uint64            // in which it was asked last
	requestNumber uint64            // number of the question that it was asked last
	current       feed.PartitionSet // with which it was up to date by its last answer, none without an answer
}

// Selector is the follower's state. Times are of any steady clock.
type Selector struct {
	options         Options
	all             feed.PartitionSet
	state           State
	candidates      []*candidate    // in the order of the candidates
	followed        *candidate      // while Following
	search          uint64          // number of the current search
	requests        uint64          // asked in searches
	upToDateAt      []time.Duration // by partition: when an answer last was up to date with it
	reconsiderAt    time.Duration
	partialFollows  int               // how many times in a row no replica was up to date with all partitions
	seekingMore     bool              // the search looks for a replica with more partitions than the one that was followed
	previousCurrent feed.PartitionSet // with which that one was up to date
	staleReplies    int               // answers in a row that were of no use
	nextRequestAt   time.Duration     // a search asks nobody before
}

// New returns a machine that searches from now on.
func New(options Options, now time.Duration) *Selector {
	options.setDefaults()
	selector := &Selector{options: options, all: feed.FirstPartitions(options.Partitions), search: 1}
	for range options.Partitions {
		selector.upToDateAt = append(selector.upToDateAt, now)
	}
	return selector
}

// State is the current state.
func (s *Selector) State() State { return s.state }

// Followed is the replica that is followed.
func (s *Selector) Followed() (netip.AddrPort, bool) {
	if s.followed == nil {
		return netip.AddrPort{}, false
	}
	return s.followed.address, true
}

// Current are the partitions with which the followed replica was up to date by its last answer.
func (s *Selector) Current() feed.PartitionSet {
	if s.followed == nil {
		return 0
	}
	return s.followed.current
}

// CutOff are the partitions with which no replica's answer has been up to date for long.
func (s *Selector) CutOff(now time.Duration) feed.PartitionSet {
	var cutOff feed.PartitionSet
	for partition, at := range s.upToDateAt {
		if now-at >= s.options.CutOffAfter {
			cutOff = cutOff.With(feed.Partition(partition))
		}
	}
	return cutOff
}

// SetCandidates sets the candidates, in the order in which they are to be tried. What is known of those that stay is kept. One
// that is followed and no longer named is followed on.
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

// Next is the question to ask now, or how long there is none.
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
	if next == nil || next.askedInSearch == s.search { // all that can be asked have been
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
	next.askedInSearch, next.requestNumber, next.current = s.search, s.requests, 0
	return s.newRequest(next, 0, s.options.ProbeTimeout), 0
}

// newRequest asks a replica. The first tries give a machine that does not answer at all up soon: it may be off.
func (s *Selector) newRequest(to *candidate, wait, timeout time.Duration) Request {
	dial := min(s.options.DialTimeout<<min(to.failures, 8), s.options.ProbeTimeout)
	return Request{Address: to.address, Wait: wait, Timeout: timeout, DialTimeout: dial, Current: to.current}
}

// nextCandidate is the candidate to ask: the first that was not asked in this search, or else the one that was asked longest
// ago. Without one it says how long all are paused.
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

// retryFailedAt is when a replica that did not answer may be asked again while another one is followed, as what that tells
// waits meanwhile: seldom, and ever more seldom if that one is up to date with the configuration.
func (s *Selector) retryFailedAt(failed *candidate) time.Duration {
	if failed.failures == 0 {
		return 0
	}
	if s.previousCurrent.Contains(feed.ConfigurationPartition) {
		return failed.failedAt + s.options.ReconsiderInterval<<min(failed.failures, 8)
	}
	return failed.failedAt + s.options.ReconsiderInterval
}

// lastRequest orders candidates by when it is their turn.
func (s *Selector) lastRequest(candidate *candidate) uint64 {
	if candidate.askedInSearch != s.search {
		return 0
	}
	return candidate.requestNumber
}

// bestCandidate is the replica that was up to date with most partitions in the current search; nil: none was with any. That of the
// configuration counts more than all others.
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

// configurationWeight is what the partition of the configuration counts, more than all others, which count 1 each.
const configurationWeight = 64

// weight is what being up to date with the partitions is worth.
func weight(current feed.PartitionSet) int {
	weight := current.Len()
	if current.Contains(feed.ConfigurationPartition) {
		weight += configurationWeight
	}
	return weight
}

// HandleReply takes a replica's answer.
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

// currentPartitions are the partitions with which an answer is up to date.
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

// continueFollowing goes on with the followed replica, unless it is no longer up to date with a partition: another one may be.
func (s *Selector) continueFollowing(now time.Duration, before feed.PartitionSet) {
	followed := s.followed
	switch {
	case !followed.current.ContainsAll(before):
		s.startSearch()
		s.requests++
		followed.askedInSearch, followed.requestNumber = s.search, s.requests // this answer counts in the search
	case followed.current == s.all && before != s.all:
		s.follow(now, followed)
	}
}

// deferUntil has a replica that said when to come back asked then, whatever came before.
func (c *candidate) deferUntil(now, pause time.Duration) {
	if pause > 0 {
		c.failures, c.retryAt = 0, now+pause
	}
}

// slowSearch slows a search down whose answers are of no use: where no group has a leader, it is the same at every replica,
// and all followers search at once. The second replica is asked without a pause.
func (s *Selector) slowSearch(now time.Duration) {
	s.nextRequestAt = now + time.Duration(min(s.staleReplies, maxStaleReplies))*s.options.StaleReplyDelay
	s.staleReplies++
}

// HandleFailure takes it that a replica gave no answer.
func (s *Selector) HandleFailure(now time.Duration, from netip.AddrPort) {
	if known := s.find(from); known != nil {
		s.recordFailure(now, known)
	}
}

func (s *Selector) recordFailure(now time.Duration, failed *candidate) {
	pause := min(s.options.Backoff<<min(failed.failures, 8), s.options.MaxBackoff)
	failed.failures++
	failed.failedAt, failed.retryAt, failed.current = now, now+pause, 0
	if s.state == Following && s.followed == failed {
		s.startSearch()
	}
	if s.state == Searching {
		s.checkCutOff(now)
	}
}

// follow begins to follow a replica.
func (s *Selector) follow(now time.Duration, next *candidate) {
	s.state = Following
	s.followed, s.nextRequestAt, s.seekingMore = next, now, false
	if next.current == s.all {
		s.partialFollows = 0
		s.reconsiderAt = now + s.options.ReconsiderInterval
		return
	}
	s.reconsiderAt = now + min(s.options.PartialInterval<<min(s.partialFollows, 8), s.options.ReconsiderInterval)
	s.partialFollows++
}

// startSearch gives up the followed replica and begins a search.
func (s *Selector) startSearch() {
	s.state = Searching
	s.followed = nil
	s.search++
	s.staleReplies = 0
}

// reconsider begins a search where the followed replica lacks partitions, or one that comes before it may be tried.
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

// checkCutOff ends a search that was in vain.
func (s *Selector) checkCutOff(now time.Duration) {
	if s.state == Searching && s.CutOff(now) == s.all {
		s.state = CutOff
	}
}
