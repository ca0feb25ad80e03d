package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/shared/membership"
)

func digest(d uint64) string { return fmt.Sprintf("%016x", d) }

// Member is one as /api/fleet shows it.
type Member struct {
	Name        string            `json:"name"`
	Address     string            `json:"address"`
	Zone        string            `json:"zone"`
	State       string            `json:"state"`
	Incarnation uint64            `json:"incarnation"`
	SinceMS     int64             `json:"since_ms"` // Unix time of the state's begin, as this member saw it
	Serving     string            `json:"serving"`
	Console     string            `json:"console"`
	Life        uint64            `json:"life"`
	Version     map[string]string `json:"version"`
	VersionMS   map[string]int64  `json:"version_ms"`        // Unix time at which each came into force, by the member's clock
	List        *versions.List    `json:"list,omitempty"`    // the version of discovery's list that it says it has
	ListMS      int64             `json:"list_ms,omitempty"` // Unix time at which it came to have it, as this member saw it
}

// Status is what GET /api/fleet answers.
type Status struct {
	Fleet   string            `json:"fleet"`
	Me      string            `json:"me"`
	Digest  string            `json:"digest"`
	Settled bool              `json:"settled"`
	Members []Member          `json:"members"`
	Place   StatusPlace       `json:"place"`
	Health  int               `json:"health"` // 1 is well; times are stretched by it
	Drops   map[string]uint64 `json:"drops"`
	Held    []StatusHeld      `json:"held"` // workers that get less than the own list says, on peers' words
	Lease   StatusLease       `json:"lease"`
	Orders  []versions.Order  `json:"orders"` // by the member that they name
}

// StatusHeld is a worker that is withheld.
type StatusHeld struct {
	Worker string `json:"worker"`
	State  string `json:"state"`
	Rev    int64  `json:"rev"`
	From   string `json:"from"`
}

// StatusLease is how this dispatcher stands to its lease.
type StatusLease struct {
	State string  `json:"state"`
	Why   string  `json:"why"`
	AgeS  float64 `json:"age_s"` // seconds since a word of discovery last confirmed what is known here; -1: never
}

// StatusPlace is among whom cold workers are shared.
type StatusPlace struct {
	Instances int     `json:"instances"`
	Me        int     `json:"me"`
	Part      float64 `json:"part"`
	Why       string  `json:"why"`
}

// Status tells all that is shown.
func (f *Fleet) Status() Status {
	v := f.machine.View()
	s := Status{Fleet: f.options.Fleet, Me: f.options.Name, Digest: digest(v.Digest), Settled: v.Converged && !v.Withdrawn && !f.waits, Health: v.TimeoutFactor,
		Place: StatusPlace{f.place.Instances, f.place.Me, f.place.Part, string(f.place.Why)}, Drops: map[string]uint64{}, Members: []Member{}, Held: []StatusHeld{},
		Orders: []versions.Order{}}
	held := f.options.Board.Held()
	for _, worker := range slices.Sorted(maps.Keys(held)) {
		s.Held = append(s.Held, StatusHeld{worker, held[worker].State.String(), held[worker].Rev, held[worker].From})
	}
	s.Lease = StatusLease{f.options.Board.Lease.State().String(), f.options.Board.Lease.Reason, f.WordAge()}
	orders := f.options.Board.Orders()
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		s.Orders = append(s.Orders, orders[name])
	}
	for i, n := range f.Drops {
		s.Drops[DropNames[i]] = n
	}
	c := f.machine.Stats
	maps.Copy(s.Drops, map[string]uint64{"repeated": c.Duplicates, "stale": c.Stale, "own": c.OwnMessages})
	for _, m := range v.Members {
		out := Member{Name: m.Name, Address: m.Addr.String(), State: m.State.String(), Incarnation: m.Incarnation, SinceMS: int64(m.Since * 1000),
			Life: m.Generation, Version: map[string]string{}, VersionMS: map[string]int64{}}
		if k := m.Metadata; k != nil {
			out.Zone, out.Serving, out.Console = k.Zone, k.Serving, k.Console
			for name, v := range map[string]string{"program": k.Version, "settings": k.SettingsHash, "operator": k.OperatorHash, "excluded": k.ExcludedHash} {
				if v != "" {
					out.Version[name] = v
				}
			}
			started := int64(m.Generation / 1000) // a life is its start in microseconds
			for name, at := range map[string]int64{"program": started, "settings": started, "operator": int64(k.OperatorAt) * 1000, "excluded": int64(k.ExcludedAt) * 1000} {
				if at > 0 && out.Version[name] != "" {
					out.VersionMS[name] = at
				}
			}
		}
		if m.State == membership.Alive && m.OutOfService() {
			out.State = shutOut
		}
		if p, told := f.options.Board.Peers()[m.Name]; told && m.State != membership.Left {
			out.List, out.ListMS = &p.List, int64(p.Since*1000)
		} else if own, has := f.options.Board.List(); has && m.Self {
			out.List, out.ListMS = &own, int64(f.options.Board.OwnSince()*1000)
		}
		s.Members = append(s.Members, out)
	}
	return s
}

// shutOut is the state shown of one that is alive and takes no new work. It keeps its share of cold workers all the same: what
// it has out is not over.
const shutOut = "shut-out"

// String is a status in one line.
func (s *Status) String() string {
	count := map[string]int{}
	for _, m := range s.Members {
		count[m.State]++
	}
	var parts []string
	for _, state := range []string{"alive", shutOut, "suspect", "dead", "left"} {
		if count[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count[state], state))
		}
	}
	return strings.Join(parts, ", ")
}
