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
	cluster := newFakeCluster()
	for i := range 20 {
		cluster.list = append(cluster.list, newRunner(i))
	}
	cluster.step()
	if !cluster.inSync(t) || cluster.proposals != partitions {
		t.Fatalf("%d proposals, in sync: %t", cluster.proposals, cluster.inSync(t))
	}
	indexBefore := cluster.index
	cluster.step()
	if cluster.index != indexBefore {
		t.Error("an unchanged list is written again")
	}
	cluster.list[3].Draining = true
	cluster.list = append(cluster.list[:7], cluster.list[8:]...)
	cluster.list = append(cluster.list, newRunner(30))
	cluster.step()
	if !cluster.inSync(t) {
		t.Error("changes are not written")
	}
	changed := 0
	for _, s := range cluster.states {
		changed += len(s.Since(indexBefore, 0).Items)
	}
	if changed != 3 {
		t.Errorf("%d items changed, want 3", changed)
	}
}

func TestCountdownsAreNotRewritten(t *testing.T) {
	cluster := newFakeCluster()
	cluster.list = []discovery.Runner{newRunner(1)}
	runner := &cluster.list[0]
	pass := func(d time.Duration) {
		cluster.now += d
		runner.SlowStartRemaining = max(0, runner.SlowStartRemaining-d)
		runner.TimeToTermination = max(0, runner.TimeToTermination-d)
	}
	runner.SlowStartRemaining = 3 * time.Second
	cluster.step()
	for range 6 {
		pass(450 * time.Millisecond)
		cluster.step()
	}
	if cluster.proposals != 1 {
		t.Errorf("%d proposals while a slow start counts down", cluster.proposals)
	}
	pass(2 * time.Second)
	cluster.step()
	if cluster.proposals != 1 {
		t.Error("the end of a slow start is written too early")
	}
	pass(2 * time.Second)
	cluster.step()
	remaining := cluster.storedRunners(t)["i-1"].SlowStartRemaining
	if cluster.proposals != 2 || remaining != 0 {
		t.Errorf("%d proposals, %v of slow start left: the end is not written", cluster.proposals, remaining)
	}
	runner.SlowStartRemaining = 3 * time.Second
	cluster.step()
	if cluster.proposals != 3 {
		t.Error("another slow start is not written")
	}
	pass(time.Second)
	runner.SlowStartRemaining = 3 * time.Second // anew, with the value that is stored
	cluster.step()
	item := cluster.states[feed.PartitionOf(runner.Service, partitions)-1].Since(0, 0).Items[0]
	if cluster.proposals != 4 || item.Age != 0 {
		t.Errorf("another slow start of equal length: %d proposals, age %v", cluster.proposals, item.Age)
	}
	runner.Draining = true
	runner.TimeToTermination = 10 * time.Second
	cluster.step()
	pass(noticeRewriteInterval / 2)
	cluster.step()
	if cluster.proposals != 5 {
		t.Errorf("%d proposals while a notice counts down", cluster.proposals)
	}
	runner.TimeToTermination -= time.Second
	cluster.step()
	if cluster.proposals != 6 || cluster.storedRunners(t)["i-1"].TimeToTermination != runner.TimeToTermination {
		t.Error("a shorter notice is not written")
	}
	pass(noticeRewriteInterval)
	cluster.step()
	if cluster.proposals != 7 || cluster.storedRunners(t)["i-1"].TimeToTermination != runner.TimeToTermination {
		t.Error("a notice is not written again after a while")
	}
}

func TestConcurrentWriteConflicts(t *testing.T) {
	cluster := newFakeCluster()
	cluster.list = []discovery.Runner{newRunner(1)}
	cluster.step()
	cluster.list[0].Capacity = 9
	cluster.beforeApply = func(partition feed.Partition) {
		other := newRunner(1)
		other.Draining = true
		writes := []state.Write{{Key: feed.KeyPrefixRunner + other.ID, Value: discovery.EncodeRunner(other)}}
		command := state.WriteRunners{ExpectedRevision: cluster.states[partition-1].Revision(), Writes: writes}
		cluster.apply(partition, command.Encode())
	}
	cluster.step()
	if cluster.proposals != 3 || !cluster.inSync(t) {
		t.Errorf("%d proposals, in sync: %t", cluster.proposals, cluster.inSync(t))
	}
}

func TestLostResponsesAndLeaderlessPartitions(t *testing.T) {
	cluster := newFakeCluster()
	for i := range 10 {
		cluster.list = append(cluster.list, newRunner(i))
	}
	cluster.loseResponse = true
	cluster.step()
	cluster.step()
	if !cluster.inSync(t) || cluster.proposals != partitions {
		t.Errorf("after a lost response: %d proposals, in sync: %t", cluster.proposals, cluster.inSync(t))
	}
	cluster.leaderless[1] = true
	for i := range cluster.list {
		cluster.list[i].Draining = true
	}
	cluster.step()
	draining := 0
	for _, runner := range cluster.storedRunners(t) {
		if runner.Draining {
			draining++
		}
	}
	if draining == 0 || draining == len(cluster.list) {
		t.Errorf("%d of %d are draining where one partition has no leader", draining, len(cluster.list))
	}
	cluster.leaderless[1] = false
	cluster.step()
	if !cluster.inSync(t) {
		t.Error("the partition is not brought up to date once it has a leader")
	}
}

func TestRunnerMissingBetweenPages(t *testing.T) {
	cluster := newFakeCluster()
	cluster.pages = 3
	cluster.list = []discovery.Runner{newRunner(1), newRunner(2)}
	cluster.step()
	cluster.step()
	all := cluster.list
	cluster.list = all[:1]
	cluster.step()
	if len(cluster.storedRunners(t)) != 2 {
		t.Error("a runner that is missing once in a list of several pages was deleted")
	}
	cluster.list = all
	cluster.step()
	cluster.list = all[:1]
	cluster.step()
	if len(cluster.storedRunners(t)) != 2 {
		t.Error("lists that are not successive count together")
	}
	cluster.step()
	if len(cluster.storedRunners(t)) != 1 {
		t.Error("a removed runner was not deleted")
	}
}

func TestListMissingMostRunners(t *testing.T) {
	cluster := newFakeCluster()
	all := []discovery.Runner{newRunner(1), newRunner(2), newRunner(3)}
	cluster.list = all
	cluster.step()
	cluster.list = all[:1]
	cluster.step()
	if len(cluster.storedRunners(t)) != 3 {
		t.Error("a single list that lacks most runners was trusted")
	}
	cluster.step()
	if len(cluster.storedRunners(t)) != 1 {
		t.Error("two successive lists were not trusted")
	}
}

// TestPartitionsConvergeToList draws changes of the list, lost responses, leaderless partitions and changes of the lease;
// after quiet steps the partitions equal the list.
func TestPartitionsConvergeToList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newFakeCluster()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				cluster.list = append(cluster.list, newRunner(int(cluster.index)+len(cluster.list)+100))
			case 2:
				if len(cluster.list) > 0 {
					i := rapid.IntRange(0, len(cluster.list)-1).Draw(t, "removed")
					cluster.list = append(append([]discovery.Runner(nil), cluster.list[:i]...), cluster.list[i+1:]...)
				}
			case 3:
				if len(cluster.list) > 0 {
					cluster.list[rapid.IntRange(0, len(cluster.list)-1).Draw(t, "draining")].Draining = true
				}
			case 4:
				cluster.loseResponse = true
			case 5:
				cluster.leads = !cluster.leads
			case 6:
				cluster.leaderless[1] = !cluster.leaderless[1]
			}
			cluster.now += minPollInterval
			cluster.step()
		}
		cluster.leads = true
		cluster.loseResponse = false
		cluster.leaderless[1] = false
		cluster.list = uniqueByID(cluster.list)
		cluster.step()
		cluster.step() // a list that lacks most runners takes two
		stored := map[string]bool{}
		for _, s := range cluster.states {
			for _, item := range s.Since(0, 0).Items {
				stored[item.Key] = true
			}
		}
		for i := range cluster.list {
			if !stored[feed.KeyPrefixRunner+cluster.list[i].ID] {
				t.Fatalf("runner %s is not stored", cluster.list[i].ID)
			}
		}
		if len(stored) != len(cluster.list) {
			t.Fatalf("%d runners are stored, %d listed", len(stored), len(cluster.list))
		}
	})
}

// TestConcurrentSyncersConverge draws changes of the list and steps of two machines that keep the same partition, one by
// an older list: once both see the same list, the partition equals it.
func TestConcurrentSyncersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newFakeCluster()
		isolated := &isolatedMachine{fakeCluster: cluster}
		options := cluster.syncer.options
		options.Lister, options.Replicas = isolated, isolated
		second := New(options)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				cluster.list = append(cluster.list, newRunner(int(cluster.index)+len(cluster.list)+100))
			case 1:
				if len(cluster.list) > 0 {
					i := rapid.IntRange(0, len(cluster.list)-1).Draw(t, "removed")
					cluster.list = append(append([]discovery.Runner(nil), cluster.list[:i]...), cluster.list[i+1:]...)
				}
			case 2:
				isolated.staleList = append([]discovery.Runner(nil), cluster.list...)
			case 3:
				second.Step(context.Background())
			case 4:
				cluster.step()
			}
			cluster.now += minPollInterval
		}
		cluster.list = uniqueByID(cluster.list)
		isolated.staleList = cluster.list
		for range 3 {
			cluster.step()
			second.Step(context.Background())
		}
		proposalsBefore := cluster.proposals
		cluster.step()
		second.Step(context.Background())
		if !cluster.inSync(t) || cluster.proposals != proposalsBefore {
			t.Fatalf("in sync: %t, with %d further proposals", cluster.inSync(t), cluster.proposals-proposalsBefore)
		}
	})
}
