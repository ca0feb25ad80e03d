package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
)

// linkChunk is what a connection sends before the next one has its turn.
const linkChunk = 8 << 10

// coreLink is a machine's way out, whose bandwidth its connections share. The real one is that of the process: what it
// has not sent as it ends is lost.
type coreLink struct {
	world       *coreWorld
	connections []*coreConnection
	busy        bool
	next        int // connection whose turn it is
}

// coreConnection sends messages to one machine, one after the other.
type coreConnection struct {
	to    int
	lane  connectionKind
	queue []coreSending
	bytes int
}

// coreSending is a message that goes out. Sent is called at its end.
type coreSending struct {
	left  int
	began time.Duration // 0: it has not begun
	sent  func()
	lost  func()
}

func (l *coreLink) connection(to int, lane connectionKind) *coreConnection {
	for _, c := range l.connections {
		if c.to == to && c.lane == lane {
			return c
		}
	}
	c := &coreConnection{to: to, lane: lane}
	l.connections = append(l.connections, c)
	return c
}

// send has a message go out over a connection.
func (l *coreLink) send(c *coreConnection, bytes int, sent, lost func()) {
	queued := l.world.now
	c.queue = append(c.queue, coreSending{left: bytes, lost: lost, sent: func() {
		l.world.longestWait = max(l.world.longestWait, l.world.now-queued)
		sent()
	}})
	c.bytes += bytes
	l.world.sentBytes += bytes
	l.step()
}

// step sends the next chunk.
func (l *coreLink) step() {
	if l.busy {
		return
	}
	for range l.connections {
		c := l.connections[l.next%len(l.connections)]
		l.next++
		if len(c.queue) > 0 {
			l.sendChunk(c)
			return
		}
	}
}

func (l *coreLink) sendChunk(c *coreConnection) {
	first := &c.queue[0]
	if first.began == 0 {
		first.began = l.world.now
	}
	chunk := min(first.left, linkChunk)
	l.busy = true
	l.world.after(time.Duration(float64(chunk)/l.world.profile.Bandwidth*float64(time.Second)), func() {
		l.busy = false
		l.sentChunk(c, chunk)
		l.step()
	})
}

func (l *coreLink) sentChunk(c *coreConnection, chunk int) {
	first := &c.queue[0]
	first.left -= chunk
	c.bytes -= chunk
	if l.world.plant.messageDeadline && l.world.now-first.began > peerOptions.TCPUserTimeout {
		l.reset(c)
		return
	}
	if first.left > 0 {
		return
	}
	sent := first.sent
	c.queue = c.queue[1:]
	sent()
}

// reset loses all that the connection was to send.
func (l *coreLink) reset(c *coreConnection) {
	queue := c.queue
	c.queue, c.bytes = nil, 0
	for i := range queue {
		queue[i].lost()
	}
}

// sendOver sends a message as peers.send does.
func (p *coreProcess) sendOver(to *coreSlot, message *consensus.Message) {
	under := p.transfers[to.number]
	way, message := under.route(message)
	if p.world.plant.oneLane {
		way = ordinaryConnection
	}
	switch {
	case way == bulkConnection && under == nil:
		t := &bulkTransfer{}
		t.add(p.group.partition, message)
		p.transfers[to.number] = t
		p.runTransfer(to, t)
	case way == bulkConnection:
		under.add(p.group.partition, message)
	case way == ordinaryConnection:
		c := p.link.connection(to.number, ordinaryConnection)
		if c.bytes < maxPendingBytes {
			size := len(appendMessage(nil, p.group.partition, message))
			p.link.send(c, size, func() { p.deliver(to, message, true) }, func() {})
		}
	}
}

// runBulkTransfer is peers.runBulkTransfer.
func (p *coreProcess) runTransfer(to *coreSlot, t *bulkTransfer) {
	batch := t.pending
	t.pending = nil
	if len(batch) == 0 {
		delete(p.transfers, to.number)
		return
	}
	p.link.send(p.link.connection(to.number, bulkConnection), len(batch), func() {
		if !p.alive {
			return
		}
		p.deliverEncoded(to, batch, true)
		p.world.after(2*p.world.profile.Delay, func() { p.runTransfer(to, t) })
	}, func() { delete(p.transfers, to.number) })
}

// snapshotLane is of the sim's connections only.
const snapshotLane = noConnection

// sendSnapshotOver is peers.sendSnapshot.
func (p *coreProcess) sendSnapshotOver(to *coreSlot, message *consensus.Message) {
	done := func() { delete(p.sendingSnapshot, to.number) }
	size := len(appendMessage(nil, p.group.partition, message))
	p.link.send(p.link.connection(to.number, snapshotLane), size, func() {
		if p.alive {
			p.deliver(to, message, false)
		}
		p.world.after(2*p.world.profile.Delay, done)
	}, done)
}
