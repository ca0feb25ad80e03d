package overlay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

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
	return discovery.Runner{ID: id, Service: "service", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a1", Capacity: 4}
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

func (s *simulation) remove(id string) {
	s.index++
	s.control[partitionOf(runner(id))].Delete(s.now, s.index, feed.KeyPrefixRunner+id)
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
	for i, table := range s.proxy {
		s.agent.Reconcile(s.now, table.Position())
		served := s.agent.Served(feed.Partition(i))
		if served.LastChangeIndex() <= table.Index() {
			continue
		}
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

// TestProxyConvergesToServedTables plays random changes, lists, lags and restarts.
func TestProxyConvergesToServedTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		drained := map[string]bool{} // as the agent has served them since its last restart
		ids := []string{"a", "b", "c", "d", "e", "f"}
		services := []string{"one", "two", "three"}
		draw := func(label string) discovery.Runner {
			n := rapid.IntRange(0, len(ids)-1).Draw(t, label)
			r := runner(ids[n])
			r.Service = services[n%len(services)]
			r.Draining = rapid.Bool().Draw(t, label+" drains")
			return r
		}
		remove := func(r discovery.Runner) {
			sim.index++
			sim.control[partitionOf(r)].Delete(sim.now, sim.index, feed.KeyPrefixRunner+r.ID)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sim.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				sim.put(draw("put"))
			case 2:
				remove(draw("remove"))
			case 3, 4:
				sim.updateAgent()
			case 5:
				var list []discovery.Runner
				seen := map[string]bool{}
				for range rapid.IntRange(0, len(ids)).Draw(t, "listed") {
					if r := draw("listed"); !seen[r.ID] {
						seen[r.ID] = true
						list = append(list, r)
					}
				}
				sim.agent.ApplyList(sim.now, list, allPartitions)
			case 6:
				sim.agent.DropList(sim.now, allPartitions)
			case 7:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					sim.agent = New(partitions)
					clear(drained)
				}
			}
			for i := range sim.proxy {
				was := sim.proxy[i].Index()
				sim.updateProxyPartition(feed.Partition(i))
				if sim.proxy[i].Index() < was {
					t.Fatalf("the proxy went back from %d to %d", was, sim.proxy[i].Index())
				}
				sim.compare(feed.Partition(i))
			}
			for i := range sim.proxy {
				for _, value := range sim.agent.Served(feed.Partition(i)).Values(feed.KeyPrefixRunner) {
					r, err := discovery.DecodeRunner(value)
					if err != nil {
						t.Fatal(err)
					}
					if drained[r.ID] && !r.Draining {
						t.Fatalf("%s drained and serves again", r.ID)
					}
					drained[r.ID] = drained[r.ID] || r.Draining
				}
			}
		}
	})
}

func (s *simulation) updateProxyPartition(partition feed.Partition) {
	table := s.proxy[partition]
	s.agent.Reconcile(s.now, table.Position())
	served := s.agent.Served(partition)
	if served.LastChangeIndex() > table.Index() {
		table.Apply(s.now, served.BatchSince(s.now, table.Index(), 0))
	}
}

// compare fails if the proxy holds other items than are served, unless it is ahead of an agent that lags.
func (s *simulation) compare(partition feed.Partition) {
	s.t.Helper()
	served, held := s.agent.Served(partition), s.proxy[partition]
	if held.Index() > served.Index() {
		if held.Index()>>LocalIndexBits == served.Index()>>LocalIndexBits {
			s.t.Fatalf("partition %d: the proxy is ahead at %x of %x and is not met", partition, held.Index(), served.Index())
		}
		return
	}
	if served.Len() != held.Len() {
		s.t.Fatalf("partition %d: %d items are served, the proxy holds %d", partition, served.Len(), held.Len())
	}
	for item := range served.Items(s.now, "") {
		value, known := held.Get(item.Key)
		if known && drainedEarlier(value, item.Value) {
			continue
		}
		if !known || string(value) != string(item.Value) {
			s.t.Fatalf("partition %d: the proxy does not hold %s as it is served", partition, item.Key)
		}
	}
}

// drainedEarlier reports whether the proxy holds a runner as draining that the agent knew to be draining before a
// restart, and does not now.
func drainedEarlier(held, served []byte) bool {
	a, errA := discovery.DecodeRunner(held)
	b, errB := discovery.DecodeRunner(served)
	if errA != nil || errB != nil || !a.Draining {
		return false
	}
	b.Draining = true
	return string(discovery.EncodeRunner(b)) == string(held)
}
