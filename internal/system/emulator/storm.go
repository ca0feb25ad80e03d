package emulator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cinderroad/internal/system/emulator/schedule"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/testkit/runner"
)

// Storm is a schedule of faults that overlap in time. Checks that need it run beside the traffic.
type Storm struct {
	Events []schedule.Event
	Begin  time.Duration // of the storm, since the start of the traffic
}

// orderTimeout bounds the time in which an order is sent again until it has a clear response. It covers a storm and the time
// to recover from it.
const orderTimeout = 60 * time.Second

// stormState is what an emulation needs for a storm.
type stormState struct {
	history    *configurationHistory
	zoneOrders map[string]chan struct{} // holds a token while no order on the zone is under way
	workloads  []workload
	counters   *counterWorkload // nil: the deployment has no replicated counters
}

// workload is what goes on beside the traffic of a storm and checks what it sees.
type workload interface {
	// run works until the context ends. It returns when nothing that it started is left.
	run(ctx context.Context)
	// finish checks what has to hold at the end, when the traffic has ended and all processes still run.
	finish(ctx context.Context)
}

// startStorm starts the workloads and schedules the events. The function that it returns ends the workloads, once the
// traffic and all events are over.
func (e *emulation) startStorm(ctx context.Context, storm *Storm) (finish func()) {
	e.storm = &stormState{history: newConfigurationHistory(), zoneOrders: make(map[string]chan struct{})}
	e.storm.history.sent(&e.inForce)
	e.storm.history.acknowledged(&e.inForce, time.Now())
	for zone := range e.deployment.zones {
		e.storm.zoneOrders[zone] = make(chan struct{}, 1)
	}
	e.storm.workloads = []workload{newConfigurationReader(e), newRouteProber(e)}
	if e.options.Counters {
		e.storm.counters = newCounterWorkload(e)
		e.storm.workloads = append(e.storm.workloads, e.storm.counters)
	}
	for _, event := range storm.Events {
		e.scheduleEvent(ctx, event, storm.Begin+event.At)
	}
	runCtx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runAll(runCtx, e.storm.workloads)
	}()
	return func() {
		stop()
		<-ended
		for _, w := range e.storm.workloads {
			w.finish(ctx)
		}
	}
}

// scheduleEvent injects an event after a delay; emulation.faults waits for it.
func (e *emulation) scheduleEvent(ctx context.Context, event schedule.Event, delay time.Duration) {
	e.faults.Add(1)
	go func() {
		defer e.faults.Done()
		if !retry.Sleep(ctx, delay) {
			return
		}
		e.logEvent("event", "what", fmt.Sprintf("%q", event))
		if err := e.injectEvent(ctx, event); err != nil {
			e.logEvent("event failed", "what", fmt.Sprintf("%q", event), "error", err)
		}
	}()
}

func (e *emulation) injectEvent(ctx context.Context, event schedule.Event) error {
	switch event.Action {
	case schedule.Terminate:
		return e.signalProcesses(event, syscall.SIGTERM)
	case schedule.Reload:
		return e.signalProcesses(event, syscall.SIGHUP)
	case schedule.Kill, schedule.LoseDisk:
		return e.signalProcesses(event, syscall.SIGKILL)
	case schedule.DrainRunner:
		return e.onRunnerWithIndex(event.Index, func(r *runner.Runner) { e.runners.drain(r, 0, extraDrainTime) })
	case schedule.DrainRunnerSlowly:
		return e.onRunnerWithIndex(event.Index, func(r *runner.Runner) { e.runners.drain(r, 0, longExtraDrainTime) })
	case schedule.DrainAtShortNotice:
		return e.onRunnerWithIndex(event.Index, func(r *runner.Runner) { e.runners.drain(r, terminationNotice, 0) })
	case schedule.CrashRunner:
		return e.onRunnerWithIndex(event.Index, func(r *runner.Runner) { e.runners.crash(r, crashDowntime) })
	case schedule.SilenceRunner:
		return e.onRunnerWithIndex(event.Index, func(r *runner.Runner) { e.runners.silence(r, crashDowntime) })
	case schedule.ChangeConfiguration:
		return e.changeUntilClear(ctx)
	case schedule.RaceConfiguration:
		return e.raceChanges(ctx, event.Index)
	case schedule.InvalidChange:
		return e.sendInvalidChange(ctx, event.Index)
	case schedule.BeginEvacuation, schedule.FinishEvacuation:
		return e.orderEvacuation(ctx, e.deployment.zoneNames[event.Index], event.Action == schedule.BeginEvacuation)
	}
	return fmt.Errorf("unknown action %q", event.Action)
}

// onRunnerWithIndex has a fault hit one of the runners that are running and not draining.
func (e *emulation) onRunnerWithIndex(index int, inject func(*runner.Runner)) error {
	picked := e.runners.pickRunnerWithIndex(index)
	if picked == nil {
		return errNoRunner
	}
	inject(picked)
	return nil
}

// signalProcesses signals the processes that an event names.
func (e *emulation) signalProcesses(event schedule.Event, signal syscall.Signal) error {
	class, programs := edgeClass, []program{proxy, agent}
	switch event.Program {
	case schedule.Control:
		class, programs = coreClass, []program{control}
	case schedule.Proxy:
		programs = []program{proxy}
	case schedule.Agent:
		programs = []program{agent}
	}
	m := e.deployment.machinesOfClass(class)[event.Index]
	for _, p := range programs {
		err := e.processOf(m, p).signalThenRestart(signal, event.Restart, event.Action == schedule.LoseDisk)
		if err != nil {
			return err
		}
	}
	if event.Action == schedule.LoseDisk && e.storm.counters != nil {
		e.storm.counters.diskLost(m, time.Now())
	}
	return nil
}

// processOf returns the process of a program on a machine.
func (e *emulation) processOf(m *machine, p program) *process {
	for _, proc := range e.processes {
		if proc.machine == m && proc.program == p {
			return proc
		}
	}
	return nil
}

// orderEvacuation begins or ends the evacuation of a zone, until that is acknowledged. Orders on a zone follow each other.
func (e *emulation) orderEvacuation(ctx context.Context, zone string, begin bool) error {
	orders := e.storm.zoneOrders[zone]
	select {
	case orders <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-orders }()
	if !begin {
		e.checker.ZoneRestored(zone) // it may serve again from the moment at which the order is sent
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := e.deployment.operator().setEvacuation(ctx, zone, begin); err != nil {
		return err
	}
	if begin {
		e.checker.ZoneEvacuated(zone, time.Now())
	}
	e.logEvent("evacuation order acknowledged", "zone", zone, "begin", begin)
	return nil
}

// closeConnections closes the connections that fakes of this process keep.
func (e *emulation) closeConnections() {
	if e.clients != nil {
		e.clients.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// runAll runs workloads side by side until the context ends.
func runAll(ctx context.Context, workloads []workload) {
	var group sync.WaitGroup
	for _, w := range workloads {
		group.Go(func() { w.run(ctx) })
	}
	group.Wait()
}

// lastStart returns when the last process started.
func (e *emulation) lastStart() (last time.Time) {
	for _, p := range e.processes {
		if started := p.present().started; started.After(last) {
			last = started
		}
	}
	return last
}
