package operatorconfig

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
)

// check sets defaults, makes relative paths the file's own and returns the first error, an *Error.
func (f *Config) check() error {
	if err := f.checkGraphite(); err != nil {
		return err
	}
	if err := f.checkCollectd(); err != nil {
		return err
	}
	if err := f.Telemetry.check(f.section("telemetry")); err != nil {
		return err
	}
	f.Telemetry.SpoolDir = f.relative(f.Telemetry.SpoolDir)
	if f.RequestLog != nil {
		if err := f.RequestLog.check(f.section("request_log")); err != nil {
			return err
		}
		f.RequestLog.Path = f.relative(f.RequestLog.Path)
	}
	if err := f.checkFleet(); err != nil {
		return err
	}
	return f.checkDistinct()
}

func (f *Config) checkGraphite() error {
	for i := range f.Graphite {
		if err := f.sharePeriod(i); err != nil {
			return err
		}
		if err := f.Graphite[i].check(f.section(fmt.Sprintf("graphite[%d]", i))); err != nil {
			return err
		}
	}
	return nil
}

// sharePeriod takes a receiver's period for that of all: each period is closed once.
func (f *Config) sharePeriod(receiver int) error {
	every := f.Graphite[receiver].IntervalSeconds
	if every == 0 {
		return nil
	}
	if shared := f.Telemetry.IntervalSeconds; shared != 0 && shared != every {
		return f.keyError(fmt.Sprintf("graphite[%d].every_s", receiver),
			fmt.Errorf("%v, and %v elsewhere: all receivers share one period", every, shared))
	}
	f.Telemetry.IntervalSeconds = every
	return nil
}

func (f *Config) checkCollectd() error {
	for i := range f.Collectd {
		receiver := &f.Collectd[i]
		receiver.PasswordFile = f.relative(receiver.PasswordFile)
		if err := receiver.check(f.section(fmt.Sprintf("collectd[%d]", i))); err != nil {
			return err
		}
	}
	return nil
}

func (f *Config) checkFleet() error {
	if f.Cluster == nil {
		return nil
	}
	if err := f.Cluster.check(f.section("fleet")); err != nil {
		return err
	}
	switch {
	case f.Cluster.AuditLogPath != "":
		f.Cluster.AuditLogPath = f.relative(f.Cluster.AuditLogPath)
	case f.RequestLog != nil:
		f.Cluster.AuditLogPath = f.RequestLog.Path + ".ledger"
	}
	return nil
}

// checkDistinct says which two receivers are one: each would get every point twice, and what one has got is kept by its
// name.
func (f *Config) checkDistinct() error {
	seen := map[string]bool{}
	for i, receiver := range f.Graphite {
		name := receiver.ParsedAddress.String()
		if seen[name] {
			return f.keyError(fmt.Sprintf("graphite[%d].address", i), fmt.Errorf("%s is there twice", name))
		}
		seen[name] = true
	}
	clear(seen)
	for i, receiver := range f.Collectd {
		key, name := "socket", receiver.Socket
		if receiver.Address != "" {
			key, name = "address", receiver.ParsedAddress.String()
		}
		if seen[name] {
			return f.keyError(fmt.Sprintf("collectd[%d].%s", i, key), fmt.Errorf("%s is there twice", name))
		}
		seen[name] = true
	}
	return nil
}

// relative is a path of the file, which counts from the file's folder.
func (f *Config) relative(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.path), path)
}

// parseAddress reads an IP address with a port.
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

// checkChoice checks that a value is one of several, and sets the first one where it is empty.
func checkChoice(value *string, choices ...string) error {
	if *value == "" {
		*value = choices[0]
	}
	if slices.Contains(choices, *value) {
		return nil
	}
	return fmt.Errorf("%q is none of %s", *value, strings.Join(choices, ", "))
}

// checkSeconds checks that a value is within bounds, both included, and sets the fallback where it is 0.
func checkSeconds(value *float64, fallback, least, most float64) error {
	if *value == 0 {
		*value = fallback
	}
	if !(*value >= least && *value <= most) { // which no comparison with NaN is
		return fmt.Errorf("%v is not within %v and %v seconds", *value, least, most)
	}
	return nil
}
