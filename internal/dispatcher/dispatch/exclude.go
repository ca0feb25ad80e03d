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
func (c *Dispatcher) Exclusions() map[string]Exclusion { return maps.Clone(c.exclusions) }

// ExcludedCount is how many members are out.
func (c *Dispatcher) ExcludedCount() (n int) {
	for _, x := range c.exclusions {
		if x.IncludedAt == 0 {
			n++
		}
	}
	return n
}

// Exclude works out what taking a member out changes; Apply does it. Taking it out twice is as good as once.
func (c *Dispatcher) Exclude(name string) ExclusionChange {
	was, had := c.exclusions[name]
	id, known := c.workerIDs[name]
	ch := ExclusionChange{Known: known || had, Exclusions: maps.Clone(c.exclusions)}
	switch {
	case !ch.Known || had && was.IncludedAt == 0:
	case len(c.exclusions) >= maxExclusions:
		ch.LimitReached = true
	default:
		x := Exclusion{ExcludedAt: c.clock.Now()}
		if m := c.members[id]; known && m != nil {
			x.StartedAt = m.StartedAt
		}
		ch.Exclusions[name] = x
	}
	return ch
}

// Include works out what calling a member back changes.
func (c *Dispatcher) Include(name string) ExclusionChange {
	x, had := c.exclusions[name]
	_, known := c.workerIDs[name]
	ch := ExclusionChange{Known: known || had, Exclusions: maps.Clone(c.exclusions)}
	if had && x.IncludedAt == 0 {
		x.IncludedAt = c.clock.Now()
		ch.Exclusions[name] = x
	}
	return ch
}

// ApplyExclusions puts exclusions in force in place of those there were: the decisions see them before anything else is sent.
func (c *Dispatcher) ApplyExclusions(out map[string]Exclusion) {
	c.handle(func() {
		old := c.exclusions
		c.exclusions = maps.Clone(out)
		c.refreshMembers(changedKeys(old, c.exclusions), func(m *Member, _ loadbalancer.Worker) {
			if out[m.Name].IncludedAt > 0 { // whatever it is now, it is not the process those connections led to
				m.Backend.ResetConnections()
			}
		})
	})
}

// changedKeys names, in order, what two maps do not say alike.
func changedKeys[V comparable](old, new map[string]V) (names []string) {
	for name, v := range old {
		if w, still := new[name]; !still || v != w {
			names = append(names, name)
		}
	}
	for name := range new {
		if _, had := old[name]; !had {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// refreshMembers has the decisions see members as what lies over their lists' word says now; after hears of each what it was.
func (c *Dispatcher) refreshMembers(names []string, after func(m *Member, was loadbalancer.Worker)) {
	var workers []loadbalancer.Worker
	for _, name := range names {
		id, known := c.workerIDs[name]
		m := c.members[id]
		if !known || m == nil || m.Backend == nil {
			continue
		}
		was := m.Worker
		c.applyOverrides(m)
		c.trackState(m, was.State)
		after(m, was)
		workers = append(workers, m.Worker)
	}
	if len(workers) > 0 {
		c.balancer.UpdateWorkers(c.clock.Now(), loadbalancer.ListDelta, workers)
	}
}

// applyOverrides works out what the decisions see of a member. One that is out drains and keeps its start, so that the start
// it comes back with is news to them: its own if it has been told since, else the call back.
func (c *Dispatcher) applyOverrides(m *Member) {
	m.Worker = m.listed
	c.restrict(m)
	x, had := c.exclusions[m.Name]
	switch {
	case !had:
	case x.IncludedAt == 0:
		m.StartedAt = x.StartedAt
		if m.State == loadbalancer.Ready {
			m.State = loadbalancer.Draining
		}
	case m.StartedAt >= x.ExcludedAt || c.clock.Now() > x.IncludedAt+c.settings.SlowStartDuration+1:
		delete(c.exclusions, m.Name) // discovery has caught up, or it is warm
	default:
		m.StartedAt = x.IncludedAt
	}
}

// Snapshot is what the decisions have learnt, for the process that takes this one's place.
func (c *Dispatcher) Snapshot() loadbalancer.Snapshot { return c.balancer.Snapshot() }

// Restore takes what another process has learnt, before the first list; it says why it is of no use.
func (c *Dispatcher) Restore(l loadbalancer.Snapshot) (err error) {
	c.handle(func() { err = c.balancer.Restore(c.clock.Now(), l) })
	return err
}

// SetInstanceShare has the decisions know their place among the dispatchers that share the workers; one that makes no sense changes
// nothing.
func (c *Dispatcher) SetInstanceShare(p loadbalancer.InstanceShare) (err error) {
	c.handle(func() { err = c.balancer.SetInstanceShare(p) })
	return err
}
