package server

import (
	"cmp"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"cinderroad/internal/dispatcher/configerror"
	"cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/dispatcher/operatorconfig"
	"cinderroad/internal/dispatcher/settings"
	"cinderroad/loadbalancer"
)

const (
	firstInheritableFD = 3 // 0 to 2 are the standard streams
	defaultSocketLimit = 1024
	maxFileNameLength  = 60 // bytes, before the suffix: the path of a unix socket may have few
)

// Config is the configuration of a dispatcher. The tagged fields are those of the file.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`    // address of the HTTP front; empty: none
	Discovery string         `json:"discovery"` // address of discovery; empty: none
	Console   string         `json:"console"`   // second address, for operators; empty: none
	Seed      string         `json:"seed"`      // of random choices, hexadecimal; empty: 0
	Known     httpfront.List `json:"known"`     // membership to start with, until discovery sends one
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"` // 0: not limited
		Sockets  int     `json:"sockets"`   // descriptors of the process
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"` // shared by all dispatchers

	Operator  *operatorconfig.Config `json:"-"` // never nil
	shorthand Shorthand              // added to Operator, again at each reload

	path, gearmanPath          string // of the files; gearmanPath is empty without a Gearman front
	tempDir                    string // $TMPDIR, for files of this dispatcher's own; empty: none are written
	listen, discovery, console netip.AddrPort
	inheritedFD                int // clients' listening socket that another process holds open; 0: this one binds it
	seed                       uint64
	balancerSettings           loadbalancer.Settings
	dispatcherSettings         dispatcherSettings
	gearman                    *gearman.Config // nil: no Gearman front
}

// dispatcherSettings are the shared settings that the dispatcher needs besides those of the balancer.
type dispatcherSettings struct {
	Categories []struct {
		Name string `json:"name"`
	} `json:"categories"`
	FailureDomains []string `json:"failureDomains"`
	Kinds          []string `json:"kinds"`
	Limits         struct {
		ConnIdleS       float64 `json:"connIdleS"`       // seconds
		ConnectTimeoutS float64 `json:"connectTimeoutS"` // seconds
	} `json:"limits"`
	Report struct {
		LoadFields []string `json:"fields"` // of a worker's load report, in their order
	} `json:"report"`
}

// Example is a configuration file that serves without discovery: one data centre, two classes.
//
//go:embed example.json
var Example string

var errNoConfig = errors.New(`no configuration: name its file by --config FILE or in $ROUTER_CONFIG. It says who the dispatcher is,
where it listens and finds discovery, and holds the settings that all dispatchers share, as JSON:

` + Example)

// configFile is the kind of the configuration file, with which the text of its errors begins.
const configFile = "config"

// keyError returns the error for a key.
func (c *Config) keyError(key string, err error) error {
	return &configerror.Error{File: configFile, Path: c.path, Key: key, Err: err}
}

// errorAtLine adds the line of a JSON text at which err occurred, if err tells its offset.
func errorAtLine(path string, text []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	}
	if offset < 0 || offset > int64(len(text)) {
		return &configerror.Error{File: configFile, Path: path, Err: err}
	}
	return &configerror.Error{File: configFile, Path: path, Line: 1 + strings.Count(string(text[:offset]), "\n"), Err: err}
}

// ReadGearman reads the file at path that turns the Gearman front on. Call it after [ReadConfig], whose classes, zones and
// kinds the file refers to.
func (c *Config) ReadGearman(path string) (err error) {
	names := gearman.SettingsNames{Classes: c.classNames(), Zones: c.dispatcherSettings.FailureDomains, Kinds: c.dispatcherSettings.Kinds}
	for _, class := range c.balancerSettings.Classes {
		names.Deadlines = append(names.Deadlines, class.Deadline)
	}
	c.gearmanPath = path
	c.gearman, err = gearman.ReadConfig(path, names)
	return err
}

// Shorthand holds the command line's short forms of entries of the operator's file.
type Shorthand struct {
	Operator string  // path of the file; empty: none
	Graphite string  // address of a Graphite receiver, in addition to those of the file
	Collectd string  // path of a collectd's unix socket, in addition to those of the file
	Interval float64 // seconds between reports of metrics; 0: as the file says
}

// ReadOperator reads the operator's file, or takes its defaults if none is named, and adds the short forms.
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
		file.Graphite = append(file.Graphite, operatorconfig.Graphite{
			Address:        shorthand.Graphite,
			ParsedAddress:  addr,
			Protocol:       "plaintext",
			Prefix:         "cinderroad",
			Confirm:        "close",
			TimeoutSeconds: operatorconfig.DefaultTimeoutSeconds,
		})
	}
	if shorthand.Collectd != "" {
		file.Collectd = append(file.Collectd, operatorconfig.Collectd{
			Socket:         shorthand.Collectd,
			Security:       "none",
			TimeoutSeconds: operatorconfig.DefaultTimeoutSeconds,
		})
	}
	if shorthand.Interval > 0 {
		file.Telemetry.IntervalSeconds = shorthand.Interval
	}
	c.Operator = file
	c.shorthand = shorthand
	return nil
}

// classNames returns the names of the classes, in the order of the settings.
func (c *Config) classNames() []string {
	names := make([]string, len(c.dispatcherSettings.Categories))
	for i, class := range c.dispatcherSettings.Categories {
		names[i] = class.Name
	}
	return names
}

// ReadConfig reads and checks the configuration file at path. env looks a variable of the environment up; those that are
// set take precedence over the file. The result has the default operator's file and no Gearman front until
// [Config.ReadOperator] and [Config.ReadGearman] add them.
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
	c.overrideFrom(env)
	if err := c.parseAddresses(); err != nil {
		return nil, err
	}
	if fd := env("ROUTER_FD"); fd != "" {
		if c.inheritedFD, err = strconv.Atoi(fd); err != nil || c.inheritedFD < firstInheritableFD {
			return nil, c.keyError("ROUTER_FD", fmt.Errorf("%q is no descriptor to inherit", fd))
		}
	}
	if c.Seed != "" {
		if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return nil, c.keyError("seed", err)
		}
	}
	if err := c.parseSettings(); err != nil {
		return nil, err
	}
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	return &c, nil
}

// overrideFrom replaces values of the file by those that the environment sets.
func (c *Config) overrideFrom(env func(string) string) {
	for _, variable := range []struct {
		name  string
		value *string
	}{
		{"ROUTER_NAME", &c.Name},
		{"ROUTER_LISTEN", &c.Listen},
		{"ROUTER_DISCOVERY", &c.Discovery},
		{"ROUTER_CONSOLE", &c.Console},
	} {
		if s := env(variable.name); s != "" {
			*variable.value = s
		}
	}
}

// parseAddresses parses the addresses; one that is empty stays invalid.
func (c *Config) parseAddresses() (err error) {
	for _, address := range []struct {
		name, text string
		parsed     *netip.AddrPort
	}{
		{"listen", c.Listen, &c.listen},
		{"discovery", c.Discovery, &c.discovery},
		{"console", c.Console, &c.console},
	} {
		if address.text == "" {
			continue
		}
		if *address.parsed, err = netip.ParseAddrPort(address.text); err != nil {
			return c.keyError(address.name, err)
		}
	}
	return nil
}

// parseSettings reads the shared settings twice: for the balancer, and for what the dispatcher itself needs of them.
func (c *Config) parseSettings() (err error) {
	if c.balancerSettings, err = settings.Parse(c.Settings); err != nil {
		return &configerror.Error{File: configFile, Path: c.path, Err: err}
	}
	if _, err := loadbalancer.New(c.balancerSettings, c.seed, nil); err != nil { // checks them
		return &configerror.Error{File: configFile, Path: c.path, Err: settings.Explain(err)}
	}
	if err := json.Unmarshal(c.Settings, &c.dispatcherSettings); err != nil {
		return c.keyError("settings", err)
	}
	if seconds := c.dispatcherSettings.Limits.ConnectTimeoutS; seconds <= 0 {
		return c.keyError("settings.limits.connectTimeoutS", fmt.Errorf("%v is not above 0", seconds))
	}
	if seconds := c.dispatcherSettings.Limits.ConnIdleS; seconds <= 0 {
		return c.keyError("settings.limits.connIdleS", fmt.Errorf("%v is not above 0", seconds))
	}
	return nil
}

// checkLimits checks the limits of the deployment and fills in the default.
func (c *Config) checkLimits() error {
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSocketLimit
	}
	if c.Limits.Sockets <= reservedDescriptors {
		return c.keyError("limits.sockets", fmt.Errorf("%d is too few, more than %d are needed", c.Limits.Sockets, reservedDescriptors))
	}
	if c.Limits.MemoryMB < 0 {
		return c.keyError("limits.memory_mb", fmt.Errorf("%d is below 0", c.Limits.MemoryMB))
	}
	return nil
}

// tempPath returns the path in $TMPDIR of a file of this dispatcher's own, empty without a $TMPDIR. Successive processes of
// one dispatcher find each other's files by it: it depends on nothing but name, listening address and kind, the suffix.
func (c *Config) tempPath(kind string) string {
	if c.tempDir == "" {
		return ""
	}
	name := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, cmp.Or(c.Name, "cinderroad")+"-"+c.Listen)
	name = name[:min(len(name), maxFileNameLength)]
	return filepath.Join(c.tempDir, name+kind)
}
