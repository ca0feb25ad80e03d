package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"

	"cinderroad/internal/shared/lease"
)

// Cluster is the section [fleet]: the dispatcher's membership in the cluster of dispatchers that share the workers.
type Cluster struct {
	// Name of the cluster. Messages of members with another name are ignored.
	Name string `toml:"name"`
	// Bind is the UDP address and port to listen on; Advertise is the one that other members are told, Bind if empty.
	Bind      string `toml:"bind"`
	Advertise string `toml:"advertise"`
	// Seeds are addresses of members to join through. The member's own may be among them.
	Seeds []string `toml:"seeds"`
	// ProbeIntervalSeconds is the time between two probes of a member. It must be the same at all members.
	ProbeIntervalSeconds float64 `toml:"period_s"`
	// RetentionSeconds is how long a dead member stays in the membership.
	RetentionSeconds float64 `toml:"forget_s"`
	// Complete says that all dispatchers are members. False, while membership is being rolled out, makes the number of
	// instances in the settings the least that is assumed. Never nil in a checked Config.
	Complete *bool `toml:"whole"`
	// DiscoveryID names the discovery service whose list versions members compare; empty: its address.
	DiscoveryID string `toml:"discovery"`
	// AuditLogPath is the file of the audit log; empty: the request log's path with auditLogSuffix, none without one.
	AuditLogPath string `toml:"ledger"`
	// LeaseSeconds is for how long a member that others leave behind may accept work without contact to discovery. It
	// must be the same at all members.
	LeaseSeconds float64 `toml:"lease_s"`

	// Set from Bind, Advertise and Seeds when the file is checked.
	ParsedBind      netip.AddrPort   `toml:"-"`
	ParsedAdvertise netip.AddrPort   `toml:"-"`
	ParsedSeeds     []netip.AddrPort `toml:"-"`
}

// Defaults and bounds of the section [fleet], as in deploy/operator.toml.
const (
	DefaultProbeIntervalSeconds  = 1.0
	DefaultRetentionSeconds      = 3600.0
	minProbeIntervalSeconds      = 0.1
	maxProbeIntervalSeconds      = 10
	minRetentionSeconds          = 60
	maxRetentionSeconds          = 7 * 24 * 3600
	maxLeaseSeconds              = 3600
	discoveryWatchTimeoutSeconds = 5.0 // after which a silent watch of discovery counts as dead
	maxSeeds                     = 64
	maxNameBytes                 = 64 // of the cluster name and the discovery id

	auditLogSuffix = ".ledger"
)

// validate checks the section, applies defaults and parses addresses.
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
		return errorAt("name", errors.New("is required: members with another cluster name are ignored"))
	case len(c.Name) > maxNameBytes:
		return errorAt("name", fmt.Errorf("has %d bytes; %d at most", len(c.Name), maxNameBytes))
	case c.Bind == "":
		return errorAt("bind", errors.New(`is required, for example "127.0.0.1:7946"`))
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
		return errorAt(key, fmt.Errorf("%s is not reachable by other members: set advertise", c.ParsedAdvertise.Addr()))
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
	err := validateSeconds(&c.ProbeIntervalSeconds, DefaultProbeIntervalSeconds, minProbeIntervalSeconds, maxProbeIntervalSeconds)
	if err != nil {
		return errorAt("period_s", err)
	}
	err = validateSeconds(&c.RetentionSeconds, DefaultRetentionSeconds, minRetentionSeconds, maxRetentionSeconds)
	if err != nil {
		return errorAt("forget_s", err)
	}
	defaultLease := lease.Term(discoveryWatchTimeoutSeconds, c.ProbeIntervalSeconds)
	minLease := lease.MinTerm(discoveryWatchTimeoutSeconds, c.ProbeIntervalSeconds)
	err = validateSeconds(&c.LeaseSeconds, defaultLease, minLease, maxLeaseSeconds)
	if err != nil {
		return errorAt("lease_s", err)
	}
	return nil
}
