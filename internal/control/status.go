package control

import (
	"fmt"
	"time"

	"github.com/go-faster/jx"

	"cinderroad/internal/consensus"
	"cinderroad/internal/gossip"
	"cinderroad/internal/replica"
)

// status describes the process for operators, as JSON.
func (p *Process) status() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("node")
	e.Str(p.settings.Load().Node)
	e.FieldStart("version")
	e.UInt64(p.configuration.Version())
	e.FieldStart("evacuated")
	e.ArrStart()
	for _, zone := range p.configuration.EvacuatedZones() {
		e.Str(zone)
	}
	e.ArrEnd()
	p.encodePartitions(&e)
	encodeMembers(&e, p.gossip.View())
	e.ObjEnd()
	return e.Bytes()
}

func (p *Process) encodePartitions(e *jx.Encoder) {
	e.FieldStart("partitions")
	e.ArrStart()
	for _, status := range p.host.Status() {
		p.encodePartition(e, &status)
	}
	e.ArrEnd()
}

func (p *Process) encodePartition(e *jx.Encoder, partition *replica.PartitionStatus) {
	status := &partition.Status
	e.ObjStart()
	e.FieldStart("partition")
	e.UInt16(uint16(partition.Partition))
	e.FieldStart("replica")
	e.Str(replicaName(status.ID))
	e.FieldStart("role")
	e.Str(roleName(status.Role))
	e.FieldStart("term")
	e.UInt64(status.Term)
	e.FieldStart("leader")
	e.Str(replicaName(status.Leader))
	e.FieldStart("commit")
	e.UInt64(status.Commit)
	e.FieldStart("applied")
	e.UInt64(status.Applied)
	e.FieldStart("last")
	e.UInt64(status.LastIndex)
	e.FieldStart("items")
	e.Int(p.items(int(partition.Partition)))
	e.FieldStart("fresh_ms")
	e.Int64(int64(p.host.Fresh(partition.Partition) / time.Millisecond))
	if lease, leads := p.host.Leads(partition.Partition); leads {
		e.FieldStart("lease_ms")
		e.Int64(int64(lease / time.Millisecond))
	}
	encodeReplicas(e, status.Membership)
	e.ObjEnd()
}

// items is how many items a partition holds here.
func (p *Process) items(partition int) int {
	if partition == 0 {
		return p.configuration.Len()
	}
	return p.runners[partition-1].Len()
}

func encodeReplicas(e *jx.Encoder, membership consensus.Membership) {
	e.FieldStart("replicas")
	e.ArrStart()
	for _, member := range membership.Members {
		e.ObjStart()
		e.FieldStart("replica")
		e.Str(replicaName(member.ID))
		e.FieldStart("node")
		e.Str(member.Node)
		e.FieldStart("zone")
		e.Str(member.Zone)
		e.FieldStart("address")
		e.Str(member.Address)
		e.FieldStart("voter")
		e.Bool(member.Voter)
		e.ObjEnd()
	}
	e.ArrEnd()
}

func encodeMembers(e *jx.Encoder, members []gossip.Member) {
	e.FieldStart("members")
	e.ArrStart()
	for i := range members {
		member := &members[i]
		e.ObjStart()
		e.FieldStart("node")
		e.Str(member.Node)
		e.FieldStart("role")
		e.Str(string(member.Role))
		e.FieldStart("zone")
		e.Str(member.Zone)
		e.FieldStart("state")
		e.Str(member.State.String())
		e.FieldStart("serving")
		e.Str(string(member.Serving))
		e.FieldStart("front")
		e.Str(member.Front)
		e.FieldStart("release")
		e.Str(member.Version)
		e.ObjEnd()
	}
	e.ArrEnd()
}

func replicaName(id consensus.ReplicaID) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(id))
}
