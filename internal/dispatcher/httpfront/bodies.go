package httpfront

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"cinderroad/loadbalancer"
)

// Callback is a call-back of a runner.
type Callback struct {
	ID       string     `json:"id"`
	Runner   string     `json:"from"`
	State    string     `json:"state"`
	Progress float64    `json:"share"`
	Result   string     `json:"result"`
	Load     LoadReport `json:"load"`
}

// LoadReport is a load report by its fields' names.
type LoadReport map[string]float64

// ParseCallback reads a call-back.
func ParseCallback(body []byte) (Callback, error) {
	var callback Callback
	if err := json.Unmarshal(body, &callback); err != nil {
		return callback, fmt.Errorf("platform: call-back: %w", err)
	}
	if callback.ID == "" || callback.Runner == "" || callback.State == "" {
		return callback, fmt.Errorf("platform: call-back without id, from or state")
	}
	return callback, nil
}

// ParseLoadReport reads the header form of a load report; nothing, or what makes no sense, is no report.
func ParseLoadReport(text string) LoadReport {
	var report LoadReport
	if text == "" || json.Unmarshal([]byte(text), &report) != nil {
		return nil
	}
	return report
}

// fieldAliases are the short names that runners use for the settings' fields.
var fieldAliases = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// Values puts a report into the settings' order; a report that lacks a field tells -1 there.
func (r LoadReport) Values(fields []string) []float32 {
	if len(r) == 0 {
		return nil
	}
	values := make([]float32, len(fields))
	for i, name := range fields {
		value, ok := r[name]
		if !ok {
			value, ok = r[fieldAliases[name]]
		}
		if !ok {
			value = -1
		}
		values[i] = float32(value)
	}
	return values
}

// List is what the director says.
type List struct {
	Revision int64   `json:"rev"`
	Full     bool    `json:"all"`
	Entries  []Entry `json:"targets"`

	droppedUIDs []string // uids of entries that made no sense
}

// Entry is one backend in the director's list.
type Entry struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Cell        int     `json:"pod_group"`
	State       string  `json:"state"`
	Weight      float64 `json:"capacity_hint"`
	StartedAtMs float64 `json:"boot_ms"`
}

// ParseList reads a list or a line of changes. An entry that makes no sense is dropped and named in bad, and the rest is
// taken: one bad word about one backend must not hold up the news that another drains. err is of a text that is no list
// at all, which says nothing.
func ParseList(text []byte) (l List, bad []error, err error) {
	if err = json.Unmarshal(text, &l); err != nil {
		if l, bad, err = parseEntries(text, err); err != nil {
			return List{}, nil, err
		}
	}
	if bad = append(bad, l.dropInvalid()...); l.Full && len(l.Entries) == 0 && len(bad) > 0 {
		return List{}, nil, fmt.Errorf("platform: list: no entry of a whole list makes sense: %w", bad[0]) // else all would be gone
	}
	return l, bad, nil
}

// parseEntries reads a list entry by entry, since one of them is not of the form; whole is what is wrong with all of it.
func parseEntries(text []byte, listErr error) (l List, bad []error, err error) {
	var raw struct {
		Rev     int64             `json:"rev"`
		All     bool              `json:"all"`
		Targets []json.RawMessage `json:"targets"`
	}
	if json.Unmarshal(text, &raw) != nil {
		return l, nil, fmt.Errorf("platform: list: %w", listErr)
	}
	l.Revision, l.Full = raw.Rev, raw.All
	for _, text := range raw.Targets {
		var entry Entry
		if err := json.Unmarshal(text, &entry); err != nil {
			bad = append(bad, fmt.Errorf("platform: list: entry %q: %w", entry.UID, err))
			l.droppedUIDs = append(l.droppedUIDs, entry.UID)
			continue
		}
		l.Entries = append(l.Entries, entry)
	}
	return l, bad, nil
}

// dropInvalid drops the entries that make no sense and says why of each. Of two that name the same backend the one that sends it
// less counts: work that is not sent is lost to nobody, work sent to one that drains breaks a promise.
func (l *List) dropInvalid() (bad []error) {
	index, kept := make(map[string]int, len(l.Entries)), l.Entries[:0]
	for _, entry := range l.Entries {
		if err := entry.validate(); err != nil {
			bad, l.droppedUIDs = append(bad, err), append(l.droppedUIDs, entry.UID)
			continue
		}
		i, duplicate := index[entry.UID]
		if !duplicate {
			index[entry.UID] = len(kept)
			kept = append(kept, entry)
			continue
		}
		bad = append(bad, fmt.Errorf("platform: list: %s: there twice, as %s and as %s", entry.UID, kept[i].State, entry.State))
		if statePriority[entry.State] < statePriority[kept[i].State] {
			kept[i] = entry
		}
	}
	l.Entries = kept
	return bad
}

// Validate names the first entry that makes no sense.
func (l *List) Validate() error {
	for i := range l.Entries {
		if err := l.Entries[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) validate() error {
	if e.UID == "" || workerStates[e.State] == 0 && e.State != "gone" {
		return fmt.Errorf("platform: list: bad entry %q with state %q", e.UID, e.State)
	}
	if _, err := netip.ParseAddrPort(e.Endpoint); err != nil && e.State != "gone" {
		return fmt.Errorf("platform: list: %s: %w", e.UID, err)
	}
	if math.IsNaN(e.StartedAtMs) || e.StartedAtMs < 0 {
		return fmt.Errorf("platform: list: %s: bad boot_ms", e.UID)
	}
	return nil
}

// statePriority orders the states by how much new work a backend in them is sent.
var statePriority = map[string]int{"gone": 0, "draining": 1, "ready": 2}

var workerStates = map[string]loadbalancer.WorkerState{"ready": loadbalancer.Ready, "draining": loadbalancer.Draining}

// parseCallInfo reads the name=value list of a request's further figures.
func parseCallInfo(text string) map[string]float64 {
	info := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			info[name] = v
		}
	}
	return info
}
