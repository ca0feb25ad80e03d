package emulator

import (
	"context"
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
	engineService := e.options.Scenario.Services[0].Name
	switch fault {
	case DrainRunner:
		e.runners.drain(e.runners.pickRunner(engineService), 0)
	case DrainAtShortNotice:
		e.runners.drain(e.runners.pickRunner(engineService), terminationNotice)
	case CrashRunner:
		e.runners.crash(e.runners.pickRunner(engineService), crashDowntime)
	case SilenceRunner:
		e.runners.silence(e.runners.pickRunner(engineService), crashDowntime)
	case ChangeConfiguration:
		return e.addRoute(ctx)
	case EvacuateZone:
		return e.evacuate(ctx)
	case KillControl:
		return e.firstProcess(control).signal(syscall.SIGKILL)
	case KillProxy:
		return e.firstProcess(proxy).signal(syscall.SIGKILL)
	case KillAgent:
		return e.firstProcess(agent).signal(syscall.SIGKILL)
	case CorruptResponses:
		e.runners.corruptResponses(corruption, corruptionTime)
	case StopProxy:
		return e.firstProcess(proxy).signal(syscall.SIGTERM)
	}
	return nil
}

// firstProcess returns the first process of a program.
func (e *emulation) firstProcess(p program) *process {
	return e.processes[slices.IndexFunc(e.processes, func(proc *process) bool { return proc.program == p })]
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
	operator := e.deployment.operator()
	orderCtx, cancel := context.WithTimeout(ctx, milliseconds(defaultTiming.AckWithinMS))
	defer cancel()
	version := e.inForce.Version + versionStep
	item := routeDocumentOf(&class)
	began := time.Now()
	change := changeDocument{Version: version, Replace: changedItems{Routes: []routeDocument{item}}}
	if err := operator.changeConfiguration(orderCtx, change, e.inForce.Version); err != nil {
		return err
	}
	e.inForce.Version = version
	e.inForce.Routes = append(e.inForce.Routes, item)
	e.logEvent("change acknowledged", "version", version, "after", time.Since(began).Round(time.Millisecond))
	if !retry.Sleep(ctx, milliseconds(defaultTiming.ConfigWithinMS)) {
		return ctx.Err()
	}
	for _, m := range e.deployment.machinesOfClass(edgeClass) {
		e.probe(ctx, m, route)
	}
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
