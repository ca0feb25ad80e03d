package jobreplica_test

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
	"cinderroad/internal/testkit/eventqueue"
	"cinderroad/internal/testkit/mutate"
)

// simulation is a cluster whose members replicate jobs, in virtual time. The state machines are the real ones; everything else is
// drawn from a seed. Clients submit jobs at any member; members send waiting jobs, under committed fencing tokens, and workers
// record what they run.
type simulation struct {
	now             float64 // seconds
	events          eventqueue.Queue
	rng             *rand.Rand
	hosts           []*simulatedHost
	replicaCount    int
	lastIncarnation uint64
	idle            bool // no job is sent

	// The network.
	sentMessages int // datagrams
	tamper       mutate.Tamper
	partitioned  func(from, to int) bool // by index of the host; nil: no partition
	dropRate     float64

	// What clients, workers and the log have seen.
	submittedJobs int
	acknowledged  map[string]uint64            // the job's ID that the client was told, by key
	finalStates   map[uint64]jobstate.JobState // by job ID
	runs          map[uint64][]workerRun       // by job ID
	owners        map[uint64]string            // whose worker has the job, by ID, until it ends or is abandoned
	committed     map[uint64]uint64            // hash of the command, by log index
	violation     error                        // the first one

	// Planted faults.
	sendBeforeCommit bool // members send jobs before the send is committed
	ignoreFencing    bool // a send is applied whoever has sent since
	ignoreKeys       bool // a key used twice is two jobs
	reuseIncarnation bool // a process that has lost its memory comes back under the same member ID
}

// workerRun is a worker's record that it ran a job.
type workerRun struct {
	group        string
	fencingToken uint64
	startedAt    float64
}

// simulatedHost is a member's host. Its process may pause, be killed and restart as another incarnation.
type simulatedHost struct {
	index          int
	member         jobreplica.Member
	replica        *jobreplica.Replica // nil: killed
	state          *jobstate.State
	fragmenter     *jobreplica.Fragmenter
	paused         bool
	heldDatagrams  [][]byte // received while paused
	generation     int      // changes with each start and kill
	pendingSubmits map[string]jobstate.Command
}

var stateLimits = jobstate.Limits{TotalBytes: 1 << 20, TenantBytes: 1 << 20, JobBytes: 8 << 10, ResultRetentionMS: 600_000}

// newOptions returns the options of a replica with the timeouts of the simulation.
func newOptions(self jobreplica.Member, seed uint64, replicas int, stateMachine jobreplica.StateMachine) jobreplica.Options {
	return jobreplica.Options{
		Self:                self,
		Seed:                seed,
		Replicas:            replicas,
		StateMachine:        stateMachine,
		ElectionTimeout:     1,
		HeartbeatInterval:   0.1,
		ReplaceAfter:        8,
		CompactionThreshold: 64,
		MaxCommandBytes:     64 << 10,
	}
}

// newSimulation starts a cluster of which the first chosen replicas are bootstrapped.
func newSimulation(seed uint64, members, replicas int) *simulation {
	sim := &simulation{
		now:          1000,
		rng:          rand.New(rand.NewPCG(seed, 5)),
		tamper:       mutate.DeliverUnchanged,
		replicaCount: replicas,
		acknowledged: map[string]uint64{},
		finalStates:  map[uint64]jobstate.JobState{},
		runs:         map[uint64][]workerRun{},
		committed:    map[uint64]uint64{},
		owners:       map[uint64]string{},
	}
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
					sim.fail("bootstrap: %v", err)
				}
			}
		}
	}
	return sim
}

func (sim *simulation) schedule(at float64, do func()) { sim.events.Schedule(at, do) }

// fail records the first violation.
func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf("at %.3f: "+format, append([]any{sim.now}, args...)...)
	}
}

// view returns the members whose processes run.
func (sim *simulation) view() (view []jobreplica.Member) {
	for _, host := range sim.hosts {
		if host.replica != nil && !host.paused {
			view = append(view, host.member)
		}
	}
	return view
}

// startHost starts a new process, which knows nothing of the one before.
func (sim *simulation) startHost(host *simulatedHost) {
	sim.lastIncarnation++
	if !sim.reuseIncarnation || host.member.ID == 0 {
		host.member = jobreplica.Member{
			ID:   sim.lastIncarnation,
			Name: fmt.Sprintf("m%02d", host.index),
			Host: fmt.Sprintf("host%02d", host.index),
			Zone: fmt.Sprint(host.index % 3),
		}
	}
	host.generation++
	host.state = jobstate.New(stateLimits)
	host.fragmenter = jobreplica.NewFragmenter("test", host.member.ID, 1<<20)
	host.pendingSubmits = map[string]jobstate.Command{}
	host.heldDatagrams = nil
	host.paused = false
	stateMachine := &plantedStateMachine{host.state, sim}
	host.replica = jobreplica.New(sim.now, newOptions(host.member, sim.lastIncarnation, sim.replicaCount, stateMachine))
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
				sim.kill(host) // its state is outdated: it goes on as another incarnation
				sim.startHost(host)
				return
			}
		}
		sim.schedule(sim.now+0.05, tick)
	}
	sim.schedule(sim.now+0.01*sim.rng.Float64(), tick)
}

func (sim *simulation) kill(host *simulatedHost) {
	host.replica = nil
	host.paused = false
	host.heldDatagrams = nil
	host.generation++
}

// resume continues a paused process; it receives what came meanwhile.
func (sim *simulation) resume(host *simulatedHost) {
	host.paused = false
	datagrams := host.heldDatagrams
	host.heldDatagrams = nil
	for _, datagram := range datagrams {
		sim.receive(host, datagram)
	}
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

// leader returns a host that leads, as far as it knows, or else any.
func (sim *simulation) leader() *simulatedHost {
	for _, host := range sim.hosts {
		if host.replica != nil && !host.paused && host.replica.IsLeader() {
			return host
		}
	}
	return sim.hosts[0]
}

// follower returns a voter that does not lead, or else any host.
func (sim *simulation) follower() *simulatedHost {
	for _, host := range sim.hosts {
		if host.replica != nil && host.replica.IsVoter() && !host.replica.IsLeader() {
			return host
		}
	}
	return sim.hosts[0]
}

func (sim *simulation) voters() (voters []*simulatedHost) {
	for _, host := range sim.hosts {
		if host.replica != nil && host.replica.IsVoter() {
			voters = append(voters, host)
		}
	}
	return voters
}

// processOutput sends what a member has to send and checks what it has applied.
func (sim *simulation) processOutput(host *simulatedHost) {
	if host.replica == nil {
		return
	}
	if voters, _ := host.replica.Members(); host.replica.IsVoter() && len(voters) < sim.replicaCount-1 {
		sim.fail("%s has %d voters of %d", host.member.Name, len(voters), sim.replicaCount)
	}
	outgoing, applied := host.replica.TakeOutput()
	for _, entry := range applied {
		if sim.committed[entry.Index] == 0 {
			sim.committed[entry.Index] = xxhash.Sum64(entry.Command)
		} else if sim.committed[entry.Index] != xxhash.Sum64(entry.Command) {
			sim.fail("log entry %d differs at %s", entry.Index, host.member.Name)
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

// send has the tamper decide what becomes of a datagram.
func (sim *simulation) send(host *simulatedHost, to uint64, datagram []byte) {
	number := sim.sentMessages
	sim.sentMessages++
	for _, delivery := range sim.tamper(number, mutate.Message{From: host.member.ID, To: to, Data: datagram}) {
		sim.deliver(host, delivery)
	}
}

// deliver schedules the reception of a datagram.
func (sim *simulation) deliver(from *simulatedHost, delivery mutate.Delivery) {
	delay := delivery.Delay + 0.001 + 0.002*sim.rng.Float64()
	for _, to := range sim.hosts {
		if to.member.ID != delivery.To || to.replica == nil || sim.rng.Float64() < sim.dropRate ||
			sim.partitioned != nil && sim.partitioned(from.index, to.index) {
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
		host.replica.Step(sim.now, message) // what it rejects changes nothing
	}
	sim.processOutput(host)
}
