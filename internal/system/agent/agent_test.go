package agent

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
)

var errKilled = errors.New("killed by the test")

func TestFeedReachesProxy(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(2)
	configure(replicas, 1, "1")
	putRunner(replicas, 1, runner("one"))
	edge := cluster.newEdge("edge-1")
	edge.waitFor("the proxy has version 1 and its runner", func() bool {
		_, known := edge.runner("one")
		return edge.version() == "1" && known
	})
	configure(replicas, 2, "2")
	begun := time.Now()
	edge.waitFor("the proxy has version 2", func() bool { return edge.version() == "2" })
	if took := time.Since(begun); took > 900*time.Millisecond {
		t.Errorf("a long poll was not woken by a change: it took %v", took)
	}
	edge.waitFor("the agent says that it is up to date", func() bool { return edge.poll(0).Age(0) < time.Second })
	edge.waitFor("the agent says how many proxies there are", func() bool { return edge.poll(0).Proxies == 1 })
	if n := cluster.platform.callCount(); n != 0 {
		t.Errorf("the platform was asked %d times although the feed was up to date", n)
	}
}

func TestProxyLearnsPeers(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(1)
	configure(replicas, 1, "1")
	first := cluster.newEdge("edge-1")
	proxies := 0
	first.waitFor("one proxy is known", func() bool { proxies = first.poll(waitTimeout).Proxies; return proxies == 1 })
	second := cluster.newEdge("edge-2")
	second.report(feed.ProxyReport{Front: "10.0.0.2:80"})
	first.waitFor("two proxies are known", func() bool { proxies = first.poll(waitTimeout).Proxies; return proxies == 2 })
	var reply *feed.FollowReply
	first.waitFor("the other proxy is named", func() bool { reply = first.poll(0); return len(reply.Peers) == 1 })
	if peer := reply.Peers[0]; peer.Node != "edge-2" || !peer.Address.IsValid() || reply.PeersDigest == 0 {
		t.Errorf("the other proxy is %+v, digest %d", peer, reply.PeersDigest)
	}
}

func TestRestartedAgentServesProxyAheadOfIt(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(1)
	configure(replicas, 1, "1")
	putRunner(replicas, 1, runner("one"))
	cluster.platform.set(runner("one"), runner("two"))
	edge := cluster.newEdge("edge-1")
	edge.waitFor("the proxy has its runner", func() bool { return edge.knows("one") })
	replicas[0].setAge(time.Minute)
	edge.waitFor("the proxy has what the platform lists", func() bool { return edge.knows("two") })
	edge.kill()
	cluster.platform.set(runner("one"), runner("three"))
	edge.startAgent()
	edge.startProxy() // its positions are those from before the restart
	edge.waitFor("the proxy has what the platform lists now", func() bool {
		_, two := edge.runner("two")
		_, three := edge.runner("three")
		return !two && three
	})
}

func TestFollowsAnotherReplica(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(3)
	configure(replicas, 1, "1")
	edge := cluster.newEdge("edge-1")
	edge.waitFor("the proxy has version 1", func() bool { return edge.version() == "1" })
	replicas[0].close()
	configure(replicas[1:], 2, "2")
	edge.waitFor("the proxy has version 2", func() bool { return edge.version() == "2" })
	replicas[1].setAge(time.Minute)
	configure(replicas[2:], 3, "3")
	edge.waitFor("the proxy has version 3", func() bool { return edge.version() == "3" })
}

func TestPlatformIsPolledWhenCutOff(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(2)
	configure(replicas, 1, "1")
	putRunner(replicas, 1, runner("one"))
	putRunner(replicas, 1, runner("two"))
	cluster.platform.set(func() discovery.Runner { r := runner("one"); r.Draining = true; return r }(), runner("three"))
	edge := cluster.newEdge("edge-1")
	edge.waitFor("the proxy has its runners", func() bool { return edge.knows("two") })
	for _, r := range replicas {
		r.setAge(time.Minute)
	}
	edge.waitFor("the proxy has what the platform lists", func() bool {
		one, _ := edge.runner("one")
		_, two := edge.runner("two")
		_, three := edge.runner("three")
		return one.Draining && !two && three
	})
	if edge.version() != "1" {
		t.Errorf("the proxy has version %q, want what was known", edge.version())
	}
	for _, r := range replicas {
		r.setAge(0)
	}
	putRunner(replicas, 2, runner("four"))
	edge.waitFor("the proxy has what the control replicas have", func() bool {
		_, two := edge.runner("two")
		_, three := edge.runner("three")
		_, four := edge.runner("four")
		return two && !three && four
	})
	if one, _ := edge.runner("one"); !one.Draining {
		t.Error("a runner that drained serves again")
	}
}

// serviceOf returns a service whose runners are in a partition.
func serviceOf(partition feed.Partition) string {
	for i := 0; ; i++ {
		service := fmt.Sprint("service-", i)
		if feed.PartitionOf(service, feed.RunnerPartitionCount) == partition {
			return service
		}
	}
}

// runnerIn returns a runner in a partition.
func runnerIn(partition feed.Partition, id string) discovery.Runner {
	r := runner(id)
	r.Service = serviceOf(partition)
	return r
}

// TestRunnerPartitionWithoutLeaderBlocksNothingElse takes the leader from one partition of runners: the configuration
// and the other runners still come from the control replicas by long polls, and the platform's list is used for that
// partition alone.
func TestRunnerPartitionWithoutLeaderBlocksNothingElse(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(3)
	configure(replicas, 1, "1")
	here, there := runnerIn(1, "here"), runnerIn(2, "there")
	putRunner(replicas, 1, here)
	putRunner(replicas, 1, there)
	edge := cluster.newEdge("edge-1")
	edge.waitFor("the proxy has its runners", func() bool { return edge.knows("there") })
	for _, r := range replicas {
		r.setPartitionAge(2, time.Minute)
	}
	cluster.platform.set(runnerIn(1, "unlisted"), runnerIn(2, "listed"))
	edge.waitFor("the proxy has what the platform lists for the lost partition", func() bool {
		_, listed := edge.runner("listed")
		_, there := edge.runner("there")
		return listed && !there
	})
	for version := range 20 {
		configure(replicas, uint64(2+version), fmt.Sprint(2+version))
		putRunner(replicas, uint64(2+version), runnerIn(1, fmt.Sprint("new-", version)))
		edge.waitFor("the proxy has the next version and the next runner", func() bool {
			_, known := edge.runner(fmt.Sprint("new-", version))
			return known && edge.version() == fmt.Sprint(2+version)
		})
	}
	if _, known := edge.runner("unlisted"); known {
		t.Error("the platform's list is used for a partition with a leader")
	}
	if _, known := edge.runner("here"); !known {
		t.Error("a runner of a partition with a leader is gone")
	}
	for partition, stale := range []bool{false, false, true} {
		if age := edge.poll(0).Age(feed.Partition(partition)); (age > time.Second) != stale {
			t.Errorf("the agent tells partition %d to be %v old", partition, age)
		}
	}
}

// TestConfigurationWithoutLeaderBlocksNoRunners takes the leader from the partition of the configuration.
func TestConfigurationWithoutLeaderBlocksNoRunners(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(3)
	configure(replicas, 1, "1")
	putRunner(replicas, 1, runner("one"))
	edge := cluster.newEdge("edge-1")
	edge.waitFor("the proxy has its runner", func() bool { return edge.knows("one") })
	for _, r := range replicas {
		r.setPartitionAge(feed.ConfigurationPartition, time.Minute)
	}
	for i := range 20 {
		putRunner(replicas, uint64(2+i), runner(fmt.Sprint("new-", i)))
		edge.waitFor("the proxy has the next runner", func() bool { return edge.knows(fmt.Sprint("new-", i)) })
	}
	if n := cluster.platform.callCount(); n != 0 {
		t.Errorf("the platform was asked %d times although the runners are up to date", n)
	}
	if edge.version() != "1" {
		t.Errorf("the proxy has version %q, want what was known", edge.version())
	}
}

func TestRestartedAgentFollowsPeers(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(1)
	configure(replicas, 5, "1")
	putRunner(replicas, 5, runner("one"))
	first, second := cluster.newEdge("edge-1"), cluster.newEdge("edge-2")
	for _, edge := range []*edgeMachine{first, second} {
		edge.waitFor("the proxy has version 1", func() bool { return edge.version() == "1" })
	}
	cluster.platform.set(runner("one"))
	replicas[0].close()
	second.kill()
	second.startAgent()
	second.startProxy()
	second.tables = []*feed.Table{feed.NewTable(0), feed.NewTable(1), feed.NewTable(2)} // a new proxy as well
	second.waitFor("the proxy has what other agents know", func() bool {
		_, known := second.runner("one")
		return second.version() == "1" && known
	})
}

// memberOf returns a node's entry in the view of the first control machine.
func memberOf(replicas []*controlReplica, node string) gossip.Member {
	for _, member := range replicas[0].member.View() {
		if member.Node == node {
			return member
		}
	}
	return gossip.Member{}
}

func TestMembersLearnProxyState(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(1)
	edge := cluster.newEdge("edge-1")
	edge.report(feed.ProxyReport{Front: "10.0.0.1:80"})
	cluster.wait("it is known, and does not serve", func() bool {
		member := memberOf(replicas, "edge-1")
		return member.Front == "10.0.0.1:80" && member.Serving == gossip.Starting && member.Role == gossip.Edge
	})
	edge.report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80", Learnt: []byte("learnt")})
	cluster.wait("it serves", func() bool { member := memberOf(replicas, "edge-1"); return member.Usable() })
	edge.client.Close() // the process ended
	cluster.wait("it does not serve", func() bool { return memberOf(replicas, "edge-1").Serving == gossip.Starting })
	edge.startProxy()
	if reply := edge.report(feed.ProxyReport{}); string(reply.Learnt) != "learnt" {
		t.Errorf("the next proxy gets %q", reply.Learnt)
	}
	edge.report(feed.ProxyReport{Ready: true})
	cluster.wait("it serves again", func() bool { member := memberOf(replicas, "edge-1"); return member.Usable() })
	cluster.wait("a proxy that says nothing is not sent clients", func() bool {
		return memberOf(replicas, "edge-1").Serving == gossip.Starting
	})
	edge.report(feed.ProxyReport{Ready: true})
	edge.report(feed.ProxyReport{Ready: true, Stopping: true})
	cluster.wait("it stops", func() bool { return memberOf(replicas, "edge-1").Serving == gossip.Stopping })
}

func TestStopLeavesAfterProxy(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	replicas := cluster.newReplicas(1)
	configure(replicas, 1, "1")
	edge := cluster.newEdge("edge-1")
	edge.report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"})
	cluster.wait("it serves", func() bool { member := memberOf(replicas, "edge-1"); return member.Usable() })
	begun := time.Now()
	edge.stop()
	cluster.wait("it stops", func() bool { return memberOf(replicas, "edge-1").Serving == gossip.Stopping })
	configure(replicas, 2, "2")
	edge.waitFor("the proxy is still fed", func() bool { return edge.version() == "2" })
	edge.report(feed.ProxyReport{Ready: true})
	if memberOf(replicas, "edge-1").Serving != gossip.Stopping {
		t.Error("a machine that stops serves again")
	}
	edge.client.Close()
	select {
	case err := <-edge.done:
		edge.done <- err
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the agent does not end")
	}
	if took := time.Since(begun); took < minStopTime {
		t.Errorf("it ended %v after it was told to, want %v at least", took, minStopTime)
	}
	cluster.wait("it has left", func() bool { return memberOf(replicas, "edge-1").State == gossip.Left })
}

func TestStopTimesOutWaitingForProxy(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.newReplicas(1)
	edge := cluster.newEdge("edge-1")
	edge.agent.settings.Timing.GracePeriod = 2500 * time.Millisecond
	edge.report(feed.ProxyReport{Ready: true})
	begun := time.Now()
	edge.stop()
	select {
	case err := <-edge.done:
		edge.done <- err
	case <-time.After(waitTimeout):
		t.Fatal("the agent does not end")
	}
	if took := time.Since(begun); took < 1700*time.Millisecond {
		t.Errorf("it ended after %v although the proxy was there", took)
	}
}
