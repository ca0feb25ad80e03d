package server

import (
	"os/exec"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/testkit/processcluster"
	"cinderroad/internal/testkit/receivers"
)

// fleetCommand runs an operators' command at a member.
func fleetCommand(m *processcluster.Member, args ...string) (string, error) {
	out, err := exec.Command(program, append([]string{"fleet", "--console", m.AdminAddress}, args...)...).CombinedOutput()
	return string(out), err
}

// rejectingCount counts the members that accept no new work.
func rejectingCount(r *processcluster.Cluster) (n int) {
	for _, m := range r.RunningMembers() {
		if health(m) == 503 {
			n++
		}
	}
	return n
}

// TestFleetShutOutByHand: a member is shut out by way of one that cannot reach it, ends with every job answered, rejects
// with Retry-After, is seen so by all, and is brought back. No more than a third can be shut out; one that restarts is
// still out.
func TestFleetShutOutByHand(t *testing.T) {
	r := fleetOf(t, processcluster.Options{JobsPerSecond: 40})
	n := len(r.Members)
	r.WaitConverged(n)
	caller, one, other := r.Members[0], r.Members[n-1], r.Members[1]
	r.SetLink(caller, one, receivers.Link{Blackhole: true})
	r.SetLink(one, caller, receivers.Link{Blackhole: true})
	if out, err := fleetCommand(caller, "shut-out", one.Name); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	r.Eventually("its health fails", func() bool { return health(one) == 503 })
	r.Eventually("all see it", allReport(r, one.Name, "shut-out"))
	time.Sleep(500 * time.Millisecond) // what was in flight has arrived
	before := acceptedCount(r, one)
	time.Sleep(2 * time.Second)
	if sent := acceptedCount(r, one) - before; sent > 0 {
		t.Errorf("%d jobs were sent by one that is shut out", sent)
	}
	for i := 1; i < n/3; i++ {
		if out, err := fleetCommand(caller, "shut-out", r.Members[i+1].Name); err != nil {
			t.Errorf("%v: %s", err, out)
		}
	}
	if out, err := fleetCommand(caller, "shut-out", other.Name); err == nil || !strings.Contains(out, "at most") {
		t.Errorf("more than a third: %v: %s", err, out)
	}
	if out, err := fleetCommand(caller, "shut-out", "nobody"); err == nil || !strings.Contains(out, "nobody") {
		t.Errorf("a name that nobody has: %v: %s", err, out)
	}
	one.StopClients()
	one.Kill()
	one.Start() // the cluster retains the order
	r.Eventually("it is out again", func() bool { return health(one) == 503 })
	if out, err := fleetCommand(caller, "bring-back", one.Name); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	one.WaitServing()
	r.ClearLinks()
	for i := 1; i < n/3; i++ {
		if out, err := fleetCommand(caller, "bring-back", r.Members[i+1].Name); err != nil {
			t.Errorf("%v: %s", err, out)
		}
	}
	r.WaitConverged(n)
	at := acceptedCount(r, one)
	r.Eventually("it has work again", func() bool { return acceptedCount(r, one) > at+5 })
	r.Check()
}

// acceptedCount returns how many jobs a member has sent to any runner.
func acceptedCount(r *processcluster.Cluster, m *processcluster.Member) (n int) {
	for _, u := range r.Runners {
		n += u.JobsFrom(m)
	}
	return n
}

// TestFleetCutOffIsShutOut: one member loses discovery, as its peers see, and then its peers, while a worker drains. Its
// lease ends, it accepts no new work, and every job there is answered. Back in contact it serves again.
func TestFleetCutOffIsShutOut(t *testing.T) {
	t.Parallel()
	t.Run("one of many", func(t *testing.T) { checkPartitionedMemberRejects(t, *fleetN, *fleetN-1) })
	t.Run("its zone's only one", func(t *testing.T) { checkPartitionedMemberRejects(t, 3, 1) })
}

// checkPartitionedMemberRejects partitions the member at an index in a cluster of so many members.
func checkPartitionedMemberRejects(t *testing.T, members, index int) {
	t.Helper()
	r := fleetOf(t, processcluster.Options{Members: members, JobsPerSecond: 40})
	r.WaitConverged(members)
	cut, drains := r.Members[index], r.Runners[2]
	cut.DiscoveryLink().SetLink(receivers.Link{Blackhole: true})
	time.Sleep(processcluster.LeaseSeconds*time.Second + 4*time.Second) // longer than a lease: contact with peers renews it
	if out := rejectingCount(r); out > 0 {
		t.Errorf("%d are out while their peers have discovery's word", out)
	}
	r.Partition(cut)
	drains.SetState("draining")
	r.Discovery.Publish()
	took := r.Eventually("its health fails", func() bool { return health(cut) == 503 })
	time.Sleep(500 * time.Millisecond) // what was in flight has arrived; the audit at the end judges by what was known
	before := drains.JobsFrom(cut)
	time.Sleep(2 * time.Second)
	if sent := drains.JobsFrom(cut) - before; sent > 0 {
		t.Errorf("%d jobs were sent out of lease", sent)
	}
	if out := rejectingCount(r); out != 1 {
		t.Errorf("%d are out", out)
	}
	r.ClearLinks()
	back := r.Eventually("it is in again", func() bool { return health(cut) == 200 })
	t.Logf("out %.1f s after the cut, in again %.1f s after it was healed", took.Seconds(), back.Seconds())
	r.Eventually("it is brought up", func() bool { return withholds(cut, drains.Name) })
	after := drains.JobsFrom(cut)
	cut.DiscoveryLink().SetLink(receivers.Link{})
	time.Sleep(time.Second)
	if sent := drains.JobsFrom(cut) - after; sent > 1 {
		t.Errorf("%d jobs were sent to the worker that drains", sent)
	}
	r.WaitConverged(members)
	r.Check()
}

// TestFleetDiscoveryLostByMost: four of five members lose discovery, then all. Nobody is shut out, and each serves by its
// last list.
func TestFleetDiscoveryLostByMost(t *testing.T) {
	r := fleetOf(t, processcluster.Options{JobsPerSecond: 20})
	n := len(r.Members)
	r.WaitConverged(n)
	served := func() {
		t.Helper()
		end := time.Now().Add(processcluster.LeaseSeconds*time.Second + 4*time.Second)
		for ; time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if out := rejectingCount(r); out > 0 {
				t.Fatalf("%d are out", out)
			}
		}
		at := map[*processcluster.Member]int{}
		for _, m := range r.Members {
			at[m] = acceptedCount(r, m)
		}
		r.Eventually("all have work", func() bool {
			for _, m := range r.Members {
				if acceptedCount(r, m) <= at[m]+5 {
					return false
				}
			}
			return true
		})
	}
	for _, m := range r.Members[1:] {
		m.DiscoveryLink().SetLink(receivers.Link{Blackhole: true})
	}
	served()
	r.Members[0].DiscoveryLink().SetLink(receivers.Link{Resets: true})
	served()
	for _, m := range r.Members {
		m.DiscoveryLink().SetLink(receivers.Link{})
	}
	r.Check()
}

// TestFleetBroughtUpByOne: a straggler that only one peer reaches, and whose discovery is silent, is brought up to date
// by that one. So is one whose discovery keeps sending an old list, for as long as it does.
func TestFleetBroughtUpByOne(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(r *processcluster.Cluster, m *processcluster.Member){
		"one peer": func(r *processcluster.Cluster, m *processcluster.Member) {
			m.DiscoveryLink().SetLink(receivers.Link{Blackhole: true})
			r.Partition(m)
			for _, way := range [][2]*processcluster.Member{{m, r.Members[1]}, {r.Members[1], m}} {
				r.SetLink(way[0], way[1], receivers.Link{Delay: 20 * time.Millisecond})
			}
		},
		"old list": func(r *processcluster.Cluster, m *processcluster.Member) { r.Discovery.Freeze(m, true) },
		"slow": func(r *processcluster.Cluster, m *processcluster.Member) {
			m.DiscoveryLink().SetLink(receivers.Link{Delay: 4 * time.Second})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := fleetOf(t, processcluster.Options{JobsPerSecond: 60})
			r.WaitConverged(len(r.Members))
			m, drains := r.Members[0], r.Runners[2]
			at := drains.JobsFrom(m)
			r.Eventually("it gets jobs", func() bool { return drains.JobsFrom(m) > at+5 })
			fault(r, m)
			drains.SetState("draining")
			r.Discovery.Publish()
			r.Eventually("it is withheld", func() bool { return withholds(m, drains.Name) || name == "slow" && drains.Idle() })
			within := drains.JobsFrom(m)
			if name != "slow" {
				time.Sleep(34 * time.Second) // longer than one peer alone is trusted against the own discovery, and than a lease
				if !withholds(m, drains.Name) {
					t.Error("it is not withheld any more")
				}
			}
			if sent := drains.JobsFrom(m) - within; sent > 1 {
				t.Errorf("%d jobs were sent to a worker that peers know to drain", sent)
			}
			if health(m) != 200 {
				t.Error("one that is brought up is out")
			}
			r.Discovery.Freeze(m, false)
			m.DiscoveryLink().SetLink(receivers.Link{})
			r.ClearLinks()
			r.Check()
		})
	}
}

// TestFleetStoppedDuringAnUpgrade: the successor is paused in the middle of an upgrade while a worker drains. Resumed, it
// sends nothing there, and the upgrade completes.
func TestFleetStoppedDuringAnUpgrade(t *testing.T) {
	r := fleetOf(t, processcluster.Options{Members: 3, InheritSocket: true, JobsPerSecond: 40})
	n := len(r.Members)
	r.WaitConverged(n)
	m, drains := r.Members[0], r.Runners[2]
	for _, after := range []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond} {
		at := drains.JobsFrom(m)
		r.Eventually("it gets jobs", func() bool { return drains.JobsFrom(m) > at+5 })
		before := 0
		m.Upgrade(func() {
			time.Sleep(after)
			m.Pause()
			drains.SetState("draining")
			r.Discovery.Publish()
			r.Eventually("the others have nothing there any more", drains.Idle)
			time.Sleep(3 * time.Second)
			before = drains.JobsFrom(m)
			m.Continue()
		})
		if sent := drains.JobsFrom(m) - before; sent > 0 {
			t.Errorf("%d jobs were sent to a worker that drains", sent)
		}
		r.WaitConverged(n)
		drains.SetState("ready")
		r.Discovery.Publish()
	}
	r.Check()
}

// TestFleetFilesThatDiffer: files differ on purpose while a change rolls through the cluster. Each member reports its
// own, all agree, nobody is out.
func TestFleetFilesThatDiffer(t *testing.T) {
	r := fleetOf(t, processcluster.Options{Members: 3})
	n := len(r.Members)
	r.WaitConverged(n)
	versions := func(m *processcluster.Member, file string) map[string]bool { // of a file, among all that m knows of
		found := map[string]bool{}
		if status := m.Status(); status != nil {
			for _, member := range status.Members {
				found[member.Version[file]] = true
				if member.VersionMS[file] == 0 {
					t.Errorf("%s has no time of its %s", member.Name, file)
				}
			}
		}
		return found
	}
	for _, m := range r.Members {
		if kinds := versions(m, "settings"); len(kinds) != 1 {
			t.Errorf("%s sees %d kinds of the same settings", m.Name, len(kinds))
		}
	}
	r.InstanceCount++ // of the settings, for members that start from now on
	first := r.Members[0]
	first.Terminate()
	first.Start()
	first.WaitServing()
	r.WaitConverged(n)
	for _, m := range r.Members {
		r.Eventually("two kinds of settings are seen", func() bool { return len(versions(m, "settings")) == 2 })
		if kinds := versions(m, "operator"); len(kinds) != 1 {
			t.Errorf("%s sees %d kinds of one operator's file", m.Name, len(kinds))
		}
	}
	reloaded := r.Members[1]
	reloadedVersion := func(at *processcluster.Member) string { // of its operator's file, as another member knows it
		if status := at.Status(); status != nil {
			for _, member := range status.Members {
				if member.Name == reloaded.Name {
					return member.Version["operator"]
				}
			}
		}
		return ""
	}
	before := reloadedVersion(reloaded)
	reloaded.WriteConfig(reloaded.OperatorConfig() + "[telemetry]\nevery_s = 5\n")
	reloaded.Reload("server: configuration reloaded")
	for _, m := range r.Members {
		r.Eventually("another operator's file is seen", func() bool {
			return reloadedVersion(m) != "" && reloadedVersion(m) != before
		})
	}
	if out := rejectingCount(r); out > 0 {
		t.Errorf("%d are out", out)
	}
	r.WaitConverged(n)
	r.Check()
}
