package agent

import "cinderroad/internal/system/gossip"

// Gossip counts the datagrams of the agent's membership; all zero before it has joined.
func (a *Agent) Gossip() gossip.Stats {
	if member := a.member.Load(); member != nil {
		return member.Stats()
	}
	return gossip.Stats{}
}
