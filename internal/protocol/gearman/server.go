package gearman

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/brain"
	"cinderroad/internal/invariant"
	"cinderroad/internal/protocol/door"
	"cinderroad/internal/routing"
	"cinderroad/internal/slots"
	"cinderroad/internal/transport"
)

// Counts are the front's figures since the start. Every job created ends once, under one of the verdicts.
type Counts struct {
	Jobs, Background, Coalesced   uint64
	Served, Refused, Failed, Gone uint64
	BackgroundEnded               uint64
	Returned                      uint64 // refusals after which a job in the background came back
	BadPackets, StrayWork, Slow   uint64
}

// Server is the Gearman front: clients and workers come by the same port.
type Server struct {
	Counts   Counts
	Shutdown func() // stops the program, where an administrator may

	loop      *transport.Loop
	log       *zap.Logger
	core      *routing.Core
	door      *door.Door
	config    *Config
	report    []brain.Field
	functions map[string]*function
	peers     slots.Table[*peer]
	jobs      map[string]*job // by handle
	unique    map[uniqueKey]*job
	serial    uint64
	held      int // bytes of the jobs' data
	prefix    string
	stopping  bool
	leaving   bool // evacuated: clients are sent away, until they are taken again
	shut      bool // no new job is taken
	rests     uint64
	listener  *transport.Listener
	retiring  *transport.Deadline
}

const retireEvery = 0.05 // seconds between two looks at who can be sent to the next process

type uniqueKey struct{ function, unique string }

type function struct {
	Function
	skill    uint32
	maxQueue int // jobs that may wait; 0 is any number
	jobs     int
	running  int
}

// job is what clients submitted, and what all who submitted the same unique id share.
type job struct {
	s              *Server
	handle, unique string
	data           string
	f              *function
	background     bool
	priority       int // 0 is high
	waiters        []*peer
	req            routing.ReqID
	queued         bool // the core has it
	running        int
	num, den       string
	exception      string
	over           bool
	returned       bool                // its last refusal was not told to anybody: it comes back
	output         []packet            // of the fetch that won
	start          *transport.Deadline // of a job for later, or of one that comes back after a refusal
	ends           float64             // when the job is given up
}

// packet is output of a job that waits for the job's end: if the fetch fails and another is made, the client
// must not see both.
type packet struct {
	kind Kind
	data string
}

// New makes the front; Start opens its port.
func New(loop *transport.Loop, log *zap.Logger, core *routing.Core, door *door.Door, config *Config, name string, report []brain.Field) *Server {
	s := &Server{loop: loop, log: log, core: core, door: door, config: config, report: report, functions: map[string]*function{},
		jobs: map[string]*job{}, unique: map[uniqueKey]*job{}, prefix: "H:" + name + ":"}
	for i, f := range config.Functions {
		s.functions[f.Name] = &function{Function: f, skill: uint32(i + 1)}
	}
	return s
}

// Start opens the port, or goes on with the socket of the process before this one; 0 is none.
func (s *Server) Start(inherited int) (err error) {
	if inherited > 0 {
		s.listener, err = s.loop.Inherit(inherited, s.accept)
	} else {
		s.listener, err = s.loop.Listen(s.config.listen, s.accept)
	}
	return err
}

// Retire leaves the port to the next process, or takes it back. Its own jobs are served first, by the workers that are
// here; then clients and workers are sent to the next one, as they would be by a restart.
func (s *Server) Retire(on bool) {
	s.listener.Suspend(on)
	s.retiring.Stop()
	if s.stopping = on; !on {
		return
	}
	s.Drain()
	s.retire()
}

func (s *Server) retire() {
	s.peers.Each(func(_ slots.Handle, p *peer) {
		if p.waits == 0 && len(p.conn.Bytes()) == 0 && p.conn.Unsent() == 0 && (p.worker == nil || len(s.jobs) == 0 && len(p.worker.running) == 0) {
			p.end()
		}
	})
	s.retiring = s.loop.At(s.loop.Now()+retireEvery, s.retire)
}

// Listener is the open port.
func (s *Server) Listener() *transport.Listener { return s.listener }

// Drain takes no new jobs. Those the core has are served to their end; those that wait to enter it end here.
func (s *Server) Drain() {
	s.stopping = true
	for _, j := range s.jobs {
		if !j.queued {
			j.start.Stop()
			j.Answer(routing.Answer{Verdict: routing.Failed})
		}
	}
}

// Evacuate sends the clients away, or takes them again: new jobs are turned away and clients that wait for nothing
// are closed. Workers stay, and all that was taken is served.
func (s *Server) Evacuate(on bool) {
	if s.leaving = on; !on {
		return
	}
	s.peers.Each(func(_ slots.Handle, p *peer) {
		if p.worker == nil && p.waits == 0 && len(p.conn.Bytes()) == 0 && p.conn.Unsent() == 0 && p.conn.Alive() {
			p.end()
		}
	})
}

// Shut has new jobs turned away, or takes them again; clients stay.
func (s *Server) Shut(on bool) { s.shut = on }

// Quiet says whether every job has had its end and every answer has gone out.
func (s *Server) Quiet() bool {
	quiet := len(s.jobs) == 0
	s.peers.Each(func(_ slots.Handle, p *peer) { quiet = quiet && (p.worker != nil || p.conn.Unsent() == 0) })
	return quiet
}

// ShedIdle closes a client that can be spared, a worker never.
func (s *Server) ShedIdle() bool { return s.shed(func(*peer) bool { return true }) }

// shed closes one of the clients that may be closed: first one that has handed in nothing yet, then the one that
// has been idle longest.
func (s *Server) shed(may func(*peer) bool) bool {
	var best *peer
	s.peers.Each(func(_ slots.Handle, p *peer) {
		switch {
		case p.worker != nil || p.waits > 0 || !may(p) || best != nil && (p.whole && !best.whole ||
			p.whole == best.whole && p.idleSince > best.idleSince):
		case p.conn.Alive() || !p.whole && len(p.conn.Bytes()) > 0:
			best = p
		}
	})
	if best != nil {
		best.end()
	}
	return best != nil
}

// Reload takes a changed operator's file and names what needs a restart. Workers that stand in the list keep
// the place they came with.
func (s *Server) Reload(c *Config) (restart []string) {
	if c.listen != s.config.listen {
		restart = append(restart, "gearman listen")
	}
	if !slices.Equal(c.Functions, s.config.Functions) {
		restart = append(restart, "gearman functions")
	}
	next := *c
	next.listen, next.Functions = s.config.listen, s.config.Functions
	s.config = &next
	return restart
}

// Counted returns the figures so far.
func (s *Server) Counted() Counts { return s.Counts }

// peer is a connection: a client session, a worker, an administrator, or all of them.
type peer struct {
	s          *Server
	h          slots.Handle
	conn       *transport.Conn
	connected  float64
	idleSince  uint64 // its place in the order in which clients came to rest
	waits      int    // jobs whose end it waits for
	exceptions bool
	clientID   string
	worker     *worker
	from       netip.Addr
	whole      bool // has sent a whole message
	began      bool // the next one has begun
	timeout    *transport.Deadline
}

func (s *Server) accept(c *transport.Conn) transport.Handler {
	s.rests++
	p := &peer{s: s, conn: c, connected: s.loop.Now(), idleSince: s.rests, clientID: "-", from: c.Peer().Addr().Unmap()}
	p.h = s.peers.Put(p)
	p.expect(door.FreshTime)
	if !s.door.Enter(p.from, func(may func(netip.Addr) bool) bool {
		return s.shed(func(o *peer) bool { return o != p && may(o.from) })
	}) {
		p.turn(errQueue, "too many connections")
	}
	return p
}

// expect bounds how long the next message may take: a peer that never says what it wants, or says it byte by
// byte, must not hold a socket. Between messages clients and workers may rest for as long as they like.
func (p *peer) expect(wait float64) {
	p.timeout.Stop()
	p.timeout = p.s.loop.At(p.s.loop.Now()+wait, func() {
		p.s.Counts.Slow++
		p.turn(errPacket, "message not whole in time")
	})
}

// turn closes with a word on why.
func (p *peer) turn(code, reason string) {
	p.send(Error, code, reason)
	p.leave()
	p.conn.CloseWhenSent()
}

// Opened implements transport.Handler.
func (p *peer) Opened(*transport.Conn) {}

// Closed implements transport.Handler.
func (p *peer) Closed(*transport.Conn, error) { p.leave() }

func (p *peer) end() {
	p.leave()
	p.conn.Close()
}

// leave lets go of what the peer had: its worker drains, and jobs in the foreground that nobody waits for
// any more are given up. A job in the background has no caller to lose.
func (p *peer) leave() {
	if !p.s.peers.Drop(p.h) {
		return
	}
	p.timeout.Stop()
	p.s.door.Leave(p.from)
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
		p.s.loop.Later(p.end)
	}
}

// Data implements transport.Handler.
func (p *peer) Data(c *transport.Conn) {
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
		if errors.Is(err, ErrMore) {
			switch {
			case p.s.door.Crowded():
				p.turn(errQueue, "no memory to wait for the rest")
			case p.whole && !p.began:
				p.began = true
				p.expect(door.WholeTime)
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

// status is the last four arguments of a status answer.
func (j *job) status() []string {
	if j == nil {
		return []string{"0", "0", "0", "0"}
	}
	running := "0"
	if j.running > 0 {
		running = "1"
	}
	return []string{"1", running, j.num, j.den}
}

func (s *Server) byUnique(unique string) *job {
	var found *job
	for key, j := range s.unique {
		if key.unique == unique && (found == nil || j.handle < found.handle) {
			found = j
		}
	}
	return found
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
		s.held+len(data) > s.config.MaxBytes || !s.door.Hold(len(data)) {
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

// enter hands the job to the core.
func (j *job) enter() {
	now := j.s.loop.Now()
	if j.ends == 0 {
		j.ends = now + j.f.deadline
		if j.background {
			j.ends = now + j.f.background
		}
	}
	j.queued = true
	j.req = j.s.core.Take(routing.Job{Class: j.f.class, Skill: j.f.skill, Slots: 1,
		Deadline: min(j.ends, now+j.f.deadline), Load: j, ID: j.handle, Front: "gearman"}, j)
}

// returns has a refused job in the background come back when the core said. A caller would; this one is not
// there to do it, and nobody is kept waiting for an answer.
func (j *job) returns(wait float64) bool {
	at := j.s.loop.Now() + max(wait, leastWait)
	if !j.background || len(j.waiters) > 0 || j.s.stopping || at >= j.ends {
		return false
	}
	j.s.Counts.Returned++
	j.queued = false
	j.start = j.s.loop.At(at, j.enter)
	return true
}

// abandon gives the job up: nobody waits for it.
func (j *job) abandon() {
	if j.over {
		return
	}
	j.s.Counts.Gone++
	if j.background {
		j.s.Counts.BackgroundEnded++
	}
	j.close()
	j.start.Stop()
	if j.queued {
		j.s.core.Gone(j.req)
	}
}

// Answer implements routing.Asker: the job's one end goes to all who wait for it. Gearman knows no refusal:
// it is a failure with a warning before it that says when to come back.
func (j *job) Answer(a routing.Answer) {
	if j.over {
		return
	}
	if j.returned = a.Verdict == routing.Refused && j.returns(a.Wait); j.returned {
		return
	}
	var last packet
	switch a.Verdict {
	case routing.Served:
		j.s.Counts.Served++
		last = packet{WorkComplete, string(a.Body)}
	case routing.Refused:
		j.s.Counts.Refused++
		j.output = []packet{{WorkWarning, fmt.Sprintf("refused retry-after=%.3f", a.Wait)}}
		last.kind = WorkFail
	default:
		j.s.Counts.Failed++
		j.output = nil
		if j.exception != "" {
			j.output = []packet{{WorkException, j.exception}}
		}
		last.kind = WorkFail
	}
	if j.background {
		j.s.Counts.BackgroundEnded++
	}
	waiters := j.waiters
	j.close()
	for _, p := range waiters {
		for _, out := range j.output {
			if out.kind != WorkException || p.exceptions {
				p.send(out.kind, j.handle, out.data)
			}
		}
		if last.kind == WorkFail {
			p.send(WorkFail, j.handle)
		} else {
			p.send(last.kind, j.handle, last.data)
		}
	}
}

// Returned implements routing.Returner.
func (j *job) Returned() bool { return j.returned }

func (j *job) close() {
	invariant.Check(!j.over, "a Gearman job ends once")
	j.over = true
	for _, p := range j.waiters {
		p.waits--
		j.s.rests++
		p.idleSince = j.s.rests
	}
	j.waiters = nil
	delete(j.s.jobs, j.handle)
	if j.unique != "" {
		delete(j.s.unique, uniqueKey{j.f.Name, j.unique})
	}
	j.f.jobs--
	j.s.held -= len(j.data)
	j.s.door.Release(len(j.data))
}

// tell passes news on to all who wait for the job.
func (j *job) tell(kind Kind, args ...string) {
	for _, p := range j.waiters {
		p.send(kind, append([]string{j.handle}, args...)...)
	}
}
