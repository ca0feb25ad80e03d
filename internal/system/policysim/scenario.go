package policysim

import (
	"time"

	"cinderroad/internal/testkit/engine"
)

// Scenario describes a deployment, its traffic, and what happens to it.
type Scenario struct {
	Name     string
	Duration time.Duration
	Load     float64 // multiplies the rate of every class
	Zones    []Zone
	Services []Service
	Classes  []Class
	Bursts   []Burst
	Crashes  []Crash

	// Latencies between runners and proxies, one way.
	ZoneLatency        time.Duration // within a zone
	CrossZoneLatency   time.Duration // between zones of a region
	CrossRegionLatency time.Duration

	ClientLatency time.Duration // one way, from a client to a proxy
	DiscoveryLag  time.Duration // age of the proxies' list of runners
}

// Zone is a zone with its proxies and clients.
type Zone struct {
	Name          string
	Region        string
	Proxies       int
	TrafficShare  float64 // of the traffic
	RateVariation RateVariation
}

// Service is a group of runners.
type Service struct {
	Name              string
	Runners           map[string]int  // number of runners, by zone
	Engine            *engine.Options // nil: the service has no engine
	Slots             int             // requests at once of a runner without an engine
	QueueLength       int             // requests that wait at a runner without an engine
	MaxConnections    int             // to a runner
	SlowStartDuration time.Duration   // of a runner that is started anew; 0: it needs none
	SlowStartRate     float64         // requests a second that a runner in slow start bears
}

// Burst multiplies the rate of a class for a while.
type Burst struct {
	Class    string
	Factor   float64
	Start    time.Duration
	Duration time.Duration
}

// Crash ends a runner abruptly. After Downtime it returns as a new incarnation with an empty cache; the list of runners
// drops it after Scenario.DiscoveryLag.
type Crash struct {
	Service     string
	RunnerIndex int // among the running ones of the service, in order of zones
	At          time.Duration
	Downtime    time.Duration
	Silent      bool // its connections stay open without a response, instead of being closed
}

func (s *Scenario) serviceByName(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

func (s *Scenario) tokensPerEvent(service string) int {
	if found := s.serviceByName(service); found != nil && found.Engine != nil {
		return found.Engine.EventTokens
	}
	return 1
}

func (s *Scenario) regionOf(zone string) string {
	for i := range s.Zones {
		if s.Zones[i].Name == zone {
			return s.Zones[i].Region
		}
	}
	return ""
}

// latency returns how long a message takes from one zone to another.
func (s *Scenario) latency(from, to string) time.Duration {
	switch {
	case from == to:
		return s.ZoneLatency
	case s.regionOf(from) == s.regionOf(to):
		return s.CrossZoneLatency
	default:
		return s.CrossRegionLatency
	}
}
