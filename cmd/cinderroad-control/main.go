// Command cinderroad-control runs on core machines: it replicates the control state with its peers, and serves the
// operator's API, the directory and the feed for agents.
package main

import (
	"context"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/shared/release"
	"cinderroad/internal/system/control"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/startup"
)

func main() {
	program := startup.Program{
		Name:        "cinderroad-control",
		Description: "Control replica of a core machine: serves the operator's API, the directory and the feed.",
		Version:     release.Name(),
		LogLevel:    zapcore.InfoLevel,
		GCPercent:   25, // memory is scarce, and the rate of allocations low
	}
	log := program.Init()
	startup.Exit(log, run(&program, log))
}

func run(program *startup.Program, log *zap.Logger) error {
	return program.Run(log, func(ctx context.Context, settings *processconfig.Settings, log *zap.Logger) (startup.Process, error) {
		return control.Start(ctx, control.Options{
			Settings:       settings,
			Version:        program.Version,
			Log:            log,
			MetricsAddress: program.MetricsAddress(settings.IP),
		})
	})
}
