package membership

import "fmt"

// CheckInvariants returns what is inconsistent in a node's state, empty if nothing is.
func (n *Node) CheckInvariants() string {
	alive, suspects, deads := 0, 0, 0
	var view, names, facts uint64
	if n.self.State == Alive {
		view, names, facts = n.self.Record.digest(n.self.key), n.self.key, n.self.digestWithMetadata(n.self.key)
	}
	for i, peer := range n.members {
		if n.byName[peer.Name] != peer || i > 0 && n.members[i-1].Name >= peer.Name || peer.Name == n.self.Name {
			return "members are not in order, or not found by their names"
		}
		if err := peer.Record.validate(); err != nil {
			return fmt.Sprintf("%s: %v", peer.Name, err)
		}
		switch peer.State {
		case Alive:
			alive++
		case Suspect:
			suspects++
		case Dead:
			deads++
		}
		if peer.State <= Dead {
			view, facts = view^peer.Record.digest(peer.key), facts^peer.digestWithMetadata(peer.key)
		}
		if peer.State < Dead {
			names ^= peer.key
		}
	}
	switch {
	case len(n.byName) != len(n.members):
		return "names and members differ"
	case alive != n.alive || suspects != n.suspects || deads != n.dead:
		return "members by state are counted wrong"
	case len(n.suspicions) != suspects:
		return fmt.Sprintf("%d are suspect, %d suspicions run", suspects, len(n.suspicions))
	case view != n.viewDigest || names != n.namesDigest || facts != n.metadataDigest:
		return "digests are not those of the view"
	case !n.left && n.self.State != Alive:
		return "it takes others' word on itself"
	case n.awareness < 0 || n.awareness >= maxAwareness:
		return "its own health is beyond its bounds"
	}
	return ""
}

// Seal returns a datagram with the given body.
func Seal(body []byte) []byte { return seal(append(make([]byte, headerSize), body...)) }
