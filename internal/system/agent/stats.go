package agent

import "cinderroad/internal/system/gossip"

// GossipStats counts the datagrams of the agent's membership; all zero before it has joined.
func (a *Agent) GossipStats() gossip.Stats {
	if member := a.member.Load(); member != nil {
		return member.Stats()
	}
	return gossip.Stats{}
}
