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

// ages are those of the partitions in an answer.
func ages(ages ...time.Duration) []time.Duration { return ages }

// expectRequest has the machine ask a replica now.
func expectRequest(t *testing.T, m *Selector, now time.Duration, replica int, wait time.Duration) Request {
	t.Helper()
	question, pause := m.Next(now)
	if pause != 0 || question.Address != address(replica) || question.Wait != wait {
		t.Fatalf("at %v it asks %+v after %v, want %v with a wait of %v", now, question, pause, address(replica), wait)
	}
	return question
}

func expectState(t *testing.T, selector *Selector, want State) {
	t.Helper()
	if selector.State() != want {
		t.Fatalf("it is %v, want %v", selector.State(), want)
	}
}

func TestFollowsFirstCandidate(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2, 3))
	expectRequest(t, m, 0, 1, 0)
	m.HandleReply(0, address(1), Reply{Ages: ages(0)})
	expectState(t, m, Following)
	question := expectRequest(t, m, 0, 1, second)
	if question.Timeout != 2200*time.Millisecond {
		t.Errorf("a long poll may take %v, want 2.2s", question.Timeout)
	}
}

func TestNextCandidateAfterFailure(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2, 3))
	m.Next(0)
	m.HandleFailure(0, address(1))
	expectRequest(t, m, 0, 2, 0)
	m.HandleFailure(0, address(2))
	expectRequest(t, m, 0, 3, 0)
	m.HandleFailure(0, address(3))
	if question, pause := m.Next(0); pause != 250*time.Millisecond {
		t.Errorf("it asks %+v after %v, want a pause of 250ms", question, pause)
	}
	expectRequest(t, m, 250*time.Millisecond, 1, 0)
}

func TestSlowCandidatesDoNotStarveLaterOnes(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2, 3))
	now := time.Duration(0)
	for _, n := range []int{1, 2, 3, 1, 2, 3} {
		question := expectRequest(t, m, now, n, 0)
		now += question.Timeout + 400*time.Millisecond // longer than all pauses
		m.HandleFailure(now, address(n))
	}
}

func TestStaleReplicaIsReplaced(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2))
	m.Next(0)
	m.HandleReply(0, address(1), Reply{Ages: ages(1400 * time.Millisecond)})
	expectState(t, m, Following)
	m.Next(0)
	m.HandleReply(second, address(1), Reply{Ages: ages(2 * second)})
	expectState(t, m, Searching)
	expectRequest(t, m, second, 2, 0)
	m.HandleReply(second, address(2), Reply{Ages: ages(100 * time.Millisecond)})
	expectState(t, m, Following)
}

func TestRetryAfterIsHonored(t *testing.T) {
	for name, fresh := range map[string]time.Duration{"up to date": 0, "stale": 9 * second} {
		t.Run(name, func(t *testing.T) {
			m := New(Options{}, 0)
			m.SetCandidates(addresses(1, 2))
			m.Next(0)
			m.HandleReply(0, address(1), Reply{RetryAfter: 400 * time.Millisecond, Ages: ages(fresh)})
			expectState(t, m, Searching)
			expectRequest(t, m, 0, 2, 0)
			m.HandleReply(0, address(2), Reply{RetryAfter: 800 * time.Millisecond, Ages: ages(fresh)})
			now := time.Duration(0)
			for _, pause := m.Next(now); pause > 0; _, pause = m.Next(now) {
				now += pause
			}
			if now != 400*time.Millisecond {
				t.Fatalf("it asks again at %v", now)
			}
			m.HandleReply(now, address(1), Reply{Ages: ages(0)})
			expectState(t, m, Following)
		})
	}
}

func TestDialTimeoutGrowsWithFailures(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1))
	now := time.Duration(0)
	for _, want := range []time.Duration{250, 500, 700, 700} {
		question := expectRequest(t, m, now, 1, 0)
		if question.DialTimeout != want*time.Millisecond {
			t.Errorf("a connection may take %v, want %dms", question.DialTimeout, want)
		}
		m.HandleFailure(now, address(1))
		now += 2 * second
	}
}

func TestBusyReplicaStaysFollowed(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2))
	m.Next(0)
	m.HandleReply(0, address(1), Reply{Ages: ages(0)})
	m.Next(0)
	m.HandleReply(second, address(1), Reply{RetryAfter: 300 * time.Millisecond, Ages: ages(0)})
	expectState(t, m, Following)
	if _, pause := m.Next(second); pause != 300*time.Millisecond {
		t.Errorf("it comes back after %v", pause)
	}
	expectRequest(t, m, second+300*time.Millisecond, 1, second)
}

// TestSearchSlowsDownAfterStaleReplies has all replicas be without a leader for a while.
func TestSearchSlowsDownAfterStaleReplies(t *testing.T) {
	m := New(Options{}, 0)
	var order []int
	for i := range 18 {
		order = append(order, i+1)
	}
	m.SetCandidates(addresses(order...))
	now, questions := time.Duration(0), 0
	for now < second {
		question, pause := m.Next(now)
		now += pause
		if pause > 0 {
			continue
		}
		questions++
		now += 5 * time.Millisecond
		m.HandleReply(now, question.Address, Reply{Ages: ages(time.Hour)})
	}
	if questions < 5 || questions > 10 {
		t.Errorf("%d questions in a second", questions)
	}
}

func TestLaggingReplicaIsReplaced(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2))
	m.Next(0)
	m.HandleReply(0, address(1), Reply{Ages: ages(0), Lagging: feed.NewPartitionSet(0)})
	expectState(t, m, Searching)
	expectRequest(t, m, 0, 2, 0)
}

func TestCutOffAndRecovery(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2))
	now := time.Duration(0)
	for m.State() == Searching {
		question, pause := m.Next(now)
		now += pause
		if pause == 0 {
			m.HandleFailure(now, question.Address)
		}
	}
	expectState(t, m, CutOff)
	if now < 2500*time.Millisecond || now > 3500*time.Millisecond {
		t.Errorf("cut off after %v, want within a second after 2.5s", now)
	}
	now += 5 * second
	m.Next(now)
	m.HandleReply(now, address(2), Reply{Ages: ages(0)})
	expectState(t, m, Following)
	expectRequest(t, m, now, 2, second)
}

func TestShortSearchIsNotCutOff(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2))
	m.Next(0)
	m.HandleReply(0, address(1), Reply{Ages: ages(0)})
	now := 2200 * time.Millisecond // the followed one was silent for the whole call
	m.HandleFailure(now, address(1))
	expectState(t, m, Searching)
	expectRequest(t, m, now, 2, 0)
	m.HandleReply(now+50*time.Millisecond, address(2), Reply{Ages: ages(0)})
	expectState(t, m, Following)
}

func TestReturnsToNearerReplica(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1, 2))
	m.Next(0)
	m.HandleFailure(0, address(1))
	m.Next(0)
	m.HandleReply(0, address(2), Reply{Ages: ages(0)})
	for now := second; now < 10*second; now += second {
		expectRequest(t, m, now, 2, second)
		m.HandleReply(now, address(2), Reply{Ages: ages(0)})
	}
	expectRequest(t, m, 11*second, 1, 0)
	m.HandleReply(11*second, address(1), Reply{Ages: ages(9 * second)})
	expectRequest(t, m, 11*second, 2, 0)
	m.HandleReply(11*second, address(2), Reply{Ages: ages(0)})
	expectState(t, m, Following)
	expectRequest(t, m, 12*second, 2, second)
	m.HandleReply(12*second, address(2), Reply{Ages: ages(0)})
	expectRequest(t, m, 22*second, 1, 0)
	m.HandleReply(22*second, address(1), Reply{Ages: ages(0)})
	expectRequest(t, m, 22*second, 1, second)
}

func TestFollowedReplicaOutlivesCandidateList(t *testing.T) {
	m := New(Options{}, 0)
	m.SetCandidates(addresses(1))
	m.Next(0)
	m.HandleReply(0, address(1), Reply{Ages: ages(0)})
	m.SetCandidates(addresses(2))
	expectRequest(t, m, 0, 1, second)
	m.HandleFailure(0, address(1))
	expectRequest(t, m, 0, 2, 0)
	m.SetCandidates(addresses(2))
	if m.find(address(1)) != nil {
		t.Error("a replica that is neither named nor followed is kept")
	}
	m.HandleReply(0, address(1), Reply{Ages: ages(0)}) // late, of one that is not known any more
	expectState(t, m, Searching)
}

func TestNoCandidates(t *testing.T) {
	m := New(Options{}, 0)
	if question, pause := m.Next(0); pause <= 0 {
		t.Errorf("it asks %+v where nobody is known", question)
	}
}

// TestUpToDateReplicaIsFound plays drawn replicas that are up, silent, refusing or stale, and change over time.
func TestUpToDateReplicaIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "replicas")
		conditions := make([]int, n+1)
		m := New(Options{}, 0)
		now, wellSince := time.Duration(0), time.Duration(-1) // since when one is up to date that is not followed
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
			if up && (wellSince < 0 || m.State() == Following) {
				wellSince = now
			}
			var order []int
			for i := range n {
				order = append(order, i+1)
			}
			m.SetCandidates(addresses(order...))
			question, pause := m.Next(now)
			if pause > second {
				t.Fatalf("step %d: it pauses for %v", step, pause)
			}
			now += pause
			if pause > 0 {
				continue
			}
			from := int(question.Address.Addr().As4()[3])
			switch conditions[from] {
			case 0:
				now += min(question.Wait, second) + 5*time.Millisecond
				m.HandleReply(now, question.Address, Reply{Ages: ages(10 * time.Millisecond)})
			case 1:
				now += question.Timeout
				m.HandleFailure(now, question.Address)
			case 2:
				now += time.Millisecond
				m.HandleFailure(now, question.Address)
			case 3:
				now += question.Wait + 5*time.Millisecond
				m.HandleReply(now, question.Address, Reply{Ages: ages(3 * second)})
			}
			longest := 2200*time.Millisecond + time.Duration(n)*700*time.Millisecond + 2*second
			if up && now-wellSince > longest && m.State() != Following {
				t.Fatalf("step %d: %v for %v although one is up to date", step, m.State(), now-wellSince)
			}
			if m.State() == CutOff && now-m.upToDateAt[0] < 2500*time.Millisecond {
				t.Fatalf("step %d: cut off %v after a good answer", step, now-m.upToDateAt[0])
			}
		}
	})
}
