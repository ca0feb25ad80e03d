package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
)

// linkChunkBytes is what a connection sends before the next one has its turn.
const linkChunkBytes = 8 << 10

// simLink is the outgoing link of a machine, whose bandwidth its connections share. What it has not sent when the
// process ends is lost.
type simLink struct {
	sim            *simulation
	connections    []*simConnection
	busy           bool
	nextConnection int // index of the connection whose turn it is
}

// simConnection sends messages to one machine in order.
type simConnection struct {
	receiver    int
	kind        connectionKind
	queue       []queuedMessage
	queuedBytes int
}

// queuedMessage is a message that is queued or being sent.
type queuedMessage struct {
	remainingBytes int
	startedAt      time.Duration // when sending began; 0: not yet
	onSent         func()
	onLost         func()
}

// connection returns the connection of a kind to a machine.
func (l *simLink) connection(to int, kind connectionKind) *simConnection {
	for _, c := range l.connections {
		if c.receiver == to && c.kind == kind {
			return c
		}
	}
	c := &simConnection{receiver: to, kind: kind}
	l.connections = append(l.connections, c)
	return c
}

// send queues a message on a connection.
func (l *simLink) send(connection *simConnection, bytes int, sent, lost func()) {
	queued := l.sim.now
	connection.queue = append(connection.queue, queuedMessage{
		remainingBytes: bytes,
		onLost:         lost,
		onSent: func() {
			l.sim.longestWait = max(l.sim.longestWait, l.sim.now-queued)
			sent()
		},
	})
	connection.queuedBytes += bytes
	l.sim.sentBytes += bytes
	l.sendNext()
}

// sendNext sends the next chunk unless one is being sent.
func (l *simLink) sendNext() {
	if l.busy {
		return
	}
	for range l.connections {
		connection := l.connections[l.nextConnection%len(l.connections)]
		l.nextConnection++
		if len(connection.queue) > 0 {
			l.sendChunk(connection)
			return
		}
	}
}

// sendChunk starts sending a chunk of a connection's first message.
func (l *simLink) sendChunk(connection *simConnection) {
	first := &connection.queue[0]
	if first.startedAt == 0 {
		first.startedAt = l.sim.now
	}
	chunk := min(first.remainingBytes, linkChunkBytes)
	l.busy = true
	l.sim.schedule(time.Duration(float64(chunk)/l.sim.profile.Bandwidth*float64(time.Second)), func() {
		l.busy = false
		l.finishChunk(connection, chunk)
		l.sendNext()
	})
}

// finishChunk completes a chunk, and the message if it was its last.
func (l *simLink) finishChunk(connection *simConnection, chunk int) {
	first := &connection.queue[0]
	first.remainingBytes -= chunk
	connection.queuedBytes -= chunk
	if l.sim.injected.deadlinePerMessage && l.sim.now-first.startedAt > peerOptions.TCPUserTimeout {
		l.reset(connection)
		return
	}
	if first.remainingBytes > 0 {
		return
	}
	sent := first.onSent
	connection.queue = connection.queue[1:]
	sent()
}

// reset closes a connection: all its queued messages are lost.
func (l *simLink) reset(c *simConnection) {
	queue := c.queue
	c.queue = nil
	c.queuedBytes = 0
	for i := range queue {
		queue[i].onLost()
	}
}

// sendOverLink models peerSet.send.
func (p *simProcess) sendOverLink(receiver *simMachine, message *consensus.Message) {
	transfer := p.bulkTransfers[receiver.index] // nil: none is going on
	kind, message := transfer.route(message)
	if p.sim.injected.singleConnection {
		kind = ordinaryConnection
	}
	switch {
	case kind == bulkConnection && transfer == nil:
		transfer = &bulkTransfer{}
		transfer.add(p.group.partition, message)
		p.bulkTransfers[receiver.index] = transfer
		p.runBulkTransfer(receiver, transfer)
	case kind == bulkConnection:
		transfer.add(p.group.partition, message)
	case kind == ordinaryConnection:
		connection := p.link.connection(receiver.index, ordinaryConnection)
		if connection.queuedBytes < maxPendingBytes {
			size := len(appendMessage(nil, p.group.partition, message))
			p.link.send(connection, size, func() { p.deliver(receiver, message, true) }, func() {})
		}
	}
}

// runBulkTransfer models peerSet.runBulkTransfer.
func (p *simProcess) runBulkTransfer(receiver *simMachine, t *bulkTransfer) {
	batch := t.pending
	t.pending = nil
	if len(batch) == 0 {
		delete(p.bulkTransfers, receiver.index)
		return
	}
	p.link.send(p.link.connection(receiver.index, bulkConnection), len(batch), func() {
		if !p.alive {
			return
		}
		p.deliverEncoded(receiver, batch, true)
		p.sim.schedule(2*p.sim.profile.Delay, func() { p.runBulkTransfer(receiver, t) })
	}, func() { delete(p.bulkTransfers, receiver.index) })
}

// snapshotConnection is a kind of connection that only the simulation needs to name.
const snapshotConnection = noConnection

// sendSnapshotOverLink models peerSet.sendSnapshot.
func (p *simProcess) sendSnapshotOverLink(to *simMachine, message *consensus.Message) {
	done := func() { delete(p.sendingSnapshot, to.index) }
	size := len(appendMessage(nil, p.group.partition, message))
	p.link.send(p.link.connection(to.index, snapshotConnection), size, func() {
		if p.alive {
			p.deliver(to, message, false)
		}
		p.sim.schedule(2*p.sim.profile.Delay, done)
	}, done)
}
