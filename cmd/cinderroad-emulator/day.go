package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cinderroad/internal/system/emulator"
	"cinderroad/internal/system/policysim"
	"cinderroad/internal/system/startup"
)

// dayCommand runs the real programs under traffic and faults: see package emulator.
type dayCommand struct {
	Programs string        `name:"programs" help:"Folder of the system's programs; default: the folder of this program." type:"path"`
	Folder   string        `name:"folder" help:"Folder for settings, logs and stored state; default: a temporary folder." type:"path"`
	Scenario string        `name:"scenario" default:"screening" enum:"screening,parcels" help:"Deployment: ${enum}."`
	Edges    int           `name:"edges" default:"3" help:"Number of edge machines."`
	Load     float64       `name:"load" default:"0.5" help:"Factor applied to all request rates."`
	Length   time.Duration `name:"length" default:"20s" help:"Duration of the traffic."`
	Seed     uint64        `name:"seed" default:"1" help:"Seed of the random traffic."`
	Trouble  []string      `name:"trouble" default:"drain,config" help:"Faults to inject, evenly spread over the day: none, ${faults}."`
}

// errDayFailed says that the report, which was printed before, is one of a failure.
var errDayFailed = errors.New("a rule was violated, or a process exited unexpectedly")

// Run implements the command.
func (d *dayCommand) Run() error {
	options, err := d.options()
	if err != nil {
		return err
	}
	ctx, stop := startup.StopContext()
	defer stop()
	report, err := emulator.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if report.Failed() {
		return errDayFailed
	}
	return nil
}

func (d *dayCommand) options() (o emulator.Options, err error) {
	o = emulator.Options{
		Scenario:     scenarioByName(d.Scenario),
		EdgeMachines: d.Edges,
		ProgramDir:   d.Programs,
		WorkDir:      d.Folder,
		Seed:         d.Seed,
		Out:          os.Stdout,
	}
	o.Scenario.Load = d.Load
	o.Scenario.Duration = d.Length
	if o.ProgramDir == "" {
		self, err := os.Executable()
		if err != nil {
			return o, err
		}
		o.ProgramDir = filepath.Dir(self)
	}
	for _, name := range d.Trouble {
		if name == "none" {
			continue
		}
		fault, err := emulator.ParseFault(name)
		if err != nil {
			return o, err
		}
		o.Faults = append(o.Faults, fault)
	}
	return o, nil
}

// faultNames returns the names of all faults, for the help text.
func faultNames() string {
	var names []string
	for _, fault := range emulator.Faults() {
		names = append(names, string(fault))
	}
	return strings.Join(names, ", ")
}

// scenarioByName returns a scenario; the flags of the commands allow no other names.
func scenarioByName(name string) *policysim.Scenario {
	if name == "parcels" {
		return policysim.Parcels()
	}
	return policysim.Screening()
}
