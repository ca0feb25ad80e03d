package membership

import "fmt"

// CheckInvariants returns what is inconsistent in a node's state, empty if nothing is.
func (n *Node) CheckInvariants() string {
	var alive, suspects, dead int    // members by state
	var view, names, metadata uint64 // digests
	if n.self.State == Alive {
		view = n.self.Record.digest(n.self.key)
		names = n.self.key
		metadata = n.self.digestWithMetadata(n.self.key)
	}
	for i, peer := range n.members {
		ordered := i == 0 || n.members[i-1].Name < peer.Name
		if n.byName[peer.Name] != peer || !ordered || peer.Name == n.self.Name {
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
			dead++
		}
		if peer.State <= Dead {
			view ^= peer.Record.digest(peer.key)
			metadata ^= peer.digestWithMetadata(peer.key)
		}
		if peer.State < Dead {
			names ^= peer.key
		}
	}
	switch {
	case len(n.byName) != len(n.members):
		return "names and members differ"
	case alive != n.alive || suspects != n.suspects || dead != n.dead:
		return "members by state are counted wrong"
	case len(n.suspicions) != suspects:
		return fmt.Sprintf("%d are suspect, %d suspicions run", suspects, len(n.suspicions))
	case view != n.viewDigest || names != n.namesDigest || metadata != n.metadataDigest:
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
