package control

import (
	"encoding/json"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/status"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/replica"
)

// encodeStatus returns the body of api.PathStatus.
func (p *Process) encodeStatus() []byte {
	body, err := json.Marshal(p.buildStatus())
	if err != nil {
		panic("control: a status that can't be encoded: " + err.Error()) // it holds numbers and strings only
	}
	return body
}

// buildStatus describes this process, its replicas, its followers and the members that it knows.
func (p *Process) buildStatus() *status.Control {
	members := p.gossip.View()
	description := &status.Control{
		Node:           p.settings.Load().Node,
		Release:        p.version,
		Version:        p.configuration.Version(),
		EvacuatedZones: append([]string{}, p.configuration.EvacuatedZones()...),
		ActiveProxies:  p.gossip.ProxyCount(),
		Discovery:      p.describeDiscovery(),
		Followers:      p.describeFollowers(),
		Counters:       p.describeCounters(),
		Members:        make([]status.Member, 0, len(members)),
	}
	for _, partition := range p.host.Status() {
		description.Partitions = append(description.Partitions, p.describePartition(&partition))
	}
	for i := range members {
		if members[i].Usable() {
			description.ReadyProxies++
		}
		description.Members = append(description.Members, describeMember(&members[i]))
	}
	return description
}

func (p *Process) describeDiscovery() status.Discovery {
	discovery := p.runnerSync.Status()
	return status.Discovery{
		Holder:       discovery.Holder,
		ListReceived: discovery.ListReceived,
		ListAgeMS:    discovery.ListAge.Milliseconds(),
		CallCount:    discovery.CallCount,
	}
}

func (p *Process) describeFollowers() []status.Follower {
	index := p.configuration.Index()
	followers := p.feedServer.Followers()
	descriptions := make([]status.Follower, 0, len(followers))
	for _, follower := range followers {
		descriptions = append(descriptions, status.Follower{
			Node:               follower.Node,
			ConfigurationIndex: follower.ConfigurationIndex,
			Behind:             follower.ConfigurationIndex < index,
			SinceLastCallMS:    follower.SinceLastCall.Milliseconds(),
		})
	}
	return descriptions
}

// describePartition describes the local replica of a partition.
func (p *Process) describePartition(partition *replica.PartitionStatus) status.Partition {
	group := &partition.Status
	description := status.Partition{
		Partition:    uint16(partition.Partition),
		Replica:      replicaName(group.ID),
		Role:         roleName(group.Role),
		Term:         group.Term,
		Leader:       replicaName(group.Leader),
		CommitIndex:  group.Commit,
		AppliedIndex: group.Applied,
		LastIndex:    group.LastIndex,
		ItemCount:    p.itemCount(partition.Partition),
		StalenessMS:  p.host.Staleness(partition.Partition).Milliseconds(),
		Replicas:     make([]status.Replica, 0, len(group.Membership.Members)),
	}
	if lease, leads := p.host.LeaderLease(partition.Partition); leads {
		description.LeaseMS = lease.Milliseconds()
	}
	for _, member := range group.Membership.Members {
		description.Replicas = append(description.Replicas, status.Replica{
			Replica: replicaName(member.ID),
			Node:    member.Node,
			Zone:    member.Zone,
			Address: member.Address,
			Voter:   member.Voter,
		})
	}
	return description
}

// itemCount returns the number of items that the local replica of a partition holds.
func (p *Process) itemCount(partition feed.Partition) int {
	if partition == feed.ConfigurationPartition {
		return p.configuration.Len()
	}
	return p.runners[partition-1].Len()
}

func describeMember(member *gossip.Member) status.Member {
	return status.Member{
		Node:         member.Node,
		Address:      member.Address.String(),
		State:        member.State.String(),
		StateAgeMS:   time.Since(member.Since).Milliseconds(),
		Role:         string(member.Role),
		Zone:         member.Zone,
		Serving:      string(member.Serving),
		FrontAddress: member.Front,
		Release:      member.Version,
	}
}

// replicaName is the ID as operators see it; empty for none.
func replicaName(id consensus.ReplicaID) string {
	if id == 0 {
		return ""
	}
	return id.Hex()
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
