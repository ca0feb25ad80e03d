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
	// reservedDescriptors stay free for the runtime, the log and connections that are being accepted.
	reservedDescriptors = 48

	// The soft limit of the Go runtime as a part of the deployment's memory limit: the garbage collector works harder from
	// there on, well before the process would be killed.
	softMemoryNumerator   = 6
	softMemoryDenominator = 10
)

// clock has the dispatcher's deadlines kept by the event loop.
type clock struct{ loop *eventloop.Loop }

// Now implements dispatch.Clock: the time of the loop's iteration.
func (c clock) Now() float64 { return c.loop.Now() }

// At implements dispatch.Clock.
func (c clock) At(at float64, do func()) dispatch.Timer { return c.loop.At(at, do) }

// Server is one dispatcher process. Times are seconds of the event loop's clock, which shows Unix time.
type Server struct {
	config     *Config // replaced as a whole by a reload
	log        *zap.Logger
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	pool       *httpfront.Pool // connections to workers
	front      *httpfront.Front
	discovery  *httpfront.DiscoveryClient
	listener   *eventloop.Listener // of the HTTP front; nil before startServing and without a front
	gearman    *gearman.Server     // nil: no Gearman front
	limiter    *admission.Limiter
	admin      *admin.Server // nil: no second address
	upgrade    *upgrade      // nil only while newServer has not built it
	reporting  *reporting    // nil: no metrics leave, and no request log is written
	exclusions *exclusionsWriter

	cluster           *cluster.Cluster    // nil: not a member of one
	metadata          membership.Metadata // of this member, as last published
	publishesMetadata bool                // publishMetadata is scheduled
	leftCluster       bool                // evacuated and without work: the membership was given up
	versionTable      *versions.Table     // nil while cluster is

	resumingSince  float64          // when this process found that it had been paused; 0: it sends
	resumeTimer    *eventloop.Timer // until it sends again without having heard from anybody
	resumeTimedOut bool             // nobody was heard for maxResumeWait: new jobs are rejected

	auditLog      *auditlog.Log // nil: none is written
	auditSequence uint64        // number of the last entry that this process wrote
	auditLogFile  linelog.Options

	startedAt        float64
	longestIteration float64 // seconds: the event loop's longest since metrics were last read
	serving          bool    // takes clients
	stopping         bool    // a graceful shutdown has begun
	exitErr          error   // what Run returns; nil: the shutdown was graceful
	Reloads          struct{ Applied, Rejected uint64 }
}

// Run serves until SIGTERM, SIGINT or a Gearman shutdown command has drained the dispatcher, and returns nil then. It reloads
// the configuration on SIGHUP. An error says why it could not start or go on. A process calls it once: the goroutine that
// receives signals ends with the process.
func Run(config *Config, log *zap.Logger) error {
	// Signals are taken before the port opens: whoever finds it open may send one.
	stops := make(chan os.Signal, 1)
	reloads := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	s, err := newServer(config, log)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case received := <-stops:
				s.loop.Post(func() { s.stop(received.String()) })
			case <-reloads:
				s.loop.Post(s.reload)
			}
		}
	}()
	err = s.loop.Run()
	s.closeAuditLog()
	s.reporting.close()
	if err != nil {
		return err
	}
	if s.exitErr != nil {
		return s.exitErr
	}
	log.Info("server: stopped", zap.Any("counts", s.dispatcher.Counts()))
	if s.gearman != nil {
		log.Info("gearman: stopped", zap.Any("counts", s.gearman.Totals()))
	}
	return nil
}

// applyLimits keeps the process within the deployment's limits of descriptors and memory, and within one core. During an
// upgrade each of the two processes has half of them.
func (s *Server) applyLimits() {
	runtime.GOMAXPROCS(1)
	limits := s.config.Limits
	reserved := reservedDescriptors
	if s.upgrade.bothRunning() {
		limits.Sockets /= 2
		limits.MemoryMB /= 2
		reserved /= 2
	}
	s.loop.SetSocketLimit(limits.Sockets - reserved)
	s.limiter.SetMemory(limits.MemoryMB)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * softMemoryNumerator / softMemoryDenominator)
	}
}

// newServer builds a dispatcher. With a predecessor it goes on by itself once that has sent its state (see [upgrade]);
// otherwise it serves already when newServer returns.
func newServer(config *Config, log *zap.Logger) (*Server, error) {
	loop, err := eventloop.NewLoop(config.Limits.Sockets - reservedDescriptors)
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, log: log, loop: loop, startedAt: loop.Now()}
	if s.dispatcher, err = dispatch.New(config.balancerSettings, config.seed, clock{loop}); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	s.exclusions = &exclusionsWriter{server: s}
	s.dispatcher.Log = func(line string) { log.Info("balancer: " + line) }
	s.connectDispatcher()
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

// connectDispatcher builds the HTTP front, the connections to workers, the limiter of admission that both fronts share, and
// the discovery client. None is started.
func (s *Server) connectDispatcher() {
	loop, log, config := s.loop, s.log, s.config
	settings := &config.dispatcherSettings
	s.pool = httpfront.NewPool(loop, log, httpfront.PoolOptions{
		ConnectTimeout: settings.Limits.ConnectTimeoutS,
		IdleTimeout:    settings.Limits.ConnIdleS,
		ProbeTimeout:   2 * settings.Limits.ConnectTimeoutS,
		ReportFields:   settings.Report.LoadFields,
	})
	s.pool.SetDispatcher(s.dispatcher)
	s.limiter = admission.New(loop, config.Limits.MemoryMB)
	s.front = httpfront.NewFront(loop, log, s.dispatcher, s.pool, s.limiter, &config.balancerSettings)
	// When descriptors run short, the cheapest connection is closed: an idle client session first, then an idle backend connection.
	loop.FreeDescriptor = func() bool {
		return s.front.EvictIdle() || s.pool.EvictIdle() || s.gearman != nil && s.gearman.EvictIdle()
	}
	s.discovery = httpfront.NewDiscoveryClient(loop, log, config.discovery, s.dispatcher, s.pool,
		settings.FailureDomains, settings.Kinds, config.seed)
	s.discovery.Instances = config.balancerSettings.Instances
	s.dispatcher.Discovery = s.discovery
}

// startWithoutPredecessor starts serving from the configuration and from what earlier processes left on disk.
func (s *Server) startWithoutPredecessor() error {
	s.restoreExclusions()
	s.reporting.start()
	if s.config.discovery.IsValid() {
		s.discovery.Start(s.config.Known)
	}
	return s.startServing(0)
}

// startServing opens the fronts. gearmanFD is a listening socket received from the predecessor, 0 for none.
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
	s.log.Info("server: serving",
		zap.String("name", s.config.Name),
		zap.String("listen", s.config.Listen),
		zap.String("discovery", s.config.Discovery),
		zap.Bool("gearman", s.gearman != nil),
	)
	return nil
}
