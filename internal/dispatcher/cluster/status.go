package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/shared/membership"
)

// digest formats the digest of a view.
func digest(d uint64) string { return fmt.Sprintf("%016x", d) }

// Member is a member as /api/fleet shows it.
type Member struct {
	Name          string            `json:"name"`
	Address       string            `json:"address"`
	Zone          string            `json:"zone"`
	State         string            `json:"state"`
	Incarnation   uint64            `json:"incarnation"`
	SinceMS       int64             `json:"since_ms"` // Unix time at which the state was entered, as this member saw it
	Serving       string            `json:"serving"`
	Console       string            `json:"console"`
	Generation    uint64            `json:"life"`
	Version       map[string]string `json:"version"`
	VersionMS     map[string]int64  `json:"version_ms"`        // Unix time at which each came into force, by the member's clock
	ListVersion   *versions.Version `json:"list,omitempty"`    // version of discovery's list that it states to have
	ListVersionMS int64             `json:"list_ms,omitempty"` // Unix time at which it first had it, as this member saw it
}

// Status is the body of GET /api/fleet. The JSON names are a public format.
type Status struct {
	Cluster       string              `json:"fleet"`
	Self          string              `json:"me"`
	Digest        string              `json:"digest"`
	Converged     bool                `json:"settled"`
	Members       []Member            `json:"members"`
	Share         StatusShare         `json:"place"`
	TimeoutFactor int                 `json:"health"` // factor by which timeouts are lengthened; 1 is healthy
	Drops         map[string]uint64   `json:"drops"`
	Restrictions  []StatusRestriction `json:"held"` // restrictions on workers because of peers' facts
	Lease         StatusLease         `json:"lease"`
	Orders        []versions.Order    `json:"orders"` // ordered by the member that they name
}

// StatusRestriction is a worker that is restricted.
type StatusRestriction struct {
	Worker   string `json:"worker"`
	State    string `json:"state"`
	Revision int64  `json:"rev"`
	From     string `json:"from"`
}

// StatusLease is the state of this dispatcher's lease.
type StatusLease struct {
	State  string  `json:"state"`
	Reason string  `json:"why"`
	AgeS   float64 `json:"age_s"` // seconds since an update of discovery last confirmed all that is known here; -1: never
}

// StatusShare is this dispatcher's share of the budget of workers in slow start.
type StatusShare struct {
	Instances int     `json:"instances"`
	Index     int     `json:"me"`
	Fraction  float64 `json:"part"`
	Reason    string  `json:"why"`
}

// Status returns all that /api/fleet shows.
func (c *Cluster) Status() Status {
	view := c.node.View()
	status := Status{
		Cluster:       c.options.Cluster,
		Self:          c.options.Name,
		Digest:        digest(view.Digest),
		Converged:     view.Converged && !view.Withdrawn && !c.waiting,
		TimeoutFactor: view.TimeoutFactor,
		Share:         StatusShare{c.share.Instances, c.share.Index, c.share.Fraction, string(c.share.Reason)},
		Drops:         map[string]uint64{},
		Members:       []Member{},
		Restrictions:  []StatusRestriction{},
		Orders:        []versions.Order{},
	}
	held := c.options.Versions.Restrictions()
	for _, worker := range slices.Sorted(maps.Keys(held)) {
		status.Restrictions = append(status.Restrictions, StatusRestriction{
			Worker:   worker,
			State:    held[worker].State.String(),
			Revision: held[worker].Revision,
			From:     held[worker].From,
		})
	}
	lease := c.options.Versions.Lease
	status.Lease = StatusLease{lease.State().String(), lease.Reason, c.ConfirmationAge()}
	orders := c.options.Versions.Orders()
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		status.Orders = append(status.Orders, orders[name])
	}
	for i, n := range c.Drops {
		status.Drops[DropNames[i]] = n
	}
	stats := c.node.Stats
	maps.Copy(status.Drops, map[string]uint64{"repeated": stats.Duplicates, "stale": stats.Stale, "own": stats.OwnMessages})
	for i := range view.Members {
		status.Members = append(status.Members, c.memberStatus(&view.Members[i]))
	}
	return status
}

// memberStatus returns a member as /api/fleet shows it.
func (c *Cluster) memberStatus(member *membership.Member) Member {
	status := Member{
		Name:        member.Name,
		Address:     member.Addr.String(),
		State:       member.State.String(),
		Incarnation: member.Incarnation,
		SinceMS:     int64(member.Since * 1000),
		Generation:  member.Generation,
		Version:     map[string]string{},
		VersionMS:   map[string]int64{},
	}
	if metadata := member.Metadata; metadata != nil {
		status.Zone = metadata.Zone
		status.Serving = metadata.Serving
		status.Console = metadata.Console
		for name, version := range map[string]string{
			"program":  metadata.Version,
			"settings": metadata.SettingsHash,
			"operator": metadata.OperatorHash,
			"excluded": metadata.ExcludedHash,
		} {
			if version != "" {
				status.Version[name] = version
			}
		}
		started := int64(member.Generation / 1000) // a generation is the start in microseconds
		for name, at := range map[string]int64{
			"program":  started,
			"settings": started,
			"operator": int64(metadata.OperatorAt) * 1000,
			"excluded": int64(metadata.ExcludedAt) * 1000,
		} {
			if at > 0 && status.Version[name] != "" {
				status.VersionMS[name] = at
			}
		}
	}
	if member.State == membership.Alive && member.OutOfService() {
		status.State = excludedState
	}
	if peer, known := c.options.Versions.Peers()[member.Name]; known && member.State != membership.Left {
		status.ListVersion = &peer.Version
		status.ListVersionMS = int64(peer.VersionSince * 1000)
	} else if version, hasVersion := c.options.Versions.Version(); hasVersion && member.Self {
		status.ListVersion = &version
		status.ListVersionMS = int64(c.options.Versions.VersionSince() * 1000)
	}
	return status
}

// excludedState is the state shown of an alive member that takes no new work. It keeps its share of workers in slow
// start, since its requests in flight go on.
const excludedState = "shut-out"

// String summarizes the members by state.
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
