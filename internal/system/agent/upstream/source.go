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
	Wait        time.Duration // of a long poll; default 1 s
	Silence     time.Duration // beyond the wait, after which a followed replica is left; default 1.2 s
	Probe       time.Duration // that a replica has to answer at once; default 700 ms
	Dial        time.Duration // that a connection may take; doubled with each failure, up to Probe; default 250 ms
	Partitions  int           // that are followed; default 1
	StaleAfter  time.Duration // age of a replica's last word from a partition's majority that is too old; default feed.StaleAfter
	CutOffAfter time.Duration // without a good answer until the follower is cut off from a partition; default 2.5 s
	Pause       time.Duration // after the first failure of a replica; doubled with each; default 250 ms
	MostPause   time.Duration // default 1 s
	VainPause   time.Duration // by which the pause after answers of no use grows with each, up to four times; default 50 ms
	Reconsider  time.Duration // between two looks for a replica that comes before the followed one; default 10 s
	// PartlyFor is how long a replica that is up to date with some partitions only is followed before the others are
	// asked again; doubled with each time, up to Reconsider; default 2 s.
	PartlyFor time.Duration
}

func (o *Options) complete() {
	defaultTo(&o.Wait, time.Second)
	defaultTo(&o.Silence, 1200*time.Millisecond)
	defaultTo(&o.Probe, 700*time.Millisecond)
	defaultTo(&o.Dial, 250*time.Millisecond)
	defaultTo(&o.StaleAfter, feed.StaleAfter)
	defaultTo(&o.CutOffAfter, 2500*time.Millisecond)
	defaultTo(&o.Pause, 250*time.Millisecond)
	defaultTo(&o.MostPause, time.Second)
	defaultTo(&o.VainPause, 50*time.Millisecond)
	defaultTo(&o.Reconsider, 10*time.Second)
	defaultTo(&o.PartlyFor, 2*time.Second)
	if o.Partitions == 0 {
		o.Partitions = 1
	}
}

func defaultTo(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// mostVain is after how many answers of no use the pause after them grows no longer.
const mostVain = 4

// Question is a call to make.
type Question struct {
	Address netip.AddrPort
	Wait    time.Duration     // that the replica may hold the call open
	Timeout time.Duration     // after which it counts as failed
	Dial    time.Duration     // after which it counts as failed where no connection stands
	Current feed.PartitionSet // with which the replica is followed; it is to answer once one of them is stale
}

// Answer is what a replica's answer says of the replica.
type Answer struct {
	Ages     []time.Duration   // by partition: how long ago it knew itself to be up to date; not named: never
	Lagging  feed.PartitionSet // it holds less of these than the follower
	NotToUse bool              // it is not to be followed, whatever it holds
	Busy     time.Duration     // it has more to send than it can now; it is to be asked again after that
}

// replica is what is remembered of a candidate.
type replica struct {
	address  netip.AddrPort
	failures int
	failedAt time.Duration
	pausedTo time.Duration     // it is not asked before
	search   uint64            // in which it was asked last
	asked    uint64            // number of the question that it was asked last
	current  feed.PartitionSet // with which it was up to date by its last answer, none without an answer
}

// Machine is the follower's state. Times are of any steady clock.
type Machine struct {
	options      Options
	all          feed.PartitionSet
	state        State
	replicas     []*replica      // in the order of the candidates
	followed     *replica        // while Following
	search       uint64          // number of the current search
	questions    uint64          // asked in searches
	goodAt       []time.Duration // by partition: when an answer last was up to date with it
	reconsiderAt time.Duration
	partly       int               // how many times in a row no replica was up to date with all partitions
	revisiting   bool              // the search looks for a replica with more partitions than the one that was followed
	had          feed.PartitionSet // with which that one was up to date
	vain         int               // answers in a row that were of no use
	askAt        time.Duration     // a search asks nobody before
}

// New returns a machine that searches from now on.
func New(options Options, now time.Duration) *Machine {
	options.complete()
	m := &Machine{options: options, all: feed.FirstPartitions(options.Partitions), search: 1}
	for range options.Partitions {
		m.goodAt = append(m.goodAt, now)
	}
	return m
}

// State is the current state.
func (m *Machine) State() State { return m.state }

// Followed is the replica that is followed.
func (m *Machine) Followed() (netip.AddrPort, bool) {
	if m.followed == nil {
		return netip.AddrPort{}, false
	}
	return m.followed.address, true
}

// Current are the partitions with which the followed replica was up to date by its last answer.
func (m *Machine) Current() feed.PartitionSet {
	if m.followed == nil {
		return 0
	}
	return m.followed.current
}

// CutOff are the partitions with which no replica's answer has been up to date for long.
func (m *Machine) CutOff(now time.Duration) feed.PartitionSet {
	var cutOff feed.PartitionSet
	for partition, at := range m.goodAt {
		if now-at >= m.options.CutOffAfter {
			cutOff = cutOff.With(feed.Partition(partition))
		}
	}
	return cutOff
}

// Offer sets the candidates, in the order in which they are to be tried. What is known of those that stay is kept. One
// that is followed and no longer named is followed on.
func (m *Machine) Offer(candidates []netip.AddrPort) {
	if m.offers(candidates) {
		return
	}
	replicas := make([]*replica, 0, len(candidates)+1)
	for _, address := range candidates {
		known := m.find(address)
		if known == nil {
			known = &replica{address: address}
		}
		replicas = append(replicas, known)
	}
	if m.followed != nil && !slices.Contains(replicas, m.followed) {
		replicas = append(replicas, m.followed)
	}
	m.replicas = replicas
}

func (m *Machine) offers(candidates []netip.AddrPort) bool {
	return slices.EqualFunc(m.replicas, candidates, func(r *replica, a netip.AddrPort) bool { return r.address == a })
}

func (m *Machine) find(address netip.AddrPort) *replica {
	for _, known := range m.replicas {
		if known.address == address {
			return known
		}
	}
	return nil
}

// Next is the question to ask now, or how long there is none.
func (m *Machine) Next(now time.Duration) (Question, time.Duration) {
	if m.state == Following && now >= m.reconsiderAt {
		m.reconsider(now)
	}
	if m.state == Following && now < m.followed.pausedTo {
		return Question{}, m.followed.pausedTo - now
	}
	if m.state == Following {
		return m.question(m.followed, m.options.Wait, m.options.Wait+m.options.Silence), 0
	}
	m.checkCutOff(now)
	if now < m.askAt {
		return Question{}, m.askAt - now
	}
	next, wait := m.choose(now)
	if next == nil || next.search == m.search { // all that can be asked have been
		if best := m.best(); best != nil {
			m.follow(now, best)
			return m.Next(now)
		}
	}
	if next == nil {
		m.revisiting = false
		return Question{}, wait
	}
	m.questions++
	next.search, next.asked, next.current = m.search, m.questions, 0
	return m.question(next, 0, m.options.Probe), 0
}

// question asks a replica. The first tries give a machine that does not answer at all up soon: it may be off.
func (m *Machine) question(r *replica, wait, timeout time.Duration) Question {
	dial := min(m.options.Dial<<min(r.failures, 8), m.options.Probe)
	return Question{Address: r.address, Wait: wait, Timeout: timeout, Dial: dial, Current: r.current}
}

// choose is the candidate to ask: the first that was not asked in this search, or else the one that was asked longest
// ago. Without one it says how long all are paused.
func (m *Machine) choose(now time.Duration) (*replica, time.Duration) {
	if len(m.replicas) == 0 {
		return nil, m.options.Pause
	}
	wait := m.options.MostPause
	var next *replica
	for _, candidate := range m.replicas {
		if now < candidate.pausedTo {
			wait = min(wait, candidate.pausedTo-now)
			continue
		}
		if m.revisiting && now < m.revisitAt(candidate) {
			continue
		}
		if next == nil || m.turn(candidate) < m.turn(next) {
			next = candidate
		}
	}
	return next, wait
}

// revisitAt is when a replica that did not answer may be asked again while another one is followed, as what that tells
// waits meanwhile: seldom, and ever more seldom if that one is up to date with the configuration.
func (m *Machine) revisitAt(r *replica) time.Duration {
	if r.failures == 0 {
		return 0
	}
	if m.had.Contains(feed.ConfigurationPartition) {
		return r.failedAt + m.options.Reconsider<<min(r.failures, 8)
	}
	return r.failedAt + m.options.Reconsider
}

// turn orders candidates by when it is their turn.
func (m *Machine) turn(r *replica) uint64 {
	if r.search != m.search {
		return 0
	}
	return r.asked
}

// best is the replica that was up to date with most partitions in the current search; nil: none was with any. That of the
// configuration counts more than all others.
func (m *Machine) best() *replica {
	var best *replica
	for _, candidate := range m.replicas {
		if candidate.search != m.search || candidate.current.IsEmpty() {
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

// Answered takes a replica's answer.
func (m *Machine) Answered(now time.Duration, from netip.AddrPort, answer Answer) {
	known := m.find(from)
	if known == nil {
		return
	}
	before := known.current
	known.current = m.current(&answer)
	for partition := range known.current.All() {
		m.goodAt[partition] = now
	}
	if known.current.IsEmpty() {
		m.inVain(now)
		m.failed(now, known)
		known.busy(now, min(answer.Busy, m.options.MostPause))
		return
	}
	known.failures, known.pausedTo = 0, 0
	known.busy(now, min(answer.Busy, m.options.MostPause))
	m.vain = 0
	switch {
	case m.state == Following && m.followed == known:
		m.follows(now, before)
	case known.current == m.all && answer.Busy <= 0:
		m.follow(now, known)
	}
}

// current are the partitions with which an answer is up to date.
func (m *Machine) current(answer *Answer) feed.PartitionSet {
	var current feed.PartitionSet
	if answer.NotToUse {
		return current
	}
	for partition, age := range answer.Ages {
		if partition < m.options.Partitions && age <= m.options.StaleAfter {
			current = current.With(feed.Partition(partition))
		}
	}
	return current.Without(answer.Lagging)
}

// follows goes on with the followed replica, unless it is no longer up to date with a partition: another one may be.
func (m *Machine) follows(now time.Duration, before feed.PartitionSet) {
	followed := m.followed
	switch {
	case !followed.current.ContainsAll(before):
		m.lose()
		m.questions++
		followed.search, followed.asked = m.search, m.questions // this answer counts in the search
	case followed.current == m.all && before != m.all:
		m.follow(now, followed)
	}
}

// busy has a replica that said when to come back asked then, whatever came before.
func (r *replica) busy(now, pause time.Duration) {
	if pause > 0 {
		r.failures, r.pausedTo = 0, now+pause
	}
}

// inVain slows a search down whose answers are of no use: where no group has a leader, it is the same at every replica,
// and all followers search at once. The second replica is asked without a pause.
func (m *Machine) inVain(now time.Duration) {
	m.askAt = now + time.Duration(min(m.vain, mostVain))*m.options.VainPause
	m.vain++
}

// Failed takes it that a replica gave no answer.
func (m *Machine) Failed(now time.Duration, from netip.AddrPort) {
	if known := m.find(from); known != nil {
		m.failed(now, known)
	}
}

func (m *Machine) failed(now time.Duration, r *replica) {
	pause := min(m.options.Pause<<min(r.failures, 8), m.options.MostPause)
	r.failures++
	r.failedAt, r.pausedTo, r.current = now, now+pause, 0
	if m.state == Following && m.followed == r {
		m.lose()
	}
	if m.state == Searching {
		m.checkCutOff(now)
	}
}

// follow begins to follow a replica.
func (m *Machine) follow(now time.Duration, r *replica) {
	m.state = Following
	m.followed, m.askAt, m.revisiting = r, now, false
	if r.current == m.all {
		m.partly = 0
		m.reconsiderAt = now + m.options.Reconsider
		return
	}
	m.reconsiderAt = now + min(m.options.PartlyFor<<min(m.partly, 8), m.options.Reconsider)
	m.partly++
}

// lose gives up the followed replica and begins a search.
func (m *Machine) lose() {
	m.state = Searching
	m.followed = nil
	m.search++
	m.vain = 0
}

// reconsider begins a search where the followed replica lacks partitions, or one that comes before it may be tried.
func (m *Machine) reconsider(now time.Duration) {
	m.reconsiderAt = now + m.options.Reconsider
	if m.followed.current != m.all {
		m.had = m.followed.current
		m.lose()
		m.revisiting = true
		return
	}
	for _, candidate := range m.replicas {
		if candidate == m.followed {
			return
		}
		if now >= candidate.pausedTo {
			m.lose()
			return
		}
	}
}

// checkCutOff ends a search that was in vain.
func (m *Machine) checkCutOff(now time.Duration) {
	if m.state == Searching && m.CutOff(now) == m.all {
		m.state = CutOff
	}
}
