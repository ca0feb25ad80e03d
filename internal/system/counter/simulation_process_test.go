package counter

import (
	"net/netip"
	"time"
)

// machine is a computer. Its disk and its process are replaced independently.
type machine struct {
	sim         *simulation
	index       int
	address     netip.AddrPort
	zone        string
	region      int
	member      bool          // it was not replaced
	clockOffset time.Duration // of its clock to the virtual time
	disk        *disk
	process     *process // nil: not running
}

// disk is what is synced on a machine.
type disk struct {
	origin       Origin
	entries      []Entry
	held         VersionVector
	ids          map[string]bool
	first        bool // the system began with it
	stalledUntil time.Duration
	failing      bool
}

// process drives a node.
type process struct {
	sim        *simulation
	machine    *machine
	disk       *disk
	node       *Node
	alive      bool
	frozen     bool
	startedAt  time.Duration
	deferred   []func() // what arrived while the process was frozen
	nextTickAt time.Duration

	queued    []Entry // to be written
	writing   []Entry // the transaction under way
	inFlight  map[netip.AddrPort]int
	exchanges int
	requests  map[RequestID]func(Reply)
	calls     map[AddID]*clientCall
	lastReply map[netip.AddrPort]time.Duration
	peers     []*machine
	accepted  map[string]bool // IDs of operations that were new here, in this life
	acked     []Operation     // in this life
}

// boot starts a process from what is on the disk.
func (m *machine) boot() {
	if m.process != nil || !m.member {
		return
	}
	started := &process{
		sim:       m.sim,
		machine:   m,
		disk:      m.disk,
		alive:     true,
		startedAt: m.sim.now,
		inFlight:  map[netip.AddrPort]int{},
		requests:  map[RequestID]func(Reply){},
		calls:     map[AddID]*clientCall{},
		accepted:  map[string]bool{},
		lastReply: map[netip.AddrPort]time.Duration{},
	}
	options := Options{
		Origin:        m.disk.origin,
		Address:       m.address,
		Zone:          m.zone,
		Durability:    m.sim.profile.durability,
		MaxOperations: 1 << 30,
		CatchUpFirst:  !m.disk.first,
		NewOrigin:     m.sim.newOrigin,
	}
	node, err := NewNode(options, m.disk.entries, started.clock())
	if err != nil {
		m.sim.fail("machine %d does not start: %v", m.index, err)
		return
	}
	started.node = node
	m.process = started
	m.sim.logf("%d boots with %v", m.index, m.disk.held)
	started.run(func() {})
	m.sim.schedule(m.sim.randomDuration(0, 100*time.Millisecond), started.learnPeers)
}

// learnPeers passes the present members to the node.
func (p *process) learnPeers() {
	p.run(func() {
		var peers []Peer
		p.peers = nil
		for _, member := range p.sim.members() {
			peers = append(peers, Peer{Address: member.address, Zone: member.zone})
			if member != p.machine {
				p.peers = append(p.peers, member)
			}
		}
		p.node.SetPeers(peers, p.clock())
	})
}

func (p *process) clock() time.Duration { return p.sim.now + p.machine.clockOffset }

// run runs a function of the process, deferred while the process is frozen.
func (p *process) run(function func()) {
	if !p.alive {
		return
	}
	if p.frozen {
		p.deferred = append(p.deferred, function)
		return
	}
	function()
	p.takeReady()
}

// takeReady does the work that the node hands out.
func (p *process) takeReady() {
	ready := p.node.Ready(p.clock())
	p.sim.checkReady(p, &ready)
	p.queued = append(p.queued, ready.Entries...)
	p.startWrite()
	for _, exchange := range ready.Exchanges {
		p.sendExchange(exchange)
	}
	for _, reply := range ready.Replies {
		send := p.requests[reply.ID]
		delete(p.requests, reply.ID)
		send(reply)
	}
	for _, id := range ready.Acknowledged {
		p.sim.acknowledge(p, id)
	}
	p.scheduleTick(ready.NextTick)
}

// scheduleTick schedules the next tick in place of the one before.
func (p *process) scheduleTick(nextTick time.Duration) {
	at := nextTick - p.machine.clockOffset
	if at == p.nextTickAt {
		return
	}
	p.nextTickAt = at
	p.sim.schedule(at-p.sim.now, func() {
		if p.nextTickAt == at {
			p.run(func() { p.node.Tick(p.clock()) })
		}
	})
}

// startWrite begins a transaction with all entries that wait.
func (p *process) startWrite() {
	if len(p.writing) > 0 || len(p.queued) == 0 {
		return
	}
	p.writing = p.queued
	p.queued = nil
	took := p.sim.randomDuration(p.sim.profile.maxSyncTime/4, p.sim.profile.maxSyncTime)
	p.sim.schedule(took+time.Duration(len(p.writing))*p.sim.profile.writeTime, p.finishWrite)
}

// finishWrite ends a transaction; a failed one ends the process, which starts anew from the disk.
func (p *process) finishWrite() {
	if !p.alive {
		return
	}
	if left := p.disk.stalledUntil - p.sim.now; left > 0 {
		p.sim.schedule(min(left, 20*time.Millisecond), p.finishWrite) // the stall may end sooner
		return
	}
	if p.disk.failing {
		p.kill(p.sim.chance(0.5))
		p.sim.schedule(p.sim.randomDuration(50*time.Millisecond, time.Second), p.machine.boot)
		return
	}
	written := p.writing
	p.writing = nil
	p.sim.sync(p.machine, p.disk, written)
	p.startWrite()
	p.run(func() { p.node.HandlePersisted(len(written), p.clock()) })
}

// kill ends the process. The transaction under way may be on the disk or not, with or without a loss of power.
func (p *process) kill(written bool) {
	p.sim.logf("%d is killed", p.machine.index)
	p.alive = false
	p.machine.process = nil
	if written {
		p.sim.sync(p.machine, p.disk, p.writing)
	}
}

// freeze suspends the process.
func (p *process) freeze(duration time.Duration) {
	p.sim.logf("%d freezes for %v", p.machine.index, duration)
	p.frozen = true
	p.sim.schedule(duration, p.wake)
}

// wake continues a frozen process with what has arrived meanwhile.
func (p *process) wake() {
	if !p.frozen {
		return
	}
	p.frozen = false
	deferred := p.deferred
	p.deferred = nil
	for _, function := range deferred {
		p.run(function)
	}
}

// sendExchange sends a request and sees to it that the node hears of its outcome once.
func (p *process) sendExchange(exchange Exchange) {
	p.sim.checkVector(p, exchange.Request.From, exchange.Request.Vector)
	if p.inFlight[exchange.Peer] != 0 {
		p.sim.fail("%d sends two exchanges to %v", p.machine.index, exchange.Peer)
	}
	p.exchanges++
	number := p.exchanges
	p.inFlight[exchange.Peer] = number
	finish := func(outcome func()) {
		p.run(func() {
			if p.inFlight[exchange.Peer] == number {
				delete(p.inFlight, exchange.Peer)
				outcome()
			}
		})
	}
	failed := func() { p.node.HandleFailure(exchange.Peer, p.clock()) }
	p.sim.schedule(callTimeout, func() { finish(failed) })
	request := exchange.Request
	data := encodeMessage(simulatedMessage{request.From, request.Vector, request.Ranges, request.Pull})
	to := p.sim.machineAt(exchange.Peer)
	p.sim.send(p.machine, to, data, func(receiver *machine, data []byte) {
		if receiver.process == nil {
			p.sim.schedule(p.sim.latency(receiver, p.machine), func() { finish(failed) })
			return
		}
		receiver.process.handleRequest(p.machine, data, func(reply *simulatedMessage) {
			finish(func() {
				if reply == nil {
					failed()
					return
				}
				p.node.HandleReply(exchange.Peer, reply.reply(), p.clock())
				if known := p.node.byAddress[exchange.Peer]; known != nil && !known.failed { // not from before the loss of its disk
					p.lastReply[exchange.Peer] = p.sim.now
				}
			})
		})
	})
}

// handleRequest passes a request to the node; finish is called with the reply when it reaches the requester, nil for an error.
func (p *process) handleRequest(from *machine, data []byte, finish func(reply *simulatedMessage)) {
	p.run(func() {
		decoded, ok := decodeMessage(data)
		if !ok {
			return
		}
		id := p.node.HandleRequest(decoded.request(), p.clock())
		p.requests[id] = func(reply Reply) {
			if reply.Err != nil {
				p.sim.send(p.machine, from, nil, func(*machine, []byte) { finish(nil) })
				return
			}
			p.sim.checkVector(p, reply.Reply.From, reply.Reply.Vector)
			sent := simulatedMessage{From: reply.Reply.From, Vector: reply.Reply.Vector, Ranges: reply.Reply.Ranges}
			p.sim.send(p.machine, from, encodeMessage(sent), func(receiver *machine, data []byte) {
				if decoded, ok := decodeMessage(data); ok && receiver == from {
					finish(&decoded)
				}
			})
		}
	})
}
