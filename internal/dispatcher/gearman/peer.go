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
	s          *Server
	h          slotmap.Handle
	conn       *eventloop.Conn
	connected  float64
	idleSince  uint64 // its place in the order in which clients came to rest
	waits      int    // jobs whose end it waits for
	exceptions bool
	clientID   string
	worker     *worker
	from       netip.Addr
	whole      bool // has sent a whole message
	began      bool // the next one has begun
	timeout    *eventloop.Timer
}

// expect bounds how long the next message may take: a peer that never says what it wants, or says it byte by
// byte, must not hold a socket. Between messages clients and workers may rest for as long as they like.
func (p *peer) expect(wait float64) {
	p.timeout.Stop()
	p.timeout = p.s.loop.At(p.s.loop.Now()+wait, func() {
		p.s.Counts.TimedOut++
		p.turn(errPacket, "message not whole in time")
	})
}

// turn closes with a word on why.
func (p *peer) turn(code, reason string) {
	p.send(Error, code, reason)
	p.leave()
	p.conn.CloseAfterFlush()
}

// Opened implements eventloop.Handler.
func (p *peer) Opened(*eventloop.Conn) {}

// Closed implements eventloop.Handler.
func (p *peer) Closed(*eventloop.Conn, error) { p.leave() }

func (p *peer) end() {
	p.leave()
	p.conn.Close()
}

// leave lets go of what the peer had: its worker drains, and jobs in the foreground that nobody waits for
// any more are given up. A job in the background has no caller to lose.
func (p *peer) leave() {
	if !p.s.peers.Remove(p.h) {
		return
	}
	p.timeout.Stop()
	p.s.door.Unregister(p.from)
	if p.worker != nil {
		p.worker.leave()
	}
	if p.waits == 0 {
		return
	}
	var left []*job
	for _, j := range p.s.jobs {
		if n := len(j.waiters); n > 0 {
			j.waiters = slices.DeleteFunc(j.waiters, func(w *peer) bool { return w == p })
			if n > len(j.waiters) && len(j.waiters) == 0 && !j.background {
				left = append(left, j)
			}
		}
	}
	slices.SortFunc(left, func(x, y *job) int { return strings.Compare(x.handle, y.handle) })
	for _, j := range left {
		j.abandon()
	}
}

// send writes a packet; a peer that reads nothing is let go before what it is owed fills the memory.
func (p *peer) send(kind Kind, args ...string) {
	p.conn.Write(Append(nil, kind, args...))
	if p.conn.Unsent() > maxUnsent {
		p.s.loop.Defer(p.end)
	}
}

// Data implements eventloop.Handler.
func (p *peer) Data(c *eventloop.Conn) {
	for len(c.Bytes()) > 0 {
		if _, open := p.s.peers.Get(p.h); !open {
			return
		}
		var n int
		var err error
		if c.Bytes()[0] != 0 {
			var words []string
			if words, n, err = ParseLine(c.Bytes()); err == nil {
				c.Consume(n)
				p.took()
				c.Write([]byte(p.admin(words)))
				continue
			}
		} else {
			var q Packet
			if q, n, err = Parse(c.Bytes()); err == nil {
				c.Consume(n)
				p.took()
				p.packet(q)
				continue
			}
		}
		if errors.Is(err, ErrIncomplete) {
			switch {
			case p.s.door.BuffersFull():
				p.turn(errQueue, "no memory to wait for the rest")
			case p.whole && !p.began:
				p.began = true
				p.expect(admission.MessageTimeout)
			}
			return
		}
		p.s.Counts.BadPackets++
		p.s.log.Warn("gearman: bad packet, closing", zap.Error(err), zap.Uint64("so_far", p.s.Counts.BadPackets))
		p.turn(errPacket, err.Error())
		return
	}
}

// took notes a whole message.
func (p *peer) took() {
	p.whole, p.began = true, false
	p.timeout.Stop()
}

func (p *peer) packet(q Packet) {
	switch q.Kind {
	case SubmitJob, SubmitJobBg:
		p.submit(q, 1, q.Kind == SubmitJobBg)
	case SubmitJobHigh, SubmitJobHighBg:
		p.submit(q, 0, q.Kind == SubmitJobHighBg)
	case SubmitJobLow, SubmitJobLowBg:
		p.submit(q, 2, q.Kind == SubmitJobLowBg)
	case SubmitJobEpoch:
		p.submit(q, 1, true)
	case SubmitJobSched, SubmitReduce, SubmitReduceBg:
		p.send(Error, errSupport, "this kind of submission is not supported")
	case GetStatus:
		p.send(StatusRes, append([]string{q.Args[0]}, p.s.jobs[q.Args[0]].status()...)...)
	case GetStatusUnique:
		j := p.s.byUnique(q.Args[0])
		count := "0"
		if j != nil {
			count = strconv.Itoa(len(j.waiters))
		}
		p.send(StatusResUnique, append(append([]string{q.Args[0]}, j.status()...), count)...)
	case EchoReq:
		p.send(EchoRes, q.Args[0])
	case OptionReq:
		if q.Args[0] != "exceptions" {
			p.send(Error, errOption, "unknown option")
			return
		}
		p.exceptions = true
		p.send(OptionRes, q.Args[0])
	case SetClientID:
		p.clientID = strings.Join(strings.Fields(q.Args[0]), "_")
	case AllYours: // a wish that its connection be served first: there is nothing to gain by it here
	default:
		p.work(q)
	}
}

// submit takes a job, or joins one that has the same unique id.
func (p *peer) submit(q Packet, priority int, background bool) {
	s, name, unique, data := p.s, q.Args[0], q.Args[1], q.Args[len(q.Args)-1]
	f := s.functions[name]
	switch {
	case f == nil: // what a repeat of it may do is not known: never served
		p.send(Error, errFunction, "no class is configured for function "+name)
		return
	case s.stopping:
		p.send(Error, errStopping, "shutting down")
		return
	case s.leaving:
		p.send(Error, errStopping, "evacuated, come back later")
		return
	case s.shut:
		p.send(Error, errStopping, "out of lease, come back later")
		return
	}
	if unique == "-" { // by the protocol, the data is then the unique id
		unique = data
	}
	if j := s.unique[uniqueKey{name, unique}]; j != nil && unique != "" {
		s.Counts.Coalesced++
		if background && !j.background {
			j.background = true
			s.Counts.Background++
		}
		p.send(JobCreated, j.handle)
		if !background { // a client that submits twice waits for two ends, one for each of its tasks
			j.waiters = append(j.waiters, p)
			p.waits++
		}
		return
	}
	at := 0.0
	if q.Kind == SubmitJobEpoch {
		seconds, err := strconv.ParseInt(q.Args[2], 10, 64)
		if err != nil {
			p.send(Error, errPacket, "epoch is no number")
			return
		}
		at = float64(seconds)
	}
	if f.maxQueue > 0 && f.jobs-f.running >= f.maxQueue || len(s.jobs) >= s.config.MaxJobs ||
		s.held+len(data) > s.config.MaxBytes || !s.door.ReserveJob(len(data)) {
		p.send(Error, errQueue, "job queue is full")
		return
	}
	s.serial++
	j := &job{s: s, handle: s.prefix + strconv.FormatUint(s.serial, 10), unique: unique, data: data, f: f,
		background: background, priority: priority, num: "0", den: "0"}
	s.jobs[j.handle] = j
	if unique != "" {
		s.unique[uniqueKey{name, unique}] = j
	}
	f.jobs++
	s.held += len(data)
	s.Counts.Jobs++
	if background {
		s.Counts.Background++
	} else {
		j.waiters = []*peer{p}
		p.waits++
	}
	p.send(JobCreated, j.handle)
	if at > s.loop.Now() {
		j.start = s.loop.At(at, j.enter)
		return
	}
	j.enter()
}
