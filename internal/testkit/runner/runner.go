// Package runner is a fake of the runners of a service: an HTTP/1.1 server on loopback around an engine.Server that
// it drives in real time. A runner answers requests, health checks and state reports as the protocol requires, and
// misbehaves as Faults say.
//
// Each Start is a new incarnation, which ends with Close, Crash or Hang. Methods may be called from any goroutine.
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

// Options configure a runner.
type Options struct {
	checker.Runner
	Address     string        // host:port to listen on
	Engine      engine.Server // the runner becomes its only user
	EventTokens int           // tokens in an event; 0: no streams
	Models      []Model
	HealthPath  string
	MaxConns    int           // open connections of all callers; 0: unlimited
	IdleTimeout time.Duration // of keep-alive connections; 0: none
	CloseShare  float64       // of answers after which the connection is closed
	ReportDelay time.Duration
	SlowStart   engine.SlowStart
	ServiceTime func(random *rand.Rand) time.Duration // of a plain request; nil: the engine's own
	BodyBytes   int                                   // size of a plain answer
	Checker     *checker.Checker                      // nil: none
	Seed        uint64
}

// Model is a model that a runner serves.
type Model struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
}

// Runner is one incarnation of a server.
type Runner struct {
	options  Options
	address  netip.AddrPort
	server   *http.Server
	listener *listener
	epoch    time.Time
	wake     chan struct{}
	done     chan struct{}

	mutex      sync.Mutex // guards what follows, and options.Engine and options.SlowStart
	random     *rand.Rand
	faults     Faults
	faultCount int // requests with a fault since SetFaults
	draining   bool
	hung       bool
	ended      bool
	executions map[*engine.Task]*execution
	reports    []report
	stats      Stats
}

// Stats counts what a runner has seen.
type Stats struct {
	Requests            int // accepted by the engine
	Misdirected         int // answered with 421
	Rejected            int
	Finished            int
	ConnectionsAccepted int
	ConnectionsReset    int // beyond MaxConns
	HealthChecks        int // state reports included
	FaultsInjected      int
	Unanswered          int  // requests after Hang
	Overloaded          bool // it crashed because it was sent too much in slow start
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
	r := &Runner{
		options:    o,
		address:    inner.Addr().(*net.TCPAddr).AddrPort(),
		epoch:      time.Now(),
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		random:     rand.New(rand.NewPCG(o.Seed, 4)),
		executions: make(map[*engine.Task]*execution),
	}
	r.listener = &listener{Listener: inner, maxConns: o.MaxConns, conns: make(map[*conn]struct{})}
	r.server = &http.Server{
		Handler:     http.HandlerFunc(r.serve),
		IdleTimeout: o.IdleTimeout,
		ErrorLog:    log.New(io.Discard, "", 0),
		ConnState:   r.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go r.server.Serve(r.listener)
	go r.run()
	return r, nil
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// ID returns the incarnation's ID.
func (r *Runner) ID() string { return r.options.ID }

// Address returns the address that it listens on.
func (r *Runner) Address() netip.AddrPort { return r.address }

// now returns the engine's time.
func (r *Runner) now() time.Duration { return time.Since(r.epoch) }

// Drain makes the health check fail and answers close their connections, as before a shutdown.
func (r *Runner) Drain() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining = true
}

// BeginSlowStart starts slow start for a duration.
func (r *Runner) BeginSlowStart(span time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.options.SlowStart.Begin(r.now() + span)
}

// SlowStartRemaining returns how much longer slow start lasts.
func (r *Runner) SlowStartRemaining() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.options.SlowStart.Remaining(r.now())
}

// SetFaults sets the faults from now on and restarts the count for MaxFaults.
func (r *Runner) SetFaults(f Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = f
	r.faultCount = 0
}

// Hang stops the work and all answers; connections stay open, and new ones are accepted.
func (r *Runner) Hang() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hung = true
	r.reportEnded()
	r.stopEngine()
}

// Crash resets all connections and stops; its work is lost.
func (r *Runner) Crash() { r.shutDown(true) }

// Close stops the runner and closes its connections.
func (r *Runner) Close() { r.shutDown(false) }

func (r *Runner) shutDown(reset bool) {
	r.mutex.Lock()
	if r.ended {
		r.mutex.Unlock()
		return
	}
	r.ended = true
	r.reportEnded()
	r.stopEngine()
	r.mutex.Unlock()
	close(r.done)
	if reset {
		r.listener.resetAll()
	}
	r.server.Close()
}

// stopEngine loses all work. The mutex must be held.
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
	s.SlowStartPeak = r.options.SlowStart.PeakArrivals()
	s.SlowStartViolations = r.options.SlowStart.Violations()
	s.ConnectionsAccepted, s.ConnectionsReset = r.listener.counts()
	return s
}

// run drives the engine until the runner stops.
func (r *Runner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if next, ok := r.advance(); ok {
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

// advance processes the engine's due events and returns when the next is due; ok is false if there is none.
func (r *Runner) advance() (next time.Duration, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range r.options.Engine.Advance(r.now()) {
		r.dispatchEvent(event)
	}
	r.recordReport()
	return r.options.Engine.Next()
}

// wakeUp makes run look at the engine again.
func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// dispatchEvent passes an event to the execution that it concerns. The mutex must be held.
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
	case engine.TimedOut, engine.Lost:
		r.reportBrokenOff(execution)
		delete(r.executions, event.Task)
	case engine.Finished, engine.Expired:
		delete(r.executions, event.Task)
	}
	execution.addEvent(event)
}

// reportStarted reports the start of an execution to the checker.
func (r *Runner) reportStarted(execution *execution) {
	if r.options.Checker != nil {
		r.options.Checker.ExecutionStarted(&r.options.Runner, execution.attemptID)
	}
}

// reportBrokenOff reports to the checker that an answer will end early.
func (r *Runner) reportBrokenOff(execution *execution) {
	if r.options.Checker != nil {
		r.options.Checker.AnswerBrokenOff(execution.attemptID)
	}
}

// reportEnded reports to the checker that the runner ends or stops to respond.
func (r *Runner) reportEnded() {
	if r.options.Checker != nil {
		r.options.Checker.RunnerEnded(r.options.ID)
	}
}
