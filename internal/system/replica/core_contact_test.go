package replica

import (
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
)

const (
	contactRuns  = 40
	contactLasts = 20 * time.Second
	// contactNoticed is how long it takes at most until a machine knows that it is cut off, or that it no longer is: an
	// election time in which a leader goes on without a majority, the time without contact, and the next election.
	contactNoticed = (1 + contactElectionTimeouts + 2) * defaultElectionTimeout
)

// inContact is what the API of a machine goes by.
func (p *coreProcess) inContact() bool { return p.host.inContact(p.group, p.clock()) }

// contactOf plays a core of five in which something happens for a while, and looks at each machine throughout: lost says
// which of them can agree on nothing then, by the number of the leader.
func contactOf(t *testing.T, seed uint64, happens func(w *coreWorld, leader *coreSlot, lasts time.Duration),
	lost func(w *coreWorld, leader, of *coreSlot) bool) {
	t.Helper()
	w := newCoreWorld(seed)
	w.profile.Machines, w.profile.Loss, w.profile.SyncTime = 5, 0, 5*time.Millisecond
	w.faults = false
	w.found()
	w.run(scenarioQuiet)
	p := w.leader()
	if p == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioQuiet)
	}
	leader := p.slot
	happens(w, leader, contactLasts)
	w.run(contactNoticed)
	for end := w.now + contactLasts - contactNoticed - time.Second; w.now < end; w.run(100 * time.Millisecond) {
		for _, s := range w.slots {
			if s.process == nil || s.process.frozen {
				continue
			}
			if is, want := s.process.inContact(), !lost(w, leader, s); is != want {
				t.Fatalf("seed %d, %v: machine %d is in contact: %t", seed, w.now, s.number, is)
			}
		}
	}
	w.run(time.Second + contactNoticed)
	for _, s := range w.slots {
		if s.process == nil || !s.process.inContact() {
			t.Fatalf("seed %d, %v: machine %d is not in contact again", seed, w.now, s.number)
		}
	}
	if w.failed != "" {
		t.Fatal(w.failed)
	}
}

// minority are two machines, the leader among them.
func minority(w *coreWorld, leader *coreSlot) []*coreSlot {
	other := w.slots[(leader.number+1)%len(w.slots)]
	return []*coreSlot{leader, other}
}

// TestMachinesKnowWhetherTheyAreCutOff has machines that are cut off, or left in a minority, know it, and all others not
// take themselves for such, whoever leads.
func TestMachinesKnowWhetherTheyAreCutOff(t *testing.T) {
	nobody := func(*coreWorld, *coreSlot, *coreSlot) bool { return false }
	theLeader := func(_ *coreWorld, leader, s *coreSlot) bool { return s == leader }
	cases := []struct {
		name    string
		happens func(w *coreWorld, leader *coreSlot, lasts time.Duration)
		lost    func(w *coreWorld, leader, s *coreSlot) bool
	}{
		{"nothing happens", func(*coreWorld, *coreSlot, time.Duration) {}, nobody},
		{"the leader is killed", func(w *coreWorld, leader *coreSlot, lasts time.Duration) {
			w.restart(leader, lasts)
		}, nobody},
		{"the leader is cut off", func(w *coreWorld, leader *coreSlot, lasts time.Duration) {
			for _, other := range w.slots {
				w.setCut(leader, other, lasts)
				w.setCut(other, leader, lasts)
			}
		}, theLeader},
		{"the leader hears nothing", func(w *coreWorld, leader *coreSlot, lasts time.Duration) {
			for _, other := range w.slots {
				w.setCut(other, leader, lasts)
			}
		}, theLeader},
		{"a minority with the leader is cut off", func(w *coreWorld, leader *coreSlot, lasts time.Duration) {
			few := minority(w, leader)
			for _, one := range few {
				for _, other := range w.slots {
					if !slices.Contains(few, other) {
						w.setCut(one, other, lasts)
						w.setCut(other, one, lasts)
					}
				}
			}
		}, func(w *coreWorld, leader, s *coreSlot) bool { return slices.Contains(minority(w, leader), s) }},
		{"a majority is killed", func(w *coreWorld, leader *coreSlot, lasts time.Duration) {
			few := minority(w, leader)
			for _, other := range w.slots {
				if !slices.Contains(few, other) {
					w.restart(other, lasts)
				}
			}
		}, func(w *coreWorld, leader, s *coreSlot) bool { return true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= contactRuns; seed++ {
				contactOf(t, seed, c.happens, c.lost)
			}
		})
	}
}

// TestContactsCountVoters has messages of members of all kinds come, and of a replica that is none.
func TestContactsCountVoters(t *testing.T) {
	var membership consensus.Membership
	for id := consensus.ReplicaID(1); id <= 6; id++ {
		membership.Members = append(membership.Members, consensus.Member{ID: id, Voter: id <= 5})
	}
	for _, c := range []struct {
		from []consensus.ReplicaID // one each second, from 1 s on
		want bool                  // a majority since 2 s, as replica 1 sees it
	}{
		{nil, false},
		{[]consensus.ReplicaID{9, 9, 2}, false},
		{[]consensus.ReplicaID{9, 6, 2}, false},
		{[]consensus.ReplicaID{3, 3, 2}, true},
		{[]consensus.ReplicaID{3, 2, 2}, false},
		{[]consensus.ReplicaID{3, 4, 5}, true},
	} {
		var contacts contacts
		for i, from := range c.from {
			contacts.record(from, &membership, time.Duration(i+1)*time.Second)
		}
		if got := contacts.heardQuorum(1, &membership, 2*time.Second); got != c.want {
			t.Errorf("%v: a majority: %t", c.from, got)
		}
	}
	if contacts := (contacts{}); !contacts.heardQuorum(1, &consensus.Membership{}, time.Second) {
		t.Error("a replica that knows no members takes itself for cut off")
	}
}
