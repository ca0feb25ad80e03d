package consensus

import (
	"encoding/binary"
	"slices"
	"time"
)

// simulatedDisk is what is synced on a host's disk.
type simulatedDisk struct {
	stored       PersistentState
	stalledUntil time.Duration
}

// write performs the writes of a Ready.
func (d *simulatedDisk) write(ready Ready) {
	if ready.Snapshot != nil {
		d.stored.Snapshot = *ready.Snapshot
		d.stored.Entries = nil
	}
	d.writeEntries(ready.Entries)
	if ready.HardState != nil {
		d.stored.HardState = *ready.HardState
	}
}

func (d *simulatedDisk) writeEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - d.stored.Snapshot.Index - 1)
	d.stored.Entries = append(slices.Clone(d.stored.Entries[:keep]), entries...)
}

// compact stores a snapshot of the applied state.
func (d *simulatedDisk) compact(snapshot Snapshot) {
	d.stored.Entries = slices.Clone(d.stored.Entries[snapshot.Index-d.stored.Snapshot.Index:])
	d.stored.Snapshot = snapshot
}

// simulatedProcess drives a node.
type simulatedProcess struct {
	sim           *simulation
	host          *simulatedHost
	id            ReplicaID
	node          *Node
	alive         bool
	hasMembership bool // from the start or from a leader

	pendingReadies []Ready // in order
	writing        bool
	writeStartedAt time.Duration // of the first pending Ready
	frozen         bool
	deferred       []func(node *Node) // what arrived while the process was frozen
	nextTickAt     time.Duration

	applied uint64 // index of the last entry applied
	state   uint64 // of the state machine: a hash over all entries applied (nextState)
	commit  uint64 // commit index that checkCommit saw last
}

func (sim *simulation) boot(host *simulatedHost) {
	if host.process != nil {
		return
	}
	state := host.disk.stored
	state.Entries = slices.Clone(state.Entries)
	started := &simulatedProcess{sim: sim, host: host, id: host.id, alive: true}
	host.process = started
	started.hasMembership = len(state.Snapshot.Membership.Members) > 0 || len(state.Entries) > 0
	config := Config{
		ID:                 host.id,
		HeartbeatInterval:  150 * time.Millisecond,
		ElectionTimeout:    700 * time.Millisecond,
		Seed:               sim.random.Uint64(),
		MaxAppendBytes:     sim.profile.MaxAppendBytes,
		MaxInflightAppends: sim.profile.MaxInflightAppends,
		SnapshotThreshold:  30,
	}
	started.applied = state.Snapshot.Index
	started.state = decodeState(state.Snapshot.Data)
	started.node = New(started.clock(), config, state)
	if started.node.disabled {
		sim.fail("replica %d finds its persistent state invalid: %v", host.id, state.Validate())
		return
	}
	sim.observed.recordSync(host.id, Ready{Entries: state.Entries})
	sim.logf("%d boots: %+v, snapshot %d, log to %d", host.id, state.HardState, state.Snapshot.Index, started.node.log.lastIndex())
	started.run(func(node *Node) {})
}

func (p *simulatedProcess) clock() time.Duration {
	return p.host.clockOffset + time.Duration(float64(p.sim.now)*p.host.clockRate)
}

// run runs a function of the process, deferred while the process is frozen.
func (p *simulatedProcess) run(function func(node *Node)) {
	if !p.alive {
		return
	}
	if p.frozen {
		p.deferred = append(p.deferred, function)
		return
	}
	function(p.node)
	p.takeReadies()
	p.schedule()
}

// schedule schedules the next tick.
func (p *simulatedProcess) schedule() {
	if !p.alive {
		return
	}
	due := p.node.NextTick()
	if due == Never {
		return
	}
	at := time.Duration(float64(due-p.host.clockOffset)/p.host.clockRate) + time.Microsecond
	if p.nextTickAt > p.sim.now && p.nextTickAt <= at {
		return
	}
	p.nextTickAt = max(at, p.sim.now+time.Microsecond)
	when := p.nextTickAt
	p.sim.schedule(p.nextTickAt-p.sim.now, func() {
		if p.nextTickAt != when {
			return
		}
		p.run(func(node *Node) {
			p.watchDisk()
			node.Tick(p.clock())
		})
	})
}

// watchDisk has a leader whose disk hangs step down.
func (p *simulatedProcess) watchDisk() {
	if p.writing && p.sim.now-p.writeStartedAt > 300*time.Millisecond {
		p.node.StepDown(p.clock())
	}
}

func (p *simulatedProcess) takeReadies() {
	for p.sim.profile.Pipelined || len(p.pendingReadies) == 0 {
		ready := p.node.Ready()
		if ready.Empty() {
			return
		}
		p.sim.checkReady(p, ready)
		for _, msg := range ready.EarlyMessages {
			p.sim.send(p, msg)
		}
		p.pendingReadies = append(p.pendingReadies, ready)
		p.processQueue()
	}
}

// processQueue starts or skips the writes of the pending Readies, in order.
func (p *simulatedProcess) processQueue() {
	for len(p.pendingReadies) > 0 && !p.writing {
		ready := p.pendingReadies[0]
		if !ready.MustSync {
			p.pendingReadies = p.pendingReadies[1:]
			if ready.HardState != nil && p.sim.chance(0.5) {
				p.host.disk.stored.HardState = *ready.HardState
			}
			p.processReady(ready)
			continue
		}
		p.writing = true
		p.writeStartedAt = p.sim.now
		p.sim.schedule(p.syncTime(), func() { p.run(func(*Node) { p.finishWrite() }) })
	}
}

func (p *simulatedProcess) syncTime() time.Duration {
	took := p.sim.randomDuration(p.sim.profile.MaxSyncTime/4, p.sim.profile.MaxSyncTime)
	return max(took, p.host.disk.stalledUntil-p.sim.now)
}

func (p *simulatedProcess) finishWrite() {
	if left := p.host.disk.stalledUntil - p.sim.now; left > 0 && p.sim.faults {
		p.sim.schedule(left, func() { p.run(func(*Node) { p.finishWrite() }) })
		return
	}
	ready := p.pendingReadies[0]
	p.pendingReadies = p.pendingReadies[1:]
	p.writing = false
	p.host.disk.write(ready)
	p.sim.observed.recordSync(p.id, ready)
	p.node.MarkPersisted(ready)
	p.processReady(ready)
	p.processQueue()
}

// processReady does the work that follows the writes.
func (p *simulatedProcess) processReady(ready Ready) {
	for _, msg := range ready.Messages {
		p.sim.send(p, msg)
	}
	if ready.Snapshot != nil {
		p.applied = ready.Snapshot.Index
		p.state = decodeState(ready.Snapshot.Data)
		p.sim.checkState(p)
	}
	for _, entry := range ready.CommittedEntries {
		if entry.Index != p.applied+1 {
			p.sim.fail("replica %d applies %d after %d", p.id, entry.Index, p.applied)
		}
		p.applied = entry.Index
		p.state = nextState(p.state, entry)
		p.sim.checkState(p)
	}
	for _, read := range ready.ReadStates {
		p.sim.checkRead(p, read)
	}
	if ready.CompactIndex != 0 {
		p.compact(ready.CompactIndex)
	}
}

func (p *simulatedProcess) compact(index uint64) {
	if index != p.applied {
		p.sim.fail("replica %d must compact %d but has applied %d", p.id, index, p.applied)
		return
	}
	snapshot, ok := p.node.CreateSnapshot(index, binary.BigEndian.AppendUint64(nil, p.state))
	if !ok {
		return // superseded by a snapshot of the leader
	}
	p.sim.schedule(p.syncTime(), func() { p.run(func(node *Node) { p.finishCompaction(snapshot) }) })
}

func (p *simulatedProcess) finishCompaction(snapshot Snapshot) {
	if snapshot.Index <= p.host.disk.stored.Snapshot.Index {
		return
	}
	p.host.disk.compact(snapshot)
	data := snapshot.Data
	if p.sim.profile.NoSnapshotData {
		data = nil
	}
	p.node.Compact(snapshot.Index, data, 0)
}

// kill ends the process. Some of the writes in flight reach the disk, the last of them perhaps in part.
func (p *simulatedProcess) kill() {
	sim := p.sim
	sim.logf("%d is killed", p.id)
	p.alive = false
	p.host.process = nil
	for _, ready := range p.pendingReadies {
		if sim.chance(0.5) {
			p.tearWrite(ready)
			return
		}
		p.host.disk.write(ready)
		sim.observed.recordSync(p.id, ready)
	}
}

// tearWrite performs a part of a Ready's writes.
func (p *simulatedProcess) tearWrite(ready Ready) {
	disk := p.host.disk
	switch p.sim.random.IntN(4) {
	case 0:
	case 1:
		if ready.Snapshot == nil {
			disk.writeEntries(ready.Entries[:p.sim.random.IntN(len(ready.Entries)+1)])
		}
	case 2:
		if ready.HardState != nil {
			disk.stored.HardState = *ready.HardState
		}
	case 3:
		if ready.Snapshot != nil {
			disk.stored.Snapshot = *ready.Snapshot // the log that it replaces remains
		}
	}
}

func (p *simulatedProcess) freeze() {
	p.sim.logf("%d freezes", p.id)
	p.frozen = true
}

func (p *simulatedProcess) unfreeze() {
	if !p.alive || !p.frozen {
		return
	}
	p.sim.logf("%d unfreezes", p.id)
	p.frozen = false
	backlog := p.deferred
	p.deferred = nil
	if p.sim.chance(0.5) { // the timer fires first
		p.run(func(node *Node) { node.Tick(p.clock()) })
	}
	for _, what := range backlog {
		p.run(what)
		p.sim.check()
	}
	p.run(func(node *Node) { node.Tick(p.clock()) })
}
