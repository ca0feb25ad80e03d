// Package startup holds what the programs of the system have in common around their own work: the runtime's settings,
// the command line, the logger, the settings file, signals and the exit.
//
// It links only what each of the programs needs: the reader of the settings, the parser of the command line and the
// logger.
package startup

import (
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/system/logfmt"
	"cinderroad/internal/system/processconfig"
)

// maxProcessors is the number of threads that run Go code at once: each program may use at most one core of its
// machine.
const maxProcessors = 1

// Program describes one of the programs of the system.
type Program struct {
	Name        string
	Description string
	Version     string
	LogLevel    zapcore.Level // lowest level that is logged, unless the command line names another
	// GCPercent is by how much, relative to the live heap, the heap may grow before a collection. Low values keep the
	// peak of memory low in programs that allocate little.
	GCPercent int
	// MetricsPort is the port at which the program serves its metrics, as the command line states it; 0: none.
	MetricsPort uint16
}

// Init sets up the Go runtime, parses the command line and returns the program's logger, which writes to standard
// error. It ends the process if the command line is malformed, and after it printed the help or the version.
func (p *Program) Init() *zap.Logger {
	runtime.GOMAXPROCS(maxProcessors)
	debug.SetGCPercent(p.GCPercent)
	var flags commandLine
	parser := p.parser(&flags)
	_, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	p.MetricsPort = flags.MetricsPort
	return logfmt.New(os.Stderr, flags.LogLevel)
}

// commandLine holds the flags that all programs have.
type commandLine struct {
	LogLevel    zapcore.Level    `name:"log-level" help:"${log_level_help}" default:"${log_level}" aliases:"log"`
	MetricsPort uint16           `name:"metrics-port" help:"${metrics_port_help}"`
	Version     kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// Help texts of the flags.
const (
	logLevelHelp    = "Minimum level of logged events: debug, info, warn or error."
	metricsPortHelp = "Port on the machine's address at which the process serves its metrics (GET /metrics); 0: none."
)

func (p *Program) parser(flags *commandLine) *kong.Kong {
	return kong.Must(flags, kong.Name(p.Name), kong.Description(p.Description), kong.Vars{
		"version":           p.Version,
		"log_level":         p.LogLevel.String(),
		"log_level_help":    logLevelHelp,
		"metrics_port_help": metricsPortHelp,
	})
}

// MetricsAddress returns where the program serves its metrics on a machine; the zero value: nowhere.
func (p *Program) MetricsAddress(machine netip.Addr) netip.AddrPort {
	if p.MetricsPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(machine, p.MetricsPort)
}

// LoadSettings reads the settings file, logs that the program starts, and returns the settings with a logger that adds
// the machine's name to each event.
func (p *Program) LoadSettings(log *zap.Logger) (*processconfig.Settings, *zap.Logger, error) {
	settings, err := processconfig.Load()
	if err != nil {
		return nil, nil, fmt.Errorf("read the settings: %w", err)
	}
	log = log.With(zap.String("node", settings.Node))
	log.Info("starting", zap.String("version", p.Version), zap.Stringer("ip", settings.IP),
		zap.String("zone", settings.Zone))
	return settings, log, nil
}

// Exit ends the process: with status 1 after logging err, or with status 0 if err is nil.
func Exit(log *zap.Logger, err error) {
	if err != nil {
		log.Error("exiting on error", zap.Error(err))
		os.Exit(1)
	}
	os.Exit(0)
}
