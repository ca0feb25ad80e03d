// Package rig runs a fleet of real dispatchers on loopback: processes of the program, runners and discovery around them,
// clients that hand in jobs all the while, and relays on every directed way between them. Any test starts one in a few
// lines:
//
//	f := rig.Start(t, rig.Options{Program: path, Members: 5, Runners: 4})
//	f.Settled(5)
//	f.Kill(2)
//	f.Settled(4)
//	f.Check()
//
// What a test waits for is given long; how long it took is logged, never judged. Where a test fails all logs are kept.
package processcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cinderroad/internal/testkit/receivers"
)

// LeaseSeconds is how long members hold a lease, in seconds: the shortest that may be.
const LeaseSeconds = 6.0

// Options are a rig's.
type Options struct {
	Program              string
	Members              int
	Runners              int
	JobsPerSecond        float64 // a second at each member; 0: 20
	ProbeIntervalSeconds float64 // of the membership, in seconds; 0: 0.2
	ClusterName          string  // its name; empty: "rig"
	Seed                 uint64  // of the relays; 0: 1
	Standalone           bool    // no [fleet] section: what the tree before did
	NoSeeds              bool    // members know nobody
	StartNone            bool    // members are added, none is started
	InheritSocket        bool    // members get their clients' socket, so that an upgrade can take their place
	InstanceCount        int     // nInstances in the settings; 0: the number of members
	SlowStartSeconds     float64 // seconds that a runner is cold; 0: they are warm from the start
	RunnerSlots          float64 // of a runner; 0: 4
	JobSeconds           float64 // seconds that a job runs; 0: 0.02
	Timeout              time.Duration
}

// Cluster is a fleet and its world.
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
	lastJobID  atomic.Int64 // of jobs
	ending     atomic.Bool
	jobs       jobLog
}

// Start starts a rig; the test's end ends it.
func Start(t testing.TB, o Options) *Cluster {
	t.Helper()
	o.setDefaults()
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		t.Fatal(err)
	}
	r := &Cluster{Options: o, TB: t, dir: dir, start: time.Now()}
	if r.log, err = os.Create(filepath.Join(dir, "rig.log")); err != nil {
		t.Fatal(err)
	}
	r.jobs.init()
	t.Cleanup(r.end)
	r.Discovery = newDiscovery(r)
	for i := range o.Runners {
		r.Runners = append(r.Runners, newRunner(r, i))
	}
	for range o.Members {
		r.AddMember()
	}
	r.Discovery.Publish()
	if !o.StartNone {
		for _, m := range r.Members {
			m.Start()
		}
		for _, m := range r.Members {
			m.WaitServing()
		}
	}
	return r
}

func (o *Options) setDefaults() {
	set := func(v *float64, to float64) {
		if *v == 0 {
			*v = to
		}
	}
	set(&o.JobsPerSecond, 20)
	set(&o.ProbeIntervalSeconds, 0.2)
	set(&o.RunnerSlots, 4)
	set(&o.JobSeconds, 0.02)
	if o.ClusterName == "" {
		o.ClusterName = "rig"
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.InstanceCount == 0 {
		o.InstanceCount = o.Members
	}
	if o.Timeout == 0 {
		o.Timeout = 120 * time.Second
	}
}

// Log writes a line of what the rig did.
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
		for _, s := range m.runnerRelays {
			s.Close()
		}
	}
	for _, u := range c.Runners {
		u.close()
	}
	c.Discovery.close()
	c.log.Close()
	if c.TB.Failed() {
		c.TB.Logf("all logs are in %s", c.dir)
		return
	}
	os.RemoveAll(c.dir)
}

// must ends the test where something of the rig's own went wrong.
func (c *Cluster) must(err error) {
	if err != nil {
		c.TB.Helper()
		c.TB.Fatal(err)
	}
}

// freePort is a port for TCP and UDP.
func (c *Cluster) freePort() string {
	addr, err := receivers.FreeAddress()
	c.must(err)
	return addr
}

// Eventually waits for as long as a slow machine may need.
func (c *Cluster) Eventually(what string, ok func() bool) time.Duration {
	c.TB.Helper()
	from := time.Now()
	for !ok() {
		if time.Since(from) > c.Timeout {
			c.TB.Fatalf("never came: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(from)
}

// WaitConverged waits until all processes that run hold one view, by digest, that has so many living members and nobody under
// suspicion, and know that it is everybody's.
func (c *Cluster) WaitConverged(alive int) {
	c.TB.Helper()
	took := c.Eventually(fmt.Sprintf("one view of %d", alive), func() bool { return c.Converged(c.RunningMembers(), alive) })
	c.TB.Logf("one view of %d after %.2f s", alive, took.Seconds())
	c.Log(fmt.Sprintf("one view of %d", alive))
}

// RunningMembers are the members whose processes run.
func (c *Cluster) RunningMembers() (running []*Member) {
	for _, m := range c.Members {
		if m.Running() {
			running = append(running, m)
		}
	}
	return running
}

// Converged says whether members hold one settled view of so many alive and nobody suspect.
func (c *Cluster) Converged(members []*Member, alive int) bool {
	digest := ""
	for _, m := range members {
		s := m.Status()
		if s == nil || !s.Converged || digest != "" && s.Digest != digest {
			return false
		}
		digest = s.Digest
		n := 0
		for _, o := range s.Members {
			switch o.State {
			case "alive":
				n++
			case "suspect":
				return false
			}
		}
		if n != alive {
			return false
		}
	}
	return true
}
