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

// simulation is a core's machines in virtual time: the committer of each with its state machine, over a model of the
// agreement that does whatever the replicas may do. Handlers run as coroutines, one at a time, so that a seed replays.
type simulation struct {
	seed         uint64
	random       *rand.Rand
	now          time.Duration
	events       eventqueue.Agenda
	verbose      bool
	failure      string
	faultsActive bool // they go on
	mutation     mutation
	profile      simulationProfile

	nodes         []*simulatedNode
	log           []logEntry
	inFlight      []*pendingProposal
	noQuorumUntil time.Duration // until when no majority is there
	checker       *checker
	clients       []simulatedClient
}

// mutation are safeguards that are taken out.
type mutation struct {
	rejectForgotten     bool // an order that is not remembered counts as superseded
	rejectEarly         bool // so does one whose base is not in force yet
	splitLookup         bool // whether an order was taken, and what is in force, are looked up at two moments
	skipBaseCheck       bool // when a change is applied
	uniqueDigests       bool // the same request has another digest each time
	skipSeenCheck       bool // when an evacuation is applied
	skipNoopEvacuations bool // an evacuation that changes nothing does not count as an order
	retrySuperseded     bool // an evacuation that was overtaken is tried again
	ignoreCancellation  bool // that the caller has gone is not looked at
	staleReads          bool // reads don't wait for what was acknowledged
	acknowledgeEarly    bool // before a command is agreed on
	rejectUnknown       bool // an unknown outcome counts as a conflict
	lossySnapshots      bool // a snapshot loses the changes that are remembered
}

// simulationProfile is what a seed draws.
type simulationProfile struct {
	Nodes         int
	Delay         time.Duration // of a message, at most
	LateRatio     float64       // part of the messages that take up to LateDelay
	LateDelay     time.Duration
	LostRatio     float64 // part of the answers to operators
	UnknownRatio  float64 // part of the proposals whose outcome is not known
	FaultInterval time.Duration
	ThinkTime     time.Duration
	HistoryLimit  int // changes after which one counts as forgotten; 0: as the state machine has it
}

// logEntry is an entry of the log. Its index is one more than its place.
type logEntry struct {
	command []byte
	result  string
}

// pendingProposal is one that may be agreed on yet.
type pendingProposal struct{ dropped bool }

// simulatedNode is a control machine; its snapshot outlives its process.
type simulatedNode struct {
	sim           *simulation
	number        int
	state         *state.Configuration
	applied       int // entries of the log
	snapshot      []byte
	snapshotIndex int
	up            bool
	incarnation   int
	frozenUntil   time.Duration
	tasks         []*handlerTask
	waiters       []appliedWaiter
}

// appliedWaiter goes on once entries are applied.
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

func (sim *simulation) durationBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.random.Int64N(int64(most-least)+1))
}

// logUniform draws a time whose order of magnitude may be any within a range.
func (sim *simulation) logUniform(least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), sim.random.Float64()))
}

// networkDelay is how long a message takes.
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
	sim.events.At(float64(sim.now+max(d, 0)), do)
}

// run plays for a time.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for sim.failure == "" {
		at, do, is := sim.events.Next(float64(end))
		if !is {
			break
		}
		sim.now = time.Duration(at)
		do()
	}
	sim.now = end
}

// start starts the machines and those who send orders.
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

// injectFault does one thing to the machines.
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
		sim.logf("all are killed")
		for _, p := range sim.inFlight {
			p.dropped = p.dropped || sim.chance(0.5)
		}
		for _, each := range sim.nodes {
			each.restart(sim.durationBetween(time.Millisecond, span))
		}
	case 3:
		sim.logf("%d freezes for %v", node.number, span)
		node.frozenUntil = max(node.frozenUntil, sim.now+span)
	case 4:
		sim.logf("no majority for %v", span)
		sim.noQuorumUntil = max(sim.noQuorumUntil, sim.now+span)
	case 5:
		node.takeSnapshot()
	case 6:
		sim.logf("%d is replaced by an empty machine", node.number)
		node.kill()
		node.snapshot, node.snapshotIndex = nil, 0
		sim.after(span, node.start)
	}
}

// heal ends all faults.
func (sim *simulation) heal() {
	sim.logf("all faults end")
	sim.faultsActive, sim.noQuorumUntil = false, 0
	for _, node := range sim.nodes {
		node.frozenUntil = sim.now
		node.start()
	}
	for _, client := range sim.clients {
		client.finish()
	}
}

// start starts a machine's process from its snapshot; the log comes after it.
func (n *simulatedNode) start() {
	if n.up {
		return
	}
	n.up = true
	n.incarnation++
	n.state, n.applied = n.newState(), 0
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
		n.sim.fail("machine %d does not take a snapshot: %v", n.number, err)
	}
	n.applied = at
}

// restart kills the process and starts it again.
func (n *simulatedNode) restart(down time.Duration) {
	n.kill()
	n.sim.after(down, n.start)
}

func (n *simulatedNode) kill() {
	if !n.up {
		return
	}
	n.sim.logf("%d is killed", n.number)
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
		n.snapshot, n.snapshotIndex = n.state.Snapshot(), n.applied
		if n.sim.mutation.lossySnapshots {
			n.snapshot = snapshotWithoutChanges(n.state)
		}
	}
}

// whenRunning does something of this life of the process, once it is not frozen.
func (n *simulatedNode) whenRunning(do func()) {
	life := n.incarnation
	var look func()
	look = func() {
		switch {
		case !n.up || n.incarnation != life:
		case n.sim.now < n.frozenUntil:
			n.sim.after(n.frozenUntil-n.sim.now, look)
		default:
			do()
		}
	}
	look()
}

// scheduleApply has the machine apply the log up to an index after a while.
func (n *simulatedNode) scheduleApply(index int) {
	if !n.up {
		return
	}
	life := n.incarnation
	n.sim.after(n.sim.networkDelay(), func() {
		if n.incarnation == life {
			n.whenRunning(func() { n.applyTo(index) })
		}
	})
}

// applyTo applies the log up to an index, by a snapshot of another machine at times.
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
			sim.fail("machine %d comes to another result at %d than was agreed on", n.number, n.applied)
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

// commit puts a command into the log, and has the machines learn of it.
func (sim *simulation) commit(command []byte) []byte {
	index := len(sim.log) + 1
	result := sim.checker.apply(index, command)
	sim.log = append(sim.log, logEntry{command: command, result: string(result)})
	for _, node := range sim.nodes {
		node.scheduleApply(index)
	}
	return result
}

// handlerTask is a handler of a machine that runs as a coroutine.
type handlerTask struct {
	node      *simulatedNode
	next      func() (suspension, bool)
	stop      func()
	yield     func(suspension) bool
	ended     bool
	deadline  time.Duration
	cancelled bool // the machine knows that the caller has closed its connection
}

// suspension begins what a coroutine waits for; it calls resume later, and never at once.
type suspension func(resume func())

// runHandler runs a handler on the machine.
func (n *simulatedNode) runHandler(gone bool, handle func(t *handlerTask)) *handlerTask {
	t := &handlerTask{node: n, deadline: n.sim.now + ResponseTimeout, cancelled: gone}
	t.next, t.stop = iter.Pull(iter.Seq[suspension](func(yield func(suspension) bool) {
		t.yield = yield
		handle(t)
	}))
	n.tasks = append(n.tasks, t)
	t.step()
	return t
}

// step goes on until the coroutine waits again or has ended.
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

// await waits; false: the process was killed meanwhile.
func (t *handlerTask) await(begin suspension) bool {
	return !t.ended && t.yield(begin) && !t.ended
}

// sleep waits for a time.
func (t *handlerTask) sleep(d time.Duration) bool {
	return t.await(func(resume func()) { t.node.sim.after(d, resume) })
}

// remaining is the time to the end of the call.
func (t *handlerTask) remaining() time.Duration { return max(t.deadline-t.node.sim.now, 0) }

// taskContext is a call's context over virtual time. It is not canceled by itself: nothing in the handlers waits for that.
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

// committer is the machine's, for one call.
func (t *handlerTask) committer() *committer {
	return &committer{replicas: &simulatedReplicas{task: t}, state: &simulatedState{task: t}, prepare: prepareModelChange, sleep: t.pause}
}

// pause is the API's. After a process was frozen either of its two timers may come first.
func (t *handlerTask) pause(ctx context.Context, d time.Duration) bool {
	alive := t.sleep(min(d, t.remaining()))
	if alive && t.remaining() == 0 && !t.cancelled {
		return t.node.sim.chance(0.1)
	}
	return alive && ctx.Err() == nil
}

// simulatedReplicas are a machine's replicas.
type simulatedReplicas struct {
	replica.Replicas
	task *handlerTask
}

// Barrier holds for what was agreed on before the call, and not always for more.
func (r *simulatedReplicas) Barrier(context.Context, feed.Partition) error {
	t, node := r.task, r.task.node
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

// Propose has a command agreed on soon, late or never, and tells what became of it or not.
func (r *simulatedReplicas) Propose(_ context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	t := r.task
	sim := t.node.sim
	if sim.now < sim.noQuorumUntil || sim.faultsActive && sim.chance(0.05) || t.remaining() == 0 && !sim.chance(0.5) {
		t.sleep(min(t.remaining(), sim.durationBetween(0, 400*time.Millisecond)))
		return nil, &replica.UnavailableError{}
	}
	if e := decodeCommand(command).evacuation; e != nil && sim.mutation.skipNoopEvacuations {
		if t.node.state.Evacuation(e.Zone).On == e.On {
			return state.Result{Outcome: state.AlreadyAccepted}.Encode(), nil
		}
	}
	if sim.mutation.acknowledgeEarly {
		sim.propose(command, func([]byte) {})
		return state.Result{Outcome: state.Accepted, Number: sim.checker.versionOf(command)}.Encode(), nil
	}
	var result []byte
	unknown := sim.faultsActive && sim.chance(sim.profile.UnknownRatio)
	alive := t.await(func(resume func()) {
		sim.propose(command, func(answer []byte) {
			if !unknown {
				result = answer
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
		return state.Result{Outcome: state.Conflict}.Encode(), nil
	}
	return nil, &replica.UnknownOutcomeError{}
}

// propose brings a command on its way: it is lost, or agreed on once.
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

// simulatedState is a machine's state as its committer asks for it.
type simulatedState struct{ task *handlerTask }

// Standing is the state machine's, with a shorter memory where the profile says so.
func (o *simulatedState) Standing(basedOn uint64, digest state.Digest) state.Standing {
	node := o.task.node
	sim := node.sim
	standing := node.state.Standing(basedOn, digest)
	if sim.mutation.splitLookup && standing.Verdict == state.Open {
		o.task.sleep(sim.durationBetween(0, sim.profile.Delay))
		if standing = node.state.Standing(basedOn, digest); standing.Verdict != state.Open {
			standing.Verdict = state.Superseded
		}
	}
	old := standing.Verdict == state.Taken || standing.Verdict == state.Superseded
	if old && sim.profile.HistoryLimit > 0 && sim.checker.countChanges(basedOn, node.state.Version()) > sim.profile.HistoryLimit {
		standing.Verdict = state.Forgotten
	}
	if sim.mutation.rejectForgotten && standing.Verdict == state.Forgotten ||
		sim.mutation.rejectEarly && standing.Verdict == state.Early {
		standing.Verdict = state.Superseded
	}
	return standing
}

// Evacuation is the state machine's.
func (o *simulatedState) Evacuation(zone string) state.Evacuation {
	evacuation := o.task.node.state.Evacuation(zone)
	if o.task.node.sim.mutation.retrySuperseded {
		evacuation.Ordered = 0
	}
	return evacuation
}
