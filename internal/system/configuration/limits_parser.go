package configuration

import "cinderroad/internal/system/jsonfield"

// parseLimits parses the limits as the operator writes them.
func parseLimits(value jsonfield.Value) *Limits {
	limits := &Limits{}
	value.ReadStrictObject(limits.readField)
	return limits
}

// readField reads a field of the limits. Fields that this version does not know are ignored.
func (l *Limits) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	base, unit := jsonfield.SplitDurationUnit(name)
	switch {
	case name == "max_header_bytes":
		l.MaxHeaderBytes = readByteCount(value)
	case name == "max_body_bytes":
		l.MaxBodyBytes = readByteCount(value)
	case base == "header_wait" && unit > 0:
		l.HeaderTimeout, _ = value.Duration(unit)
	case base == "idle_limit" && unit > 0:
		l.IdleTimeout, _ = value.Duration(unit)
	}
}

func readByteCount(value jsonfield.Value) int {
	bytes, ok := value.Int()
	if ok && bytes < 0 {
		value.AddProblem("must not be negative")
		return 0
	}
	return bytes
}
