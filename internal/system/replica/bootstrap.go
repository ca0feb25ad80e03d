package replica

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/processconfig"
)

// founderIDPrefix keeps the hashes of founders apart from those of anything else.
const founderIDPrefix = "founder"

// founderID is the replica of a machine that founds the system. All founders know it of one another; a replica that
// does not found has a random one, so that a founder that loses its disk never comes back under this one.
func founderID(address netip.Addr) consensus.ReplicaID {
	id := xxhash.Sum64String(founderIDPrefix + address.String())
	return consensus.ReplicaID(max(id, 1))
}

// bootstrapMembership is the membership that a system begins with: the machines of the seed list, which is the same at all of them
// on the first boot. It tells false where this machine does not found. Names and zones are not known of the others yet;
// each member tells them once it runs.
func bootstrapMembership(settings *processconfig.Settings) (consensus.Membership, bool) {
	if !settings.FirstBoot {
		return consensus.Membership{}, false
	}
	var machines []netip.Addr
	for _, seed := range settings.SeedNodes {
		if !slices.Contains(machines, seed.Addr()) {
			machines = append(machines, seed.Addr())
		}
	}
	if !slices.Contains(machines, settings.IP) {
		return consensus.Membership{}, false
	}
	slices.SortFunc(machines, netip.Addr.Compare)
	var founders consensus.Membership
	for _, machine := range machines {
		founders.Members = append(founders.Members, consensus.Member{ID: founderID(machine),
			Address: controlAddress(settings, machine).String(), Voter: true})
	}
	return founders, true
}
