package proxy

import (
	"math"
	"math/rand/v2"

	"cinderroad/internal/system/configuration"
)

// goldenRatioStep is the distance between the points at which consecutive requests of a route are placed on its
// weights. The fractional parts of its multiples fill the unit interval evenly for any number of requests, because the
// golden ratio is the number worst approximated by fractions.
var goldenRatioStep = (math.Sqrt(5) - 1) / 2

// serviceSplitter distributes the requests of each route over the services of its shares by their weights. Unlike a
// random choice it stays close to the weights from the first requests on.
type serviceSplitter struct {
	random *rand.Rand
	points map[string]float64 // by route with more than one share; in [0, 1)
}

func newServiceSplitter(random *rand.Rand) *serviceSplitter {
	return &serviceSplitter{random: random, points: map[string]float64{}}
}

// nextService returns the service for the next request of a route.
func (s *serviceSplitter) nextService(route *configuration.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	sum := 0.0
	for _, share := range route.Shares {
		sum += share.Weight
	}
	point := s.advance(route.Name) * sum
	service := ""
	for _, share := range route.Shares {
		if share.Weight <= 0 {
			continue
		}
		service = share.Service
		point -= share.Weight
		if point < 0 {
			break
		}
	}
	return service
}

// advance moves a route's point. The first one is random so that proxies do not all start with the same service.
func (s *serviceSplitter) advance(route string) float64 {
	point, known := s.points[route]
	if !known {
		point = s.random.Float64()
	}
	_, point = math.Modf(point + goldenRatioStep)
	s.points[route] = point
	return point
}

// remove drops the state of a route that was removed.
func (s *serviceSplitter) remove(route string) { delete(s.points, route) }
