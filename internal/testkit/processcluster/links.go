package processcluster

import "cinderroad/internal/testkit/receivers"

// SetLink sets the link for datagrams from one member to another.
func (c *Cluster) SetLink(from, to *Member, link receivers.Link) { to.Relay.SetLink(from.Name, link) }

// Partition separates members from all others, in both directions.
func (c *Cluster) Partition(members ...*Member) {
	in := map[*Member]bool{}
	for _, m := range members {
		in[m] = true
	}
	for _, a := range c.Members {
		for _, b := range c.Members {
			if in[a] != in[b] {
				c.SetLink(a, b, receivers.Link{Blackhole: true})
			}
		}
	}
}

// SetAllLinks sets the links for datagrams between all members.
func (c *Cluster) SetAllLinks(link receivers.Link) {
	for _, m := range c.Members {
		m.Relay.ClearLinks()
		m.Relay.SetLink("", link)
	}
}

// ClearLinks resets the links for datagrams between all members.
func (c *Cluster) ClearLinks() {
	for _, m := range c.Members {
		m.Relay.ClearLinks()
	}
}
