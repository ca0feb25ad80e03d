package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/feed"
)

const (
	testPartitions = 3
	testSeeds      = 300
)

// allPartitions are the partitions of the tests.
var allPartitions = feed.FirstPartitions(testPartitions)

// agesOf returns the ages in the reply of a replica that is up to date with some partitions.
func agesOf(current feed.PartitionSet) []time.Duration {
	ages := make([]time.Duration, testPartitions)
	for partition := range ages {
		if !current.Contains(feed.Partition(partition)) {
			ages[partition] = time.Hour
		}
	}
	return ages
}

// newTestSelector returns a selector of all partitions of the tests.
func newTestSelector() *Selector { return New(Options{Partitions: testPartitions}, 0) }

// TestPartitionWithoutLeaderLeavesOthersFollowed has a partition be without a leader at every replica.
func TestPartitionWithoutLeaderLeavesOthersFollowed(t *testing.T) {
	for lost := range feed.Partition(testPartitions) {
		rest := allPartitions.Without(feed.NewPartitionSet(lost))
		selector := newTestSelector()
		selector.SetCandidates(addresses(1, 2, 3))
		selector.Next(0)
		selector.HandleReply(0, address(1), Reply{Ages: agesOf(allPartitions)})
		expectRequest(t, selector, 0, 1, second)
		selector.HandleReply(second, address(1), Reply{Ages: agesOf(rest)})
		for n := 2; n <= 3; n++ {
			expectRequest(t, selector, second, n, 0)
			selector.HandleReply(second, address(n), Reply{Ages: agesOf(rest)})
		}
		expectRequest(t, selector, second, 1, second)
		expectState(t, selector, Following)
		if selector.Current() != rest {
			t.Errorf("without %d it is up to date with %v", lost, selector.Current())
		}
		selector.HandleReply(2*second, address(1), Reply{Ages: agesOf(rest)})
		if got := selector.CutOff(2*second + 499*time.Millisecond); !got.IsEmpty() {
			t.Errorf("without %d it is cut off from %v early", lost, got)
		}
		if got := selector.CutOff(2*second + 500*time.Millisecond); got != feed.NewPartitionSet(lost) {
			t.Errorf("without %d it is cut off from %v", lost, got)
		}
		expectState(t, selector, Following)
	}
}

// TestFollowsCandidateWithMostPartitions has replicas be up to date with different partitions.
func TestFollowsCandidateWithMostPartitions(t *testing.T) {
	cases := []struct {
		current []feed.PartitionSet // of replicas 1 and on
		want    int
	}{
		{[]feed.PartitionSet{feed.NewPartitionSet(1, 2), feed.NewPartitionSet(0), 0}, 2}, // the configuration counts most
		{[]feed.PartitionSet{feed.NewPartitionSet(0), feed.NewPartitionSet(0, 2), 0}, 2},
		{[]feed.PartitionSet{0, feed.NewPartitionSet(2), feed.NewPartitionSet(1, 2)}, 3},
		{[]feed.PartitionSet{feed.NewPartitionSet(0, 1), feed.NewPartitionSet(0, 2), 0}, 1}, // the first of equals
		{[]feed.PartitionSet{feed.NewPartitionSet(0, 1), feed.NewPartitionSet(0, 2), allPartitions}, 3},
	}
	for _, c := range cases {
		selector := newTestSelector()
		selector.SetCandidates(addresses(1, 2, 3))
		now := time.Duration(0)
		for step := 0; selector.State() != Following; step++ {
			request, pause := selector.Next(now)
			now += pause
			if selector.State() == Following || step > 20 {
				break
			}
			if pause == 0 {
				n := int(request.Address.Addr().As4()[3])
				selector.HandleReply(now, request.Address, Reply{Ages: agesOf(c.current[n-1])})
			}
		}
		if followed, _ := selector.Followed(); followed != address(c.want) {
			t.Errorf("%v: %v is followed, want %v", c.current, followed, address(c.want))
		}
	}
}

// TestRetriesCandidatesWhilePartitionsAreMissing has a replica become up to date with more partitions than the followed
// one. A third replica, which does not reply, is polled once and then only after a long backoff.
func TestRetriesCandidatesWhilePartitionsAreMissing(t *testing.T) {
	selector := newTestSelector()
	selector.SetCandidates(addresses(1, 2, 3))
	partly := Reply{Ages: agesOf(feed.NewPartitionSet(0, 1))}
	expectRequest(t, selector, 0, 1, 0)
	selector.HandleReply(0, address(1), partly)
	expectRequest(t, selector, 0, 2, 0)
	selector.HandleFailure(0, address(2))
	expectRequest(t, selector, 0, 3, 0)
	selector.HandleReply(0, address(3), partly)
	expectRequest(t, selector, 0, 1, second)
	selector.HandleReply(second, address(1), partly)
	expectRequest(t, selector, second, 1, second)
	selector.HandleReply(2*second, address(1), partly)
	expectRequest(t, selector, 2*second, 1, 0) // the candidates are polled again
	selector.HandleReply(2*second, address(1), partly)
	expectRequest(t, selector, 2*second, 3, 0) // not 2, which did not answer
	selector.HandleReply(2*second, address(3), Reply{Ages: agesOf(allPartitions)})
	expectRequest(t, selector, 2*second, 3, second)
	if selector.Current() != allPartitions {
		t.Errorf("it is up to date with %v", selector.Current())
	}
}

// TestSearchContinuesAfterLosingPartialReplica has the followed replica fail while others are polled for more
// partitions.
func TestSearchContinuesAfterLosingPartialReplica(t *testing.T) {
	selector := newTestSelector()
	selector.SetCandidates(addresses(1, 2))
	partly := Reply{Ages: agesOf(feed.NewPartitionSet(0, 1))}
	selector.Next(0)
	selector.HandleReply(0, address(1), partly)
	selector.Next(0)
	selector.HandleFailure(0, address(2))
	expectRequest(t, selector, 0, 1, second)
	selector.HandleReply(2*second, address(1), partly)
	expectRequest(t, selector, 2*second, 1, 0)
	selector.HandleFailure(2*second, address(1))
	now := 2 * second
	request, pause := selector.Next(now)
	for ; pause > 0; request, pause = selector.Next(now) {
		now += pause
	}
	if request.Address != address(2) || now > 4*second {
		t.Errorf("%v is asked at %v, want the other one before long", request.Address, now)
	}
}

// TestBestCandidateIsFound plays random replicas that are silent, or up to date with random partitions, and change over
// time: a replica with the configuration is found within a bounded time, or else one with the most partitions.
func TestBestCandidateIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "replicas")
		silent := make([]bool, n+1)
		current := make([]feed.PartitionSet, n+1)
		var order []int
		for i := range n {
			order = append(order, i+1)
		}
		selector := newTestSelector()
		now, changed := time.Duration(0), time.Duration(0)
		for step := range 400 {
			if step == 0 || rapid.IntRange(0, 60).Draw(t, "changes") == 0 {
				for i := range order {
					silent[i+1] = rapid.IntRange(0, 3).Draw(t, "silent") == 0
					current[i+1] = feed.PartitionSet(rapid.IntRange(0, int(allPartitions)).Draw(t, fmt.Sprint("partitions of ", i+1)))
				}
				changed = now
			}
			selector.SetCandidates(addresses(order...))
			request, pause := selector.Next(now)
			if pause > second {
				t.Fatalf("step %d: it pauses for %v", step, pause)
			}
			now += pause
			if pause > 0 {
				continue
			}
			from := int(request.Address.Addr().As4()[3])
			if silent[from] {
				now += request.Timeout
				selector.HandleFailure(now, request.Address)
			} else {
				now += request.Wait + 5*time.Millisecond
				selector.HandleReply(now, request.Address, Reply{Ages: agesOf(current[from])})
			}
			longest := 25*time.Second + time.Duration(n)*1700*time.Millisecond
			if now-changed < longest || selector.State() != Following {
				continue
			}
			best := 0
			for i := range order {
				if !silent[i+1] {
					best = max(best, weight(current[i+1]))
				}
			}
			if got := weight(selector.Current()); got < best && !selector.Current().Contains(feed.ConfigurationPartition) {
				t.Fatalf("step %d: %v is followed for %v, weight %d, where one of %d is there", step, selector.Current(),
					now-changed, got, best)
			}
		}
	})
}

// simulation is a follower of replicas in virtual time. Each replica replies after half of a round trip, and to a long
// poll as soon as there is a change. From lostAt on some partitions have no leader.
type simulation struct {
	random     *rand.Rand
	selector   *Selector
	roundTrip  time.Duration
	replicas   int
	silent     int // replica that never replies; 0: none
	lost       feed.PartitionSet
	lostAt     time.Duration
	changes    []time.Duration // time of each change, in order
	received   int             // number of changes that the follower has
	delays     []time.Duration // of the changes after lostAt
	longestGap time.Duration   // longest time that a partition with a leader was not known to be up to date
}

func newSimulation(seed uint64, lost feed.PartitionSet) *simulation {
	random := rand.New(rand.NewPCG(seed, 43))
	simulation := &simulation{
		random:    random,
		selector:  newTestSelector(),
		replicas:  3 + 2*random.IntN(3),
		lost:      lost,
		lostAt:    10 * second,
		roundTrip: time.Duration(1+random.IntN(180)) * time.Millisecond,
	}
	if random.IntN(2) == 0 {
		simulation.silent = 1 + random.IntN(simulation.replicas)
	}
	var order []int
	for i := range simulation.replicas {
		order = append(order, i+1)
	}
	simulation.selector.SetCandidates(addresses(order...))
	for at := second; at < 60*second; at += time.Duration(1+random.IntN(2000)) * time.Millisecond {
		simulation.changes = append(simulation.changes, at)
	}
	return simulation
}

// run polls until all changes have been received, or long beyond.
func (s *simulation) run() {
	now := time.Duration(0)
	for s.received < len(s.changes) && now < 90*second {
		request, pause := s.selector.Next(now)
		now += pause
		if pause > 0 {
			continue
		}
		if request.Address == address(s.silent) {
			now += min(request.Timeout, request.DialTimeout)
			s.selector.HandleFailure(now, request.Address)
			continue
		}
		arrives := now + s.roundTrip/2
		answered := arrives
		if next := s.changes[s.received]; next > arrives {
			answered = min(next, arrives+request.Wait)
		}
		now = answered + s.roundTrip/2
		s.receive(answered, now)
		s.longestGap = max(s.longestGap, now-s.oldest(now))
		s.selector.HandleReply(now, request.Address, Reply{Ages: agesOf(s.current(answered))})
	}
}

// oldest returns when the stalest partition with a leader was last known to be up to date.
func (s *simulation) oldest(now time.Duration) time.Duration {
	oldest := now
	for partition := range allPartitions.Without(s.lost).All() {
		oldest = min(oldest, s.selector.upToDateAt[partition])
	}
	return oldest
}

// current returns what all replicas are up to date with.
func (s *simulation) current(at time.Duration) feed.PartitionSet {
	if at < s.lostAt+1500*time.Millisecond {
		return allPartitions
	}
	return allPartitions.Without(s.lost)
}

// receive records the changes that were there when the replica replied.
func (s *simulation) receive(answered, now time.Duration) {
	for s.received < len(s.changes) && s.changes[s.received] <= answered {
		if at := s.changes[s.received]; at > s.lostAt {
			s.delays = append(s.delays, now-at)
		}
		s.received++
	}
}

// TestChangeLatencyWithPartitionWithoutLeader measures how long a change of a partition with a leader takes to its
// followers while others have none: as long as ever, but for the moments in which other replicas are polled.
func TestChangeLatencyWithPartitionWithoutLeader(t *testing.T) {
	for _, c := range []struct {
		name string
		lost feed.PartitionSet
		most time.Duration // at the 99th percentile; 0: no bound
	}{
		{"none is lost", 0, 400 * time.Millisecond},
		{"a partition of runners is lost", feed.NewPartitionSet(2), 400 * time.Millisecond},
		{"all of the runners are lost", feed.NewPartitionSet(1, 2), 400 * time.Millisecond},
		{"the configuration is lost", feed.NewPartitionSet(0), 600 * time.Millisecond},
		{"all are lost", allPartitions, 0},
	} {
		var delays []time.Duration
		var gap time.Duration
		for seed := uint64(1); seed <= testSeeds; seed++ {
			d := newSimulation(seed, c.lost)
			d.run()
			if d.received < len(d.changes) {
				t.Fatalf("%s, seed %d: %d of %d changes arrived", c.name, seed, d.received, len(d.changes))
			}
			delays = append(delays, d.delays...)
			gap = max(gap, d.longestGap)
			if worst := slices.Max(d.delays); c.most > 0 && worst > 3*d.roundTrip+700*time.Millisecond {
				t.Errorf("%s, seed %d: a change took %v, at a round trip of %v", c.name, seed, worst, d.roundTrip)
			}
		}
		slices.Sort(delays)
		p50, p99 := delays[len(delays)/2], delays[len(delays)*99/100]
		t.Logf("%s: %d changes, p50 %v, p99 %v, worst %v; longest without a word of the rest %v", c.name, len(delays),
			p50, p99, delays[len(delays)-1], gap)
		if c.most > 0 && p99 > c.most {
			t.Errorf("%s: p99 is %v, want %v at most", c.name, p99, c.most)
		}
	}
}

// TestIsolatedReplicaIsReplaced cuts the followed replica off from its peers, but not from its followers: it ends calls
// once it is stale. Another one is followed within feed.StaleAfter and three round trips.
func TestIsolatedReplicaIsReplaced(t *testing.T) {
	var worst time.Duration
	for seed := uint64(1); seed <= testSeeds; seed++ {
		random := rand.New(rand.NewPCG(seed, 47))
		roundTrip := time.Duration(1+random.IntN(180)) * time.Millisecond
		cutAt := 5*second + time.Duration(random.IntN(3000))*time.Millisecond
		selector := newTestSelector()
		selector.SetCandidates(addresses(1, 2, 3))
		now, left := time.Duration(0), time.Duration(0)
		for left == 0 && now < 60*second {
			request, pause := selector.Next(now)
			now += pause
			if pause > 0 {
				continue
			}
			answered := now + roundTrip/2 + request.Wait
			age := time.Duration(0)
			if request.Address == address(1) {
				stale := max(now+roundTrip/2, cutAt+feed.StaleAfter) + 10*time.Millisecond
				answered = min(answered, stale)
				age = max(0, answered-cutAt)
			}
			now = answered + roundTrip/2
			selector.HandleReply(now, request.Address, Reply{Ages: ages(age, age, age)})
			if followed, follows := selector.Followed(); follows && followed != address(1) {
				left = now - cutAt
			}
		}
		worst = max(worst, left)
		if left == 0 || left > feed.StaleAfter+10*time.Millisecond+3*roundTrip {
			t.Errorf("seed %d: left %v after the cut, at a round trip of %v", seed, left, roundTrip)
		}
	}
	t.Logf("left within %v", worst)
}
