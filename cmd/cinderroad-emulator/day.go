package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cinderroad/internal/system/emulator"
	"cinderroad/internal/system/policysim"
)

// day serves a short day.
type day struct {
	Programs string        `name:"programs" help:"Folder of the system's programs; that of this program if there is none." type:"path"`
	Folder   string        `name:"folder" help:"For settings, logs and disks; a temporary one if there is none." type:"path"`
	Scenario string        `name:"scenario" default:"screening" enum:"screening,parcels" help:"Deployment: ${enum}."`
	Edges    int           `name:"edges" default:"3" help:"Machines that serve clients."`
	Load     float64       `name:"load" default:"0.5" help:"Multiple of every rate."`
	Length   time.Duration `name:"length" default:"20s" help:"Of the traffic."`
	Seed     uint64        `name:"seed" default:"1" help:"Of the traffic."`
	Trouble  []string      `name:"trouble" default:"drain,config" help:"What happens, evenly over the day: none, ${troubles}."`
}

// errDayFailed says that the day has failed, of which the report tells.
var errDayFailed = errors.New("a rule was broken, or a process ended by itself")

// Run implements the command.
func (d *day) Run() error {
	options, err := d.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
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

func (d *day) options() (o emulator.Options, err error) {
	o = emulator.Options{Scenario: scenarioNamed(d.Scenario), Edges: d.Edges, Programs: d.Programs, Folder: d.Folder,
		Seed: d.Seed, Out: os.Stdout}
	o.Scenario.Load, o.Scenario.Duration = d.Load, d.Length
	if o.Programs == "" {
		self, err := os.Executable()
		if err != nil {
			return o, err
		}
		o.Programs = filepath.Dir(self)
	}
	for _, name := range d.Trouble {
		if name == "none" {
			continue
		}
		trouble, err := emulator.ParseTrouble(name)
		if err != nil {
			return o, err
		}
		o.Troubles = append(o.Troubles, trouble)
	}
	return o, nil
}

// troubles are the names of all troubles.
func troubles() string {
	var names []string
	for _, t := range emulator.Troubles() {
		names = append(names, string(t))
	}
	return strings.Join(names, ", ")
}

func scenarioNamed(name string) *policysim.Scenario {
	if name == "parcels" {
		return policysim.Parcels()
	}
	return policysim.Screening()
}
