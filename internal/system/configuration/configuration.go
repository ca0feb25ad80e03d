// Package configuration is the operator's configuration: its model, how it is read and checked, altered by items and
// written again. Every finding names its place, and all findings of a document come together. Fields that are not known
// are kept and written back.
package configuration

import "time"

// RouteType says what may be repeated.
type RouteType uint8

// The types of route.
const (
	ReadOnly  RouteType = iota // may run more than once
	ReadWrite                  // runs at most once a try
	Streaming                  // answers with events; to be treated as Writes unless it is resumable
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // begins and ends with a slash
	Type           RouteType
	Timeout        time.Duration // longest that a request is held
	LatencyTarget  time.Duration // an answer within it earns its full worth; for streams, the first event
	EventGapTarget time.Duration // longest pause between events that is still in time; 0: not told
	Rank           int           // 0 is the most urgent
	Shares         []Share       // at least one; of a route that names a single service, that one with weight 1
	MaxAttempts    int           // runners that one request may be sent to
	PrefixAffinity bool          // prompts whose kept parts matter
	Resumable      bool
	HomeRegions    []string // empty: anywhere
}

// IsIdempotent says whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Type == ReadOnly || r.Type == Streaming && r.Resumable
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of runners.
type Service struct {
	Name              string
	HealthPath        string
	MaxConnections    int           // connections that a runner takes from all callers together
	SlowStartDuration time.Duration // after a start
	SlowStartRate     float64       // requests a second that a cold runner bears; 0: no bound
	Backend           *Backend      // nil: not an engine
}

// Backend describes the engine of a service's runners.
type Backend struct {
	Capacity           int     // requests at once
	CacheTokens        int     // tokens shared by running requests and kept parts
	CacheBytesPerToken float64 // of one token
	LinkMbps           float64
	TokensPerEvent     int // tokens in an event
	Models             []string
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}
