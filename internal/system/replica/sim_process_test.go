package replica

import (
	"net/netip"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/storage"
)

// simProcess is a control process: a Host without sockets, goroutines and clock.
type simProcess struct {
	sim       *simulation
	machine   *simMachine
	host      *Host
	group     *group
	state     *state.Configuration
	alive     bool
	paused    bool
	resumedAt time.Duration
	// deferred has the actions that came while the process was paused.
	deferred []func()
	nextTick time.Duration

	queuedJobs   []writeJob // not written yet
	activeJobs   []writeJob // in the current transaction
	writeStarted time.Duration
	retryBackoff time.Duration

	sendingSnapshot map[int]bool          // by index of the machine
	bulkTransfers   map[int]*bulkTransfer // by index of the machine
	link            *simLink              // nil: unlimited bandwidth
	waiters         []func() bool
	version         uint64 // of the configuration after the last step
	appliedIndex    uint64
}

// boot starts a machine's process unless it runs.
func (sim *simulation) boot(machine *simMachine) {
	if machine.process != nil || machine.replaced {
		return
	}
	process := &simProcess{
		sim:             sim,
		machine:         machine,
		alive:           true,
		sendingSnapshot: map[int]bool{},
		bulkTransfers:   map[int]*bulkTransfer{},
	}
	if sim.profile.Bandwidth > 0 {
		process.link = &simLink{sim: sim}
	}
	process.state = state.NewConfiguration(process.clock, func() {})
	observed := &observedState{Configuration: process.state, process: process}
	process.host = New(Options{Settings: &machine.settings, StateMachines: []StateMachine{observed}})
	process.group = process.host.groups[0]
	sim.initializeDisk(machine)
	stored := machine.disk.load()
	options := nodeOptions(machine.disk.id, sim.random.Uint64(), defaultHeartbeatInterval, defaultElectionTimeout)
	if err := process.group.start(process.clock(), options, stored); err != nil {
		sim.fail("machine %d cannot start from its persistent state: %v", machine.index, err)
		return
	}
	machine.process = process
	process.host.self.ID = machine.disk.id
	process.version = process.state.Version()
	process.appliedIndex = process.group.appliedIndex
	sim.oracle.checkBoot(sim, process, &stored)
	for _, other := range sim.activeMachines() { // as gossip membership does
		process.host.addAddress(other.address())
		if other.process != nil {
			other.process.host.addAddress(machine.address())
		}
	}
	sim.logf("%d boots as %s: %+v, snapshot %d, log to %d", machine.index, machine.disk.id.Hex(),
		stored.HardState, stored.Snapshot.Index, process.group.node.Status().LastIndex)
	process.execute(func() {})
}

// initializeDisk makes an empty disk that of a new replica, as Host.initializeStore does.
func (sim *simulation) initializeDisk(machine *simMachine) {
	if machine.disk.id != 0 {
		return
	}
	machine.disk.id = consensus.ReplicaID(max(sim.random.Uint64(), 1))
	if founders, founds := bootstrapMembership(&machine.settings); founds {
		machine.disk.id = founderID(machine.settings.IP)
		machine.disk.snapshot.Membership = founders
		sim.oracle.recordMembership(founders)
	}
	machine.settings.FirstBoot = false
}

// clock returns the machine's monotonic time.
func (p *simProcess) clock() time.Duration {
	return p.machine.clockOffset + time.Duration(float64(p.sim.now)*p.machine.clockRate)
}

// execute runs an action of the process, or defers it while the process is paused.
func (p *simProcess) execute(action func()) {
	if !p.alive {
		return
	}
	if p.paused {
		p.deferred = append(p.deferred, action)
		return
	}
	action()
	if p.alive {
		p.processReady()
	}
}

// processReady handles the output of the consensus node and runs the waiters that can go on.
func (p *simProcess) processReady() {
	for more := true; more; more = p.runWaiters() {
		if err := p.group.processReady(p); err != nil {
			p.sim.fail("machine %d rejects a snapshot: %v", p.machine.index, err)
		}
		p.sim.checkStep(p)
	}
	p.startWrite()
	p.scheduleTick()
}

// runWaiters polls the waiters, removes those that are done, and reports whether there were any.
func (p *simProcess) runWaiters() (ran bool) {
	for i := 0; i < len(p.waiters); {
		if p.waiters[i]() {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			ran = true
			continue
		}
		i++
	}
	return ran
}

// waitUntil calls poll after each step until it returns true; late if the deadline comes first.
func (p *simProcess) waitUntil(deadline time.Duration, poll func() bool, late func()) {
	over := false
	p.waiters = append(p.waiters, func() bool {
		over = over || poll()
		return over
	})
	p.runAt(deadline, func() {
		if !over {
			over = true
			late()
		}
	})
}

// runAt runs an action of the process at a time of its clock.
func (p *simProcess) runAt(due time.Duration, action func()) {
	p.sim.schedule(time.Duration(float64(due-p.clock())/p.machine.clockRate), func() { p.execute(action) })
}

// scheduleTick schedules the next tick.
func (p *simProcess) scheduleTick() {
	due := p.host.nextDeadline()
	at := max(time.Duration(float64(due-p.machine.clockOffset)/p.machine.clockRate)+time.Microsecond, p.sim.now+time.Microsecond)
	if p.nextTick > p.sim.now && p.nextTick <= at {
		return
	}
	p.nextTick = at
	p.sim.schedule(at-p.sim.now, func() {
		if p.nextTick == at {
			p.execute(p.tick)
		}
	})
}

// tick models Host.tick.
func (p *simProcess) tick() {
	now := p.clock()
	if _, stepDown := p.host.disk.checkHealth(now, 2*defaultElectionTimeout); stepDown && !p.sim.injected.leadsWhileStalled {
		p.group.node.StepDown(now)
	}
	if p.group.node.NextTick() <= now {
		p.group.node.Tick(now)
	}
	if now >= p.host.nextMembershipCheck {
		p.host.nextMembershipCheck = now + membershipCheckInterval
		p.checkMembership(now)
	}
}

// checkMembership models Host.checkMemberships.
func (p *simProcess) checkMembership(now time.Duration) {
	before := p.group.node.Membership()
	if p.group.node.Role() == consensus.Leader && p.host.changeMembership(now, p.group) {
		p.host.nextMembershipCheck = now + membershipRecheckDelay
		p.sim.checkChange(p, before, p.group.node.Membership())
	}
	if p.host.needsJoin(now) {
		p.host.joinRequests.add(p.host.self, now)
		p.requestJoin(now)
	}
}

// shutDown models Host.Leave and Host.Stop.
func (p *simProcess) shutDown() {
	p.execute(func() {
		p.host.leaving = true
		p.group.node.StepDown(p.clock())
		p.announceDeparture(p.clock() + transferTimeout)
	})
}

// announceDeparture models Host.announceDeparture and ends the process once it may end.
func (p *simProcess) announceDeparture(until time.Duration) {
	sim := p.sim
	id := p.machine.id()
	p.host.departures.add(id, p.clock())
	for _, to := range sim.activeMachines() {
		if to == p.machine {
			continue
		}
		sim.transmit(p.machine, to, false, func(told *simProcess) {
			told.host.departures.add(id, told.clock())
			told.host.nextMembershipCheck = min(told.host.nextMembershipCheck, told.clock()+membershipRecheckDelay)
		})
	}
	if p.clock() >= until || p.group.node.Role() != consensus.Leader && !isVoteMovable(p.group.node.Status(), id) {
		p.kill()
		return
	}
	p.runAt(p.clock()+leaveInterval, func() { p.announceDeparture(until) })
}

// requestJoin models Host.requestJoin.
func (p *simProcess) requestJoin(now time.Duration) {
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
		if to := p.sim.byAddress[address]; to != nil {
			p.requestJoinAt(to)
		}
	}
}

// requestJoinAt models Host.requestJoinAt together with the handler.
func (p *simProcess) requestJoinAt(to *simMachine) {
	sim := p.sim
	member := p.host.self
	sim.transmit(p.machine, to, false, func(asked *simProcess) {
		asked.host.joinRequests.add(member, asked.clock())
		members := asked.host.members()
		sim.transmit(to, p.machine, false, func(asker *simProcess) {
			for _, m := range members {
				if address, err := netip.ParseAddrPort(m.Address); err == nil {
					asker.host.addAddress(address)
					asker.host.peers.learnAddress(m.ID, address)
				}
			}
		})
	})
}

// send implements groupOutput.
func (p *simProcess) send(g *group, messages []consensus.Message) {
	for i := range messages {
		message := messages[i]
		address, known := p.host.destination(g, message.To)
		receiver := p.sim.byAddress[address]
		if !known || receiver == nil {
			continue
		}
		p.sim.checkSent(p, &message)
		if message.Kind == consensus.MessageInstallSnapshot {
			p.sendSnapshot(receiver, message)
			continue
		}
		if p.link != nil {
			p.sendOverLink(receiver, &message)
			continue
		}
		p.deliver(receiver, &message, true)
	}
}

// sendSnapshot sends one snapshot at a time to a machine, as peerSet.sendSnapshot does.
func (p *simProcess) sendSnapshot(receiver *simMachine, message consensus.Message) {
	if p.sendingSnapshot[receiver.index] {
		return
	}
	p.sim.stats.counters.snapshots++
	p.sendingSnapshot[receiver.index] = true
	p.group.attachCurrentSnapshot(&message)
	if p.link != nil {
		p.sendSnapshotOverLink(receiver, &message)
		return
	}
	p.sim.schedule(p.sim.profile.Delay+50*time.Millisecond, func() {
		delete(p.sendingSnapshot, receiver.index)
		if p.alive {
			p.deliver(receiver, &message, false)
		}
	})
}

// deliver sends a message that the machine's link does not delay.
func (p *simProcess) deliver(to *simMachine, message *consensus.Message, ordered bool) {
	p.deliverEncoded(to, appendMessage(nil, p.group.partition, message), ordered)
}

// deliverEncoded transmits encoded messages, as a DeliverRequest does.
func (p *simProcess) deliverEncoded(to *simMachine, encoded []byte, ordered bool) {
	sim := p.sim
	sim.transmit(p.machine, to, ordered, func(receiver *simProcess) {
		for rest := encoded; len(rest) > 0; {
			partition, message, after, err := readMessage(rest)
			if err != nil {
				sim.fail("a message does not decode: %v", err)
				return
			}
			rest = after
			receiver.host.stepMessage(receiver.clock(), partition, message)
		}
	})
}

// kill ends the process. A part of the transaction in progress is durable: all writes, some or none, and a prefix of
// the entries of one.
func (p *simProcess) kill() {
	sim := p.sim
	sim.logf("%d is killed", p.machine.index)
	p.alive = false
	p.machine.process = nil
	writes := durableWrites(p.activeJobs)
	if len(writes) == 0 || sim.now < p.machine.disk.failsUntil {
		return
	}
	kept := sim.random.IntN(len(writes) + 1)
	p.syncWrites(writes[:kept])
	if kept == len(writes) {
		return
	}
	if torn := writes[kept]; torn.InstalledSnapshot == nil && torn.CompactionSnapshot == nil && len(torn.Entries) > 0 {
		torn.Entries = torn.Entries[:sim.random.IntN(len(torn.Entries)+1)]
		p.syncWrites([]storage.Update{torn})
	}
}

// resume ends a pause and runs what was deferred.
func (p *simProcess) resume() {
	if !p.alive || !p.paused {
		return
	}
	p.sim.logf("%d thaws", p.machine.index)
	p.paused = false
	p.resumedAt = p.sim.now
	backlog := p.deferred
	p.deferred = nil
	if p.sim.chance(0.5) { // the timer may fire first
		p.execute(p.tick)
	}
	for _, action := range backlog {
		p.execute(action)
	}
	p.execute(p.tick)
}

// observedState is the state machine, with a check of each command as it is applied.
type observedState struct {
	*state.Configuration
	process *simProcess
}

// Apply applies a command and checks the result.
func (s *observedState) Apply(index uint64, command []byte) []byte {
	result := s.Configuration.Apply(index, command)
	s.process.sim.checkApplied(s.process, index, command, result)
	s.process.group.logBytesSinceSnapshot += s.process.sim.profile.EntryWeight
	return result
}
