package httpfront

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"

	"cinderroad/loadbalancer"
)

// List is a version of discovery's member list, or the changes since another version.
type List struct {
	Revision int64   `json:"rev"`
	Full     bool    `json:"all"` // every member is listed
	Entries  []Entry `json:"targets"`

	droppedUIDs []string // of invalid entries
}

// Entry is one backend in a List.
type Entry struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"` // host:port
	Zone        string  `json:"az"`       // name in the settings, or its index
	Kind        string  `json:"model"`    // name in the settings, or its index
	Cell        int     `json:"pod_group"`
	State       string  `json:"state"` // ready, draining or gone
	Weight      float64 `json:"capacity_hint"`
	StartedAtMs float64 `json:"boot_ms"` // Unix time in milliseconds; 0: not known
}

// ParseList reads a list or a line of changes. Invalid entries are dropped and returned as errors in bad; the rest is
// used, since one bad entry must not hold up the news that another backend drains. err reports a text that is no list.
func ParseList(text []byte) (l List, bad []error, err error) {
	if err = json.Unmarshal(text, &l); err != nil {
		l, bad, err = parseEntries(text, err)
		if err != nil {
			return List{}, nil, err
		}
	}
	bad = append(bad, l.dropInvalid()...)
	if l.Full && len(l.Entries) == 0 && len(bad) > 0 { // all members would depart
		return List{}, nil, fmt.Errorf("platform: list: full list without a valid entry: %w", bad[0])
	}
	return l, bad, nil
}

// parseEntries reads a list entry by entry, after the list as a whole failed to decode with listErr.
func parseEntries(text []byte, listErr error) (l List, bad []error, err error) {
	var raw struct {
		Rev     int64             `json:"rev"`
		All     bool              `json:"all"`
		Targets []json.RawMessage `json:"targets"`
	}
	if json.Unmarshal(text, &raw) != nil {
		return l, nil, fmt.Errorf("platform: list: %w", listErr)
	}
	l.Revision = raw.Rev
	l.Full = raw.All
	for _, text := range raw.Targets {
		var entry Entry
		if err := json.Unmarshal(text, &entry); err != nil { // a field of another type leaves the others decoded, the UID too
			bad = append(bad, fmt.Errorf("platform: list: entry %q: %w", entry.UID, err))
			l.droppedUIDs = append(l.droppedUIDs, entry.UID)
			continue
		}
		l.Entries = append(l.Entries, entry)
	}
	return l, bad, nil
}

// dropInvalid drops invalid entries and returns why. Of two entries for one backend the one with the lower statePriority
// is kept: withholding work loses nothing, while work sent to a draining backend breaks its contract.
func (l *List) dropInvalid() (bad []error) {
	index := make(map[string]int, len(l.Entries)) // in kept, by UID
	kept := l.Entries[:0]
	for _, entry := range l.Entries {
		if err := entry.validate(); err != nil {
			bad = append(bad, err)
			l.droppedUIDs = append(l.droppedUIDs, entry.UID)
			continue
		}
		i, duplicate := index[entry.UID]
		if !duplicate {
			index[entry.UID] = len(kept)
			kept = append(kept, entry)
			continue
		}
		bad = append(bad, fmt.Errorf("platform: list: %s: duplicate entry, states %s and %s", entry.UID, kept[i].State, entry.State))
		if statePriority[entry.State] < statePriority[kept[i].State] {
			kept[i] = entry
		}
	}
	l.Entries = kept
	return bad
}

// Validate returns the error of the first invalid entry.
func (l *List) Validate() error {
	for i := range l.Entries {
		if err := l.Entries[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) validate() error {
	if e.UID == "" || workerStates[e.State] == 0 && e.State != stateGone {
		return fmt.Errorf("platform: list: bad entry %q with state %q", e.UID, e.State)
	}
	if _, err := netip.ParseAddrPort(e.Endpoint); err != nil && e.State != stateGone {
		return fmt.Errorf("platform: list: %s: %w", e.UID, err)
	}
	if math.IsNaN(e.StartedAtMs) || e.StartedAtMs < 0 {
		return fmt.Errorf("platform: list: %s: invalid boot_ms", e.UID)
	}
	return nil
}

// The states of a backend on the wire.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// statePriority orders the states by how much new work a backend in them gets.
var statePriority = map[string]int{stateGone: 0, stateDraining: 1, stateReady: 2}

// workerStates maps the states of the wire; any other one is Departed.
var workerStates = map[string]loadbalancer.WorkerState{
	stateReady:    loadbalancer.Ready,
	stateDraining: loadbalancer.Draining,
}
