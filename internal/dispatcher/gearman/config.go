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

	listen netip.AddrPort
}

// Function maps a Gearman function to a class of the settings.
type Function struct {
	Name     string  `toml:"name"`
	Class    string  `toml:"class"`
	Deadline float64 `toml:"deadline_s"` // a job is answered within this; 0 is the class's deadline
	// BackgroundDeadline is how long a job in the background may come back after refusals; 0 is ten deadlines.
	BackgroundDeadline float64 `toml:"background_deadline_s"`

	class                int
	deadline, background float64
}

// WorkerNetwork says where the workers of a network stand.
type WorkerNetwork struct {
	Network string `toml:"network"`
	Zone    string `toml:"zone"`
	Kind    string `toml:"kind"`
	Cell    int    `toml:"cell"`

	network    netip.Prefix
	zone, kind int
}

// SettingsNames are the settings' names that a file is checked against.
type SettingsNames struct {
	Classes, Zones, Kinds []string
	Deadlines             []float64 // by class
}

// ReadConfig reads and checks the operator's file.
func ReadConfig(path string, names SettingsNames) (*Config, error) {
	var c Config
	meta, err := toml.DecodeFile(path, &c)
	if err != nil {
		return nil, fmt.Errorf("gearman: %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("gearman: %s: unknown key %s", path, unknown[0])
	}
	if err := c.check(names); err != nil {
		return nil, fmt.Errorf("gearman: %s: %w", path, err)
	}
	return &c, nil
}

func (c *Config) check(names SettingsNames) (err error) {
	if c.listen, err = netip.ParseAddrPort(c.Listen); err != nil {
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
		f := &c.Functions[i]
		if f.class = slices.Index(names.Classes, f.Class); f.class < 0 {
			return fmt.Errorf("function %q: unknown class %q", f.Name, f.Class)
		}
		if f.Name == "" || seen[f.Name] || f.Deadline < 0 || f.Deadline > names.Deadlines[f.class] {
			return fmt.Errorf("function %q: no name, named twice, or deadline_s not within the class's", f.Name)
		}
		seen[f.Name] = true
		if f.deadline = f.Deadline; f.deadline == 0 {
			f.deadline = names.Deadlines[f.class]
		}
		if f.background = f.BackgroundDeadline; f.background <= 0 {
			f.background = 10 * f.deadline
		}
	}
	if len(c.Workers) == 0 {
		return fmt.Errorf("no worker: nothing says where workers stand")
	}
	for i := range c.Workers {
		p := &c.Workers[i]
		if p.network, err = netip.ParsePrefix(p.Network); err != nil {
			return fmt.Errorf("worker %d: network: %w", i, err)
		}
		if p.zone, p.kind = slices.Index(names.Zones, p.Zone), slices.Index(names.Kinds, p.Kind); p.zone < 0 || p.kind < 0 {
			return fmt.Errorf("worker %d: unknown zone %q or kind %q", i, p.Zone, p.Kind)
		}
	}
	return nil
}

// place finds where a worker stands; one from elsewhere may not work here.
func (c *Config) place(from netip.Addr) (WorkerNetwork, bool) {
	for _, p := range c.Workers {
		if p.network.Contains(from.Unmap()) {
			return p, true
		}
	}
	return WorkerNetwork{}, false
}
