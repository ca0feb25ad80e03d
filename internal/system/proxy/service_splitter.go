package proxy

import (
	"math"
	"math/rand/v2"

	"cinderroad/internal/system/configuration"
)

// goldenRatioStep is by how much the point moves that picks a part of a route's shares from one request to the next. The
// fractions of its multiples fill the unit interval evenly, whatever number of requests one looks at: the golden ratio
// is the number that is worst to approximate by a fraction.
var goldenRatioStep = (math.Sqrt(5) - 1) / 2

// serviceSplitter spreads the requests of each route over the services of its shares by their weights. Drawn by chance, parts
// lie further off their weights the fewer requests there are; these keep close to them from the first requests on.
type serviceSplitter struct {
	random *rand.Rand
	points map[string]float64 // by route with more than one share; from 0 to below 1
}

func newServiceSplitter(random *rand.Rand) *serviceSplitter {
	return &serviceSplitter{random: random, points: map[string]float64{}}
}

// nextService is the service for the next request of a route.
func (d *serviceSplitter) nextService(route *configuration.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	sum := 0.0
	for _, share := range route.Shares {
		sum += share.Weight
	}
	point := d.advance(route.Name) * sum
	service := ""
	for _, share := range route.Shares {
		if share.Weight <= 0 {
			continue
		}
		service = share.Service
		if point -= share.Weight; point < 0 {
			break
		}
	}
	return service
}

// advance moves a route's point. The first one is drawn by chance, so that proxies do not begin with the same service.
func (d *serviceSplitter) advance(route string) float64 {
	point, known := d.points[route]
	if !known {
		point = d.random.Float64()
	}
	_, point = math.Modf(point + goldenRatioStep)
	d.points[route] = point
	return point
}

// remove drops what is kept of a route that is no more.
func (d *serviceSplitter) remove(route string) { delete(d.points, route) }
