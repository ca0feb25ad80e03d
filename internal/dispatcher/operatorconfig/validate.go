package operatorconfig

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
)

// validate checks all sections, applies defaults and resolves relative paths. It returns the first error, an *Error.
func (c *Config) validate() error {
	if err := c.validateGraphite(); err != nil {
		return err
	}
	if err := c.validateCollectd(); err != nil {
		return err
	}
	if err := c.Telemetry.validate(c.sectionErrors("telemetry")); err != nil {
		return err
	}
	c.Telemetry.SpoolDir = c.resolvePath(c.Telemetry.SpoolDir)
	if c.RequestLog != nil {
		if err := c.RequestLog.validate(c.sectionErrors("request_log")); err != nil {
			return err
		}
		c.RequestLog.Path = c.resolvePath(c.RequestLog.Path)
	}
	if err := c.validateCluster(); err != nil {
		return err
	}
	return c.validateDistinctReceivers()
}

// validateGraphite checks the receivers [graphite] and their shared interval.
func (c *Config) validateGraphite() error {
	for i := range c.Graphite {
		if err := c.adoptInterval(i); err != nil {
			return err
		}
		if err := c.Graphite[i].validate(c.sectionErrors(fmt.Sprintf("graphite[%d]", i))); err != nil {
			return err
		}
	}
	return nil
}

// adoptInterval makes a receiver's interval that of all receivers: an interval is closed once, for all of them, so two
// different ones are an error.
func (c *Config) adoptInterval(index int) error {
	interval := c.Graphite[index].IntervalSeconds
	if interval == 0 {
		return nil
	}
	if shared := c.Telemetry.IntervalSeconds; shared != 0 && shared != interval {
		return c.keyError(fmt.Sprintf("graphite[%d].every_s", index),
			fmt.Errorf("%v, and %v elsewhere: all receivers share one period", interval, shared))
	}
	c.Telemetry.IntervalSeconds = interval
	return nil
}

// validateCollectd checks the receivers [collectd].
func (c *Config) validateCollectd() error {
	for i := range c.Collectd {
		receiver := &c.Collectd[i]
		receiver.PasswordFile = c.resolvePath(receiver.PasswordFile)
		if err := receiver.validate(c.sectionErrors(fmt.Sprintf("collectd[%d]", i))); err != nil {
			return err
		}
	}
	return nil
}

// validateCluster checks [fleet] and sets the path of the audit log. The request log must have been checked before.
func (c *Config) validateCluster() error {
	if c.Cluster == nil {
		return nil
	}
	if err := c.Cluster.validate(c.sectionErrors("fleet")); err != nil {
		return err
	}
	switch {
	case c.Cluster.AuditLogPath != "":
		c.Cluster.AuditLogPath = c.resolvePath(c.Cluster.AuditLogPath)
	case c.RequestLog != nil:
		c.Cluster.AuditLogPath = c.RequestLog.Path + auditLogSuffix
	}
	return nil
}

// validateDistinctReceivers rejects a receiver that is listed twice: it would get every point twice, and the delivery
// progress of a receiver is stored under its address.
func (c *Config) validateDistinctReceivers() error {
	seen := map[string]bool{}
	for i, receiver := range c.Graphite {
		name := receiver.ParsedAddress.String()
		if seen[name] {
			return c.keyError(fmt.Sprintf("graphite[%d].address", i), fmt.Errorf("duplicate receiver %s", name))
		}
		seen[name] = true
	}
	clear(seen)
	for i, receiver := range c.Collectd {
		key, name := "socket", receiver.Socket
		if receiver.Address != "" {
			key = "address"
			name = receiver.ParsedAddress.String()
		}
		if seen[name] {
			return c.keyError(fmt.Sprintf("collectd[%d].%s", i, key), fmt.Errorf("duplicate receiver %s", name))
		}
		seen[name] = true
	}
	return nil
}

// resolvePath resolves a relative path against the file's folder; an empty one stays empty.
func (c *Config) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(c.path), path)
}

// parseAddress parses an IP address with a port other than 0.
func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return address, fmt.Errorf("%q is no IP address and port, like 127.0.0.1:7946", text)
	case address.Port() == 0:
		return address, fmt.Errorf("%s has no port", text)
	}
	return address, nil
}

// validateChoice checks that *value is one of the choices. An empty one is set to the first.
func validateChoice(value *string, choices ...string) error {
	if *value == "" {
		*value = choices[0]
	}
	if slices.Contains(choices, *value) {
		return nil
	}
	return fmt.Errorf("%q is not one of %s", *value, strings.Join(choices, ", "))
}

// validateSeconds checks that *value is within the bounds, both included. A value of 0 is set to the fallback.
func validateSeconds(value *float64, fallback, minimum, maximum float64) error {
	if *value == 0 {
		*value = fallback
	}
	if !(*value >= minimum && *value <= maximum) { // negated, so that NaN is rejected too
		return fmt.Errorf("%v is not within %v and %v seconds", *value, minimum, maximum)
	}
	return nil
}
