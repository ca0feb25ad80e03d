package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/storage"
)

// group is this machine's replica of a partition. The host's mutex guards it.
type group struct {
	partition feed.Partition
	node      *consensus.Node // nil before the store is open
	state     StateMachine

	appliedIndex          uint64
	logBytesSinceSnapshot int // of entries applied since the last snapshot
	snapshotBytes         int // bytes of the last one
	snapshotPending       bool
	pendingJobs           int                                   // jobs of the disk
	promotionRetryAt      map[consensus.ReplicaID]time.Duration // learners that may not vote yet, and until when that stands
	commitIndex           uint64
	lastHardState         consensus.HardState  // handed to the disk last
	proposals             map[uint64]*proposal // by index; more than one are linked
	pendingReads          map[uint64]chan consensus.ReadState
	lastReadToken         uint64
	appliedWaiters        []appliedWaiter
	leader                consensus.ReplicaID
	isLeader              bool
	leadershipSince       time.Duration // since when it has led, or has not
	leaderChanged         chan struct{} // closed when there is another leader
	contacts              contacts
}

// groupOutput takes what a group wants sent and written.
type groupOutput interface {
	// send puts messages on their way. One that installs a snapshot is to get the present one, see attachCurrentSnapshot.
	send(g *group, messages []consensus.Message)
	// enqueueWrite has a job carried out after all earlier ones; the group is then told by handlePersisted.
	enqueueWrite(j writeJob)
}

func newGroup(partition feed.Partition, state StateMachine) *group {
	return &group{partition: partition, state: state, proposals: make(map[uint64]*proposal),
		pendingReads: make(map[uint64]chan consensus.ReadState), leaderChanged: make(chan struct{})}
}

// start makes the machine out of what is stored.
func (g *group) start(now time.Duration, options consensus.Config, stored consensus.PersistentState) error {
	if err := stored.Validate(); err != nil {
		return err
	}
	if snapshot := &stored.Snapshot; snapshot.Index > 0 {
		if err := g.state.Restore(snapshot.Index, snapshot.Data); err != nil {
			return err
		}
		g.appliedIndex, g.snapshotBytes = snapshot.Index, len(snapshot.Data)
	}
	g.commitIndex, g.lastHardState = stored.HardState.Commit, stored.HardState
	stored.Snapshot.Data = nil // the state machine holds it
	g.node = consensus.New(now, options, stored)
	g.contacts = contacts{startedAt: now}
	return nil
}

// processReady does what the machine wants done. The error is that of a snapshot that the state machine does not take.
func (g *group) processReady(out groupOutput) error {
	var failure error
	for r := g.node.Ready(); !r.Empty(); r = g.node.Ready() {
		out.send(g, r.EarlyMessages)
		if err := g.applyReady(&r); err != nil {
			failure = err
		}
		g.persistReady(&r, out)
		g.resolveReads(r.ReadStates)
	}
	if snapshot := g.dueSnapshot(); snapshot != nil {
		write := storage.Update{Partition: g.partition, CompactionSnapshot: snapshot}
		g.enqueueJob(writeJob{group: g, write: write, snapshot: snapshot, sizeBytes: len(snapshot.Data)}, out)
	}
	g.updateLeader()
	return failure
}

// persistReady has a Ready's writes carried out and its messages sent after them. One that need not be on disk and that no
// earlier one precedes is done with at once.
func (g *group) persistReady(ready *consensus.Ready, out groupOutput) {
	if !ready.MustSync && g.pendingJobs == 0 {
		out.send(g, ready.Messages)
		return
	}
	if !ready.MustSync && g.pendingJobs >= maxQueuedJobs {
		return // a disk that hangs: messages may be lost, and those that could wait no longer say how things are
	}
	j := writeJob{group: g, ready: *ready, write: g.newWrite(ready)}
	for i := range ready.Entries {
		j.sizeBytes += len(ready.Entries[i].Data) + entryOverheadBytes
	}
	if ready.Snapshot != nil {
		j.sizeBytes += len(ready.Snapshot.Data)
	}
	g.enqueueJob(j, out)
}

func (g *group) enqueueJob(j writeJob, out groupOutput) {
	g.pendingJobs++
	out.enqueueWrite(j)
}

// newWrite is what a Ready wants on the disk. A hard state that differs in its commit index alone goes along with entries.
func (g *group) newWrite(ready *consensus.Ready) storage.Update {
	write := storage.Update{Partition: g.partition, InstalledSnapshot: ready.Snapshot, Entries: ready.Entries, CommitIndex: g.commitIndex}
	if ready.HardState != nil && (ready.HardState.Term != g.lastHardState.Term || ready.HardState.Vote != g.lastHardState.Vote) {
		g.lastHardState = *ready.HardState
		write.HardState = ready.HardState
	}
	return write
}

// handlePersisted tells the machine that a job is on the disk, and sends what waited for it.
func (g *group) handlePersisted(j *writeJob, out groupOutput) {
	g.pendingJobs--
	if j.snapshot != nil {
		g.handleSnapshotPersisted(j.snapshot)
		return
	}
	g.node.MarkPersisted(j.ready)
	out.send(g, j.ready.Messages)
}

// applyReady takes a Ready's snapshot and entries into the state machine and answers those who wait for them. Committed
// entries are applied before this replica's own writes are on disk: a majority has them, and the state machine lives
// in memory.
func (g *group) applyReady(ready *consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := g.restoreSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	for i := range ready.CommittedEntries {
		g.applyEntry(&ready.CommittedEntries[i])
	}
	if ready.HardState != nil {
		g.commitIndex = ready.HardState.Commit
	}
	g.notifyApplied()
	return nil
}

func (g *group) restoreSnapshot(snapshot *consensus.Snapshot) error {
	if err := g.state.Restore(snapshot.Index, snapshot.Data); err != nil {
		return err
	}
	g.appliedIndex, g.snapshotBytes, g.logBytesSinceSnapshot = snapshot.Index, len(snapshot.Data), 0
	for index := range g.proposals {
		if index <= snapshot.Index {
			g.resolveProposals(index, func(*proposal) ProposeReply { return ProposeReply{Outcome: OutcomeUnknown} })
		}
	}
	return nil
}

func (g *group) applyEntry(entry *consensus.Entry) {
	var result []byte
	if entry.Kind == consensus.EntryCommand && len(entry.Data) > 0 {
		result = g.state.Apply(entry.Index, entry.Data)
	}
	g.appliedIndex = entry.Index
	g.logBytesSinceSnapshot += len(entry.Data) + entryOverheadBytes
	g.resolveProposals(entry.Index, func(p *proposal) ProposeReply {
		if p.term == entry.Term {
			return ProposeReply{Outcome: OutcomeCommitted, Result: result}
		}
		return ProposeReply{Outcome: OutcomeDropped}
	})
}

// updateLeader wakes those who wait for another leader.
func (g *group) updateLeader() {
	leader, leads := g.node.Leader(), g.node.Role() == consensus.Leader && !g.node.Transferring()
	if g.leader == leader && g.isLeader == leads {
		return
	}
	g.leader, g.isLeader = leader, leads
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
}
