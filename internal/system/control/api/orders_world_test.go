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

// orderWorld is a core's machines in virtual time: the committer of each with its state machine, over a model of the
// agreement that does whatever the replicas may do. Handlers run as coroutines, one at a time, so that a seed replays.
type orderWorld struct {
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	agenda  eventqueue.Agenda
	verbose bool
	failed  string
	faults  bool // they go on
	plant   orderPlant
	profile orderProfile

	machines []*orderMachine
	log      []agreedCommand
	underWay []*proposedCommand
	away     time.Duration // until when no majority is there
	referee  *orderReferee
	clients  []orderClient
}

// orderPlant are safeguards that are taken out.
type orderPlant struct {
	refusesForgotten   bool // an order that is not remembered counts as superseded
	refusesEarly       bool // so does one whose base is not in force yet
	looksTwice         bool // whether an order was taken, and what is in force, are looked up at two moments
	baseUnchecked      bool // when a change is applied
	requestUnknown     bool // the same request has another digest each time
	seenUnchecked      bool // when an evacuation is applied
	idleOrdersFree     bool // an evacuation that changes nothing does not count as an order
	overtakenAgain     bool // an evacuation that was overtaken is tried again
	goneIgnored        bool // that the caller has gone is not looked at
	staleReads         bool // reads don't wait for what was acknowledged
	acknowledgesEarly  bool // before a command is agreed on
	refusesUnknown     bool // an unknown outcome counts as a conflict
	forgetsBySnapshots bool // a snapshot loses the changes that are remembered
}

// orderProfile is what a seed draws.
type orderProfile struct {
	Machines   int
	Delay      time.Duration // of a message, at most
	Late       float64       // part of the messages that take up to LateBy
	LateBy     time.Duration
	Lost       float64 // part of the answers to operators
	Unknown    float64 // part of the proposals whose outcome is not known
	FaultEvery time.Duration
	Think      time.Duration
	Memory     int // changes after which one counts as forgotten; 0: as the state machine has it
}

// agreedCommand is an entry of the log. Its index is one more than its place.
type agreedCommand struct {
	command []byte
	result  string
}

// proposedCommand is one that may be agreed on yet.
type proposedCommand struct{ dropped bool }

// orderMachine is a control machine; its snapshot outlives its process.
type orderMachine struct {
	world       *orderWorld
	number      int
	state       *state.Configuration
	applied     int // entries of the log
	snapshot    []byte
	snapshotAt  int
	up          bool
	life        int
	frozenUntil time.Duration
	tasks       []*orderTask
	waits       []appliedWait
}

// appliedWait goes on once entries are applied.
type appliedWait struct {
	index  int
	resume func()
}

func newOrderWorld(seed uint64) *orderWorld {
	w := &orderWorld{seed: seed, random: rand.New(rand.NewPCG(seed, 23)), faults: true}
	w.referee = newOrderReferee(w)
	w.profile = orderProfile{
		Machines:   []int{1, 2, 3, 3, 3, 5}[w.random.IntN(6)],
		Delay:      w.spread(time.Millisecond, 80*time.Millisecond),
		Late:       0.2 * w.random.Float64(),
		LateBy:     w.spread(200*time.Millisecond, 8*time.Second),
		Lost:       0.6 * w.random.Float64(),
		Unknown:    0.4 * w.random.Float64(),
		FaultEvery: w.spread(300*time.Millisecond, 4*time.Second),
		Think:      w.spread(20*time.Millisecond, 800*time.Millisecond),
	}
	if w.chance(0.4) {
		w.profile.Memory = 1 + w.random.IntN(20)
	}
	return w
}

func (w *orderWorld) chance(p float64) bool { return w.random.Float64() < p }

func (w *orderWorld) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// spread draws a time whose order of magnitude may be any within a range.
func (w *orderWorld) spread(least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), w.random.Float64()))
}

// transit is how long a message takes.
func (w *orderWorld) transit() time.Duration {
	if w.faults && w.chance(w.profile.Late) {
		return w.between(w.profile.Delay, w.profile.Delay+w.profile.LateBy)
	}
	return w.between(w.profile.Delay/4, w.profile.Delay)
}

func (w *orderWorld) logf(format string, args ...any) {
	if w.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{w.now.Seconds()}, args...)...)
	}
}

func (w *orderWorld) fail(format string, args ...any) {
	if w.failed == "" {
		w.failed = fmt.Sprintf("seed %d, at %v: ", w.seed, w.now) + fmt.Sprintf(format, args...)
		w.logf("FAILED %s", w.failed)
	}
}

func (w *orderWorld) after(d time.Duration, do func()) { w.agenda.At(float64(w.now+max(d, 0)), do) }

// run plays for a time.
func (w *orderWorld) run(d time.Duration) {
	end := w.now + d
	for w.failed == "" {
		at, do, is := w.agenda.Next(float64(end))
		if !is {
			break
		}
		w.now = time.Duration(at)
		do()
	}
	w.now = end
}

// found starts the machines and those who send orders.
func (w *orderWorld) found() {
	for i := range w.profile.Machines {
		m := &orderMachine{world: w, number: i}
		w.machines = append(w.machines, m)
		w.after(w.between(0, time.Second), m.boot)
	}
	for i := range 3 {
		w.addConfigurationClient(i)
	}
	for _, zone := range zonesInPlay {
		w.addEvacuationClient(zone)
	}
	w.after(time.Second, w.nextFault)
}

// nextFault does one thing to the machines.
func (w *orderWorld) nextFault() {
	if !w.faults {
		return
	}
	w.after(w.between(w.profile.FaultEvery/4, w.profile.FaultEvery), w.nextFault)
	m := w.machines[w.random.IntN(len(w.machines))]
	span := w.spread(5*time.Millisecond, 5*time.Second)
	switch w.random.IntN(7) {
	case 0, 1:
		m.restart(span)
	case 2:
		w.logf("all are killed")
		for _, p := range w.underWay {
			p.dropped = p.dropped || w.chance(0.5)
		}
		for _, each := range w.machines {
			each.restart(w.between(time.Millisecond, span))
		}
	case 3:
		w.logf("%d freezes for %v", m.number, span)
		m.frozenUntil = max(m.frozenUntil, w.now+span)
	case 4:
		w.logf("no majority for %v", span)
		w.away = max(w.away, w.now+span)
	case 5:
		m.takeSnapshot()
	case 6:
		w.logf("%d is replaced by an empty machine", m.number)
		m.kill()
		m.snapshot, m.snapshotAt = nil, 0
		w.after(span, m.boot)
	}
}

// heal ends all faults.
func (w *orderWorld) heal() {
	w.logf("all faults end")
	w.faults, w.away = false, 0
	for _, m := range w.machines {
		m.frozenUntil = w.now
		m.boot()
	}
	for _, client := range w.clients {
		client.finish()
	}
}

// boot starts a machine's process from its snapshot; the log comes after it.
func (m *orderMachine) boot() {
	if m.up {
		return
	}
	m.up = true
	m.life++
	m.state, m.applied = m.emptyState(), 0
	if m.snapshot != nil {
		m.restore(m.snapshot, m.snapshotAt)
	}
	m.learn(len(m.world.log))
}

func (m *orderMachine) emptyState() *state.Configuration {
	return state.NewConfiguration(func() time.Duration { return m.world.now }, func() {})
}

func (m *orderMachine) restore(snapshot []byte, at int) {
	if err := m.state.Restore(uint64(at), snapshot); err != nil {
		m.world.fail("machine %d does not take a snapshot: %v", m.number, err)
	}
	m.applied = at
}

// restart kills the process and starts it again.
func (m *orderMachine) restart(down time.Duration) {
	m.kill()
	m.world.after(down, m.boot)
}

func (m *orderMachine) kill() {
	if !m.up {
		return
	}
	m.world.logf("%d is killed", m.number)
	m.up = false
	m.life++
	for _, t := range m.tasks {
		t.end()
	}
	m.tasks, m.waits = nil, nil
	m.frozenUntil = m.world.now
}

func (m *orderMachine) takeSnapshot() {
	if m.up {
		m.snapshot, m.snapshotAt = m.state.Snapshot(), m.applied
		if m.world.plant.forgetsBySnapshots {
			m.snapshot = withoutChanges(m.state)
		}
	}
}

// whenAwake does something of this life of the process, once it is not frozen.
func (m *orderMachine) whenAwake(do func()) {
	life := m.life
	var look func()
	look = func() {
		switch {
		case !m.up || m.life != life:
		case m.world.now < m.frozenUntil:
			m.world.after(m.frozenUntil-m.world.now, look)
		default:
			do()
		}
	}
	look()
}

// learn has the machine apply the log up to an index after a while.
func (m *orderMachine) learn(index int) {
	if !m.up {
		return
	}
	life := m.life
	m.world.after(m.world.transit(), func() {
		if m.life == life {
			m.whenAwake(func() { m.apply(index) })
		}
	})
}

// apply applies the log up to an index, by a snapshot of another machine at times.
func (m *orderMachine) apply(index int) {
	w := m.world
	if other := w.machines[w.random.IntN(len(w.machines))]; other.up && other.applied > m.applied+5 && w.chance(0.3) {
		m.restore(other.state.Snapshot(), other.applied)
	}
	for m.applied < index {
		entry := &w.log[m.applied]
		m.applied++
		command := w.planted(m.state, m.applied, entry.command)
		result := m.state.Apply(uint64(m.applied), command)
		if string(result) != entry.result {
			w.fail("machine %d comes to another result at %d than was agreed on", m.number, m.applied)
		}
	}
	var waiting []appliedWait
	for _, wait := range m.waits {
		if wait.index <= m.applied {
			w.after(0, wait.resume)
		} else {
			waiting = append(waiting, wait)
		}
	}
	m.waits = waiting
}

// agree puts a command into the log, and has the machines learn of it.
func (w *orderWorld) agree(command []byte) []byte {
	index := len(w.log) + 1
	result := w.referee.apply(index, command)
	w.log = append(w.log, agreedCommand{command: command, result: string(result)})
	for _, m := range w.machines {
		m.learn(index)
	}
	return result
}

// orderTask is a handler of a machine that runs as a coroutine.
type orderTask struct {
	machine  *orderMachine
	next     func() (wait, bool)
	stop     func()
	yield    func(wait) bool
	ended    bool
	deadline time.Duration
	gone     bool // the machine knows that the caller has closed its connection
}

// wait begins what a coroutine waits for; it calls resume later, and never at once.
type wait func(resume func())

// start runs a handler on the machine.
func (m *orderMachine) start(gone bool, handle func(t *orderTask)) *orderTask {
	t := &orderTask{machine: m, deadline: m.world.now + AnswerWithin, gone: gone}
	t.next, t.stop = iter.Pull(iter.Seq[wait](func(yield func(wait) bool) {
		t.yield = yield
		handle(t)
	}))
	m.tasks = append(m.tasks, t)
	t.step()
	return t
}

// step goes on until the coroutine waits again or has ended.
func (t *orderTask) step() {
	if t.ended {
		return
	}
	begin, more := t.next()
	if !more {
		t.end()
		t.machine.tasks = slices.DeleteFunc(t.machine.tasks, func(other *orderTask) bool { return other == t })
		return
	}
	resumed := false
	begin(func() {
		if !resumed {
			resumed = true
			t.machine.whenAwake(t.step)
		}
	})
}

func (t *orderTask) end() {
	t.ended = true
	t.stop()
}

// block waits; false: the process was killed meanwhile.
func (t *orderTask) block(begin wait) bool {
	return !t.ended && t.yield(begin) && !t.ended
}

// sleep waits for a time.
func (t *orderTask) sleep(d time.Duration) bool {
	return t.block(func(resume func()) { t.machine.world.after(d, resume) })
}

// left is the time to the end of the call.
func (t *orderTask) left() time.Duration { return max(t.deadline-t.machine.world.now, 0) }

// taskContext is a call's context over virtual time. It is not canceled by itself: nothing in the handlers waits for that.
type taskContext struct {
	context.Context
	task *orderTask
}

func (c taskContext) Err() error {
	switch {
	case c.task.ended, c.task.gone && !c.task.machine.world.plant.goneIgnored:
		return context.Canceled
	case c.task.left() == 0:
		return context.DeadlineExceeded
	}
	return nil
}

var errKilled = errors.New("killed")

// committer is the machine's, for one call.
func (t *orderTask) committer() *committer {
	return &committer{replicas: &modelReplicas{task: t}, state: &modelOrders{task: t}, prepare: prepareModel, pause: t.pause}
}

// pause is the API's. After a process was frozen either of its two timers may come first.
func (t *orderTask) pause(ctx context.Context, d time.Duration) bool {
	alive := t.sleep(min(d, t.left()))
	if alive && t.left() == 0 && !t.gone {
		return t.machine.world.chance(0.1)
	}
	return alive && ctx.Err() == nil
}

// modelReplicas are a machine's replicas.
type modelReplicas struct {
	replica.Replicas
	task *orderTask
}

// Barrier holds for what was agreed on before the call, and not always for more.
func (r *modelReplicas) Barrier(context.Context, feed.Partition) error {
	t, m := r.task, r.task.machine
	w := m.world
	if w.plant.staleReads {
		return nil
	}
	if w.now < w.away || w.faults && w.chance(0.05) {
		t.sleep(min(t.left(), w.between(0, 400*time.Millisecond)))
		return &replica.UnavailableError{}
	}
	index := len(w.log)
	if !t.sleep(w.between(w.profile.Delay/2, 2*w.profile.Delay)) {
		return errKilled
	}
	if w.chance(0.5) {
		index = len(w.log)
	}
	if m.applied < index {
		inTime := t.block(func(resume func()) {
			m.waits = append(m.waits, appliedWait{index, resume})
			w.after(t.left(), resume)
		})
		if !inTime || m.applied < index {
			return &replica.UnavailableError{}
		}
	}
	return nil
}

// Propose has a command agreed on soon, late or never, and tells what became of it or not.
func (r *modelReplicas) Propose(_ context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	t := r.task
	w := t.machine.world
	if w.now < w.away || w.faults && w.chance(0.05) || t.left() == 0 && !w.chance(0.5) {
		t.sleep(min(t.left(), w.between(0, 400*time.Millisecond)))
		return nil, &replica.UnavailableError{}
	}
	if e := decodeCommand(command).evacuation; e != nil && w.plant.idleOrdersFree {
		if t.machine.state.Evacuation(e.Zone).On == e.On {
			return state.Result{Outcome: state.AlreadyAccepted}.Encode(), nil
		}
	}
	if w.plant.acknowledgesEarly {
		w.propose(command, func([]byte) {})
		return state.Result{Outcome: state.Accepted, Number: w.referee.versionOf(command)}.Encode(), nil
	}
	var result []byte
	unknown := w.faults && w.chance(w.profile.Unknown)
	alive := t.block(func(resume func()) {
		w.propose(command, func(answer []byte) {
			if !unknown {
				result = answer
				w.after(w.transit(), resume)
			}
		})
		w.after(max(w.between(0, t.left()), t.left()/2), resume)
	})
	switch {
	case !alive:
		return nil, errKilled
	case result != nil:
		return result, nil
	case w.plant.refusesUnknown:
		return state.Result{Outcome: state.Conflict}.Encode(), nil
	}
	return nil, &replica.UnknownOutcomeError{}
}

// propose brings a command on its way: it is lost, or agreed on once.
func (w *orderWorld) propose(command []byte, agreed func(result []byte)) {
	if w.faults && w.chance(0.1) {
		return
	}
	p := &proposedCommand{}
	w.underWay = append(w.underWay, p)
	w.after(w.transit(), func() {
		w.underWay = slices.DeleteFunc(w.underWay, func(other *proposedCommand) bool { return other == p })
		if !p.dropped {
			agreed(w.agree(command))
		}
	})
}

// modelOrders is a machine's state as its committer asks for it.
type modelOrders struct{ task *orderTask }

// Standing is the state machine's, with a shorter memory where the profile says so.
func (o *modelOrders) Standing(basedOn uint64, digest state.Digest) state.Standing {
	m := o.task.machine
	w := m.world
	standing := m.state.Standing(basedOn, digest)
	if w.plant.looksTwice && standing.Verdict == state.Open {
		o.task.sleep(w.between(0, w.profile.Delay))
		if standing = m.state.Standing(basedOn, digest); standing.Verdict != state.Open {
			standing.Verdict = state.Superseded
		}
	}
	old := standing.Verdict == state.Taken || standing.Verdict == state.Superseded
	if old && w.profile.Memory > 0 && w.referee.changesSince(basedOn, m.state.Version()) > w.profile.Memory {
		standing.Verdict = state.Forgotten
	}
	if w.plant.refusesForgotten && standing.Verdict == state.Forgotten ||
		w.plant.refusesEarly && standing.Verdict == state.Early {
		standing.Verdict = state.Superseded
	}
	return standing
}

// Evacuation is the state machine's.
func (o *modelOrders) Evacuation(zone string) state.Evacuation {
	evacuation := o.task.machine.state.Evacuation(zone)
	if o.task.machine.world.plant.overtakenAgain {
		evacuation.Ordered = 0
	}
	return evacuation
}
