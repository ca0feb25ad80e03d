package replica

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/processconfig"
)

func TestProposeThroughEachReplica(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	for i, machine := range cluster.machines {
		for partition := range feed.Partition(testPartitions) {
			machine.propose(partition, fmt.Sprintf("%d-%d", i, partition))
		}
	}
	cluster.waitForMembership(3)
	for _, machine := range cluster.machines {
		for i := range cluster.machines {
			for partition := range feed.Partition(testPartitions) {
				machine.waitForCommand(partition, fmt.Sprintf("%d-%d", i, partition))
			}
		}
		if fresh := machine.host.Staleness(0); fresh > testTimeout {
			t.Errorf("%s is %v behind", machine.settings.Node, fresh)
		}
	}
}

func TestSingleReplicaRestart(t *testing.T) {
	cluster := newTestCluster(t, 1, 1)
	cluster.startAll()
	cluster.machines[0].propose(0, "a")
	cluster.machines[0].kill()
	cluster.machines[0].settings.FirstBoot = false
	cluster.machines[0].start()
	cluster.machines[0].waitForCommand(0, "a")
}

func TestLeaderKillAndRestart(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	cluster.machines[0].propose(1, "before")
	cluster.waitForMembership(3)
	killed := cluster.leader(1)
	killed.kill()
	cluster.running()[0].propose(1, "meanwhile")
	killed.settings.FirstBoot = false
	killed.start()
	killed.waitForCommand(1, "meanwhile")
	killed.waitForCommand(1, "before")
	cluster.waitForMembership(3)
}

func TestFullClusterRestart(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	cluster.machines[2].propose(0, "kept")
	for _, m := range cluster.machines {
		m.kill()
		m.settings.FirstBoot = false
	}
	cluster.startAll()
	for _, m := range cluster.machines {
		m.waitForCommand(0, "kept")
	}
}

func TestStopTransfersLeadership(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	cluster.waitForMembership(3)
	stopped := cluster.leader(0)
	stopped.propose(0, "a")
	stopped.stop()
	for _, m := range cluster.running() {
		m.waitForCommand(0, "a")
	}
}

func TestWipedReplicaRejoins(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	cluster.machines[0].propose(0, "a")
	cluster.waitForMembership(3)
	for _, machine := range cluster.machines {
		before := machine.host.self.ID
		machine.kill()
		machine.wipe()
		machine.start()
		machine.waitForCommand(0, "a")
		cluster.waitForMembership(3)
		if machine.host.self.ID == before {
			t.Errorf("%s has its old replica", machine.settings.Node)
		}
	}
}

func TestReplicasJoin(t *testing.T) {
	cluster := newTestCluster(t, 7, 3)
	cluster.startAll()
	cluster.waitForMembership(5)
	cluster.machines[6].propose(2, "a")
	for _, m := range cluster.machines {
		m.waitForCommand(2, "a")
	}
}

func TestNewReplicaReplacesLost(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	cluster.machines[0].propose(0, "a")
	cluster.waitForMembership(3)
	cluster.machines[1].kill()
	added := cluster.add(3, false)
	added.start()
	added.waitForCommand(0, "a")
	cluster.waitForMembership(3)
}

// TestRestartWithUnreachableSeeds restarts machines whose seeds no longer exist: they find each other by what is on
// their disks, and a new machine by an address given to it.
func TestRestartWithUnreachableSeeds(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	cluster.machines[0].propose(0, "a")
	cluster.waitForMembership(3)
	gone := []netip.AddrPort{netip.AddrPortFrom(loopback(99), 1)}
	for _, m := range cluster.machines {
		m.kill()
		m.settings.FirstBoot = false
		m.settings.SeedNodes = gone
		m.start()
		m.waitForCommand(0, "a")
	}
	added := cluster.add(3, false)
	added.settings.SeedNodes = gone
	added.start()
	added.host.AddPeerAddresses(cluster.machines[1].host.address)
	added.waitForCommand(0, "a")
	cluster.waitForMembership(3)
}

func TestNewReplicaReceivesSnapshot(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	large := string(bytes.Repeat([]byte("x"), 64<<10))
	for i := range 40 {
		cluster.machines[i%3].propose(0, fmt.Sprintf("%d%s", i, large))
	}
	added := cluster.add(3, false)
	added.start()
	added.waitForCommand(0, "39"+large)
	if n := len(added.states[0].snapshotCommands()); n < 40 {
		t.Errorf("it holds %d commands", n)
	}
}

// TestJoinRequestedForUnknownLeader checks that a replica that follows a leader whose address it does not know asks
// to join until it learns the address.
func TestJoinRequestedForUnknownLeader(t *testing.T) {
	const self, founder, joined = 1, 2, 9
	settings := processconfig.Settings{IP: netip.MustParseAddr("10.0.0.1"), FreePorts: processconfig.PortRange{First: 9000, Last: 9015}}
	host := New(Options{Settings: &settings, StateMachines: []StateMachine{&listState{}}})
	host.self.ID = self
	member := host.self
	member.Voter = true
	stored := consensus.PersistentState{Snapshot: consensus.Snapshot{Membership: consensus.Membership{Members: []consensus.Member{
		member, {ID: founder, Address: "10.0.0.2:9000", Voter: true}}}}}
	g := host.groups[0]
	if err := g.start(time.Second, nodeOptions(self, 1, defaultHeartbeatInterval, defaultElectionTimeout), stored); err != nil {
		t.Fatal(err)
	}
	for _, leader := range []struct {
		id    consensus.ReplicaID
		wants bool
	}{{founder, false}, {joined, true}} {
		g.node.Step(time.Second, consensus.Message{Kind: consensus.MessageAppend, From: leader.id, To: self, Term: uint64(leader.id)})
		if wants := host.needsJoin(time.Second); wants != leader.wants {
			t.Errorf("led by %d: needsJoin is %v, want %v", leader.id, wants, leader.wants)
		}
	}
	host.peers.learnAddress(joined, netip.MustParseAddrPort("10.0.0.9:9000"))
	if host.needsJoin(time.Second) {
		t.Error("it needs to join although it knows the address of its leader")
	}
}
