package dispatch

import (
	"maps"
	"slices"

	"cinderroad/loadbalancer"
)

// Held says how a member is to be taken although its own list says more of it: others know a newer version.
type Held struct {
	State loadbalancer.WorkerState // Ready where its start alone is news
	Since float64                  // its start; 0 is not told
}

// Withhold puts in force what others know of members, in place of what was: the decisions see it before anything else is sent.
// It never makes a member ready, nor anybody known that the list does not name.
func (c *Core) Withhold(held map[string]Held) {
	c.do(func() {
		old := c.held
		c.held = maps.Clone(held)
		c.revise(changed(old, held), func(m *Member, was loadbalancer.Worker) {
			if m.StartedAt > was.StartedAt {
				m.Backend.Renew() // another process has its place
			}
		})
	})
}

// Pause has no member get anything new until it is lifted: jobs wait, as they do where nobody may be sent to. For a process that
// slept and has to look again first.
func (c *Core) Pause(on bool) {
	c.do(func() {
		if c.paused == on {
			return
		}
		c.paused = on
		var names []string
		for _, name := range slices.Sorted(maps.Keys(c.byName)) {
			if m := c.members[c.byName[name]]; m != nil && m.told.State == loadbalancer.Ready {
				names = append(names, name)
			}
		}
		c.revise(names, func(*Member, loadbalancer.Worker) {})
	})
}

// Withheld is how many members are taken for less than the own list says.
func (c *Core) Withheld() int { return len(c.held) }

// withhold works what others know into what the decisions see of a member.
func (c *Core) withhold(m *Member) {
	if c.paused && m.State == loadbalancer.Ready {
		m.State = loadbalancer.Draining
	}
	h, had := c.held[m.Name]
	if !had {
		return
	}
	if h.State != loadbalancer.Ready && m.State == loadbalancer.Ready {
		m.State = loadbalancer.Draining
	}
	m.StartedAt = max(m.StartedAt, h.Since)
}
