// Package agentclient connects the proxy to the agent of its machine: it follows the feed of the control state and
// reports the proxy's status and snapshots. It decodes the feed, so that the data plane gets typed changes only.
package agentclient

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// Update holds the changes of the control state since the previous update. Nil fields have not changed.
type Update struct {
	Version        uint64 // of the configuration in force; 0: unknown
	Routes         []*configuration.Route
	RemovedRoutes  []string                  // names; to be removed before Routes are added
	Services       *[]*configuration.Service // all of them
	Limits         *configuration.Limits
	EvacuatedZones *map[string]bool // by name: all of them
	Runners        *[]Runner        // all of them
	Complete       bool             // the configuration is known, and so are the partitions that hold the runners of its services
	ProxyCount     int              // proxies that may be serving, this one included; 0: unknown
	Peers          *[]feed.Peer     // all other proxies
}

// Runner is a runner with times on this process's clock in place of the durations in the feed.
type Runner struct {
	discovery.Runner
	SlowStartUntil time.Time // zero: not in slow start
	TerminatesAt   time.Time // zero: unknown
}

// problem is an item of the feed that could not be decoded; the previous value of its key stays in force.
type problem struct {
	key string
	err error
}
