package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"

	"cinderroad/internal/shared/lease"
)

// Cluster is how the dispatcher is a member of its fleet.
type Cluster struct {
	Name                 string   `toml:"name"`
	Bind                 string   `toml:"bind"`
	Advertise            string   `toml:"advertise"`
	Seeds                []string `toml:"seeds"`
	ProbeIntervalSeconds float64  `toml:"period_s"`
	RetentionSeconds     float64  `toml:"forget_s"`
	Complete             *bool    `toml:"whole"`
	DiscoveryID          string   `toml:"discovery"`
	AuditLogPath         string   `toml:"ledger"`
	LeaseSeconds         float64  `toml:"lease_s"`

	ParsedBind      netip.AddrPort   `toml:"-"`
	ParsedAdvertise netip.AddrPort   `toml:"-"`
	ParsedSeeds     []netip.AddrPort `toml:"-"`
}

// The defaults and bounds, which deploy/operator.toml tells, too.
const (
	DefaultProbeIntervalSeconds = 1.0    // seconds
	DefaultRetentionSeconds     = 3600.0 // seconds
	leastPeriod                 = 0.1    // seconds
	mostPeriod                  = 10     // seconds
	leastForget                 = 60     // seconds
	mostForget                  = 7 * 24 * 3600
	mostLease                   = 3600 // seconds
	watchSilence                = 5.0  // seconds after which a watch of discovery counts as dead
	mostSeeds                   = 64
	mostFleetName               = 64 // bytes
)

func (f *Cluster) check(wrong sectionError) error {
	if err := f.checkNames(wrong); err != nil {
		return err
	}
	if err := f.checkAddresses(wrong); err != nil {
		return err
	}
	if err := f.checkTimes(wrong); err != nil {
		return err
	}
	if len(f.DiscoveryID) > mostFleetName {
		return wrong("discovery", fmt.Errorf("has %d bytes; %d at most", len(f.DiscoveryID), mostFleetName))
	}
	if f.Complete == nil {
		whole := true
		f.Complete = &whole
	}
	return nil
}

func (f *Cluster) checkNames(wrong sectionError) error {
	switch {
	case f.Name == "":
		return wrong("name", errors.New("must be there: members that name another fleet are not heard"))
	case len(f.Name) > mostFleetName:
		return wrong("name", fmt.Errorf("has %d bytes; %d at most", len(f.Name), mostFleetName))
	case f.Bind == "":
		return wrong("bind", errors.New(`must be there, like "127.0.0.1:7946"`))
	}
	return nil
}

func (f *Cluster) checkAddresses(wrong sectionError) (err error) {
	if f.ParsedBind, err = parseAddress(f.Bind); err != nil {
		return wrong("bind", err)
	}
	f.ParsedAdvertise = f.ParsedBind
	if f.Advertise != "" {
		if f.ParsedAdvertise, err = parseAddress(f.Advertise); err != nil {
			return wrong("advertise", err)
		}
	}
	if f.ParsedAdvertise.Addr().IsUnspecified() {
		key := "advertise"
		if f.Advertise == "" {
			key = "bind"
		}
		return wrong(key, fmt.Errorf("%s is no address that others can reach: name one in advertise", f.ParsedAdvertise.Addr()))
	}
	return f.checkSeeds(wrong)
}

func (f *Cluster) checkSeeds(wrong sectionError) error {
	if len(f.Seeds) > mostSeeds {
		return wrong("seeds", fmt.Errorf("%d; %d at most", len(f.Seeds), mostSeeds))
	}
	f.ParsedSeeds = nil
	for _, seed := range f.Seeds {
		address, err := parseAddress(seed)
		if err != nil {
			return wrong("seeds", err)
		}
		f.ParsedSeeds = append(f.ParsedSeeds, address)
	}
	return nil
}

func (f *Cluster) checkTimes(wrong sectionError) error {
	if err := checkSeconds(&f.ProbeIntervalSeconds, DefaultProbeIntervalSeconds, leastPeriod, mostPeriod); err != nil {
		return wrong("period_s", err)
	}
	if err := checkSeconds(&f.RetentionSeconds, DefaultRetentionSeconds, leastForget, mostForget); err != nil {
		return wrong("forget_s", err)
	}
	least := lease.MinTerm(watchSilence, f.ProbeIntervalSeconds)
	if err := checkSeconds(&f.LeaseSeconds, lease.Term(watchSilence, f.ProbeIntervalSeconds), least, mostLease); err != nil {
		return wrong("lease_s", err)
	}
	return nil
}
