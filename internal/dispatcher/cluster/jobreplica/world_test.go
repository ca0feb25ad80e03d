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

// world is members that hold promises together, over virtual time: the real machines, everything else drawn from a seed. Parties hand in jobs at
// any member; members send what waits, under agreed fences, and workers keep their own books.
type world struct {
	now      float64
	agenda   eventqueue.Queue
	rng      *rand.Rand
	places   []*place
	sent     int
	tamper   mutate.Tamper
	cut      func(from, to int) bool
	drop     float64
	copies   int
	life     uint64
	acked    map[string]uint64 // by key: the number that the party was told
	told     map[uint64]jobstate.JobState
	books    map[uint64][]work // what workers ran, by job
	agreed   map[uint64]uint64 // digest of the state at each place of the log
	held     map[uint64]string // who has a job at its workers, by job, until it ends or is given up
	breach   error
	jobs     int
	noWait   bool // planted: members send what waits without agreement
	noFence  bool // planted: a send is agreed whoever has sent since
	noKey    bool // planted: the same key twice is two promises
	sameLife bool // planted: who lost its memory comes back as itself
	quiet    bool // no more jobs are handed in or sent
}

type work struct {
	group string
	fence uint64
	at    float64
}

// place is one member's: its process may stop, be killed and come back as another life.
type place struct {
	i      int
	member jobreplica.Member
	copy   *jobreplica.Replica
	state  *jobstate.State
	pager  *jobreplica.Fragmenter
	paused bool
	held   [][]byte
	life   int // counts its processes
	asked  map[string]jobstate.Command
}

func (w *world) at(at float64, do func()) { w.agenda.Schedule(at, do) }

var bounds = jobstate.Limits{TotalBytes: 1 << 20, TenantBytes: 1 << 20, JobBytes: 8 << 10, ResultRetentionMS: 600_000}

// newWorld is a fleet of n members of which the first so many found the state.
func newWorld(seed uint64, n, many int) *world {
	w := &world{now: 1000, rng: rand.New(rand.NewPCG(seed, 5)), tamper: mutate.DeliverUnchanged, copies: many, acked: map[string]uint64{},
		told: map[uint64]jobstate.JobState{}, books: map[uint64][]work{}, agreed: map[uint64]uint64{}, held: map[uint64]string{}}
	for i := range n {
		p := &place{i: i}
		w.places = append(w.places, p)
		w.begin(p)
	}
	view := w.view()
	first := jobreplica.ChooseMembers(view, nil, many)
	for _, p := range w.places {
		for _, m := range first {
			if m.ID == p.member.ID {
				if err := p.copy.Bootstrap(first); err != nil {
					w.fail("founding: %v", err)
				}
			}
		}
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.breach == nil {
		w.breach = fmt.Errorf("at %.3f: "+format, append([]any{w.now}, args...)...)
	}
}

func (w *world) view() (view []jobreplica.Member) {
	for _, p := range w.places {
		if p.copy != nil && !p.paused {
			view = append(view, p.member)
		}
	}
	return view
}

// begin is a new process of a place: nothing of the one before is left.
func (w *world) begin(p *place) {
	if w.life++; !w.sameLife || p.member.ID == 0 {
		p.member = jobreplica.Member{ID: w.life, Name: fmt.Sprintf("m%02d", p.i), Machine: fmt.Sprintf("host%02d", p.i), Zone: fmt.Sprint(p.i % 3)}
	}
	p.life++
	p.state = jobstate.New(bounds)
	p.pager = jobreplica.NewFragmenter("test", p.member.ID, 1<<20)
	p.asked = map[string]jobstate.Command{}
	p.held, p.paused = nil, false
	p.copy = jobreplica.New(w.now, jobreplica.Options{Self: p.member, Seed: w.life, Replicas: w.copies, StateMachine: &machine{p.state, w}, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 8,
		CompactionThreshold: 64, MaxCommandBytes: 64 << 10})
	life := p.life
	var tick func()
	tick = func() {
		if p.life != life || p.copy == nil {
			return
		}
		if !p.paused {
			p.copy.SetCandidates(w.view())
			p.copy.Tick(w.now)
			w.after(p)
			if replaced := new(jobreplica.ReplacedError); errors.As(p.copy.Err(), &replaced) {
				w.kill(p) // what it knew is old: it goes on as another life
				w.begin(p)
				return
			}
		}
		w.at(w.now+0.05, tick)
	}
	w.at(w.now+0.01*w.rng.Float64(), tick)
}

func (w *world) kill(p *place) {
	p.copy, p.paused, p.held = nil, false, nil
	p.life++
}

func (w *world) resume(p *place) {
	p.paused = false
	held := p.held
	p.held = nil
	for _, datagram := range held {
		w.take(p, datagram)
	}
}

// machine is the state as the copies use it, with the planted faults.
type machine struct {
	*jobstate.State
	w *world
}

func (m *machine) Apply(index uint64, command []byte) (any, error) {
	if m.w.noFence || m.w.noKey {
		if c, err := jobstate.Decode(command); err == nil {
			if job := m.Job(c.ID); c.Kind == jobstate.CommandSend && m.w.noFence && job != nil {
				c.FencingToken = job.FencingToken
			}
			if c.Kind == jobstate.CommandSubmit && m.w.noKey {
				c.Key += fmt.Sprint(" ", index)
			}
			command = c.Encode()
		}
	}
	return m.State.Apply(index, command)
}

// after sends what a member has to say and looks at what it applied.
func (w *world) after(p *place) {
	if p.copy == nil {
		return
	}
	if counted, _ := p.copy.Members(); p.copy.IsVoter() && len(counted) < w.copies-1 {
		w.fail("%s counts %d copies of %d", p.member.Name, len(counted), w.copies)
	}
	out, done := p.copy.TakeOutput()
	for _, a := range done {
		if w.agreed[a.Index] == 0 {
			w.agreed[a.Index] = xxhash.Sum64(a.Command)
		} else if w.agreed[a.Index] != xxhash.Sum64(a.Command) {
			w.fail("place %d of the log differs at %s", a.Index, p.member.Name)
		}
		w.applied(p, a)
	}
	for _, o := range out {
		for _, datagram := range p.pager.Fragment(o) {
			w.send(p, o.To, datagram)
		}
	}
	for _, o := range p.pager.Tick(w.now) {
		w.send(p, o.To, o.Data)
	}
}

func (w *world) send(p *place, to uint64, datagram []byte) {
	n := w.sent
	w.sent++
	for _, d := range w.tamper(n, mutate.Message{From: p.member.ID, To: to, Data: datagram}) {
		w.carry(p, d)
	}
}

func (w *world) carry(from *place, d mutate.Delivery) {
	late := d.Delay + 0.001 + 0.002*w.rng.Float64()
	for _, to := range w.places {
		if to.member.ID != d.To || to.copy == nil || w.rng.Float64() < w.drop || w.cut != nil && w.cut(from.i, to.i) {
			continue
		}
		life := to.life
		w.at(w.now+late, func() {
			switch {
			case to.life != life || to.copy == nil:
			case to.paused:
				to.held = append(to.held, d.Data)
			default:
				w.take(to, d.Data)
			}
		})
	}
}

func (w *world) take(p *place, datagram []byte) {
	message, err := p.pager.Reassemble(datagram)
	if err == nil && message != nil {
		p.copy.Step(w.now, message) // what it refuses changes nothing
	}
	w.after(p)
}

// handIn has a party ask a member to take a job, again and again under one key until it is told a number.
func (w *world) handIn(key string, effect jobstate.Effect) {
	w.jobs++
	w.at(w.now, func() { w.ask(key, effect) })
}

func (w *world) ask(key string, effect jobstate.Effect) {
	if w.acked[key] != 0 {
		return
	}
	p := w.places[w.rng.IntN(len(w.places))]
	c := jobstate.Command{Kind: jobstate.CommandSubmit, TimeMS: int64(w.now * 1000), Proposer: p.member.Name, Tenant: "t", Key: key, Class: fmt.Sprint(effect), Effect: effect,
		DeduplicationWindowMS: 5000, Data: []byte(key)}
	if p.copy != nil && !p.paused && p.copy.IsVoter() {
		p.asked[key] = c
		p.copy.Propose(w.now, c.Encode())
		w.after(p)
	}
	w.at(w.now+0.5+w.rng.Float64(), func() { w.ask(key, effect) })
}

// applied is what a member does once a command is agreed.
func (w *world) applied(p *place, a jobreplica.Applied) {
	c, err := jobstate.Decode(a.Command)
	if err != nil {
		w.fail("agreed on what nobody can read: %v", err)
		return
	}
	result := a.Result.(jobstate.Result)
	switch c.Kind {
	case jobstate.CommandSubmit:
		if _, mine := p.asked[c.Key]; mine && result.Err == nil { // the party is told
			if was := w.acked[c.Key]; was != 0 && was != result.Job.ID {
				w.fail("key %s is promised twice: %d and %d", c.Key, was, result.Job.ID)
			}
			w.acked[c.Key] = result.Job.ID
			delete(p.asked, c.Key)
		}
	case jobstate.CommandSend:
		if c.Proposer == w.holder(p) && result.Err == nil {
			w.run(p, *result.Job, c)
		}
	case jobstate.CommandEnd, jobstate.CommandAbandon:
		if result.Err == nil {
			delete(w.held, c.ID)
		}
		if result.Err == nil && result.Job.State.Terminal() {
			if was := w.told[c.ID]; was != 0 && was != result.Job.State {
				w.fail("job %d ended twice: %s and %s", c.ID, was, result.Job.State)
			}
			w.told[c.ID] = result.Job.State
		}
	}
}

func (w *world) holder(p *place) string { return fmt.Sprintf("%s/%d", p.member.Name, p.life) }

// run is the first byte going out: a worker of the group runs the job, and tells its end a while later to who sent it.
func (w *world) run(p *place, job jobstate.Job, c jobstate.Command) {
	w.check(job, work{c.WorkerGroup, job.FencingToken, w.now})
	if was, is := w.held[job.ID]; is {
		w.fail("job %d is sent by %s while %s has it", job.ID, w.holder(p), was)
	}
	w.held[job.ID] = w.holder(p)
	w.books[job.ID] = append(w.books[job.ID], work{c.WorkerGroup, job.FencingToken, w.now})
	life := p.life
	w.at(w.now+0.2+w.rng.Float64(), func() { w.tell(p, life, job.ID, job.FencingToken) })
}

// check is P7 by the workers' own books.
func (w *world) check(job jobstate.Job, next work) {
	for _, was := range w.books[job.ID] {
		switch {
		case job.Effect == jobstate.Unsafe:
			w.fail("job %d, unsafe, ran twice", job.ID)
		case job.Effect == jobstate.Keyed && (was.group != next.group || next.at-was.at > 5.5):
			w.fail("job %d, keyed, ran in group %s at %.1f and %s at %.1f", job.ID, was.group, was.at, next.group, next.at)
		}
	}
}

// tell has the sender say the end until it is agreed.
func (w *world) tell(p *place, life int, id, fence uint64) {
	if p.life != life || p.copy == nil || w.told[id] != 0 {
		return
	}
	if !p.paused {
		c := jobstate.Command{Kind: jobstate.CommandEnd, TimeMS: int64(w.now * 1000), Proposer: w.holder(p), ID: id, FencingToken: fence, Data: []byte("done")}
		p.copy.Propose(w.now, c.Encode())
		w.after(p)
	}
	w.at(w.now+0.7, func() { w.tell(p, life, id, fence) })
}

// dispatch has each member send what waits, and the leader give up what was sent by lives that are gone.
func (w *world) dispatch() {
	if !w.quiet {
		for _, p := range w.places {
			if p.copy == nil || p.paused || !p.copy.IsVoter() {
				continue
			}
			if waiting := p.state.Waiting(); len(waiting) > 0 {
				job := waiting[w.rng.IntN(len(waiting))]
				c := jobstate.Command{Kind: jobstate.CommandSend, TimeMS: int64(w.now * 1000), Proposer: w.holder(p), ID: job.ID, FencingToken: job.FencingToken, Worker: "w",
					WorkerGroup: fmt.Sprint(w.rng.IntN(2))}
				if job.WorkerGroup != "" {
					c.WorkerGroup = job.WorkerGroup
				}
				if w.noWait {
					w.run(p, *job, c)
				}
				p.copy.Propose(w.now, c.Encode())
			}
			w.after(p)
			if p.copy.IsLeader() {
				w.heirs(p)
			}
		}
	}
	w.at(w.now+0.1, w.dispatch)
}

func (w *world) heirs(p *place) {
	alive := map[string]bool{}
	for _, q := range w.places {
		if q.copy != nil {
			alive[w.holder(q)] = true
		}
	}
	for id := range w.acked {
		job := p.state.FindByKey("t", id)
		if job != nil && job.State == jobstate.Sent && !alive[job.Owner] {
			c := jobstate.Command{Kind: jobstate.CommandAbandon, TimeMS: int64(w.now * 1000), Proposer: w.holder(p), ID: job.ID, FencingToken: job.FencingToken}
			p.copy.Propose(w.now, c.Encode())
		}
	}
	w.after(p)
}

func (w *world) run1(until float64) {
	for w.breach == nil {
		at, do, is := w.agenda.PopUntil(until)
		if !is {
			break
		}
		w.now = at
		do()
	}
	w.now = until
}

// settle ends all faults, waits for every job's end, and checks what must hold then.
func (w *world) settle() error {
	w.drop, w.cut = 0, nil
	for _, p := range w.places {
		if p.paused {
			w.resume(p)
		}
		if p.copy == nil {
			w.begin(p)
		}
	}
	for range 60 {
		w.run1(w.now + 5)
		if w.breach != nil {
			return w.breach
		}
		if len(w.acked) == w.jobs && w.over() && w.level() {
			break
		}
	}
	for _, p := range w.places {
		if err := p.copy.Err(); err != nil {
			return fmt.Errorf("%s: %w", p.member.Name, err)
		}
	}
	counted := w.counted()
	if len(counted) < w.copies {
		return fmt.Errorf("%d copies of %d after all faults", len(counted), w.copies)
	}
	if len(w.acked) != w.jobs {
		return fmt.Errorf("%d of %d jobs were never taken", w.jobs-len(w.acked), w.jobs)
	}
	for key, id := range w.acked {
		for _, p := range counted {
			job := p.state.FindByKey("t", key)
			if job == nil || job.ID != id {
				return fmt.Errorf("%s lost job %d of key %s", p.member.Name, id, key)
			}
			if !job.State.Terminal() {
				return fmt.Errorf("job %d has no end: %s, fence %d of %s", id, job.State, job.FencingToken, job.Owner)
			}
			if was := w.told[id]; was != job.State {
				return fmt.Errorf("job %d ended as %s and is held as %s", id, was, job.State)
			}
			if job.State == jobstate.Done && len(w.books[id]) == 0 {
				return fmt.Errorf("job %d is done and no worker ran it", id)
			}
		}
	}
	for _, p := range counted[1:] {
		if p.copy.AppliedIndex() != counted[0].copy.AppliedIndex() {
			return fmt.Errorf("%s has applied %d commands and %s %d", p.member.Name, p.copy.AppliedIndex(), counted[0].member.Name, counted[0].copy.AppliedIndex())
		}
		if p.state.Digest() != counted[0].state.Digest() {
			return errors.New("two copies hold different states")
		}
	}
	return w.breach
}

func (w *world) counted() (counted []*place) {
	for _, p := range w.places {
		if p.copy != nil && p.copy.IsVoter() {
			counted = append(counted, p)
		}
	}
	return counted
}

// level says whether as many copies count as there should be, and all have applied the same.
func (w *world) level() bool {
	counted := w.counted()
	for _, p := range counted {
		if p.copy.AppliedIndex() != counted[0].copy.AppliedIndex() {
			return false
		}
	}
	return len(counted) >= w.copies
}

func (w *world) over() bool {
	for _, id := range w.acked {
		if w.told[id] == 0 {
			return false
		}
	}
	return true
}

// outcome is what the parties were told, by key.
func (w *world) outcome() string {
	keys := make([]string, 0, len(w.acked))
	for key, id := range w.acked {
		keys = append(keys, fmt.Sprint(key, " ", w.told[id]))
	}
	slices.Sort(keys)
	return fmt.Sprint(keys)
}
