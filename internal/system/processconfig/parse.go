package processconfig

import (
	"fmt"
	"os"
	"time"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// Load reads the settings file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, &MissingPathError{}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("environment: read the settings that %s names: %w", PathVariable, err)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("environment: settings in %s: %w", path, err)
	}
	return settings, nil
}

// MissingPathError says that the environment names no settings file.
type MissingPathError struct{}

// Error says what to do.
func (e *MissingPathError) Error() string {
	return "environment: set " + PathVariable + " to the path of the settings file"
}

// Parse reads settings. All that is wrong with them comes together, in a *findings.Error.
func Parse(data []byte) (*Settings, error) {
	var problems validation.Problems
	settings := &Settings{Timing: defaultTiming(), Zones: map[string]string{}}
	root, ok := jsonfield.Parse(data, &problems)
	if ok {
		root.ReadObject(settings.readField)
		settings.validate(&problems)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// defaultTiming holds for fields that the file lacks: the shorter of plausible bounds, and no budget that is not
// given.
func defaultTiming() Timing {
	return Timing{
		SeedLag: 3 * time.Second, ReuseAfter: 2 * time.Second, InTouch: 4 * time.Second,
		AckWithin: 5 * time.Second, CatchUp: 4 * time.Second, DrainWithin: 3 * time.Second,
		GracePeriod: 8 * time.Second, LostSlack: 200 * time.Millisecond,
		ConfigWithin: 2500 * time.Millisecond, GoBack: 250 * time.Millisecond, Stretch: 6 * time.Second,
		Evacuate: 5 * time.Second, Recovery: 12 * time.Second, Pass: 250 * time.Millisecond, TTLMax: 5 * time.Second,
		RetryRatio: 0.1, RetryWindow: 10 * time.Second, RetryExtra: 0, SlowStartRateFactor: 1, SlowStartRateAllowance: 0,
	}
}

func (s *Settings) validate(problems *validation.Problems) {
	if s.Node == "" {
		problems.Add("node", "is missing or empty")
	}
	if !s.IP.IsValid() {
		problems.Add("ip", "is missing or not an IP address")
	}
	if s.FreePorts.First == 0 || s.FreePorts.Last < s.FreePorts.First {
		problems.Add("free_ports", "must be the first and the last port of a range")
	}
}

func (s *Settings) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	switch name {
	case "node":
		s.Node, _ = value.Text()
	case "role":
		s.Role, _ = value.Text()
	case "machine_class":
		s.MachineClass, _ = value.Text()
	case "serves_roles":
		s.ServesRoles, _ = value.Texts()
	case "ip":
		s.IP, _ = value.Addr()
	case "zone":
		s.Zone, _ = value.Text()
	case "region":
		s.Region, _ = value.Text()
	case "zones":
		value.ReadObject(s.readZone)
	case "listen_on":
		value.ReadObject(s.ListenOn.readField)
	case "free_ports":
		value.ReadArray(s.FreePorts.readPort)
	case "seed_nodes":
		value.ReadArray(s.readSeedNode)
	case "first_boot":
		s.FirstBoot, _ = value.Bool()
	case "counts_as_loss":
		s.CountsAsLoss, _ = value.Bool()
	case "limits":
		value.ReadObject(s.Limits.readField)
	case "state_dir":
		s.StateDir, _ = value.Text()
	case "survive":
		value.ReadObject(s.SurvivableLosses.readField)
	case "timing":
		value.ReadObject(s.Timing.readField)
	case "cloud_api":
		value.ReadObject(s.CloudAPI.readField)
	}
}

func (s *Settings) readZone(zone string, value jsonfield.Value) {
	if region, ok := value.Text(); ok {
		s.Zones[zone] = region
	}
}

func (s *Settings) readSeedNode(_ int, value jsonfield.Value) {
	if address, ok := value.AddrPort(); ok {
		s.SeedNodes = append(s.SeedNodes, address)
	}
}

func (l *Listen) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	switch name {
	case "front":
		l.Front, _ = value.AddrPort()
	case "ready":
		l.Ready, _ = value.AddrPort()
	case "control":
		l.Control, _ = value.AddrPort()
	case "directory":
		l.Directory, _ = value.AddrPort()
	}
}

func (p *PortRange) readPort(index int, value jsonfield.Value) {
	port, ok := value.Int()
	if !ok {
		return
	}
	if port < 1 || port > 65535 {
		value.AddProblem("must be a port, 1 to 65535")
		return
	}
	switch index {
	case 0:
		p.First = uint16(port)
	case 1:
		p.Last = uint16(port)
	}
}

func (l *Limits) readField(name string, value jsonfield.Value) {
	switch name {
	case "cpu_fraction":
		l.CPUFraction = readNonNegativeOrNull(value)
	case "ram_mb":
		l.RAMMB = int(readNonNegativeOrNull(value))
	case "open_files":
		l.OpenFiles = int(readNonNegativeOrNull(value))
	case "link_mbps":
		l.LinkMbps = readNonNegativeOrNull(value)
	case "storage_mb":
		l.StorageMB = int(readNonNegativeOrNull(value))
	}
}

func (s *SurvivableLosses) readField(name string, value jsonfield.Value) {
	switch name {
	case "machine_losses":
		s.Machines = int(readNonNegativeOrNull(value))
	case "zones":
		s.Zones = int(readNonNegativeOrNull(value))
	case "region_losses":
		s.Regions = int(readNonNegativeOrNull(value))
	}
}

func (t *Timing) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	if figure := t.numberField(name); figure != nil {
		*figure = readNonNegativeOrNull(value)
		return
	}
	base, unit := jsonfield.SplitDurationUnit(name)
	if bound := t.durationField(base); bound != nil && unit > 0 {
		*bound, _ = value.Duration(unit)
	}
}

func (t *Timing) numberField(name string) *float64 {
	switch name {
	case "retry_ratio":
		return &t.RetryRatio
	case "retry_extra":
		return &t.RetryExtra
	case "cold_excess":
		return &t.SlowStartRateFactor
	case "cold_slack":
		return &t.SlowStartRateAllowance
	}
	return nil
}

func (t *Timing) durationField(base string) *time.Duration {
	bounds := map[string]*time.Duration{
		"seed_lag": &t.SeedLag, "reuse_after": &t.ReuseAfter, "in_touch": &t.InTouch, "ack_within": &t.AckWithin,
		"catch_up": &t.CatchUp, "drain_within": &t.DrainWithin, "grace_period": &t.GracePeriod,
		"lost_slack": &t.LostSlack, "config_within": &t.ConfigWithin, "go_back": &t.GoBack, "stretch": &t.Stretch,
		"evacuate": &t.Evacuate, "recovery": &t.Recovery, "pass": &t.Pass, "ttl_max": &t.TTLMax,
		"retry_window": &t.RetryWindow,
	}
	return bounds[base]
}

func (c *CloudAPI) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	base, unit := jsonfield.SplitDurationUnit(name)
	switch {
	case name == "address":
		c.Address, _ = value.AddrPort()
	case name == "rate_per_s":
		c.CallsPerSecond = readNonNegativeOrNull(value)
	case base == "max_lag" && unit > 0:
		c.MaxLag, _ = value.Duration(unit)
	}
}

// readNonNegativeOrNull is a number that is not negative; null is 0.
func readNonNegativeOrNull(value jsonfield.Value) float64 {
	if value.IsNull() {
		return 0
	}
	number, _ := value.NonNegativeFloat()
	return number
}
