// Command cinderroad-control runs on core machines: it agrees with its peers on the control state, serves the
// operator's API and the directory, and feeds the agents.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/control"
	"cinderroad/internal/environment"
	"cinderroad/internal/logfmt"
)

// garbagePercent keeps the heap near what is live: little is allocated in a second, and memory is dear.
const garbagePercent = 25

// commandLine are the program's flags.
type commandLine struct {
	LogLevel zapcore.Level    `help:"Least level of events that are logged: debug, info, warn or error." default:"info"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(garbagePercent)
	var flags commandLine
	kong.Parse(&flags, kong.Name("cinderroad-control"), kong.Vars{"version": version()},
		kong.Description("Control replica of a core machine: operator's API, directory and feed."))
	log := logfmt.New(os.Stderr, flags.LogLevel)
	if err := run(log); err != nil {
		log.Error("ended", zap.Error(err))
		os.Exit(1)
	}
}

func run(log *zap.Logger) error {
	settings, err := environment.Load()
	if err != nil {
		return fmt.Errorf("read the settings: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log = log.With(zap.String("node", settings.Node))
	log.Info("starting", zap.String("version", version()), zap.Stringer("ip", settings.IP),
		zap.String("zone", settings.Zone))
	process, err := control.Start(ctx, control.Options{Settings: settings, Version: version(), Log: log})
	if err != nil {
		return err
	}
	go reload(process)
	return process.Run(ctx)
}

// reload reads the settings again at each SIGHUP.
func reload(process *control.Process) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		process.Reload()
	}
}

// version is the program's, as its build tells.
func version() string {
	const longest = 64
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(len(setting.Value), longest)]
		}
	}
	return info.Main.Version
}
