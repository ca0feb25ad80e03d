package configuration

import (
	"strconv"
	"strings"

	"cinderroad/internal/system/validation"
)

// Validate reports whether the document may replace the version that is in force, 0 for none. An error is a
// *validation.Error with all problems.
func (d *Document) Validate(current uint64) error {
	var problems validation.Problems
	d.validate(current, &problems)
	return problems.Err()
}

func (d *Document) validate(current uint64, problems *validation.Problems) {
	if d.version <= current {
		problems.Add(fieldVersion, "must be above "+strconv.FormatUint(current, 10)+", the version in force")
	}
	services := validateNames(d.services, fieldServices, problems)
	validateNames(d.routes, fieldRoutes, problems)
	prefixes := make(map[routePrefix]string, len(d.routes))
	for i, item := range d.routes {
		path := fieldRoutes + "[" + strconv.Itoa(i) + "]"
		validator := routeValidator{path: path, route: item.model, services: services, problems: problems}
		validator.validate(prefixes)
	}
}

// validateNames returns the names of a list's items. A missing name and a name that is used twice are problems.
func validateNames[M any](entries []entry[M], field string, problems *validation.Problems) map[string]bool {
	names := make(map[string]bool, len(entries))
	for i, item := range entries {
		path := field + "[" + strconv.Itoa(i) + "].name"
		switch {
		case item.name == "":
			problems.Add(path, "is missing or empty")
		case names[item.name]:
			problems.Add(path, "is the name of an earlier item, too: "+strconv.Quote(item.name))
		}
		names[item.name] = true
	}
	return names
}

// routePrefix is the host and path prefix of a route, which no two routes may share.
type routePrefix struct{ host, path string }

type routeValidator struct {
	path     string
	route    *Route
	services map[string]bool
	problems *validation.Problems
}

func (v *routeValidator) addProblem(field, message string) {
	v.problems.Add(v.path+"."+field, message+" (route "+strconv.Quote(v.route.Name)+")")
}

func (v *routeValidator) validate(prefixes map[routePrefix]string) {
	v.validatePrefix(prefixes)
	if v.route.Timeout <= 0 {
		v.addProblem("timeout_ms", "must be above 0")
	}
	if len(v.route.Shares) == 0 {
		v.addProblem("service", "is missing; a route needs a service or shares")
		return
	}
	v.validateShares()
}

// validatePrefix checks the host and the path prefix, which no earlier route may have, and records them in prefixes.
func (v *routeValidator) validatePrefix(prefixes map[routePrefix]string) {
	if v.route.Host == "" {
		v.addProblem("host", "is missing or empty")
	}
	if !strings.HasPrefix(v.route.PathPrefix, "/") || !strings.HasSuffix(v.route.PathPrefix, "/") {
		v.addProblem("path_start", "must begin and end with a slash")
	}
	own := routePrefix{host: NormalizeHost(v.route.Host), path: v.route.PathPrefix}
	if other, exists := prefixes[own]; exists {
		v.addProblem("path_start", "is together with its host that of route "+strconv.Quote(other)+", too")
		return
	}
	prefixes[own] = v.route.Name
}

// validateShares checks that the services exist and that the weights add up to a finite number above 0.
func (v *routeValidator) validateShares() {
	sum := 0.0
	for i, share := range v.route.Shares {
		field := "shares[" + strconv.Itoa(i) + "]"
		if len(v.route.Shares) == 1 {
			field = "service"
		}
		if !v.services[share.Service] || share.Service == "" {
			v.addProblem(field, "names the service "+strconv.Quote(share.Service)+", which is not known")
		}
		if share.Weight < 0 {
			v.addProblem(field, "has a negative weight")
		}
		sum += share.Weight
	}
	if !(sum > 0) || sum > maxWeightSum {
		v.addProblem("shares", "have weights that do not add up to a number above 0")
	}
}

// maxWeightSum bounds the sum of a route's weights, which must be finite.
const maxWeightSum = 1e300
