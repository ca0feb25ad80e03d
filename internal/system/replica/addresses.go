package replica

import (
	"net/netip"
	"slices"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/processconfig"
)

// AddPeerAddresses adds addresses at which control replicas may be found, for example from gossip membership. The
// newest maxKnownAddresses are kept.
func (h *Host) AddPeerAddresses(addresses ...netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, address := range addresses {
		h.addAddress(address)
	}
}

// addAddress moves an address to the newest end of knownAddresses. The host's mutex is held.
func (h *Host) addAddress(address netip.AddrPort) {
	if !address.IsValid() || address == h.address {
		return
	}
	if i := slices.Index(h.knownAddresses, address); i >= 0 {
		h.knownAddresses = slices.Delete(h.knownAddresses, i, i+1)
	}
	h.knownAddresses = append(h.knownAddresses, address)
	if len(h.knownAddresses) > maxKnownAddresses {
		h.knownAddresses = slices.Delete(h.knownAddresses, 0, 1)
	}
}

// replicaAddress returns the address of a replica from the group's membership, or else as it was learned from a join
// reply.
func (h *Host) replicaAddress(g *group, id consensus.ReplicaID) (netip.AddrPort, bool) {
	if id == 0 {
		return netip.AddrPort{}, false
	}
	for _, member := range g.node.Membership().Members {
		if member.ID == id {
			address, err := netip.ParseAddrPort(member.Address)
			return address, err == nil
		}
	}
	return h.peers.learnedAddress(id)
}

// peerAddresses returns the addresses of all other machines that may run replicas: known addresses and members.
func (h *Host) peerAddresses() map[netip.AddrPort]bool {
	addresses := make(map[netip.AddrPort]bool)
	for _, address := range h.knownAddresses {
		addresses[address] = true
	}
	for _, member := range h.members() {
		address, err := netip.ParseAddrPort(member.Address)
		if err == nil && address != h.address {
			addresses[address] = true
		}
	}
	return addresses
}

// Members returns the members of all groups as this replica knows them, each replica once.
func (h *Host) Members() []consensus.Member {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.members()
}

// members is Members with the host's mutex held.
func (h *Host) members() (members []consensus.Member) {
	for _, g := range h.groups {
		if g.node == nil {
			continue
		}
		for _, member := range g.node.Membership().Members {
			if !slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == member.ID }) {
				members = append(members, member)
			}
		}
	}
	return members
}

// controlAddress returns the address at which a machine's control replica listens.
func controlAddress(s *processconfig.Settings, machine netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(machine, s.Port(processconfig.ControlRPCPort))
}
