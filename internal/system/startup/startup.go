// Package startup holds what the programs of the system do alike before and around their own work: the runtime's
// settings, the command line, the logger, the settings file, signals and the exit.
//
// It links the settings' reader, the command line's and the logger, which each of the programs needs, and nothing else.
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

// maxProcessors is how many threads run Go code at once: each program's share of its machine is at most one core.
const maxProcessors = 1

// Program describes one of the programs of the system.
type Program struct {
	Name        string
	Description string
	Version     string
	LogLevel    zapcore.Level // least level of events that are logged unless the command line names another
	// GCPercent is by how much of what is live the heap may grow before a collection: low values keep the peak of
	// memory low where little is allocated in a second.
	GCPercent int
	// MetricsPort is the port at which the program serves its own figures, as the command line names it; 0: none.
	MetricsPort uint16
}

// Init sets the runtime up, reads the command line and returns the program's logger, which writes to standard error.
// It ends the process on a malformed command line, and after the help or the version was asked for.
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

// commandLine are the flags of each program.
type commandLine struct {
	LogLevel    zapcore.Level    `name:"log-level" help:"Least level of events that are logged: debug, info, warn or error." default:"${log_level}" aliases:"log"`
	MetricsPort uint16           `name:"metrics-port" help:"Port of the machine's address at which the process serves its own figures (GET /metrics); 0: none."`
	Version     kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

func (p *Program) parser(flags *commandLine) *kong.Kong {
	return kong.Must(flags, kong.Name(p.Name), kong.Description(p.Description),
		kong.Vars{"version": p.Version, "log_level": p.LogLevel.String()})
}

// MetricsAddress is where the program serves its own figures on a machine; the zero value: nowhere.
func (p *Program) MetricsAddress(machine netip.Addr) netip.AddrPort {
	if p.MetricsPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(machine, p.MetricsPort)
}

// LoadSettings reads the settings file of a program that says that it starts, and returns the settings with a logger
// that adds the machine's name to each event.
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

// Exit ends the process: with status 1 and the error as an event if the program ended by one, otherwise with status 0.
func Exit(log *zap.Logger, err error) {
	if err != nil {
		log.Error("ended", zap.Error(err))
		os.Exit(1)
	}
	os.Exit(0)
}

// BuildVersion is the program's revision as its build tells, of a bounded length.
func BuildVersion() string {
	const maxLength = 64
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(len(setting.Value), maxLength)]
		}
	}
	return info.Main.Version
}
