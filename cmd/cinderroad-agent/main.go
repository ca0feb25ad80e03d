// Command cinderroad-agent runs beside the proxy of an edge machine: it links the machine to the control replicas.
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

	"cinderroad/internal/agent"
	"cinderroad/internal/environment"
	"cinderroad/internal/logfmt"
)

// garbagePercent keeps the heap near what is live: little is allocated in a second, and memory is dear.
const garbagePercent = 20

// commandLine are the program's flags.
type commandLine struct {
	LogLevel zapcore.Level    `help:"Least level of events that are logged: debug, info, warn or error." default:"info"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(garbagePercent)
	var flags commandLine
	kong.Parse(&flags, kong.Name("cinderroad-agent"), kong.Vars{"version": version()},
		kong.Description("Links the proxy of an edge machine to the control replicas."))
	log := logfmt.New(os.Stderr, flags.LogLevel)
	if err := run(log); err != nil {
		log.Error("ended", zap.Error(err))
		os.Exit(1)
	}
}

func run(log *zap.Logger) error {
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP) // before anything else: it would end the process
	settings, err := environment.Load()
	if err != nil {
		return fmt.Errorf("read the settings: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log = log.With(zap.String("node", settings.Node))
	log.Info("starting", zap.String("version", version()), zap.Stringer("ip", settings.IP), zap.String("zone", settings.Zone))
	started, err := agent.New(ctx, agent.Options{Settings: settings, Version: version(), Log: log})
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
