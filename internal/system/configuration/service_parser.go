package configuration

import (
	"time"

	"cinderroad/internal/system/jsonfield"
)

// parseService parses a service as the operator writes it.
func parseService(value jsonfield.Value) *Service {
	service := &Service{}
	value.ReadStrictObject(service.readField)
	return service
}

// readField reads a field of a service. Fields that this version does not know are ignored.
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

// readField reads a field of a service's backend. Fields that this version does not know are ignored.
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
