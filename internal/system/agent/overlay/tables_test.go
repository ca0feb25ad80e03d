package overlay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

const partitions = 2

// allPartitions is all partitions.
var allPartitions = feed.FirstPartitions(1 + partitions)

// simulation is a control replica's tables, an agent's, and those of the proxy that follows the agent.
type simulation struct {
	t       fataler
	now     time.Duration
	control []*feed.Table
	index   uint64
	agent   *Tables
	proxy   []*feed.Table
}

type fataler interface {
	Helper()
	Fatalf(format string, arguments ...any)
}

func newSimulation(t fataler) *simulation {
	sim := &simulation{t: t, agent: New(partitions), now: time.Second}
	for partition := range feed.Partition(1 + partitions) {
		sim.control = append(sim.control, feed.NewTable(partition))
		sim.proxy = append(sim.proxy, feed.NewTable(partition))
	}
	return sim
}

func runner(id string) discovery.Runner {
	return discovery.Runner{
		ID:       id,
		Service:  "service",
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		Zone:     "a1",
		Capacity: 4,
	}
}

func drainingRunner(id string) discovery.Runner {
	r := runner(id)
	r.Draining = true
	return r
}

func partitionOf(r discovery.Runner) feed.Partition { return feed.PartitionOf(r.Service, partitions) }

// put adds or replaces runners at the control replicas.
func (s *simulation) put(runners ...discovery.Runner) {
	s.index++
	for _, r := range runners {
		s.control[partitionOf(r)].Put(s.now, s.index, feed.KeyPrefixRunner+r.ID, discovery.EncodeRunner(r))
	}
}

// remove removes a runner of the usual service at the control replicas.
func (s *simulation) remove(id string) { s.removeRunner(runner(id)) }

func (s *simulation) removeRunner(r discovery.Runner) {
	s.index++
	s.control[partitionOf(r)].Delete(s.now, s.index, feed.KeyPrefixRunner+r.ID)
}

func (s *simulation) configure(version string) {
	s.index++
	s.control[0].Put(s.now, s.index, feed.KeyVersion, []byte(version))
}

// updateAgent has the agent follow the control replicas.
func (s *simulation) updateAgent() {
	for i, position := range s.agent.Positions() {
		s.agent.Apply(s.now, s.control[i].BatchSince(s.now, position.Index, 0))
	}
}

// updateProxy has the proxy follow the agent.
func (s *simulation) updateProxy() {
	s.t.Helper()
	for partition := range s.proxy {
		s.updateProxyPartition(feed.Partition(partition))
	}
}

func (s *simulation) updateProxyPartition(partition feed.Partition) {
	table := s.proxy[partition]
	s.agent.Reconcile(s.now, table.Position())
	served := s.agent.Served(partition)
	if served.LastChangeIndex() > table.Index() {
		table.Apply(s.now, served.BatchSince(s.now, table.Index(), 0))
	}
}

// proxyRunner returns what the proxy holds of a runner.
func (s *simulation) proxyRunner(id string) (discovery.Runner, bool) {
	s.t.Helper()
	value, known := s.proxy[partitionOf(runner(id))].Get(feed.KeyPrefixRunner + id)
	if !known {
		return discovery.Runner{}, false
	}
	decoded, err := discovery.DecodeRunner(value)
	if err != nil {
		s.t.Fatalf("the proxy holds no runner of %s: %v", id, err)
	}
	return decoded, true
}

func (s *simulation) expect(id string, known, draining bool) {
	s.t.Helper()
	s.updateProxy()
	held, is := s.proxyRunner(id)
	if is != known || held.Draining != draining {
		s.t.Fatalf("%s is known: %v, draining: %v; want %v, %v", id, is, held.Draining, known, draining)
	}
}

func TestFeedIsServed(t *testing.T) {
	sim := newSimulation(t)
	if !sim.agent.Empty() {
		t.Error("it has something at the start")
	}
	sim.configure("1")
	sim.put(runner("one"), runner("two"))
	sim.updateAgent()
	sim.expect("one", true, false)
	if value, _ := sim.proxy[0].Get(feed.KeyVersion); string(value) != "1" || sim.agent.Empty() {
		t.Error("the configuration did not go through")
	}
	sim.put(drainingRunner("one"))
	sim.remove("two")
	sim.updateAgent()
	sim.expect("one", true, true)
	sim.expect("two", false, false)
}

func TestAgesArePreserved(t *testing.T) {
	sim := newSimulation(t)
	sim.put(runner("one"))
	sim.now += 3 * time.Second
	sim.updateAgent()
	sim.now += 2 * time.Second
	item, _ := sim.agent.Served(partitionOf(runner("one"))).Item(sim.now, feed.KeyPrefixRunner+"one")
	if item.Age != 5*time.Second {
		t.Errorf("the runner is as old as %v, want 5s", item.Age)
	}
}

func TestLaggingBatchIsIgnored(t *testing.T) {
	sim := newSimulation(t)
	sim.put(runner("one"))
	behind := sim.control[partitionOf(runner("one"))].Snapshot(sim.now)
	sim.put(drainingRunner("one"))
	sim.updateAgent()
	if changed, lags := sim.agent.Apply(sim.now, behind); changed || !lags {
		t.Errorf("a batch that lags: changed %v, lags %v", changed, lags)
	}
	sim.expect("one", true, true)
}

func TestListIsAppliedAndDropped(t *testing.T) {
	sim := newSimulation(t)
	sim.put(runner("one"), runner("two"), runner("three"))
	sim.updateAgent()
	list := []discovery.Runner{runner("one"), drainingRunner("two"), runner("four")}
	if !sim.agent.ApplyList(sim.now, list, allPartitions) {
		t.Error("a list that differs changes nothing")
	}
	sim.expect("one", true, false)
	sim.expect("two", true, true)
	sim.expect("three", true, false) // missing once
	sim.expect("four", true, false)
	sim.agent.ApplyList(sim.now, list, allPartitions)
	sim.expect("three", false, false)
	if sim.agent.ApplyList(sim.now, list, allPartitions) {
		t.Error("the same list changes something")
	}
	if sim.agent.ApplyList(sim.now, nil, allPartitions) {
		t.Error("an empty list changes something")
	}
	if !sim.agent.DropList(sim.now, allPartitions) {
		t.Error("dropping the list changes nothing")
	}
	sim.expect("one", true, false)
	sim.expect("two", true, true) // draining is permanent
	sim.expect("three", true, false)
	sim.expect("four", false, false)
	if sim.agent.DropList(sim.now, allPartitions) {
		t.Error("the list is dropped twice")
	}
}

// TestListAppliesToGivenPartitionsOnly has one of two partitions be cut off.
func TestListAppliesToGivenPartitionsOnly(t *testing.T) {
	sim := newSimulation(t)
	var here, there discovery.Runner
	for i := 0; here.ID == "" || there.ID == ""; i++ {
		r := runner(fmt.Sprint("runner-", i))
		r.Service = fmt.Sprint("service-", i)
		if partitionOf(r) == 1 {
			here = r
		} else {
			there = r
		}
	}
	sim.put(here, there)
	sim.updateAgent()
	drains := func(r discovery.Runner) bool {
		sim.updateProxy()
		value, known := sim.proxy[partitionOf(r)].Get(feed.KeyPrefixRunner + r.ID)
		held, err := discovery.DecodeRunner(value)
		if !known || err != nil {
			t.Fatalf("%s is held: %t, %v", r.ID, known, err)
		}
		return held.Draining
	}
	list := []discovery.Runner{here, there}
	list[0].Draining, list[1].Draining = true, true
	sim.agent.ApplyList(sim.now, list, feed.NewPartitionSet(1))
	if !drains(here) || drains(there) {
		t.Errorf("cut off from 1: in 1 it drains: %t, in 2: %t", drains(here), drains(there))
	}
	sim.agent.ApplyList(sim.now, list[1:], feed.NewPartitionSet(1))
	sim.agent.ApplyList(sim.now, list[1:], feed.NewPartitionSet(1))
	sim.updateProxy()
	if _, known := sim.proxy[1].Get(feed.KeyPrefixRunner + here.ID); known {
		t.Error("a runner that is gone is served")
	}
	if sim.agent.DropList(sim.now, feed.NewPartitionSet(2)) {
		t.Error("dropping the list for another partition changes something")
	}
	sim.agent.DropList(sim.now, feed.NewPartitionSet(1))
	if !drains(here) {
		t.Error("a runner that drained serves again")
	}
}

func TestOneMissDoesNotRemoveRunner(t *testing.T) {
	sim := newSimulation(t)
	sim.put(runner("one"), runner("two"))
	sim.updateAgent()
	for range 5 {
		sim.agent.ApplyList(sim.now, []discovery.Runner{runner("one")}, allPartitions)
		sim.agent.ApplyList(sim.now, []discovery.Runner{runner("one"), runner("two")}, allPartitions)
	}
	sim.expect("two", true, false)
}

func TestDrainingIsPermanent(t *testing.T) {
	sim := newSimulation(t)
	sim.put(drainingRunner("one"))
	sim.updateAgent()
	sim.agent.ApplyList(sim.now, []discovery.Runner{runner("one"), runner("two")}, allPartitions)
	sim.expect("one", true, true)
	sim.put(runner("one")) // an outdated change
	sim.updateAgent()
	sim.expect("one", true, true)
	sim.agent.DropList(sim.now, allPartitions)
	sim.expect("one", true, true)
}

func TestFeedOverridesList(t *testing.T) {
	sim := newSimulation(t)
	sim.put(runner("one"))
	sim.updateAgent()
	sim.agent.ApplyList(sim.now, []discovery.Runner{runner("one"), runner("two")}, allPartitions)
	sim.put(runner("two"))
	sim.remove("one")
	sim.updateAgent()
	sim.expect("one", false, false)
	sim.agent.DropList(sim.now, allPartitions)
	sim.expect("one", false, false)
	sim.expect("two", true, false)
}

func TestElapsedTimesAreNoChange(t *testing.T) {
	sim := newSimulation(t)
	cold := func(left time.Duration) discovery.Runner {
		r := runner("one")
		r.SlowStartRemaining = left
		return r
	}
	sim.put(cold(3 * time.Second))
	sim.updateAgent()
	sim.now += time.Second
	if sim.agent.ApplyList(sim.now, []discovery.Runner{cold(2 * time.Second)}, allPartitions) {
		t.Error("a time that ran down is a change")
	}
	sim.now += 4 * time.Second
	if sim.agent.ApplyList(sim.now, []discovery.Runner{cold(0)}, allPartitions) {
		t.Error("a time that ran out is a change")
	}
	if !sim.agent.ApplyList(sim.now, []discovery.Runner{cold(3 * time.Second)}, allPartitions) {
		t.Error("a runner that is cold again is no change")
	}
}

func TestRestartedAgentContinuesServing(t *testing.T) {
	sim := newSimulation(t)
	sim.put(runner("one"), runner("two"))
	sim.updateAgent()
	sim.agent.ApplyList(sim.now, []discovery.Runner{runner("one"), runner("three")}, allPartitions)
	sim.agent.ApplyList(sim.now, []discovery.Runner{runner("one"), runner("three")}, allPartitions)
	sim.expect("two", false, false)
	sim.expect("three", true, false)
	sim.agent = New(partitions) // after a restart it knows nothing of the list
	sim.expect("three", true, false)
	sim.updateAgent()
	sim.expect("one", true, false)
	sim.expect("two", true, false)
	sim.expect("three", false, false)
	sim.put(runner("four"))
	sim.updateAgent()
	sim.expect("four", true, false)
}

func TestLaggingRestartedAgentServesNothingOlder(t *testing.T) {
	sim := newSimulation(t)
	sim.put(runner("one"))
	partition := partitionOf(runner("one"))
	behind := sim.control[partition].Snapshot(sim.now)
	sim.put(drainingRunner("one"))
	sim.updateAgent()
	sim.expect("one", true, true)
	sim.agent = New(partitions)
	sim.agent.Apply(sim.now, behind)
	sim.expect("one", true, true)
	sim.updateAgent()
	sim.put(runner("two"))
	sim.updateAgent()
	sim.expect("one", true, true)
	sim.expect("two", true, false)
}

func TestDrainedRunnersExpire(t *testing.T) {
	d := newDrainedRunners()
	for i := range 10000 {
		r := drainingRunner(fmt.Sprint(i))
		d.apply(time.Duration(i)*time.Second, &r)
	}
	if len(d.lastSeen) > 1000 {
		t.Errorf("%d runners are remembered", len(d.lastSeen))
	}
}
