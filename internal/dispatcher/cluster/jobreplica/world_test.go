package jobreplica_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
	"cinderroad/internal/testkit/eventqueue"
	"cinderroad/internal/testkit/mutate"
)

// simulation is members that hold promises together, over virtual time: the real machines, everything else drawn from a seed. Parties hand in jobs at
// any member; members send what waits, under agreed fences, and workers keep their own books.
type simulation struct {
	now              float64
	events           eventqueue.Queue
	rng              *rand.Rand
	hosts            []*simulatedHost
	sentMessages     int
	tamper           mutate.Tamper
	partitioned      func(from, to int) bool
	dropRate         float64
	replicaCount     int
	lastIncarnation  uint64
	acknowledged     map[string]uint64 // by key: the number that the party was told
	finalStates      map[uint64]jobstate.JobState
	runs             map[uint64][]workerRun // what workers ran, by job
	committed        map[uint64]uint64      // digest of the state at each place of the log
	owners           map[uint64]string      // who has a job at its workers, by job, until it ends or is given up
	violation        error
	submittedJobs    int
	sendBeforeCommit bool // planted: members send what waits without agreement
	ignoreFencing    bool // planted: a send is agreed whoever has sent since
	ignoreKeys       bool // planted: the same key twice is two promises
	reuseIncarnation bool // planted: who lost its memory comes back as itself
	idle             bool // no more jobs are handed in or sent
}

type workerRun struct {
	group        string
	fencingToken uint64
	startedAt    float64
}

// simulatedHost is one member's: its process may stop, be killed and come back as another life.
type simulatedHost struct {
	index          int
	member         jobreplica.Member
	replica        *jobreplica.Replica
	state          *jobstate.State
	fragmenter     *jobreplica.Fragmenter
	paused         bool
	heldDatagrams  [][]byte
	generation     int // counts its processes
	pendingSubmits map[string]jobstate.Command
}

func (sim *simulation) schedule(at float64, do func()) { sim.events.Schedule(at, do) }

var stateLimits = jobstate.Limits{TotalBytes: 1 << 20, TenantBytes: 1 << 20, JobBytes: 8 << 10, ResultRetentionMS: 600_000}

// newSimulation is a fleet of n members of which the first so many found the state.
func newSimulation(seed uint64, members, replicas int) *simulation {
	sim := &simulation{now: 1000, rng: rand.New(rand.NewPCG(seed, 5)), tamper: mutate.DeliverUnchanged, replicaCount: replicas, acknowledged: map[string]uint64{},
		finalStates: map[uint64]jobstate.JobState{}, runs: map[uint64][]workerRun{}, committed: map[uint64]uint64{}, owners: map[uint64]string{}}
	for i := range members {
		host := &simulatedHost{index: i}
		sim.hosts = append(sim.hosts, host)
		sim.startHost(host)
	}
	view := sim.view()
	founders := jobreplica.ChooseMembers(view, nil, replicas)
	for _, host := range sim.hosts {
		for _, m := range founders {
			if m.ID == host.member.ID {
				if err := host.replica.Bootstrap(founders); err != nil {
					sim.fail("founding: %v", err)
				}
			}
		}
	}
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf("at %.3f: "+format, append([]any{sim.now}, args...)...)
	}
}

func (sim *simulation) view() (view []jobreplica.Member) {
	for _, host := range sim.hosts {
		if host.replica != nil && !host.paused {
			view = append(view, host.member)
		}
	}
	return view
}

// startHost is a new process of a place: nothing of the one before is left.
func (sim *simulation) startHost(host *simulatedHost) {
	if sim.lastIncarnation++; !sim.reuseIncarnation || host.member.ID == 0 {
		host.member = jobreplica.Member{ID: sim.lastIncarnation, Name: fmt.Sprintf("m%02d", host.index), Host: fmt.Sprintf("host%02d", host.index), Zone: fmt.Sprint(host.index % 3)}
	}
	host.generation++
	host.state = jobstate.New(stateLimits)
	host.fragmenter = jobreplica.NewFragmenter("test", host.member.ID, 1<<20)
	host.pendingSubmits = map[string]jobstate.Command{}
	host.heldDatagrams, host.paused = nil, false
	host.replica = jobreplica.New(sim.now, jobreplica.Options{Self: host.member, Seed: sim.lastIncarnation, Replicas: sim.replicaCount, StateMachine: &plantedStateMachine{host.state, sim}, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 8,
		CompactionThreshold: 64, MaxCommandBytes: 64 << 10})
	generation := host.generation
	var tick func()
	tick = func() {
		if host.generation != generation || host.replica == nil {
			return
		}
		if !host.paused {
			host.replica.SetCandidates(sim.view())
			host.replica.Tick(sim.now)
			sim.processOutput(host)
			if replaced := new(jobreplica.ReplacedError); errors.As(host.replica.Err(), &replaced) {
				sim.kill(host) // what it knew is old: it goes on as another life
				sim.startHost(host)
				return
			}
		}
		sim.schedule(sim.now+0.05, tick)
	}
	sim.schedule(sim.now+0.01*sim.rng.Float64(), tick)
}

func (sim *simulation) kill(host *simulatedHost) {
	host.replica, host.paused, host.heldDatagrams = nil, false, nil
	host.generation++
}

func (sim *simulation) resume(host *simulatedHost) {
	host.paused = false
	datagrams := host.heldDatagrams
	host.heldDatagrams = nil
	for _, datagram := range datagrams {
		sim.receive(host, datagram)
	}
}

// plantedStateMachine is the state as the copies use it, with the planted faults.
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

// processOutput sends what a member has to say and looks at what it applied.
func (sim *simulation) processOutput(host *simulatedHost) {
	if host.replica == nil {
		return
	}
	if voters, _ := host.replica.Members(); host.replica.IsVoter() && len(voters) < sim.replicaCount-1 {
		sim.fail("%s counts %d copies of %d", host.member.Name, len(voters), sim.replicaCount)
	}
	outgoing, applied := host.replica.TakeOutput()
	for _, entry := range applied {
		if sim.committed[entry.Index] == 0 {
			sim.committed[entry.Index] = xxhash.Sum64(entry.Command)
		} else if sim.committed[entry.Index] != xxhash.Sum64(entry.Command) {
			sim.fail("place %d of the log differs at %s", entry.Index, host.member.Name)
		}
		sim.handleApplied(host, entry)
	}
	for _, message := range outgoing {
		for _, datagram := range host.fragmenter.Fragment(message) {
			sim.send(host, message.To, datagram)
		}
	}
	for _, message := range host.fragmenter.Tick(sim.now) {
		sim.send(host, message.To, message.Data)
	}
}

func (sim *simulation) send(host *simulatedHost, to uint64, datagram []byte) {
	number := sim.sentMessages
	sim.sentMessages++
	for _, delivery := range sim.tamper(number, mutate.Message{From: host.member.ID, To: to, Data: datagram}) {
		sim.deliver(host, delivery)
	}
}

func (sim *simulation) deliver(from *simulatedHost, delivery mutate.Delivery) {
	delay := delivery.Delay + 0.001 + 0.002*sim.rng.Float64()
	for _, to := range sim.hosts {
		if to.member.ID != delivery.To || to.replica == nil || sim.rng.Float64() < sim.dropRate || sim.partitioned != nil && sim.partitioned(from.index, to.index) {
			continue
		}
		generation := to.generation
		sim.schedule(sim.now+delay, func() {
			switch {
			case to.generation != generation || to.replica == nil:
			case to.paused:
				to.heldDatagrams = append(to.heldDatagrams, delivery.Data)
			default:
				sim.receive(to, delivery.Data)
			}
		})
	}
}

func (sim *simulation) receive(host *simulatedHost, datagram []byte) {
	message, err := host.fragmenter.Reassemble(datagram)
	if err == nil && message != nil {
		host.replica.Step(sim.now, message) // what it refuses changes nothing
	}
	sim.processOutput(host)
}

// submitJob has a party ask a member to take a job, again and again under one key until it is told a number.
func (sim *simulation) submitJob(key string, effect jobstate.Effect) {
	sim.submittedJobs++
	sim.schedule(sim.now, func() { sim.proposeSubmit(key, effect) })
}

func (sim *simulation) proposeSubmit(key string, effect jobstate.Effect) {
	if sim.acknowledged[key] != 0 {
		return
	}
	host := sim.hosts[sim.rng.IntN(len(sim.hosts))]
	command := jobstate.Command{Kind: jobstate.CommandSubmit, TimeMS: int64(sim.now * 1000), Proposer: host.member.Name, Tenant: "t", Key: key, Class: fmt.Sprint(effect), Effect: effect,
		DeduplicationWindowMS: 5000, Data: []byte(key)}
	if host.replica != nil && !host.paused && host.replica.IsVoter() {
		host.pendingSubmits[key] = command
		host.replica.Propose(sim.now, command.Encode())
		sim.processOutput(host)
	}
	sim.schedule(sim.now+0.5+sim.rng.Float64(), func() { sim.proposeSubmit(key, effect) })
}

// handleApplied is what a member does once a command is agreed.
func (sim *simulation) handleApplied(host *simulatedHost, applied jobreplica.Applied) {
	command, err := jobstate.Decode(applied.Command)
	if err != nil {
		sim.fail("agreed on what nobody can read: %v", err)
		return
	}
	result := applied.Result.(jobstate.Result)
	switch command.Kind {
	case jobstate.CommandSubmit:
		if _, mine := host.pendingSubmits[command.Key]; mine && result.Err == nil { // the party is told
			if previous := sim.acknowledged[command.Key]; previous != 0 && previous != result.Job.ID {
				sim.fail("key %s is promised twice: %d and %d", command.Key, previous, result.Job.ID)
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

// runJob is the first byte going out: a worker of the group runs the job, and tells its end a while later to who sent it.
func (sim *simulation) runJob(host *simulatedHost, job jobstate.Job, command jobstate.Command) {
	sim.checkRun(job, workerRun{command.WorkerGroup, job.FencingToken, sim.now})
	if previous, owned := sim.owners[job.ID]; owned {
		sim.fail("job %d is sent by %s while %s has it", job.ID, sim.ownerName(host), previous)
	}
	sim.owners[job.ID] = sim.ownerName(host)
	sim.runs[job.ID] = append(sim.runs[job.ID], workerRun{command.WorkerGroup, job.FencingToken, sim.now})
	generation := host.generation
	sim.schedule(sim.now+0.2+sim.rng.Float64(), func() { sim.proposeEnd(host, generation, job.ID, job.FencingToken) })
}

// checkRun is P7 by the workers' own books.
func (sim *simulation) checkRun(job jobstate.Job, next workerRun) {
	for _, previous := range sim.runs[job.ID] {
		switch {
		case job.Effect == jobstate.Unsafe:
			sim.fail("job %d, unsafe, ran twice", job.ID)
		case job.Effect == jobstate.Keyed && (previous.group != next.group || next.startedAt-previous.startedAt > 5.5):
			sim.fail("job %d, keyed, ran in group %s at %.1f and %s at %.1f", job.ID, previous.group, previous.startedAt, next.group, next.startedAt)
		}
	}
}

// proposeEnd has the sender say the end until it is agreed.
func (sim *simulation) proposeEnd(host *simulatedHost, generation int, id, fencingToken uint64) {
	if host.generation != generation || host.replica == nil || sim.finalStates[id] != 0 {
		return
	}
	if !host.paused {
		command := jobstate.Command{Kind: jobstate.CommandEnd, TimeMS: int64(sim.now * 1000), Proposer: sim.ownerName(host), ID: id, FencingToken: fencingToken, Data: []byte("done")}
		host.replica.Propose(sim.now, command.Encode())
		sim.processOutput(host)
	}
	sim.schedule(sim.now+0.7, func() { sim.proposeEnd(host, generation, id, fencingToken) })
}

// dispatchJobs has each member send what waits, and the leader give up what was sent by lives that are gone.
func (sim *simulation) dispatchJobs() {
	if !sim.idle {
		for _, host := range sim.hosts {
			if host.replica == nil || host.paused || !host.replica.IsVoter() {
				continue
			}
			if waiting := host.state.Waiting(); len(waiting) > 0 {
				job := waiting[sim.rng.IntN(len(waiting))]
				command := jobstate.Command{Kind: jobstate.CommandSend, TimeMS: int64(sim.now * 1000), Proposer: sim.ownerName(host), ID: job.ID, FencingToken: job.FencingToken, Worker: "w",
					WorkerGroup: fmt.Sprint(sim.rng.IntN(2))}
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
			command := jobstate.Command{Kind: jobstate.CommandAbandon, TimeMS: int64(sim.now * 1000), Proposer: sim.ownerName(host), ID: job.ID, FencingToken: job.FencingToken}
			host.replica.Propose(sim.now, command.Encode())
		}
	}
	sim.processOutput(host)
}

func (sim *simulation) runUntil(until float64) {
	for sim.violation == nil {
		at, do, ok := sim.events.PopUntil(until)
		if !ok {
			break
		}
		sim.now = at
		do()
	}
	sim.now = until
}

// finishAndCheck ends all faults, waits for every job's end, and checks what must hold then.
func (sim *simulation) finishAndCheck() error {
	sim.dropRate, sim.partitioned = 0, nil
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
		return fmt.Errorf("%d copies of %d after all faults", len(voters), sim.replicaCount)
	}
	if len(sim.acknowledged) != sim.submittedJobs {
		return fmt.Errorf("%d of %d jobs were never taken", sim.submittedJobs-len(sim.acknowledged), sim.submittedJobs)
	}
	for key, id := range sim.acknowledged {
		for _, host := range voters {
			job := host.state.FindByKey("t", key)
			if job == nil || job.ID != id {
				return fmt.Errorf("%s lost job %d of key %s", host.member.Name, id, key)
			}
			if !job.State.Terminal() {
				return fmt.Errorf("job %d has no end: %s, fence %d of %s", id, job.State, job.FencingToken, job.Owner)
			}
			if finalState := sim.finalStates[id]; finalState != job.State {
				return fmt.Errorf("job %d ended as %s and is held as %s", id, finalState, job.State)
			}
			if job.State == jobstate.Done && len(sim.runs[id]) == 0 {
				return fmt.Errorf("job %d is done and no worker ran it", id)
			}
		}
	}
	for _, host := range voters[1:] {
		if host.replica.AppliedIndex() != voters[0].replica.AppliedIndex() {
			return fmt.Errorf("%s has applied %d commands and %s %d", host.member.Name, host.replica.AppliedIndex(), voters[0].member.Name, voters[0].replica.AppliedIndex())
		}
		if host.state.Digest() != voters[0].state.Digest() {
			return errors.New("two copies hold different states")
		}
	}
	return sim.violation
}

func (sim *simulation) voters() (voters []*simulatedHost) {
	for _, host := range sim.hosts {
		if host.replica != nil && host.replica.IsVoter() {
			voters = append(voters, host)
		}
	}
	return voters
}

// converged says whether as many copies count as there should be, and all have applied the same.
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

// outcome is what the parties were told, by key.
func (sim *simulation) outcome() string {
	keys := make([]string, 0, len(sim.acknowledged))
	for key, id := range sim.acknowledged {
		keys = append(keys, fmt.Sprint(key, " ", sim.finalStates[id]))
	}
	slices.Sort(keys)
	return fmt.Sprint(keys)
}
