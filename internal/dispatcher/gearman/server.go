package gearman

import (
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admission"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/slotmap"
	"cinderroad/loadbalancer"
)

// Counts are the front's figures since the start. Every job created ends once, under one of the verdicts.
type Counts struct {
	Jobs            uint64 `json:"Jobs"`
	Background      uint64 `json:"Background"`
	Coalesced       uint64 `json:"Coalesced"`
	Served          uint64 `json:"Served"`
	Rejected        uint64 `json:"Refused"`
	Failed          uint64 `json:"Failed"`
	Abandoned       uint64 `json:"Gone"`
	BackgroundEnded uint64 `json:"BackgroundEnded"`
	Requeued        uint64 `json:"Returned"` // refusals after which a job in the background came back
	BadPackets      uint64 `json:"BadPackets"`
	StrayWork       uint64 `json:"StrayWork"`
	TimedOut        uint64 `json:"Slow"`
}

// Server is the Gearman front: clients and workers come by the same port.
type Server struct {
	Counts   Counts
	Shutdown func() // stops the program, where an administrator may

	loop      *eventloop.Loop
	log       *zap.Logger
	core      *dispatch.Dispatcher
	door      *admission.Limiter
	config    *Config
	report    []loadbalancer.ReportField
	functions map[string]*function
	peers     slotmap.Map[*peer]
	jobs      map[string]*job // by handle
	unique    map[uniqueKey]*job
	serial    uint64
	held      int // bytes of the jobs' data
	prefix    string
	stopping  bool
	leaving   bool // evacuated: clients are sent away, until they are taken again
	shut      bool // no new job is taken
	rests     uint64
	listener  *eventloop.Listener
	retiring  *eventloop.Timer
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

// packet is output of a job that waits for the job's end: if the fetch fails and another is made, the client
// must not see both.
type packet struct {
	kind Kind
	data string
}

// New makes the front; Start opens its port.
func New(loop *eventloop.Loop, log *zap.Logger, core *dispatch.Dispatcher, door *admission.Limiter, config *Config, name string, report []loadbalancer.ReportField) *Server {
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
		s.listener, err = s.loop.InheritListener(inherited, s.accept)
	} else {
		s.listener, err = s.loop.Listen(s.config.listen, s.accept)
	}
	return err
}

// SetRetired leaves the port to the next process, or takes it back. Its own jobs are served first, by the workers that are
// here; then clients and workers are sent to the next one, as they would be by a restart.
func (s *Server) SetRetired(on bool) {
	s.listener.SetSuspended(on)
	s.retiring.Stop()
	if s.stopping = on; !on {
		return
	}
	s.Drain()
	s.retire()
}

func (s *Server) retire() {
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		if p.waits == 0 && len(p.conn.Bytes()) == 0 && p.conn.Unsent() == 0 && (p.worker == nil || len(s.jobs) == 0 && len(p.worker.running) == 0) {
			p.end()
		}
	})
	s.retiring = s.loop.At(s.loop.Now()+retireEvery, s.retire)
}

// Listener is the open port.
func (s *Server) Listener() *eventloop.Listener { return s.listener }

// Drain takes no new jobs. Those the core has are served to their end; those that wait to enter it end here.
func (s *Server) Drain() {
	s.stopping = true
	for _, j := range s.jobs {
		if !j.queued {
			j.start.Stop()
			j.Answer(dispatch.Answer{Verdict: dispatch.Failed})
		}
	}
}

// Evacuate sends the clients away, or takes them again: new jobs are turned away and clients that wait for nothing
// are closed. Workers stay, and all that was taken is served.
func (s *Server) Evacuate(on bool) {
	if s.leaving = on; !on {
		return
	}
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		if p.worker == nil && p.waits == 0 && len(p.conn.Bytes()) == 0 && p.conn.Unsent() == 0 && p.conn.Alive() {
			p.end()
		}
	})
}

// SetRejecting has new jobs turned away, or takes them again; clients stay.
func (s *Server) SetRejecting(on bool) { s.shut = on }

// Idle says whether every job has had its end and every answer has gone out.
func (s *Server) Idle() bool {
	quiet := len(s.jobs) == 0
	s.peers.Each(func(_ slotmap.Handle, p *peer) { quiet = quiet && (p.worker != nil || p.conn.Unsent() == 0) })
	return quiet
}

// EvictIdle closes a client that can be spared, a worker never.
func (s *Server) EvictIdle() bool { return s.shed(func(*peer) bool { return true }) }

// shed closes one of the clients that may be closed: first one that has handed in nothing yet, then the one that
// has been idle longest.
func (s *Server) shed(may func(*peer) bool) bool {
	var best *peer
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
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

// Totals returns the figures so far.
func (s *Server) Totals() Counts { return s.Counts }

func (s *Server) accept(c *eventloop.Conn) eventloop.Handler {
	s.rests++
	p := &peer{s: s, conn: c, connected: s.loop.Now(), idleSince: s.rests, clientID: "-", from: c.Peer().Addr().Unmap()}
	p.h = s.peers.Insert(p)
	p.expect(admission.FirstMessageTimeout)
	if !s.door.Admit(p.from, func(may func(netip.Addr) bool) bool {
		return s.shed(func(o *peer) bool { return o != p && may(o.from) })
	}) {
		p.turn(errQueue, "too many connections")
	}
	return p
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
