package startup

import (
	"context"
	"os"

	"go.uber.org/zap"

	"cinderroad/internal/system/processconfig"
)

// Process is a running program that can take settings which have changed.
type Process interface {
	Run(ctx context.Context) error // until the context ends and the process has ended in order
	Reload(settings *processconfig.Settings)
}

// StartFunc makes a process of the settings. The context ends only the start.
type StartFunc func(ctx context.Context, settings *processconfig.Settings, log *zap.Logger) (Process, error)

// Run reads the settings, starts a process and runs it until the program is asked to stop. On SIGHUP it reads the
// settings again and hands them to the process; the earlier ones stay where they can't be read.
func (p *Program) Run(log *zap.Logger, start StartFunc) error {
	changes := NotifyReload() // before anything else: the signal would end the process
	settings, log, err := p.LoadSettings(log)
	if err != nil {
		return err
	}
	ctx, stop := StopContext()
	defer stop()
	process, err := start(ctx, settings, log)
	if err != nil {
		return err
	}
	go reloadOnNotify(log, process, changes)
	return process.Run(ctx)
}

// reloadOnNotify reads the settings again whenever they are said to have changed.
func reloadOnNotify(log *zap.Logger, process Process, changes <-chan os.Signal) {
	for range changes {
		settings, err := processconfig.Load()
		if err != nil {
			log.Warn("changed settings can't be read, the earlier ones stay", zap.Error(err))
			continue
		}
		process.Reload(settings)
		log.Info("settings read again")
	}
}
