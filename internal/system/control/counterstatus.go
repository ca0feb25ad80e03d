package control

import (
	"cinderroad/internal/system/control/counterservice"
	"cinderroad/internal/system/control/status"
	"cinderroad/internal/system/counter"
)

// describeCounters describes the local replica of the counters; nil if there is none.
func (p *Process) describeCounters() *status.Counters {
	if p.counters == nil {
		return nil
	}
	service := p.counters.Status()
	replica := &service.Replica
	description := &status.Counters{
		Running:         service.IsRunning,
		CatchingUp:      replica.CatchingUp,
		Origin:          originName(replica.Origin),
		OriginResets:    replica.OriginResets,
		Counters:        replica.Counters,
		Operations:      replica.Operations,
		Entries:         replica.Entries,
		MaxEntries:      service.MaxEntries,
		UnsyncedEntries: replica.Unpersisted,
		PendingAdds:     replica.PendingAdds,
		NeededMachines:  replica.Required.Machines,
		NeededZones:     replica.Required.Zones,
		Vector:          byOriginName(replica.Vector),
		Peers:           make([]status.CounterPeer, 0, len(replica.Peers)),
	}
	if service.DiskFault != nil {
		description.DiskFault = service.DiskFault.Error()
	}
	for i := range replica.Peers {
		description.Peers = append(description.Peers, describeCounterPeer(&replica.Peers[i], &service))
	}
	return description
}

func describeCounterPeer(peer *counter.PeerStatus, service *counterservice.Status) status.CounterPeer {
	description := status.CounterPeer{
		Address:   peer.Address.String(),
		Zone:      peer.Zone,
		Origin:    originName(peer.Origin),
		Reachable: !peer.Excused,
		Replied:   peer.HasReplied,
		Lacks:     peer.TotalLag(),
		Ahead:     peer.TotalAhead(),
		Lag:       byOriginName(peer.Lag),
	}
	if peer.HasReplied {
		description.SinceReplyMS = (service.Now - peer.LastReply).Milliseconds()
	}
	return description
}

// originName is an origin as operators see it; empty for none.
func originName(origin counter.Origin) string {
	if origin == 0 {
		return ""
	}
	return origin.Hex()
}

func byOriginName(entries map[counter.Origin]uint64) map[string]uint64 {
	named := make(map[string]uint64, len(entries))
	for origin, count := range entries {
		named[origin.Hex()] = count
	}
	return named
}
