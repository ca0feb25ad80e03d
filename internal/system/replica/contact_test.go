package replica

import (
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
)

// Parameters of TestInContactDuringFaults.
const (
	contactSeeds         = 40
	contactFaultDuration = 20 * time.Second
	// contactDetectionTime limits the time until InContact reflects a fault or its end: an election timeout in which a
	// leader goes on without a majority, the time without contact, and the next election.
	contactDetectionTime = (1 + contactElectionTimeouts + 2) * defaultElectionTimeout
)

// inContact is the answer of Host.InContact.
func (p *simProcess) inContact() bool { return p.host.inContact(p.group, p.clock()) }

// checkContact runs a cluster of five with a fault and checks every machine's InContact while it lasts and after it:
// lost reports which machines cannot have anything committed, given the leader.
func checkContact(t *testing.T, seed uint64, inject func(sim *simulation, leader *simMachine, duration time.Duration),
	lost func(sim *simulation, leader, of *simMachine) bool) {
	t.Helper()
	sim := newScenario(seed)
	sim.bootstrap()
	leader := sim.warmUp(t)
	inject(sim, leader, contactFaultDuration)
	sim.runFor(contactDetectionTime)
	for end := sim.now + contactFaultDuration - contactDetectionTime - time.Second; sim.now < end; sim.runFor(100 * time.Millisecond) {
		for _, machine := range sim.machines {
			if machine.process == nil || machine.process.paused {
				continue
			}
			if is, want := machine.process.inContact(), !lost(sim, leader, machine); is != want {
				t.Fatalf("seed %d, %v: machine %d is in contact: %t", seed, sim.now, machine.index, is)
			}
		}
	}
	sim.runFor(time.Second + contactDetectionTime)
	for _, machine := range sim.machines {
		if machine.process == nil || !machine.process.inContact() {
			t.Fatalf("seed %d, %v: machine %d is not in contact again", seed, sim.now, machine.index)
		}
	}
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
}

// minority returns two machines, the leader among them.
func minority(sim *simulation, leader *simMachine) []*simMachine {
	other := sim.machines[(leader.index+1)%len(sim.machines)]
	return []*simMachine{leader, other}
}

// TestInContactDuringFaults checks that machines that are partitioned or in a minority report it, and that no other
// machine does, whichever machine leads.
func TestInContactDuringFaults(t *testing.T) {
	nobody := func(*simulation, *simMachine, *simMachine) bool { return false }
	theLeader := func(_ *simulation, leader, machine *simMachine) bool { return machine == leader }
	cases := []struct {
		name   string
		inject func(sim *simulation, leader *simMachine, lasts time.Duration)
		lost   func(sim *simulation, leader, machine *simMachine) bool
	}{
		{"nothing happens", func(*simulation, *simMachine, time.Duration) {}, nobody},
		{"the leader is killed", func(sim *simulation, leader *simMachine, lasts time.Duration) {
			sim.restart(leader, lasts)
		}, nobody},
		{"the leader is cut off", func(sim *simulation, leader *simMachine, lasts time.Duration) {
			sim.blockAll(leader, true, true, lasts)
		}, theLeader},
		{"the leader hears nothing", func(sim *simulation, leader *simMachine, lasts time.Duration) {
			sim.blockAll(leader, true, false, lasts)
		}, theLeader},
		{"a minority with the leader is cut off", func(sim *simulation, leader *simMachine, lasts time.Duration) {
			few := minority(sim, leader)
			for _, one := range few {
				for _, other := range sim.machines {
					if !slices.Contains(few, other) {
						sim.block(one, other, lasts)
						sim.block(other, one, lasts)
					}
				}
			}
		}, func(sim *simulation, leader, machine *simMachine) bool {
			return slices.Contains(minority(sim, leader), machine)
		}},
		{"a majority is killed", func(sim *simulation, leader *simMachine, lasts time.Duration) {
			few := minority(sim, leader)
			for _, other := range sim.machines {
				if !slices.Contains(few, other) {
					sim.restart(other, lasts)
				}
			}
		}, func(sim *simulation, leader, machine *simMachine) bool { return true }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= contactSeeds; seed++ {
				checkContact(t, seed, test.inject, test.lost)
			}
		})
	}
}

// TestContactsHasQuorumSince records messages from voters, learners and replicas that are not members.
func TestContactsHasQuorumSince(t *testing.T) {
	var membership consensus.Membership
	for id := consensus.ReplicaID(1); id <= 6; id++ {
		membership.Members = append(membership.Members, consensus.Member{ID: id, Voter: id <= 5})
	}
	for _, test := range []struct {
		from []consensus.ReplicaID // senders of one message a second, from 1 s on
		want bool                  // replica 1 heard a majority since 2 s
	}{
		{nil, false},
		{[]consensus.ReplicaID{9, 9, 2}, false},
		{[]consensus.ReplicaID{9, 6, 2}, false},
		{[]consensus.ReplicaID{3, 3, 2}, true},
		{[]consensus.ReplicaID{3, 2, 2}, false},
		{[]consensus.ReplicaID{3, 4, 5}, true},
	} {
		var contacts contacts
		for i, from := range test.from {
			contacts.record(from, &membership, time.Duration(i+1)*time.Second)
		}
		if got := contacts.hasQuorumSince(1, &membership, 2*time.Second); got != test.want {
			t.Errorf("%v: a majority: %t", test.from, got)
		}
	}
	if contacts := (contacts{}); !contacts.hasQuorumSince(1, &consensus.Membership{}, time.Second) {
		t.Error("a replica that knows no members reports no contact")
	}
}
