package jobreplica_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
)

// longestOutage returns the longest time, in seconds, in which no job was accepted, of jobs submitted each 50 ms; happens is called
// after 5 s.
func longestOutage(seed uint64, happens func(sim *simulation)) float64 {
	sim := newSimulation(seed, 5, 3)
	sim.idle = true
	sim.runUntil(sim.now + 3)
	start := sim.now
	lastTaken := sim.now
	longest := 0.0
	for i := 0; sim.now < start+15; i++ {
		if sim.now >= start+5 && happens != nil {
			happens(sim)
			happens = nil
		}
		key := fmt.Sprint("k", i)
		for _, host := range sim.hosts {
			if host.replica != nil && !host.paused && host.replica.IsVoter() {
				command := jobstate.Command{
					Kind:   jobstate.CommandSubmit,
					TimeMS: int64(sim.now * 1000),
					Tenant: "t",
					Key:    key,
					Class:  "x",
				}
				host.pendingSubmits[key] = command
				host.replica.Propose(sim.now, command.Encode())
				sim.processOutput(host)
			}
		}
		before := len(sim.acknowledged)
		sim.runUntil(sim.now + 0.05)
		if len(sim.acknowledged) > before {
			longest = max(longest, sim.now-lastTaken)
			lastTaken = sim.now
		}
	}
	return max(longest, sim.now-lastTaken)
}

func TestOutageDuration(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   float64 // seconds; 0.1 is no outage: a job is accepted each 50 ms
		happens func(sim *simulation)
	}{
		{"no fault", 0.1, func(sim *simulation) {}},
		{"leadership transferred and leader killed", 0.1, func(sim *simulation) {
			host := sim.leader()
			host.replica.TransferLeadership()
			sim.processOutput(host)
			sim.runUntil(sim.now + 0.05)
			sim.kill(host)
		}},
		{"leader killed", 3, func(sim *simulation) { sim.kill(sim.leader()) }},
		{"leader paused", 4.5, // two elections if the first one is split
			func(sim *simulation) { sim.leader().paused = true }},
	} {
		var outages []float64
		for seed := uint64(1); seed <= 50; seed++ {
			outages = append(outages, longestOutage(seed, c.happens))
		}
		slices.Sort(outages)
		t.Logf("%s: %.2f s at the median of 50 runs, %.2f at worst", c.name, outages[25], outages[49])
		if outages[49] > c.limit+1e-6 {
			t.Errorf("%s: outage of %.2f s, limit %.2f", c.name, outages[49], c.limit)
		}
	}
}

func TestProposeWithoutMajority(t *testing.T) {
	sim := newSimulation(1, 3, 3)
	sim.idle = true
	sim.runUntil(sim.now + 3)
	sim.partitioned = func(from, to int) bool { return true }
	sim.runUntil(sim.now + 4)
	for _, host := range sim.hosts {
		err := host.replica.Propose(sim.now, (&jobstate.Command{Kind: jobstate.CommandAdvanceTime}).Encode())
		var noMajority *jobreplica.NoMajorityError
		if !errors.As(err, &noMajority) || noMajority.RetryMS <= 0 || noMajority.Reachable != 1 || noMajority.Voters != 3 {
			t.Errorf("%s: %v", host.member.Name, err)
		}
	}
}

func TestLeaderStepsDownAfterPause(t *testing.T) {
	sim := newSimulation(1, 3, 3)
	sim.idle = true
	sim.runUntil(sim.now + 3)
	host := sim.leader()
	host.paused = true
	sim.runUntil(sim.now + 60)
	host.paused = false
	host.heldDatagrams = nil // those received meanwhile are lost
	host.replica.Tick(sim.now)
	if host.replica.IsLeader() {
		t.Error("still leader after a pause of 60 s")
	}
}
