package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
	"cinderroad/internal/system/configuration"
)

// Services and routes.
const (
	initialTarget      = 1.0   // seconds; latency target of a service before a request of its routes comes; Placer.latencyTarget at most
	initialTimeout     = 5.0   // seconds; Placer.longestTimeout at least
	initialOutputShare = 0.5   // routeStats.outputShare before a response
	targetDecayRate    = 0.002 // weight of a request with a looser target in the tightest target of a service
	maxRoutes          = 4096  // routes with statistics; more of them clear the table
)

// serviceState is a service and what is known of its runners together.
type serviceState struct {
	configuration.Service
	configured    bool           // the configuration in force names it
	runners       []*runnerState // sorted by id
	retryBudget   retryBudget
	prefillSpeed  float64 // prompt tokens a second of a runner that prefills nothing else; 0: not known yet
	latencyTarget float64 // tightest target of its routes, in seconds; see observeTarget
	meanDuration  float64 // of a response, in seconds; 0: none came yet
	meanUsage     usage   // mean over its runners of their meanUsage
	prefixHistory prefixHistory
	shedding      loadShedding
	plannedAt     time.Duration
	prefillSpeeds speedWindow
}

// ensureService returns a service; one that the configuration has not named yet is added.
func (p *Placer) ensureService(name string) *serviceState {
	service := p.services[name]
	if service == nil {
		service = &serviceState{
			Service:       configuration.Service{Name: name},
			prefillSpeed:  p.restoredSpeeds[name],
			latencyTarget: initialTarget,
		}
		p.services[name] = service
	}
	return service
}

// SetServices replaces the services by those of the configuration in force.
func (p *Placer) SetServices(now time.Duration, services []*configuration.Service) {
	p.recordCall(now)
	for _, service := range p.services {
		service.configured = false
	}
	for _, update := range services {
		service := p.ensureService(update.Name)
		service.Service = *update
		service.configured = true
		for _, runner := range service.runners {
			runner.updateSlots()
		}
		p.planService(now, service)
	}
	p.dropUnusedServices()
}

// dropUnusedServices removes services that neither the configuration nor a runner names.
func (p *Placer) dropUnusedServices() {
	for name, service := range p.services {
		if !service.configured && len(service.runners) == 0 {
			delete(p.services, name)
		}
	}
}

// isEngine reports whether the runners of the service are engines, which have a memory of tokens.
func (s *serviceState) isEngine() bool { return s.Backend != nil && s.Backend.CacheTokens > 0 }

// routeStats are running means over the responses of a route.
type routeStats struct {
	target       time.Duration // latency target; 0: none
	timeout      time.Duration
	meanDuration float64 // of the time to the end, in seconds; the latency target before a response
	deviation    float64 // mean absolute deviation from it, in seconds
	outputShare  float64 // generated tokens as a share of the most that requests allow
	prefixReuse  float64 // share of requests whose prefix this proxy sent within prefixHistorySpan
}

// statsOf returns the statistics of a route. The first request of a route adds them and makes its target and timeout count.
func (p *Placer) statsOf(route *configuration.Route) *routeStats {
	stats := p.routes[route.Name]
	if stats == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes)
		}
		target := route.LatencyTarget.Seconds()
		stats = &routeStats{
			target:       route.LatencyTarget,
			timeout:      route.Timeout,
			meanDuration: target,
			deviation:    target / 2,
			outputShare:  initialOutputShare,
		}
		p.routes[route.Name] = stats
		p.recordTimes(stats)
	}
	return stats
}

// recordTimes extends the Placer's latency target and longest timeout by those of a route.
func (p *Placer) recordTimes(stats *routeStats) {
	if stats.target > 0 {
		p.latencyTarget = math.Min(p.latencyTarget, stats.target.Seconds())
	}
	p.longestTimeout = math.Max(p.longestTimeout, stats.timeout.Seconds())
}

// UpdateRoutes takes routes that were added or changed, and the names of those that were removed. A changed route keeps its
// statistics; its former target and timeout stop counting, as do those of a removed one.
func (p *Placer) UpdateRoutes(now time.Duration, changed []*configuration.Route, removed []string) {
	p.recordCall(now)
	for _, name := range removed {
		delete(p.routes, name)
	}
	for _, route := range changed {
		if stats := p.routes[route.Name]; stats != nil {
			stats.target = route.LatencyTarget
			stats.timeout = route.Timeout
		}
	}
	p.latencyTarget = initialTarget
	p.longestTimeout = initialTimeout
	for _, stats := range p.routes {
		p.recordTimes(stats)
	}
}

// observeTarget records the latency target of a request's route: a tighter one counts at once, a looser one gradually, so
// that a route which is no longer requested stops counting.
func (s *serviceState) observeTarget(request *Request) {
	if request.Route == nil || request.Route.LatencyTarget <= 0 {
		return
	}
	target := request.Route.LatencyTarget.Seconds()
	if target < s.latencyTarget {
		s.latencyTarget = target
	}
	capacity.UpdateMean(&s.latencyTarget, target, targetDecayRate)
}
