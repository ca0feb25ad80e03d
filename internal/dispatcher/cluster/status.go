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
	Name          string            `json:"name"`
	Address       string            `json:"address"`
	Zone          string            `json:"zone"`
	State         string            `json:"state"`
	Incarnation   uint64            `json:"incarnation"`
	SinceMS       int64             `json:"since_ms"` // Unix time of the state's begin, as this member saw it
	Serving       string            `json:"serving"`
	Console       string            `json:"console"`
	Generation    uint64            `json:"life"`
	Version       map[string]string `json:"version"`
	VersionMS     map[string]int64  `json:"version_ms"`        // Unix time at which each came into force, by the member's clock
	ListVersion   *versions.Version `json:"list,omitempty"`    // the version of discovery's list that it says it has
	ListVersionMS int64             `json:"list_ms,omitempty"` // Unix time at which it came to have it, as this member saw it
}

// Status is what GET /api/fleet answers.
type Status struct {
	Cluster       string              `json:"fleet"`
	Self          string              `json:"me"`
	Digest        string              `json:"digest"`
	Converged     bool                `json:"settled"`
	Members       []Member            `json:"members"`
	Share         StatusShare         `json:"place"`
	TimeoutFactor int                 `json:"health"` // 1 is well; times are stretched by it
	Drops         map[string]uint64   `json:"drops"`
	Restrictions  []StatusRestriction `json:"held"` // workers that get less than the own list says, on peers' words
	Lease         StatusLease         `json:"lease"`
	Orders        []versions.Order    `json:"orders"` // by the member that they name
}

// StatusRestriction is a worker that is withheld.
type StatusRestriction struct {
	Worker   string `json:"worker"`
	State    string `json:"state"`
	Revision int64  `json:"rev"`
	From     string `json:"from"`
}

// StatusLease is how this dispatcher stands to its lease.
type StatusLease struct {
	State  string  `json:"state"`
	Reason string  `json:"why"`
	AgeS   float64 `json:"age_s"` // seconds since a word of discovery last confirmed what is known here; -1: never
}

// StatusShare is among whom cold workers are shared.
type StatusShare struct {
	Instances int     `json:"instances"`
	Index     int     `json:"me"`
	Fraction  float64 `json:"part"`
	Reason    string  `json:"why"`
}

// Status tells all that is shown.
func (c *Cluster) Status() Status {
	view := c.node.View()
	s := Status{Cluster: c.options.Cluster, Self: c.options.Name, Digest: digest(view.Digest), Converged: view.Converged && !view.Withdrawn && !c.waiting, TimeoutFactor: view.TimeoutFactor,
		Share: StatusShare{c.share.Instances, c.share.Index, c.share.Fraction, string(c.share.Reason)}, Drops: map[string]uint64{}, Members: []Member{}, Restrictions: []StatusRestriction{},
		Orders: []versions.Order{}}
	held := c.options.Versions.Restrictions()
	for _, worker := range slices.Sorted(maps.Keys(held)) {
		s.Restrictions = append(s.Restrictions, StatusRestriction{worker, held[worker].State.String(), held[worker].Revision, held[worker].From})
	}
	s.Lease = StatusLease{c.options.Versions.Lease.State().String(), c.options.Versions.Lease.Reason, c.ConfirmationAge()}
	orders := c.options.Versions.Orders()
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		s.Orders = append(s.Orders, orders[name])
	}
	for i, n := range c.Drops {
		s.Drops[DropNames[i]] = n
	}
	stats := c.node.Stats
	maps.Copy(s.Drops, map[string]uint64{"repeated": stats.Duplicates, "stale": stats.Stale, "own": stats.OwnMessages})
	for _, m := range view.Members {
		out := Member{Name: m.Name, Address: m.Addr.String(), State: m.State.String(), Incarnation: m.Incarnation, SinceMS: int64(m.Since * 1000),
			Generation: m.Generation, Version: map[string]string{}, VersionMS: map[string]int64{}}
		if k := m.Metadata; k != nil {
			out.Zone, out.Serving, out.Console = k.Zone, k.Serving, k.Console
			for name, view := range map[string]string{"program": k.Version, "settings": k.SettingsHash, "operator": k.OperatorHash, "excluded": k.ExcludedHash} {
				if view != "" {
					out.Version[name] = view
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
			out.State = excludedState
		}
		if p, told := c.options.Versions.Peers()[m.Name]; told && m.State != membership.Left {
			out.ListVersion, out.ListVersionMS = &p.Version, int64(p.VersionSince*1000)
		} else if own, has := c.options.Versions.Version(); has && m.Self {
			out.ListVersion, out.ListVersionMS = &own, int64(c.options.Versions.VersionSince()*1000)
		}
		s.Members = append(s.Members, out)
	}
	return s
}

// excludedState is the state shown of one that is alive and takes no new work. It keeps its share of cold workers all the same: what
// it has out is not over.
const excludedState = "shut-out"

// String is a status in one line.
func (s *Status) String() string {
	count := map[string]int{}
	for _, m := range s.Members {
		count[m.State]++
	}
	var parts []string
	for _, state := range []string{"alive", excludedState, "suspect", "dead", "left"} {
		if count[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count[state], state))
		}
	}
	return strings.Join(parts, ", ")
}
