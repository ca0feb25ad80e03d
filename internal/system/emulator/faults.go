package emulator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"cinderroad/internal/system/retry"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/client"
	"cinderroad/internal/testkit/runner"
)

// Fault is a kind of fault, or of planned operation, that can be injected.
type Fault string

// The faults.
const (
	DrainRunner         Fault = "drain"        // a runner is drained as announced, and is replaced
	DrainAtShortNotice  Fault = "short-notice" // the same, but it ends two seconds after the announcement
	CrashRunner         Fault = "crash"        // a runner ends, and is replaced by one in slow start
	SilenceRunner       Fault = "dark"         // a runner stops responding without closing its connections, and is replaced
	ChangeConfiguration Fault = "config"       // a route is added
	EvacuateZone        Fault = "evacuate"     // a zone is evacuated for some seconds
	KillControl         Fault = "kill-control"
	KillProxy           Fault = "kill-proxy"
	KillAgent           Fault = "kill-agent"
	StopProxy           Fault = "stop-proxy" // with SIGTERM
	CorruptResponses    Fault = "spoil"      // runners corrupt some of their responses in all ways that the fake knows
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		DrainRunner,
		DrainAtShortNotice,
		CrashRunner,
		SilenceRunner,
		ChangeConfiguration,
		EvacuateZone,
		KillControl,
		KillProxy,
		KillAgent,
		StopProxy,
		CorruptResponses,
	}
}

// ParseFault returns the fault with the name.
func ParseFault(name string) (Fault, error) {
	if t := Fault(name); slices.Contains(Faults(), t) {
		return t, nil
	}
	return "", fmt.Errorf("unknown fault %q, the known ones are %v", name, Faults())
}

// Times of the faults, and what the change of the configuration needs.
const (
	crashDowntime     = 4500 * time.Millisecond // until a crashed or silent runner is replaced
	terminationNotice = 2 * time.Second         // of DrainAtShortNotice, which is less than drain's own time
	evacuationTime    = 8 * time.Second         // until an evacuated zone is taken back
	versionStep       = 4                       // above 1: versions have to rise, not to follow each other
	probeTimeout      = 5 * time.Second
	corruptionTime    = 8 * time.Second // for which runners corrupt responses
)

// corruption holds the shares of responses that are corrupted in each way.
var corruption = runner.Faults{
	Truncate:    0.03,
	ExtraBytes:  0.03,
	StaleAnswer: 0.03,
	Garbage:     0.02,
	NoAnswer:    0.01,
	Reset:       0.03,
	Close:       0.03,
}

// scheduleFault injects a fault after a delay; emulation.faults waits for it.
func (e *emulation) scheduleFault(ctx context.Context, fault Fault, delay time.Duration) {
	e.faults.Add(1)
	go func() {
		defer e.faults.Done()
		if !retry.Sleep(ctx, delay) {
			return
		}
		e.logEvent("injecting fault", "kind", fault)
		if err := e.injectFault(ctx, fault); err != nil {
			e.logEvent("fault injection failed", "kind", fault, "error", err)
		}
	}()
}

// injectFault injects a fault. What happens to runners goes on by timers after it has returned. Faults of runners affect the
// scenario's first service, which has engines; those of processes affect the first process of the program.
func (e *emulation) injectFault(ctx context.Context, fault Fault) error {
	switch fault {
	case DrainRunner:
		return e.onRunner(func(r *runner.Runner) { e.runners.drain(r, 0, extraDrainTime) })
	case DrainAtShortNotice:
		return e.onRunner(func(r *runner.Runner) { e.runners.drain(r, terminationNotice, 0) })
	case CrashRunner:
		return e.onRunner(func(r *runner.Runner) { e.runners.crash(r, crashDowntime) })
	case SilenceRunner:
		return e.onRunner(func(r *runner.Runner) { e.runners.silence(r, crashDowntime) })
	case ChangeConfiguration:
		return e.addRoute(ctx)
	case EvacuateZone:
		return e.evacuate(ctx)
	case KillControl:
		return e.signalFirst(control, syscall.SIGKILL)
	case KillProxy:
		return e.signalFirst(proxy, syscall.SIGKILL)
	case KillAgent:
		return e.signalFirst(agent, syscall.SIGKILL)
	case CorruptResponses:
		e.runners.corruptResponses(corruption, corruptionTime)
	case StopProxy:
		return e.signalFirst(proxy, syscall.SIGTERM)
	}
	return nil
}

// Errors of faults that find nothing to hit.
var (
	errNoRunner  = errors.New("all runners of the first service drain or are gone")
	errNoProcess = errors.New("no machine runs the program")
)

// onRunner has a fault hit a runner of the first service.
func (e *emulation) onRunner(inject func(*runner.Runner)) error {
	picked := e.runners.pickRunner(e.options.Scenario.Services[0].Name)
	if picked == nil {
		return errNoRunner
	}
	inject(picked)
	return nil
}

// signalFirst sends a signal to the first process of a program.
func (e *emulation) signalFirst(p program, signal syscall.Signal) error {
	i := slices.IndexFunc(e.processes, func(proc *process) bool { return proc.program == p })
	if i < 0 {
		return fmt.Errorf("%w: %s", errNoProcess, p)
	}
	return e.processes[i].signal(signal)
}

// evacuate evacuates the last zone for some time.
func (e *emulation) evacuate(ctx context.Context) error {
	zone := e.deployment.zoneNames[len(e.deployment.zoneNames)-1]
	operator := e.deployment.operator()
	orderCtx, cancel := context.WithTimeout(ctx, milliseconds(defaultTiming.AckWithinMS))
	defer cancel()
	if err := operator.setEvacuation(orderCtx, zone, true); err != nil {
		return err
	}
	e.checker.ZoneEvacuated(zone, time.Now())
	e.logEvent("evacuation acknowledged", "zone", zone)
	retry.Sleep(ctx, evacuationTime)
	e.checker.ZoneRestored(zone)
	orderCtx, cancel = context.WithTimeout(ctx, milliseconds(defaultTiming.AckWithinMS))
	defer cancel()
	return operator.setEvacuation(orderCtx, zone, false)
}

// addRoute adds a route, and calls it on each edge machine once it must be in force there.
func (e *emulation) addRoute(ctx context.Context) error {
	class := e.options.Scenario.Classes[len(e.options.Scenario.Classes)-1]
	class.Name = "added"
	route := clientRoute(&class)
	if err := e.submitRoute(ctx, routeDocumentOf(&class)); err != nil {
		return err
	}
	if !retry.Sleep(ctx, milliseconds(defaultTiming.ConfigWithinMS)) {
		return ctx.Err()
	}
	for _, m := range e.deployment.machinesOfClass(edgeClass) {
		e.probe(ctx, m, route)
	}
	return nil
}

// submitRoute sends a change that adds or replaces a route, until it is acknowledged.
func (e *emulation) submitRoute(ctx context.Context, route routeDocument) error {
	e.configurationMutex.Lock()
	defer e.configurationMutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, milliseconds(defaultTiming.AckWithinMS))
	defer cancel()
	began := time.Now()
	change := changeDocument{Version: e.inForce.Version + versionStep, Replace: changedItems{Routes: []routeDocument{route}}}
	next := e.inForce
	next.Version = change.Version
	next.Routes = slices.Clone(next.Routes)
	next.upsertRoute(route)
	if err := e.deployment.operator().changeConfiguration(ctx, change, e.inForce.Version); err != nil {
		var rejected *rejectedError
		if !errors.As(err, &rejected) {
			e.unclear = &next
		}
		return err
	}
	e.inForce = next
	e.logEvent("change acknowledged", "version", change.Version, "after", time.Since(began).Round(time.Millisecond))
	return nil
}

// probe calls a route on one edge machine.
func (e *emulation) probe(ctx context.Context, m *machine, route *client.Route) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load := client.New(client.Options{
		RegionOfZone:   e.deployment.zones,
		ClientsPerZone: 1,
		FixedAddress:   m.addressWithPort(e.deployment.ports.front).String(),
		Checker:        e.checker,
		Seed:           e.options.Seed + uint64(m.ip.As4()[2])<<8 + uint64(m.ip.As4()[3]),
	})
	load.Do(ctx, load.Client(m.zone, 0), &client.Call{Route: route, Zone: m.zone, BodyBytes: 100})
	if tally := load.Stats(); tally.Routes[0].ClientErrors > 0 {
		e.checker.Report(checker.ConfigurationMismatch, "%s does not know a route that was acknowledged %d ms before", m.name,
			defaultTiming.ConfigWithinMS)
	}
}
