package configuration

import (
	"time"

	"cinderroad/internal/system/jsonfield"
)

// parseService reads a service as the operator sends it.
func parseService(value jsonfield.Value) *Service {
	service := &Service{}
	value.ReadStrictObject(service.readField)
	return service
}

func (s *Service) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	switch name {
	case "name":
		s.Name, _ = value.Text()
	case "health_path":
		s.HealthPath, _ = value.Text()
	case "max_conns":
		s.MaxConnections, _ = value.Int()
	case "cold_rate_s":
		s.SlowStartRate, _ = value.NonNegativeFloat()
	case "cold_for_s":
		s.SlowStartDuration, _ = value.Duration(time.Second)
	case "cold_for_ms":
		s.SlowStartDuration, _ = value.Duration(time.Millisecond)
	case "backend":
		s.Backend = &Backend{}
		value.ReadStrictObject(s.Backend.readField)
	}
}

func (b *Backend) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	switch name {
	case "capacity":
		b.Capacity, _ = value.Int()
	case "cache_tokens":
		b.CacheTokens, _ = value.Int()
	case "token_cache_bytes":
		b.CacheBytesPerToken, _ = value.NonNegativeFloat()
	case "link_mbps":
		b.LinkMbps, _ = value.NonNegativeFloat()
	case "stride":
		b.TokensPerEvent, _ = value.Int()
	case "models":
		value.ReadArray(b.readModel)
	}
}

func (b *Backend) readModel(_ int, value jsonfield.Value) {
	value.ReadStrictObject(func(name string, value jsonfield.Value) {
		if name != "name" {
			return
		}
		if model, ok := value.Text(); ok {
			b.Models = append(b.Models, model)
		}
	})
}

// parseLimits reads the limits as the operator sends them.
func parseLimits(value jsonfield.Value) *Limits {
	limits := &Limits{}
	value.ReadStrictObject(limits.readField)
	return limits
}

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
