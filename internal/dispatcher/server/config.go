// Package program wires the dispatcher: configuration, log, signals, metrics, the core and its fronts.
package server

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/dispatcher/operatorconfig"
	"cinderroad/internal/dispatcher/settings"
	"cinderroad/loadbalancer"
)

// Config is what a dispatcher is told at its start.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`    // empty: no platform front
	Discovery string         `json:"discovery"` // empty: no director
	Console   string         `json:"console"`   // the second address, for the staff who run it; empty: none
	Seed      string         `json:"seed"`
	Known     httpfront.List `json:"known"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`

	Operator *operatorconfig.Config `json:"-"` // never nil
	short    Shorthand

	path, gearmanPath string // where it was read from
	tmp               string // where files of its own may stand; empty: nowhere
	listen, discovery netip.AddrPort
	console           netip.AddrPort
	inherited         int // descriptor of the clients' socket, where somebody else holds it; 0: we bind it
	seed              uint64
	brain             loadbalancer.Settings
	names             names
	gearman           *gearman.Config // nil: no Gearman front
}

// names are the settings that the program needs beside those of the decisions.
type names struct {
	Categories []struct {
		Name string `json:"name"`
	} `json:"categories"`
	FailureDomains []string `json:"failureDomains"`
	Kinds          []string `json:"kinds"`
	Limits         struct {
		ConnIdleS       float64 `json:"connIdleS"`
		ConnectTimeoutS float64 `json:"connectTimeoutS"`
	} `json:"limits"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
}

// ReadGearman reads the operator's file that turns the Gearman front on.
func (c *Config) ReadGearman(path string) (err error) {
	n := gearman.SettingsNames{Classes: c.classes(), Zones: c.names.FailureDomains, Kinds: c.names.Kinds}
	for _, class := range c.brain.Classes {
		n.Deadlines = append(n.Deadlines, class.Deadline)
	}
	c.gearmanPath = path
	c.gearman, err = gearman.ReadConfig(path, n)
	return err
}

// Shorthand are the command line's short forms for what the operator's file says at length.
type Shorthand struct {
	Operator string  // path of the file; empty: none
	Graphite string  // address of a Graphite receiver, besides those of the file
	Collectd string  // path of a collectd's unix socket, likewise
	Interval float64 // seconds that a period lasts; 0: as the file says
}

// ReadOperator reads the operator's file and adds the short forms.
func (c *Config) ReadOperator(s Shorthand) (err error) {
	f := operatorconfig.Default()
	if s.Operator != "" {
		if f, err = operatorconfig.Read(s.Operator); err != nil {
			return err
		}
	}
	if s.Graphite != "" {
		addr, err := netip.ParseAddrPort(s.Graphite)
		if err != nil {
			return fmt.Errorf("graphite: %w", err)
		}
		f.Graphite = append(f.Graphite, operatorconfig.Graphite{Address: s.Graphite, ParsedAddress: addr, Protocol: "plaintext", Prefix: "cinderroad",
			Confirm: "close", TimeoutSeconds: operatorconfig.DefaultTimeoutSeconds})
	}
	if s.Collectd != "" {
		f.Collectd = append(f.Collectd, operatorconfig.Collectd{Socket: s.Collectd, Security: "none", TimeoutSeconds: operatorconfig.DefaultTimeoutSeconds})
	}
	if s.Interval > 0 {
		f.Telemetry.IntervalSeconds = s.Interval
	}
	c.Operator, c.short = f, s
	return nil
}

func (c *Config) classes() []string {
	names := make([]string, len(c.names.Categories))
	for i, class := range c.names.Categories {
		names[i] = class.Name
	}
	return names
}

// ReadConfig reads the configuration file and the environment, which wins, and checks all of it.
func ReadConfig(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, errNoConfig
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := Config{path: path, tmp: env("TMPDIR"), Operator: operatorconfig.Default()}
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, at(path, text, err)
	}
	for _, v := range []struct {
		name string
		to   *string
	}{{"ROUTER_NAME", &c.Name}, {"ROUTER_LISTEN", &c.Listen}, {"ROUTER_DISCOVERY", &c.Discovery},
		{"ROUTER_CONSOLE", &c.Console}} {
		if s := env(v.name); s != "" {
			*v.to = s
		}
	}
	for _, a := range []struct {
		name, text string
		to         *netip.AddrPort
	}{{"listen", c.Listen, &c.listen}, {"discovery", c.Discovery, &c.discovery},
		{"console", c.Console, &c.console}} {
		if a.text == "" {
			continue
		}
		if *a.to, err = netip.ParseAddrPort(a.text); err != nil {
			return nil, fmt.Errorf("config: %s: %w", a.name, err)
		}
	}
	if fd := env("ROUTER_FD"); fd != "" {
		if c.inherited, err = strconv.Atoi(fd); err != nil || c.inherited < 3 {
			return nil, fmt.Errorf("config: ROUTER_FD: %q is no descriptor to inherit", fd)
		}
	}
	if c.Seed != "" {
		if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("config: seed: %w", err)
		}
	}
	if c.brain, err = settings.Parse(c.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if _, err := loadbalancer.New(c.brain, c.seed, nil); err != nil { // checks them
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(c.Settings, &c.names); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	if c.names.Limits.ConnectTimeoutS <= 0 || c.names.Limits.ConnIdleS <= 0 {
		return nil, fmt.Errorf("config: settings: limits.connectTimeoutS and limits.connIdleS must be above 0")
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.Sockets <= reserve {
		return nil, fmt.Errorf("config: limits.sockets: %d is too few", c.Limits.Sockets)
	}
	if c.Limits.MemoryMB < 0 {
		return nil, fmt.Errorf("config: limits.memory_mb: %d", c.Limits.MemoryMB)
	}
	return &c, nil
}
