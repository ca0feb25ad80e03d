package configuration

import (
	"strconv"
	"strings"

	"cinderroad/internal/system/validation"
)

// Validate says whether the document may come into force over the version that is in force, 0 for none. All findings
// come together, in a *findings.Error, each with its place.
func (d *Document) Validate(current uint64) error {
	var list validation.Problems
	d.validate(current, &list)
	return list.Err()
}

func (d *Document) validate(current uint64, list *validation.Problems) {
	if d.version <= current {
		list.Add(fieldVersion, "must be above "+strconv.FormatUint(current, 10)+", the version in force")
	}
	services := checkNames(d.services, fieldServices, list)
	checkNames(d.routes, fieldRoutes, list)
	prefixes := make(map[prefix]string, len(d.routes))
	for i, item := range d.routes {
		place := fieldRoutes + "[" + strconv.Itoa(i) + "]"
		checker := routeChecker{place: place, route: item.model, services: services, list: list}
		checker.check(prefixes)
	}
}

// checkNames returns the names of a list's items; each must be there and stand for one item.
func checkNames[M any](entries []entry[M], field string, list *validation.Problems) map[string]bool {
	names := make(map[string]bool, len(entries))
	for i, item := range entries {
		place := field + "[" + strconv.Itoa(i) + "].name"
		switch {
		case item.name == "":
			list.Add(place, "is missing or empty")
		case names[item.name]:
			list.Add(place, "is the name of an earlier item, too: "+strconv.Quote(item.name))
		}
		names[item.name] = true
	}
	return names
}

// prefix is what no two routes may share.
type prefix struct{ host, path string }

type routeChecker struct {
	place    string
	route    *Route
	services map[string]bool
	list     *validation.Problems
}

func (c *routeChecker) add(field, problem string) {
	c.list.Add(c.place+"."+field, problem+" (route "+strconv.Quote(c.route.Name)+")")
}

func (c *routeChecker) check(prefixes map[prefix]string) {
	c.checkPrefix(prefixes)
	if c.route.Timeout <= 0 {
		c.add("timeout_ms", "must be above 0")
	}
	if len(c.route.Shares) == 0 {
		c.add("service", "is missing; a route needs a service or shares")
		return
	}
	c.checkShares()
}

func (c *routeChecker) checkPrefix(prefixes map[prefix]string) {
	if c.route.Host == "" {
		c.add("host", "is missing or empty")
	}
	if !strings.HasPrefix(c.route.PathPrefix, "/") || !strings.HasSuffix(c.route.PathPrefix, "/") {
		c.add("path_start", "must begin and end with a slash")
	}
	own := prefix{host: NormalizeHost(c.route.Host), path: c.route.PathPrefix}
	if other, taken := prefixes[own]; taken {
		c.add("path_start", "is together with its host that of route "+strconv.Quote(other)+", too")
		return
	}
	prefixes[own] = c.route.Name
}

func (c *routeChecker) checkShares() {
	sum := 0.0
	for i, share := range c.route.Shares {
		field := "shares[" + strconv.Itoa(i) + "]"
		if len(c.route.Shares) == 1 {
			field = "service"
		}
		if !c.services[share.Service] || share.Service == "" {
			c.add(field, "names the service "+strconv.Quote(share.Service)+", which is not known")
		}
		if share.Weight < 0 {
			c.add(field, "has a negative weight")
		}
		sum += share.Weight
	}
	if !(sum > 0) || sum > maxWeights {
		c.add("shares", "have weights that do not add up to a number above 0")
	}
}

// maxWeights bounds the sum of a route's weights, which must be finite.
const maxWeights = 1e300

// NormalizeHost is the form in which hosts are compared: lower case, without port and final dot.
func NormalizeHost(host string) string {
	if address, rest, bracketed := strings.Cut(host, "]"); bracketed && strings.HasPrefix(host, "[") {
		if rest == "" || rest[0] == ':' {
			return strings.ToLower(address[1:])
		}
	}
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}
