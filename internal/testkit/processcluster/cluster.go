// Package processcluster runs a cluster of real dispatchers on loopback: processes of the program, runners and
// discovery around them, clients that submit jobs all the time, and a relay on every directed link between them. A
// test starts one in a few lines:
//
//	c := processcluster.Start(t, processcluster.Options{Program: path, Members: 5, Runners: 4})
//	c.WaitConverged(5)
//	c.Members[2].Kill()
//	c.WaitConverged(4)
//	c.Check()
//
// Waits have a generous timeout, since the machine may be slow; how long they took is logged and never asserted. If a
// test fails, the logs of all processes are kept. A Cluster belongs to the goroutine of its test.
package processcluster

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cinderroad/internal/testkit/racedetector"
	"cinderroad/internal/testkit/receivers"
)

// LeaseSeconds is the lease duration of the members: the shortest that the program accepts.
const LeaseSeconds = 6.0

// Options configure a cluster. Program, Members and Runners are required.
type Options struct {
	Program              string
	Members              int
	Runners              int
	JobsPerSecond        float64       // submitted to each member; 0: 20
	ProbeIntervalSeconds float64       // of the membership protocol; 0: 0.2
	ClusterName          string        // empty: "rig"
	Seed                 uint64        // of the relays; 0: 1
	Standalone           bool          // no [fleet] section: dispatchers that don't know of each other
	NoSeeds              bool          // members get no seed addresses
	StartNone            bool          // members are added, but not started
	InheritSocket        bool          // members inherit their listening socket, so that Upgrade can replace a process
	InstanceCount        int           // nInstances in the settings; 0: Members
	SlowStartSeconds     float64       // duration of slow start; 0: runners need none
	RunnerSlots          float64       // concurrent jobs of a runner; 0: 4
	JobSeconds           float64       // service time of a job; 0: 0.02
	Timeout              time.Duration // of each wait; 0: two minutes
}

// Cluster is the dispatchers and everything around them.
type Cluster struct {
	Options
	TB        testing.TB
	Members   []*Member
	Runners   []*Runner
	Discovery *Discovery

	dir        string
	log        *os.File
	logMutex   sync.Mutex
	start      time.Time
	submitters sync.WaitGroup
	lastJobID  atomic.Int64
	ending     atomic.Bool
	jobs       jobLog
}

// Start starts a cluster, and the members' processes unless StartNone is set. It is stopped by t.Cleanup.
func Start(t testing.TB, options Options) *Cluster {
	t.Helper()
	options.setDefaults()
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		t.Fatal(err)
	}
	c := &Cluster{Options: options, TB: t, dir: dir, start: time.Now()}
	if c.log, err = os.Create(filepath.Join(dir, "rig.log")); err != nil {
		t.Fatal(err)
	}
	c.jobs.init()
	t.Cleanup(c.end)
	c.Discovery = newDiscovery(c)
	for i := range options.Runners {
		c.Runners = append(c.Runners, newRunner(c, i))
	}
	for range options.Members {
		c.AddMember()
	}
	c.Discovery.Publish()
	if !options.StartNone {
		for _, m := range c.Members {
			m.Start()
		}
		for _, m := range c.Members {
			m.WaitServing()
		}
	}
	return c
}

func (o *Options) setDefaults() {
	o.JobsPerSecond = cmp.Or(o.JobsPerSecond, 20)
	o.ProbeIntervalSeconds = cmp.Or(o.ProbeIntervalSeconds, 0.2)
	o.RunnerSlots = cmp.Or(o.RunnerSlots, 4)
	o.JobSeconds = cmp.Or(o.JobSeconds, 0.02)
	o.ClusterName = cmp.Or(o.ClusterName, "rig")
	o.Seed = cmp.Or(o.Seed, 1)
	o.InstanceCount = cmp.Or(o.InstanceCount, o.Members)
	o.Timeout = cmp.Or(o.Timeout, 120*time.Second)
}

// Log writes a line to the cluster's own log.
func (c *Cluster) Log(line string) {
	c.logMutex.Lock()
	defer c.logMutex.Unlock()
	fmt.Fprintf(c.log, "%8.3f %s\n", time.Since(c.start).Seconds(), line)
}

func (c *Cluster) end() {
	c.ending.Store(true)
	for _, m := range c.Members {
		m.clientsStopped.Store(true)
	}
	c.submitters.Wait()
	for _, m := range c.Members {
		m.kill()
		m.Relay.Close()
		m.discoveryRelay.Close()
		if m.inheritedSocket != nil {
			m.inheritedSocket.Close()
		}
		for _, relay := range m.runnerRelays {
			relay.Close()
		}
	}
	for _, runner := range c.Runners {
		runner.close()
	}
	c.Discovery.close()
	c.log.Close()
	for _, m := range c.Members {
		if racedetector.Enabled && racedetector.FoundIn(m.LogText()) {
			c.TB.Errorf("the race detector found a race in %s", m.Name)
		}
	}
	if c.TB.Failed() {
		c.TB.Logf("all logs are in %s", c.dir)
		return
	}
	os.RemoveAll(c.dir)
}

// must fails the test for an error of the test environment.
func (c *Cluster) must(err error) {
	if err != nil {
		c.TB.Helper()
		c.TB.Fatal(err)
	}
}

// freePort returns an address with a port that is free for TCP and UDP.
func (c *Cluster) freePort() string {
	addr, err := receivers.FreeAddress()
	c.must(err)
	return addr
}

// Eventually polls until the condition holds, and fails the test after Options.Timeout. It returns the time taken.
func (c *Cluster) Eventually(what string, condition func() bool) time.Duration {
	c.TB.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > c.Timeout {
			c.TB.Fatalf("never came: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// WaitConverged waits until all running members have the same membership digest, with that many alive members, none
// suspect, and know that they agree.
func (c *Cluster) WaitConverged(alive int) {
	c.TB.Helper()
	duration := c.Eventually(fmt.Sprintf("one view of %d", alive), func() bool { return c.Converged(c.RunningMembers(), alive) })
	c.TB.Logf("one view of %d after %.2f s", alive, duration.Seconds())
	c.Log(fmt.Sprintf("one view of %d", alive))
}

// RunningMembers returns the members whose process runs.
func (c *Cluster) RunningMembers() (running []*Member) {
	for _, m := range c.Members {
		if m.Running() {
			running = append(running, m)
		}
	}
	return running
}

// Converged reports whether members have the same settled view with that many alive and none suspect.
func (c *Cluster) Converged(members []*Member, alive int) bool {
	digest := ""
	for _, m := range members {
		status := m.Status()
		if status == nil || !status.Converged || digest != "" && status.Digest != digest {
			return false
		}
		digest = status.Digest
		count := 0
		for _, other := range status.Members {
			switch other.State {
			case "alive":
				count++
			case "suspect":
				return false
			}
		}
		if count != alive {
			return false
		}
	}
	return true
}
