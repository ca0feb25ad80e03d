package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/client"
	"cinderroad/internal/testkit/fakeplatform"
	"cinderroad/internal/testkit/runner"
)

// Options are the settings of an emulation.
type Options struct {
	Scenario     *policysim.Scenario
	EdgeMachines int    // number of machines that serve clients
	ProgramDir   string // directory of the system's programs
	// WorkDir is for settings, logs and disks. If it is empty, a temporary directory is used, which is removed unless
	// the emulation or its report is a failure.
	WorkDir  string
	Faults   []Fault // injected one after the other, at equal distances
	Storm    *Storm  // faults that overlap, beside those; nil: none
	Counters bool    // the deployment has replicated counters, which a storm uses
	// StickyOneIn is the share of clients, one in so many, that use connections and look-ups until they fail; 0: none.
	StickyOneIn int
	// AlterCall may change a call of the traffic before it is made; nil: none is changed.
	AlterCall func(*client.Call)
	Seed      uint64
	Out       io.Writer // for progress
}

// Timeouts and intervals, and properties of the platform.
const (
	configurationTimeout = 40 * time.Second
	readyTimeout         = 40 * time.Second
	readTimeout          = configurationTimeout // reading back is no rule with a bound in time: a busy machine may stall for long
	pollInterval         = 50 * time.Millisecond
	progressInterval     = time.Second
	progressPrecision    = 100 * time.Millisecond
	firstVersion         = 3 // above 1: the first version may be any
	platformAddress      = "127.2.0.1:0"
)

// emulation is the state of a run.
type emulation struct {
	options     Options
	deployment  *deployment
	platform    *fakeplatform.Platform
	checker     *checker.Checker
	machines    *checker.Machines
	lives       *lifeRecorder
	slowdown    *slowdownMonitor
	storm       *stormState // nil: the options have none
	runners     *runnerFleet
	processes   []*process
	operator    *operator
	clients     *client.LoadGenerator
	routes      map[string]*client.Route // by class
	inForce     configurationDocument    // the configuration that was acknowledged last
	runnerStats []runner.Stats           // of all runners, once they are closed
	faults      sync.WaitGroup           // one for each fault that is scheduled or going on

	// configurationMutex guards inForce, and is held while a change of it is sent: faults are injected concurrently, and
	// each change builds on the version in force.
	configurationMutex sync.Mutex
	unclear            *configurationDocument // that was sent last, without a clear response; nil: none
	outcomeUnknown     bool                   // a change has no clear outcome; guarded by configurationMutex
	addedRoutes        atomic.Int64           // by changes of a storm, refused ones included

	outMutex sync.Mutex // guards options.Out
}

// Run runs an emulation and returns its report. An error says that the emulation itself failed; faults of the system
// are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	programs, err := findPrograms(o.ProgramDir)
	if err != nil {
		return nil, err
	}
	temporary := o.WorkDir == ""
	if temporary {
		if o.WorkDir, err = os.MkdirTemp("", "cinderroad-emulator-"); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(o.WorkDir, 0o750); err != nil {
		return nil, err
	}
	e := &emulation{options: o, machines: checker.NewMachines()}
	e.checker = checker.New(checker.Limits{
		DrainGrace:      milliseconds(defaultTiming.DrainWithinMS),
		EvacuationGrace: milliseconds(defaultTiming.EvacuateMS),
		RetryRatio:      defaultTiming.RetryRatio,
		RetryWindow:     time.Duration(defaultTiming.RetryWindowS) * time.Second,
		RetryAllowance:  defaultTiming.RetryExtra,

		GracePeriod:        time.Duration(defaultTiming.GracePeriodS) * time.Second,
		ConfigurationDelay: milliseconds(defaultTiming.ConfigWithinMS),
		InTouch:            milliseconds(defaultTiming.InTouchMS),
		Machines:           e.machines,
	}, nil)
	report, err := e.run(ctx, programs)
	if err != nil {
		return nil, fmt.Errorf("%w (logs are in %s)", err, o.WorkDir)
	}
	if temporary && !report.Failed() {
		return report, os.RemoveAll(o.WorkDir)
	}
	report.LogDir = o.WorkDir
	return report, nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (e *emulation) run(ctx context.Context, programs map[program]string) (*Report, error) {
	defer e.stopAll()
	if err := e.startAll(programs); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	var monitor sync.WaitGroup
	monitor.Go(func() { e.slowdown.run(e.processes, ended) })
	defer monitor.Wait()
	defer close(ended)
	if err := e.submitConfiguration(ctx); err != nil {
		return nil, err
	}
	if err := e.awaitReady(ctx); err != nil {
		return nil, err
	}
	e.runTraffic(ctx)
	e.verifyConfiguration(ctx)
	e.stopAll()
	e.lives.checkEnds()
	if err := e.checkLogs(); err != nil {
		return nil, err
	}
	return e.buildReport(), nil
}

// startAll starts the fakes and the programs.
func (e *emulation) startAll(programs map[program]string) (err error) {
	e.deployment, err = planDeployment(e.options.Scenario, e.options.EdgeMachines, e.options.WorkDir)
	if err != nil {
		return err
	}
	e.platform, err = fakeplatform.Start(fakeplatform.Options{
		Address:          platformAddress,
		PropagationDelay: milliseconds(platformLagMS),
		PageSize:         platformPageSize,
		CallsPerSecond:   platformCallsPerSecond,
	})
	if err != nil {
		return err
	}
	e.deployment.platformAddress = e.platform.Address()
	e.deployment.counters = e.options.Counters
	e.lives = &lifeRecorder{
		deployment:  e.deployment,
		checker:     e.checker,
		machines:    e.machines,
		gracePeriod: time.Duration(defaultTiming.GracePeriodS) * time.Second,
	}
	e.slowdown = &slowdownMonitor{deployment: e.deployment, machines: e.machines, spans: make(map[string][]slowSpan)}
	e.runners, err = startFleet(e.options.Scenario, e.deployment.zones, e.platform, e.checker)
	if err != nil {
		return err
	}
	for _, m := range e.deployment.machines {
		for _, p := range programsOf(m) {
			proc, err := e.deployment.startProcess(m, p, programs[p], e.lives)
			if err != nil {
				return err
			}
			e.processes = append(e.processes, proc)
		}
	}
	e.operator = e.deployment.operator()
	return nil
}

// programsOf returns the programs that run on a machine.
func programsOf(m *machine) []program {
	if m.class == coreClass {
		return []program{control}
	}
	return []program{proxy, agent}
}

// submitConfiguration sends the first configuration until it is acknowledged.
func (e *emulation) submitConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	e.configurationMutex.Lock()
	defer e.configurationMutex.Unlock()
	e.inForce = configurationDocumentOf(e.options.Scenario, firstVersion)
	began := time.Now()
	if err := e.operator.replaceConfiguration(ctx, e.inForce, 0); err != nil {
		return fmt.Errorf("the first configuration was not accepted: %w", err)
	}
	e.logEvent("configuration accepted", "version", firstVersion, "after", time.Since(began).Round(time.Millisecond))
	return nil
}

// awaitReady waits until every edge machine is ready.
func (e *emulation) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	for _, m := range e.deployment.machinesOfClass(edgeClass) {
		address := m.addressWithPort(e.deployment.ports.ready).String()
		if err := poll(ctx, func() bool { return isReady(ctx, address) }); err != nil {
			return fmt.Errorf("%s is not ready after %v: %w", m.name, time.Since(began).Round(time.Second), err)
		}
	}
	e.logEvent("edges ready",
		"machines", len(e.deployment.machinesOfClass(edgeClass)),
		"after", time.Since(began).Round(time.Millisecond))
	return nil
}

// isReady asks a proxy whether it is ready.
func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// poll waits until ok returns true, or until the context ends.
func poll(ctx context.Context, ok func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// logEvent writes one line of key=value pairs.
func (e *emulation) logEvent(event string, pairs ...any) {
	line := fmt.Sprintf("event=%q", event)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	e.outMutex.Lock()
	defer e.outMutex.Unlock()
	fmt.Fprintln(e.options.Out, line)
}

// verifyConfiguration compares the configuration in force with the one that was acknowledged last.
func (e *emulation) verifyConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e.configurationMutex.Lock()
	defer e.configurationMutex.Unlock()
	stored, err := e.operator.readConfiguration(ctx)
	switch {
	case err != nil:
		e.checker.Report(checker.ConfigurationMismatch, "the configuration could not be read back: %v", err)
	case e.storm != nil:
		e.reportMismatch("read at the end", e.storm.history.checkFinal(stored))
	case e.unclear != nil && formOf(stored) == formOf(e.unclear):
		// It was taken, though the operator was not told.
	case stored.Version != e.inForce.Version || len(stored.Routes) != len(e.inForce.Routes):
		e.checker.Report(checker.ConfigurationMismatch, "version %d with %d routes was read back, %d with %d was acknowledged",
			stored.Version, len(stored.Routes), e.inForce.Version, len(e.inForce.Routes))
	}
}

// stopAll stops all programs at once, and then the fakes. It may be called again.
func (e *emulation) stopAll() {
	var group sync.WaitGroup
	for _, p := range e.processes {
		group.Add(1)
		go func() {
			defer group.Done()
			p.stop(time.Duration(defaultTiming.GracePeriodS) * time.Second)
		}()
	}
	group.Wait()
	e.closeConnections()
	if e.platform != nil {
		e.platform.Close()
	}
	if e.runners != nil {
		e.runnerStats = append(e.runnerStats, e.runners.close()...)
	}
}
