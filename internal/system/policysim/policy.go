// Package experiment compares placement policies: several proxies, each with a policy of its own, send drawn traffic
// to the same modelled runners in virtual time. Every policy sees the same traffic for the same seed, so that
// differences are the policies' own.
package policysim

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// Policy decides for one proxy. It is what placement.Placer offers a proxy; times are since the start of the run.
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
	Tick(now time.Duration) time.Duration
}

// PolicyFactory makes the policies of a run, one for each proxy.
type PolicyFactory struct {
	Name string
	New  func(o placement.Options, seed uint64) (Policy, error)
}
