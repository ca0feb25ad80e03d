package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/storage"
)

// faultyDisk is a store whose operations fail or hang on demand.
type faultyDisk struct {
	store
	mutex   sync.Mutex
	failure error
	stall   chan struct{} // not nil: operations hang until it is closed
}

// open is used as Host.openStore.
func (f *faultyDisk) open(folder string) (store, error) {
	if err := f.wait(); err != nil {
		return nil, err
	}
	s, err := openStorage(folder)
	f.store = s
	return f, err
}

func (f *faultyDisk) Write(writes ...storage.Update) error {
	if err := f.wait(); err != nil {
		return err
	}
	return f.store.Write(writes...)
}

func (f *faultyDisk) Initialize(replica consensus.ReplicaID, writes ...storage.Update) error {
	if err := f.wait(); err != nil {
		return err
	}
	return f.store.Initialize(replica, writes...)
}

// wait blocks while the disk hangs, and returns the injected error.
func (f *faultyDisk) wait() error {
	f.mutex.Lock()
	refusal := f.failure
	stall := f.stall
	f.mutex.Unlock()
	if stall != nil {
		<-stall
	}
	return refusal
}

// set injects an error, a hang, or neither.
func (f *faultyDisk) set(refusal error, stall chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failure = refusal
	f.stall = stall
}

// newFaultyDiskCluster returns a started cluster of three with faulty disks that work at first.
func newFaultyDiskCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, 3, 3)
	for _, m := range cluster.machines {
		m.disk = &faultyDisk{}
	}
	cluster.startAll()
	cluster.waitForMembership(3)
	return cluster
}

// waitForOtherLeader waits until another machine than the given one leads the partition.
func (c *testCluster) waitForOtherLeader(m *testMachine) {
	c.t.Helper()
	waitFor(c.t, "another leader", func() error {
		if c.leader(0) == m {
			return errors.New("it still leads")
		}
		return nil
	})
}

// TestStalledDiskReleasesLeadership checks that the others take over while the leader's disk hangs, and that it
// catches up after that.
func TestStalledDiskReleasesLeadership(t *testing.T) {
	cluster := newFaultyDiskCluster(t)
	stalled := cluster.leader(0)
	stall := make(chan struct{})
	release := sync.OnceFunc(func() { close(stall) })
	t.Cleanup(release)
	stalled.disk.set(nil, stall)
	go stalled.host.Propose(context.Background(), 0, []byte("a"))
	cluster.waitForOtherLeader(stalled)
	stalled.propose(0, "through another")
	for _, m := range cluster.machines {
		if m != stalled {
			m.waitForCommand(0, "through another")
		}
	}
	stalled.wait("it says that it lags", func() error {
		if fresh := stalled.host.Staleness(0); fresh < time.Second {
			return fmt.Errorf("it is %v behind", fresh)
		}
		return nil
	})
	stalled.disk.set(nil, nil)
	release()
	stalled.wait("the disk is back", func() error {
		stalled.host.mutex.Lock()
		defer stalled.host.mutex.Unlock()
		if stalled.host.disk.leadershipReleased {
			return errors.New("it is not")
		}
		return nil
	})
	stalled.propose(0, "after")
	for _, m := range cluster.machines {
		m.waitForCommand(0, "after")
	}
}

// TestFullDiskReleasesLeadership checks that the others take over while the leader's disk is full, and that it can
// lead again after that.
func TestFullDiskReleasesLeadership(t *testing.T) {
	cluster := newFaultyDiskCluster(t)
	full := cluster.leader(0)
	full.disk.set(&storage.DiskError{Operation: "write", Full: true}, nil)
	go full.host.Propose(context.Background(), 0, []byte("a"))
	cluster.waitForOtherLeader(full)
	full.propose(0, "through another")
	full.disk.set(nil, nil)
	full.wait("it leads again", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for _, machine := range cluster.machines {
			if machine != full {
				machine.host.mutex.Lock()
				machine.host.groups[0].node.TransferLeadership(machine.host.now(), full.host.self.ID)
				machine.host.processReady()
				machine.host.mutex.Unlock()
			}
		}
		if err := full.host.Barrier(ctx, 0); err != nil {
			return err
		}
		if _, leads := full.host.LeaderLease(0); !leads {
			return errors.New("it does not")
		}
		return nil
	})
	full.propose(0, "after")
	for _, machine := range cluster.machines {
		machine.waitForCommand(0, "after")
	}
}

// TestDiskFaultAtStart checks that hosts start once their disks work.
func TestDiskFaultAtStart(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	for _, m := range cluster.machines {
		m.disk = &faultyDisk{failure: &storage.DiskError{Operation: "open", Full: true}}
	}
	cluster.startAll()
	first := cluster.machines[0]
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var unavailable *UnavailableError
	if _, err := first.host.Propose(ctx, 0, []byte("early")); !errors.As(err, &unavailable) {
		t.Fatal(err)
	}
	for _, m := range cluster.machines {
		m.disk.set(nil, nil)
	}
	first.propose(0, "a")
	cluster.waitForMembership(3)
}

// TestCorruptStoreDiscarded checks that a replica with a corrupt store comes back as a new one.
func TestCorruptStoreDiscarded(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	cluster.startAll()
	cluster.machines[0].propose(0, "a")
	cluster.waitForMembership(3)
	spoilt := cluster.machines[1]
	before := spoilt.host.self.ID
	spoilt.kill()
	opened, err := storage.Open(spoilt.settings.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	gap := []consensus.Entry{{Index: 1000, Term: 1000}}
	if err := opened.Write(storage.Update{Partition: 2, Entries: gap}); err != nil {
		t.Fatal(err)
	}
	opened.Close()
	spoilt.start()
	spoilt.waitForCommand(0, "a")
	cluster.waitForMembership(3)
	if spoilt.host.self.ID == before {
		t.Error("it has its old replica")
	}
}

// TestReplicaWithoutDisk runs machines without a state folder.
func TestReplicaWithoutDisk(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	for _, m := range cluster.machines {
		m.settings.StateDir = ""
	}
	cluster.startAll()
	cluster.machines[0].propose(0, "a")
	cluster.waitForMembership(3)
	restarted := cluster.machines[1]
	restarted.kill()
	restarted.settings.FirstBoot = false
	restarted.start()
	restarted.waitForCommand(0, "a")
	cluster.waitForMembership(3)
}
