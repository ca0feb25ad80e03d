// Command cinderroad-agent runs beside the proxy of an edge machine: it links the machine to the control replicas.
package main

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/agent"
	"cinderroad/internal/environment"
	"cinderroad/internal/startup"
)

func main() {
	program := startup.Program{
		Name:           "cinderroad-agent",
		Description:    "Links the proxy of an edge machine to the control replicas.",
		Version:        startup.BuildVersion(),
		LogLevel:       zapcore.InfoLevel,
		GarbagePercent: 20, // little is allocated in a second, and memory is dear
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
	started, err := agent.New(ctx, agent.Options{Settings: settings, Version: program.Version, Log: log,
		Metrics: program.MetricsAddress(settings.IP)})
	if err != nil {
		return err
	}
	go reload(log, started, changes)
	return started.Run(ctx)
}

// reload reads the settings again whenever they are said to have changed.
func reload(log *zap.Logger, running *agent.Agent, changes <-chan os.Signal) {
	for range changes {
		settings, err := environment.Load()
		if err != nil {
			log.Warn("changed settings are not used", zap.Error(err))
			continue
		}
		running.Reload(settings)
		log.Info("settings read again")
	}
}
