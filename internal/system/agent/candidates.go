package agent

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/system/processconfig"
)

// maxPeerCandidates is how many other agents an agent polls that holds nothing.
const maxPeerCandidates = 3

// candidates returns the addresses from which the feed may be followed, in order of preference: control replicas, and
// other agents if this one holds nothing.
func (a *Agent) candidates() []netip.AddrPort {
	member := a.member.Load()
	if member == nil {
		return a.seedReplicas()
	}
	addresses := member.ControlAddresses()
	if !a.store.empty() {
		return addresses
	}
	peers := member.AgentAddresses()
	return append(addresses, peers[:min(len(peers), maxPeerCandidates)]...)
}

// isPeer reports whether an address is another agent's.
func (a *Agent) isPeer(address netip.AddrPort) bool {
	return address.Port() == a.settings.Port(processconfig.AgentRPCPort)
}

// seedReplicas returns the control replicas of the settings, starting at one that differs between nodes.
func (a *Agent) seedReplicas() []netip.AddrPort {
	port := a.settings.Port(processconfig.ControlRPCPort)
	seeds := *a.seeds.Load()
	addresses := make([]netip.AddrPort, len(seeds))
	first := int(xxhash.Sum64String(a.settings.Node) % uint64(max(1, len(seeds))))
	for i := range seeds {
		seed := seeds[(first+i)%len(seeds)]
		addresses[i] = netip.AddrPortFrom(seed.Addr(), port)
	}
	return addresses
}
