package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/storage"
)

// group is this machine's replica of one partition: a consensus node, the state machine that it drives, and the
// requests that wait for either. The host's mutex guards it.
type group struct {
	partition feed.Partition
	node      *consensus.Node // nil until the store is open
	state     StateMachine

	appliedIndex          uint64 // of the state machine
	logBytesSinceSnapshot int    // of applied entries, with entryOverheadBytes for each
	snapshotBytes         int    // of the last snapshot
	snapshotPending       bool
	pendingJobs           int                                   // in the disk writer
	promotionRetryAt      map[consensus.ReplicaID]time.Duration // by learner that was too far behind to vote
	commitIndex           uint64                                // known to be committed; written along with the next entries
	lastHardState         consensus.HardState                   // given to the disk writer last
	proposals             map[uint64]*proposal                  // by index, linked if there are several
	pendingReads          map[uint64]chan consensus.ReadState   // by token of Node.ReadIndex
	lastReadToken         uint64
	appliedWaiters        []appliedWaiter
	leader                consensus.ReplicaID // as updateLeader last saw it; 0: unknown
	isLeader              bool                // and not transferring leadership
	leadershipSince       time.Duration       // when isLeader last changed, on the host's clock
	leaderChanged         chan struct{}       // closed when the leader changes
	contacts              contacts
}

// groupOutput is where a group sends its messages and writes. The host implements it, and tests with simulated disks
// and networks.
type groupOutput interface {
	// send sends messages without blocking; they may be lost. It must call attachCurrentSnapshot for a message that
	// installs a snapshot.
	send(g *group, messages []consensus.Message)
	// enqueueWrite writes a job after all earlier ones without blocking, and then calls the group's handlePersisted.
	enqueueWrite(j writeJob)
}

// newGroup returns a group that has no consensus node before start.
func newGroup(partition feed.Partition, state StateMachine) *group {
	return &group{
		partition:     partition,
		state:         state,
		proposals:     make(map[uint64]*proposal),
		pendingReads:  make(map[uint64]chan consensus.ReadState),
		leaderChanged: make(chan struct{}),
	}
}

// start creates the consensus node from its persistent state and restores the state machine.
func (g *group) start(now time.Duration, options consensus.Config, stored consensus.PersistentState) error {
	if err := stored.Validate(); err != nil {
		return err
	}
	if snapshot := &stored.Snapshot; snapshot.Index > 0 {
		if err := g.state.Restore(snapshot.Index, snapshot.Data); err != nil {
			return err
		}
		g.appliedIndex = snapshot.Index
		g.snapshotBytes = len(snapshot.Data)
	}
	g.commitIndex = stored.HardState.Commit
	g.lastHardState = stored.HardState
	stored.Snapshot.Data = nil // the state machine has it; this frees the memory
	g.node = consensus.New(now, options, stored)
	g.contacts = contacts{startedAt: now}
	return nil
}

// processReady handles the output of the consensus node until there is none left. The error is that of a snapshot
// that the state machine rejected.
func (g *group) processReady(output groupOutput) error {
	var failure error
	for ready := g.node.Ready(); !ready.Empty(); ready = g.node.Ready() {
		output.send(g, ready.EarlyMessages)
		if err := g.applyReady(&ready); err != nil {
			failure = err
		}
		g.persistReady(&ready, output)
		g.resolveReads(ready.ReadStates)
	}
	if snapshot := g.dueSnapshot(); snapshot != nil {
		write := storage.Update{Partition: g.partition, CompactionSnapshot: snapshot}
		g.enqueueJob(writeJob{group: g, write: write, snapshot: snapshot, sizeBytes: len(snapshot.Data)}, output)
	}
	g.updateLeader()
	return failure
}

// persistReady enqueues the writes of a Ready; its messages are sent once they are durable. A Ready that needs no
// sync is completed at once if no earlier write is pending.
func (g *group) persistReady(ready *consensus.Ready, output groupOutput) {
	if !ready.MustSync && g.pendingJobs == 0 {
		output.send(g, ready.Messages)
		return
	}
	if !ready.MustSync && g.pendingJobs >= maxQueuedJobs {
		return // the disk hangs: messages may be lost, and these would be outdated by the time they could be sent
	}
	job := writeJob{group: g, ready: *ready, write: g.newWrite(ready)}
	for i := range ready.Entries {
		job.sizeBytes += len(ready.Entries[i].Data) + entryOverheadBytes
	}
	if ready.Snapshot != nil {
		job.sizeBytes += len(ready.Snapshot.Data)
	}
	g.enqueueJob(job, output)
}

// enqueueJob passes a job to the disk writer and counts it as pending.
func (g *group) enqueueJob(job writeJob, output groupOutput) {
	g.pendingJobs++
	output.enqueueWrite(job)
}

// newWrite returns the storage write of a Ready. A hard state in which only the commit index changed is not written
// by itself; the index is stored along with the next entries.
func (g *group) newWrite(ready *consensus.Ready) storage.Update {
	write := storage.Update{
		Partition:         g.partition,
		InstalledSnapshot: ready.Snapshot,
		Entries:           ready.Entries,
		CommitIndex:       g.commitIndex,
	}
	hardState := ready.HardState
	if hardState != nil && (hardState.Term != g.lastHardState.Term || hardState.Vote != g.lastHardState.Vote) {
		g.lastHardState = *hardState
		write.HardState = hardState
	}
	return write
}

// handlePersisted notifies the consensus node that a job is durable and sends the messages that waited for it.
func (g *group) handlePersisted(job *writeJob, output groupOutput) {
	g.pendingJobs--
	if job.snapshot != nil {
		g.handleSnapshotPersisted(job.snapshot)
		return
	}
	g.node.MarkPersisted(job.ready)
	output.send(g, job.ready.Messages)
}

// applyReady applies the snapshot and the committed entries of a Ready and resolves the requests that wait for them.
// Committed entries are applied before this replica's own writes are durable: a majority has them, and the state
// machine is kept in memory only.
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

// restoreSnapshot replaces the state machine's state. Proposals at the indexes that the snapshot covers end with an
// unknown outcome.
func (g *group) restoreSnapshot(snapshot *consensus.Snapshot) error {
	if err := g.state.Restore(snapshot.Index, snapshot.Data); err != nil {
		return err
	}
	g.appliedIndex = snapshot.Index
	g.snapshotBytes = len(snapshot.Data)
	g.logBytesSinceSnapshot = 0
	for index := range g.proposals {
		if index <= snapshot.Index {
			g.resolveProposals(index, func(*proposal) ProposeReply { return ProposeReply{Outcome: OutcomeUnknown} })
		}
	}
	return nil
}

// applyEntry applies one committed entry and resolves the proposals at its index: a proposal of another term was
// overwritten.
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

// updateLeader records the current leader and closes leaderChanged if it differs from the last one.
func (g *group) updateLeader() {
	leader, leads := g.node.Leader(), g.node.Role() == consensus.Leader && !g.node.Transferring()
	if g.leader == leader && g.isLeader == leads {
		return
	}
	g.leader = leader
	g.isLeader = leads
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
}
