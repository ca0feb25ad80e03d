package gearman

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/BurntSushi/toml"

	"cinderroad/internal/dispatcher/configerror"
)

// Config is the operator's Gearman file; deploy/gearman.toml shows its form. Get one from ReadConfig, which checks it.
type Config struct {
	Listen        string          `toml:"listen"`
	AllowShutdown bool            `toml:"allow_shutdown"` // whether the text command `shutdown` stops the program
	MaxJobs       int             `toml:"max_jobs"`       // jobs pending at once; 0 is defaultMaxJobs
	MaxBytes      int             `toml:"max_bytes"`      // of the data of pending jobs; 0 is defaultMaxBytes
	Functions     []Function      `toml:"function"`
	Workers       []WorkerNetwork `toml:"worker"` // the first one that contains a worker's address applies

	path          string // of the file
	listenAddress netip.AddrPort
}

// Defaults of keys that the file leaves out.
const (
	defaultMaxJobs  = 10000
	defaultMaxBytes = 32 << 20

	// defaultBackgroundDeadlines is the default background deadline, in deadlines of the function.
	defaultBackgroundDeadlines = 10
)

// Function maps a Gearman function to a class of the settings, which decides deadline, value and retry safety.
type Function struct {
	Name     string  `toml:"name"`
	Class    string  `toml:"class"`
	Deadline float64 `toml:"deadline_s"` // seconds until a job must be answered; 0 is the class's deadline, which is the most
	// BackgroundDeadline is for how many seconds a rejected background job is requeued; 0 is ten deadlines.
	BackgroundDeadline float64 `toml:"background_deadline_s"`

	classIndex                   int
	deadline, backgroundDeadline float64 // seconds, defaults applied
}

// WorkerNetwork gives the zone, kind and cell of the workers whose address is in a network.
type WorkerNetwork struct {
	Network string `toml:"network"` // CIDR prefix
	Zone    string `toml:"zone"`
	Kind    string `toml:"kind"`
	Cell    int    `toml:"cell"`

	prefix    netip.Prefix
	zoneIndex int // in the settings
	kindIndex int // in the settings
}

// SettingsNames are the names of the settings that a Config may refer to, in the order of their indices.
type SettingsNames struct {
	Classes   []string
	Zones     []string
	Kinds     []string
	Deadlines []float64 // seconds, by class
}

// configFile is the kind of the file that turns the front on, with which the text of its errors begins.
const configFile = "gearman"

// ReadConfig reads the operator's file, checks it against the settings and applies defaults. The error is a *configerror.Error.
func ReadConfig(path string, names SettingsNames) (*Config, error) {
	var config Config
	meta, err := toml.DecodeFile(path, &config)
	if err != nil {
		return nil, &configerror.Error{File: configFile, Path: path, Err: err}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, &configerror.Error{File: configFile, Path: path, Err: fmt.Errorf("unknown key %s", unknown[0])}
	}
	config.path = path
	if err := config.validate(names); err != nil {
		return nil, err
	}
	return &config, nil
}

// keyError returns the error for a key.
func (c *Config) keyError(key string, err error) error {
	return &configerror.Error{File: configFile, Path: c.path, Key: key, Err: err}
}

// validate checks the file, applies defaults and resolves names to indices.
func (c *Config) validate(names SettingsNames) (err error) {
	if c.listenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		return c.keyError("listen", err)
	}
	if c.MaxJobs < 0 {
		return c.keyError("max_jobs", errBelowZero)
	}
	if c.MaxBytes < 0 {
		return c.keyError("max_bytes", errBelowZero)
	}
	if c.MaxJobs == 0 {
		c.MaxJobs = defaultMaxJobs
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if err := c.validateFunctions(names); err != nil {
		return err
	}
	return c.validateWorkers(names)
}

// Problems of keys.
var (
	errBelowZero = errors.New("is below 0")
	errNoSection = errors.New("is missing; one at least is needed")
	errDuplicate = errors.New("stands in another section already")
	errDeadline  = errors.New("is not within 0 and the deadline of the class")
)

// validateFunctions checks the sections [[function]].
func (c *Config) validateFunctions(names SettingsNames) error {
	if len(c.Functions) == 0 {
		return c.keyError("function", errNoSection)
	}
	seen := map[string]bool{}
	for i := range c.Functions {
		function := &c.Functions[i]
		if key, err := function.validate(names); err != nil {
			return c.keyError(fmt.Sprintf("function[%d].%s", i, key), err)
		}
		if seen[function.Name] {
			return c.keyError(fmt.Sprintf("function[%d].name", i), fmt.Errorf("%q %w", function.Name, errDuplicate))
		}
		seen[function.Name] = true
	}
	return nil
}

// validate checks a function, applies defaults and resolves its class; the key is that of the problem.
func (f *Function) validate(names SettingsNames) (key string, err error) {
	f.classIndex = slices.Index(names.Classes, f.Class)
	switch {
	case f.Name == "":
		return "name", errors.New("is empty")
	case f.classIndex < 0:
		return "class", fmt.Errorf("unknown class %q", f.Class)
	case f.Deadline < 0 || f.Deadline > names.Deadlines[f.classIndex]:
		return "deadline_s", fmt.Errorf("%v %w", f.Deadline, errDeadline)
	}
	f.deadline = f.Deadline
	if f.deadline == 0 {
		f.deadline = names.Deadlines[f.classIndex]
	}
	f.backgroundDeadline = f.BackgroundDeadline
	if f.backgroundDeadline <= 0 {
		f.backgroundDeadline = defaultBackgroundDeadlines * f.deadline
	}
	return "", nil
}

// validateWorkers checks the sections [[worker]].
func (c *Config) validateWorkers(names SettingsNames) (err error) {
	if len(c.Workers) == 0 {
		return c.keyError("worker", fmt.Errorf("%w: the location of workers is not configured", errNoSection))
	}
	for i := range c.Workers {
		network := &c.Workers[i]
		errorAt := func(key string, err error) error { return c.keyError(fmt.Sprintf("worker[%d].%s", i, key), err) }
		if network.prefix, err = netip.ParsePrefix(network.Network); err != nil {
			return errorAt("network", err)
		}
		network.zoneIndex = slices.Index(names.Zones, network.Zone)
		if network.zoneIndex < 0 {
			return errorAt("zone", fmt.Errorf("unknown zone %q", network.Zone))
		}
		network.kindIndex = slices.Index(names.Kinds, network.Kind)
		if network.kindIndex < 0 {
			return errorAt("kind", fmt.Errorf("unknown kind %q", network.Kind))
		}
	}
	return nil
}

// networkOf returns the first configured network that contains the address. Workers from other networks get no jobs.
func (c *Config) networkOf(address netip.Addr) (WorkerNetwork, bool) {
	for _, network := range c.Workers {
		if network.prefix.Contains(address.Unmap()) {
			return network, true
		}
	}
	return WorkerNetwork{}, false
}
