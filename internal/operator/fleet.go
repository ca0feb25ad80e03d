package operator

import (
	"errors"
	"fmt"
	"net/netip"

	"cinderroad/internal/fleet/lease"
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
	DefaultPeriod = 1.0
	DefaultForget = 3600.0
	watchSilence  = 5.0 // seconds after which a watch of discovery counts as dead
	mostSeeds     = 64
	mostFleetName = 64
)

func (f *Fleet) check(wrong wrong) (err error) {
	switch {
	case f.Name == "":
		return wrong("name", errors.New("must be there: members that name another fleet are not heard"))
	case len(f.Name) > mostFleetName:
		return wrong("name", fmt.Errorf("has %d bytes; %d at most", len(f.Name), mostFleetName))
	case f.Bind == "":
		return wrong("bind", errors.New(`must be there, like "127.0.0.1:7946"`))
	}
	if f.BindAddr, err = address(f.Bind); err != nil {
		return wrong("bind", err)
	}
	f.AdvertiseAddr = f.BindAddr
	if f.Advertise != "" {
		if f.AdvertiseAddr, err = address(f.Advertise); err != nil {
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
	if len(f.Seeds) > mostSeeds {
		return wrong("seeds", fmt.Errorf("%d; %d at most", len(f.Seeds), mostSeeds))
	}
	f.SeedAddrs = nil
	for _, seed := range f.Seeds {
		a, err := address(seed)
		if err != nil {
			return wrong("seeds", err)
		}
		f.SeedAddrs = append(f.SeedAddrs, a)
	}
	if err := seconds(&f.Period, DefaultPeriod, 0.1, 10); err != nil {
		return wrong("period_s", err)
	}
	if err := seconds(&f.Forget, DefaultForget, 60, 7*24*3600); err != nil {
		return wrong("forget_s", err)
	}
	least := lease.Least(watchSilence, f.Period)
	if err := seconds(&f.Lease, lease.Term(watchSilence, f.Period), least, 3600); err != nil {
		return wrong("lease_s", err)
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
