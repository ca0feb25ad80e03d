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
	DefaultProbeIntervalSeconds  = 1.0    // seconds
	DefaultRetentionSeconds      = 3600.0 // seconds
	minProbeIntervalSeconds      = 0.1    // seconds
	maxProbeIntervalSeconds      = 10     // seconds
	minRetentionSeconds          = 60     // seconds
	maxRetentionSeconds          = 7 * 24 * 3600
	maxLeaseSeconds              = 3600 // seconds
	discoveryWatchTimeoutSeconds = 5.0  // seconds after which a watch of discovery counts as dead
	maxSeeds                     = 64
	maxNameBytes                 = 64 // bytes
)

func (c *Cluster) validate(errorAt keyErrorFunc) error {
	if err := c.validateNames(errorAt); err != nil {
		return err
	}
	if err := c.validateAddresses(errorAt); err != nil {
		return err
	}
	if err := c.validateTimes(errorAt); err != nil {
		return err
	}
	if len(c.DiscoveryID) > maxNameBytes {
		return errorAt("discovery", fmt.Errorf("has %d bytes; %d at most", len(c.DiscoveryID), maxNameBytes))
	}
	if c.Complete == nil {
		complete := true
		c.Complete = &complete
	}
	return nil
}

func (c *Cluster) validateNames(errorAt keyErrorFunc) error {
	switch {
	case c.Name == "":
		return errorAt("name", errors.New("must be there: members that name another fleet are not heard"))
	case len(c.Name) > maxNameBytes:
		return errorAt("name", fmt.Errorf("has %d bytes; %d at most", len(c.Name), maxNameBytes))
	case c.Bind == "":
		return errorAt("bind", errors.New(`must be there, like "127.0.0.1:7946"`))
	}
	return nil
}

func (c *Cluster) validateAddresses(errorAt keyErrorFunc) (err error) {
	if c.ParsedBind, err = parseAddress(c.Bind); err != nil {
		return errorAt("bind", err)
	}
	c.ParsedAdvertise = c.ParsedBind
	if c.Advertise != "" {
		if c.ParsedAdvertise, err = parseAddress(c.Advertise); err != nil {
			return errorAt("advertise", err)
		}
	}
	if c.ParsedAdvertise.Addr().IsUnspecified() {
		key := "advertise"
		if c.Advertise == "" {
			key = "bind"
		}
		return errorAt(key, fmt.Errorf("%s is no address that others can reach: name one in advertise", c.ParsedAdvertise.Addr()))
	}
	return c.validateSeeds(errorAt)
}

func (c *Cluster) validateSeeds(errorAt keyErrorFunc) error {
	if len(c.Seeds) > maxSeeds {
		return errorAt("seeds", fmt.Errorf("%d; %d at most", len(c.Seeds), maxSeeds))
	}
	c.ParsedSeeds = nil
	for _, seed := range c.Seeds {
		address, err := parseAddress(seed)
		if err != nil {
			return errorAt("seeds", err)
		}
		c.ParsedSeeds = append(c.ParsedSeeds, address)
	}
	return nil
}

func (c *Cluster) validateTimes(errorAt keyErrorFunc) error {
	if err := validateSeconds(&c.ProbeIntervalSeconds, DefaultProbeIntervalSeconds, minProbeIntervalSeconds, maxProbeIntervalSeconds); err != nil {
		return errorAt("period_s", err)
	}
	if err := validateSeconds(&c.RetentionSeconds, DefaultRetentionSeconds, minRetentionSeconds, maxRetentionSeconds); err != nil {
		return errorAt("forget_s", err)
	}
	minLease := lease.MinTerm(discoveryWatchTimeoutSeconds, c.ProbeIntervalSeconds)
	if err := validateSeconds(&c.LeaseSeconds, lease.Term(discoveryWatchTimeoutSeconds, c.ProbeIntervalSeconds), minLease, maxLeaseSeconds); err != nil {
		return errorAt("lease_s", err)
	}
	return nil
}
