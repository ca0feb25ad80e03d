package server

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admin"
	"cinderroad/internal/dispatcher/admission"
	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/dispatcher/linelog"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/membership"
)

const (
	reservedDescriptors = 48   // descriptors kept for the runtime, the log and what is being accepted
	lingerSeconds       = 0.5  // after SIGTERM the front goes on sending new clients for about this long
	drainCheckInterval  = 0.01 // then the exit waits for all that was taken
)

// clock lets the core hang its deadlines in the loop's structure.
type clock struct{ loop *eventloop.Loop }

func (c clock) Now() float64                            { return c.loop.Now() }
func (c clock) At(at float64, do func()) dispatch.Timer { return c.loop.At(at, do) }

// Server is one dispatcher.
type Server struct {
	config                         *Config
	log                            *zap.Logger
	loop                           *eventloop.Loop
	dispatcher                     *dispatch.Dispatcher
	pool                           *httpfront.Pool
	front                          *httpfront.Front
	discovery                      *httpfront.DiscoveryClient
	listener                       *eventloop.Listener
	gearman                        *gearman.Server
	limiter                        *admission.Limiter
	admin                          *admin.Server
	upgrade                        *upgrade
	cluster                        *cluster.Cluster    // nil: no member of one
	metadata                       membership.Metadata // what the fleet is told of this dispatcher
	resumingSince                  float64             // after a sleep, until it has looked again; 0: it has
	resumeTimer                    *eventloop.Timer
	resumeTimedOut                 bool            // nobody has spoken for so long after a sleep that new jobs are refused
	versionTable                   *versions.Table // nil while fleet is
	auditLog                       *auditlog.Log   // nil: none is kept
	auditSequence                  uint64          // the last entry's number in this life
	auditLogFile                   linelog.Options // where it stands
	reporting                      *reporting      // nil: no figures leave, and no request log is kept
	startedAt                      float64         // Unix time
	longestIteration               float64         // turn of the loop since the last period
	serving                        bool            // takes clients
	stopping                       bool
	publishesMetadata, leftCluster bool  // the fleet is told how it serves; and that it does not any more
	exitErr                        error // why it ends, if something went wrong
	Reloads                        struct{ Applied, Rejected uint64 }
}

// Run serves until it is told to stop.
func Run(config *Config, log *zap.Logger) error {
	// Signals are taken before the port opens: whoever finds it open may send one.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	p, err := newServer(config, log)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case s := <-stops:
				p.loop.Post(func() { p.stop(s.String()) })
			case <-reloads:
				p.loop.Post(p.reload)
			}
		}
	}()
	err = p.loop.Run()
	p.closeAuditLog(false)
	p.reporting.close()
	if err != nil {
		return err
	}
	if p.exitErr != nil {
		return p.exitErr
	}
	log.Info("program: ended", zap.Any("counts", p.dispatcher.Counts()))
	if p.gearman != nil {
		log.Info("program: gearman ended", zap.Any("counts", p.gearman.Totals()))
	}
	return nil
}

// applyLimits keeps the process within the deployment's limits, of which it has half while there are two of them: one core,
// and collecting early rather than killed.
func (s *Server) applyLimits() {
	runtime.GOMAXPROCS(1)
	limits, kept := s.config.Limits, reservedDescriptors
	if s.upgrade.bothRunning() {
		limits.Sockets, limits.MemoryMB, kept = limits.Sockets/2, limits.MemoryMB/2, reservedDescriptors/2
	}
	s.loop.SetSocketLimit(limits.Sockets - kept)
	s.limiter.SetMemory(limits.MemoryMB)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * 6 / 10)
	}
}

func newServer(config *Config, log *zap.Logger) (*Server, error) {
	loop, err := eventloop.NewLoop(config.Limits.Sockets - reservedDescriptors)
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, log: log, loop: loop, startedAt: loop.Now()}
	if s.dispatcher, err = dispatch.New(config.balancerSettings, config.seed, clock{loop}); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	s.dispatcher.Log = func(line string) { log.Info("brain: " + line) }
	settings := &config.dispatcherSettings
	s.pool = httpfront.NewPool(loop, log, httpfront.PoolOptions{ConnectTimeout: settings.Limits.ConnectTimeoutS,
		IdleTimeout: settings.Limits.ConnIdleS, ProbeTimeout: 2 * settings.Limits.ConnectTimeoutS, ReportFields: settings.Report.LoadFields})
	s.pool.SetDispatcher(s.dispatcher)
	s.limiter = admission.New(loop, config.Limits.MemoryMB)
	s.front = httpfront.NewFront(loop, log, s.dispatcher, s.pool, s.limiter, &config.balancerSettings)
	// A descriptor is freed where it costs least: an idle client session first, then an idle backend connection.
	loop.FreeDescriptor = func() bool {
		return s.front.EvictIdle() || s.pool.EvictIdle() || s.gearman != nil && s.gearman.EvictIdle()
	}
	s.discovery = httpfront.NewDiscoveryClient(loop, log, config.discovery, s.dispatcher, s.pool, settings.FailureDomains, settings.Kinds, config.seed)
	s.discovery.Instances = config.balancerSettings.Instances
	s.dispatcher.Discovery = s.discovery
	if s.reporting, err = newReporting(s); err != nil {
		return nil, err
	}
	s.dispatcher.Start()
	if config.gearman != nil {
		s.gearman = gearman.New(loop, log, s.dispatcher, s.limiter, config.gearman, config.Name, config.balancerSettings.ReportFields)
		s.gearman.Shutdown = func() { s.stop("gearman shutdown") }
	}
	if config.console.IsValid() {
		if s.admin, err = admin.Start(loop, log, config.console, s.adminCalls()); err != nil {
			return nil, err
		}
	}
	s.upgrade = newUpgrade(s)
	s.applyLimits()
	if err := s.startCluster(); err != nil {
		return nil, err
	}
	if s.upgrade.connectPredecessor() {
		return s, nil
	}
	return s, s.startWithoutPredecessor()
}

// startWithoutPredecessor begins with what the configuration and the disk tell.
func (s *Server) startWithoutPredecessor() error {
	s.restoreExclusions()
	s.reporting.start()
	if s.config.discovery.IsValid() {
		s.discovery.Start(s.config.Known)
	}
	return s.startServing(0)
}

// startServing takes clients.
func (s *Server) startServing(gearmanFD int) (err error) {
	switch {
	case s.config.inheritedFD > 0:
		s.listener, err = s.loop.InheritListener(s.config.inheritedFD, s.front.Accept)
	case s.config.listen.IsValid():
		s.listener, err = s.loop.Listen(s.config.listen, s.front.Accept)
	}
	if err == nil && s.gearman != nil {
		err = s.gearman.Start(gearmanFD)
	}
	if err != nil {
		return err
	}
	s.serving = true
	s.log.Info("program: serving", zap.String("name", s.config.Name), zap.String("listen", s.config.Listen),
		zap.String("discovery", s.config.Discovery), zap.Bool("gearman", s.gearman != nil))
	return nil
}

// fail ends the program.
func (s *Server) fail(err error) {
	s.exitErr = err
	s.loop.Stop()
}

// stop serves on for a moment, then closes what is idle and ends once all that was taken is answered. The
// listener stays open to the end: call-backs come by it.
func (s *Server) stop(signal string) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.log.Info("program: stopping", zap.String("signal", signal), zap.Int("open", s.dispatcher.Counts().OpenRequests))
	if s.upgrade.successorServes() { // nobody comes any more, and who is here is passed on
		s.exitWhenDone()
		return
	}
	s.loop.At(s.loop.Now()+lingerSeconds, s.drainClients)
}

func (s *Server) drainClients() {
	if !s.upgrade.successorServes() {
		s.front.Drain()
		if s.gearman != nil {
			s.gearman.Drain()
		}
	}
	s.exitWhenDone()
}

func (s *Server) exitWhenDone() {
	if n := s.dispatcher.Counts(); n.OpenRequests == 0 && s.front.Idle() && (s.gearman == nil || s.gearman.Idle()) &&
		s.upgrade.done() && (s.admin == nil || s.admin.OpenCalls() == 0) && s.reporting.finished() {
		s.leaveCluster()
		s.loop.Stop()
		return
	}
	s.loop.At(s.loop.Now()+drainCheckInterval, s.exitWhenDone)
}
