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
	w := &simulation{seed: seed, random: rand.New(rand.NewPCG(seed, 23)), faultsActive: true}
	w.checker = newChecker(w)
	w.profile = simulationProfile{
		Nodes:         []int{1, 2, 3, 3, 3, 5}[w.random.IntN(6)],
		Delay:         w.logUniform(time.Millisecond, 80*time.Millisecond),
		LateRatio:     0.2 * w.random.Float64(),
		LateDelay:     w.logUniform(200*time.Millisecond, 8*time.Second),
		LostRatio:     0.6 * w.random.Float64(),
		UnknownRatio:  0.4 * w.random.Float64(),
		FaultInterval: w.logUniform(300*time.Millisecond, 4*time.Second),
		ThinkTime:     w.logUniform(20*time.Millisecond, 800*time.Millisecond),
	}
	if w.chance(0.4) {
		w.profile.HistoryLimit = 1 + w.random.IntN(20)
	}
	return w
}

func (w *simulation) chance(p float64) bool { return w.random.Float64() < p }

func (w *simulation) durationBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// logUniform draws a time whose order of magnitude may be any within a range.
func (w *simulation) logUniform(least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), w.random.Float64()))
}

// networkDelay is how long a message takes.
func (w *simulation) networkDelay() time.Duration {
	if w.faultsActive && w.chance(w.profile.LateRatio) {
		return w.durationBetween(w.profile.Delay, w.profile.Delay+w.profile.LateDelay)
	}
	return w.durationBetween(w.profile.Delay/4, w.profile.Delay)
}

func (w *simulation) logf(format string, args ...any) {
	if w.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{w.now.Seconds()}, args...)...)
	}
}

func (w *simulation) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("seed %d, at %v: ", w.seed, w.now) + fmt.Sprintf(format, args...)
		w.logf("FAILED %s", w.failure)
	}
}

func (w *simulation) after(d time.Duration, do func()) { w.events.At(float64(w.now+max(d, 0)), do) }

// run plays for a time.
func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for w.failure == "" {
		at, do, is := w.events.Next(float64(end))
		if !is {
			break
		}
		w.now = time.Duration(at)
		do()
	}
	w.now = end
}

// start starts the machines and those who send orders.
func (w *simulation) start() {
	for i := range w.profile.Nodes {
		m := &simulatedNode{sim: w, number: i}
		w.nodes = append(w.nodes, m)
		w.after(w.durationBetween(0, time.Second), m.start)
	}
	for i := range 3 {
		w.addConfigurationClient(i)
	}
	for _, zone := range simulatedZones {
		w.addEvacuationClient(zone)
	}
	w.after(time.Second, w.injectFault)
}

// injectFault does one thing to the machines.
func (w *simulation) injectFault() {
	if !w.faultsActive {
		return
	}
	w.after(w.durationBetween(w.profile.FaultInterval/4, w.profile.FaultInterval), w.injectFault)
	m := w.nodes[w.random.IntN(len(w.nodes))]
	span := w.logUniform(5*time.Millisecond, 5*time.Second)
	switch w.random.IntN(7) {
	case 0, 1:
		m.restart(span)
	case 2:
		w.logf("all are killed")
		for _, p := range w.inFlight {
			p.dropped = p.dropped || w.chance(0.5)
		}
		for _, each := range w.nodes {
			each.restart(w.durationBetween(time.Millisecond, span))
		}
	case 3:
		w.logf("%d freezes for %v", m.number, span)
		m.frozenUntil = max(m.frozenUntil, w.now+span)
	case 4:
		w.logf("no majority for %v", span)
		w.noQuorumUntil = max(w.noQuorumUntil, w.now+span)
	case 5:
		m.takeSnapshot()
	case 6:
		w.logf("%d is replaced by an empty machine", m.number)
		m.kill()
		m.snapshot, m.snapshotIndex = nil, 0
		w.after(span, m.start)
	}
}

// heal ends all faults.
func (w *simulation) heal() {
	w.logf("all faults end")
	w.faultsActive, w.noQuorumUntil = false, 0
	for _, m := range w.nodes {
		m.frozenUntil = w.now
		m.start()
	}
	for _, client := range w.clients {
		client.finish()
	}
}

// start starts a machine's process from its snapshot; the log comes after it.
func (m *simulatedNode) start() {
	if m.up {
		return
	}
	m.up = true
	m.incarnation++
	m.state, m.applied = m.newState(), 0
	if m.snapshot != nil {
		m.restore(m.snapshot, m.snapshotIndex)
	}
	m.scheduleApply(len(m.sim.log))
}

func (m *simulatedNode) newState() *state.Configuration {
	return state.NewConfiguration(func() time.Duration { return m.sim.now }, func() {})
}

func (m *simulatedNode) restore(snapshot []byte, at int) {
	if err := m.state.Restore(uint64(at), snapshot); err != nil {
		m.sim.fail("machine %d does not take a snapshot: %v", m.number, err)
	}
	m.applied = at
}

// restart kills the process and starts it again.
func (m *simulatedNode) restart(down time.Duration) {
	m.kill()
	m.sim.after(down, m.start)
}

func (m *simulatedNode) kill() {
	if !m.up {
		return
	}
	m.sim.logf("%d is killed", m.number)
	m.up = false
	m.incarnation++
	for _, t := range m.tasks {
		t.stopNow()
	}
	m.tasks, m.waiters = nil, nil
	m.frozenUntil = m.sim.now
}

func (m *simulatedNode) takeSnapshot() {
	if m.up {
		m.snapshot, m.snapshotIndex = m.state.Snapshot(), m.applied
		if m.sim.mutation.lossySnapshots {
			m.snapshot = snapshotWithoutChanges(m.state)
		}
	}
}

// whenRunning does something of this life of the process, once it is not frozen.
func (m *simulatedNode) whenRunning(do func()) {
	life := m.incarnation
	var look func()
	look = func() {
		switch {
		case !m.up || m.incarnation != life:
		case m.sim.now < m.frozenUntil:
			m.sim.after(m.frozenUntil-m.sim.now, look)
		default:
			do()
		}
	}
	look()
}

// scheduleApply has the machine apply the log up to an index after a while.
func (m *simulatedNode) scheduleApply(index int) {
	if !m.up {
		return
	}
	life := m.incarnation
	m.sim.after(m.sim.networkDelay(), func() {
		if m.incarnation == life {
			m.whenRunning(func() { m.applyTo(index) })
		}
	})
}

// applyTo applies the log up to an index, by a snapshot of another machine at times.
func (m *simulatedNode) applyTo(index int) {
	w := m.sim
	if other := w.nodes[w.random.IntN(len(w.nodes))]; other.up && other.applied > m.applied+5 && w.chance(0.3) {
		m.restore(other.state.Snapshot(), other.applied)
	}
	for m.applied < index {
		entry := &w.log[m.applied]
		m.applied++
		command := w.mutateCommand(m.state, m.applied, entry.command)
		result := m.state.Apply(uint64(m.applied), command)
		if string(result) != entry.result {
			w.fail("machine %d comes to another result at %d than was agreed on", m.number, m.applied)
		}
	}
	var waiting []appliedWaiter
	for _, wait := range m.waiters {
		if wait.index <= m.applied {
			w.after(0, wait.resume)
		} else {
			waiting = append(waiting, wait)
		}
	}
	m.waiters = waiting
}

// commit puts a command into the log, and has the machines learn of it.
func (w *simulation) commit(command []byte) []byte {
	index := len(w.log) + 1
	result := w.checker.apply(index, command)
	w.log = append(w.log, logEntry{command: command, result: string(result)})
	for _, m := range w.nodes {
		m.scheduleApply(index)
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
func (m *simulatedNode) runHandler(gone bool, handle func(t *handlerTask)) *handlerTask {
	t := &handlerTask{node: m, deadline: m.sim.now + ResponseTimeout, cancelled: gone}
	t.next, t.stop = iter.Pull(iter.Seq[suspension](func(yield func(suspension) bool) {
		t.yield = yield
		handle(t)
	}))
	m.tasks = append(m.tasks, t)
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
	t, m := r.task, r.task.node
	w := m.sim
	if w.mutation.staleReads {
		return nil
	}
	if w.now < w.noQuorumUntil || w.faultsActive && w.chance(0.05) {
		t.sleep(min(t.remaining(), w.durationBetween(0, 400*time.Millisecond)))
		return &replica.UnavailableError{}
	}
	index := len(w.log)
	if !t.sleep(w.durationBetween(w.profile.Delay/2, 2*w.profile.Delay)) {
		return errProcessKilled
	}
	if w.chance(0.5) {
		index = len(w.log)
	}
	if m.applied < index {
		inTime := t.await(func(resume func()) {
			m.waiters = append(m.waiters, appliedWaiter{index, resume})
			w.after(t.remaining(), resume)
		})
		if !inTime || m.applied < index {
			return &replica.UnavailableError{}
		}
	}
	return nil
}

// Propose has a command agreed on soon, late or never, and tells what became of it or not.
func (r *simulatedReplicas) Propose(_ context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	t := r.task
	w := t.node.sim
	if w.now < w.noQuorumUntil || w.faultsActive && w.chance(0.05) || t.remaining() == 0 && !w.chance(0.5) {
		t.sleep(min(t.remaining(), w.durationBetween(0, 400*time.Millisecond)))
		return nil, &replica.UnavailableError{}
	}
	if e := decodeCommand(command).evacuation; e != nil && w.mutation.skipNoopEvacuations {
		if t.node.state.Evacuation(e.Zone).On == e.On {
			return state.Result{Outcome: state.AlreadyAccepted}.Encode(), nil
		}
	}
	if w.mutation.acknowledgeEarly {
		w.propose(command, func([]byte) {})
		return state.Result{Outcome: state.Accepted, Number: w.checker.versionOf(command)}.Encode(), nil
	}
	var result []byte
	unknown := w.faultsActive && w.chance(w.profile.UnknownRatio)
	alive := t.await(func(resume func()) {
		w.propose(command, func(answer []byte) {
			if !unknown {
				result = answer
				w.after(w.networkDelay(), resume)
			}
		})
		w.after(max(w.durationBetween(0, t.remaining()), t.remaining()/2), resume)
	})
	switch {
	case !alive:
		return nil, errProcessKilled
	case result != nil:
		return result, nil
	case w.mutation.rejectUnknown:
		return state.Result{Outcome: state.Conflict}.Encode(), nil
	}
	return nil, &replica.UnknownOutcomeError{}
}

// propose brings a command on its way: it is lost, or agreed on once.
func (w *simulation) propose(command []byte, agreed func(result []byte)) {
	if w.faultsActive && w.chance(0.1) {
		return
	}
	p := &pendingProposal{}
	w.inFlight = append(w.inFlight, p)
	w.after(w.networkDelay(), func() {
		w.inFlight = slices.DeleteFunc(w.inFlight, func(other *pendingProposal) bool { return other == p })
		if !p.dropped {
			agreed(w.commit(command))
		}
	})
}

// simulatedState is a machine's state as its committer asks for it.
type simulatedState struct{ task *handlerTask }

// Standing is the state machine's, with a shorter memory where the profile says so.
func (o *simulatedState) Standing(basedOn uint64, digest state.Digest) state.Standing {
	m := o.task.node
	w := m.sim
	standing := m.state.Standing(basedOn, digest)
	if w.mutation.splitLookup && standing.Verdict == state.Open {
		o.task.sleep(w.durationBetween(0, w.profile.Delay))
		if standing = m.state.Standing(basedOn, digest); standing.Verdict != state.Open {
			standing.Verdict = state.Superseded
		}
	}
	old := standing.Verdict == state.Taken || standing.Verdict == state.Superseded
	if old && w.profile.HistoryLimit > 0 && w.checker.countChanges(basedOn, m.state.Version()) > w.profile.HistoryLimit {
		standing.Verdict = state.Forgotten
	}
	if w.mutation.rejectForgotten && standing.Verdict == state.Forgotten ||
		w.mutation.rejectEarly && standing.Verdict == state.Early {
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
