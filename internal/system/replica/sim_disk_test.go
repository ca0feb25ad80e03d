package replica

import (
	"errors"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/storage"
)

// storedEntry is a log entry with the commit index stored along with it.
type storedEntry struct {
	entry     consensus.Entry
	committed uint64
}

// simDisk has what is durable on a machine's disk. It models storage.Store with one partition.
type simDisk struct {
	id        consensus.ReplicaID // 0: no replica yet
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []storedEntry

	stalledUntil, failsUntil time.Duration
}

func (d *simDisk) write(write *storage.Update) {
	if write.InstalledSnapshot != nil {
		d.snapshot = *write.InstalledSnapshot
		d.entries = nil
	}
	if write.HardState != nil {
		d.hardState = *write.HardState
	}
	if len(write.Entries) > 0 {
		d.truncateFrom(write.Entries[0].Index)
	}
	for _, e := range write.Entries {
		d.entries = append(d.entries, storedEntry{e, write.CommitIndex})
	}
	if write.CompactionSnapshot == nil {
		return
	}
	d.snapshot = *write.CompactionSnapshot
	d.entries = slices.DeleteFunc(d.entries, func(k storedEntry) bool { return k.entry.Index <= write.CompactionSnapshot.Index })
}

func (d *simDisk) truncateFrom(index uint64) {
	d.entries = slices.DeleteFunc(d.entries, func(k storedEntry) bool { return k.entry.Index >= index })
}

// load returns the persistent state that a process finds.
func (d *simDisk) load() consensus.PersistentState {
	stored := consensus.PersistentState{HardState: d.hardState, Snapshot: d.snapshot}
	last := d.snapshot.Index
	for _, k := range d.entries {
		stored.Entries = append(stored.Entries, k.entry)
		stored.HardState.Commit = max(stored.HardState.Commit, k.committed)
		last = k.entry.Index
	}
	stored.HardState.Commit = min(max(stored.HardState.Commit, d.snapshot.Index), last)
	return stored
}

var errDiskFull = errors.New("no space left on device")

// enqueueWrite implements groupOutput.
func (p *simProcess) enqueueWrite(j writeJob) {
	p.queuedJobs = append(p.queuedJobs, j)
	if p.sim.injected.sendsBeforeSync {
		p.send(p.group, j.ready.Messages)
	}
}

// startWrite starts a transaction with all queued jobs, as Host.writeQueued does.
func (p *simProcess) startWrite() {
	if len(p.activeJobs) > 0 || len(p.queuedJobs) == 0 {
		return
	}
	p.activeJobs = p.queuedJobs
	p.queuedJobs = nil
	if len(durableWrites(p.activeJobs)) == 0 {
		p.sim.schedule(time.Microsecond, func() { p.execute(p.handlePersisted) })
		return
	}
	p.writeStarted = max(p.clock(), 1)
	p.retryBackoff = minDiskBackoff
	p.host.disk.recordAttempt(p.writeStarted, nil)
	p.sim.schedule(p.syncTime(), p.finishWrite)
}

// syncTime returns the duration of a transaction.
func (p *simProcess) syncTime() time.Duration {
	return p.sim.uniform(p.sim.profile.SyncTime/4, p.sim.profile.SyncTime)
}

// finishWrite ends a transaction: it succeeds, fails and is retried, or hangs.
func (p *simProcess) finishWrite() {
	sim := p.sim
	d := p.machine.disk
	switch {
	case !p.alive:
	case sim.now < d.stalledUntil:
		sim.schedule(d.stalledUntil-sim.now, p.finishWrite)
	case sim.now < d.failsUntil:
		p.execute(func() {
			p.host.disk.recordAttempt(p.writeStarted, errDiskFull)
			p.tick()
		})
		sim.schedule(p.retryBackoff, p.finishWrite)
		p.retryBackoff = min(2*p.retryBackoff, maxDiskBackoff)
	default:
		p.syncWrites(durableWrites(p.activeJobs))
		p.execute(p.handlePersisted)
	}
}

// syncWrites makes writes durable.
func (p *simProcess) syncWrites(writes []storage.Update) {
	for i := range writes {
		p.machine.disk.write(&writes[i])
		p.sim.oracle.recordSynced(p.machine.id(), &writes[i])
	}
}

// handlePersisted models Host.handlePersisted.
func (p *simProcess) handlePersisted() {
	jobs := p.activeJobs
	p.activeJobs = nil
	p.host.disk.recordAttempt(0, nil)
	for i := range jobs {
		p.group.handlePersisted(&jobs[i], p)
	}
}
