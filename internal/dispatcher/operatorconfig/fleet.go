package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"

	"cinderroad/internal/shared/lease"
)

// Fleet is how the dispatcher is a member of its fleet.
type Fleet struct {
	Name      string   `toml:"name"`
	Bind      string   `toml:"bind"`
	Advertise string   `toml:"advertise"`
	Seeds     []string `toml:"seeds"`
	Period    float64  `toml:"period_s"`
	Forget    float64  `toml:"forget_s"`
	Whole     *bool    `toml:"whole"`
	Discovery string   `toml:"discovery"`
	Ledger    string   `toml:"ledger"`
	Lease     float64  `toml:"lease_s"`

	BindAddr      netip.AddrPort   `toml:"-"`
	AdvertiseAddr netip.AddrPort   `toml:"-"`
	SeedAddrs     []netip.AddrPort `toml:"-"`
}

// The defaults and bounds, which deploy/operator.toml tells, too.
const (
	DefaultPeriod = 1.0    // seconds
	DefaultForget = 3600.0 // seconds
	leastPeriod   = 0.1    // seconds
	mostPeriod    = 10     // seconds
	leastForget   = 60     // seconds
	mostForget    = 7 * 24 * 3600
	mostLease     = 3600 // seconds
	watchSilence  = 5.0  // seconds after which a watch of discovery counts as dead
	mostSeeds     = 64
	mostFleetName = 64 // bytes
)

func (f *Fleet) check(wrong sectionError) error {
	if err := f.checkNames(wrong); err != nil {
		return err
	}
	if err := f.checkAddresses(wrong); err != nil {
		return err
	}
	if err := f.checkTimes(wrong); err != nil {
		return err
	}
	if len(f.Discovery) > mostFleetName {
		return wrong("discovery", fmt.Errorf("has %d bytes; %d at most", len(f.Discovery), mostFleetName))
	}
	if f.Whole == nil {
		whole := true
		f.Whole = &whole
	}
	return nil
}

func (f *Fleet) checkNames(wrong sectionError) error {
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

func (f *Fleet) checkAddresses(wrong sectionError) (err error) {
	if f.BindAddr, err = parseAddress(f.Bind); err != nil {
		return wrong("bind", err)
	}
	f.AdvertiseAddr = f.BindAddr
	if f.Advertise != "" {
		if f.AdvertiseAddr, err = parseAddress(f.Advertise); err != nil {
			return wrong("advertise", err)
		}
	}
	if f.AdvertiseAddr.Addr().IsUnspecified() {
		key := "advertise"
		if f.Advertise == "" {
			key = "bind"
		}
		return wrong(key, fmt.Errorf("%s is no address that others can reach: name one in advertise", f.AdvertiseAddr.Addr()))
	}
	return f.checkSeeds(wrong)
}

func (f *Fleet) checkSeeds(wrong sectionError) error {
	if len(f.Seeds) > mostSeeds {
		return wrong("seeds", fmt.Errorf("%d; %d at most", len(f.Seeds), mostSeeds))
	}
	f.SeedAddrs = nil
	for _, seed := range f.Seeds {
		address, err := parseAddress(seed)
		if err != nil {
			return wrong("seeds", err)
		}
		f.SeedAddrs = append(f.SeedAddrs, address)
	}
	return nil
}

func (f *Fleet) checkTimes(wrong sectionError) error {
	if err := checkSeconds(&f.Period, DefaultPeriod, leastPeriod, mostPeriod); err != nil {
		return wrong("period_s", err)
	}
	if err := checkSeconds(&f.Forget, DefaultForget, leastForget, mostForget); err != nil {
		return wrong("forget_s", err)
	}
	least := lease.MinTerm(watchSilence, f.Period)
	if err := checkSeconds(&f.Lease, lease.Term(watchSilence, f.Period), least, mostLease); err != nil {
		return wrong("lease_s", err)
	}
	return nil
}
