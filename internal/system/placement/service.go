package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
	"cinderroad/internal/system/configuration"
)

// serviceState is a service and what is known of its runners together.
type serviceState struct {
	configuration.Service
	configured    bool           // the configuration names it
	runners       []*runnerState // in the order of their ids
	retryBudget   retryBudget
	prefillSpeed  float64 // prompt tokens read in a second by a runner that reads nothing else; 0: not seen yet
	latencyTarget float64 // the tightest aim of its routes, in seconds; one that is not asked for any more counts less and less
	meanDuration  float64 // running mean of the time that an answer takes, in seconds
	meanUsage     usage   // mean of the runners' means
	prefixHistory prefixHistory
	shedding      loadShedding
	plannedAt     time.Duration
	prefillSpeeds speedWindow
}

// ensureService returns a service; one that the configuration has not named yet is added.
func (p *Placer) ensureService(name string) *serviceState {
	service := p.services[name]
	if service == nil {
		service = &serviceState{Service: configuration.Service{Name: name}, prefillSpeed: p.restoredSpeeds[name], latencyTarget: initialTarget}
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
	for _, services := range services {
		service := p.ensureService(services.Name)
		service.Service, service.configured = *services, true
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

// routeStats are running means over the answers of a route.
type routeStats struct {
	meanDuration, deviation float64 // running mean of the time to the end, and of how far it is missed; seconds
	outputShare             float64 // of the most tokens out that a request names, what comes
	prefixReuse             float64 // share of requests whose chain this proxy has sent within prefixHistorySpan
}

// statsOf returns the statistics of a route; the first request of a route adds them.
func (p *Placer) statsOf(request *configuration.Route) *routeStats {
	service := p.routes[request.Name]
	if service == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes)
		}
		service = &routeStats{meanDuration: request.LatencyTarget.Seconds(), deviation: request.LatencyTarget.Seconds() / 2, outputShare: 0.5}
		p.routes[request.Name] = service
		if request.LatencyTarget > 0 {
			p.latencyTarget = math.Min(p.latencyTarget, request.LatencyTarget.Seconds())
		}
		p.longestTimeout = math.Max(p.longestTimeout, request.Timeout.Seconds())
	}
	return service
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
	capacity.UpdateMean(&s.latencyTarget, target, targetForgetRate)
}
