package replica

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/rpc"
)

// Parameters of clusters over real sockets.
const (
	testPartitions = 3
	testTimeout    = 60 * time.Second
)

// listState is a state machine that keeps all commands in order.
type listState struct {
	mutex    sync.Mutex
	index    uint64
	commands []string
}

func (s *listState) Apply(index uint64, command []byte) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if index <= s.index {
		panic(fmt.Sprintf("index %d applied after %d", index, s.index))
	}
	s.index = index
	s.commands = append(s.commands, string(command))
	return []byte(fmt.Sprintf("%d:%s", len(s.commands), command))
}

func (s *listState) Snapshot() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s.commands); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func (s *listState) Restore(index uint64, snapshot []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.index = index
	s.commands = nil
	return gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&s.commands)
}

func (s *listState) snapshotCommands() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.commands...)
}

// testMachine is a control machine with a Host on a loopback address.
type testMachine struct {
	t           *testing.T
	settings    processconfig.Settings
	host        *Host
	states      []*listState
	stopServing context.CancelFunc
	disk        *faultyDisk // nil: the real store
	served      chan struct{}
}

// testCluster is a set of machines on loopback addresses that share a port.
type testCluster struct {
	t        *testing.T
	port     uint16
	seeds    []netip.AddrPort
	machines []*testMachine
}

func loopback(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}) }

// newTestCluster returns a cluster that is not started; the first machines are its seeds. It is killed when the test
// ends.
func newTestCluster(t *testing.T, size, seeds int) *testCluster {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(listener.Addr().String()).Port()
	listener.Close()
	cluster := &testCluster{t: t, port: port}
	for i := range seeds {
		cluster.seeds = append(cluster.seeds, netip.AddrPortFrom(loopback(i), 1))
	}
	for i := range size {
		cluster.add(i, true)
	}
	t.Cleanup(func() {
		for _, m := range cluster.machines {
			m.kill()
		}
	})
	return cluster
}

// add adds a machine that is not started.
func (c *testCluster) add(i int, firstBoot bool) *testMachine {
	machine := &testMachine{
		t: c.t,
		settings: processconfig.Settings{
			Node:             fmt.Sprintf("core-%d", i),
			IP:               loopback(i),
			Zone:             fmt.Sprintf("zone-%d", i%3),
			FreePorts:        processconfig.PortRange{First: c.port, Last: c.port + 15},
			SeedNodes:        c.seeds,
			FirstBoot:        firstBoot,
			StateDir:         filepath.Join(c.t.TempDir(), "state"),
			SurvivableLosses: processconfig.SurvivableLosses{Machines: 1, Zones: 1},
		},
	}
	c.machines = append(c.machines, machine)
	return machine
}

// start starts the machine's host and serves its RPCs.
func (m *testMachine) start() {
	m.t.Helper()
	var states []StateMachine
	m.states = nil
	for range testPartitions {
		state := &listState{}
		m.states = append(m.states, state)
		states = append(states, state)
	}
	log := zaptest.NewLogger(m.t, zaptest.Level(zap.InfoLevel)).Named(m.settings.Node)
	m.host = New(Options{
		Settings:          &m.settings,
		StateMachines:     states,
		Log:               log,
		HeartbeatInterval: 40 * time.Millisecond,
		ElectionTimeout:   250 * time.Millisecond,
	})
	if m.disk != nil {
		m.host.openStore = m.disk.open
	}
	var listener net.Listener
	m.wait("its port is free", func() (err error) {
		listener, err = net.Listen("tcp4", controlAddress(&m.settings, m.settings.IP).String())
		return err
	})
	registry := rpc.NewRegistry()
	m.host.Register(registry)
	var ctx context.Context
	ctx, m.stopServing = context.WithCancel(context.Background())
	m.served = make(chan struct{})
	served := m.served
	go func() {
		defer close(served)
		if err := rpc.Serve(ctx, listener, registry, rpc.ServerLimits{}); err != nil {
			m.t.Error(err)
		}
	}()
	m.host.Start()
}

// kill ends the machine's host without a graceful shutdown.
func (m *testMachine) kill() {
	if m.host == nil {
		return
	}
	m.stopServing()
	<-m.served
	m.host.cancel()
	m.host.disk.stop()
	m.host.goroutines.Wait()
	m.host = nil
}

// stop shuts the machine's host down gracefully.
func (m *testMachine) stop() {
	m.host.Stop(context.Background())
	m.stopServing()
	<-m.served
	m.host = nil
}

// wipe empties the machine's disk.
func (m *testMachine) wipe() {
	m.t.Helper()
	if err := os.RemoveAll(m.settings.StateDir); err != nil {
		m.t.Fatal(err)
	}
	m.settings.FirstBoot = false
}

// wait waits for a condition.
func (m *testMachine) wait(what string, condition func() error) {
	m.t.Helper()
	waitFor(m.t, what, condition)
}

// waitFor polls a condition until it returns nil, for testTimeout at most.
func waitFor(t *testing.T, what string, condition func() error) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s: %v", what, err)
		}
		<-ticker.C
	}
}

// propose proposes a command, and again while the outcome is unknown.
func (m *testMachine) propose(partition feed.Partition, command string) {
	m.t.Helper()
	m.wait("proposal of "+command, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := m.host.Propose(ctx, partition, []byte(command))
		var unknown *UnknownOutcomeError
		if err != nil && !errors.As(err, &unknown) {
			m.t.Fatal(err)
		}
		return err
	})
}

// waitForCommand waits until the machine has a command after a barrier.
func (m *testMachine) waitForCommand(partition feed.Partition, command string) {
	m.t.Helper()
	m.wait(m.settings.Node+" holds "+command, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := m.host.Barrier(ctx, partition); err != nil {
			return err
		}
		list := m.states[partition].snapshotCommands()
		for _, have := range list {
			if have == command {
				return nil
			}
		}
		return fmt.Errorf("it has %v", list)
	})
}

// waitForMembership waits until all running machines agree that they are the members, with so many voters.
func (c *testCluster) waitForMembership(voters int) {
	c.t.Helper()
	waitFor(c.t, fmt.Sprintf("%d voters", voters), func() error {
		for _, machine := range c.running() {
			for _, status := range machine.host.Status() {
				if err := c.checkMembership(status.Status.Membership, voters); err != nil {
					return fmt.Errorf("%s, partition %d: %w", machine.settings.Node, status.Partition, err)
				}
			}
			if len(machine.host.Status()) != testPartitions {
				return errors.New("not started")
			}
		}
		return nil
	})
}

func (c *testCluster) running() (running []*testMachine) {
	for _, m := range c.machines {
		if m.host != nil {
			running = append(running, m)
		}
	}
	return running
}

func (c *testCluster) checkMembership(membership consensus.Membership, voters int) error {
	found := 0
	for _, member := range membership.Members {
		if member.Voter {
			found++
		}
	}
	if found != voters || len(membership.Members) != len(c.running()) {
		return fmt.Errorf("members are %v", memberList(membership.Members))
	}
	for _, m := range c.running() {
		if !m.isMemberOf(membership) {
			return fmt.Errorf("%s is not in %v", m.settings.Node, memberList(membership.Members))
		}
	}
	return nil
}

func (m *testMachine) isMemberOf(membership consensus.Membership) bool {
	m.host.mutex.Lock()
	defer m.host.mutex.Unlock()
	for _, member := range membership.Members {
		if member.ID == m.host.self.ID && !attributesDiffer(&member, &m.host.self) {
			return true
		}
	}
	return false
}

// leader waits for a leader of the partition and returns it.
func (c *testCluster) leader(partition feed.Partition) *testMachine {
	c.t.Helper()
	var leader *testMachine
	waitFor(c.t, "a leader", func() error {
		for _, m := range c.running() {
			if _, leads := m.host.LeaderLease(partition); leads {
				leader = m
				return nil
			}
		}
		return errors.New("there is no leader")
	})
	return leader
}

func (c *testCluster) startAll() {
	c.t.Helper()
	for _, m := range c.machines {
		m.start()
	}
}
