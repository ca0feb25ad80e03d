// Package discovery is the platform's list of runners: its entries, their encoding, and the client that asks for it.
package discovery

import (
	"net/netip"
	"time"
)

// Runner is an incarnation of a server of a service, as the platform lists it.
type Runner struct {
	ID                 string
	Service            string
	Address            netip.AddrPort
	Zone               string
	Capacity           int
	Draining           bool
	SlowStartRemaining time.Duration // how much longer it stays cold, when it was listed
	TimeToTermination  time.Duration // of one that is taken away at short notice, when it was listed; 0: not told
	Phase              string
	Models             []Model
}

// Model is a model that a runner serves.
type Model struct {
	Name    string
	Version int
}
