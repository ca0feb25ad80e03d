// Command cinderroad-agent runs beside the proxy of an edge machine: it links the machine to the control replicas.
package main

import (
	"context"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/system/agent"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/startup"
)

func main() {
	program := startup.Program{
		Name:        "cinderroad-agent",
		Description: "Links the proxy of an edge machine to the control replicas.",
		Version:     startup.BuildVersion(),
		LogLevel:    zapcore.InfoLevel,
		GCPercent:   20, // little is allocated in a second, and memory is dear
	}
	log := program.Init()
	startup.Exit(log, run(&program, log))
}

func run(program *startup.Program, log *zap.Logger) error {
	return program.Run(log, func(ctx context.Context, settings *processconfig.Settings, log *zap.Logger) (startup.Process, error) {
		return agent.New(ctx, agent.Options{Settings: settings, Version: program.Version, Log: log,
			Metrics: program.MetricsAddress(settings.IP)})
	})
}
