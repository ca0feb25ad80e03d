package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/storage"
)

// Bounds on the log that is kept beside a snapshot. A snapshot is made once the log since the last one takes more than
// the larger of leastLog and the last snapshot, in bytes, so that the cost of snapshots stays in proportion.
const (
	leastLog      = 512 << 10
	entryOverhead = 64 // bytes that an entry costs beside its data
	// Entries, and bytes of their data, that are kept in memory behind a snapshot for members that are behind; as many bytes
	// as the snapshot has, where that is more. A member that is further behind has less to receive by the snapshot.
	tailEntries = 1024
	tailBytes   = leastLog / 2
)

// group is this machine's replica of a partition. The host's mutex guards it.
type group struct {
	partition feed.Partition
	machine   *consensus.Node // nil before the store is open
	state     StateMachine

	applied      uint64
	logBytes     int // of entries applied since the last snapshot
	snapshot     int // bytes of the last one
	compacting   bool
	outstanding  int                                   // jobs of the disk
	behind       map[consensus.ReplicaID]time.Duration // learners that may not vote yet, and until when that stands
	knownCommit  uint64
	written      consensus.HardState  // handed to the disk last
	proposals    map[uint64]*proposal // by index; more than one are linked
	reads        map[uint64]chan consensus.ReadState
	lastToken    uint64
	appliedWaits []appliedWait
	leader       consensus.ReplicaID
	leads        bool
	ledSince     time.Duration // since when it has led, or has not
	changed      chan struct{} // closed when there is another leader
	contacts     contacts
}

// outlet takes what a group wants sent and written.
type outlet interface {
	// send puts messages on their way. One that installs a snapshot is to get the present one, see currentSnapshot.
	send(g *group, messages []consensus.Message)
	// write has a job carried out after all earlier ones; the group is then told by carriedOut.
	write(j job)
}

// proposal waits for the entry at its index to be applied.
type proposal struct {
	index, term uint64
	done        chan ProposeReply // of capacity 1
	next        *proposal         // another one that waits for the same entry
}

// appliedWait is closed once the index is applied.
type appliedWait struct {
	index uint64
	done  chan struct{}
}

func newGroup(partition feed.Partition, state StateMachine) *group {
	return &group{partition: partition, state: state, proposals: make(map[uint64]*proposal),
		reads: make(map[uint64]chan consensus.ReadState), changed: make(chan struct{})}
}

// start makes the machine out of what is stored.
func (g *group) start(now time.Duration, options consensus.Config, stored consensus.PersistentState) error {
	if err := stored.Validate(); err != nil {
		return err
	}
	if s := &stored.Snapshot; s.Index > 0 {
		if err := g.state.Restore(s.Index, s.Data); err != nil {
			return err
		}
		g.applied, g.snapshot = s.Index, len(s.Data)
	}
	g.knownCommit, g.written = stored.HardState.Commit, stored.HardState
	stored.Snapshot.Data = nil // the state machine holds it
	g.machine = consensus.New(now, options, stored)
	g.contacts = contacts{began: now}
	return nil
}

// settle does what the machine wants done. The error is that of a snapshot that the state machine does not take.
func (g *group) settle(out outlet) error {
	var failure error
	for r := g.machine.Ready(); !r.Empty(); r = g.machine.Ready() {
		out.send(g, r.EarlyMessages)
		if err := g.apply(&r); err != nil {
			failure = err
		}
		g.store(&r, out)
		g.answerReads(r.ReadStates)
	}
	if snapshot := g.compaction(); snapshot != nil {
		write := storage.Update{Partition: g.partition, CompactionSnapshot: snapshot}
		g.enqueue(job{group: g, write: write, snapshot: snapshot, bytes: len(snapshot.Data)}, out)
	}
	g.noteLeader()
	return failure
}

// store has a Ready's writes carried out and its messages sent after them. One that need not be on disk and that no
// earlier one precedes is done with at once.
func (g *group) store(r *consensus.Ready, out outlet) {
	if !r.MustSync && g.outstanding == 0 {
		out.send(g, r.Messages)
		return
	}
	if !r.MustSync && g.outstanding >= mostWaitingJobs {
		return // a disk that hangs: messages may be lost, and those that could wait no longer say how things are
	}
	j := job{group: g, ready: *r, write: g.write(r)}
	for i := range r.Entries {
		j.bytes += len(r.Entries[i].Data) + entryOverhead
	}
	if r.Snapshot != nil {
		j.bytes += len(r.Snapshot.Data)
	}
	g.enqueue(j, out)
}

func (g *group) enqueue(j job, out outlet) {
	g.outstanding++
	out.write(j)
}

// carriedOut tells the machine that a job is on the disk, and sends what waited for it.
func (g *group) carriedOut(j *job, out outlet) {
	g.outstanding--
	if j.snapshot != nil {
		g.compacted(j.snapshot)
		return
	}
	g.machine.MarkPersisted(j.ready)
	out.send(g, j.ready.Messages)
}

// propose has the machine propose; nil: it does not lead. A large command that is sent again while it is under way waits
// for the entry that holds it: megabytes that are appended again with each try of a caller would take the links that they
// are waiting for.
func (g *group) propose(now time.Duration, command []byte) *proposal {
	p := &proposal{done: make(chan ProposeReply, 1)}
	if g.underWay(command, p) {
		p.next = g.proposals[p.index]
		g.proposals[p.index] = p
		return p
	}
	var err error
	if p.index, p.term, err = g.machine.Propose(now, command); err != nil {
		return nil
	}
	// Another leader had this log replaced here. Elsewhere the entry may stand yet, and be agreed on by a later one.
	g.answer(p.index, func(*proposal) ProposeReply { return ProposeReply{Outcome: OutcomeUnknown} })
	g.proposals[p.index] = p
	return p
}

// underWay tells whether this replica leads and its log has a large command that is yet to be agreed on, and where.
func (g *group) underWay(command []byte, p *proposal) (found bool) {
	if len(command) < bulkBytes || g.machine.Role() != consensus.Leader || g.machine.Transferring() {
		return false
	}
	p.index, p.term, found = g.machine.FindUncommitted(command)
	return found
}

// answer tells those who wait for an entry.
func (g *group) answer(index uint64, reply func(p *proposal) ProposeReply) {
	for p := g.proposals[index]; p != nil; p = p.next {
		p.done <- reply(p)
	}
	delete(g.proposals, index)
}

// abandon has a proposal wait no longer.
func (g *group) abandon(p *proposal) {
	var kept *proposal
	for q := g.proposals[p.index]; q != nil; {
		next := q.next
		if q != p {
			q.next, kept = kept, q
		}
		q = next
	}
	if kept == nil {
		delete(g.proposals, p.index)
		return
	}
	g.proposals[p.index] = kept
}

// read has the machine confirm an index to read at.
func (g *group) read(now time.Duration) (token uint64, done <-chan consensus.ReadState) {
	g.lastToken++
	answer := make(chan consensus.ReadState, 1)
	g.reads[g.lastToken] = answer
	g.machine.ReadIndex(now, g.lastToken)
	return g.lastToken, answer
}

// apply takes a Ready's snapshot and entries into the state machine and answers those who wait for them. Committed
// entries are applied before this replica's own writes are on disk: a majority has them, and the state machine lives
// in memory.
func (g *group) apply(r *consensus.Ready) error {
	if r.Snapshot != nil {
		if err := g.restore(r.Snapshot); err != nil {
			return err
		}
	}
	for i := range r.CommittedEntries {
		g.applyEntry(&r.CommittedEntries[i])
	}
	if r.HardState != nil {
		g.knownCommit = r.HardState.Commit
	}
	g.wakeApplied()
	return nil
}

func (g *group) restore(s *consensus.Snapshot) error {
	if err := g.state.Restore(s.Index, s.Data); err != nil {
		return err
	}
	g.applied, g.snapshot, g.logBytes = s.Index, len(s.Data), 0
	for index := range g.proposals {
		if index <= s.Index {
			g.answer(index, func(*proposal) ProposeReply { return ProposeReply{Outcome: OutcomeUnknown} })
		}
	}
	return nil
}

func (g *group) applyEntry(e *consensus.Entry) {
	var result []byte
	if e.Kind == consensus.EntryCommand && len(e.Data) > 0 {
		result = g.state.Apply(e.Index, e.Data)
	}
	g.applied = e.Index
	g.logBytes += len(e.Data) + entryOverhead
	g.answer(e.Index, func(p *proposal) ProposeReply {
		if p.term == e.Term {
			return ProposeReply{Outcome: OutcomeCommitted, Result: result}
		}
		return ProposeReply{Outcome: OutcomeDropped}
	})
}

func (g *group) wakeApplied() {
	waiting := g.appliedWaits[:0]
	for _, w := range g.appliedWaits {
		if w.index <= g.applied {
			close(w.done)
		} else {
			waiting = append(waiting, w)
		}
	}
	clear(g.appliedWaits[len(waiting):])
	g.appliedWaits = waiting
}

// forget drops a wait.
func (g *group) forget(done chan struct{}) {
	g.appliedWaits = slices.DeleteFunc(g.appliedWaits, func(w appliedWait) bool { return w.done == done })
}

// answerReads passes confirmed indexes on.
func (g *group) answerReads(states []consensus.ReadState) {
	for _, state := range states {
		if done := g.reads[state.Token]; done != nil {
			delete(g.reads, state.Token)
			done <- state
		}
	}
}

// noteLeader wakes those who wait for another leader.
func (g *group) noteLeader() {
	leader, leads := g.machine.Leader(), g.machine.Role() == consensus.Leader && !g.machine.Transferring()
	if g.leader == leader && g.leads == leads {
		return
	}
	g.leader, g.leads = leader, leads
	close(g.changed)
	g.changed = make(chan struct{})
}

// compaction is the snapshot that is due, or nil.
func (g *group) compaction() *consensus.Snapshot {
	if g.compacting || g.logBytes < max(leastLog, g.snapshot) {
		return nil
	}
	if _, may := g.machine.CreateSnapshot(g.applied, nil); !may {
		return nil // without the state's encoding, which may be large
	}
	snapshot, is := g.machine.CreateSnapshot(g.applied, g.state.Snapshot())
	if !is {
		return nil
	}
	g.compacting, g.logBytes = true, 0
	return &snapshot
}

// compacted notes that the snapshot is on disk.
func (g *group) compacted(snapshot *consensus.Snapshot) {
	g.compacting = false
	g.snapshot = len(snapshot.Data)
	g.machine.Compact(snapshot.Index, nil, max(tailBytes, len(snapshot.Data)))
}

// currentSnapshot fills the message of a snapshot with the state as it is: the machine keeps none, to save memory.
func (g *group) currentSnapshot(message *consensus.Message) {
	data := g.state.Snapshot()
	snapshot, is := g.machine.CreateSnapshot(g.applied, data)
	if !is {
		snapshot = *message.Snapshot // the state machine has not moved on since
		snapshot.Data = data
	}
	message.Snapshot = &snapshot
}

// write is what a Ready wants on the disk. A hard state that differs in its commit index alone goes along with entries.
func (g *group) write(r *consensus.Ready) storage.Update {
	w := storage.Update{Partition: g.partition, InstalledSnapshot: r.Snapshot, Entries: r.Entries, CommitIndex: g.knownCommit}
	if r.HardState != nil && (r.HardState.Term != g.written.Term || r.HardState.Vote != g.written.Vote) {
		g.written = *r.HardState
		w.HardState = r.HardState
	}
	return w
}
