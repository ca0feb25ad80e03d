// Package runner stands in for the runners of a service: HTTP/1.1 servers on loopback, each around a machine of package
// engine that it plays in real time. A runner answers requests, health checks and reports as the protocol says, and
// misbehaves as its script of faults tells it.
package runner

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/engine"
)

// Options describe a runner.
type Options struct {
	checker.Runner
	Address     string        // to listen on
	Engine      engine.Server // that does the work
	EventTokens int           // tokens in an event; 0: the service has no streams
	Models      []Model
	HealthPath  string
	MaxConns    int           // connections from all callers; 0: no bound
	IdleTimeout time.Duration // after which an idle connection is closed; 0: never
	CloseShare  float64       // of answers that end their connection
	ReportDelay time.Duration
	SlowStart   engine.SlowStart
	ServiceTime func(random *rand.Rand) time.Duration // of a plain request; nil: none
	BodyBytes   int                                   // of a plain answer
	Checker     *checker.Checker                      // nil: none
	Seed        uint64
}

// Model is what a runner serves.
type Model struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
}

// Runner is one incarnation of a server, from Start until Close, Crash or Hang.
type Runner struct {
	options  Options
	address  netip.AddrPort
	server   *http.Server
	listener *listener
	epoch    time.Time
	wake     chan struct{}
	done     chan struct{}

	mutex      sync.Mutex
	random     *rand.Rand
	faults     Faults
	faultCount int // requests, under the present script
	draining   bool
	hung       bool
	ended      bool
	executions map[*engine.Task]*execution
	reports    []report
	stats      Stats
}

// Stats count what a runner has seen.
type Stats struct {
	Requests            int // that got in, health checks and reports apart
	Misdirected         int // answered with 421
	Rejected            int
	Finished            int
	ConnectionsAccepted int // connections that were taken
	ConnectionsReset    int // connections that were reset for being too many
	HealthChecks        int // health checks and reports
	FaultsInjected      int // played
	Unanswered          int // requests that came while it was dark
	Overloaded          bool
	SlowStartPeak       int
	SlowStartViolations int
	Engine              engine.State
}

// Start starts a runner.
func Start(o Options) (*Runner, error) {
	inner, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("runner %s: %w", o.ID, err)
	}
	r := &Runner{options: o, address: inner.Addr().(*net.TCPAddr).AddrPort(), epoch: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}), random: rand.New(rand.NewPCG(o.Seed, 4)),
		executions: make(map[*engine.Task]*execution)}
	r.listener = &listener{Listener: inner, maxConns: o.MaxConns, conns: make(map[*conn]struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: o.IdleTimeout,
		ErrorLog: log.New(io.Discard, "", 0), ConnState: r.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	go r.server.Serve(r.listener)
	go r.run()
	return r, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ID is the incarnation's.
func (r *Runner) ID() string { return r.options.ID }

// Address is where it listens.
func (r *Runner) Address() netip.AddrPort { return r.address }

// now is the machine's time.
func (r *Runner) now() time.Duration { return time.Since(r.epoch) }

// Drain lets it say that it is leaving.
func (r *Runner) Drain() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining = true
}

// BeginSlowStart makes it cold for a while.
func (r *Runner) BeginSlowStart(span time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.options.SlowStart.Begin(r.now() + span)
}

// SlowStartRemaining is how much longer it stays cold.
func (r *Runner) SlowStartRemaining() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.options.SlowStart.Remaining(r.now())
}

// SetFaults sets the faults that it plays from now on.
func (r *Runner) SetFaults(f Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults, r.faultCount = f, 0
}

// Hang makes it say nothing any more: its work stops, its connections stay and new ones come up unanswered.
func (r *Runner) Hang() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hung = true
	r.stopEngine()
}

// Crash ends it: connections are reset, its work is lost.
func (r *Runner) Crash() { r.shutDown(true) }

// Close ends it; connections are closed.
func (r *Runner) Close() { r.shutDown(false) }

func (r *Runner) shutDown(reset bool) {
	r.mutex.Lock()
	if r.ended {
		r.mutex.Unlock()
		return
	}
	r.ended = true
	r.stopEngine()
	r.mutex.Unlock()
	close(r.done)
	if reset {
		r.listener.resetAll()
	}
	r.server.Close()
}

// stopEngine loses all work.
func (r *Runner) stopEngine() {
	for _, event := range r.options.Engine.Stop(r.now()) {
		r.dispatchEvent(event)
	}
}

// Stats returns the counts so far.
func (r *Runner) Stats() Stats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.stats
	s.Engine = r.options.Engine.State()
	s.SlowStartPeak, s.SlowStartViolations = r.options.SlowStart.PeakArrivals(), r.options.SlowStart.Violations()
	s.ConnectionsAccepted, s.ConnectionsReset = r.listener.counts()
	return s
}

// run plays the machine.
func (r *Runner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if next, is := r.advance(); is {
			timer.Reset(max(0, next-r.now()))
		}
		select {
		case <-timer.C:
		case <-r.wake:
		case <-r.done:
			return
		}
	}
}

// advance lets everything happen that is due.
func (r *Runner) advance() (next time.Duration, is bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range r.options.Engine.Advance(r.now()) {
		r.dispatchEvent(event)
	}
	r.recordReport()
	return r.options.Engine.Next()
}

// wakeUp has run look at the machine again.
func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// dispatchEvent passes an event of the machine on to the request that waits for it.
func (r *Runner) dispatchEvent(event engine.Event) {
	execution := r.executions[event.Task]
	if execution == nil {
		return
	}
	switch event.Kind {
	case engine.Started:
		r.reportStarted(execution)
	case engine.Preempted, engine.ChunkPrefilled:
		return
	case engine.Finished, engine.Expired, engine.TimedOut, engine.Lost:
		delete(r.executions, event.Task)
	}
	execution.addEvent(event)
}

// reportStarted notes that work on a request has begun.
func (r *Runner) reportStarted(execution *execution) {
	if r.options.Checker != nil {
		r.options.Checker.ExecutionStarted(&r.options.Runner, execution.attemptID)
	}
}
