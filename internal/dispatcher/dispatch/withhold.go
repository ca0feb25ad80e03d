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
func (c *Dispatcher) SetRestrictions(held map[string]Restriction) {
	c.handle(func() {
		old := c.restrictions
		c.restrictions = maps.Clone(held)
		c.refreshMembers(changedKeys(old, held), func(m *Member, was loadbalancer.Worker) {
			if m.StartedAt > was.StartedAt {
				m.Backend.ResetConnections() // another process has its place
			}
		})
	})
}

// SetPaused has no member get anything new until it is lifted: jobs wait, as they do where nobody may be sent to. For a process that
// slept and has to look again first.
func (c *Dispatcher) SetPaused(on bool) {
	c.handle(func() {
		if c.paused == on {
			return
		}
		c.paused = on
		var names []string
		for _, name := range slices.Sorted(maps.Keys(c.workerIDs)) {
			if m := c.members[c.workerIDs[name]]; m != nil && m.listed.State == loadbalancer.Ready {
				names = append(names, name)
			}
		}
		c.refreshMembers(names, func(*Member, loadbalancer.Worker) {})
	})
}

// RestrictedCount is how many members are taken for less than the own list says.
func (c *Dispatcher) RestrictedCount() int { return len(c.restrictions) }

// restrict works what others know into what the decisions see of a member.
func (c *Dispatcher) restrict(m *Member) {
	if c.paused && m.State == loadbalancer.Ready {
		m.State = loadbalancer.Draining
	}
	h, had := c.restrictions[m.Name]
	if !had {
		return
	}
	if h.State != loadbalancer.Ready && m.State == loadbalancer.Ready {
		m.State = loadbalancer.Draining
	}
	m.StartedAt = max(m.StartedAt, h.StartedAt)
}
