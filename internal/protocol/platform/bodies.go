package platform

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"cinderroad/brain"
)

// News is a call-back of a runner.
type News struct {
	ID     string  `json:"id"`
	From   string  `json:"from"`
	State  string  `json:"state"`
	Share  float64 `json:"share"`
	Result string  `json:"result"`
	Load   Load    `json:"load"`
}

// Load is a load report by its fields' names.
type Load map[string]float64

// ParseNews reads a call-back.
func ParseNews(body []byte) (News, error) {
	var n News
	if err := json.Unmarshal(body, &n); err != nil {
		return n, fmt.Errorf("platform: call-back: %w", err)
	}
	if n.ID == "" || n.From == "" || n.State == "" {
		return n, fmt.Errorf("platform: call-back without id, from or state")
	}
	return n, nil
}

// ParseLoad reads the header form of a load report; nothing, or what makes no sense, is no report.
func ParseLoad(text string) Load {
	var l Load
	if text == "" || json.Unmarshal([]byte(text), &l) != nil {
		return nil
	}
	return l
}

// aliases are the short names that runners use for the settings' fields.
var aliases = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// Values puts a report into the settings' order; a report that lacks a field tells -1 there.
func (l Load) Values(fields []string) []float32 {
	if len(l) == 0 {
		return nil
	}
	values := make([]float32, len(fields))
	for i, name := range fields {
		v, ok := l[name]
		if !ok {
			v, ok = l[aliases[name]]
		}
		if !ok {
			v = -1
		}
		values[i] = float32(v)
	}
	return values
}

// List is what the director says.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is one backend in the director's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`
}

// ParseList reads a list or a line of changes and checks each entry: a list that makes no sense is not taken
// at all, so the old one stays whole.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("platform: list: %w", err)
	}
	return l, l.Check()
}

// Check names the first entry that makes no sense.
func (l *List) Check() error {
	for _, t := range l.Targets {
		if t.UID == "" || states[t.State] == 0 && t.State != "gone" {
			return fmt.Errorf("platform: list: bad entry %q with state %q", t.UID, t.State)
		}
		if _, err := netip.ParseAddrPort(t.Endpoint); err != nil && t.State != "gone" {
			return fmt.Errorf("platform: list: %s: %w", t.UID, err)
		}
		if math.IsNaN(t.BootMs) || t.BootMs < 0 {
			return fmt.Errorf("platform: list: %s: bad boot_ms", t.UID)
		}
	}
	return nil
}

var states = map[string]brain.WorkerState{"ready": brain.Ready, "draining": brain.Draining}

// parseInfo reads the name=value list of a request's further figures.
func parseInfo(text string) map[string]float64 {
	info := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			info[name] = v
		}
	}
	return info
}
