package replica

import (
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
)

const (
	contactSeeds         = 40
	contactFaultDuration = 20 * time.Second
	// contactDetectionTime is how long it takes at most until a machine knows that it is cut off, or that it no longer is: an
	// election time in which a leader goes on without a majority, the time without contact, and the next election.
	contactDetectionTime = (1 + contactElectionTimeouts + 2) * defaultElectionTimeout
)

// inContact is what the API of a machine goes by.
func (p *simProcess) inContact() bool { return p.host.inContact(p.group, p.clock()) }

// checkContact plays a core of five in which something happens for a while, and looks at each machine throughout: lost says
// which of them can agree on nothing then, by the number of the leader.
func checkContact(t *testing.T, seed uint64, happens func(w *simulation, leader *simMachine, lasts time.Duration),
	lost func(w *simulation, leader, of *simMachine) bool) {
	t.Helper()
	w := newSimulation(seed)
	w.profile.Machines, w.profile.Loss, w.profile.SyncTime = 5, 0, 5*time.Millisecond
	w.faultsEnabled = false
	w.bootstrap()
	w.runFor(scenarioWarmup)
	p := w.leader()
	if p == nil {
		t.Fatalf("seed %d: nobody leads after %v", seed, scenarioWarmup)
	}
	leader := p.slot
	happens(w, leader, contactFaultDuration)
	w.runFor(contactDetectionTime)
	for end := w.now + contactFaultDuration - contactDetectionTime - time.Second; w.now < end; w.runFor(100 * time.Millisecond) {
		for _, s := range w.machines {
			if s.process == nil || s.process.paused {
				continue
			}
			if is, want := s.process.inContact(), !lost(w, leader, s); is != want {
				t.Fatalf("seed %d, %v: machine %d is in contact: %t", seed, w.now, s.number, is)
			}
		}
	}
	w.runFor(time.Second + contactDetectionTime)
	for _, s := range w.machines {
		if s.process == nil || !s.process.inContact() {
			t.Fatalf("seed %d, %v: machine %d is not in contact again", seed, w.now, s.number)
		}
	}
	if w.failure != "" {
		t.Fatal(w.failure)
	}
}

// minority are two machines, the leader among them.
func minority(w *simulation, leader *simMachine) []*simMachine {
	other := w.machines[(leader.number+1)%len(w.machines)]
	return []*simMachine{leader, other}
}

// TestInContactDuringFaults has machines that are cut off, or left in a minority, know it, and all others not
// take themselves for such, whoever leads.
func TestInContactDuringFaults(t *testing.T) {
	nobody := func(*simulation, *simMachine, *simMachine) bool { return false }
	theLeader := func(_ *simulation, leader, s *simMachine) bool { return s == leader }
	cases := []struct {
		name    string
		happens func(w *simulation, leader *simMachine, lasts time.Duration)
		lost    func(w *simulation, leader, s *simMachine) bool
	}{
		{"nothing happens", func(*simulation, *simMachine, time.Duration) {}, nobody},
		{"the leader is killed", func(w *simulation, leader *simMachine, lasts time.Duration) {
			w.restart(leader, lasts)
		}, nobody},
		{"the leader is cut off", func(w *simulation, leader *simMachine, lasts time.Duration) {
			for _, other := range w.machines {
				w.block(leader, other, lasts)
				w.block(other, leader, lasts)
			}
		}, theLeader},
		{"the leader hears nothing", func(w *simulation, leader *simMachine, lasts time.Duration) {
			for _, other := range w.machines {
				w.block(other, leader, lasts)
			}
		}, theLeader},
		{"a minority with the leader is cut off", func(w *simulation, leader *simMachine, lasts time.Duration) {
			few := minority(w, leader)
			for _, one := range few {
				for _, other := range w.machines {
					if !slices.Contains(few, other) {
						w.block(one, other, lasts)
						w.block(other, one, lasts)
					}
				}
			}
		}, func(w *simulation, leader, s *simMachine) bool { return slices.Contains(minority(w, leader), s) }},
		{"a majority is killed", func(w *simulation, leader *simMachine, lasts time.Duration) {
			few := minority(w, leader)
			for _, other := range w.machines {
				if !slices.Contains(few, other) {
					w.restart(other, lasts)
				}
			}
		}, func(w *simulation, leader, s *simMachine) bool { return true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= contactSeeds; seed++ {
				checkContact(t, seed, c.happens, c.lost)
			}
		})
	}
}

// TestContactsHeardQuorum has messages of members of all kinds come, and of a replica that is none.
func TestContactsHeardQuorum(t *testing.T) {
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
