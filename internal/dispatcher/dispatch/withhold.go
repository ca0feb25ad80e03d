package dispatch

import (
	"maps"
	"slices"

	"cinderroad/loadbalancer"
)

// Restriction says how a member is to be taken although its own list says more of it: others know a newer version.
type Restriction struct {
	State     loadbalancer.WorkerState // Ready where its start alone is news
	StartedAt float64                  // its start; 0 is not told
}

// SetRestrictions puts in force what others know of members, in place of what was: the decisions see it before anything else is sent.
// It never makes a member ready, nor anybody known that the list does not name.
func (d *Dispatcher) SetRestrictions(restrictions map[string]Restriction) {
	d.handle(func() {
		old := d.restrictions
		d.restrictions = maps.Clone(restrictions)
		d.refreshMembers(changedKeys(old, restrictions), func(member *Member, old loadbalancer.Worker) {
			if member.StartedAt > old.StartedAt {
				member.Backend.ResetConnections() // another process has its place
			}
		})
	})
}

// SetPaused has no member get anything new until it is lifted: jobs wait, as they do where nobody may be sent to. For a process that
// slept and has to look again first.
func (d *Dispatcher) SetPaused(paused bool) {
	d.handle(func() {
		if d.paused == paused {
			return
		}
		d.paused = paused
		var names []string
		for _, name := range slices.Sorted(maps.Keys(d.workerIDs)) {
			if member := d.members[d.workerIDs[name]]; member != nil && member.listed.State == loadbalancer.Ready {
				names = append(names, name)
			}
		}
		d.refreshMembers(names, func(*Member, loadbalancer.Worker) {})
	})
}

// RestrictedCount is how many members are taken for less than the own list says.
func (d *Dispatcher) RestrictedCount() int { return len(d.restrictions) }

// restrict works what others know into what the decisions see of a member.
func (d *Dispatcher) restrict(member *Member) {
	if d.paused && member.State == loadbalancer.Ready {
		member.State = loadbalancer.Draining
	}
	restriction, restricted := d.restrictions[member.Name]
	if !restricted {
		return
	}
	if restriction.State != loadbalancer.Ready && member.State == loadbalancer.Ready {
		member.State = loadbalancer.Draining
	}
	member.StartedAt = max(member.StartedAt, restriction.StartedAt)
}
