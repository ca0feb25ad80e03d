package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
)

// linkChunkBytes is what a connection sends before the next one has its turn.
const linkChunkBytes = 8 << 10

// simLink is a machine's way out, whose bandwidth its connections share. The real one is that of the process: what it
// has not sent as it ends is lost.
type simLink struct {
	sim            *simulation
	connections    []*simConnection
	busy           bool
	nextConnection int // connection whose turn it is
}

// simConnection sends messages to one machine, one after the other.
type simConnection struct {
	receiver    int
	kind        connectionKind
	queue       []queuedMessage
	queuedBytes int
}

// queuedMessage is a message that goes out. Sent is called at its end.
type queuedMessage struct {
	remainingBytes int
	startedAt      time.Duration // 0: it has not begun
	onSent         func()
	onLost         func()
}

func (l *simLink) connection(to int, lane connectionKind) *simConnection {
	for _, c := range l.connections {
		if c.receiver == to && c.kind == lane {
			return c
		}
	}
	c := &simConnection{receiver: to, kind: lane}
	l.connections = append(l.connections, c)
	return c
}

// send has a message go out over a connection.
func (l *simLink) send(connection *simConnection, bytes int, sent, lost func()) {
	queued := l.sim.now
	connection.queue = append(connection.queue, queuedMessage{remainingBytes: bytes, onLost: lost, onSent: func() {
		l.sim.longestWait = max(l.sim.longestWait, l.sim.now-queued)
		sent()
	}})
	connection.queuedBytes += bytes
	l.sim.sentBytes += bytes
	l.sendNext()
}

// sendNext sends the next chunk.
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

// reset loses all that the connection was to send.
func (l *simLink) reset(c *simConnection) {
	queue := c.queue
	c.queue, c.queuedBytes = nil, 0
	for i := range queue {
		queue[i].onLost()
	}
}

// sendOverLink sends a message as peers.send does.
func (p *simProcess) sendOverLink(to *simMachine, message *consensus.Message) {
	under := p.bulkTransfers[to.index]
	way, message := under.route(message)
	if p.sim.injected.singleConnection {
		way = ordinaryConnection
	}
	switch {
	case way == bulkConnection && under == nil:
		t := &bulkTransfer{}
		t.add(p.group.partition, message)
		p.bulkTransfers[to.index] = t
		p.runBulkTransfer(to, t)
	case way == bulkConnection:
		under.add(p.group.partition, message)
	case way == ordinaryConnection:
		connection := p.link.connection(to.index, ordinaryConnection)
		if connection.queuedBytes < maxPendingBytes {
			size := len(appendMessage(nil, p.group.partition, message))
			p.link.send(connection, size, func() { p.deliver(to, message, true) }, func() {})
		}
	}
}

// runBulkTransfer is peers.runBulkTransfer.
func (p *simProcess) runBulkTransfer(to *simMachine, t *bulkTransfer) {
	batch := t.pending
	t.pending = nil
	if len(batch) == 0 {
		delete(p.bulkTransfers, to.index)
		return
	}
	p.link.send(p.link.connection(to.index, bulkConnection), len(batch), func() {
		if !p.alive {
			return
		}
		p.deliverEncoded(to, batch, true)
		p.sim.schedule(2*p.sim.profile.Delay, func() { p.runBulkTransfer(to, t) })
	}, func() { delete(p.bulkTransfers, to.index) })
}

// snapshotConnection is of the sim's connections only.
const snapshotConnection = noConnection

// sendSnapshotOverLink is peers.sendSnapshot.
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
