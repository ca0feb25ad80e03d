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

// Counts are the front's counters since the process began. Every job counted in Jobs ends under exactly one of Served,
// Rejected, Failed and Abandoned. The JSON names are kept by recorded samples and must not change.
type Counts struct {
	Jobs            uint64 `json:"Jobs"`
	Background      uint64 `json:"Background"` // jobs in the background, among Jobs
	Coalesced       uint64 `json:"Coalesced"`  // submissions that joined a pending job
	Served          uint64 `json:"Served"`
	Rejected        uint64 `json:"Refused"`
	Failed          uint64 `json:"Failed"`
	Abandoned       uint64 `json:"Gone"`            // jobs that nobody waited for any more, or cancelled
	BackgroundEnded uint64 `json:"BackgroundEnded"` // background jobs that have ended
	Requeued        uint64 `json:"Returned"`        // rejections after which a background job was submitted again
	BadPackets      uint64 `json:"BadPackets"`
	StrayWork       uint64 `json:"StrayWork"` // reports on jobs that the worker does not have (any more)
	TimedOut        uint64 `json:"Slow"`      // peers closed because a message was not complete in time
}

// Server is the Gearman front: clients, workers and administrators connect to the same port.
type Server struct {
	Counts   Counts
	Shutdown func() // stops the program; called only if Config.AllowShutdown is set

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
	lastSerial   uint64 // of the last job's handle
	pendingBytes int    // bytes of the jobs' data
	handlePrefix string
	stopping     bool   // draining: no new job is accepted, and rejected jobs are not requeued
	evacuating   bool   // new jobs are rejected and idle clients were disconnected
	rejecting    bool   // new jobs are rejected, clients stay
	idleSequence uint64 // orders peers by when they became idle
	listener     *eventloop.Listener
	retireTimer  *eventloop.Timer
}

// retireInterval is the time in seconds between two searches for peers that can be closed while retired.
const retireInterval = 0.05

// uniqueKey identifies a pending job by what its clients named: unique ids are scoped to a function.
type uniqueKey struct{ function, unique string }

// function is a configured function with its state.
type function struct {
	Function
	skill    uint32 // the skill that its jobs need and its workers have
	maxQueue int    // jobs that may wait, set by the text command; 0 is unlimited
	jobs     int    // pending, running ones included
	running  int    // jobs with an attempt at a worker
}

// New returns a front that is not listening yet. The name, unique among dispatchers, goes into job handles;
// reportFields is the layout of the load reports that the dispatcher expects.
func New(
	loop *eventloop.Loop,
	log *zap.Logger,
	dispatcher *dispatch.Dispatcher,
	limiter *admission.Limiter,
	config *Config,
	name string,
	reportFields []loadbalancer.ReportField,
) *Server {
	s := &Server{
		loop:         loop,
		log:          log,
		dispatcher:   dispatcher,
		limiter:      limiter,
		config:       config,
		reportFields: reportFields,
		functions:    map[string]*function{},
		jobs:         map[string]*job{},
		jobsByUnique: map[uniqueKey]*job{},
		handlePrefix: "H:" + name + ":",
	}
	for i, f := range config.Functions {
		s.functions[f.Name] = &function{Function: f, skill: uint32(i + 1)}
	}
	return s
}

// Start opens the port, or uses the listening socket inherited as file descriptor from the process that this one
// replaces; 0 is none.
func (s *Server) Start(inherited int) (err error) {
	if inherited > 0 {
		s.listener, err = s.loop.InheritListener(inherited, s.accept)
	} else {
		s.listener, err = s.loop.Listen(s.config.listenAddress, s.accept)
	}
	return err
}

// SetRetired leaves the listening socket to the successor process (on), or accepts on it again. While retired, the
// pending jobs are finished by the workers connected here; each peer is closed once it is idle and reconnects to the
// successor, as after a restart.
func (s *Server) SetRetired(on bool) {
	s.listener.SetSuspended(on)
	s.retireTimer.Stop()
	s.stopping = on
	if !on {
		return
	}
	s.Drain()
	s.retire()
}

// retire closes the idle peers, workers only once no job is left, and runs again after retireInterval.
func (s *Server) retire() {
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		isIdle := p.pendingJobs == 0 && len(p.conn.Bytes()) == 0 && p.conn.Unsent() == 0
		isNeededWorker := p.worker != nil && (len(s.jobs) > 0 || len(p.worker.running) > 0)
		if isIdle && !isNeededWorker {
			p.close()
		}
	})
	s.retireTimer = s.loop.At(s.loop.Now()+retireInterval, s.retire)
}

// Listener returns the listening socket; nil before Start.
func (s *Server) Listener() *eventloop.Listener { return s.listener }

// Drain rejects new jobs. Jobs that the dispatcher has are finished; those with a timer that would submit them later
// fail now.
func (s *Server) Drain() {
	s.stopping = true
	for _, j := range s.jobs {
		if !j.queued {
			j.startTimer.Stop()
			j.Answer(dispatch.Answer{Verdict: dispatch.Failed})
		}
	}
}

// Evacuate rejects new jobs and closes the clients that wait for nothing (on), or accepts jobs again. Workers stay, and
// pending jobs are finished.
func (s *Server) Evacuate(on bool) {
	s.evacuating = on
	if !on {
		return
	}
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		if p.worker == nil && p.pendingJobs == 0 && len(p.conn.Bytes()) == 0 && p.conn.Unsent() == 0 && p.conn.Alive() {
			p.close()
		}
	})
}

// SetRejecting rejects new jobs, or accepts them again. Connections stay.
func (s *Server) SetRejecting(on bool) { s.rejecting = on }

// Idle reports whether every job has ended and every answer to a client has been written.
func (s *Server) Idle() bool {
	quiet := len(s.jobs) == 0
	s.peers.Each(func(_ slotmap.Handle, p *peer) { quiet = quiet && (p.worker != nil || p.conn.Unsent() == 0) })
	return quiet
}

// EvictIdle closes one idle client, never a worker, and reports whether there was one.
func (s *Server) EvictIdle() bool { return s.closeIdle(func(*peer) bool { return true }) }

// closeIdle closes one of the idle clients that allowed accepts: one that has not sent a message yet if there is any,
// otherwise the one that has been idle longest. It reports whether it closed one.
func (s *Server) closeIdle(allowed func(*peer) bool) bool {
	var best *peer
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		if p.worker != nil || p.pendingJobs > 0 || !allowed(p) {
			return
		}
		if best != nil && !p.isClosedBefore(best) {
			return
		}
		hasOnlyBegun := !p.sentMessage && len(p.conn.Bytes()) > 0
		if p.conn.Alive() || hasOnlyBegun { // else unread input has come, or the peer has disconnected
			best = p
		}
	})
	if best != nil {
		best.close()
	}
	return best != nil
}

// isClosedBefore reports whether closeIdle prefers to close this one of two idle clients.
func (p *peer) isClosedBefore(other *peer) bool {
	if p.sentMessage != other.sentMessage {
		return !p.sentMessage
	}
	return p.idleOrder <= other.idleOrder
}

// Reload applies a changed operator's file and returns the names of the parts that take effect only after a restart.
// Connected workers keep the zone, kind and cell that they connected with.
func (s *Server) Reload(config *Config) (restart []string) {
	if config.listenAddress != s.config.listenAddress {
		restart = append(restart, "gearman listen")
	}
	if !slices.Equal(config.Functions, s.config.Functions) {
		restart = append(restart, "gearman functions")
	}
	next := *config
	next.listenAddress = s.config.listenAddress
	next.Functions = s.config.Functions
	s.config = &next
	return restart
}

// Totals returns the counters since the process began.
func (s *Server) Totals() Counts { return s.Counts }

// accept registers a connection. Over the connection limit an idle client is closed to make room, or the new one.
func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	s.idleSequence++
	p := &peer{
		server:      s,
		conn:        conn,
		connectedAt: s.loop.Now(),
		idleOrder:   s.idleSequence,
		clientID:    "-",
		address:     conn.Peer().Addr().Unmap(),
	}
	p.handle = s.peers.Insert(p)
	p.setMessageDeadline(admission.FirstMessageTimeout)
	if !s.limiter.Admit(p.address, func(may func(netip.Addr) bool) bool {
		return s.closeIdle(func(o *peer) bool { return o != p && may(o.address) })
	}) {
		p.closeWithError(codeQueueFull, "too many connections")
	}
	return p
}

// jobByUnique returns the pending job with a unique id, nil if there is none. Of jobs of several functions it is the
// one with the lowest handle.
func (s *Server) jobByUnique(unique string) *job {
	var found *job
	for key, j := range s.jobsByUnique {
		if key.unique == unique && (found == nil || j.handle < found.handle) {
			found = j
		}
	}
	return found
}
