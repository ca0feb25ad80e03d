package dispatch

import (
	"maps"

	"cinderroad/loadbalancer"
)

// maxExclusions bounds the number of exclusions in force.
const maxExclusions = 1024

// Exclusion is an operator's order to send a member nothing, or the end of such an order. Neither a list nor a restart
// nor a reconnect lifts it. The JSON form is stored and passed between processes.
type Exclusion struct {
	ExcludedAt float64 `json:"at"`
	StartedAt  float64 `json:"since"`          // the member's start time when it was excluded
	IncludedAt float64 `json:"back,omitempty"` // when the order was lifted; 0: it is in force
}

// ExclusionChange is what Exclude or Include would change. It has no effect before ApplyExclusions.
type ExclusionChange struct {
	Known        bool // the member exists, or is excluded
	LimitReached bool // too many members are excluded
	Exclusions   map[string]Exclusion
}

// Exclusions returns a copy of the exclusions in force, and of those lifted not long ago, by the member's name.
func (d *Dispatcher) Exclusions() map[string]Exclusion { return maps.Clone(d.exclusions) }

// ExcludedCount returns the number of excluded members.
func (d *Dispatcher) ExcludedCount() (count int) {
	for _, exclusion := range d.exclusions {
		if exclusion.IncludedAt == 0 {
			count++
		}
	}
	return count
}

// Exclude returns the change that excludes a member. Excluding it again changes nothing.
func (d *Dispatcher) Exclude(name string) ExclusionChange {
	current, found := d.exclusions[name]
	id, known := d.workerIDs[name]
	change := ExclusionChange{Known: known || found, Exclusions: maps.Clone(d.exclusions)}
	switch {
	case !change.Known || found && current.IncludedAt == 0: // unknown, or excluded already: nothing to change
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

// Include returns the change that includes an excluded member again.
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

// ApplyExclusions replaces the exclusions, such as by those of an ExclusionChange once they are stored. The balancer sees
// the change before anything else is sent.
func (d *Dispatcher) ApplyExclusions(exclusions map[string]Exclusion) {
	d.handle(func() {
		old := d.exclusions
		d.exclusions = maps.Clone(exclusions)
		d.refreshMembers(changedKeys(old, d.exclusions), func(member *Member, _ loadbalancer.Worker) {
			if exclusions[member.Name].IncludedAt > 0 { // those connections lead to the process that was excluded
				member.Backend.ResetConnections()
			}
		})
	})
}
