package gearman

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/BurntSushi/toml"
)

// Config is the operator's file, deploy/gearman.toml.
type Config struct {
	Listen        string          `toml:"listen"`
	AllowShutdown bool            `toml:"allow_shutdown"` // the text command `shutdown` stops the program
	MaxJobs       int             `toml:"max_jobs"`       // jobs held at once
	MaxBytes      int             `toml:"max_bytes"`      // of their data
	Functions     []Function      `toml:"function"`
	Workers       []WorkerNetwork `toml:"worker"` // the first that matches a worker's address counts

	listenAddress netip.AddrPort
}

// Function maps a Gearman function to a class of the settings.
type Function struct {
	Name     string  `toml:"name"`
	Class    string  `toml:"class"`
	Deadline float64 `toml:"deadline_s"` // a job is answered within this; 0 is the class's deadline
	// BackgroundDeadline is how long a job in the background may come back after refusals; 0 is ten deadlines.
	BackgroundDeadline float64 `toml:"background_deadline_s"`

	classIndex                   int
	deadline, backgroundDeadline float64
}

// WorkerNetwork says where the workers of a network stand.
type WorkerNetwork struct {
	Network string `toml:"network"`
	Zone    string `toml:"zone"`
	Kind    string `toml:"kind"`
	Cell    int    `toml:"cell"`

	prefix               netip.Prefix
	zoneIndex, kindIndex int
}

// SettingsNames are the settings' names that a file is checked against.
type SettingsNames struct {
	Classes, Zones, Kinds []string
	Deadlines             []float64 // by class
}

// ReadConfig reads and checks the operator's file.
func ReadConfig(path string, names SettingsNames) (*Config, error) {
	var config Config
	meta, err := toml.DecodeFile(path, &config)
	if err != nil {
		return nil, fmt.Errorf("gearman: %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("gearman: %s: unknown key %s", path, unknown[0])
	}
	if err := config.validate(names); err != nil {
		return nil, fmt.Errorf("gearman: %s: %w", path, err)
	}
	return &config, nil
}

func (c *Config) validate(names SettingsNames) (err error) {
	if c.listenAddress, err = netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.MaxJobs == 0 {
		c.MaxJobs = 10000
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = 32 << 20
	}
	if len(c.Functions) == 0 || c.MaxJobs < 0 || c.MaxBytes < 0 {
		return fmt.Errorf("no function, or max_jobs or max_bytes below 0")
	}
	seen := map[string]bool{}
	for i := range c.Functions {
		fn := &c.Functions[i]
		if fn.classIndex = slices.Index(names.Classes, fn.Class); fn.classIndex < 0 {
			return fmt.Errorf("function %q: unknown class %q", fn.Name, fn.Class)
		}
		if fn.Name == "" || seen[fn.Name] || fn.Deadline < 0 || fn.Deadline > names.Deadlines[fn.classIndex] {
			return fmt.Errorf("function %q: no name, named twice, or deadline_s not within the class's", fn.Name)
		}
		seen[fn.Name] = true
		if fn.deadline = fn.Deadline; fn.deadline == 0 {
			fn.deadline = names.Deadlines[fn.classIndex]
		}
		if fn.backgroundDeadline = fn.BackgroundDeadline; fn.backgroundDeadline <= 0 {
			fn.backgroundDeadline = 10 * fn.deadline
		}
	}
	if len(c.Workers) == 0 {
		return fmt.Errorf("no worker: nothing says where workers stand")
	}
	for i := range c.Workers {
		network := &c.Workers[i]
		if network.prefix, err = netip.ParsePrefix(network.Network); err != nil {
			return fmt.Errorf("worker %d: network: %w", i, err)
		}
		if network.zoneIndex, network.kindIndex = slices.Index(names.Zones, network.Zone), slices.Index(names.Kinds, network.Kind); network.zoneIndex < 0 || network.kindIndex < 0 {
			return fmt.Errorf("worker %d: unknown zone %q or kind %q", i, network.Zone, network.Kind)
		}
	}
	return nil
}

// networkOf finds where a worker stands; one from elsewhere may not work here.
func (c *Config) networkOf(address netip.Addr) (WorkerNetwork, bool) {
	for _, network := range c.Workers {
		if network.prefix.Contains(address.Unmap()) {
			return network, true
		}
	}
	return WorkerNetwork{}, false
}
