package jobreplica_test

import (
	"fmt"
	"slices"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
)

// plantedStateMachine is the state as the replicas use it, with the planted faults.
type plantedStateMachine struct {
	*jobstate.State
	sim *simulation
}

func (m *plantedStateMachine) Apply(index uint64, command []byte) (any, error) {
	if m.sim.ignoreFencing || m.sim.ignoreKeys {
		if decoded, err := jobstate.Decode(command); err == nil {
			if job := m.Job(decoded.ID); decoded.Kind == jobstate.CommandSend && m.sim.ignoreFencing && job != nil {
				decoded.FencingToken = job.FencingToken
			}
			if decoded.Kind == jobstate.CommandSubmit && m.sim.ignoreKeys {
				decoded.Key += fmt.Sprint(" ", index)
			}
			command = decoded.Encode()
		}
	}
	return m.State.Apply(index, command)
}

// submitJob has a client submit a job at any member, again and again under one key until it is told the job's ID.
func (sim *simulation) submitJob(key string, effect jobstate.Effect) {
	sim.submittedJobs++
	sim.schedule(sim.now, func() { sim.proposeSubmit(key, effect) })
}

// proposeSubmit is one attempt of the client.
func (sim *simulation) proposeSubmit(key string, effect jobstate.Effect) {
	if sim.acknowledged[key] != 0 {
		return
	}
	host := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	command := jobstate.Command{
		Kind:                  jobstate.CommandSubmit,
		TimeMS:                int64(sim.now * 1000),
		Proposer:              host.member.Name,
		Tenant:                "t",
		Key:                   key,
		Class:                 fmt.Sprint(effect),
		Effect:                effect,
		DeduplicationWindowMS: 5000,
		Data:                  []byte(key),
	}
	if host.replica != nil && !host.paused && host.replica.IsVoter() {
		host.pendingSubmits[key] = command
		host.replica.Propose(sim.now, command.Encode())
		sim.processOutput(host)
	}
	sim.schedule(sim.now+0.5+sim.rng.Float64(), func() { sim.proposeSubmit(key, effect) })
}

// handleApplied does what a member does once a command is applied.
func (sim *simulation) handleApplied(host *simulatedHost, applied jobreplica.Applied) {
	command, err := jobstate.Decode(applied.Command)
	if err != nil {
		sim.fail("committed command can't be decoded: %v", err)
		return
	}
	result := applied.Result.(jobstate.Result)
	switch command.Kind {
	case jobstate.CommandSubmit:
		if _, mine := host.pendingSubmits[command.Key]; mine && result.Err == nil { // the client is told
			if previous := sim.acknowledged[command.Key]; previous != 0 && previous != result.Job.ID {
				sim.fail("key %s names two jobs: %d and %d", command.Key, previous, result.Job.ID)
			}
			sim.acknowledged[command.Key] = result.Job.ID
			delete(host.pendingSubmits, command.Key)
		}
	case jobstate.CommandSend:
		if command.Proposer == sim.ownerName(host) && result.Err == nil {
			sim.runJob(host, *result.Job, command)
		}
	case jobstate.CommandEnd, jobstate.CommandAbandon:
		if result.Err == nil {
			delete(sim.owners, command.ID)
		}
		if result.Err == nil && result.Job.State.Terminal() {
			if previous := sim.finalStates[command.ID]; previous != 0 && previous != result.Job.State {
				sim.fail("job %d ended twice: %s and %s", command.ID, previous, result.Job.State)
			}
			sim.finalStates[command.ID] = result.Job.State
		}
	}
}

func (sim *simulation) ownerName(host *simulatedHost) string {
	return fmt.Sprintf("%s/%d", host.member.Name, host.generation)
}

// runJob sends a job to a worker of the group, which runs it and reports its end to the sender a while later.
func (sim *simulation) runJob(host *simulatedHost, job jobstate.Job, command jobstate.Command) {
	sim.checkRun(job, workerRun{command.WorkerGroup, job.FencingToken, sim.now})
	if previous, owned := sim.owners[job.ID]; owned {
		sim.fail("job %d is sent by %s while %s owns it", job.ID, sim.ownerName(host), previous)
	}
	sim.owners[job.ID] = sim.ownerName(host)
	sim.runs[job.ID] = append(sim.runs[job.ID], workerRun{command.WorkerGroup, job.FencingToken, sim.now})
	generation := host.generation
	sim.schedule(sim.now+0.2+sim.rng.Float64(), func() { sim.proposeEnd(host, generation, job.ID, job.FencingToken) })
}

// proposeEnd has the sender propose the end of a job until it is committed.
func (sim *simulation) proposeEnd(host *simulatedHost, generation int, id, fencingToken uint64) {
	if host.generation != generation || host.replica == nil || sim.finalStates[id] != 0 {
		return
	}
	if !host.paused {
		command := jobstate.Command{
			Kind:         jobstate.CommandEnd,
			TimeMS:       int64(sim.now * 1000),
			Proposer:     sim.ownerName(host),
			ID:           id,
			FencingToken: fencingToken,
			Data:         []byte("done"),
		}
		host.replica.Propose(sim.now, command.Encode())
		sim.processOutput(host)
	}
	sim.schedule(sim.now+0.7, func() { sim.proposeEnd(host, generation, id, fencingToken) })
}

// dispatchJobs has each member send a waiting job, and the leader abandon those whose owners are gone, each 0.1 s.
func (sim *simulation) dispatchJobs() {
	if !sim.idle {
		for _, host := range sim.hosts {
			if host.replica == nil || host.paused || !host.replica.IsVoter() {
				continue
			}
			if waiting := host.state.Waiting(); len(waiting) > 0 {
				job := waiting[sim.rng.IntN(len(waiting))]
				command := jobstate.Command{
					Kind:         jobstate.CommandSend,
					TimeMS:       int64(sim.now * 1000),
					Proposer:     sim.ownerName(host),
					ID:           job.ID,
					FencingToken: job.FencingToken,
					Worker:       "w",
					WorkerGroup:  fmt.Sprint(sim.rng.IntN(2)),
				}
				if job.WorkerGroup != "" {
					command.WorkerGroup = job.WorkerGroup
				}
				if sim.sendBeforeCommit {
					sim.runJob(host, *job, command)
				}
				host.replica.Propose(sim.now, command.Encode())
			}
			sim.processOutput(host)
			if host.replica.IsLeader() {
				sim.abandonOrphans(host)
			}
		}
	}
	sim.schedule(sim.now+0.1, sim.dispatchJobs)
}

// abandonOrphans abandons the sent jobs whose owners are no longer running.
func (sim *simulation) abandonOrphans(host *simulatedHost) {
	alive := map[string]bool{}
	for _, other := range sim.hosts {
		if other.replica != nil {
			alive[sim.ownerName(other)] = true
		}
	}
	for key := range sim.acknowledged {
		job := host.state.FindByKey("t", key)
		if job != nil && job.State == jobstate.Sent && !alive[job.Owner] {
			command := jobstate.Command{
				Kind:         jobstate.CommandAbandon,
				TimeMS:       int64(sim.now * 1000),
				Proposer:     sim.ownerName(host),
				ID:           job.ID,
				FencingToken: job.FencingToken,
			}
			host.replica.Propose(sim.now, command.Encode())
		}
	}
	sim.processOutput(host)
}

// outcome returns what the clients were told, by key.
func (sim *simulation) outcome() string {
	keys := make([]string, 0, len(sim.acknowledged))
	for key, id := range sim.acknowledged {
		keys = append(keys, fmt.Sprint(key, " ", sim.finalStates[id]))
	}
	slices.Sort(keys)
	return fmt.Sprint(keys)
}
