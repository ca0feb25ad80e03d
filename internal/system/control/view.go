package control

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/directory"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/retry"
)

// Bounds of HTTP connections.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second // whole, with its body
	writeTimeout      = 30 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Edges is the directory's view of the members. On a machine that is cut off from all it is the one of before: clients that
// reach this machine may reach the proxies, too.
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
	front, _ := netip.ParseAddrPort(member.Front) // none yet: it is left out
	return directory.Edge{
		Node:     member.Node,
		Front:    front,
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

// watchMembers passes addresses from membership to the replicas.
func (p *Process) watchMembers(ctx context.Context) {
	for retry.Sleep(ctx, hintInterval) {
		p.host.AddPeerAddresses(p.gossip.ControlAddresses()...)
	}
}

func roleName(role consensus.Role) string {
	switch role {
	case consensus.Follower:
		return "follower"
	case consensus.PreCandidate:
		return "pre-candidate"
	case consensus.Candidate:
		return "candidate"
	case consensus.Leader:
		return "leader"
	}
	return "unknown"
}
