package jobreplica_test

import (
	"fmt"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobstate"
)

// TestSnapshotWithFragmentLoss: a replica far behind gets a snapshot of some 500 fragments, of which a fifth is lost and requested
// again.
func TestSnapshotWithFragmentLoss(t *testing.T) {
	sim := newSimulation(2, 4, 3)
	sim.idle = true
	sim.runUntil(sim.now + 3)
	host := sim.leader()
	for i := range 200 {
		command := jobstate.Command{
			Kind:   jobstate.CommandSubmit,
			TimeMS: int64(sim.now * 1000),
			Tenant: "t",
			Key:    fmt.Sprint(i),
			Class:  "x",
			Data:   make([]byte, 3000),
		}
		if err := host.replica.Propose(sim.now, command.Encode()); err != nil {
			t.Fatal(err)
		}
		sim.processOutput(host)
		sim.runUntil(sim.now + 0.02)
	}
	sim.kill(sim.follower())
	sim.dropRate = 0.2
	sim.runUntil(sim.now + 60)
	voters := sim.voters()
	if len(voters) != 3 || !sim.converged() {
		t.Fatalf("%d voters, converged: %v", len(voters), sim.converged())
	}
	for _, host := range voters {
		if jobs, _ := host.state.Usage(); jobs != 200 {
			t.Errorf("%s holds %d jobs", host.member.Name, jobs)
		}
	}
}
