package membership

import "fmt"

// Sound says what of a machine's books does not add up; empty is nothing.
func (m *Machine) Sound() string {
	alive, suspects, deads := 0, 0, 0
	var view, names, facts uint64
	if m.me.State == Alive {
		view, names, facts = m.me.Record.digest(m.me.key), m.me.key, m.me.factsDigest(m.me.key)
	}
	for i, o := range m.members {
		if m.byName[o.Name] != o || i > 0 && m.members[i-1].Name >= o.Name || o.Name == m.me.Name {
			return "members are not in order, or not found by their names"
		}
		if err := o.Record.check(); err != nil {
			return fmt.Sprintf("%s: %v", o.Name, err)
		}
		switch o.State {
		case Alive:
			alive++
		case Suspect:
			suspects++
		case Dead:
			deads++
		}
		if o.State <= Dead {
			view, facts = view^o.Record.digest(o.key), facts^o.factsDigest(o.key)
		}
		if o.State < Dead {
			names ^= o.key
		}
	}
	switch {
	case len(m.byName) != len(m.members):
		return "names and members differ"
	case alive != m.alive || suspects != m.suspects || deads != m.deads:
		return "members by state are counted wrong"
	case len(m.doubts) != suspects:
		return fmt.Sprintf("%d are suspect, %d suspicions run", suspects, len(m.doubts))
	case view != m.view || names != m.names || facts != m.facts:
		return "digests are not those of the view"
	case !m.gone && m.me.State != Alive:
		return "it takes others' word on itself"
	case m.health < 0 || m.health >= mostHealth:
		return "its own health is beyond its bounds"
	}
	return ""
}

// Seal puts checksum and format before a body.
func Seal(body []byte) []byte { return seal(append(make([]byte, headBytes), body...)) }
