package jobreplica_test

import (
	"flag"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
	"cinderroad/internal/testkit/mutate"
)

var mutateAll = flag.Bool("mutate.all", false, "play every mutation of every message")

// mutationScenarios must hold whichever one message is mutated.
var mutationScenarios = map[string]func(sim *simulation){
	"leader killed": func(sim *simulation) {
		sim.submitJob("a", jobstate.Unsafe)
		sim.submitJob("b", jobstate.Keyed)
		sim.runUntil(sim.now + 0.7)
		sim.kill(sim.leader())
		sim.runUntil(sim.now + 3)
		sim.submitJob("c", jobstate.Safe)
		sim.runUntil(sim.now + 9)
	},
	"leader paused while another sends": func(sim *simulation) {
		sim.submitJob("a", jobstate.Keyed)
		sim.runUntil(sim.now + 0.5)
		host := sim.leader()
		host.paused = true
		sim.submitJob("b", jobstate.Unsafe)
		sim.runUntil(sim.now + 5)
		sim.resume(host)
		sim.submitJob("c", jobstate.Safe)
		sim.runUntil(sim.now + 3)
	},
	"voter replaced": func(sim *simulation) {
		sim.submitJob("a", jobstate.Unsafe)
		host := sim.follower()
		sim.partitioned = func(from, to int) bool { return from == host.index || to == host.index }
		sim.runUntil(sim.now + 12)
		sim.partitioned = nil
		sim.submitJob("b", jobstate.Keyed)
		sim.runUntil(sim.now + 3)
	},
	"leadership transferred": func(sim *simulation) {
		sim.submitJob("a", jobstate.Keyed)
		host := sim.leader()
		host.replica.TransferLeadership()
		sim.processOutput(host)
		sim.submitJob("b", jobstate.Unsafe)
		sim.runUntil(sim.now + 2)
	},
}

// toleratedForgeries claim a log that their sender does not hold. Their violations are logged and don't fail the test, as
// docs/promises.md says of copies that lie.
var toleratedForgeries = map[string]bool{"forged index": true, "forged sender": true, "forged reject": true}

func TestToleratesAnyMutatedMessage(t *testing.T) {
	for name, scenario := range mutationScenarios {
		t.Run(name, func(t *testing.T) {
			options := mutate.Options{
				Delays:       []float64{0.3, 1.5, 9},
				Stride:       37,
				Parallelism:  6,
				OtherMembers: []uint64{1, 2, 3, 4},
				Variants:     jobreplica.ForgeVariants,
			}
			if *mutateAll {
				options.Stride = 1
			}
			report, err := mutate.RunAll(func(tamper mutate.Tamper) (string, error) {
				sim := newSimulation(1, 4, 3)
				sim.tamper = tamper
				sim.dispatchJobs()
				sim.runUntil(sim.now + 3)
				scenario(sim)
				err := sim.finishAndCheck()
				return sim.outcome(), err
			}, options)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			for _, violation := range report.Violations {
				if toleratedForgeries[violation.Mutation] {
					t.Logf("message %d %s: %v", violation.Message, violation.Mutation, violation.Err)
					continue
				}
				t.Errorf("message %d %s: %v", violation.Message, violation.Mutation, violation.Err)
			}
		})
	}
}
