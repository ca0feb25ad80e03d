package configuration

import (
	"time"

	"cinderroad/internal/system/jsonfield"
)

// parseRoute parses a route as the operator writes it.
func parseRoute(value jsonfield.Value) *Route {
	parser := routeParser{route: &Route{Type: ReadWrite, MaxAttempts: 1}}
	if value.ReadStrictObject(parser.readField) {
		parser.finish(value)
	}
	return parser.route
}

type routeParser struct {
	route     *Route
	service   string
	hasType   bool
	hasShares bool
}

// readField reads a field of a route. Fields that this version does not know are ignored.
func (r *routeParser) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	switch name {
	case "name":
		r.route.Name, _ = value.Text()
	case "host":
		r.route.Host, _ = value.Text()
	case "path_start":
		r.route.PathPrefix, _ = value.Text()
	case "type":
		r.readType(value)
	case "rank":
		r.route.Rank, _ = value.Int()
	case "service":
		r.service, _ = value.Text()
	case "shares":
		value.ReadArray(r.readShare)
	case "tries":
		attempts, _ := value.Int()
		r.route.MaxAttempts = max(attempts, 1)
	case "pin_cache":
		r.route.PrefixAffinity, _ = value.Bool()
	case "resumable":
		r.route.Resumable, _ = value.Bool()
	case "home_regions":
		r.route.HomeRegions, _ = value.Texts()
	default:
		r.readDuration(name, value)
	}
}

// readDuration reads a field whose name ends with the unit of a duration.
func (r *routeParser) readDuration(name string, value jsonfield.Value) {
	base, unit := jsonfield.SplitDurationUnit(name)
	if unit == 0 {
		return
	}
	switch base {
	case "timeout":
		r.route.Timeout = readPositiveDuration(value, unit)
	case "target":
		r.route.LatencyTarget, _ = value.Duration(unit)
	case "gap_aim":
		r.route.EventGapTarget, _ = value.Duration(unit)
	}
}

// readPositiveDuration reads a duration. One above 0 that is too short to be represented counts as the shortest.
func readPositiveDuration(value jsonfield.Value, unit time.Duration) time.Duration {
	length, ok := value.Duration(unit)
	if number, isNumber := value.Float(); ok && isNumber && number > 0 {
		return max(length, 1)
	}
	return length
}

func (r *routeParser) readType(value jsonfield.Value) {
	name, ok := value.Text()
	if !ok {
		return
	}
	r.hasType = true
	switch name {
	case "read_only":
		r.route.Type = ReadOnly
	case "writes":
		r.route.Type = ReadWrite
	case "streaming":
		r.route.Type = Streaming
	default:
		value.AddProblem("must be read_only, writes or streaming")
	}
}

// readShare reads an element of the shares.
func (r *routeParser) readShare(_ int, value jsonfield.Value) {
	r.hasShares = true
	share := Share{}
	value.ReadStrictObject(func(name string, value jsonfield.Value) {
		switch name {
		case "service":
			share.Service, _ = value.Text()
		case "weight":
			share.Weight, _ = value.Float()
		}
	})
	r.route.Shares = append(r.route.Shares, share)
}

// finish checks which fields are there and sets those that follow from others.
func (r *routeParser) finish(value jsonfield.Value) {
	if !r.hasType {
		value.AddProblem("has no type")
	}
	if r.service != "" && r.hasShares {
		value.AddProblem("has both a service and shares; name one or the other")
	}
	if r.service != "" && !r.hasShares {
		r.route.Shares = []Share{{Service: r.service, Weight: 1}}
	}
	if r.route.LatencyTarget == 0 {
		r.route.LatencyTarget = r.route.Timeout
	}
}
