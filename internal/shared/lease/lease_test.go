package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// simulation is members that all know the same of each other, from which the input of each is made.
type simulation struct {
	now           float64
	members       []Member
	lastDiscovery []float64
	lastUpdate    []float64
	isolated      []bool // receives nothing since isolatedAt
	isolatedAt    float64
	excluded      []bool
	leases        []*Lease
}

func newSimulation(n int) *simulation {
	sim := &simulation{
		now:           1000,
		lastDiscovery: make([]float64, n),
		lastUpdate:    make([]float64, n),
		isolated:      make([]bool, n),
		excluded:      make([]bool, n),
	}
	for i := range n {
		sim.members = append(sim.members, Member{Name: fmt.Sprint("m", i), Key: uint64(7 * (i + 3) % 101)})
		sim.leases = append(sim.leases, &Lease{ProbeInterval: 1, Term: Term(5, 1)})
		sim.lastDiscovery[i] = sim.now
		sim.lastUpdate[i] = sim.now
	}
	return sim
}

// step advances by a second. reachable returns the members whose discovery works. Updates are forwarded among the
// members that are not isolated.
func (s *simulation) step(reachable func(i int) bool) (out int) {
	s.now++
	anybody := false
	for i := range s.members {
		if reachable(i) {
			s.lastDiscovery[i] = s.now
			s.lastUpdate[i] = s.now
			anybody = anybody || !s.isolated[i]
		}
	}
	for i := range s.members {
		if anybody && !s.isolated[i] {
			s.lastUpdate[i] = s.now
		}
	}
	var inputs []Input // all are made before any lease is updated
	for i := range s.members {
		inputs = append(inputs, s.inputOf(i))
	}
	for i := range s.members {
		if s.leases[i].Update(&inputs[i]) == Out {
			out++
		}
	}
	return out
}

// inputOf returns what member i knows.
func (s *simulation) inputOf(i int) Input {
	input := Input{Now: s.now, Self: s.members[i], LastDiscovery: s.lastDiscovery[i]}
	input.Self.LastUpdate = s.lastUpdate[i]
	input.Self.State = s.leases[i].State()
	input.Self.Excluded = s.excluded[i]
	for j, m := range s.members {
		if j == i {
			continue
		}
		m.LastContact = s.now
		m.LastUpdate = s.lastUpdate[j]
		m.DirectUpdate = s.lastDiscovery[j] >= s.now-5
		m.UpdateLead = s.lastUpdate[j] - s.lastUpdate[i]
		m.State = s.leases[j].State()
		m.Excluded = s.excluded[j]
		if s.isolated[i] || s.isolated[j] {
			m.LastContact = s.isolatedAt
			m.LastUpdate = min(m.LastUpdate, s.isolatedAt)
			m.DirectUpdate = s.lastDiscovery[j] >= s.isolatedAt-5
			m.State = Held
		}
		input.Others = append(input.Others, m)
	}
	return input
}

func (s *simulation) run(seconds int, reachable func(i int) bool) (most int) {
	for range seconds {
		most = max(most, s.step(reachable))
	}
	return most
}

func everyone(int) bool { return true }
func nobody(int) bool   { return false }

// TestNobodyIsOutWithoutFreshUpdates has discovery be down for all, or for all but one that forwards its updates:
// nobody is out.
func TestNobodyIsOutWithoutFreshUpdates(t *testing.T) {
	for _, n := range []int{1, 2, 5, 30} {
		sim := newSimulation(n)
		if out := sim.run(300, nobody); out > 0 {
			t.Errorf("%d of %d are out", out, n)
		}
		sim = newSimulation(n)
		if out := sim.run(300, func(i int) bool { return i == 0 }); out > 0 {
			t.Errorf("%d of %d are out, though one has a discovery", out, n)
		}
	}
}

// TestIsolatedMemberIsOut has one of five lose discovery, which the others see, and then all peers: it is out after its
// term, and back with the first update.
func TestIsolatedMemberIsOut(t *testing.T) {
	sim := newSimulation(5)
	reachable := func(i int) bool { return i != 2 }
	if sim.run(60, reachable) > 0 {
		t.Error("out though its peers bring it up")
	}
	sim.isolated[2], sim.isolatedAt = true, sim.now
	at := sim.now
	for sim.leases[2].State() != Out && sim.now < at+60 {
		sim.step(reachable)
	}
	if took := sim.now - at; took != Term(5, 1)+1 {
		t.Errorf("out after %v s, %v", took, sim.leases[2].Reason)
	}
	if sim.run(100, reachable) != 1 {
		t.Error("more are out, or it is not any more")
	}
	sim.isolated[2] = false
	if sim.run(3, reachable); sim.leases[2].State() != Held {
		t.Errorf("still %v", sim.leases[2].State())
	}
}

// TestAtMostAThirdIsOutWhenAllAreIsolated has all lose discovery and each other at once: no more than a third take it
// for their own fault, and nobody does if discovery was lost by all before.
func TestAtMostAThirdIsOutWhenAllAreIsolated(t *testing.T) {
	for n := 1; n < 40; n++ {
		sim := newSimulation(n)
		sim.run(5, everyone)
		for i := range sim.isolated {
			sim.isolated[i] = true
		}
		sim.isolatedAt = sim.now
		if out := sim.run(100, nobody); out > MaxOut(n) {
			t.Errorf("%d of %d are out", out, n)
		}
		sim = newSimulation(n)
		sim.run(60, nobody)
		for i := range sim.isolated {
			sim.isolated[i] = true
		}
		sim.isolatedAt = sim.now
		if out := sim.run(100, nobody); out > 0 {
			t.Errorf("%d of %d are out after discovery was lost by all", out, n)
		}
	}
}

// TestAtMostAThirdIsOutWhenMostAreStale has two thirds be stale while the rest have fresh updates: at most a third is
// out.
func TestAtMostAThirdIsOutWhenMostAreStale(t *testing.T) {
	for _, n := range []int{6, 9, 30} {
		sim := newSimulation(n)
		most := 0
		for range 200 {
			sim.now++
			for i := range sim.members {
				if i < n/3 {
					sim.lastDiscovery[i], sim.lastUpdate[i] = sim.now, sim.now
				}
			}
			most = max(most, sim.updateAll())
		}
		if most != MaxOut(n) {
			t.Errorf("%d of %d are out, not %d", most, n, MaxOut(n))
		}
	}
}

// updateAll updates all leases without forwarding updates.
func (s *simulation) updateAll() int {
	s.now--
	lastUpdate := append([]float64(nil), s.lastUpdate...)
	lastDiscovery := append([]float64(nil), s.lastDiscovery...)
	out := s.step(nobody)
	s.lastUpdate, s.lastDiscovery = lastUpdate, lastDiscovery
	return out
}

// TestExclusion checks that an order of exclusion binds, but never for more than a third.
func TestExclusion(t *testing.T) {
	sim := newSimulation(5)
	sim.excluded[1] = true
	if out := sim.run(10, everyone); out != 1 || sim.leases[1].State() != Out {
		t.Errorf("%d out, %v", out, sim.leases[1].State())
	}
	for i := range sim.excluded {
		sim.excluded[i] = true
	}
	if out := sim.run(10, everyone); out > MaxOut(5) || sim.leases[1].State() != Out {
		t.Errorf("%d out, %v", out, sim.leases[1].State())
	}
	clear(sim.excluded)
	if out := sim.run(2, everyone); out != 0 {
		t.Errorf("%d out after all were brought back", out)
	}
}

// TestLeaseInvariants plays random losses of discovery and peers and random orders: a member with a fresh update and
// without an order is never out, and while all know the same never more than a third is out.
func TestLeaseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 16).Draw(t, "members")
		sim := newSimulation(n)
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			reachable := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "speak")
			if rapid.Bool().Draw(t, "all deaf") != sim.isolated[0] {
				for i := range sim.isolated {
					sim.isolated[i] = !sim.isolated[i]
				}
				sim.isolatedAt = sim.now
			}
			for i := range sim.excluded {
				sim.excluded[i] = rapid.IntRange(0, 4).Draw(t, "order") == 0
			}
			for range rapid.IntRange(1, 40).Draw(t, "seconds") {
				out := sim.step(func(i int) bool { return reachable[i] })
				ordered := 0
				for i, l := range sim.leases {
					if sim.excluded[i] {
						ordered++
					}
					if l.State() == Out && !sim.excluded[i] && sim.now <= sim.lastUpdate[i]+Term(5, 1) {
						t.Fatalf("%d is out with a fresh update", i)
					}
				}
				if !sim.isolated[0] && out > MaxOut(n) {
					t.Fatalf("%d of %d are out, %d ordered", out, n, ordered)
				}
			}
		}
	})
}
