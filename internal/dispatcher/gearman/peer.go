package gearman

import (
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admission"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/slotmap"
)

// peer is a connection: a client session, a worker, an administrator, or all of them.
type peer struct {
	server         *Server
	handle         slotmap.Handle
	conn           *eventloop.Conn
	connectedAt    float64
	idleOrder      uint64 // its place in the order in which clients came to rest
	pendingJobs    int    // jobs whose end it waits for
	exceptions     bool
	clientID       string
	worker         *worker
	address        netip.Addr
	sentMessage    bool // has sent a whole message
	messagePending bool // the next one has begun
	timeout        *eventloop.Timer
}

// setMessageDeadline bounds how long the next message may take: a peer that never says what it wants, or says it byte by
// byte, must not hold a socket. Between messages clients and workers may rest for as long as they like.
func (p *peer) setMessageDeadline(wait float64) {
	p.timeout.Stop()
	p.timeout = p.server.loop.At(p.server.loop.Now()+wait, func() {
		p.server.Counts.TimedOut++
		p.closeWithError(codeBadPacket, "message not whole in time")
	})
}

// closeWithError closes with a word on why.
func (p *peer) closeWithError(code, reason string) {
	p.send(Error, code, reason)
	p.unregister()
	p.conn.CloseAfterFlush()
}

// Opened implements eventloop.Handler.
func (p *peer) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler.
func (p *peer) Closed(*eventloop.Conn, error) { p.unregister() }

func (p *peer) close() {
	p.unregister()
	p.conn.Close()
}

// unregister lets go of what the peer had: its worker drains, and jobs in the foreground that nobody waits for
// any more are given up. A job in the background has no caller to lose.
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

// send writes a packet; a peer that reads nothing is let go before what it is owed fills the memory.
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
		var n int
		var err error
		if conn.Bytes()[0] != 0 {
			var words []string
			if words, n, err = ParseLine(conn.Bytes()); err == nil {
				conn.Consume(n)
				p.markMessageComplete()
				conn.Write([]byte(p.runAdminCommand(words)))
				continue
			}
		} else {
			var packet Packet
			if packet, n, err = Parse(conn.Bytes()); err == nil {
				conn.Consume(n)
				p.markMessageComplete()
				p.handlePacket(packet)
				continue
			}
		}
		if errors.Is(err, ErrIncomplete) {
			switch {
			case p.server.limiter.BuffersFull():
				p.closeWithError(codeQueueFull, "no memory to wait for the rest")
			case p.sentMessage && !p.messagePending:
				p.messagePending = true
				p.setMessageDeadline(admission.MessageTimeout)
			}
			return
		}
		p.server.Counts.BadPackets++
		p.server.log.Warn("gearman: bad packet, closing", zap.Error(err), zap.Uint64("so_far", p.server.Counts.BadPackets))
		p.closeWithError(codeBadPacket, err.Error())
		return
	}
}

// markMessageComplete notes a whole message.
func (p *peer) markMessageComplete() {
	p.sentMessage, p.messagePending = true, false
	p.timeout.Stop()
}

func (p *peer) handlePacket(packet Packet) {
	switch packet.Kind {
	case SubmitJob, SubmitJobBg:
		p.submit(packet, 1, packet.Kind == SubmitJobBg)
	case SubmitJobHigh, SubmitJobHighBg:
		p.submit(packet, 0, packet.Kind == SubmitJobHighBg)
	case SubmitJobLow, SubmitJobLowBg:
		p.submit(packet, 2, packet.Kind == SubmitJobLowBg)
	case SubmitJobEpoch:
		p.submit(packet, 1, true)
	case SubmitJobSched, SubmitReduce, SubmitReduceBg:
		p.send(Error, codeNotSupported, "this kind of submission is not supported")
	case GetStatus:
		p.send(StatusRes, append([]string{packet.Args[0]}, p.server.jobs[packet.Args[0]].status()...)...)
	case GetStatusUnique:
		j := p.server.jobByUnique(packet.Args[0])
		count := "0"
		if j != nil {
			count = strconv.Itoa(len(j.waiters))
		}
		p.send(StatusResUnique, append(append([]string{packet.Args[0]}, j.status()...), count)...)
	case EchoReq:
		p.send(EchoRes, packet.Args[0])
	case OptionReq:
		if packet.Args[0] != "exceptions" {
			p.send(Error, codeUnknownOption, "unknown option")
			return
		}
		p.exceptions = true
		p.send(OptionRes, packet.Args[0])
	case SetClientID:
		p.clientID = strings.Join(strings.Fields(packet.Args[0]), "_")
	case AllYours: // a wish that its connection be served first: there is nothing to gain by it here
	default:
		p.handleWorkerPacket(packet)
	}
}

// submit takes a job, or joins one that has the same unique id.
func (p *peer) submit(packet Packet, priority int, background bool) {
	s, name, unique, data := p.server, packet.Args[0], packet.Args[1], packet.Args[len(packet.Args)-1]
	fn := s.functions[name]
	switch {
	case fn == nil: // what a repeat of it may do is not known: never served
		p.send(Error, codeUnknownFunction, "no class is configured for function "+name)
		return
	case s.stopping:
		p.send(Error, codeShuttingDown, "shutting down")
		return
	case s.evacuating:
		p.send(Error, codeShuttingDown, "evacuated, come back later")
		return
	case s.rejecting:
		p.send(Error, codeShuttingDown, "out of lease, come back later")
		return
	}
	if unique == "-" { // by the protocol, the data is then the unique id
		unique = data
	}
	if j := s.jobsByUnique[uniqueKey{name, unique}]; j != nil && unique != "" {
		s.Counts.Coalesced++
		if background && !j.background {
			j.background = true
			s.Counts.Background++
		}
		p.send(JobCreated, j.handle)
		if !background { // a client that submits twice waits for two ends, one for each of its tasks
			j.waiters = append(j.waiters, p)
			p.pendingJobs++
		}
		return
	}
	startAt := 0.0
	if packet.Kind == SubmitJobEpoch {
		seconds, err := strconv.ParseInt(packet.Args[2], 10, 64)
		if err != nil {
			p.send(Error, codeBadPacket, "epoch is no number")
			return
		}
		startAt = float64(seconds)
	}
	if fn.maxQueue > 0 && fn.jobs-fn.running >= fn.maxQueue || len(s.jobs) >= s.config.MaxJobs ||
		s.pendingBytes+len(data) > s.config.MaxBytes || !s.limiter.ReserveJob(len(data)) {
		p.send(Error, codeQueueFull, "job queue is full")
		return
	}
	s.lastSerial++
	j := &job{server: s, handle: s.handlePrefix + strconv.FormatUint(s.lastSerial, 10), unique: unique, data: data, function: fn,
		background: background, priority: priority, numerator: "0", denominator: "0"}
	s.jobs[j.handle] = j
	if unique != "" {
		s.jobsByUnique[uniqueKey{name, unique}] = j
	}
	fn.jobs++
	s.pendingBytes += len(data)
	s.Counts.Jobs++
	if background {
		s.Counts.Background++
	} else {
		j.waiters = []*peer{p}
		p.pendingJobs++
	}
	p.send(JobCreated, j.handle)
	if startAt > s.loop.Now() {
		j.startTimer = s.loop.At(startAt, j.submit)
		return
	}
	j.submit()
}
