package replica

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/storage"
)

// keptEntry is an entry as it is stored.
type keptEntry struct {
	entry     consensus.Entry
	committed uint64
}

// coreDisk is what is synced on a machine's disk: a model of storage.Store with one partition.
type coreDisk struct {
	id       consensus.ReplicaID // 0: of no replica yet
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []keptEntry

	stalledUntil, failsUntil time.Duration
}

func (d *coreDisk) write(w *storage.Update) {
	if w.InstalledSnapshot != nil {
		d.snapshot, d.entries = *w.InstalledSnapshot, nil
	}
	if w.HardState != nil {
		d.hard = *w.HardState
	}
	if len(w.Entries) > 0 {
		d.cutFrom(w.Entries[0].Index)
	}
	for _, e := range w.Entries {
		d.entries = append(d.entries, keptEntry{e, w.CommitIndex})
	}
	if w.CompactionSnapshot == nil {
		return
	}
	d.snapshot = *w.CompactionSnapshot
	d.entries = slices.DeleteFunc(d.entries, func(k keptEntry) bool { return k.entry.Index <= w.CompactionSnapshot.Index })
}

func (d *coreDisk) cutFrom(index uint64) {
	d.entries = slices.DeleteFunc(d.entries, func(k keptEntry) bool { return k.entry.Index >= index })
}

// load is what a process finds.
func (d *coreDisk) load() consensus.PersistentState {
	stored := consensus.PersistentState{HardState: d.hard, Snapshot: d.snapshot}
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

// coreProcess is a control process: a Host without its sockets, its goroutines and its clock.
type coreProcess struct {
	world  *coreWorld
	slot   *coreSlot
	host   *Host
	group  *group
	state  *state.Configuration
	alive  bool
	frozen bool
	thawed time.Duration
	// backlog is what came while the process was frozen.
	backlog []func()
	tickAt  time.Duration

	jobs    []writeJob // that wait for the disk
	writing []writeJob // under way
	began   time.Duration
	pause   time.Duration

	sendingSnapshot map[int]bool          // by number of the machine
	transfers       map[int]*bulkTransfer // by number of the machine
	link            *coreLink             // nil: its bandwidth has no bound
	waits           []func() bool
	version         uint64 // of the configuration, as it was last seen
	applied         uint64
}

// boot starts a machine's process unless it runs.
func (w *coreWorld) boot(s *coreSlot) {
	if s.process != nil || s.retired {
		return
	}
	p := &coreProcess{world: w, slot: s, alive: true, sendingSnapshot: map[int]bool{}, transfers: map[int]*bulkTransfer{}}
	if w.profile.Bandwidth > 0 {
		p.link = &coreLink{world: w}
	}
	p.state = state.NewConfiguration(p.clock, func() {})
	p.host = New(Options{Settings: &s.settings, StateMachines: []StateMachine{&coreState{Configuration: p.state, process: p}}})
	p.group = p.host.groups[0]
	w.establish(s)
	stored := s.disk.load()
	options := nodeOptions(s.disk.id, w.random.Uint64(), defaultHeartbeatInterval, defaultElectionTimeout)
	if err := p.group.start(p.clock(), options, stored); err != nil {
		w.fail("machine %d finds what it stored senseless: %v", s.number, err)
		return
	}
	s.process = p
	p.host.self.ID = s.disk.id
	p.version, p.applied = p.state.Version(), p.group.appliedIndex
	w.truth.noteBoot(w, p, &stored)
	for _, other := range w.inUse() { // as membership gossip tells
		p.host.addAddress(other.address())
		if other.process != nil {
			other.process.host.addAddress(s.address())
		}
	}
	w.logf("%d boots as %s: %+v, snapshot %d, log to %d", s.number, formatReplicaID(s.disk.id), stored.HardState, stored.Snapshot.Index,
		p.group.node.Status().LastIndex)
	p.do(func() {})
}

// establish makes an empty disk that of a new replica, as Host.establish does.
func (w *coreWorld) establish(s *coreSlot) {
	if s.disk.id != 0 {
		return
	}
	s.disk.id = consensus.ReplicaID(max(w.random.Uint64(), 1))
	if founders, founds := bootstrapMembership(&s.settings); founds {
		s.disk.id = founderID(s.settings.IP)
		s.disk.snapshot.Membership = founders
		w.truth.noteMembership(founders)
	}
	s.settings.FirstBoot = false
}

// clock is the machine's steady time.
func (p *coreProcess) clock() time.Duration {
	return p.slot.offset + time.Duration(float64(p.world.now)*p.slot.rate)
}

// do runs something of the process, later if it is frozen.
func (p *coreProcess) do(what func()) {
	if !p.alive {
		return
	}
	if p.frozen {
		p.backlog = append(p.backlog, what)
		return
	}
	what()
	if p.alive {
		p.settle()
	}
}

// settle does what the machine wants done, and what waited for that.
func (p *coreProcess) settle() {
	for more := true; more; more = p.runWaits() {
		if err := p.group.processReady(p); err != nil {
			p.world.fail("machine %d does not take a snapshot: %v", p.slot.number, err)
		}
		p.world.checkStep(p)
	}
	p.startWrite()
	p.schedule()
}

// runWaits goes on with what waits for something that is now so, and tells whether there was any.
func (p *coreProcess) runWaits() (ran bool) {
	for i := 0; i < len(p.waits); {
		if p.waits[i]() {
			p.waits = slices.Delete(p.waits, i, i+1)
			ran = true
			continue
		}
		i++
	}
	return ran
}

// await goes on once poll holds, or else with late once the time has come.
func (p *coreProcess) await(deadline time.Duration, poll func() bool, late func()) {
	over := false
	p.waits = append(p.waits, func() bool {
		over = over || poll()
		return over
	})
	p.at(deadline, func() {
		if !over {
			over = true
			late()
		}
	})
}

// at runs something of the process at a time of its clock.
func (p *coreProcess) at(due time.Duration, what func()) {
	p.world.after(time.Duration(float64(due-p.clock())/p.slot.rate), func() { p.do(what) })
}

// schedule has the process tick when it is due.
func (p *coreProcess) schedule() {
	due := p.host.nextDeadline()
	at := max(time.Duration(float64(due-p.slot.offset)/p.slot.rate)+time.Microsecond, p.world.now+time.Microsecond)
	if p.tickAt > p.world.now && p.tickAt <= at {
		return
	}
	p.tickAt = at
	p.world.after(at-p.world.now, func() {
		if p.tickAt == at {
			p.do(p.tick)
		}
	})
}

// tick is Host.tick.
func (p *coreProcess) tick() {
	now := p.clock()
	if _, stepDown := p.host.disk.checkHealth(now, 2*defaultElectionTimeout); stepDown && !p.world.plant.stubborn {
		p.group.node.StepDown(now)
	}
	if p.group.node.NextTick() <= now {
		p.group.node.Tick(now)
	}
	if now >= p.host.nextMembershipCheck {
		p.host.nextMembershipCheck = now + membershipCheckInterval
		p.manage(now)
	}
}

// manage is Host.manage.
func (p *coreProcess) manage(now time.Duration) {
	before := p.group.node.Membership()
	if p.group.node.Role() == consensus.Leader && p.host.changeMembership(now, p.group) {
		p.host.nextMembershipCheck = now + membershipRecheckDelay
		p.world.checkChange(p, before, p.group.node.Membership())
	}
	if p.host.needsJoin(now) {
		p.host.joinRequests.add(p.host.self, now)
		p.join(now)
	}
}

// leave is what Host.Leave and Host.Stop do as the process is told to end.
func (p *coreProcess) leave() {
	p.do(func() {
		p.host.leaving = true
		p.group.node.StepDown(p.clock())
		p.announceLeaving(p.clock() + transferTimeout)
	})
}

func (p *coreProcess) announceLeaving(until time.Duration) {
	w, id := p.world, p.slot.id()
	p.host.departures.add(id, p.clock())
	for _, to := range w.inUse() {
		if to == p.slot {
			continue
		}
		w.carry(p.slot, to, false, func(told *coreProcess) {
			told.host.departures.add(id, told.clock())
			told.host.nextMembershipCheck = min(told.host.nextMembershipCheck, told.clock()+membershipRecheckDelay)
		})
	}
	if p.clock() >= until || p.group.node.Role() != consensus.Leader && !isVoteMovable(p.group.node.Status(), id) {
		p.kill()
		return
	}
	p.at(p.clock()+leaveInterval, func() { p.announceLeaving(until) })
}

// join is Host.join.
func (p *coreProcess) join(now time.Duration) {
	if now < p.host.nextJoin {
		return
	}
	p.host.nextJoin = now + joinTimeout/2
	var addresses []netip.AddrPort
	for address := range p.host.peerAddresses() {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	for _, address := range addresses {
		if to := p.world.byPort[address]; to != nil {
			p.joinAt(to)
		}
	}
}

func (p *coreProcess) joinAt(to *coreSlot) {
	w, member := p.world, p.host.self
	w.carry(p.slot, to, false, func(asked *coreProcess) {
		asked.host.joinRequests.add(member, asked.clock())
		members := asked.host.members()
		w.carry(to, p.slot, false, func(asker *coreProcess) {
			for _, m := range members {
				if address, err := netip.ParseAddrPort(m.Address); err == nil {
					asker.host.addAddress(address)
					asker.host.peers.learnAddress(m.ID, address)
				}
			}
		})
	})
}

// send puts messages on their way; see outlet.
func (p *coreProcess) send(g *group, messages []consensus.Message) {
	for i := range messages {
		message := messages[i]
		address, known := p.host.destination(g, message.To)
		to := p.world.byPort[address]
		if !known || to == nil {
			continue
		}
		p.world.checkSent(p, &message)
		if message.Kind == consensus.MessageInstallSnapshot {
			p.sendSnapshot(to, message)
			continue
		}
		if p.link != nil {
			p.sendOver(to, &message)
			continue
		}
		p.deliver(to, &message, true)
	}
}

// sendSnapshot sends one at a time to a machine, as peers.sendSnapshot does.
func (p *coreProcess) sendSnapshot(to *coreSlot, message consensus.Message) {
	if p.sendingSnapshot[to.number] {
		return
	}
	p.world.counts.numbers.snapshots++
	p.sendingSnapshot[to.number] = true
	p.group.attachCurrentSnapshot(&message)
	if p.link != nil {
		p.sendSnapshotOver(to, &message)
		return
	}
	p.world.after(p.world.profile.Delay+50*time.Millisecond, func() {
		delete(p.sendingSnapshot, to.number)
		if p.alive {
			p.deliver(to, &message, false)
		}
	})
}

func (p *coreProcess) deliver(to *coreSlot, message *consensus.Message, ordered bool) {
	p.deliverEncoded(to, appendMessage(nil, p.group.partition, message), ordered)
}

// deliverEncoded brings messages to a machine, as a DeliverRequest does.
func (p *coreProcess) deliverEncoded(to *coreSlot, encoded []byte, ordered bool) {
	w := p.world
	w.carry(p.slot, to, ordered, func(receiver *coreProcess) {
		for rest := encoded; len(rest) > 0; {
			partition, message, after, err := readMessage(rest)
			if err != nil {
				w.fail("a message does not decode: %v", err)
				return
			}
			rest = after
			receiver.host.stepMessage(receiver.clock(), partition, message)
		}
	})
}

// enqueueWrite has a job carried out; see outlet.
func (p *coreProcess) enqueueWrite(j writeJob) {
	p.jobs = append(p.jobs, j)
	if p.world.plant.earlyMessages {
		p.send(p.group, j.ready.Messages)
	}
}

// startWrite begins a transaction of all that waits, as Host.writeQueued does.
func (p *coreProcess) startWrite() {
	if len(p.writing) > 0 || len(p.jobs) == 0 {
		return
	}
	p.writing, p.jobs = p.jobs, nil
	if len(durableWrites(p.writing)) == 0 {
		p.world.after(time.Microsecond, func() { p.do(p.carriedOut) })
		return
	}
	p.began = max(p.clock(), 1)
	p.pause = minDiskBackoff
	p.host.disk.recordAttempt(p.began, nil)
	p.world.after(p.syncTime(), p.tryWrite)
}

func (p *coreProcess) syncTime() time.Duration {
	return p.world.between(p.world.profile.SyncTime/4, p.world.profile.SyncTime)
}

// tryWrite is the end of a transaction: it succeeds, fails, or hangs for longer.
func (p *coreProcess) tryWrite() {
	w, d := p.world, p.slot.disk
	switch {
	case !p.alive:
	case w.now < d.stalledUntil:
		w.after(d.stalledUntil-w.now, p.tryWrite)
	case w.now < d.failsUntil:
		p.do(func() {
			p.host.disk.recordAttempt(p.began, errDiskFull)
			p.tick()
		})
		w.after(p.pause, p.tryWrite)
		p.pause = min(2*p.pause, maxDiskBackoff)
	default:
		p.sync(durableWrites(p.writing))
		p.do(p.carriedOut)
	}
}

func (p *coreProcess) sync(writes []storage.Update) {
	for i := range writes {
		p.slot.disk.write(&writes[i])
		p.world.truth.noteSynced(p.slot.id(), &writes[i])
	}
}

// handlePersisted is Host.persisted.
func (p *coreProcess) carriedOut() {
	jobs := p.writing
	p.writing = nil
	p.host.disk.recordAttempt(0, nil)
	for i := range jobs {
		p.group.handlePersisted(&jobs[i], p)
	}
}

// kill ends the process. Of the transaction under way all, nothing or a part is on disk.
func (p *coreProcess) kill() {
	w := p.world
	w.logf("%d is killed", p.slot.number)
	p.alive = false
	p.slot.process = nil
	writes := durableWrites(p.writing)
	if len(writes) == 0 || w.now < p.slot.disk.failsUntil {
		return
	}
	kept := w.random.IntN(len(writes) + 1)
	p.sync(writes[:kept])
	if kept == len(writes) {
		return
	}
	if torn := writes[kept]; torn.InstalledSnapshot == nil && torn.CompactionSnapshot == nil && len(torn.Entries) > 0 {
		torn.Entries = torn.Entries[:w.random.IntN(len(torn.Entries)+1)]
		p.sync([]storage.Update{torn})
	}
}

func (p *coreProcess) thaw() {
	if !p.alive || !p.frozen {
		return
	}
	p.world.logf("%d thaws", p.slot.number)
	p.frozen, p.thawed = false, p.world.now
	backlog := p.backlog
	p.backlog = nil
	if p.world.chance(0.5) { // the timer fires first
		p.do(p.tick)
	}
	for _, what := range backlog {
		p.do(what)
	}
	p.do(p.tick)
}

// coreState is the state machine, looked at as it applies.
type coreState struct {
	*state.Configuration
	process *coreProcess
}

// Apply takes an agreed command.
func (s *coreState) Apply(index uint64, command []byte) []byte {
	result := s.Configuration.Apply(index, command)
	s.process.world.noteApplied(s.process, index, command, result)
	s.process.group.logBytesSinceSnapshot += s.process.world.profile.Weight
	return result
}
