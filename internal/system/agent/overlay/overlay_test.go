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

// everywhere is all partitions.
var everywhere = feed.FirstPartitions(1 + partitions)

// world is a control replica's tables, an agent, and the proxy that follows it.
type world struct {
	t       failer
	now     time.Duration
	control []*feed.Table
	index   uint64
	agent   *Tables
	proxy   []*feed.Table
}

type failer interface {
	Helper()
	Fatalf(format string, arguments ...any)
}

func newWorld(t failer) *world {
	w := &world{t: t, agent: New(partitions), now: time.Second}
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
func (w *world) put(runners ...discovery.Runner) {
	w.index++
	for _, r := range runners {
		w.control[partitionOf(r)].Put(w.now, w.index, feed.KeyPrefixRunner+r.ID, discovery.EncodeRunner(r))
	}
}

func (w *world) remove(id string) {
	w.index++
	w.control[partitionOf(runner(id))].Delete(w.now, w.index, feed.KeyPrefixRunner+id)
}

func (w *world) configure(version string) {
	w.index++
	w.control[0].Put(w.now, w.index, feed.KeyVersion, []byte(version))
}

// follow has the agent take what the control replicas have.
func (w *world) follow() {
	for i, position := range w.agent.Positions() {
		w.agent.Apply(w.now, w.control[i].BatchSince(w.now, position.Index, 0))
	}
}

// serve has the proxy take what the agent has.
func (w *world) serve() {
	w.t.Helper()
	for i, table := range w.proxy {
		w.agent.Meet(w.now, table.Position())
		served := w.agent.Served(feed.Partition(i))
		if served.LastChangeIndex() <= table.Index() {
			continue
		}
		table.Apply(w.now, served.BatchSince(w.now, table.Index(), 0))
	}
}

// has is what the proxy holds of a runner.
func (w *world) has(id string) (discovery.Runner, bool) {
	w.t.Helper()
	value, known := w.proxy[partitionOf(runner(id))].Get(feed.KeyPrefixRunner + id)
	if !known {
		return discovery.Runner{}, false
	}
	decoded, err := discovery.DecodeRunner(value)
	if err != nil {
		w.t.Fatalf("the proxy holds no runner of %s: %v", id, err)
	}
	return decoded, true
}

func (w *world) expect(id string, known, draining bool) {
	w.t.Helper()
	w.serve()
	held, is := w.has(id)
	if is != known || held.Draining != draining {
		w.t.Fatalf("%s is known: %v, draining: %v; want %v, %v", id, is, held.Draining, known, draining)
	}
}

func TestFeedGoesThrough(t *testing.T) {
	w := newWorld(t)
	if !w.agent.Empty() {
		t.Error("it has something at the start")
	}
	w.configure("1")
	w.put(runner("one"), runner("two"))
	w.follow()
	w.expect("one", true, false)
	if value, _ := w.proxy[0].Get(feed.KeyVersion); string(value) != "1" || w.agent.Empty() {
		t.Error("the configuration did not go through")
	}
	w.put(drainingRunner("one"))
	w.remove("two")
	w.follow()
	w.expect("one", true, true)
	w.expect("two", false, false)
}

func TestAgesGoThrough(t *testing.T) {
	w := newWorld(t)
	w.put(runner("one"))
	w.now += 3 * time.Second
	w.follow()
	w.now += 2 * time.Second
	item, _ := w.agent.Served(partitionOf(runner("one"))).Item(w.now, feed.KeyPrefixRunner+"one")
	if item.Age != 5*time.Second {
		t.Errorf("the runner is as old as %v, want 5s", item.Age)
	}
}

func TestReplyThatLagsIsIgnored(t *testing.T) {
	w := newWorld(t)
	w.put(runner("one"))
	behind := w.control[partitionOf(runner("one"))].Snapshot(w.now)
	w.put(drainingRunner("one"))
	w.follow()
	if changed, lags := w.agent.Apply(w.now, behind); changed || !lags {
		t.Errorf("a batch that lags: changed %v, lags %v", changed, lags)
	}
	w.expect("one", true, true)
}

func TestListIsLaidOverAndDropped(t *testing.T) {
	w := newWorld(t)
	w.put(runner("one"), runner("two"), runner("three"))
	w.follow()
	list := []discovery.Runner{runner("one"), drainingRunner("two"), runner("four")}
	if !w.agent.List(w.now, list, everywhere) {
		t.Error("a list that differs changes nothing")
	}
	w.expect("one", true, false)
	w.expect("two", true, true)
	w.expect("three", true, false) // missing once
	w.expect("four", true, false)
	w.agent.List(w.now, list, everywhere)
	w.expect("three", false, false)
	if w.agent.List(w.now, list, everywhere) {
		t.Error("the same list changes something")
	}
	if w.agent.List(w.now, nil, everywhere) {
		t.Error("an empty list changes something")
	}
	if !w.agent.Drop(w.now, everywhere) {
		t.Error("dropping the list changes nothing")
	}
	w.expect("one", true, false)
	w.expect("two", true, true) // never serves again
	w.expect("three", true, false)
	w.expect("four", false, false)
	if w.agent.Drop(w.now, everywhere) {
		t.Error("the list is dropped twice")
	}
}

// TestListIsLaidOverThePartitionsNamed has a partition be served as the control replicas have it beside one that is not.
func TestListIsLaidOverThePartitionsNamed(t *testing.T) {
	w := newWorld(t)
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
	w.follow()
	drains := func(r discovery.Runner) bool {
		w.serve()
		value, known := w.proxy[partitionOf(r)].Get(feed.KeyPrefixRunner + r.ID)
		held, err := discovery.DecodeRunner(value)
		if !known || err != nil {
			t.Fatalf("%s is held: %t, %v", r.ID, known, err)
		}
		return held.Draining
	}
	list := []discovery.Runner{here, there}
	list[0].Draining, list[1].Draining = true, true
	w.agent.List(w.now, list, feed.NewPartitionSet(1))
	if !drains(here) || drains(there) {
		t.Errorf("cut off from 1: in 1 it drains: %t, in 2: %t", drains(here), drains(there))
	}
	w.agent.List(w.now, list[1:], feed.NewPartitionSet(1))
	w.agent.List(w.now, list[1:], feed.NewPartitionSet(1))
	w.serve()
	if _, known := w.proxy[1].Get(feed.KeyPrefixRunner + here.ID); known {
		t.Error("a runner that is gone is served")
	}
	if w.agent.Drop(w.now, feed.NewPartitionSet(2)) {
		t.Error("dropping the list for another partition changes something")
	}
	w.agent.Drop(w.now, feed.NewPartitionSet(1))
	if !drains(here) {
		t.Error("a runner that drained serves again")
	}
}

func TestMissingNowAndThenIsNotGone(t *testing.T) {
	w := newWorld(t)
	w.put(runner("one"), runner("two"))
	w.follow()
	for range 5 {
		w.agent.List(w.now, []discovery.Runner{runner("one")}, everywhere)
		w.agent.List(w.now, []discovery.Runner{runner("one"), runner("two")}, everywhere)
	}
	w.expect("two", true, false)
}

func TestDrainingSticks(t *testing.T) {
	w := newWorld(t)
	w.put(drainingRunner("one"))
	w.follow()
	w.agent.List(w.now, []discovery.Runner{runner("one"), runner("two")}, everywhere)
	w.expect("one", true, true)
	w.put(runner("one")) // a word from before
	w.follow()
	w.expect("one", true, true)
	w.agent.Drop(w.now, everywhere)
	w.expect("one", true, true)
}

func TestFeedsWordIsNewerThanTheList(t *testing.T) {
	w := newWorld(t)
	w.put(runner("one"))
	w.follow()
	w.agent.List(w.now, []discovery.Runner{runner("one"), runner("two")}, everywhere)
	w.put(runner("two"))
	w.remove("one")
	w.follow()
	w.expect("one", false, false)
	w.agent.Drop(w.now, everywhere)
	w.expect("one", false, false)
	w.expect("two", true, false)
}

func TestTimesThatRunDownAreNoChange(t *testing.T) {
	w := newWorld(t)
	cold := func(left time.Duration) discovery.Runner {
		r := runner("one")
		r.SlowStartRemaining = left
		return r
	}
	w.put(cold(3 * time.Second))
	w.follow()
	w.now += time.Second
	if w.agent.List(w.now, []discovery.Runner{cold(2 * time.Second)}, everywhere) {
		t.Error("a time that ran down is a change")
	}
	w.now += 4 * time.Second
	if w.agent.List(w.now, []discovery.Runner{cold(0)}, everywhere) {
		t.Error("a time that ran out is a change")
	}
	if !w.agent.List(w.now, []discovery.Runner{cold(3 * time.Second)}, everywhere) {
		t.Error("a runner that is cold again is no change")
	}
}

func TestRestartedAgentServesOn(t *testing.T) {
	w := newWorld(t)
	w.put(runner("one"), runner("two"))
	w.follow()
	w.agent.List(w.now, []discovery.Runner{runner("one"), runner("three")}, everywhere)
	w.agent.List(w.now, []discovery.Runner{runner("one"), runner("three")}, everywhere)
	w.expect("two", false, false)
	w.expect("three", true, false)
	w.agent = New(partitions) // a new life, which knows nothing of the list
	w.expect("three", true, false)
	w.follow()
	w.expect("one", true, false)
	w.expect("two", true, false)
	w.expect("three", false, false)
	w.put(runner("four"))
	w.follow()
	w.expect("four", true, false)
}

func TestRestartedAgentThatLagsServesNothingOlder(t *testing.T) {
	w := newWorld(t)
	w.put(runner("one"))
	partition := partitionOf(runner("one"))
	behind := w.control[partition].Snapshot(w.now)
	w.put(drainingRunner("one"))
	w.follow()
	w.expect("one", true, true)
	w.agent = New(partitions)
	w.agent.Apply(w.now, behind)
	w.expect("one", true, true)
	w.follow()
	w.put(runner("two"))
	w.follow()
	w.expect("one", true, true)
	w.expect("two", true, false)
}

func TestDrainedAreForgottenInTheEnd(t *testing.T) {
	d := newDrained()
	for i := range 10000 {
		r := drainingRunner(fmt.Sprint(i))
		d.keep(time.Duration(i)*time.Second, &r)
	}
	if len(d.named) > 1000 {
		t.Errorf("%d runners are remembered", len(d.named))
	}
}

// TestProxyHoldsWhatIsServed plays drawn changes, lists, lags and restarts.
func TestProxyHoldsWhatIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
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
				w.follow()
			case 5:
				var list []discovery.Runner
				seen := map[string]bool{}
				for range rapid.IntRange(0, len(ids)).Draw(t, "listed") {
					if r := draw("listed"); !seen[r.ID] {
						seen[r.ID] = true
						list = append(list, r)
					}
				}
				w.agent.List(w.now, list, everywhere)
			case 6:
				w.agent.Drop(w.now, everywhere)
			case 7:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					w.agent = New(partitions)
					clear(drained)
				}
			}
			for i := range w.proxy {
				was := w.proxy[i].Index()
				w.serveOne(feed.Partition(i))
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

func (w *world) serveOne(partition feed.Partition) {
	table := w.proxy[partition]
	w.agent.Meet(w.now, table.Position())
	served := w.agent.Served(partition)
	if served.LastChangeIndex() > table.Index() {
		table.Apply(w.now, served.BatchSince(w.now, table.Index(), 0))
	}
}

// compare fails if the proxy holds other items than are served, unless it is ahead of an agent that lags.
func (w *world) compare(partition feed.Partition) {
	w.t.Helper()
	served, held := w.agent.Served(partition), w.proxy[partition]
	if held.Index() > served.Index() {
		if held.Index()>>Bits == served.Index()>>Bits {
			w.t.Fatalf("partition %d: the proxy is ahead at %x of %x and is not met", partition, held.Index(), served.Index())
		}
		return
	}
	if served.Len() != held.Len() {
		w.t.Fatalf("partition %d: %d items are served, the proxy holds %d", partition, served.Len(), held.Len())
	}
	for item := range served.Items(w.now, "") {
		value, known := held.Get(item.Key)
		if known && drainsOn(value, item.Value) {
			continue
		}
		if !known || string(value) != string(item.Value) {
			w.t.Fatalf("partition %d: the proxy does not hold %s as it is served", partition, item.Key)
		}
	}
}

// drainsOn says whether the proxy holds a runner as draining that an earlier life of the agent knew to be draining, and
// this one does not.
func drainsOn(held, served []byte) bool {
	a, errA := discovery.DecodeRunner(held)
	b, errB := discovery.DecodeRunner(served)
	if errA != nil || errB != nil || !a.Draining {
		return false
	}
	b.Draining = true
	return string(discovery.EncodeRunner(b)) == string(held)
}
