package membership

// Member is a member as the view has it.
type Member struct {
	Record
	Key         uint64
	Since       float64 // time when the state was entered
	LastContact float64 // time of its last message; 0: none
	Self        bool    // this node
}

// View is a node's view of the cluster.
type View struct {
	Members       []Member // ordered by name, this node among them
	Digest        uint64   // equal at nodes with the same view
	Converged     bool     // all members are assumed to have the same view
	Contacted     bool     // a message of another member has come
	Recognized    bool     // see Node.Recognized
	Withdrawn     bool     // see Node.Withdrawn
	Left          bool     // Leave was called
	JoinedAt      float64  // time when this node joined
	TimeoutFactor int      // by which timeouts are lengthened; 1 is healthy
}

// View returns a copy of the view.
func (n *Node) View() View {
	view := View{
		Members:       make([]Member, 0, len(n.members)+1),
		Digest:        n.viewDigest,
		Converged:     n.converged,
		Contacted:     n.contacted,
		Recognized:    n.recognized,
		Withdrawn:     n.withdrawn,
		Left:          n.left,
		JoinedAt:      n.joinedAt,
		TimeoutFactor: 1 + n.awareness,
	}
	self := n.self.snapshot()
	self.LastContact = n.now
	self.Self = true
	i, _ := n.searchMember(n.self.Name)
	for _, peer := range n.members[:i] {
		view.Members = append(view.Members, peer.snapshot())
	}
	view.Members = append(view.Members, self)
	for _, peer := range n.members[i:] {
		view.Members = append(view.Members, peer.snapshot())
	}
	return view
}

func (m *member) snapshot() Member {
	return Member{Record: m.Record, Key: m.key, Since: m.stateSince, LastContact: m.lastContact}
}

// Digest returns the digest of the view.
func (n *Node) Digest() uint64 { return n.viewDigest }

// MetadataDigest returns the digest of the view with all metadata.
func (n *Node) MetadataDigest() uint64 { return n.metadataDigest }

// NamesDigest returns the digest of the names of alive and suspect members, whatever else is known of them.
func (n *Node) NamesDigest() uint64 { return n.namesDigest }

// CountByState returns the number of members in each state, this one among the alive.
func (n *Node) CountByState() (alive, suspect, dead int) { return n.alive + 1, n.suspects, n.dead }

// Contacted reports whether a message of another member has come.
func (n *Node) Contacted() bool { return n.contacted }

// Zone returns a member's zone, empty if it is not known.
func (n *Node) Zone(member string) string {
	if peer := n.byName[member]; peer != nil && peer.Metadata != nil {
		return peer.Metadata.Zone
	}
	return ""
}
