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

	Operator  *operatorconfig.Config `json:"-"` // never nil
	shorthand Shorthand

	path, gearmanPath  string // where it was read from
	tempDir            string // where files of its own may stand; empty: nowhere
	listen, discovery  netip.AddrPort
	console            netip.AddrPort
	inheritedFD        int // descriptor of the clients' socket, where somebody else holds it; 0: we bind it
	seed               uint64
	balancerSettings   loadbalancer.Settings
	dispatcherSettings dispatcherSettings
	gearman            *gearman.Config // nil: no Gearman front
}

// dispatcherSettings are the settings that the program needs beside those of the decisions.
type dispatcherSettings struct {
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
		LoadFields []string `json:"fields"`
	} `json:"report"`
}

// ReadGearman reads the operator's file that turns the Gearman front on.
func (c *Config) ReadGearman(path string) (err error) {
	names := gearman.SettingsNames{Classes: c.classNames(), Zones: c.dispatcherSettings.FailureDomains, Kinds: c.dispatcherSettings.Kinds}
	for _, class := range c.balancerSettings.Classes {
		names.Deadlines = append(names.Deadlines, class.Deadline)
	}
	c.gearmanPath = path
	c.gearman, err = gearman.ReadConfig(path, names)
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
func (c *Config) ReadOperator(shorthand Shorthand) (err error) {
	file := operatorconfig.Default()
	if shorthand.Operator != "" {
		if file, err = operatorconfig.Read(shorthand.Operator); err != nil {
			return err
		}
	}
	if shorthand.Graphite != "" {
		addr, err := netip.ParseAddrPort(shorthand.Graphite)
		if err != nil {
			return fmt.Errorf("graphite: %w", err)
		}
		file.Graphite = append(file.Graphite, operatorconfig.Graphite{Address: shorthand.Graphite, ParsedAddress: addr, Protocol: "plaintext", Prefix: "cinderroad",
			Confirm: "close", TimeoutSeconds: operatorconfig.DefaultTimeoutSeconds})
	}
	if shorthand.Collectd != "" {
		file.Collectd = append(file.Collectd, operatorconfig.Collectd{Socket: shorthand.Collectd, Security: "none", TimeoutSeconds: operatorconfig.DefaultTimeoutSeconds})
	}
	if shorthand.Interval > 0 {
		file.Telemetry.IntervalSeconds = shorthand.Interval
	}
	c.Operator, c.shorthand = file, shorthand
	return nil
}

func (c *Config) classNames() []string {
	names := make([]string, len(c.dispatcherSettings.Categories))
	for i, class := range c.dispatcherSettings.Categories {
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
	c := Config{path: path, tempDir: env("TMPDIR"), Operator: operatorconfig.Default()}
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, errorAtLine(path, text, err)
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
		if c.inheritedFD, err = strconv.Atoi(fd); err != nil || c.inheritedFD < 3 {
			return nil, fmt.Errorf("config: ROUTER_FD: %q is no descriptor to inherit", fd)
		}
	}
	if c.Seed != "" {
		if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("config: seed: %w", err)
		}
	}
	if c.balancerSettings, err = settings.Parse(c.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if _, err := loadbalancer.New(c.balancerSettings, c.seed, nil); err != nil { // checks them
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(c.Settings, &c.dispatcherSettings); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	if c.dispatcherSettings.Limits.ConnectTimeoutS <= 0 || c.dispatcherSettings.Limits.ConnIdleS <= 0 {
		return nil, fmt.Errorf("config: settings: limits.connectTimeoutS and limits.connIdleS must be above 0")
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.Sockets <= reservedDescriptors {
		return nil, fmt.Errorf("config: limits.sockets: %d is too few", c.Limits.Sockets)
	}
	if c.Limits.MemoryMB < 0 {
		return nil, fmt.Errorf("config: limits.memory_mb: %d", c.Limits.MemoryMB)
	}
	return &c, nil
}
