package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cinderroad/internal/system/retry"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/client"
)

// Times of probes.
const (
	routeProbeInterval = 300 * time.Millisecond
	recoveryTimeout    = 60 * time.Second // after which a machine that does not serve is given up
	// goBackFactor multiplies the bound for going back to an older configuration, as the rule does for slowed machines.
	goBackFactor = 8
)

// routeProber calls added routes on each edge machine: an edge machine must know a route in time, and must not forget it within
// the lives of its processes.
type routeProber struct {
	emulation *emulation
}

func newRouteProber(e *emulation) *routeProber { return &routeProber{emulation: e} }

// run implements workload.
func (r *routeProber) run(ctx context.Context) {
	var group sync.WaitGroup
	for i, m := range r.emulation.deployment.machinesOfClass(edgeClass) {
		group.Go(func() { r.newMachineProber(m, i).run(ctx) })
	}
	group.Wait()
}

// finish implements workload: every edge machine serves again.
func (r *routeProber) finish(ctx context.Context) {
	var group sync.WaitGroup
	for i, m := range r.emulation.deployment.machinesOfClass(edgeClass) {
		group.Go(func() { r.newMachineProber(m, i).awaitRecovery(ctx) })
	}
	group.Wait()
}

// machineProber probes one edge machine.
type machineProber struct {
	emulation *emulation
	machine   *machine
	address   string
	load      *client.LoadGenerator
	random    *rand.Rand
	served    map[int]servedRoute // by the number of the added route

	clientErrors int // answers so far that said that a route is unknown
}

// servedRoute is when a machine first served an added route, and in which lives of its processes.
type servedRoute struct {
	lives [2]int
	at    time.Time
}

func (r *routeProber) newMachineProber(m *machine, i int) *machineProber {
	const proberStream = 17 // of the generator, beside those of other users of the same seed
	e := r.emulation
	address := e.deployment.addressOf(m)
	return &machineProber{
		emulation: e,
		machine:   m,
		address:   address,
		random:    rand.New(rand.NewPCG(e.options.Seed+uint64(i)<<32, proberStream)),
		served:    make(map[int]servedRoute),
		load: client.New(client.Options{
			RegionOfZone:   e.deployment.zones,
			ClientsPerZone: 1,
			FixedAddress:   address,
			Checker:        e.checker,
			Seed:           e.options.Seed<<16 + uint64(i),
		}),
	}
}

func (p *machineProber) run(ctx context.Context) {
	defer p.load.Close()
	for retry.Sleep(ctx, routeProbeInterval) {
		if n := p.emulation.addedRouteCount(); n > 0 {
			p.probe(ctx, 1+p.random.IntN(n))
		}
	}
}

// lives returns the numbers of starts of the machine's processes.
func (p *machineProber) lives() [2]int {
	return [2]int{
		p.emulation.processOf(p.machine, proxy).startCount(),
		p.emulation.processOf(p.machine, agent).startCount(),
	}
}

// probe calls an added route, and checks that the answer is one of a configuration that may be in force.
func (p *machineProber) probe(ctx context.Context, n int) {
	lives := p.lives()
	sentAt := time.Now()
	outcome, unknown := p.call(ctx, n)
	if p.lives() != lives {
		return
	}
	earlier, wasServed := p.served[n]
	switch {
	case !unknown && outcome != client.Failed && outcome != client.Rejected:
		if !wasServed || earlier.lives != lives {
			p.served[n] = servedRoute{lives: lives, at: time.Now()}
		}
		if _, document := p.emulation.addedRoute(n); p.emulation.storm.history.routeRefused(document.Name) {
			p.emulation.checker.Report(checker.ConfigurationMismatch, "%s serves added route %d, which was refused", p.machine.name, n)
		}
	case !unknown:
		return
	case wasServed && earlier.lives == lives && sentAt.Sub(earlier.at) > goBackFactor*milliseconds(defaultTiming.GoBackMS):
		p.emulation.checker.Report(checker.ConfigurationMismatch, "%s does not know added route %d %v after it had served it",
			p.machine.name, n, sentAt.Sub(earlier.at))
	default:
		p.checkDelay(n, sentAt)
	}
}

// checkDelay checks that a route which a machine does not know was not acknowledged long before.
func (p *machineProber) checkDelay(n int, sentAt time.Time) {
	_, document := p.emulation.addedRoute(n)
	at, acknowledged := p.emulation.storm.history.routeAcknowledged(document.Name)
	if acknowledged && sentAt.Sub(at) > milliseconds(defaultTiming.ConfigWithinMS) {
		p.emulation.checker.ReportLate(p.address, checker.ConfigurationMismatch,
			"%s does not know added route %d %v after its acknowledgement", p.machine.name, n, sentAt.Sub(at))
	}
}

// call calls an added route, and reports whether the machine answered that it does not know it.
func (p *machineProber) call(ctx context.Context, n int) (outcome client.Outcome, unknown bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	route, _ := p.emulation.addedRoute(n)
	outcome = p.load.Do(ctx, p.load.Client(p.machine.zone, 0), &client.Call{Route: route, Zone: p.machine.zone, BodyBytes: 100})
	errorsNow := 0
	for _, stats := range p.load.Stats().Routes {
		errorsNow += stats.ClientErrors
	}
	unknown = errorsNow > p.clientErrors
	p.clientErrors = errorsNow
	return outcome, unknown
}

// awaitRecovery checks that the machine serves a route of the first configuration in time after the last fault.
func (p *machineProber) awaitRecovery(ctx context.Context) {
	defer p.load.Close()
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	e := p.emulation
	class := e.options.Scenario.Classes[len(e.options.Scenario.Classes)-1]
	call := &client.Call{Route: clientRoute(&class), Zone: p.machine.zone, BodyBytes: 100}
	began := time.Now()
	served := poll(ctx, func() bool {
		outcome := p.load.Do(ctx, p.load.Client(p.machine.zone, 0), call)
		return outcome == client.InTime || outcome == client.Late
	}) == nil
	now := time.Now()
	since := e.lastStart()
	late := now.Sub(since) > time.Duration(defaultTiming.RecoveryS)*time.Second && now.Sub(began) > probeTimeout
	if (!served || late) && !e.slowdown.slowed(p.address, since, now) {
		e.checker.Report(checker.NotRecovered, "%s: served %v, %v after the last process started", p.machine.name, served, now.Sub(since))
	}
}
