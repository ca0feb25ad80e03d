package policysim

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// Policy decides for one proxy. It has the methods of placement.Placer that a proxy uses, in the order and with the meaning
// that are described there; times are since the start of the run. The simulation calls it from one goroutine.
type Policy interface {
	SetServices(now time.Duration, services []*configuration.Service)
	SetRunners(now time.Duration, runners []placement.Runner)
	SetProxyCount(now time.Duration, n int)
	Place(now time.Duration, r *placement.Request) (placement.Choice, *placement.Rejection)
	StartAttempt(now time.Duration, r *placement.Request, c placement.Choice) *placement.Attempt
	HandleFirstEvent(now time.Duration, a *placement.Attempt)
	HandleEvent(now time.Duration, a *placement.Attempt)
	EndAttempt(now time.Duration, a *placement.Attempt, o placement.Outcome, p placement.Progress)
	MayRetry(now time.Duration, r *placement.Request) bool
	Tick(now time.Duration) (next time.Duration) // next is when it wants to be called again
}

// PolicyFactory makes the policies of a run, one for each proxy.
type PolicyFactory struct {
	Name string
	New  func(o placement.Options, seed uint64) (Policy, error)
}

// PlacementPolicy returns the system's own policy, placement.Placer.
func PlacementPolicy() PolicyFactory {
	create := func(o placement.Options, seed uint64) (Policy, error) { return placement.New(o, seed) }
	return PolicyFactory{Name: "placement", New: create}
}

// Policies returns the system's own policy and the baselines.
func Policies() []PolicyFactory {
	return append([]PolicyFactory{PlacementPolicy()}, BaselinePolicies()...)
}
