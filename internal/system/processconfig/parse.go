package processconfig

import (
	"math"
	"strconv"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// Parse parses a settings file. An error is a *validation.Error with all problems.
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

// readField reads a top-level field of the settings. Unknown fields and null ones are ignored.
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
	case "promises":
		s.Promises, _ = value.Texts()
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

func (l *Limits) readField(name string, value jsonfield.Value) {
	switch name {
	case "cpu_fraction":
		l.CPUFraction = readNonNegativeOrNull(value)
	case "ram_mb":
		l.RAMMB = readCountOrNull(value)
	case "open_files":
		l.OpenFiles = readCountOrNull(value)
	case "link_mbps":
		l.LinkMbps = readNonNegativeOrNull(value)
	case "storage_mb":
		l.StorageMB = readCountOrNull(value)
	}
}

func (s *SurvivableLosses) readField(name string, value jsonfield.Value) {
	switch name {
	case "machine_losses":
		s.Machines = readCountOrNull(value)
	case "zones":
		s.Zones = readCountOrNull(value)
	case "region_losses":
		s.Regions = readCountOrNull(value)
	}
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

// maxCount is the largest count that a field may hold.
const maxCount = math.MaxInt32

// readCountOrNull reads a count, of which a fraction is dropped; null is 0.
func readCountOrNull(value jsonfield.Value) int {
	number := readNonNegativeOrNull(value)
	if number > maxCount {
		value.AddProblem("must be at most " + strconv.Itoa(maxCount))
		return 0
	}
	return int(number)
}

// readNonNegativeOrNull reads a number that is not negative; null is 0.
func readNonNegativeOrNull(value jsonfield.Value) float64 {
	if value.IsNull() {
		return 0
	}
	number, _ := value.NonNegativeFloat()
	return number
}
