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

	loop         *eventloop.Loop
	log          *zap.Logger
	dispatcher   *dispatch.Dispatcher
	limiter      *admission.Limiter
	config       *Config
	reportFields []loadbalancer.ReportField
	functions    map[string]*function
	peers        slotmap.Map[*peer]
	jobs         map[string]*job // by handle
	jobsByUnique map[uniqueKey]*job
	lastSerial   uint64
	pendingBytes int // bytes of the jobs' data
	handlePrefix string
	stopping     bool
	evacuating   bool // evacuated: clients are sent away, until they are taken again
	rejecting    bool // no new job is taken
	idleSequence uint64
	listener     *eventloop.Listener
	retireTimer  *eventloop.Timer
}

const retireInterval = 0.05 // seconds between two looks at who can be sent to the next process

type uniqueKey struct{ function, unique string }

type function struct {
	Function
	skill    uint32
	maxQueue int // jobs that may wait; 0 is any number
	jobs     int
	running  int
}

// outputPacket is output of a job that waits for the job's end: if the fetch fails and another is made, the client
// must not see both.
type outputPacket struct {
	kind Kind
	data string
}

// New makes the front; Start opens its port.
func New(loop *eventloop.Loop, log *zap.Logger, dispatcher *dispatch.Dispatcher, limiter *admission.Limiter, config *Config, name string, reportFields []loadbalancer.ReportField) *Server {
	s := &Server{loop: loop, log: log, dispatcher: dispatcher, limiter: limiter, config: config, reportFields: reportFields, functions: map[string]*function{},
		jobs: map[string]*job{}, jobsByUnique: map[uniqueKey]*job{}, handlePrefix: "H:" + name + ":"}
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
		s.listener, err = s.loop.Listen(s.config.listenAddress, s.accept)
	}
	return err
}

// SetRetired leaves the port to the next process, or takes it back. Its own jobs are served first, by the workers that are
// here; then clients and workers are sent to the next one, as they would be by a restart.
func (s *Server) SetRetired(on bool) {
	s.listener.SetSuspended(on)
	s.retireTimer.Stop()
	if s.stopping = on; !on {
		return
	}
	s.Drain()
	s.retire()
}

func (s *Server) retire() {
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		if p.pendingJobs == 0 && len(p.conn.Bytes()) == 0 && p.conn.Unsent() == 0 && (p.worker == nil || len(s.jobs) == 0 && len(p.worker.running) == 0) {
			p.close()
		}
	})
	s.retireTimer = s.loop.At(s.loop.Now()+retireInterval, s.retire)
}

// Listener is the open port.
func (s *Server) Listener() *eventloop.Listener { return s.listener }

// Drain takes no new jobs. Those the core has are served to their end; those that wait to enter it end here.
func (s *Server) Drain() {
	s.stopping = true
	for _, j := range s.jobs {
		if !j.queued {
			j.startTimer.Stop()
			j.Answer(dispatch.Answer{Verdict: dispatch.Failed})
		}
	}
}

// Evacuate sends the clients away, or takes them again: new jobs are turned away and clients that wait for nothing
// are closed. Workers stay, and all that was taken is served.
func (s *Server) Evacuate(on bool) {
	if s.evacuating = on; !on {
		return
	}
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		if p.worker == nil && p.pendingJobs == 0 && len(p.conn.Bytes()) == 0 && p.conn.Unsent() == 0 && p.conn.Alive() {
			p.close()
		}
	})
}

// SetRejecting has new jobs turned away, or takes them again; clients stay.
func (s *Server) SetRejecting(on bool) { s.rejecting = on }

// Idle says whether every job has had its end and every answer has gone out.
func (s *Server) Idle() bool {
	quiet := len(s.jobs) == 0
	s.peers.Each(func(_ slotmap.Handle, p *peer) { quiet = quiet && (p.worker != nil || p.conn.Unsent() == 0) })
	return quiet
}

// EvictIdle closes a client that can be spared, a worker never.
func (s *Server) EvictIdle() bool { return s.closeIdle(func(*peer) bool { return true }) }

// closeIdle closes one of the clients that may be closed: first one that has handed in nothing yet, then the one that
// has been idle longest.
func (s *Server) closeIdle(allowed func(*peer) bool) bool {
	var best *peer
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		switch {
		case p.worker != nil || p.pendingJobs > 0 || !allowed(p) || best != nil && (p.sentMessage && !best.sentMessage ||
			p.sentMessage == best.sentMessage && p.idleOrder > best.idleOrder):
		case p.conn.Alive() || !p.sentMessage && len(p.conn.Bytes()) > 0:
			best = p
		}
	})
	if best != nil {
		best.close()
	}
	return best != nil
}

// Reload takes a changed operator's file and names what needs a restart. Workers that stand in the list keep
// the place they came with.
func (s *Server) Reload(config *Config) (restart []string) {
	if config.listenAddress != s.config.listenAddress {
		restart = append(restart, "gearman listen")
	}
	if !slices.Equal(config.Functions, s.config.Functions) {
		restart = append(restart, "gearman functions")
	}
	next := *config
	next.listenAddress, next.Functions = s.config.listenAddress, s.config.Functions
	s.config = &next
	return restart
}

// Totals returns the figures so far.
func (s *Server) Totals() Counts { return s.Counts }

func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	s.idleSequence++
	p := &peer{server: s, conn: conn, connectedAt: s.loop.Now(), idleOrder: s.idleSequence, clientID: "-", address: conn.Peer().Addr().Unmap()}
	p.handle = s.peers.Insert(p)
	p.setMessageDeadline(admission.FirstMessageTimeout)
	if !s.limiter.Admit(p.address, func(may func(netip.Addr) bool) bool {
		return s.closeIdle(func(o *peer) bool { return o != p && may(o.address) })
	}) {
		p.closeWithError(codeQueueFull, "too many connections")
	}
	return p
}

func (s *Server) jobByUnique(unique string) *job {
	var found *job
	for key, j := range s.jobsByUnique {
		if key.unique == unique && (found == nil || j.handle < found.handle) {
			found = j
		}
	}
	return found
}
