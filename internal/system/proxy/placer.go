package proxy

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// Placer chooses the runner for a request. It has no clock: now is the proxy's monotonic clock, which starts at 0.
// Programs use placement.Placer.
type Placer interface {
	SetServices(now time.Duration, services []*configuration.Service)
	// UpdateRoutes announces routes that were added or changed, and the names of those that were removed.
	UpdateRoutes(now time.Duration, changed []*configuration.Route, removed []string)
	SetRunners(now time.Duration, runners []placement.Runner)
	SetEvacuatedZones(now time.Duration, zones map[string]bool)
	// SetProxyCount announces how many proxies may send to the same runners, this one included.
	SetProxyCount(now time.Duration, n int)
	// SetPeers announces the other proxies by keys derived from their names; it implies their number.
	SetPeers(now time.Duration, self uint64, peers []uint64)
	HandleNotice(now time.Duration, notice placement.Notice)

	// Place chooses a runner, or returns the reason why there is none. One in request.TriedRunners is chosen only if no other
	// may take the request.
	Place(now time.Duration, request *placement.Request) (placement.Choice, *placement.Rejection)
	// StartAttempt is called when a request is sent to the chosen runner. Each attempt is ended by EndAttempt once.
	StartAttempt(now time.Duration, request *placement.Request, choice placement.Choice) *placement.Attempt
	HandleFirstEvent(now time.Duration, attempt *placement.Attempt)
	HandleEvent(now time.Duration, attempt *placement.Attempt)
	EndAttempt(now time.Duration, attempt *placement.Attempt, outcome placement.Outcome, progress placement.Progress)
	// MayRetry reports whether the retry budget allows another attempt. The proxy has checked Request.MayRepeat itself, so that
	// no Placer can let a request run twice that must not.
	MayRetry(now time.Duration, request *placement.Request) bool

	// Tick does periodic work and returns when it is to be called again.
	Tick(now time.Duration) (next time.Duration)
	// Snapshot encodes what was learned about the runners; Restore loads the snapshot of an earlier incarnation.
	Snapshot() []byte
	Restore(now time.Duration, snapshot []byte) error
}

// Routes finds the route of a request by the Host field and the target as the client sent them; nil: there is none.
type Routes interface {
	Lookup(host, target string) *configuration.Route
}
