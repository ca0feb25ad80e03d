package consensus

import (
	"encoding/binary"
	"slices"
	"time"
)

// disk is what is synced on a slot's disk.
type disk struct {
	stored       PersistentState
	stalledUntil time.Duration
}

// write takes over the writes of a Ready.
func (d *disk) write(r Ready) {
	if r.Snapshot != nil {
		d.stored.Snapshot = *r.Snapshot
		d.stored.Entries = nil
	}
	d.writeEntries(r.Entries)
	if r.HardState != nil {
		d.stored.HardState = *r.HardState
	}
}

func (d *disk) writeEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - d.stored.Snapshot.Index - 1)
	d.stored.Entries = append(slices.Clone(d.stored.Entries[:keep]), entries...)
}

// compact takes over a snapshot of the applied state.
func (d *disk) compact(s Snapshot) {
	d.stored.Entries = slices.Clone(d.stored.Entries[s.Index-d.stored.Snapshot.Index:])
	d.stored.Snapshot = s
}

// process drives a machine.
type process struct {
	world   *world
	slot    *slot
	id      ReplicaID
	machine *Node
	alive   bool
	heard   bool // a leader, or it knew its membership from the start

	queue   []Ready // in order, not done yet
	writing bool
	waitsAt time.Duration // since when the head of the queue is being written
	frozen  bool
	backlog []func(m *Node)
	tickAt  time.Duration

	applied uint64
	state   uint64
	commit  uint64
}

func (w *world) boot(s *slot) {
	if s.process != nil {
		return
	}
	stored := s.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	p := &process{world: w, slot: s, id: s.id, alive: true}
	s.process = p
	p.heard = len(stored.Snapshot.Membership.Members) > 0 || len(stored.Entries) > 0
	o := Config{ID: s.id, HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: 700 * time.Millisecond,
		Seed: w.random.Uint64(), MaxAppendBytes: w.profile.AppendBytes, MaxInflightAppends: w.profile.Inflight, SnapshotThreshold: 30}
	p.applied = stored.Snapshot.Index
	p.state = decodeState(stored.Snapshot.Data)
	p.machine = New(p.clock(), o, stored)
	if p.machine.disabled {
		w.fail("replica %d finds what was stored senseless: %v", s.id, stored.Validate())
		return
	}
	w.truth.noteSynced(s.id, Ready{Entries: stored.Entries})
	w.logf("%d boots: %+v, snapshot %d, log to %d", s.id, stored.HardState, stored.Snapshot.Index, p.machine.log.lastIndex())
	p.do(func(m *Node) {})
}

func (p *process) clock() time.Duration {
	return p.slot.offset + time.Duration(float64(p.world.now)*p.slot.rate)
}

// do runs something of the process, later if it is frozen.
func (p *process) do(what func(m *Node)) {
	if !p.alive {
		return
	}
	if p.frozen {
		p.backlog = append(p.backlog, what)
		return
	}
	what(p.machine)
	p.drain()
	p.schedule()
}

// schedule has Tick called when it is due.
func (p *process) schedule() {
	if !p.alive {
		return
	}
	due := p.machine.NextTick()
	if due == Never {
		return
	}
	at := time.Duration(float64(due-p.slot.offset)/p.slot.rate) + time.Microsecond
	if p.tickAt > p.world.now && p.tickAt <= at {
		return
	}
	p.tickAt = max(at, p.world.now+time.Microsecond)
	when := p.tickAt
	p.world.after(p.tickAt-p.world.now, func() {
		if p.tickAt != when {
			return
		}
		p.do(func(m *Node) {
			p.watchDisk()
			m.Tick(p.clock())
		})
	})
}

// watchDisk has a process whose disk hangs give leadership up.
func (p *process) watchDisk() {
	if p.writing && p.world.now-p.waitsAt > 300*time.Millisecond {
		p.machine.StepDown(p.clock())
	}
}

func (p *process) drain() {
	for p.world.profile.Pipelined || len(p.queue) == 0 {
		r := p.machine.Ready()
		if r.Empty() {
			return
		}
		p.world.checkReady(p, r)
		for _, msg := range r.EarlyMessages {
			p.world.send(p, msg)
		}
		p.queue = append(p.queue, r)
		p.pump()
	}
}

// pump does what is first in the queue.
func (p *process) pump() {
	for len(p.queue) > 0 && !p.writing {
		r := p.queue[0]
		if !r.MustSync {
			p.queue = p.queue[1:]
			if r.HardState != nil && p.world.chance(0.5) {
				p.slot.disk.stored.HardState = *r.HardState
			}
			p.finish(r)
			continue
		}
		p.writing = true
		p.waitsAt = p.world.now
		p.world.after(p.syncTime(), func() { p.do(func(*Node) { p.synced() }) })
	}
}

func (p *process) syncTime() time.Duration {
	took := p.world.between(p.world.profile.SyncTime/4, p.world.profile.SyncTime)
	return max(took, p.slot.disk.stalledUntil-p.world.now)
}

func (p *process) synced() {
	if left := p.slot.disk.stalledUntil - p.world.now; left > 0 && p.world.faults {
		p.world.after(left, func() { p.do(func(*Node) { p.synced() }) })
		return
	}
	r := p.queue[0]
	p.queue = p.queue[1:]
	p.writing = false
	p.slot.disk.write(r)
	p.world.truth.noteSynced(p.id, r)
	p.machine.MarkPersisted(r)
	p.finish(r)
	p.pump()
}

// finish does what comes after the writes.
func (p *process) finish(r Ready) {
	for _, msg := range r.Messages {
		p.world.send(p, msg)
	}
	if r.Snapshot != nil {
		p.applied, p.state = r.Snapshot.Index, decodeState(r.Snapshot.Data)
		p.world.checkState(p)
	}
	for _, entry := range r.CommittedEntries {
		if entry.Index != p.applied+1 {
			p.world.fail("replica %d applies %d after %d", p.id, entry.Index, p.applied)
		}
		p.applied = entry.Index
		p.state = nextState(p.state, entry)
		p.world.checkState(p)
	}
	for _, read := range r.ReadStates {
		p.world.checkRead(p, read)
	}
	if r.CompactIndex != 0 {
		p.compact(r.CompactIndex)
	}
}

func (p *process) compact(index uint64) {
	if index != p.applied {
		p.world.fail("replica %d is to compact %d, but is at %d", p.id, index, p.applied)
		return
	}
	snapshot, is := p.machine.CreateSnapshot(index, binary.BigEndian.AppendUint64(nil, p.state))
	if !is {
		return // a snapshot of the leader came meanwhile
	}
	p.world.after(p.syncTime(), func() { p.do(func(m *Node) { p.compacted(snapshot) }) })
}

func (p *process) compacted(snapshot Snapshot) {
	if snapshot.Index <= p.slot.disk.stored.Snapshot.Index {
		return
	}
	p.slot.disk.compact(snapshot)
	data := snapshot.Data
	if p.world.profile.Bare {
		data = nil
	}
	p.machine.Compact(snapshot.Index, data, 0)
}

// kill ends the process. Of the writes under way some are on disk, and the last of them may be torn.
func (p *process) kill() {
	w := p.world
	w.logf("%d is killed", p.id)
	p.alive = false
	p.slot.process = nil
	for _, r := range p.queue {
		if w.chance(0.5) {
			p.tear(r)
			return
		}
		p.slot.disk.write(r)
		w.truth.noteSynced(p.id, r)
	}
}

// tear writes a part of a Ready.
func (p *process) tear(r Ready) {
	d := p.slot.disk
	switch p.world.random.IntN(4) {
	case 0:
	case 1:
		if r.Snapshot == nil {
			d.writeEntries(r.Entries[:p.world.random.IntN(len(r.Entries)+1)])
		}
	case 2:
		if r.HardState != nil {
			d.stored.HardState = *r.HardState
		}
	case 3:
		if r.Snapshot != nil {
			d.stored.Snapshot = *r.Snapshot // the log that it replaces is still there
		}
	}
}

func (p *process) freeze() {
	p.world.logf("%d freezes", p.id)
	p.frozen = true
}

func (p *process) thaw() {
	if !p.alive || !p.frozen {
		return
	}
	p.world.logf("%d thaws", p.id)
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	if p.world.chance(0.5) { // the timer fires first
		p.do(func(m *Node) { m.Tick(p.clock()) })
	}
	for _, what := range backlog {
		p.do(what)
		p.world.check()
	}
	p.do(func(m *Node) { m.Tick(p.clock()) })
}
