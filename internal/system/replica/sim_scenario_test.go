package replica

import (
	"testing"
	"time"
)

// scenarioWarmup is the time that a cluster has before the fault of a scenario.
const scenarioWarmup = 14 * time.Second

// newScenario returns a cluster of five machines, not started yet, in which nothing happens that a test does not do.
func newScenario(seed uint64) *simulation {
	sim := newSimulation(seed)
	sim.profile.Machines = 5
	sim.profile.Loss = 0
	sim.profile.SyncTime = 5 * time.Millisecond
	sim.faultsEnabled = false
	return sim
}

// bootstrapBusy starts the cluster, with operators that change the configuration until the end.
func (sim *simulation) bootstrapBusy() {
	sim.bootstrap()
	for _, operator := range sim.operators {
		operator.unlimited = true
	}
}

// warmUp runs a cluster that has just started, and returns its leader.
func (sim *simulation) warmUp(t *testing.T) *simMachine {
	t.Helper()
	sim.runFor(scenarioWarmup)
	return sim.mustLead(t)
}

// mustLead returns the leader of a cluster that has warmed up.
func (sim *simulation) mustLead(t *testing.T) *simMachine {
	t.Helper()
	process := sim.leader()
	if process == nil {
		t.Fatalf("seed %d: there is no leader after %v", sim.seed, scenarioWarmup)
	}
	return process.machine
}
