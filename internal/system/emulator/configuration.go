package emulator

import (
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/policysim"
)

// configurationDocument is a whole configuration in the form of the control API.
type configurationDocument struct {
	Version  int              `json:"version"`
	Routes   []routeDocument  `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
}

type routeDocument struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	PathStart   string   `json:"path_start"`
	Type        string   `json:"type"`
	TimeoutMS   int64    `json:"timeout_ms"`
	TargetMS    int64    `json:"target_ms"`
	Rank        int      `json:"rank"`
	Service     string   `json:"service"`
	Tries       int      `json:"tries"`
	PinCache    bool     `json:"pin_cache,omitempty"`
	Resumable   bool     `json:"resumable,omitempty"`
	GapAimMS    int64    `json:"gap_aim_ms,omitempty"`
	HomeRegions []string `json:"home_regions"`
}

// changeDocument is a change of single items in the form of the control API.
type changeDocument struct {
	Version int          `json:"version"`
	Replace changedItems `json:"replace"`
}

type changedItems struct {
	Routes []routeDocument `json:"routes"`
}

// Properties of the engines of all services.
const (
	cacheBytesPerToken = 327680
	engineLinkMbps     = 550000.0
)

// routeHost is the host of all routes.
const routeHost = "screening.example"

func pathPrefix(c *policysim.Class) string { return "/" + c.Name + "/" }

// typeName returns the name of a route's type in the control API.
func typeName(t configuration.RouteType) string {
	switch t {
	case configuration.ReadOnly:
		return "read_only"
	case configuration.ReadWrite:
		return "writes"
	}
	return "streaming"
}

// routeDocumentOf returns the route of a class.
func routeDocumentOf(c *policysim.Class) routeDocument {
	r := routeDocument{
		Name:        "r-" + c.Name,
		Host:        routeHost,
		PathStart:   pathPrefix(c),
		Type:        typeName(c.Type),
		TimeoutMS:   c.Deadline.Milliseconds(),
		TargetMS:    c.LatencyTarget.Milliseconds(),
		Rank:        c.Rank,
		Service:     c.Service,
		Tries:       c.MaxAttempts,
		HomeRegions: []string{},
	}
	if c.Type == configuration.Streaming {
		r.PinCache = true
		r.Resumable = c.Resumable
		r.GapAimMS = c.EventGapTarget.Milliseconds()
	}
	r.HomeRegions = append(r.HomeRegions, c.HomeRegions...)
	return r
}

// serviceDocumentOf returns a service in the form of the control API.
func serviceDocumentOf(s *policysim.Service) map[string]any {
	service := map[string]any{
		"name":        s.Name,
		"health_path": healthPath,
		"max_conns":   s.MaxConnections,
		"protocol":    "h1",
		"use_tls":     false,
		"cold_for_s":  s.SlowStartDuration.Seconds(),
		"cold_rate_s": s.SlowStartRate,
	}
	if e := s.Engine; e != nil {
		service["backend"] = map[string]any{
			"capacity":          e.MaxRunning,
			"cache_tokens":      e.MemoryTokens,
			"token_cache_bytes": cacheBytesPerToken,
			"link_mbps":         engineLinkMbps,
			"stride":            e.EventTokens,
			"models":            []map[string]string{{"name": modelName}},
		}
	}
	return service
}

// configurationDocumentOf returns the whole configuration of a scenario.
func configurationDocumentOf(scenario *policysim.Scenario, version int) configurationDocument {
	document := configurationDocument{
		Version: version,
		Limits: map[string]int{
			"max_header_bytes": 16384,
			"max_body_bytes":   4 << 20,
			"header_wait_ms":   3000,
			"idle_limit_ms":    15000,
		},
	}
	for i := range scenario.Classes {
		document.Routes = append(document.Routes, routeDocumentOf(&scenario.Classes[i]))
	}
	for i := range scenario.Services {
		document.Services = append(document.Services, serviceDocumentOf(&scenario.Services[i]))
	}
	return document
}
