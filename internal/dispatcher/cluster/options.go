package cluster

import (
	"net/netip"

	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/shared/membership"
)

// Options configure a member.
type Options struct {
	Cluster       string
	Name          string           // of this member, unique in the cluster
	Bind          netip.AddrPort   // to listen on
	Advertise     netip.AddrPort   // at which others reach it
	Seeds         []netip.AddrPort // through which to join
	ProbeInterval float64          // seconds
	DeadTTL       float64          // seconds
	LeaseTerm     float64          // seconds
	RandomSeed    uint64           // of the membership
	Metadata      membership.Metadata
	Quota         quota.Config
	Versions      *versions.Table            // not nil
	OnLease       func(out bool, why string) // called when this dispatcher must stop taking new work, or may again; not nil
	OnConverged   func(Convergence)          // called when the view has converged; not nil

	// OnPause is called after a pause of the process, before anything else in that iteration of the loop, with the seconds
	// that the iteration is late; nil: not.
	OnPause func(late float64)
}

// Convergence is that all members have one view.
type Convergence struct {
	After  float64 // seconds that it took
	Alive  int
	Digest string // of the view
}
