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
	var n Callback
	if err := json.Unmarshal(body, &n); err != nil {
		return n, fmt.Errorf("platform: call-back: %w", err)
	}
	if n.ID == "" || n.Runner == "" || n.State == "" {
		return n, fmt.Errorf("platform: call-back without id, from or state")
	}
	return n, nil
}

// ParseLoadReport reads the header form of a load report; nothing, or what makes no sense, is no report.
func ParseLoadReport(text string) LoadReport {
	var l LoadReport
	if text == "" || json.Unmarshal([]byte(text), &l) != nil {
		return nil
	}
	return l
}

// aliases are the short names that runners use for the settings' fields.
var aliases = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// Values puts a report into the settings' order; a report that lacks a field tells -1 there.
func (l LoadReport) Values(fields []string) []float32 {
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
	Revision int64   `json:"rev"`
	Full     bool    `json:"all"`
	Entries  []Entry `json:"targets"`

	dropped []string // uids of entries that made no sense
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
		if l, bad, err = parseEach(text, err); err != nil {
			return List{}, nil, err
		}
	}
	if bad = append(bad, l.sift()...); l.Full && len(l.Entries) == 0 && len(bad) > 0 {
		return List{}, nil, fmt.Errorf("platform: list: no entry of a whole list makes sense: %w", bad[0]) // else all would be gone
	}
	return l, bad, nil
}

// parseEach reads a list entry by entry, since one of them is not of the form; whole is what is wrong with all of it.
func parseEach(text []byte, whole error) (l List, bad []error, err error) {
	var each struct {
		Rev     int64             `json:"rev"`
		All     bool              `json:"all"`
		Targets []json.RawMessage `json:"targets"`
	}
	if json.Unmarshal(text, &each) != nil {
		return l, nil, fmt.Errorf("platform: list: %w", whole)
	}
	l.Revision, l.Full = each.Rev, each.All
	for _, raw := range each.Targets {
		var t Entry
		if err := json.Unmarshal(raw, &t); err != nil {
			bad = append(bad, fmt.Errorf("platform: list: entry %q: %w", t.UID, err))
			l.dropped = append(l.dropped, t.UID)
			continue
		}
		l.Entries = append(l.Entries, t)
	}
	return l, bad, nil
}

// sift drops the entries that make no sense and says why of each. Of two that name the same backend the one that sends it
// less counts: work that is not sent is lost to nobody, work sent to one that drains breaks a promise.
func (l *List) sift() (bad []error) {
	at, kept := make(map[string]int, len(l.Entries)), l.Entries[:0]
	for _, t := range l.Entries {
		if err := t.check(); err != nil {
			bad, l.dropped = append(bad, err), append(l.dropped, t.UID)
			continue
		}
		i, twice := at[t.UID]
		if !twice {
			at[t.UID] = len(kept)
			kept = append(kept, t)
			continue
		}
		bad = append(bad, fmt.Errorf("platform: list: %s: there twice, as %s and as %s", t.UID, kept[i].State, t.State))
		if wants[t.State] < wants[kept[i].State] {
			kept[i] = t
		}
	}
	l.Entries = kept
	return bad
}

// Validate names the first entry that makes no sense.
func (l *List) Validate() error {
	for i := range l.Entries {
		if err := l.Entries[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (t *Entry) check() error {
	if t.UID == "" || states[t.State] == 0 && t.State != "gone" {
		return fmt.Errorf("platform: list: bad entry %q with state %q", t.UID, t.State)
	}
	if _, err := netip.ParseAddrPort(t.Endpoint); err != nil && t.State != "gone" {
		return fmt.Errorf("platform: list: %s: %w", t.UID, err)
	}
	if math.IsNaN(t.StartedAtMs) || t.StartedAtMs < 0 {
		return fmt.Errorf("platform: list: %s: bad boot_ms", t.UID)
	}
	return nil
}

// wants orders the states by how much new work a backend in them is sent.
var wants = map[string]int{"gone": 0, "draining": 1, "ready": 2}

var states = map[string]loadbalancer.WorkerState{"ready": loadbalancer.Ready, "draining": loadbalancer.Draining}

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
