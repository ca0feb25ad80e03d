package proxy

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// Placer decides which runner takes a request. It has no clock: now is the proxy's steady clock, which begins at 0.
// placement.Placer is the one that programs use.
type Placer interface {
	SetServices(now time.Duration, services []*configuration.Service)
	SetRunners(now time.Duration, runners []placement.Runner)
	SetEvacuatedZones(now time.Duration, zones map[string]bool)
	SetProxyCount(now time.Duration, n int)
	SetPeers(now time.Duration, self uint64, peers []uint64)
	HandleNotice(now time.Duration, notice placement.Notice)
	Place(now time.Duration, r *placement.Request) (placement.Choice, *placement.Rejection)
	StartAttempt(now time.Duration, r *placement.Request, c placement.Choice) *placement.Attempt
	HandleFirstEvent(now time.Duration, a *placement.Attempt)
	HandleEvent(now time.Duration, a *placement.Attempt)
	EndAttempt(now time.Duration, a *placement.Attempt, o placement.Outcome, p placement.Progress)
	MayRetry(now time.Duration, r *placement.Request) bool
	Tick(now time.Duration) (next time.Duration)
	Snapshot() []byte
	Restore(now time.Duration, learnt []byte) error
}

// Routes finds the route of a request, by the Host field and the target as the client sent them; nil: there is none.
type Routes interface {
	Lookup(host, target string) *configuration.Route
}
