package control

import (
	"net/netip"

	"cinderroad/internal/system/control/directory"
	"cinderroad/internal/system/gossip"
)

// Edges implements directory.EdgeSource: the proxies as membership sees them. A machine that no member acknowledges any more
// returns its last confirmed view, since clients that reach this machine may reach the proxies, too.
func (p *Process) Edges() []directory.Edge {
	members := p.gossip.LastConfirmedView()
	zones := p.settings.Load().Zones
	edges := make([]directory.Edge, 0, len(members))
	for i := range members {
		if members[i].Role == gossip.Edge {
			edges = append(edges, newEdge(&members[i], zones))
		}
	}
	return edges
}

func newEdge(member *gossip.Member, zones map[string]string) directory.Edge {
	front, _ := netip.ParseAddrPort(member.Front) // invalid until the member has announced it; the directory skips it then
	return directory.Edge{
		Node:     member.Node,
		Address:  front,
		Zone:     member.Zone,
		Region:   zones[member.Zone],
		Health:   healthOf(member.State),
		Ready:    member.Serving == gossip.ServingNow,
		Stopping: member.Serving == gossip.Stopping,
	}
}

func healthOf(state gossip.State) directory.Health {
	switch state {
	case gossip.Alive:
		return directory.Alive
	case gossip.Suspect:
		return directory.Suspect
	}
	return directory.Dead
}
