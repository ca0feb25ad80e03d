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
	reserve    = 48   // descriptors kept for the runtime, the log and what is being accepted
	lingerTime = 0.5  // after SIGTERM the front goes on sending new clients for about this long
	drainCheck = 0.01 // then the exit waits for all that was taken
)

// clock lets the core hang its deadlines in the loop's structure.
type clock struct{ loop *eventloop.Loop }

func (c clock) Now() float64                            { return c.loop.Now() }
func (c clock) At(at float64, do func()) dispatch.Timer { return c.loop.At(at, do) }

// Server is one dispatcher.
type Server struct {
	config             *Config
	log                *zap.Logger
	loop               *eventloop.Loop
	core               *dispatch.Dispatcher
	pool               *httpfront.Pool
	front              *httpfront.Front
	director           *httpfront.DiscoveryClient
	listener           *eventloop.Listener
	gearman            *gearman.Server
	door               *admission.Limiter
	console            *admin.Server
	upgrade            *upgrade
	fleet              *cluster.Cluster    // nil: no member of one
	facts              membership.Metadata // what the fleet is told of this dispatcher
	woke               float64             // after a sleep, until it has looked again; 0: it has
	waking             *eventloop.Timer
	wakeTimedOut       bool            // nobody has spoken for so long after a sleep that new jobs are refused
	board              *versions.Table // nil while fleet is
	ledger             *auditlog.Log   // nil: none is kept
	marked             uint64          // the last entry's number in this life
	ledgerAt           linelog.Options // where it stands
	reporting          *reporting      // nil: no figures leave, and no request log is kept
	started            float64         // Unix time
	longest            float64         // turn of the loop since the last period
	serving            bool            // takes clients
	stopping           bool
	factsOn, fleetLeft bool  // the fleet is told how it serves; and that it does not any more
	err                error // why it ends, if something went wrong
	Reloads            struct{ Applied, Rejected uint64 }
}

// Run serves until it is told to stop.
func Run(config *Config, log *zap.Logger) error {
	// Signals are taken before the port opens: whoever finds it open may send one.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	p, err := build(config, log)
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
	p.closeLedger(false)
	p.reporting.close()
	if err != nil {
		return err
	}
	if p.err != nil {
		return p.err
	}
	log.Info("program: ended", zap.Any("counts", p.core.Counts()))
	if p.gearman != nil {
		log.Info("program: gearman ended", zap.Any("counts", p.gearman.Totals()))
	}
	return nil
}

// limit keeps the process within the deployment's limits, of which it has half while there are two of them: one core,
// and collecting early rather than killed.
func (p *Server) limit() {
	runtime.GOMAXPROCS(1)
	limits, kept := p.config.Limits, reserve
	if p.upgrade.two() {
		limits.Sockets, limits.MemoryMB, kept = limits.Sockets/2, limits.MemoryMB/2, reserve/2
	}
	p.loop.SetSocketLimit(limits.Sockets - kept)
	p.door.SetMemory(limits.MemoryMB)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * 6 / 10)
	}
}

func build(config *Config, log *zap.Logger) (*Server, error) {
	loop, err := eventloop.NewLoop(config.Limits.Sockets - reserve)
	if err != nil {
		return nil, err
	}
	p := &Server{config: config, log: log, loop: loop, started: loop.Now()}
	if p.core, err = dispatch.New(config.brain, config.seed, clock{loop}); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	p.core.Log = func(line string) { log.Info("brain: " + line) }
	n := &config.names
	p.pool = httpfront.NewPool(loop, log, httpfront.PoolOptions{ConnectTimeout: n.Limits.ConnectTimeoutS,
		IdleTimeout: n.Limits.ConnIdleS, ProbeTimeout: 2 * n.Limits.ConnectTimeoutS, ReportFields: n.Report.Fields})
	p.pool.SetDispatcher(p.core)
	p.door = admission.New(loop, config.Limits.MemoryMB)
	p.front = httpfront.NewFront(loop, log, p.core, p.pool, p.door, &config.brain)
	// A descriptor is freed where it costs least: an idle client session first, then an idle backend connection.
	loop.FreeDescriptor = func() bool {
		return p.front.EvictIdle() || p.pool.EvictIdle() || p.gearman != nil && p.gearman.EvictIdle()
	}
	p.director = httpfront.NewDiscoveryClient(loop, log, config.discovery, p.core, p.pool, n.FailureDomains, n.Kinds, config.seed)
	p.director.Instances = config.brain.Instances
	p.core.Discovery = p.director
	if p.reporting, err = newReporting(p); err != nil {
		return nil, err
	}
	p.core.Start()
	if config.gearman != nil {
		p.gearman = gearman.New(loop, log, p.core, p.door, config.gearman, config.Name, config.brain.ReportFields)
		p.gearman.Shutdown = func() { p.stop("gearman shutdown") }
	}
	if config.console.IsValid() {
		if p.console, err = admin.Start(loop, log, config.console, p.calls()); err != nil {
			return nil, err
		}
	}
	p.upgrade = newUpgrade(p)
	p.limit()
	if err := p.startFleet(); err != nil {
		return nil, err
	}
	if p.upgrade.begin() {
		return p, nil
	}
	return p, p.alone()
}

// alone begins with what the configuration and the disk tell.
func (p *Server) alone() error {
	p.restore()
	p.reporting.begin()
	if p.config.discovery.IsValid() {
		p.director.Start(p.config.Known)
	}
	return p.serve(0)
}

// serve takes clients.
func (p *Server) serve(gearmanFD int) (err error) {
	switch {
	case p.config.inherited > 0:
		p.listener, err = p.loop.InheritListener(p.config.inherited, p.front.Accept)
	case p.config.listen.IsValid():
		p.listener, err = p.loop.Listen(p.config.listen, p.front.Accept)
	}
	if err == nil && p.gearman != nil {
		err = p.gearman.Start(gearmanFD)
	}
	if err != nil {
		return err
	}
	p.serving = true
	p.log.Info("program: serving", zap.String("name", p.config.Name), zap.String("listen", p.config.Listen),
		zap.String("discovery", p.config.Discovery), zap.Bool("gearman", p.gearman != nil))
	return nil
}

// fail ends the program.
func (p *Server) fail(err error) {
	p.err = err
	p.loop.Stop()
}

// stop serves on for a moment, then closes what is idle and ends once all that was taken is answered. The
// listener stays open to the end: call-backs come by it.
func (p *Server) stop(signal string) {
	if p.stopping {
		return
	}
	p.stopping = true
	p.log.Info("program: stopping", zap.String("signal", signal), zap.Int("open", p.core.Counts().OpenRequests))
	if p.upgrade.left() { // nobody comes any more, and who is here is passed on
		p.exitWhenDone()
		return
	}
	p.loop.At(p.loop.Now()+lingerTime, p.drain)
}

func (p *Server) drain() {
	if !p.upgrade.left() {
		p.front.Drain()
		if p.gearman != nil {
			p.gearman.Drain()
		}
	}
	p.exitWhenDone()
}

func (p *Server) exitWhenDone() {
	if n := p.core.Counts(); n.OpenRequests == 0 && p.front.Idle() && (p.gearman == nil || p.gearman.Idle()) &&
		p.upgrade.done() && (p.console == nil || p.console.OpenCalls() == 0) && p.reporting.finished() {
		p.leaveFleet()
		p.loop.Stop()
		return
	}
	p.loop.At(p.loop.Now()+drainCheck, p.exitWhenDone)
}
