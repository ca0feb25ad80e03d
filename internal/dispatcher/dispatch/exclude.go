package dispatch

import (
	"maps"
	"slices"

	"cinderroad/loadbalancer"
)

// mostOut bounds how many members may be excluded at once.
const mostOut = 1024

// Exclusion says that a member was taken out by hand, or came back from that. No list, restart or reconnect lifts it.
type Exclusion struct {
	At    float64 `json:"at"`             // when it was taken out
	Since float64 `json:"since"`          // its start as of then
	Back  float64 `json:"back,omitempty"` // when it was called back; 0 is not yet
}

// Change is what Exclude or Include would have done.
type Change struct {
	Known bool // somebody has such a member
	Full  bool // too many are out
	Out   map[string]Exclusion
}

// Exclusions are those in force, and those from which members came back not long ago.
func (c *Core) Exclusions() map[string]Exclusion { return maps.Clone(c.out) }

// Excluded is how many members are out.
func (c *Core) Excluded() (n int) {
	for _, x := range c.out {
		if x.Back == 0 {
			n++
		}
	}
	return n
}

// Exclude works out what taking a member out changes; Apply does it. Taking it out twice is as good as once.
func (c *Core) Exclude(name string) Change {
	was, had := c.out[name]
	id, known := c.byName[name]
	ch := Change{Known: known || had, Out: maps.Clone(c.out)}
	switch {
	case !ch.Known || had && was.Back == 0:
	case len(c.out) >= mostOut:
		ch.Full = true
	default:
		x := Exclusion{At: c.clock.Now()}
		if m := c.members[id]; known && m != nil {
			x.Since = m.StartedAt
		}
		ch.Out[name] = x
	}
	return ch
}

// Include works out what calling a member back changes.
func (c *Core) Include(name string) Change {
	x, had := c.out[name]
	_, known := c.byName[name]
	ch := Change{Known: known || had, Out: maps.Clone(c.out)}
	if had && x.Back == 0 {
		x.Back = c.clock.Now()
		ch.Out[name] = x
	}
	return ch
}

// Apply puts exclusions in force in place of those there were: the decisions see them before anything else is sent.
func (c *Core) Apply(out map[string]Exclusion) {
	c.do(func() {
		old := c.out
		c.out = maps.Clone(out)
		c.revise(changed(old, c.out), func(m *Member, _ loadbalancer.Worker) {
			if out[m.Name].Back > 0 { // whatever it is now, it is not the process those connections led to
				m.Backend.Renew()
			}
		})
	})
}

// changed names, in order, what two maps do not say alike.
func changed[V comparable](old, new map[string]V) (names []string) {
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

// revise has the decisions see members as what lies over their lists' word says now; after hears of each what it was.
func (c *Core) revise(names []string, after func(m *Member, was loadbalancer.Worker)) {
	var workers []loadbalancer.Worker
	for _, name := range names {
		id, known := c.byName[name]
		m := c.members[id]
		if !known || m == nil || m.Backend == nil {
			continue
		}
		was := m.Worker
		c.overlay(m)
		c.became(m, was.State)
		after(m, was)
		workers = append(workers, m.Worker)
	}
	if len(workers) > 0 {
		c.bal.UpdateWorkers(c.clock.Now(), loadbalancer.ListDelta, workers)
	}
}

// overlay works out what the decisions see of a member. One that is out drains and keeps its start, so that the start
// it comes back with is news to them: its own if it has been told since, else the call back.
func (c *Core) overlay(m *Member) {
	m.Worker = m.told
	c.withhold(m)
	x, had := c.out[m.Name]
	switch {
	case !had:
	case x.Back == 0:
		m.StartedAt = x.Since
		if m.State == loadbalancer.Ready {
			m.State = loadbalancer.Draining
		}
	case m.StartedAt >= x.At || c.clock.Now() > x.Back+c.set.SlowStartDuration+1:
		delete(c.out, m.Name) // discovery has caught up, or it is warm
	default:
		m.StartedAt = x.Back
	}
}

// Learnt is what the decisions have learnt, for the process that takes this one's place.
func (c *Core) Learnt() loadbalancer.Snapshot { return c.bal.Snapshot() }

// Recall takes what another process has learnt, before the first list; it says why it is of no use.
func (c *Core) Recall(l loadbalancer.Snapshot) (err error) {
	c.do(func() { err = c.bal.Restore(c.clock.Now(), l) })
	return err
}

// SetPlace has the decisions know their place among the dispatchers that share the workers; one that makes no sense changes
// nothing.
func (c *Core) SetPlace(p loadbalancer.InstanceShare) (err error) {
	c.do(func() { err = c.bal.SetInstanceShare(p) })
	return err
}
