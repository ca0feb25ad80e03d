package dispatch

import (
	"maps"
	"slices"

	"cinderroad/loadbalancer"
)

// Restriction limits what the balancer sees of a member, since other dispatchers know a newer version of the member
// list than this one.
type Restriction struct {
	State     loadbalancer.WorkerState // anything but Ready: the member gets nothing new
	StartedAt float64                  // start time that others know; 0: none
}

// SetRestrictions replaces the restrictions, which are by the member's name. The balancer sees the change before
// anything else is sent. A restriction never makes a member ready, and none adds a member that is not listed.
func (d *Dispatcher) SetRestrictions(restrictions map[string]Restriction) {
	d.handle(func() {
		old := d.restrictions
		d.restrictions = maps.Clone(restrictions)
		d.refreshMembers(changedKeys(old, restrictions), func(member *Member, old loadbalancer.Worker) {
			if member.StartedAt > old.StartedAt {
				member.Backend.ResetConnections() // a newer process listens at its address
			}
		})
	})
}

// RestrictedCount returns the number of restricted members.
func (d *Dispatcher) RestrictedCount() int { return len(d.restrictions) }

// restrict applies pause and restriction to what the balancer sees of a member.
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

// SetPaused stops new attempts to all members, or allows them again. Requests wait meanwhile, as they do while no
// member is ready. It is for a process that was suspended, or whose lease has expired.
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
