package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/policysim"
)

// configurationDocument is a whole configuration.
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

// changeDocument alters items by name.
type changeDocument struct {
	Version int          `json:"version"`
	Replace changedItems `json:"replace"`
}

type changedItems struct {
	Routes []routeDocument `json:"routes"`
}

// routeHost is that of all routes.
const routeHost = "screening.example"

func pathPrefix(c *policysim.Class) string { return "/" + c.Name + "/" }

// typeName is a route's type on the wire.
func typeName(t configuration.RouteType) string {
	switch t {
	case configuration.ReadOnly:
		return "read_only"
	case configuration.ReadWrite:
		return "writes"
	}
	return "streaming"
}

func routeDocumentOf(c *policysim.Class) routeDocument {
	r := routeDocument{Name: "r-" + c.Name, Host: routeHost, PathStart: pathPrefix(c), Type: typeName(c.Type),
		TimeoutMS: c.Deadline.Milliseconds(),
		TargetMS:  c.LatencyTarget.Milliseconds(), Rank: c.Rank, Service: c.Service, Tries: c.MaxAttempts, HomeRegions: []string{}}
	if c.Type == configuration.Streaming {
		r.PinCache, r.Resumable, r.GapAimMS = true, c.Resumable, c.EventGapTarget.Milliseconds()
	}
	r.HomeRegions = append(r.HomeRegions, c.HomeRegions...)
	return r
}

func serviceDocumentOf(s *policysim.Service) map[string]any {
	service := map[string]any{"name": s.Name, "health_path": healthPath, "max_conns": s.MaxConnections, "protocol": "h1",
		"use_tls":    false,
		"cold_for_s": s.SlowStartDuration.Seconds(), "cold_rate_s": s.SlowStartRate}
	if e := s.Engine; e != nil {
		service["backend"] = map[string]any{"capacity": e.Slots, "cache_tokens": e.MemoryTokens, "token_cache_bytes": 327680,
			"link_mbps": 550000.0, "stride": e.StrideTokens, "models": []map[string]string{{"name": modelName}}}
	}
	return service
}

func configurationDocumentOf(s *policysim.Scenario, version int) configurationDocument {
	d := configurationDocument{Version: version, Limits: map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4 << 20,
		"header_wait_ms": 3000,
		"idle_limit_ms":  15000}}
	for i := range s.Classes {
		d.Routes = append(d.Routes, routeDocumentOf(&s.Classes[i]))
	}
	for i := range s.Services {
		d.Services = append(d.Services, serviceDocumentOf(&s.Services[i]))
	}
	return d
}

// Paths of the operator's interface.
const (
	replacePath     = "/-/Settings.Replace"
	changePath      = "/-/Settings.Change"
	readPath        = "/-/Settings.Read"
	beginPath       = "/-/DrainZone.Begin/"
	finishPath      = "/-/DrainZone.Finish/"
	basedOnHeader   = "X-Based-On"
	operatorTimeout = time.Second
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
)

// operator sends orders to the control machines.
type operator struct {
	addresses []string
	client    http.Client
	attempts  int
}

func (d *deployment) operator() *operator {
	return &operator{addresses: d.seedAddresses(), client: http.Client{Timeout: operatorTimeout}}
}

// rejectedError says that an order was turned down.
type rejectedError struct {
	Path   string
	Status int
	Text   string
}

// Error says what was answered.
func (e *rejectedError) Error() string {
	return fmt.Sprintf("operator: %s was answered with %d: %s", e.Path, e.Status, e.Text)
}

// send sends an order until it has a clear answer.
func (o *operator) send(ctx context.Context, method, path string, base int, body []byte) ([]byte, error) {
	wait := minBackoff
	for {
		text, status, err := o.sendOnce(ctx, method, path, base, body)
		switch {
		case err == nil && status >= http.StatusOK && status < http.StatusMultipleChoices:
			return text, nil
		case err == nil && isFinal(status):
			return nil, &rejectedError{Path: path, Status: status, Text: string(text)}
		}
		o.attempts++
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, fmt.Errorf("operator: %s got no clear answer: last status %d, %w", path, status, ctx.Err())
		}
		wait = min(2*wait, maxBackoff)
	}
}

// isFinal says whether a status ends an order.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return true
	}
	return false
}

func (o *operator) sendOnce(ctx context.Context, method, path string, base int, body []byte) (text []byte, status int,
	err error) {
	url := "http://" + o.addresses[o.attempts%len(o.addresses)] + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(basedOnHeader, fmt.Sprint(base))
	}
	response, err := o.client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	return text, response.StatusCode, err
}

// replaceConfiguration sends a whole configuration.
func (o *operator) replaceConfiguration(ctx context.Context, d configurationDocument, base int) error {
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	_, err = o.send(ctx, http.MethodPost, replacePath, base, body)
	return err
}

// changeConfiguration sends a change of items.
func (o *operator) changeConfiguration(ctx context.Context, c changeDocument, base int) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = o.send(ctx, http.MethodPost, changePath, base, body)
	return err
}

// readConfiguration reads the configuration in force.
func (o *operator) readConfiguration(ctx context.Context) (*configurationDocument, error) {
	text, err := o.send(ctx, http.MethodGet, readPath, 0, nil)
	if err != nil {
		return nil, err
	}
	var d configurationDocument
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("operator: the configuration that was read: %w", err)
	}
	return &d, nil
}

// setEvacuation empties a zone, or takes that back.
func (o *operator) setEvacuation(ctx context.Context, zone string, begin bool) error {
	path := finishPath
	if begin {
		path = beginPath
	}
	_, err := o.send(ctx, http.MethodPost, path+zone, 0, nil)
	return err
}
