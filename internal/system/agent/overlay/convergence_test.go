package overlay

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// What randomSchedule draws runners from.
var (
	drawnIDs      = []string{"a", "b", "c", "d", "e", "f"}
	drawnServices = []string{"one", "two", "three"}
)

// randomSchedule is a simulation of random changes, lists, lags and restarts.
type randomSchedule struct {
	*simulation
	t       *rapid.T
	drained map[string]bool // runners that the agent has served as draining since its last restart
}

func TestProxyConvergesToServedTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := &randomSchedule{simulation: newSimulation(t), t: t, drained: map[string]bool{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			schedule.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			schedule.step()
			schedule.checkProxyFollows()
			schedule.checkDrainingIsPermanent()
		}
	})
}

// step makes one random change.
func (s *randomSchedule) step() {
	switch rapid.IntRange(0, 7).Draw(s.t, "what") {
	case 0, 1:
		s.put(s.drawRunner("put"))
	case 2:
		s.removeRunner(s.drawRunner("remove"))
	case 3, 4:
		s.updateAgent()
	case 5:
		s.agent.ApplyList(s.now, s.drawList(), allPartitions)
	case 6:
		s.agent.DropList(s.now, allPartitions)
	case 7:
		if rapid.IntRange(0, 3).Draw(s.t, "restart") == 0 {
			s.agent = New(partitions)
			clear(s.drained)
		}
	}
}

func (s *randomSchedule) drawRunner(label string) discovery.Runner {
	n := rapid.IntRange(0, len(drawnIDs)-1).Draw(s.t, label)
	r := runner(drawnIDs[n])
	r.Service = drawnServices[n%len(drawnServices)]
	r.Draining = rapid.Bool().Draw(s.t, label+" drains")
	return r
}

// drawList returns a list of the platform, in which each runner is at most once.
func (s *randomSchedule) drawList() []discovery.Runner {
	var list []discovery.Runner
	seen := map[string]bool{}
	for range rapid.IntRange(0, len(drawnIDs)).Draw(s.t, "listed") {
		if r := s.drawRunner("listed"); !seen[r.ID] {
			seen[r.ID] = true
			list = append(list, r)
		}
	}
	return list
}

// checkProxyFollows has the proxy follow the agent; it never goes back, and then holds what is served.
func (s *randomSchedule) checkProxyFollows() {
	for i := range s.proxy {
		previous := s.proxy[i].Index()
		s.updateProxyPartition(feed.Partition(i))
		if s.proxy[i].Index() < previous {
			s.t.Fatalf("the proxy went back from %d to %d", previous, s.proxy[i].Index())
		}
		s.compare(feed.Partition(i))
	}
}

// checkDrainingIsPermanent fails if a runner that was served as draining is served as in use again.
func (s *randomSchedule) checkDrainingIsPermanent() {
	for i := range s.proxy {
		for _, value := range s.agent.Served(feed.Partition(i)).Values(feed.KeyPrefixRunner) {
			r, err := discovery.DecodeRunner(value)
			if err != nil {
				s.t.Fatal(err)
			}
			if s.drained[r.ID] && !r.Draining {
				s.t.Fatalf("%s drained and serves again", r.ID)
			}
			s.drained[r.ID] = s.drained[r.ID] || r.Draining
		}
	}
}

// compare fails if the proxy holds other items than are served, unless it is ahead of an agent that lags.
func (s *simulation) compare(partition feed.Partition) {
	s.t.Helper()
	served := s.agent.Served(partition)
	held := s.proxy[partition]
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
