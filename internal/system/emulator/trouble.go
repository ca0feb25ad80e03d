package emulator

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/client"
	"cinderroad/internal/testkit/runner"
)

// Trouble is something that happens during a day.
type Trouble string

// The troubles.
const (
	DrainRunner    Trouble = "drain"        // a runner leaves as announced, and is replaced
	ShortNotice    Trouble = "short-notice" // a runner is taken away two seconds after it is announced
	CrashRunner    Trouble = "crash"        // a runner ends, and comes back cold
	DarkRunner     Trouble = "dark"         // a runner says nothing any more, and comes back cold
	ChangeSettings Trouble = "config"       // a route is added
	EvacuateZone   Trouble = "evacuate"     // a zone is emptied for some seconds
	KillControl    Trouble = "kill-control"
	KillProxy      Trouble = "kill-proxy"
	KillAgent      Trouble = "kill-agent"
	StopProxy      Trouble = "stop-proxy" // with SIGTERM
	SpoilAnswers   Trouble = "spoil"      // runners spoil some of their answers in all ways there are
)

// Troubles are all there are.
func Troubles() []Trouble {
	return []Trouble{DrainRunner, ShortNotice, CrashRunner, DarkRunner, ChangeSettings, EvacuateZone, KillControl,
		KillProxy, KillAgent,
		StopProxy, SpoilAnswers}
}

// ParseTrouble reads a name.
func ParseTrouble(name string) (Trouble, error) {
	if t := Trouble(name); slices.Contains(Troubles(), t) {
		return t, nil
	}
	return "", fmt.Errorf("there is no trouble %q: there are %v", name, Troubles())
}

const (
	crashedFor   = 4500 * time.Millisecond
	shortNotice  = 2 * time.Second
	evacuatedFor = 8 * time.Second
	versionStep  = 4
	probeWait    = 5 * time.Second
	spoiltFor    = 8 * time.Second
)

// spoilt are the shares of answers that are spoilt.
var spoilt = runner.Faults{BreakOff: 0.03, Extra: 0.03, ExtraLate: 0.03, Garbage: 0.02, Silent: 0.01, Reset: 0.03,
	Close: 0.03}

// schedule has a trouble come at a time.
func (d *day) schedule(ctx context.Context, t Trouble, at time.Duration) {
	d.troubles.Add(1)
	go func() {
		defer d.troubles.Done()
		timer := time.NewTimer(at)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		d.say("trouble", "kind", t)
		if err := d.cause(ctx, t); err != nil {
			d.say("trouble failed", "kind", t, "error", err)
		}
	}()
}

func (d *day) cause(ctx context.Context, t Trouble) error {
	engines := d.options.Scenario.Services[0].Name
	switch t {
	case DrainRunner:
		d.runners.drain(d.runners.pick(engines), 0)
	case ShortNotice:
		d.runners.drain(d.runners.pick(engines), shortNotice)
	case CrashRunner:
		d.runners.crash(d.runners.pick(engines), false, crashedFor)
	case DarkRunner:
		d.runners.crash(d.runners.pick(engines), true, crashedFor)
	case ChangeSettings:
		return d.addRoute(ctx)
	case EvacuateZone:
		return d.evacuate(ctx)
	case KillControl:
		return d.first(control).signal(syscall.SIGKILL)
	case KillProxy:
		return d.first(proxy).signal(syscall.SIGKILL)
	case KillAgent:
		return d.first(agent).signal(syscall.SIGKILL)
	case SpoilAnswers:
		d.runners.spoil(spoilt, spoiltFor)
	case StopProxy:
		return d.first(proxy).signal(syscall.SIGTERM)
	}
	return nil
}

// first is the first process of a program.
func (d *day) first(p program) *process {
	return d.processes[slices.IndexFunc(d.processes, func(proc *process) bool { return proc.program == p })]
}

// evacuate empties the last zone for some time.
func (d *day) evacuate(ctx context.Context) error {
	zone := d.deploy.zoneNames[len(d.deploy.zoneNames)-1]
	operator := d.deploy.operator()
	order, cancel := context.WithTimeout(ctx, millis(defaultTiming.AckWithinMS))
	defer cancel()
	if err := operator.evacuate(order, zone, true); err != nil {
		return err
	}
	d.referee.Evacuated(zone, time.Now())
	d.say("evacuation acknowledged", "zone", zone)
	timer := time.NewTimer(evacuatedFor)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	d.referee.Restored(zone)
	order, cancel = context.WithTimeout(ctx, millis(defaultTiming.AckWithinMS))
	defer cancel()
	return operator.evacuate(order, zone, false)
}

// addRoute adds a route, and asks each edge machine for it once it has to be in force.
func (d *day) addRoute(ctx context.Context) error {
	class := d.options.Scenario.Classes[len(d.options.Scenario.Classes)-1]
	class.Name = "added"
	route := clientRoute(&class)
	operator := d.deploy.operator()
	order, cancel := context.WithTimeout(ctx, millis(defaultTiming.AckWithinMS))
	defer cancel()
	version := d.document.Version + versionStep
	item := routeOf(&class)
	began := time.Now()
	err := operator.alter(order, change{Version: version, Replace: changeSet{Routes: []routeDocument{item}}},
		d.document.Version)
	if err != nil {
		return err
	}
	d.document.Version = version
	d.document.Routes = append(d.document.Routes, item)
	d.say("change acknowledged", "version", version, "after", time.Since(began).Round(time.Millisecond))
	timer := time.NewTimer(millis(defaultTiming.ConfigWithinMS))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, m := range d.deploy.of(edgeClass) {
		d.probe(ctx, m, route)
	}
	return nil
}

// probe asks one edge machine for a route.
func (d *day) probe(ctx context.Context, m *machine, route *client.Route) {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	load := client.New(client.Options{Zones: d.deploy.zones, Clients: 1, Front: m.at(d.deploy.ports.front).String(),
		Referee: d.referee,
		Seed:    d.options.Seed + uint64(m.ip.As4()[2])<<8 + uint64(m.ip.As4()[3])})
	load.Call(ctx, load.Client(m.zone, 0), &client.Call{Route: route, Zone: m.zone, Bytes: 100})
	if tally := load.Tally(); tally.Routes[0].Denied > 0 {
		d.referee.Break(checker.Configed, "%s does not know a route that was acknowledged %d ms before", m.name,
			defaultTiming.ConfigWithinMS)
	}
}
