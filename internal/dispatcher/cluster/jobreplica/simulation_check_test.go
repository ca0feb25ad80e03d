package jobreplica_test

import (
	"errors"
	"fmt"

	"cinderroad/internal/dispatcher/cluster/jobstate"
)

// finishAndCheck ends all faults, waits until every job has ended, and checks what must hold then.
func (sim *simulation) finishAndCheck() error {
	sim.dropRate = 0
	sim.partitioned = nil
	for _, host := range sim.hosts {
		if host.paused {
			sim.resume(host)
		}
		if host.replica == nil {
			sim.startHost(host)
		}
	}
	for range 60 {
		sim.runUntil(sim.now + 5)
		if sim.violation != nil {
			return sim.violation
		}
		if len(sim.acknowledged) == sim.submittedJobs && sim.allJobsEnded() && sim.converged() {
			break
		}
	}
	for _, host := range sim.hosts {
		if err := host.replica.Err(); err != nil {
			return fmt.Errorf("%s: %w", host.member.Name, err)
		}
	}
	voters := sim.voters()
	if len(voters) < sim.replicaCount {
		return fmt.Errorf("%d voters of %d after all faults", len(voters), sim.replicaCount)
	}
	if len(sim.acknowledged) != sim.submittedJobs {
		return fmt.Errorf("%d of %d jobs were never accepted", sim.submittedJobs-len(sim.acknowledged), sim.submittedJobs)
	}
	if err := sim.checkJobs(voters); err != nil {
		return err
	}
	for _, host := range voters[1:] {
		if host.replica.AppliedIndex() != voters[0].replica.AppliedIndex() {
			return fmt.Errorf("%s has applied %d commands and %s %d", host.member.Name, host.replica.AppliedIndex(),
				voters[0].member.Name, voters[0].replica.AppliedIndex())
		}
		if host.state.Digest() != voters[0].state.Digest() {
			return errors.New("two replicas have different states")
		}
	}
	return sim.violation
}

// checkJobs checks that each acknowledged job has ended once and that all voters hold its end.
func (sim *simulation) checkJobs(voters []*simulatedHost) error {
	for key, id := range sim.acknowledged {
		for _, host := range voters {
			job := host.state.FindByKey("t", key)
			if job == nil || job.ID != id {
				return fmt.Errorf("%s lost job %d of key %s", host.member.Name, id, key)
			}
			if !job.State.Terminal() {
				return fmt.Errorf("job %d has not ended: %s, fencing token %d of %s", id, job.State, job.FencingToken, job.Owner)
			}
			if finalState := sim.finalStates[id]; finalState != job.State {
				return fmt.Errorf("job %d ended as %s, and its state is %s", id, finalState, job.State)
			}
			if job.State == jobstate.Done && len(sim.runs[id]) == 0 {
				return fmt.Errorf("job %d is done and no worker ran it", id)
			}
		}
	}
	return nil
}

// checkRun checks from the workers' records that a job's effect allows another run: not for an unsafe job, and for a keyed one
// in the same group within the deduplication window, with 0.5 s for the way.
func (sim *simulation) checkRun(job jobstate.Job, next workerRun) {
	for _, previous := range sim.runs[job.ID] {
		switch {
		case job.Effect == jobstate.Unsafe:
			sim.fail("job %d, unsafe, ran twice", job.ID)
		case job.Effect == jobstate.Keyed && (previous.group != next.group || next.startedAt-previous.startedAt > 5.5):
			sim.fail("job %d, keyed, ran in group %s at %.1f and %s at %.1f", job.ID, previous.group, previous.startedAt,
				next.group, next.startedAt)
		}
	}
}

// converged reports whether there are as many voters as there should be, and all have applied the same entries.
func (sim *simulation) converged() bool {
	voters := sim.voters()
	for _, host := range voters {
		if host.replica.AppliedIndex() != voters[0].replica.AppliedIndex() {
			return false
		}
	}
	return len(voters) >= sim.replicaCount
}

func (sim *simulation) allJobsEnded() bool {
	for _, id := range sim.acknowledged {
		if sim.finalStates[id] == 0 {
			return false
		}
	}
	return true
}
