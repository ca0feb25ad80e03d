package membership

import "fmt"

// CheckInvariants says what of a machine's books does not add up; empty is nothing.
func (m *Node) CheckInvariants() string {
	alive, suspects, deads := 0, 0, 0
	var view, names, facts uint64
	if m.self.State == Alive {
		view, names, facts = m.self.Record.digest(m.self.key), m.self.key, m.self.digestWithMetadata(m.self.key)
	}
	for i, o := range m.members {
		if m.byName[o.Name] != o || i > 0 && m.members[i-1].Name >= o.Name || o.Name == m.self.Name {
			return "members are not in order, or not found by their names"
		}
		if err := o.Record.validate(); err != nil {
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
			view, facts = view^o.Record.digest(o.key), facts^o.digestWithMetadata(o.key)
		}
		if o.State < Dead {
			names ^= o.key
		}
	}
	switch {
	case len(m.byName) != len(m.members):
		return "names and members differ"
	case alive != m.alive || suspects != m.suspects || deads != m.dead:
		return "members by state are counted wrong"
	case len(m.suspicions) != suspects:
		return fmt.Sprintf("%d are suspect, %d suspicions run", suspects, len(m.suspicions))
	case view != m.viewDigest || names != m.namesDigest || facts != m.metadataDigest:
		return "digests are not those of the view"
	case !m.left && m.self.State != Alive:
		return "it takes others' word on itself"
	case m.awareness < 0 || m.awareness >= maxAwareness:
		return "its own health is beyond its bounds"
	}
	return ""
}

// Seal puts checksum and format before a body.
func Seal(body []byte) []byte { return seal(append(make([]byte, headerSize), body...)) }
