// Command cinderroad-control runs on core machines: it agrees with its peers on the control state, serves the
// operator's API and the directory, and feeds the agents.
package main

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/control"
	"cinderroad/internal/startup"
)

func main() {
	program := startup.Program{
		Name:           "cinderroad-control",
		Description:    "Control replica of a core machine: operator's API, directory and feed.",
		Version:        startup.BuildVersion(),
		LogLevel:       zapcore.InfoLevel,
		GarbagePercent: 25, // little is allocated in a second, and memory is dear
	}
	log := program.Start()
	startup.Exit(log, run(&program, log))
}

func run(program *startup.Program, log *zap.Logger) error {
	changes := startup.SettingsChanges() // before anything else: the signal would end the process
	settings, log, err := program.LoadSettings(log)
	if err != nil {
		return err
	}
	ctx, stop := startup.UntilStopped()
	defer stop()
	process, err := control.Start(ctx, control.Options{Settings: settings, Version: program.Version, Log: log,
		Metrics: program.MetricsAddress(settings.IP)})
	if err != nil {
		return err
	}
	go reload(process, changes)
	return process.Run(ctx)
}

// reload has the process read its settings again whenever they are said to have changed.
func reload(process *control.Process, changes <-chan os.Signal) {
	for range changes {
		process.Reload()
	}
}
