package upstream

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/feed"
)

const second = time.Second

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

func addresses(ns ...int) []netip.AddrPort {
	var list []netip.AddrPort
	for _, n := range ns {
		list = append(list, address(n))
	}
	return list
}

// ages are those of the partitions in a reply.
func ages(ages ...time.Duration) []time.Duration { return ages }

// expectRequest fails unless the selector polls the given replica now.
func expectRequest(t *testing.T, selector *Selector, now time.Duration, replica int, wait time.Duration) Request {
	t.Helper()
	request, pause := selector.Next(now)
	if pause != 0 || request.Address != address(replica) || request.Wait != wait {
		t.Fatalf("at %v it asks %+v after %v, want %v with a wait of %v", now, request, pause, address(replica), wait)
	}
	return request
}

func expectState(t *testing.T, selector *Selector, want State) {
	t.Helper()
	if selector.State() != want {
		t.Fatalf("it is %v, want %v", selector.State(), want)
	}
}

func TestFollowsFirstCandidate(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2, 3))
	expectRequest(t, selector, 0, 1, 0)
	selector.HandleReply(0, address(1), Reply{Ages: ages(0)})
	expectState(t, selector, Following)
	request := expectRequest(t, selector, 0, 1, second)
	if request.Timeout != 2200*time.Millisecond {
		t.Errorf("a long poll may take %v, want 2.2s", request.Timeout)
	}
}

func TestNextCandidateAfterFailure(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2, 3))
	selector.Next(0)
	selector.HandleFailure(0, address(1))
	expectRequest(t, selector, 0, 2, 0)
	selector.HandleFailure(0, address(2))
	expectRequest(t, selector, 0, 3, 0)
	selector.HandleFailure(0, address(3))
	if request, pause := selector.Next(0); pause != 250*time.Millisecond {
		t.Errorf("it asks %+v after %v, want a pause of 250ms", request, pause)
	}
	expectRequest(t, selector, 250*time.Millisecond, 1, 0)
}

func TestSlowCandidatesDoNotStarveLaterOnes(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2, 3))
	now := time.Duration(0)
	for _, n := range []int{1, 2, 3, 1, 2, 3} {
		request := expectRequest(t, selector, now, n, 0)
		now += request.Timeout + 400*time.Millisecond // longer than all pauses
		selector.HandleFailure(now, address(n))
	}
}

func TestStaleReplicaIsReplaced(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2))
	selector.Next(0)
	selector.HandleReply(0, address(1), Reply{Ages: ages(1400 * time.Millisecond)})
	expectState(t, selector, Following)
	selector.Next(0)
	selector.HandleReply(second, address(1), Reply{Ages: ages(2 * second)})
	expectState(t, selector, Searching)
	expectRequest(t, selector, second, 2, 0)
	selector.HandleReply(second, address(2), Reply{Ages: ages(100 * time.Millisecond)})
	expectState(t, selector, Following)
}

func TestRetryAfterIsHonored(t *testing.T) {
	for name, fresh := range map[string]time.Duration{"up to date": 0, "stale": 9 * second} {
		t.Run(name, func(t *testing.T) {
			selector := New(Options{}, 0)
			selector.SetCandidates(addresses(1, 2))
			selector.Next(0)
			selector.HandleReply(0, address(1), Reply{RetryAfter: 400 * time.Millisecond, Ages: ages(fresh)})
			expectState(t, selector, Searching)
			expectRequest(t, selector, 0, 2, 0)
			selector.HandleReply(0, address(2), Reply{RetryAfter: 800 * time.Millisecond, Ages: ages(fresh)})
			now := time.Duration(0)
			for _, pause := selector.Next(now); pause > 0; _, pause = selector.Next(now) {
				now += pause
			}
			if now != 400*time.Millisecond {
				t.Fatalf("it asks again at %v", now)
			}
			selector.HandleReply(now, address(1), Reply{Ages: ages(0)})
			expectState(t, selector, Following)
		})
	}
}

func TestDialTimeoutGrowsWithFailures(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1))
	now := time.Duration(0)
	for _, want := range []time.Duration{250, 500, 700, 700} {
		request := expectRequest(t, selector, now, 1, 0)
		if request.DialTimeout != want*time.Millisecond {
			t.Errorf("a connection may take %v, want %dms", request.DialTimeout, want)
		}
		selector.HandleFailure(now, address(1))
		now += 2 * second
	}
}

func TestBusyReplicaStaysFollowed(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2))
	selector.Next(0)
	selector.HandleReply(0, address(1), Reply{Ages: ages(0)})
	selector.Next(0)
	selector.HandleReply(second, address(1), Reply{RetryAfter: 300 * time.Millisecond, Ages: ages(0)})
	expectState(t, selector, Following)
	if _, pause := selector.Next(second); pause != 300*time.Millisecond {
		t.Errorf("it comes back after %v", pause)
	}
	expectRequest(t, selector, second+300*time.Millisecond, 1, second)
}

// TestSearchSlowsDownAfterStaleReplies has all replicas be without a leader.
func TestSearchSlowsDownAfterStaleReplies(t *testing.T) {
	selector := New(Options{}, 0)
	var order []int
	for i := range 18 {
		order = append(order, i+1)
	}
	selector.SetCandidates(addresses(order...))
	now, questions := time.Duration(0), 0
	for now < second {
		request, pause := selector.Next(now)
		now += pause
		if pause > 0 {
			continue
		}
		questions++
		now += 5 * time.Millisecond
		selector.HandleReply(now, request.Address, Reply{Ages: ages(time.Hour)})
	}
	if questions < 5 || questions > 10 {
		t.Errorf("%d questions in a second", questions)
	}
}

func TestLaggingReplicaIsReplaced(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2))
	selector.Next(0)
	selector.HandleReply(0, address(1), Reply{Ages: ages(0), Lagging: feed.NewPartitionSet(0)})
	expectState(t, selector, Searching)
	expectRequest(t, selector, 0, 2, 0)
}

func TestCutOffAndRecovery(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2))
	now := time.Duration(0)
	for selector.State() == Searching {
		request, pause := selector.Next(now)
		now += pause
		if pause == 0 {
			selector.HandleFailure(now, request.Address)
		}
	}
	expectState(t, selector, CutOff)
	if now < 2500*time.Millisecond || now > 3500*time.Millisecond {
		t.Errorf("cut off after %v, want within a second after 2.5s", now)
	}
	now += 5 * second
	selector.Next(now)
	selector.HandleReply(now, address(2), Reply{Ages: ages(0)})
	expectState(t, selector, Following)
	expectRequest(t, selector, now, 2, second)
}

func TestShortSearchIsNotCutOff(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2))
	selector.Next(0)
	selector.HandleReply(0, address(1), Reply{Ages: ages(0)})
	now := 2200 * time.Millisecond // the followed replica did not reply for the whole call
	selector.HandleFailure(now, address(1))
	expectState(t, selector, Searching)
	expectRequest(t, selector, now, 2, 0)
	selector.HandleReply(now+50*time.Millisecond, address(2), Reply{Ages: ages(0)})
	expectState(t, selector, Following)
}

func TestReturnsToNearerReplica(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1, 2))
	selector.Next(0)
	selector.HandleFailure(0, address(1))
	selector.Next(0)
	selector.HandleReply(0, address(2), Reply{Ages: ages(0)})
	for now := second; now < 10*second; now += second {
		expectRequest(t, selector, now, 2, second)
		selector.HandleReply(now, address(2), Reply{Ages: ages(0)})
	}
	expectRequest(t, selector, 11*second, 1, 0)
	selector.HandleReply(11*second, address(1), Reply{Ages: ages(9 * second)})
	expectRequest(t, selector, 11*second, 2, 0)
	selector.HandleReply(11*second, address(2), Reply{Ages: ages(0)})
	expectState(t, selector, Following)
	expectRequest(t, selector, 12*second, 2, second)
	selector.HandleReply(12*second, address(2), Reply{Ages: ages(0)})
	expectRequest(t, selector, 22*second, 1, 0)
	selector.HandleReply(22*second, address(1), Reply{Ages: ages(0)})
	expectRequest(t, selector, 22*second, 1, second)
}

func TestFollowedReplicaOutlivesCandidateList(t *testing.T) {
	selector := New(Options{}, 0)
	selector.SetCandidates(addresses(1))
	selector.Next(0)
	selector.HandleReply(0, address(1), Reply{Ages: ages(0)})
	selector.SetCandidates(addresses(2))
	expectRequest(t, selector, 0, 1, second)
	selector.HandleFailure(0, address(1))
	expectRequest(t, selector, 0, 2, 0)
	selector.SetCandidates(addresses(2))
	if selector.find(address(1)) != nil {
		t.Error("a replica that is neither named nor followed is kept")
	}
	selector.HandleReply(0, address(1), Reply{Ages: ages(0)}) // a late reply of a replica that is no longer a candidate
	expectState(t, selector, Searching)
}

func TestNoCandidates(t *testing.T) {
	selector := New(Options{}, 0)
	if request, pause := selector.Next(0); pause <= 0 {
		t.Errorf("it asks %+v where nobody is known", request)
	}
}

// TestUpToDateReplicaIsFound plays random replicas that are up to date, silent, refusing or stale, and change over
// time.
func TestUpToDateReplicaIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "replicas")
		conditions := make([]int, n+1)
		selector := New(Options{}, 0)
		now, wellSince := time.Duration(0), time.Duration(-1) // since when a replica is up to date and not followed
		for step := range 400 {
			if rapid.IntRange(0, 30).Draw(t, "changes") == 0 {
				for i := range conditions {
					conditions[i] = rapid.IntRange(0, 3).Draw(t, fmt.Sprint("condition ", i))
				}
				wellSince = -1
			}
			up := false
			for _, condition := range conditions[1:] {
				up = up || condition == 0
			}
			if up && (wellSince < 0 || selector.State() == Following) {
				wellSince = now
			}
			var order []int
			for i := range n {
				order = append(order, i+1)
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
			switch conditions[from] {
			case 0:
				now += min(request.Wait, second) + 5*time.Millisecond
				selector.HandleReply(now, request.Address, Reply{Ages: ages(10 * time.Millisecond)})
			case 1:
				now += request.Timeout
				selector.HandleFailure(now, request.Address)
			case 2:
				now += time.Millisecond
				selector.HandleFailure(now, request.Address)
			case 3:
				now += request.Wait + 5*time.Millisecond
				selector.HandleReply(now, request.Address, Reply{Ages: ages(3 * second)})
			}
			longest := 2200*time.Millisecond + time.Duration(n)*700*time.Millisecond + 2*second
			if up && now-wellSince > longest && selector.State() != Following {
				t.Fatalf("step %d: %v for %v although one is up to date", step, selector.State(), now-wellSince)
			}
			if selector.State() == CutOff && now-selector.upToDateAt[0] < 2500*time.Millisecond {
				t.Fatalf("step %d: cut off %v after a good answer", step, now-selector.upToDateAt[0])
			}
		}
	})
}
