// Command cinderroad-agent runs on edge machines beside the proxy: it follows the feed of a control machine and passes
// configuration, runners and peers on to the proxy over loopback.
package main

import (
	"context"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/shared/release"
	"cinderroad/internal/system/agent"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/startup"
)

func main() {
	program := startup.Program{
		Name:        "cinderroad-agent",
		Description: "Agent of an edge machine: follows the feed of a control replica and passes it on to the proxy.",
		Version:     release.Name(),
		LogLevel:    zapcore.InfoLevel,
		GCPercent:   20, // memory is scarce, and the rate of allocations low
	}
	log := program.Init()
	startup.Exit(log, run(&program, log))
}

func run(program *startup.Program, log *zap.Logger) error {
	return program.Run(log, func(ctx context.Context, settings *processconfig.Settings, log *zap.Logger) (startup.Process, error) {
		return agent.New(ctx, agent.Options{
			Settings: settings,
			Version:  program.Version,
			Log:      log,
			Metrics:  program.MetricsAddress(settings.IP),
		})
	})
}
