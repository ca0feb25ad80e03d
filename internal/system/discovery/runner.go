package discovery

import (
	"net/netip"
	"slices"
	"time"
)

// Runner is an incarnation of a server of a service, as the platform lists it.
type Runner struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Capacity int  // requests that the runner serves at once; 0: not stated
	Draining bool // must get no new requests
	// SlowStartRemaining is how much longer the runner is in slow start, counted from when it was listed.
	SlowStartRemaining time.Duration
	// TimeToTermination is the time until the platform takes the runner away, counted from when it was listed; 0: no
	// termination is announced.
	TimeToTermination time.Duration
	Phase             string // inference phases that the runner serves, by the platform's names; may be empty
	Models            []Model
}

// EqualExceptTimes reports whether two entries agree in all that does not count down by itself: in everything but
// SlowStartRemaining and TimeToTermination.
func (r *Runner) EqualExceptTimes(other *Runner) bool {
	return r.ID == other.ID &&
		r.Service == other.Service &&
		r.Address == other.Address &&
		r.Zone == other.Zone &&
		r.Capacity == other.Capacity &&
		r.Draining == other.Draining &&
		r.Phase == other.Phase &&
		slices.Equal(r.Models, other.Models)
}

// Model is a model that a runner serves.
type Model struct {
	Name    string
	Version int
}
