package startup

import (
	"context"
	"os"

	"go.uber.org/zap"

	"cinderroad/internal/system/processconfig"
)

// Process is a running program.
type Process interface {
	// Run works until the context ends and the process has shut down gracefully.
	Run(ctx context.Context) error
	// Reload applies changed settings. It is called from another goroutine than Run.
	Reload(settings *processconfig.Settings)
}

// StartFunc makes a process of the settings. The end of the context ends only the start.
type StartFunc func(ctx context.Context, settings *processconfig.Settings, log *zap.Logger) (Process, error)

// Run reads the settings, starts a process and runs it until the program is asked to stop. On SIGHUP it reads the
// settings again and passes them to the process; if they cannot be read, the earlier ones stay in force. A program
// calls it once.
func (p *Program) Run(log *zap.Logger, start StartFunc) error {
	changes := NotifyReload() // before anything else, since the signal would otherwise end the process
	settings, log, err := p.LoadSettings(log)
	if err != nil {
		return err
	}
	// The signals stay caught until the process exits: a second one that comes meanwhile must not end it by its default action.
	ctx, stop := StopContext()
	_ = stop
	process, err := start(ctx, settings, log)
	if err != nil {
		return err
	}
	go reloadOnNotify(log, process, changes)
	return process.Run(ctx)
}

// reloadOnNotify reads the settings again whenever they are said to have changed. It runs until the program exits.
func reloadOnNotify(log *zap.Logger, process Process, changes <-chan os.Signal) {
	for range changes {
		settings, err := processconfig.Load()
		if err != nil {
			log.Warn("settings reload failed, keeping previous settings", zap.Error(err))
			continue
		}
		process.Reload(settings)
		log.Info("settings reloaded")
	}
}
