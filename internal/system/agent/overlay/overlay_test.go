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

// simulation is a control replica's tables, an agent, and the proxy that follows it.
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
	w := &simulation{t: t, agent: New(partitions), now: time.Second}
	for partition := range feed.Partition(1 + partitions) {
		w.control = append(w.control, feed.NewTable(partition))
		w.proxy = append(w.proxy, feed.NewTable(partition))
	}
	return w
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

// put has the control replicas agree on a runner.
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

// updateAgent has the agent take what the control replicas have.
func (s *simulation) updateAgent() {
	for i, position := range s.agent.Positions() {
		s.agent.Apply(s.now, s.control[i].BatchSince(s.now, position.Index, 0))
	}
}

// updateProxy has the proxy take what the agent has.
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

// proxyRunner is what the proxy holds of a runner.
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
	w := newSimulation(t)
	if !w.agent.Empty() {
		t.Error("it has something at the start")
	}
	w.configure("1")
	w.put(runner("one"), runner("two"))
	w.updateAgent()
	w.expect("one", true, false)
	if value, _ := w.proxy[0].Get(feed.KeyVersion); string(value) != "1" || w.agent.Empty() {
		t.Error("the configuration did not go through")
	}
	w.put(drainingRunner("one"))
	w.remove("two")
	w.updateAgent()
	w.expect("one", true, true)
	w.expect("two", false, false)
}

func TestAgesArePreserved(t *testing.T) {
	w := newSimulation(t)
	w.put(runner("one"))
	w.now += 3 * time.Second
	w.updateAgent()
	w.now += 2 * time.Second
	item, _ := w.agent.Served(partitionOf(runner("one"))).Item(w.now, feed.KeyPrefixRunner+"one")
	if item.Age != 5*time.Second {
		t.Errorf("the runner is as old as %v, want 5s", item.Age)
	}
}

func TestLaggingBatchIsIgnored(t *testing.T) {
	w := newSimulation(t)
	w.put(runner("one"))
	behind := w.control[partitionOf(runner("one"))].Snapshot(w.now)
	w.put(drainingRunner("one"))
	w.updateAgent()
	if changed, lags := w.agent.Apply(w.now, behind); changed || !lags {
		t.Errorf("a batch that lags: changed %v, lags %v", changed, lags)
	}
	w.expect("one", true, true)
}

func TestListIsAppliedAndDropped(t *testing.T) {
	w := newSimulation(t)
	w.put(runner("one"), runner("two"), runner("three"))
	w.updateAgent()
	list := []discovery.Runner{runner("one"), drainingRunner("two"), runner("four")}
	if !w.agent.ApplyList(w.now, list, allPartitions) {
		t.Error("a list that differs changes nothing")
	}
	w.expect("one", true, false)
	w.expect("two", true, true)
	w.expect("three", true, false) // missing once
	w.expect("four", true, false)
	w.agent.ApplyList(w.now, list, allPartitions)
	w.expect("three", false, false)
	if w.agent.ApplyList(w.now, list, allPartitions) {
		t.Error("the same list changes something")
	}
	if w.agent.ApplyList(w.now, nil, allPartitions) {
		t.Error("an empty list changes something")
	}
	if !w.agent.DropList(w.now, allPartitions) {
		t.Error("dropping the list changes nothing")
	}
	w.expect("one", true, false)
	w.expect("two", true, true) // never serves again
	w.expect("three", true, false)
	w.expect("four", false, false)
	if w.agent.DropList(w.now, allPartitions) {
		t.Error("the list is dropped twice")
	}
}

// TestListAppliesToGivenPartitionsOnly has a partition be served as the control replicas have it beside one that is not.
func TestListAppliesToGivenPartitionsOnly(t *testing.T) {
	w := newSimulation(t)
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
	w.put(here, there)
	w.updateAgent()
	drains := func(r discovery.Runner) bool {
		w.updateProxy()
		value, known := w.proxy[partitionOf(r)].Get(feed.KeyPrefixRunner + r.ID)
		held, err := discovery.DecodeRunner(value)
		if !known || err != nil {
			t.Fatalf("%s is held: %t, %v", r.ID, known, err)
		}
		return held.Draining
	}
	list := []discovery.Runner{here, there}
	list[0].Draining, list[1].Draining = true, true
	w.agent.ApplyList(w.now, list, feed.NewPartitionSet(1))
	if !drains(here) || drains(there) {
		t.Errorf("cut off from 1: in 1 it drains: %t, in 2: %t", drains(here), drains(there))
	}
	w.agent.ApplyList(w.now, list[1:], feed.NewPartitionSet(1))
	w.agent.ApplyList(w.now, list[1:], feed.NewPartitionSet(1))
	w.updateProxy()
	if _, known := w.proxy[1].Get(feed.KeyPrefixRunner + here.ID); known {
		t.Error("a runner that is gone is served")
	}
	if w.agent.DropList(w.now, feed.NewPartitionSet(2)) {
		t.Error("dropping the list for another partition changes something")
	}
	w.agent.DropList(w.now, feed.NewPartitionSet(1))
	if !drains(here) {
		t.Error("a runner that drained serves again")
	}
}

func TestOneMissDoesNotRemoveRunner(t *testing.T) {
	w := newSimulation(t)
	w.put(runner("one"), runner("two"))
	w.updateAgent()
	for range 5 {
		w.agent.ApplyList(w.now, []discovery.Runner{runner("one")}, allPartitions)
		w.agent.ApplyList(w.now, []discovery.Runner{runner("one"), runner("two")}, allPartitions)
	}
	w.expect("two", true, false)
}

func TestDrainingIsPermanent(t *testing.T) {
	w := newSimulation(t)
	w.put(drainingRunner("one"))
	w.updateAgent()
	w.agent.ApplyList(w.now, []discovery.Runner{runner("one"), runner("two")}, allPartitions)
	w.expect("one", true, true)
	w.put(runner("one")) // a word from before
	w.updateAgent()
	w.expect("one", true, true)
	w.agent.DropList(w.now, allPartitions)
	w.expect("one", true, true)
}

func TestFeedOverridesList(t *testing.T) {
	w := newSimulation(t)
	w.put(runner("one"))
	w.updateAgent()
	w.agent.ApplyList(w.now, []discovery.Runner{runner("one"), runner("two")}, allPartitions)
	w.put(runner("two"))
	w.remove("one")
	w.updateAgent()
	w.expect("one", false, false)
	w.agent.DropList(w.now, allPartitions)
	w.expect("one", false, false)
	w.expect("two", true, false)
}

func TestElapsedTimesAreNoChange(t *testing.T) {
	w := newSimulation(t)
	cold := func(left time.Duration) discovery.Runner {
		r := runner("one")
		r.SlowStartRemaining = left
		return r
	}
	w.put(cold(3 * time.Second))
	w.updateAgent()
	w.now += time.Second
	if w.agent.ApplyList(w.now, []discovery.Runner{cold(2 * time.Second)}, allPartitions) {
		t.Error("a time that ran down is a change")
	}
	w.now += 4 * time.Second
	if w.agent.ApplyList(w.now, []discovery.Runner{cold(0)}, allPartitions) {
		t.Error("a time that ran out is a change")
	}
	if !w.agent.ApplyList(w.now, []discovery.Runner{cold(3 * time.Second)}, allPartitions) {
		t.Error("a runner that is cold again is no change")
	}
}

func TestRestartedAgentContinuesServing(t *testing.T) {
	w := newSimulation(t)
	w.put(runner("one"), runner("two"))
	w.updateAgent()
	w.agent.ApplyList(w.now, []discovery.Runner{runner("one"), runner("three")}, allPartitions)
	w.agent.ApplyList(w.now, []discovery.Runner{runner("one"), runner("three")}, allPartitions)
	w.expect("two", false, false)
	w.expect("three", true, false)
	w.agent = New(partitions) // a new life, which knows nothing of the list
	w.expect("three", true, false)
	w.updateAgent()
	w.expect("one", true, false)
	w.expect("two", true, false)
	w.expect("three", false, false)
	w.put(runner("four"))
	w.updateAgent()
	w.expect("four", true, false)
}

func TestLaggingRestartedAgentServesNothingOlder(t *testing.T) {
	w := newSimulation(t)
	w.put(runner("one"))
	partition := partitionOf(runner("one"))
	behind := w.control[partition].Snapshot(w.now)
	w.put(drainingRunner("one"))
	w.updateAgent()
	w.expect("one", true, true)
	w.agent = New(partitions)
	w.agent.Apply(w.now, behind)
	w.expect("one", true, true)
	w.updateAgent()
	w.put(runner("two"))
	w.updateAgent()
	w.expect("one", true, true)
	w.expect("two", true, false)
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

// TestProxyConvergesToServedTables plays drawn changes, lists, lags and restarts.
func TestProxyConvergesToServedTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		drained := map[string]bool{} // as this life of the agent has served them
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
			w.index++
			w.control[partitionOf(r)].Delete(w.now, w.index, feed.KeyPrefixRunner+r.ID)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				w.put(draw("put"))
			case 2:
				remove(draw("remove"))
			case 3, 4:
				w.updateAgent()
			case 5:
				var list []discovery.Runner
				seen := map[string]bool{}
				for range rapid.IntRange(0, len(ids)).Draw(t, "listed") {
					if r := draw("listed"); !seen[r.ID] {
						seen[r.ID] = true
						list = append(list, r)
					}
				}
				w.agent.ApplyList(w.now, list, allPartitions)
			case 6:
				w.agent.DropList(w.now, allPartitions)
			case 7:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					w.agent = New(partitions)
					clear(drained)
				}
			}
			for i := range w.proxy {
				was := w.proxy[i].Index()
				w.updateProxyPartition(feed.Partition(i))
				if w.proxy[i].Index() < was {
					t.Fatalf("the proxy went back from %d to %d", was, w.proxy[i].Index())
				}
				w.compare(feed.Partition(i))
			}
			for i := range w.proxy {
				for _, value := range w.agent.Served(feed.Partition(i)).Values(feed.KeyPrefixRunner) {
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

// drainedEarlier says whether the proxy holds a runner as draining that an earlier life of the agent knew to be draining, and
// this one does not.
func drainedEarlier(held, served []byte) bool {
	a, errA := discovery.DecodeRunner(held)
	b, errB := discovery.DecodeRunner(served)
	if errA != nil || errB != nil || !a.Draining {
		return false
	}
	b.Draining = true
	return string(discovery.EncodeRunner(b)) == string(held)
}
