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

func TestFeedReachesTheProxy(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(2)
	configure(replicas, 1, "1")
	list(replicas, 1, runner("one"))
	e := w.newEdge("edge-1")
	e.waitFor("the proxy has version 1 and its runner", func() bool {
		_, known := e.runner("one")
		return e.version() == "1" && known
	})
	configure(replicas, 2, "2")
	begun := time.Now()
	e.waitFor("the proxy has version 2", func() bool { return e.version() == "2" })
	if took := time.Since(begun); took > 900*time.Millisecond {
		t.Errorf("a long poll was not woken by a change: it took %v", took)
	}
	e.waitFor("the agent says that it is up to date", func() bool { return e.poll(0).Age(0) < time.Second })
	e.waitFor("the agent says how many proxies there are", func() bool { return e.poll(0).Proxies == 1 })
	if n := w.platform.called(); n != 0 {
		t.Errorf("the platform was asked %d times although the feed was up to date", n)
	}
}

func TestProxyHearsHowManyThereAre(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(1)
	configure(replicas, 1, "1")
	first := w.newEdge("edge-1")
	proxies := 0
	first.waitFor("one proxy is known", func() bool { proxies = first.poll(longest).Proxies; return proxies == 1 })
	second := w.newEdge("edge-2")
	second.report(feed.ProxyReport{Front: "10.0.0.2:80"})
	first.waitFor("two proxies are known", func() bool { proxies = first.poll(longest).Proxies; return proxies == 2 })
	var reply *feed.FollowReply
	first.waitFor("the other proxy is named", func() bool { reply = first.poll(0); return len(reply.Peers) == 1 })
	if peer := reply.Peers[0]; peer.Node != "edge-2" || !peer.Address.IsValid() || reply.PeersDigest == 0 {
		t.Errorf("the other proxy is %+v, digest %d", peer, reply.PeersDigest)
	}
}

func TestProxyIsServedByTheNextLifeOfItsAgent(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(1)
	configure(replicas, 1, "1")
	list(replicas, 1, runner("one"))
	w.platform.set(runner("one"), runner("two"))
	e := w.newEdge("edge-1")
	e.waitFor("the proxy has its runner", func() bool { _, known := e.runner("one"); return known })
	replicas[0].setAge(time.Minute)
	e.waitFor("the proxy has what the platform lists", func() bool { _, known := e.runner("two"); return known })
	e.kill()
	w.platform.set(runner("one"), runner("three"))
	e.startAgent()
	e.startProxy() // its positions are those of the earlier life
	e.waitFor("the proxy has what the platform lists now", func() bool {
		_, two := e.runner("two")
		_, three := e.runner("three")
		return !two && three
	})
}

func TestAnotherReplicaIsFollowed(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(3)
	configure(replicas, 1, "1")
	e := w.newEdge("edge-1")
	e.waitFor("the proxy has version 1", func() bool { return e.version() == "1" })
	replicas[0].close()
	configure(replicas[1:], 2, "2")
	e.waitFor("the proxy has version 2", func() bool { return e.version() == "2" })
	replicas[1].setAge(time.Minute)
	configure(replicas[2:], 3, "3")
	e.waitFor("the proxy has version 3", func() bool { return e.version() == "3" })
}

func TestPlatformIsAskedInACut(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(2)
	configure(replicas, 1, "1")
	list(replicas, 1, runner("one"))
	list(replicas, 1, runner("two"))
	w.platform.set(func() discovery.Runner { r := runner("one"); r.Draining = true; return r }(), runner("three"))
	e := w.newEdge("edge-1")
	e.waitFor("the proxy has its runners", func() bool { _, known := e.runner("two"); return known })
	for _, r := range replicas {
		r.setAge(time.Minute)
	}
	e.waitFor("the proxy has what the platform lists", func() bool {
		one, _ := e.runner("one")
		_, two := e.runner("two")
		_, three := e.runner("three")
		return one.Draining && !two && three
	})
	if e.version() != "1" {
		t.Errorf("the proxy has version %q, want what was known", e.version())
	}
	for _, r := range replicas {
		r.setAge(0)
	}
	list(replicas, 2, runner("four"))
	e.waitFor("the proxy has what the control replicas have", func() bool {
		_, two := e.runner("two")
		_, three := e.runner("three")
		_, four := e.runner("four")
		return two && !three && four
	})
	if one, _ := e.runner("one"); !one.Draining {
		t.Error("a runner that drained serves again")
	}
}

// serviceOf is a service whose runners are in a partition.
func serviceOf(partition feed.Partition) string {
	for i := 0; ; i++ {
		service := fmt.Sprint("service-", i)
		if feed.PartitionOf(service, feed.RunnerPartitionCount) == partition {
			return service
		}
	}
}

// runnerIn is a runner in a partition.
func runnerIn(partition feed.Partition, id string) discovery.Runner {
	r := runner(id)
	r.Service = serviceOf(partition)
	return r
}

// TestLostPartitionOfRunnersHoldsUpNothingElse has a partition of runners be without a leader: the configuration and the
// other runners come from the control replicas as ever, by long polls, and the platform is asked for that partition alone.
func TestLostPartitionOfRunnersHoldsUpNothingElse(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(3)
	configure(replicas, 1, "1")
	here, there := runnerIn(1, "here"), runnerIn(2, "there")
	list(replicas, 1, here)
	list(replicas, 1, there)
	e := w.newEdge("edge-1")
	e.waitFor("the proxy has its runners", func() bool { _, known := e.runner("there"); return known })
	for _, r := range replicas {
		r.setPartitionAge(2, time.Minute)
	}
	w.platform.set(runnerIn(1, "unlisted"), runnerIn(2, "listed"))
	e.waitFor("the proxy has what the platform lists for the lost partition", func() bool {
		_, listed := e.runner("listed")
		_, there := e.runner("there")
		return listed && !there
	})
	for version := range 20 {
		configure(replicas, uint64(2+version), fmt.Sprint(2+version))
		list(replicas, uint64(2+version), runnerIn(1, fmt.Sprint("new-", version)))
		e.waitFor("the proxy has the next version and the next runner", func() bool {
			_, known := e.runner(fmt.Sprint("new-", version))
			return known && e.version() == fmt.Sprint(2+version)
		})
	}
	if _, known := e.runner("unlisted"); known {
		t.Error("the platform's list is used for a partition with a leader")
	}
	if _, known := e.runner("here"); !known {
		t.Error("a runner of a partition with a leader is gone")
	}
	for partition, stale := range []bool{false, false, true} {
		if age := e.poll(0).Age(feed.Partition(partition)); (age > time.Second) != stale {
			t.Errorf("the agent tells partition %d to be %v old", partition, age)
		}
	}
}

// TestLostConfigurationHoldsUpNoRunners has the partition of the configuration be without a leader.
func TestLostConfigurationHoldsUpNoRunners(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(3)
	configure(replicas, 1, "1")
	list(replicas, 1, runner("one"))
	e := w.newEdge("edge-1")
	e.waitFor("the proxy has its runner", func() bool { _, known := e.runner("one"); return known })
	for _, r := range replicas {
		r.setPartitionAge(feed.ConfigurationPartition, time.Minute)
	}
	for i := range 20 {
		list(replicas, uint64(2+i), runner(fmt.Sprint("new-", i)))
		e.waitFor("the proxy has the next runner", func() bool { _, known := e.runner(fmt.Sprint("new-", i)); return known })
	}
	if n := w.platform.called(); n != 0 {
		t.Errorf("the platform was asked %d times although the runners are up to date", n)
	}
	if e.version() != "1" {
		t.Errorf("the proxy has version %q, want what was known", e.version())
	}
}

func TestRestartedAgentAsksOthers(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(1)
	configure(replicas, 5, "1")
	list(replicas, 5, runner("one"))
	first, second := w.newEdge("edge-1"), w.newEdge("edge-2")
	for _, e := range []*edge{first, second} {
		e.waitFor("the proxy has version 1", func() bool { return e.version() == "1" })
	}
	w.platform.set(runner("one"))
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

// seen is what the first control machine holds of a node.
func seen(replicas []*replica, node string) gossip.Member {
	for _, member := range replicas[0].member.View() {
		if member.Node == node {
			return member
		}
	}
	return gossip.Member{}
}

func TestMembersHearOfTheProxy(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(1)
	e := w.newEdge("edge-1")
	e.report(feed.ProxyReport{Front: "10.0.0.1:80"})
	w.wait("it is known, and does not serve", func() bool {
		member := seen(replicas, "edge-1")
		return member.Front == "10.0.0.1:80" && member.Serving == gossip.Starting && member.Role == gossip.Edge
	})
	e.report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80", Learnt: []byte("learnt")})
	w.wait("it serves", func() bool { member := seen(replicas, "edge-1"); return member.Usable() })
	e.client.Close() // the process ended
	w.wait("it does not serve", func() bool { return seen(replicas, "edge-1").Serving == gossip.Starting })
	e.startProxy()
	if reply := e.report(feed.ProxyReport{}); string(reply.Learnt) != "learnt" {
		t.Errorf("the next proxy is told %q", reply.Learnt)
	}
	e.report(feed.ProxyReport{Ready: true})
	w.wait("it serves again", func() bool { member := seen(replicas, "edge-1"); return member.Usable() })
	w.wait("a proxy that says nothing is not sent clients", func() bool {
		return seen(replicas, "edge-1").Serving == gossip.Starting
	})
	e.report(feed.ProxyReport{Ready: true})
	e.report(feed.ProxyReport{Ready: true, Stopping: true})
	w.wait("it stops", func() bool { return seen(replicas, "edge-1").Serving == gossip.Stopping })
}

func TestStopLeavesAfterTheProxy(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	replicas := w.newReplicas(1)
	configure(replicas, 1, "1")
	e := w.newEdge("edge-1")
	e.report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"})
	w.wait("it serves", func() bool { member := seen(replicas, "edge-1"); return member.Usable() })
	begun := time.Now()
	e.stop()
	w.wait("it stops", func() bool { return seen(replicas, "edge-1").Serving == gossip.Stopping })
	configure(replicas, 2, "2")
	e.waitFor("the proxy is still fed", func() bool { return e.version() == "2" })
	e.report(feed.ProxyReport{Ready: true})
	if seen(replicas, "edge-1").Serving != gossip.Stopping {
		t.Error("a machine that stops serves again")
	}
	e.client.Close()
	select {
	case err := <-e.ended:
		e.ended <- err
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(longest):
		t.Fatal("the agent does not end")
	}
	if took := time.Since(begun); took < servesAtLeast {
		t.Errorf("it ended %v after it was told to, want %v at least", took, servesAtLeast)
	}
	w.wait("it has left", func() bool { return seen(replicas, "edge-1").State == gossip.Left })
}

func TestStopDoesNotWaitForTheProxyForever(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.newReplicas(1)
	e := w.newEdge("edge-1")
	e.agent.settings.Timing.GracePeriod = 2500 * time.Millisecond
	e.report(feed.ProxyReport{Ready: true})
	begun := time.Now()
	e.stop()
	select {
	case err := <-e.ended:
		e.ended <- err
	case <-time.After(longest):
		t.Fatal("the agent does not end")
	}
	if took := time.Since(begun); took < 1700*time.Millisecond {
		t.Errorf("it ended after %v although the proxy was there", took)
	}
}
