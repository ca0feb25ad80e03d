package proxy

import (
	"math"
	"math/rand/v2"

	"cinderroad/internal/system/configuration"
)

// shareStep is by how much the point moves that picks a part of a route's shares from one request to the next. The
// fractions of its multiples fill the unit interval evenly, whatever number of requests one looks at: the golden ratio
// is the number that is worst to approximate by a fraction.
var shareStep = (math.Sqrt(5) - 1) / 2

// shareDraws spreads the requests of each route over the services of its shares by their weights. Drawn by chance, parts
// lie further off their weights the fewer requests there are; these keep close to them from the first requests on.
type shareDraws struct {
	random *rand.Rand
	points map[string]float64 // by route with more than one share; from 0 to below 1
}

func newShareDraws(random *rand.Rand) *shareDraws {
	return &shareDraws{random: random, points: map[string]float64{}}
}

// service is the service for the next request of a route.
func (d *shareDraws) service(r *configuration.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	sum := 0.0
	for _, share := range r.Shares {
		sum += share.Weight
	}
	at := d.next(r.Name) * sum
	service := ""
	for _, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		service = share.Service
		if at -= share.Weight; at < 0 {
			break
		}
	}
	return service
}

// next moves a route's point. The first one is drawn by chance, so that proxies do not begin with the same service.
func (d *shareDraws) next(route string) float64 {
	point, known := d.points[route]
	if !known {
		point = d.random.Float64()
	}
	_, point = math.Modf(point + shareStep)
	d.points[route] = point
	return point
}

// forget drops what is kept of a route that is no more.
func (d *shareDraws) forget(route string) { delete(d.points, route) }
