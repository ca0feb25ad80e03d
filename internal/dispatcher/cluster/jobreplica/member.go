package jobreplica

import (
	"cmp"

	"cinderroad/internal/system/consensus"
)

// Member is an incarnation of a cluster member that may hold a replica.
type Member struct {
	ID   uint64 // of this incarnation alone; see the package comment
	Name string
	Host string // failure domain: at most one replica is placed on a host
	Zone string // failure domain: replicas are spread over the zones
}

// consensusMember converts the member. Its address is its name, by which the cluster finds it.
func (m Member) consensusMember(voter bool) consensus.Member {
	return consensus.Member{ID: consensus.ReplicaID(m.ID), Node: m.Host, Zone: m.Zone, Address: m.Name, Voter: voter}
}

// memberFromConsensus is the inverse of consensusMember.
func memberFromConsensus(m consensus.Member) Member {
	return Member{ID: uint64(m.ID), Name: m.Address, Host: m.Node, Zone: m.Zone}
}

func compareIDs(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) }

// ChooseMembers chooses up to count members to hold replicas, beside the existing ones: at most one on each host, spread as
// evenly over the zones as possible. The choice does not depend on the order of members. It is shorter than count if there
// are too few hosts.
func ChooseMembers(members, existing []Member, count int) (chosen []Member) {
	usedHosts := map[string]bool{}
	zoneCounts := map[string]int{} // replicas in each zone
	for _, m := range existing {
		usedHosts[m.Host] = true
		zoneCounts[m.Zone]++
	}
	compare := func(a, b Member) int { // the better one first
		return cmp.Or(
			cmp.Compare(zoneCounts[a.Zone], zoneCounts[b.Zone]),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.ID, b.ID),
		)
	}
	for len(chosen) < count {
		best := -1
		for i, m := range members {
			if usedHosts[m.Host] {
				continue
			}
			if best < 0 || compare(m, members[best]) < 0 {
				best = i
			}
		}
		if best < 0 {
			return chosen // too few hosts
		}
		m := members[best]
		chosen = append(chosen, m)
		usedHosts[m.Host] = true
		zoneCounts[m.Zone]++
	}
	return chosen
}
