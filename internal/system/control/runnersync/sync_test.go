package runnersync

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

func TestOnlyChangesAreWritten(t *testing.T) {
	c := newFakeCluster()
	for i := range 20 {
		c.list = append(c.list, newRunner(i))
	}
	c.step()
	if !c.inSync(t) || c.proposals != partitions {
		t.Fatalf("%d proposals, in sync: %t", c.proposals, c.inSync(t))
	}
	indexBefore := c.index
	c.step()
	if c.index != indexBefore {
		t.Error("an unchanged list is written again")
	}
	c.list[3].Draining = true
	c.list = append(c.list[:7], c.list[8:]...)
	c.list = append(c.list, newRunner(30))
	c.step()
	if !c.inSync(t) {
		t.Error("changes are not written")
	}
	changed := 0
	for _, s := range c.states {
		changed += len(s.Since(indexBefore, 0).Items)
	}
	if changed != 3 {
		t.Errorf("%d items changed, want 3", changed)
	}
}

func TestCountdownsAreNotRewritten(t *testing.T) {
	c := newFakeCluster()
	c.list = []discovery.Runner{newRunner(1)}
	runner := &c.list[0]
	pass := func(d time.Duration) {
		c.now += d
		runner.SlowStartRemaining = max(0, runner.SlowStartRemaining-d)
		runner.TimeToTermination = max(0, runner.TimeToTermination-d)
	}
	runner.SlowStartRemaining = 3 * time.Second
	c.step()
	for range 6 {
		pass(450 * time.Millisecond)
		c.step()
	}
	if c.proposals != 1 {
		t.Errorf("%d proposals while a slow start counts down", c.proposals)
	}
	pass(2 * time.Second)
	c.step()
	if c.proposals != 1 {
		t.Error("the end of a slow start is written too early")
	}
	pass(2 * time.Second)
	c.step()
	if c.proposals != 2 || c.storedRunners(t)["i-1"].SlowStartRemaining != 0 {
		t.Errorf("%d proposals, %v of slow start left: the end is not written", c.proposals, c.storedRunners(t)["i-1"].SlowStartRemaining)
	}
	runner.SlowStartRemaining = 3 * time.Second
	c.step()
	if c.proposals != 3 {
		t.Error("another slow start is not written")
	}
	pass(time.Second)
	runner.SlowStartRemaining = 3 * time.Second // anew, with the value that is stored
	c.step()
	item := c.states[feed.PartitionOf(runner.Service, partitions)-1].Since(0, 0).Items[0]
	if c.proposals != 4 || item.Age != 0 {
		t.Errorf("another slow start of equal length: %d proposals, age %v", c.proposals, item.Age)
	}
	runner.Draining, runner.TimeToTermination = true, 10*time.Second
	c.step()
	pass(noticeRewriteInterval / 2)
	c.step()
	if c.proposals != 5 {
		t.Errorf("%d proposals while a notice counts down", c.proposals)
	}
	runner.TimeToTermination -= time.Second
	c.step()
	if c.proposals != 6 || c.storedRunners(t)["i-1"].TimeToTermination != runner.TimeToTermination {
		t.Error("a shorter notice is not written")
	}
	pass(noticeRewriteInterval)
	c.step()
	if c.proposals != 7 || c.storedRunners(t)["i-1"].TimeToTermination != runner.TimeToTermination {
		t.Error("a notice is not written again after a while")
	}
}

func TestConcurrentWriteConflicts(t *testing.T) {
	c := newFakeCluster()
	c.list = []discovery.Runner{newRunner(1)}
	c.step()
	c.list[0].Capacity = 9
	c.beforeApply = func(partition feed.Partition) {
		other := newRunner(1)
		other.Draining = true
		writes := []state.Write{{Key: feed.KeyPrefixRunner + other.ID, Value: discovery.EncodeRunner(other)}}
		command := state.WriteRunners{ExpectedRevision: c.states[partition-1].Revision(), Writes: writes}
		c.apply(partition, command.Encode())
	}
	c.step()
	if c.proposals != 3 || !c.inSync(t) {
		t.Errorf("%d proposals, in sync: %t", c.proposals, c.inSync(t))
	}
}

func TestLostResponsesAndLeaderlessPartitions(t *testing.T) {
	c := newFakeCluster()
	for i := range 10 {
		c.list = append(c.list, newRunner(i))
	}
	c.loseResponse = true
	c.step()
	c.step()
	if !c.inSync(t) || c.proposals != partitions {
		t.Errorf("after a lost response: %d proposals, in sync: %t", c.proposals, c.inSync(t))
	}
	c.leaderless[1] = true
	for i := range c.list {
		c.list[i].Draining = true
	}
	c.step()
	draining := 0
	for _, runner := range c.storedRunners(t) {
		if runner.Draining {
			draining++
		}
	}
	if draining == 0 || draining == len(c.list) {
		t.Errorf("%d of %d are draining where one partition has no leader", draining, len(c.list))
	}
	c.leaderless[1] = false
	c.step()
	if !c.inSync(t) {
		t.Error("the partition is not brought up to date once it has a leader")
	}
}

func TestRunnerMissingBetweenPages(t *testing.T) {
	c := newFakeCluster()
	c.pages = 3
	c.list = []discovery.Runner{newRunner(1), newRunner(2)}
	c.step()
	c.step()
	all := c.list
	c.list = all[:1]
	c.step()
	if len(c.storedRunners(t)) != 2 {
		t.Error("a runner that is missing once in a list of several pages was deleted")
	}
	c.list = all
	c.step()
	c.list = all[:1]
	c.step()
	if len(c.storedRunners(t)) != 2 {
		t.Error("lists that are not successive count together")
	}
	c.step()
	if len(c.storedRunners(t)) != 1 {
		t.Error("a removed runner was not deleted")
	}
}

func TestListMissingMostRunners(t *testing.T) {
	c := newFakeCluster()
	all := []discovery.Runner{newRunner(1), newRunner(2), newRunner(3)}
	c.list = all
	c.step()
	c.list = all[:1]
	c.step()
	if len(c.storedRunners(t)) != 3 {
		t.Error("a single list that lacks most runners was trusted")
	}
	c.step()
	if len(c.storedRunners(t)) != 1 {
		t.Error("two successive lists were not trusted")
	}
}

// TestPartitionsConvergeToList draws changes of the list, lost responses, leaderless partitions and changes of the lease;
// after quiet steps the partitions equal the list.
func TestPartitionsConvergeToList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFakeCluster()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				c.list = append(c.list, newRunner(int(c.index)+len(c.list)+100))
			case 2:
				if len(c.list) > 0 {
					i := rapid.IntRange(0, len(c.list)-1).Draw(t, "removed")
					c.list = append(append([]discovery.Runner(nil), c.list[:i]...), c.list[i+1:]...)
				}
			case 3:
				if len(c.list) > 0 {
					c.list[rapid.IntRange(0, len(c.list)-1).Draw(t, "draining")].Draining = true
				}
			case 4:
				c.loseResponse = true
			case 5:
				c.leads = !c.leads
			case 6:
				c.leaderless[1] = !c.leaderless[1]
			}
			c.now += minPollInterval
			c.step()
		}
		c.leads, c.loseResponse, c.leaderless[1] = true, false, false
		c.list = uniqueByID(c.list)
		c.step()
		c.step() // a list that lacks most runners takes two
		stored := map[string]bool{}
		for _, s := range c.states {
			for _, item := range s.Since(0, 0).Items {
				stored[item.Key] = true
			}
		}
		for i := range c.list {
			if !stored[feed.KeyPrefixRunner+c.list[i].ID] {
				t.Fatalf("runner %s is not stored", c.list[i].ID)
			}
		}
		if len(stored) != len(c.list) {
			t.Fatalf("%d runners are stored, %d listed", len(stored), len(c.list))
		}
	})
}

// TestConcurrentSyncersConverge draws changes of the list and steps of two machines that keep the same partition, one by
// an older list: once both see the same list, the partition equals it.
func TestConcurrentSyncersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFakeCluster()
		isolated := &isolatedMachine{fakeCluster: c}
		options := c.syncer.options
		options.Lister, options.Replicas = isolated, isolated
		second := New(options)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				c.list = append(c.list, newRunner(int(c.index)+len(c.list)+100))
			case 1:
				if len(c.list) > 0 {
					i := rapid.IntRange(0, len(c.list)-1).Draw(t, "removed")
					c.list = append(append([]discovery.Runner(nil), c.list[:i]...), c.list[i+1:]...)
				}
			case 2:
				isolated.staleList = append([]discovery.Runner(nil), c.list...)
			case 3:
				second.Step(context.Background())
			case 4:
				c.step()
			}
			c.now += minPollInterval
		}
		c.list = uniqueByID(c.list)
		isolated.staleList = c.list
		for range 3 {
			c.step()
			second.Step(context.Background())
		}
		proposalsBefore := c.proposals
		c.step()
		second.Step(context.Background())
		if !c.inSync(t) || c.proposals != proposalsBefore {
			t.Fatalf("in sync: %t, with %d further proposals", c.inSync(t), c.proposals-proposalsBefore)
		}
	})
}
