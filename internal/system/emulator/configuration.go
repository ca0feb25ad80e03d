package emulator

import (
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/policysim"
)

// configurationDocument is a whole configuration in the form of the control API.
type configurationDocument struct {
	Version  int               `json:"version"`
	Routes   []routeDocument   `json:"routes"`
	Services []serviceDocument `json:"services"`
	Limits   limitsDocument    `json:"limits"`
}

// serviceDocument is a service in the form of the control API.
type serviceDocument struct {
	Name           string           `json:"name"`
	HealthPath     string           `json:"health_path"`
	MaxConnections int              `json:"max_conns"`
	Protocol       string           `json:"protocol"`
	UseTLS         bool             `json:"use_tls"`
	ColdForS       float64          `json:"cold_for_s"`
	ColdRateS      float64          `json:"cold_rate_s"`
	Backend        *backendDocument `json:"backend,omitempty"`
}

// backendDocument describes the engines of a service.
type backendDocument struct {
	Capacity        int             `json:"capacity"`
	CacheTokens     int             `json:"cache_tokens"`
	TokenCacheBytes int             `json:"token_cache_bytes"`
	LinkMbps        float64         `json:"link_mbps"`
	Stride          int             `json:"stride"`
	Models          []modelDocument `json:"models"`
}

type modelDocument struct {
	Name string `json:"name"`
}

// limitsDocument bounds what clients may send.
type limitsDocument struct {
	MaxHeaderBytes int `json:"max_header_bytes"`
	MaxBodyBytes   int `json:"max_body_bytes"`
	HeaderWaitMS   int `json:"header_wait_ms"`
	IdleLimitMS    int `json:"idle_limit_ms"`
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

// upsertRoute replaces the route of the same name, or adds it.
func (d *configurationDocument) upsertRoute(route routeDocument) {
	for i := range d.Routes {
		if d.Routes[i].Name == route.Name {
			d.Routes[i] = route
			return
		}
	}
	d.Routes = append(d.Routes, route)
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
func serviceDocumentOf(s *policysim.Service) serviceDocument {
	service := serviceDocument{
		Name:           s.Name,
		HealthPath:     healthPath,
		MaxConnections: s.MaxConnections,
		Protocol:       "h1",
		ColdForS:       s.SlowStartDuration.Seconds(),
		ColdRateS:      s.SlowStartRate,
	}
	if e := s.Engine; e != nil {
		service.Backend = &backendDocument{
			Capacity:        e.MaxRunning,
			CacheTokens:     e.MemoryTokens,
			TokenCacheBytes: cacheBytesPerToken,
			LinkMbps:        engineLinkMbps,
			Stride:          e.EventTokens,
			Models:          []modelDocument{{Name: modelName}},
		}
	}
	return service
}

// configurationDocumentOf returns the whole configuration of a scenario.
func configurationDocumentOf(scenario *policysim.Scenario, version int) configurationDocument {
	document := configurationDocument{
		Version: version,
		Limits: limitsDocument{
			MaxHeaderBytes: 16384,
			MaxBodyBytes:   4 << 20,
			HeaderWaitMS:   3000,
			IdleLimitMS:    15000,
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
