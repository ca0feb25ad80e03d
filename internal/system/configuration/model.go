package configuration

import "time"

// RouteType says whether the requests of a route may be repeated, and how they are answered.
type RouteType uint8

// The types of route.
const (
	// ReadOnly requests are idempotent.
	ReadOnly RouteType = iota
	// ReadWrite requests must not be repeated once a runner may have received them.
	ReadWrite
	// Streaming requests are answered by a stream of events. They are idempotent only if the route is resumable.
	Streaming
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string // as the operator wrote it: see NormalizeHost
	PathPrefix string // begins and ends with a slash
	Type       RouteType
	Timeout    time.Duration // longest time that a request is pending; above 0
	// LatencyTarget is the time within which a response has its full value; for streams, that of the first event.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between two events of a stream that counts as in time; 0: none is set.
	EventGapTarget time.Duration
	Rank           int      // priority: 0 is the most urgent
	Shares         []Share  // at least one; a route that names a single service has one share with weight 1
	MaxAttempts    int      // number of runners that one request may be sent to, at least 1
	PrefixAffinity bool     // requests should go to runners that have their prompt's prefix in cache
	Resumable      bool     // a stream may be continued on another runner
	HomeRegions    []string // regions to which the route is bound; empty: any
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Type == ReadOnly || r.Type == Streaming && r.Resumable
}

// Share is the share of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  float64 // relative to the sum of the route's weights
}

// Service is a group of runners that serve the same.
type Service struct {
	Name              string
	HealthPath        string
	MaxConnections    int           // connections that a runner accepts from all callers together
	SlowStartDuration time.Duration // of a runner after its start
	SlowStartRate     float64       // requests per second that a runner in slow start can take; 0: none but the deployment's allowance
	Backend           *Backend      // nil: not an inference engine
}

// Backend describes the inference engine of a service's runners.
type Backend struct {
	Capacity           int     // requests at once
	CacheTokens        int     // size of the KV cache, shared by running requests and cached prefixes
	CacheBytesPerToken float64 // of the KV cache
	LinkMbps           float64 // of a runner's network link
	TokensPerEvent     int     // tokens that one event of a stream carries
	Models             []string
}

// Limits bound the requests of clients. 0 is the proxy's default.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout                time.Duration // until a request's header is complete
	IdleTimeout                  time.Duration // of a connection between two requests
}
