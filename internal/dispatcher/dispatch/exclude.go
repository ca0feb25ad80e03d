package dispatch

import (
	"maps"
	"slices"

	"cinderroad/loadbalancer"
)

// maxExclusions bounds how many members may be excluded at once.
const maxExclusions = 1024

// Exclusion says that a member was taken out by hand, or came back from that. No list, restart or reconnect lifts it.
type Exclusion struct {
	ExcludedAt float64 `json:"at"`             // when it was taken out
	StartedAt  float64 `json:"since"`          // its start as of then
	IncludedAt float64 `json:"back,omitempty"` // when it was called back; 0 is not yet
}

// ExclusionChange is what Exclude or Include would have done.
type ExclusionChange struct {
	Known        bool // somebody has such a member
	LimitReached bool // too many are out
	Exclusions   map[string]Exclusion
}

// Exclusions are those in force, and those from which members came back not long ago.
func (d *Dispatcher) Exclusions() map[string]Exclusion { return maps.Clone(d.exclusions) }

// ExcludedCount is how many members are out.
func (d *Dispatcher) ExcludedCount() (count int) {
	for _, exclusion := range d.exclusions {
		if exclusion.IncludedAt == 0 {
			count++
		}
	}
	return count
}

// Exclude works out what taking a member out changes; Apply does it. Taking it out twice is as good as once.
func (d *Dispatcher) Exclude(name string) ExclusionChange {
	current, found := d.exclusions[name]
	id, known := d.workerIDs[name]
	change := ExclusionChange{Known: known || found, Exclusions: maps.Clone(d.exclusions)}
	switch {
	case !change.Known || found && current.IncludedAt == 0:
	case len(d.exclusions) >= maxExclusions:
		change.LimitReached = true
	default:
		exclusion := Exclusion{ExcludedAt: d.clock.Now()}
		if member := d.members[id]; known && member != nil {
			exclusion.StartedAt = member.StartedAt
		}
		change.Exclusions[name] = exclusion
	}
	return change
}

// Include works out what calling a member back changes.
func (d *Dispatcher) Include(name string) ExclusionChange {
	exclusion, found := d.exclusions[name]
	_, known := d.workerIDs[name]
	change := ExclusionChange{Known: known || found, Exclusions: maps.Clone(d.exclusions)}
	if found && exclusion.IncludedAt == 0 {
		exclusion.IncludedAt = d.clock.Now()
		change.Exclusions[name] = exclusion
	}
	return change
}

// ApplyExclusions puts exclusions in force in place of those there were: the decisions see them before anything else is sent.
func (d *Dispatcher) ApplyExclusions(exclusions map[string]Exclusion) {
	d.handle(func() {
		old := d.exclusions
		d.exclusions = maps.Clone(exclusions)
		d.refreshMembers(changedKeys(old, d.exclusions), func(member *Member, _ loadbalancer.Worker) {
			if exclusions[member.Name].IncludedAt > 0 { // whatever it is now, it is not the process those connections led to
				member.Backend.ResetConnections()
			}
		})
	})
}

// changedKeys names, in order, what two maps do not say alike.
func changedKeys[V comparable](old, new map[string]V) (keys []string) {
	for key, value := range old {
		if newValue, ok := new[key]; !ok || value != newValue {
			keys = append(keys, key)
		}
	}
	for key := range new {
		if _, ok := old[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// refreshMembers has the decisions see members as what lies over their lists' word says now; after hears of each what it was.
func (d *Dispatcher) refreshMembers(names []string, after func(member *Member, old loadbalancer.Worker)) {
	var workers []loadbalancer.Worker
	for _, name := range names {
		id, known := d.workerIDs[name]
		member := d.members[id]
		if !known || member == nil || member.Backend == nil {
			continue
		}
		old := member.Worker
		d.applyOverrides(member)
		d.trackState(member, old.State)
		after(member, old)
		workers = append(workers, member.Worker)
	}
	if len(workers) > 0 {
		d.balancer.UpdateWorkers(d.clock.Now(), loadbalancer.ListDelta, workers)
	}
}

// applyOverrides works out what the decisions see of a member. One that is out drains and keeps its start, so that the start
// it comes back with is news to them: its own if it has been told since, else the call back.
func (d *Dispatcher) applyOverrides(member *Member) {
	member.Worker = member.listed
	d.restrict(member)
	exclusion, excluded := d.exclusions[member.Name]
	switch {
	case !excluded:
	case exclusion.IncludedAt == 0:
		member.StartedAt = exclusion.StartedAt
		if member.State == loadbalancer.Ready {
			member.State = loadbalancer.Draining
		}
	case member.StartedAt >= exclusion.ExcludedAt || d.clock.Now() > exclusion.IncludedAt+d.settings.SlowStartDuration+1:
		delete(d.exclusions, member.Name) // discovery has caught up, or it is warm
	default:
		member.StartedAt = exclusion.IncludedAt
	}
}

// Snapshot is what the decisions have learnt, for the process that takes this one's place.
func (d *Dispatcher) Snapshot() loadbalancer.Snapshot { return d.balancer.Snapshot() }

// Restore takes what another process has learnt, before the first list; it says why it is of no use.
func (d *Dispatcher) Restore(snapshot loadbalancer.Snapshot) (err error) {
	d.handle(func() { err = d.balancer.Restore(d.clock.Now(), snapshot) })
	return err
}

// SetInstanceShare has the decisions know their place among the dispatchers that share the workers; one that makes no sense changes
// nothing.
func (d *Dispatcher) SetInstanceShare(share loadbalancer.InstanceShare) (err error) {
	d.handle(func() { err = d.balancer.SetInstanceShare(share) })
	return err
}
