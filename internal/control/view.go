package control

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/consensus"
	"cinderroad/internal/control/directory"
	"cinderroad/internal/feed"
	"cinderroad/internal/gossip"
)

// Bounds of HTTP connections.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second // whole, with its body
	answerTimeout  = 30 * time.Second
	idleTimeout    = 15 * time.Second
	mostHeader     = 16 << 10
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
		WriteTimeout: answerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: mostHeader}
}

// Edges is the directory's view of the members.
func (p *Process) Edges() []directory.Edge {
	members := p.gossip.View()
	zones := p.settings.Load().Zones
	edges := make([]directory.Edge, 0, len(members))
	for i := range members {
		if members[i].Role == gossip.Edge {
			edges = append(edges, edgeOf(&members[i], zones))
		}
	}
	return edges
}

func edgeOf(member *gossip.Member, zones map[string]string) directory.Edge {
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

// watch passes addresses from membership to the replicas and logs which groups this machine leads.
func (p *Process) watch(ctx context.Context) {
	leads := map[feed.Partition]bool{}
	for pause(ctx, hintEvery) {
		p.host.Hint(p.gossip.ControlAddresses()...)
		for _, partition := range p.host.Status() {
			status := &partition.Status
			now := status.Role == consensus.Leader
			if now == leads[partition.Partition] {
				continue
			}
			leads[partition.Partition] = now
			p.log.Info("leadership changed", zap.Uint16("partition", uint16(partition.Partition)), zap.Bool("leads", now),
				zap.Uint64("term", status.Term))
		}
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
