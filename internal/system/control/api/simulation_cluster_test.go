package api

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
	"cinderroad/internal/testkit/eventqueue"
)

// simulation is a cluster of control machines in virtual time: each runs the committer and its state machine over a
// model of the replicated log that does whatever real replicas may do. Handlers run as coroutines, one at a time, so
// that a seed replays.
type simulation struct {
	seed         uint64
	random       *rand.Rand
	now          time.Duration // virtual
	events       eventqueue.Queue
	verbose      bool
	failure      string
	faultsActive bool // false once recovery begins
	mutation     mutation
	profile      simulationProfile

	nodes         []*simulatedNode
	log           []logEntry
	inFlight      []*pendingProposal
	noQuorumUntil time.Duration
	checker       *checker
	clients       []simulatedClient
}

// mutation is a set of safeguards that are disabled.
type mutation struct {
	rejectForgotten     bool // a forgotten request counts as superseded
	rejectPremature     bool // a request whose base is not in force yet counts as superseded
	splitLookup         bool // verdict and base are read at two moments
	skipBaseCheck       bool // changes are applied on any base
	uniqueDigests       bool // copies of a request have different digests
	skipRevisionCheck   bool // evacuations are applied whatever was applied before
	skipNoopEvacuations bool // an evacuation that changes nothing is not committed
	retrySuperseded     bool // a superseded evacuation is attempted again
	ignoreCancellation  bool // requests of disconnected callers are served
	staleReads          bool // reads skip the barrier
	acknowledgeEarly    bool // changes are acknowledged before they are committed
	rejectUnknown       bool // an unknown outcome is reported as a conflict
	lossySnapshots      bool // snapshots lose the accepted changes
}

// simulationProfile holds the parameters that a seed draws.
type simulationProfile struct {
	Nodes         int
	Delay         time.Duration // largest of a message that is not late
	LateRatio     float64       // of messages that take up to LateDelay more
	LateDelay     time.Duration
	LostRatio     float64 // of responses to clients
	UnknownRatio  float64 // of proposals whose outcome stays unknown
	FaultInterval time.Duration
	ThinkTime     time.Duration
	HistoryLimit  int // changes after which one counts as forgotten; 0: state.RetainedChanges
}

// logEntry is an entry of the replicated log; its log index is its slice index plus one.
type logEntry struct {
	command []byte
	result  string // that every node has to compute
}

// pendingProposal is a command that may still be committed.
type pendingProposal struct{ dropped bool }

// simulatedNode is a control machine. Its snapshot survives the process.
type simulatedNode struct {
	sim           *simulation
	number        int
	state         *state.Configuration
	applied       int // log entries
	snapshot      []byte
	snapshotIndex int
	up            bool
	incarnation   int
	frozenUntil   time.Duration
	tasks         []*handlerTask
	waiters       []appliedWaiter
}

// appliedWaiter is resumed once the log is applied up to an index.
type appliedWaiter struct {
	index  int
	resume func()
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{seed: seed, random: rand.New(rand.NewPCG(seed, 23)), faultsActive: true}
	sim.checker = newChecker(sim)
	sim.profile = simulationProfile{
		Nodes:         []int{1, 2, 3, 3, 3, 5}[sim.random.IntN(6)],
		Delay:         sim.logUniform(time.Millisecond, 80*time.Millisecond),
		LateRatio:     0.2 * sim.random.Float64(),
		LateDelay:     sim.logUniform(200*time.Millisecond, 8*time.Second),
		LostRatio:     0.6 * sim.random.Float64(),
		UnknownRatio:  0.4 * sim.random.Float64(),
		FaultInterval: sim.logUniform(300*time.Millisecond, 4*time.Second),
		ThinkTime:     sim.logUniform(20*time.Millisecond, 800*time.Millisecond),
	}
	if sim.chance(0.4) {
		sim.profile.HistoryLimit = 1 + sim.random.IntN(20)
	}
	return sim
}

func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

func (sim *simulation) durationBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Int64N(int64(high-low)+1))
}

// logUniform draws a duration whose logarithm is uniform.
func (sim *simulation) logUniform(low, high time.Duration) time.Duration {
	return time.Duration(float64(low) * math.Pow(float64(high)/float64(low), sim.random.Float64()))
}

// networkDelay draws the time that a message takes.
func (sim *simulation) networkDelay() time.Duration {
	if sim.faultsActive && sim.chance(sim.profile.LateRatio) {
		return sim.durationBetween(sim.profile.Delay, sim.profile.Delay+sim.profile.LateDelay)
	}
	return sim.durationBetween(sim.profile.Delay/4, sim.profile.Delay)
}

func (sim *simulation) logf(format string, args ...any) {
	if sim.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{sim.now.Seconds()}, args...)...)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("seed %d, at %v: ", sim.seed, sim.now) + fmt.Sprintf(format, args...)
		sim.logf("FAILED %s", sim.failure)
	}
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.events.Schedule(float64(sim.now+max(d, 0)), do)
}

// run processes events for a span of virtual time.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for sim.failure == "" {
		at, do, is := sim.events.PopUntil(float64(end))
		if !is {
			break
		}
		sim.now = time.Duration(at)
		do()
	}
	sim.now = end
}

// start starts nodes, clients and faults.
func (sim *simulation) start() {
	for i := range sim.profile.Nodes {
		node := &simulatedNode{sim: sim, number: i}
		sim.nodes = append(sim.nodes, node)
		sim.after(sim.durationBetween(0, time.Second), node.start)
	}
	for i := range 3 {
		sim.addConfigurationClient(i)
	}
	for _, zone := range simulatedZones {
		sim.addEvacuationClient(zone)
	}
	sim.after(time.Second, sim.injectFault)
}

// injectFault injects one random fault and schedules the next.
func (sim *simulation) injectFault() {
	if !sim.faultsActive {
		return
	}
	sim.after(sim.durationBetween(sim.profile.FaultInterval/4, sim.profile.FaultInterval), sim.injectFault)
	node := sim.nodes[sim.random.IntN(len(sim.nodes))]
	span := sim.logUniform(5*time.Millisecond, 5*time.Second)
	switch sim.random.IntN(7) {
	case 0, 1:
		node.restart(span)
	case 2:
		sim.logf("all nodes are killed")
		for _, p := range sim.inFlight {
			p.dropped = p.dropped || sim.chance(0.5)
		}
		for _, each := range sim.nodes {
			each.restart(sim.durationBetween(time.Millisecond, span))
		}
	case 3:
		sim.logf("node %d freezes for %v", node.number, span)
		node.frozenUntil = max(node.frozenUntil, sim.now+span)
	case 4:
		sim.logf("no quorum for %v", span)
		sim.noQuorumUntil = max(sim.noQuorumUntil, sim.now+span)
	case 5:
		node.takeSnapshot()
	case 6:
		sim.logf("node %d is replaced by an empty one", node.number)
		node.kill()
		node.snapshot = nil
		node.snapshotIndex = 0
		sim.after(span, node.start)
	}
}

// heal ends all faults and has the clients finish.
func (sim *simulation) heal() {
	sim.logf("all faults end")
	sim.faultsActive = false
	sim.noQuorumUntil = 0
	for _, node := range sim.nodes {
		node.frozenUntil = sim.now
		node.start()
	}
	for _, client := range sim.clients {
		client.finish()
	}
}

// start starts the process from its snapshot; the rest of the log follows.
func (n *simulatedNode) start() {
	if n.up {
		return
	}
	n.up = true
	n.incarnation++
	n.state = n.newState()
	n.applied = 0
	if n.snapshot != nil {
		n.restore(n.snapshot, n.snapshotIndex)
	}
	n.scheduleApply(len(n.sim.log))
}

func (n *simulatedNode) newState() *state.Configuration {
	return state.NewConfiguration(func() time.Duration { return n.sim.now }, func() {})
}

func (n *simulatedNode) restore(snapshot []byte, at int) {
	if err := n.state.Restore(uint64(at), snapshot); err != nil {
		n.sim.fail("node %d rejects a snapshot: %v", n.number, err)
	}
	n.applied = at
}

// restart kills the process and starts it again after a downtime.
func (n *simulatedNode) restart(downtime time.Duration) {
	n.kill()
	n.sim.after(downtime, n.start)
}

func (n *simulatedNode) kill() {
	if !n.up {
		return
	}
	n.sim.logf("node %d is killed", n.number)
	n.up = false
	n.incarnation++
	for _, t := range n.tasks {
		t.stopNow()
	}
	n.tasks, n.waiters = nil, nil
	n.frozenUntil = n.sim.now
}

func (n *simulatedNode) takeSnapshot() {
	if n.up {
		n.snapshot = n.state.Snapshot()
		n.snapshotIndex = n.applied
		if n.sim.mutation.lossySnapshots {
			n.snapshot = snapshotWithoutChanges(n.state)
		}
	}
}

// whenRunning calls do in this incarnation of the process, once it is not frozen.
func (n *simulatedNode) whenRunning(do func()) {
	incarnation := n.incarnation
	var check func()
	check = func() {
		switch {
		case !n.up || n.incarnation != incarnation:
		case n.sim.now < n.frozenUntil:
			n.sim.after(n.frozenUntil-n.sim.now, check)
		default:
			do()
		}
	}
	check()
}

// scheduleApply applies the log up to an index after a network delay.
func (n *simulatedNode) scheduleApply(index int) {
	if !n.up {
		return
	}
	incarnation := n.incarnation
	n.sim.after(n.sim.networkDelay(), func() {
		if n.incarnation == incarnation {
			n.whenRunning(func() { n.applyTo(index) })
		}
	})
}

// applyTo applies the log up to an index, at times by a snapshot of another node.
func (n *simulatedNode) applyTo(index int) {
	sim := n.sim
	if other := sim.nodes[sim.random.IntN(len(sim.nodes))]; other.up && other.applied > n.applied+5 && sim.chance(0.3) {
		n.restore(other.state.Snapshot(), other.applied)
	}
	for n.applied < index {
		entry := &sim.log[n.applied]
		n.applied++
		command := sim.mutateCommand(n.state, n.applied, entry.command)
		result := n.state.Apply(uint64(n.applied), command)
		if string(result) != entry.result {
			sim.fail("node %d: the result at %d differs from the committed one", n.number, n.applied)
		}
	}
	var waiting []appliedWaiter
	for _, wait := range n.waiters {
		if wait.index <= n.applied {
			sim.after(0, wait.resume)
		} else {
			waiting = append(waiting, wait)
		}
	}
	n.waiters = waiting
}

// commit appends a command to the log and tells the nodes.
func (sim *simulation) commit(command []byte) []byte {
	index := len(sim.log) + 1
	result := sim.checker.apply(index, command)
	sim.log = append(sim.log, logEntry{command: command, result: string(result)})
	for _, node := range sim.nodes {
		node.scheduleApply(index)
	}
	return result
}

// handlerTask is an API handler that runs as a coroutine on a node.
type handlerTask struct {
	node      *simulatedNode
	next      func() (suspension, bool)
	stop      func()
	yield     func(suspension) bool
	ended     bool
	deadline  time.Duration
	cancelled bool // the node knows that the caller has disconnected
}

// suspension starts what a coroutine waits for. It calls resume later, never synchronously.
type suspension func(resume func())

// runHandler runs a handler on the node.
func (n *simulatedNode) runHandler(cancelled bool, handle func(t *handlerTask)) *handlerTask {
	t := &handlerTask{node: n, deadline: n.sim.now + ResponseTimeout, cancelled: cancelled}
	t.next, t.stop = iter.Pull(iter.Seq[suspension](func(yield func(suspension) bool) {
		t.yield = yield
		handle(t)
	}))
	n.tasks = append(n.tasks, t)
	t.step()
	return t
}

// step runs the coroutine until it waits again or ends.
func (t *handlerTask) step() {
	if t.ended {
		return
	}
	begin, more := t.next()
	if !more {
		t.stopNow()
		t.node.tasks = slices.DeleteFunc(t.node.tasks, func(other *handlerTask) bool { return other == t })
		return
	}
	resumed := false
	begin(func() {
		if !resumed {
			resumed = true
			t.node.whenRunning(t.step)
		}
	})
}

func (t *handlerTask) stopNow() {
	t.ended = true
	t.stop()
}

// await suspends the handler; false means that the process was killed meanwhile.
func (t *handlerTask) await(begin suspension) bool {
	return !t.ended && t.yield(begin) && !t.ended
}

// sleep suspends the handler for a time.
func (t *handlerTask) sleep(d time.Duration) bool {
	return t.await(func(resume func()) { t.node.sim.after(d, resume) })
}

// remaining returns the time left until the deadline of the call.
func (t *handlerTask) remaining() time.Duration { return max(t.deadline-t.node.sim.now, 0) }

// taskContext is a call's context in virtual time. Done never fires: the handlers only check Err.
type taskContext struct {
	context.Context
	task *handlerTask
}

func (c taskContext) Err() error {
	switch {
	case c.task.ended, c.task.cancelled && !c.task.node.sim.mutation.ignoreCancellation:
		return context.Canceled
	case c.task.remaining() == 0:
		return context.DeadlineExceeded
	}
	return nil
}

var errProcessKilled = errors.New("killed")

// committer returns a committer for one call.
func (t *handlerTask) committer() *committer {
	return &committer{replicas: &simulatedReplicas{task: t}, state: &simulatedState{task: t}, prepare: prepareModelChange, sleep: t.pause}
}

// pause replaces retry.Sleep. After a frozen process resumes, either of its two timers may fire first.
func (t *handlerTask) pause(ctx context.Context, d time.Duration) bool {
	alive := t.sleep(min(d, t.remaining()))
	if alive && t.remaining() == 0 && !t.cancelled {
		return t.node.sim.chance(0.1)
	}
	return alive && ctx.Err() == nil
}

// simulatedReplicas models the replicas of a node.
type simulatedReplicas struct {
	replica.Replicas
	task *handlerTask
}

// Barrier covers what was committed before the call, and sometimes what was committed during it.
func (r *simulatedReplicas) Barrier(context.Context, feed.Partition) error {
	t := r.task
	node := r.task.node
	sim := node.sim
	if sim.mutation.staleReads {
		return nil
	}
	if sim.now < sim.noQuorumUntil || sim.faultsActive && sim.chance(0.05) {
		t.sleep(min(t.remaining(), sim.durationBetween(0, 400*time.Millisecond)))
		return &replica.UnavailableError{}
	}
	index := len(sim.log)
	if !t.sleep(sim.durationBetween(sim.profile.Delay/2, 2*sim.profile.Delay)) {
		return errProcessKilled
	}
	if sim.chance(0.5) {
		index = len(sim.log)
	}
	if node.applied < index {
		inTime := t.await(func(resume func()) {
			node.waiters = append(node.waiters, appliedWaiter{index, resume})
			sim.after(t.remaining(), resume)
		})
		if !inTime || node.applied < index {
			return &replica.UnavailableError{}
		}
	}
	return nil
}

// Propose commits a command soon, late or never, and reports the outcome or not.
func (r *simulatedReplicas) Propose(_ context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	t := r.task
	sim := t.node.sim
	if sim.now < sim.noQuorumUntil || sim.faultsActive && sim.chance(0.05) || t.remaining() == 0 && !sim.chance(0.5) {
		t.sleep(min(t.remaining(), sim.durationBetween(0, 400*time.Millisecond)))
		return nil, &replica.UnavailableError{}
	}
	if e := decodeCommand(command).evacuation; e != nil && sim.mutation.skipNoopEvacuations {
		if t.node.state.Evacuation(e.Zone).Evacuated == e.Evacuated {
			return state.Result{Outcome: state.OutcomeAlreadyAccepted}.Encode(), nil
		}
	}
	if sim.mutation.acknowledgeEarly {
		sim.propose(command, func([]byte) {})
		return state.Result{Outcome: state.OutcomeAccepted, Revision: sim.checker.versionOf(command)}.Encode(), nil
	}
	var result []byte
	unknown := sim.faultsActive && sim.chance(sim.profile.UnknownRatio)
	alive := t.await(func(resume func()) {
		sim.propose(command, func(response []byte) {
			if !unknown {
				result = response
				sim.after(sim.networkDelay(), resume)
			}
		})
		sim.after(max(sim.durationBetween(0, t.remaining()), t.remaining()/2), resume)
	})
	switch {
	case !alive:
		return nil, errProcessKilled
	case result != nil:
		return result, nil
	case sim.mutation.rejectUnknown:
		return state.Result{Outcome: state.OutcomeConflict}.Encode(), nil
	}
	return nil, &replica.UnknownOutcomeError{}
}

// propose sends a command towards the log: it is lost, or committed once.
func (sim *simulation) propose(command []byte, agreed func(result []byte)) {
	if sim.faultsActive && sim.chance(0.1) {
		return
	}
	p := &pendingProposal{}
	sim.inFlight = append(sim.inFlight, p)
	sim.after(sim.networkDelay(), func() {
		sim.inFlight = slices.DeleteFunc(sim.inFlight, func(other *pendingProposal) bool { return other == p })
		if !p.dropped {
			agreed(sim.commit(command))
		}
	})
}

// simulatedState is a node's state as its committer reads it.
type simulatedState struct{ task *handlerTask }

// CheckRequest returns the state machine's, with the profile's history limit and the mutations.
func (o *simulatedState) CheckRequest(basedOn uint64, digest state.Digest) state.RequestStatus {
	node := o.task.node
	sim := node.sim
	status := node.state.CheckRequest(basedOn, digest)
	if sim.mutation.splitLookup && status.Verdict == state.VerdictOpen {
		o.task.sleep(sim.durationBetween(0, sim.profile.Delay))
		if status = node.state.CheckRequest(basedOn, digest); status.Verdict != state.VerdictOpen {
			status.Verdict = state.VerdictSuperseded
		}
	}
	old := status.Verdict == state.VerdictAccepted || status.Verdict == state.VerdictSuperseded
	if old && sim.profile.HistoryLimit > 0 && sim.checker.countChanges(basedOn, node.state.Version()) > sim.profile.HistoryLimit {
		status.Verdict = state.VerdictForgotten
	}
	if sim.mutation.rejectForgotten && status.Verdict == state.VerdictForgotten ||
		sim.mutation.rejectPremature && status.Verdict == state.VerdictPremature {
		status.Verdict = state.VerdictSuperseded
	}
	return status
}

// Evacuation returns the state machine's, with the mutations.
func (o *simulatedState) Evacuation(zone string) state.Evacuation {
	evacuation := o.task.node.state.Evacuation(zone)
	if o.task.node.sim.mutation.retrySuperseded {
		evacuation.LastOrder = 0
	}
	return evacuation
}
