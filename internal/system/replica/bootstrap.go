package replica

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/processconfig"
)

// founderIDPrefix separates the hashes of founder IDs from other hashes of addresses.
const founderIDPrefix = "founder"

// founderID returns the replica ID of a machine that founds the system. It follows from the address, so that all
// founders know it of each other. A replica that does not found has a random ID, so that a founder that loses its
// disk never comes back under its old ID, unless its settings wrongly say that the system starts for the first time.
func founderID(address netip.Addr) consensus.ReplicaID {
	id := xxhash.Sum64String(founderIDPrefix + address.String())
	return consensus.ReplicaID(max(id, 1))
}

// bootstrapMembership returns the initial membership: the machines of the seed list, which must be the same on all of
// them at the first boot. It returns false if this machine is not a founder. Node names and zones of the others are
// unknown here; each member reports its own once it runs.
func bootstrapMembership(settings *processconfig.Settings) (consensus.Membership, bool) {
	if !settings.FirstBoot {
		return consensus.Membership{}, false
	}
	var addresses []netip.Addr
	for _, seed := range settings.SeedNodes {
		if !slices.Contains(addresses, seed.Addr()) {
			addresses = append(addresses, seed.Addr())
		}
	}
	if !slices.Contains(addresses, settings.IP) {
		return consensus.Membership{}, false
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	var founders consensus.Membership
	for _, machine := range addresses {
		founders.Members = append(founders.Members, consensus.Member{
			ID:      founderID(machine),
			Address: controlAddress(settings, machine).String(),
			Voter:   true,
		})
	}
	return founders, true
}
