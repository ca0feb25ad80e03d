package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is the size of a deployment and of its storm of faults.
type Shape struct {
	Edges    int
	Controls int
	Zones    int
	Storm    time.Duration // length of the time in which series begin
	Series   int           // number of series beyond one of each kind
}

const (
	randomStream  = 11                     // of the generator, beside those of other users of the same seed
	platformDelay = 300 * time.Millisecond // from the end of a process to its restart by the platform
	longestSeries = 6                      // events of a series that concern machines one after the other
	togetherShare = 3                      // one in so many machines, at most, is stopped at once
	startTime     = 150 * time.Millisecond // in which a signal may meet a process that starts
	closingMargin = 200 * time.Millisecond // from the last events to the end of the storm
)

// drawing is a schedule while it is drawn.
type drawing struct {
	Shape
	random    *rand.Rand
	events    []Event
	evacuated map[int]bool // zones that some series evacuates
	diskLost  bool         // no more than one disk is lost, so that what was acknowledged has to survive
}

// Draw returns the events of a seed in the order of their times. Each kind of series occurs at least once.
func Draw(seed uint64, shape Shape) []Event {
	d := &drawing{
		Shape:     shape,
		random:    rand.New(rand.NewPCG(seed, randomStream)),
		evacuated: make(map[int]bool),
	}
	kinds := d.kinds()
	for _, draw := range kinds {
		draw(d.begin())
	}
	for range shape.Series {
		kinds[d.random.IntN(len(kinds))](d.begin())
	}
	d.close()
	slices.SortStableFunc(d.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return d.events
}

// kinds returns the functions that draw a series that begins at a time.
func (d *drawing) kinds() []func(time.Duration) {
	return []func(time.Duration){
		d.rollingEdges,
		d.rollingControls,
		d.edgesTogether,
		d.controlsTogether,
		d.repeatedStop,
		d.stopDuringStart,
		d.reloadsAroundStop,
		d.kills,
		d.diskLoss,
		d.runnerFaults,
		d.changes,
		d.evacuation,
	}
}

// begin draws when a series begins.
func (d *drawing) begin() time.Duration { return d.upTo(d.Storm * 3 / 4) }

// upTo draws a duration in [0, limit).
func (d *drawing) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit)))
}

// add adds an event; one after the storm moves to its end.
func (d *drawing) add(e Event) {
	e.At = min(e.At, d.Storm-closingMargin)
	d.events = append(d.events, e)
}

// restart draws how soon a process starts again: half of them right after their end.
func (d *drawing) restart() time.Duration {
	if d.random.IntN(2) == 0 {
		return 0
	}
	return platformDelay
}

// edgeProgram draws which processes of an edge machine are concerned; mostly both.
func (d *drawing) edgeProgram() Program {
	return []Program{Edge, Edge, Proxy, Agent}[d.random.IntN(4)]
}

// anyProcess draws a program and a machine that runs it.
func (d *drawing) anyProcess() (Program, int) {
	if d.random.IntN(3) == 0 {
		return Control, d.random.IntN(d.Controls)
	}
	return d.edgeProgram(), d.random.IntN(d.Edges)
}

// rollingEdges stops edge machines one after the other.
func (d *drawing) rollingEdges(at time.Duration) {
	gap := d.upTo(time.Second)
	first := d.random.IntN(d.Edges)
	for i := range min(longestSeries, d.Edges) {
		d.add(Event{At: at, Action: Terminate, Program: d.edgeProgram(), Index: (first + i) % d.Edges, Restart: d.restart()})
		at += gap
	}
}

// rollingControls stops the control machines one after the other.
func (d *drawing) rollingControls(at time.Duration) {
	gap := d.upTo(2 * time.Second)
	for i := range d.Controls {
		d.add(Event{At: at, Action: Terminate, Program: Control, Index: i, Restart: d.restart()})
		at += gap
	}
}

// edgesTogether stops several edge machines at once.
func (d *drawing) edgesTogether(at time.Duration) {
	count := 1 + d.Edges/togetherShare
	first := d.random.IntN(d.Edges)
	for i := range count {
		d.add(Event{At: at, Action: Terminate, Program: Edge, Index: (first + i) % d.Edges, Restart: d.restart()})
	}
}

// controlsTogether stops or kills all control machines at once.
func (d *drawing) controlsTogether(at time.Duration) {
	action := []Action{Terminate, Kill}[d.random.IntN(2)]
	for i := range d.Controls {
		d.add(Event{At: at, Action: action, Program: Control, Index: i, Restart: d.restart()})
	}
}

// repeatedStop sends the same process SIGTERM twice.
func (d *drawing) repeatedStop(at time.Duration) {
	program, index := d.anyProcess()
	restart := d.restart()
	d.add(Event{At: at, Action: Terminate, Program: program, Index: index, Restart: restart})
	d.add(Event{At: at + d.upTo(3*time.Second), Action: Terminate, Program: program, Index: index, Restart: restart})
}

// stopDuringStart kills a process and signals its next life while it starts.
func (d *drawing) stopDuringStart(at time.Duration) {
	program, index := d.anyProcess()
	action := []Action{Terminate, Reload, Kill}[d.random.IntN(3)]
	d.add(Event{At: at, Action: Kill, Program: program, Index: index})
	d.add(Event{At: at + d.upTo(startTime), Action: action, Program: program, Index: index, Restart: d.restart()})
}

// reloadsAroundStop sends SIGHUP before, during and after a stop.
func (d *drawing) reloadsAroundStop(at time.Duration) {
	program, index := d.anyProcess()
	for range 3 {
		d.add(Event{At: at + d.upTo(4*time.Second), Action: Reload, Program: program, Index: index})
	}
	d.add(Event{At: at + time.Second, Action: Terminate, Program: program, Index: index, Restart: d.restart()})
}

// kills ends some processes abruptly.
func (d *drawing) kills(at time.Duration) {
	for range 1 + d.random.IntN(3) {
		program, index := d.anyProcess()
		d.add(Event{At: at, Action: Kill, Program: program, Index: index, Restart: d.restart()})
		at += d.upTo(time.Second)
	}
}

// diskLoss has a control machine come back without its disk.
func (d *drawing) diskLoss(at time.Duration) {
	if d.diskLost {
		return
	}
	d.diskLost = true
	d.add(Event{At: at, Action: LoseDisk, Program: Control, Index: d.random.IntN(d.Controls), Restart: d.restart()})
}

// runnerFaults ends some runners.
func (d *drawing) runnerFaults(at time.Duration) {
	actions := []Action{DrainRunner, DrainAtShortNotice, CrashRunner, SilenceRunner}
	for range 1 + d.random.IntN(3) {
		d.add(Event{At: at, Action: actions[d.random.IntN(len(actions))], Index: d.random.IntN(1 << 16)})
		at += d.upTo(time.Second)
	}
}

// changes sends some changes of the configuration.
func (d *drawing) changes(at time.Duration) {
	actions := []Action{ChangeConfiguration, ChangeConfiguration, RaceConfiguration, InvalidChange}
	for range 2 + d.random.IntN(4) {
		d.add(Event{At: at, Action: actions[d.random.IntN(len(actions))], Index: d.random.IntN(1 << 16)})
		at += d.upTo(time.Second)
	}
}

// evacuation evacuates a zone for some time. Each zone is evacuated once at most, so that the order of what is
// acknowledged says what is in force.
func (d *drawing) evacuation(at time.Duration) {
	zone := d.random.IntN(d.Zones)
	if d.evacuated[zone] || len(d.evacuated) >= d.Zones-2 {
		return // one zone is for the end of the storm, and one always serves
	}
	d.evacuated[zone] = true
	d.add(Event{At: at, Action: BeginEvacuation, Index: zone})
	d.add(Event{At: at + d.Storm/8 + d.upTo(d.Storm/2), Action: FinishEvacuation, Index: zone})
}

// close ends the storm with a change, an evacuation and a runner that drains, which the calm time after it shows to be in
// force.
func (d *drawing) close() {
	if len(d.evacuated) < d.Zones-1 {
		zone := d.random.IntN(d.Zones)
		for d.evacuated[zone] {
			zone = (zone + 1) % d.Zones
		}
		d.evacuated[zone] = true
		d.add(Event{At: d.Storm, Action: BeginEvacuation, Index: zone})
	}
	d.add(Event{At: d.Storm, Action: DrainRunnerSlowly, Index: d.random.IntN(1 << 16)})
	d.add(Event{At: d.Storm, Action: ChangeConfiguration, Index: d.random.IntN(1 << 16)})
}
