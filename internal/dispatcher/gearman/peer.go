package gearman

import (
	"errors"
	"net/netip"
	"slices"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admission"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/slotmap"
)

// maxUnsentBytes is how much output may wait for a peer that does not read.
const maxUnsentBytes = 1 << 20

// peer is a connection. It may be a client, a worker and an administrator at once.
type peer struct {
	server         *Server
	handle         slotmap.Handle
	conn           *eventloop.Conn
	connectedAt    float64 // loop time, seconds
	idleOrder      uint64  // Server.idleSequence when it last became idle
	pendingJobs    int     // foreground submissions whose job has not ended
	exceptions     bool    // the client asked for WORK_EXCEPTION
	clientID       string
	worker         *worker // nil until it offers a configured function
	address        netip.Addr
	sentMessage    bool             // has sent a complete message
	messagePending bool             // part of the next message has arrived and its deadline is set
	timeout        *eventloop.Timer // of the message being received
}

// setMessageDeadline closes the peer unless its next message is complete within wait seconds: a peer that sends nothing,
// or sends byte by byte, must not occupy a socket. Between messages peers may be idle without limit.
func (p *peer) setMessageDeadline(wait float64) {
	p.timeout.Stop()
	p.timeout = p.server.loop.At(p.server.loop.Now()+wait, func() {
		p.server.Counts.TimedOut++
		p.closeWithError(codeBadPacket, "message not whole in time")
	})
}

// closeWithError sends an ERROR packet and closes the connection once it is written.
func (p *peer) closeWithError(code, reason string) {
	p.send(Error, code, reason)
	p.unregister()
	p.conn.CloseAfterFlush()
}

// Opened implements eventloop.Handler.
func (p *peer) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler.
func (p *peer) Closed(*eventloop.Conn, error) { p.unregister() }

// close closes the connection at once.
func (p *peer) close() {
	p.unregister()
	p.conn.Close()
}

// unregister releases what the peer had, once: its worker departs, and foreground jobs without another waiter are
// abandoned, in the order of their handles. Background jobs go on.
func (p *peer) unregister() {
	if !p.server.peers.Remove(p.handle) {
		return
	}
	p.timeout.Stop()
	p.server.limiter.Unregister(p.address)
	if p.worker != nil {
		p.worker.depart()
	}
	if p.pendingJobs == 0 {
		return
	}
	var abandoned []*job
	for _, j := range p.server.jobs {
		if n := len(j.waiters); n > 0 {
			j.waiters = slices.DeleteFunc(j.waiters, func(w *peer) bool { return w == p })
			if n > len(j.waiters) && len(j.waiters) == 0 && !j.background {
				abandoned = append(abandoned, j)
			}
		}
	}
	slices.SortFunc(abandoned, func(x, y *job) int { return strings.Compare(x.handle, y.handle) })
	for _, j := range abandoned {
		j.abandon()
	}
}

// send writes a packet. A peer with more than maxUnsentBytes unread is closed, after the current event.
func (p *peer) send(kind Kind, args ...string) {
	p.conn.Write(Append(nil, kind, args...))
	if p.conn.Unsent() > maxUnsentBytes {
		p.server.loop.Defer(p.close)
	}
}

// Data implements eventloop.Handler.
func (p *peer) Data(conn *eventloop.Conn) {
	for len(conn.Bytes()) > 0 {
		if _, open := p.server.peers.Get(p.handle); !open {
			return
		}
		err := p.handleMessage()
		if errors.Is(err, ErrIncomplete) {
			p.awaitRest()
			return
		}
		if err != nil {
			p.server.Counts.BadPackets++
			p.server.log.Warn("gearman: invalid packet, closing connection",
				zap.Error(err),
				zap.Uint64("total", p.server.Counts.BadPackets))
			p.closeWithError(codeBadPacket, err.Error())
			return
		}
	}
}

// handleMessage parses and handles the first message received: a packet, which begins with a zero byte, or a line of the
// text protocol.
func (p *peer) handleMessage() error {
	if p.conn.Bytes()[0] != 0 {
		words, size, err := ParseLine(p.conn.Bytes())
		if err != nil {
			return err
		}
		p.conn.Consume(size)
		p.markMessageComplete()
		p.conn.Write([]byte(p.runAdminCommand(words)))
		return nil
	}
	packet, size, err := Parse(p.conn.Bytes())
	if err != nil {
		return err
	}
	p.conn.Consume(size)
	p.markMessageComplete()
	p.handlePacket(packet)
	return nil
}

// awaitRest waits for the rest of an incomplete message, if there is memory for it.
func (p *peer) awaitRest() {
	switch {
	case p.server.limiter.BuffersFull():
		p.closeWithError(codeQueueFull, "no memory to wait for the rest")
	case p.sentMessage && !p.messagePending:
		p.messagePending = true
		p.setMessageDeadline(admission.MessageTimeout)
	}
}

// markMessageComplete records that a complete message arrived and stops its deadline.
func (p *peer) markMessageComplete() {
	p.sentMessage = true
	p.messagePending = false
	p.timeout.Stop()
}
